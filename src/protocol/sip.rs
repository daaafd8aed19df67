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

/// A decoded message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The request line or status line.
    pub start_line: StartLine,
    headers: Vec<(String, String)>,
    /// The body, unchanged.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header with this name, compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Returns the Call-ID, unless it is missing or empty.
    pub fn call_id(&self) -> Option<&str> {
        self.header("Call-ID").filter(|id| !id.is_empty())
    }

    /// Returns the headers that a response copies from the request, each on its own line.
    pub fn echoed_headers(&self) -> String {
        let copied = ["via", "from", "to", "call-id", "cseq"];
        let mut lines = String::new();
        for (name, value) in &self.headers {
            if copied.iter().any(|c| name.eq_ignore_ascii_case(c)) {
                lines.push_str(&format!("{name}: {value}\r\n"));
            }
        }
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

/// Splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// Offset below which no end of the headers was found, so that no byte is searched twice.
    search_from: usize,
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
        // Line breaks between messages are keep-alives (RFC 5626, section 4.4.1).
        let blank = self.bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.bytes.drain(..blank);
        self.search_from = self.search_from.saturating_sub(blank);
        let too_large = MalformedMessage { status: 513, reason: "message too large" };
        let found = self.bytes[self.search_from..].windows(4).position(|w| w == b"\r\n\r\n");
        let Some(head_length) = found.map(|at| at + self.search_from) else {
            self.search_from = self.bytes.len().saturating_sub(3);
            self.release_memory();
            return if self.bytes.len() > MAX_MESSAGE_BYTES { Err(too_large) } else { Ok(None) };
        };
        let bad_request = |reason| MalformedMessage { status: 400, reason };
        let text =
            std::str::from_utf8(&self.bytes[..head_length]).map_err(|_| bad_request("head is not UTF-8"))?;
        let mut lines = text.split("\r\n");
        let start_line =
            parse_start_line(lines.next().unwrap_or_default()).ok_or(bad_request("no SIP first line"))?;
        let mut headers: Vec<(String, String)> = Vec::new();
        for line in lines {
            if let (true, Some(last)) = (line.starts_with([' ', '\t']), headers.last_mut()) {
                last.1.push(' ');
                last.1.push_str(line.trim());
                continue;
            }
            let (name, value) = line.split_once(':').ok_or(bad_request("header without a colon"))?;
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
        let mut message = Message { start_line, headers, body: Vec::new() };
        let length = message.header("Content-Length").ok_or(bad_request("no Content-Length"))?;
        let length: usize = length.parse().map_err(|_| bad_request("Content-Length is no number"))?;
        if length > MAX_MESSAGE_BYTES || head_length + 4 + length > MAX_MESSAGE_BYTES {
            return Err(too_large);
        }
        if self.bytes.len() < head_length + 4 + length {
            self.search_from = head_length;
            return Ok(None);
        }
        message.body = self.bytes[head_length + 4..head_length + 4 + length].to_vec();
        self.bytes.drain(..head_length + 4 + length);
        self.search_from = 0;
        Ok(Some(message))
    }
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
