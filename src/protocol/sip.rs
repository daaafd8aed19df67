//! SIP over TCP (RFC 3261), limited to what clients use: a stream decoder, and the responses and BYE requests
//! that are sent to them.

use std::fmt::Write as _;

/// Maximum message size in bytes, headers and body together.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Capacity in bytes that an empty decoder keeps.
const RETAINED_CAPACITY: usize = 2 * 1024;

/// Start line of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartLine {
    /// A request line.
    Request {
        /// Method, such as `INVITE`.
        method: String,
        /// User part of the request URI; for a `tel:` URI, the number.
        user: String,
    },
    /// A status line, with the status code.
    Response(u16),
}

/// Place of a header in the text of [`Headers`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeaderBounds {
    name_start: usize,
    value_start: usize,
    value_end: usize,
}

/// The headers of a message, in one piece of memory however many they are.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Headers {
    /// Names and values, one after the other.
    text: String,
    bounds: Vec<HeaderBounds>,
}

impl Headers {
    fn push(&mut self, name: &str, value: &str) {
        let name_start = self.text.len();
        self.text.push_str(name);
        let value_start = self.text.len();
        self.text.push_str(value);
        self.bounds.push(HeaderBounds { name_start, value_start, value_end: self.text.len() });
    }

    /// Appends a continuation line to the last header. Returns false if there is none.
    fn continue_last(&mut self, line: &str) -> bool {
        let Some(last) = self.bounds.last_mut() else { return false };
        self.text.push(' ');
        self.text.push_str(line);
        last.value_end = self.text.len();
        true
    }

    /// Returns the names and values in the order of the message.
    fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.bounds.iter().map(|bounds| {
            let name = &self.text[bounds.name_start..bounds.value_start];
            (name, &self.text[bounds.value_start..bounds.value_end])
        })
    }
}

/// A decoded message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The request line or status line.
    pub start_line: StartLine,
    headers: Headers,
    /// The body, unchanged.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header with this name, compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the Call-ID, unless it is missing or empty.
    pub fn call_id(&self) -> Option<&str> {
        self.header("Call-ID").filter(|id| !id.is_empty())
    }

    /// Returns the headers that a response copies from the request, each on its own line.
    pub fn echoed_headers(&self) -> String {
        let copied = ["via", "from", "to", "call-id", "cseq"];
        let mut lines = String::new();
        for (name, value) in self.headers.iter() {
            if copied.iter().any(|c| name.eq_ignore_ascii_case(c)) {
                let _ = write!(lines, "{name}: {value}\r\n");
            }
        }
        // They are kept with the open request, and charged for by their length.
        lines.shrink_to_fit();
        lines
    }
}

/// Error for bytes that are not a valid message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedMessage {
    /// Status code to answer with.
    pub status: u16,
    /// Description of the error, also used as a metric label.
    pub reason: &'static str,
}

/// Lengths of a message whose head is complete.
#[derive(Debug, Clone, Copy)]
struct MessageLengths {
    /// Length of the head without the blank line after it.
    head: usize,
    body: usize,
}

impl MessageLengths {
    fn body_start(self) -> usize {
        self.head + BLANK_LINE.len()
    }

    fn total(self) -> usize {
        self.body_start() + self.body
    }
}

/// Ends the head of a message.
const BLANK_LINE: &[u8] = b"\r\n\r\n";

const TOO_LARGE: MalformedMessage = MalformedMessage { status: 513, reason: "message too large" };

const fn bad_request(reason: &'static str) -> MalformedMessage {
    MalformedMessage { status: 400, reason }
}

/// Splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// Offset below which no end of the headers was found, so that no byte is searched twice.
    search_from: usize,
    /// Lengths of the message of which only the head has arrived, so that the head is not decoded again before
    /// the body is complete.
    incomplete: Option<MessageLengths>,
}

impl Decoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.reserve_exact(bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes. Once no complete message is left, they are those of an incomplete
    /// one.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Frees the memory of messages that have been taken.
    fn release_memory(&mut self) {
        if self.bytes.is_empty() && self.bytes.capacity() > RETAINED_CAPACITY {
            self.bytes = Vec::new();
        }
    }

    /// Returns the next message, or `None` if it has not arrived completely.
    ///
    /// # Errors
    /// If the bytes are not a valid message; the stream can't be decoded any further.
    pub fn next_message(&mut self) -> Result<Option<Message>, MalformedMessage> {
        if self.incomplete.is_some_and(|lengths| self.bytes.len() < lengths.total()) {
            return Ok(None);
        }
        let Some(head_length) = self.find_head()? else { return Ok(None) };
        let mut message = decode_head(&self.bytes[..head_length])?;
        let lengths = MessageLengths { head: head_length, body: content_length(&message)? };
        if lengths.body > MAX_MESSAGE_BYTES || lengths.total() > MAX_MESSAGE_BYTES {
            return Err(TOO_LARGE);
        }
        if self.bytes.len() < lengths.total() {
            self.incomplete = Some(lengths);
            return Ok(None);
        }
        message.body = self.bytes[lengths.body_start()..lengths.total()].to_vec();
        self.bytes.drain(..lengths.total());
        (self.search_from, self.incomplete) = (0, None);
        Ok(Some(message))
    }

    /// Returns the length of the next head, or `None` if it has not arrived completely.
    fn find_head(&mut self) -> Result<Option<usize>, MalformedMessage> {
        if let Some(lengths) = self.incomplete {
            return Ok(Some(lengths.head));
        }
        // Line breaks between messages are keep-alives (RFC 5626, section 4.4.1).
        let blank = self.bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.bytes.drain(..blank);
        self.search_from = self.search_from.saturating_sub(blank);
        let mut windows = self.bytes[self.search_from..].windows(BLANK_LINE.len());
        if let Some(at) = windows.position(|window| window == BLANK_LINE) {
            return Ok(Some(at + self.search_from));
        }
        self.search_from = (self.bytes.len() + 1).saturating_sub(BLANK_LINE.len());
        self.release_memory();
        if self.bytes.len() > MAX_MESSAGE_BYTES {
            return Err(TOO_LARGE);
        }
        Ok(None)
    }
}

/// Decodes a head; the body of the message is left empty.
fn decode_head(head: &[u8]) -> Result<Message, MalformedMessage> {
    let text = std::str::from_utf8(head).map_err(|_| bad_request("head is not UTF-8"))?;
    let mut lines = text.split("\r\n");
    let start_line =
        parse_start_line(lines.next().unwrap_or_default()).ok_or(bad_request("no SIP first line"))?;
    let mut headers = Headers::default();
    headers.text.reserve(text.len());
    for line in lines {
        if line.starts_with([' ', '\t']) && headers.continue_last(line.trim()) {
            continue;
        }
        let (name, value) = line.split_once(':').ok_or(bad_request("header without a colon"))?;
        headers.push(name.trim(), value.trim());
    }
    Ok(Message { start_line, headers, body: Vec::new() })
}

/// Returns the length of a message's body.
fn content_length(message: &Message) -> Result<usize, MalformedMessage> {
    let length = message.header("Content-Length").ok_or(bad_request("no Content-Length"))?;
    length.parse().map_err(|_| bad_request("Content-Length is no number"))
}

fn parse_start_line(line: &str) -> Option<StartLine> {
    if let Some(rest) = line.strip_prefix("SIP/2.0 ") {
        return rest.split(' ').next()?.parse().ok().map(StartLine::Response);
    }
    let mut words = line.split(' ');
    let (method, uri) = (words.next()?, words.next()?);
    if words.next() != Some("SIP/2.0") || words.next().is_some() || method.is_empty() {
        return None;
    }
    let address = uri.strip_prefix("sip:").or_else(|| uri.strip_prefix("tel:"))?;
    let user = address.split('@').next().unwrap_or_default().to_owned();
    Some(StartLine::Request { method: method.to_owned(), user })
}

/// Returns the reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        481 => "Call Does Not Exist",
        482 => "Loop Detected",
        487 => "Request Terminated",
        500 => "Server Internal Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        513 => "Message Too Large",
        _ => "Answer",
    }
}

/// Encodes a response. `echoed_headers` are the request's ([`Message::echoed_headers`]); `hold_off_ms` is the
/// time in milliseconds for which the client is asked to send nothing.
pub fn response(status: u16, echoed_headers: &str, hold_off_ms: Option<u128>, body: &[u8]) -> Vec<u8> {
    let mut text = format!("SIP/2.0 {status} {}\r\n{echoed_headers}", reason_phrase(status));
    if let Some(ms) = hold_off_ms {
        let _ = write!(text, "X-Hold-Off: {ms}\r\n");
    }
    if !body.is_empty() {
        text.push_str("Content-Type: application/sdp\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes the BYE request that tells a client of the release of an established call.
pub fn bye(call: &str, cause: u32) -> Vec<u8> {
    format!(
        "BYE sip:{call}@net SIP/2.0\r\nVia: SIP/2.0/TCP quartzspindle\r\nCall-ID: {call}\r\nCSeq: 2 BYE\r\n\
         Reason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Returns the Q.850 cause in a Reason header; 16, normal call clearing, if there is none.
pub fn release_cause(reason: Option<&str>) -> u32 {
    let cause = reason.and_then(|r| r.split(';').find_map(|p| p.trim().strip_prefix("cause=")));
    cause.and_then(|c| c.trim().parse().ok()).unwrap_or(16)
}

/// Parses a parameter list such as `dest:2;width:1;via:-1`. Returns `None` if an entry has no colon or its
/// value is not a finite number.
pub fn parse_parameters(list: &str) -> Option<Vec<(&str, f64)>> {
    let pairs = list.split(';').map(str::trim).filter(|pair| !pair.is_empty());
    let number = |pair: &'_ str| -> Option<f64> { pair.trim().parse().ok().filter(|n: &f64| n.is_finite()) };
    pairs.map(|pair| pair.split_once(':').and_then(|(n, v)| Some((n.trim(), number(v)?)))).collect()
}

/// Returns the value of one parameter of a list such as `dest:2;width:1;via:-1`.
pub fn parameter(list: &str, name: &str) -> Option<f64> {
    let mut pairs = list.split(';').filter_map(|pair| pair.split_once(':'));
    pairs.find(|(n, _)| n.trim() == name).and_then(|(_, v)| v.trim().parse().ok())
}
