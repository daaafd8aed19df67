//! SIP over TCP, as far as callers speak it: a decoder that is fed bytes, and the messages sent back.

use std::fmt::Write as _;

/// Largest message taken, head and body together.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// The first line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartLine {
    /// A request: method and the user part of its address.
    Request {
        /// Method, as `INVITE`.
        method: String,
        /// What stands before the `@` of a sip address.
        user: String,
    },
    /// A response with its status.
    Response(u16),
}

/// One message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The first line.
    pub start_line: StartLine,
    headers: Vec<(String, String)>,
    /// The body, untouched.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's first value; names are compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The call it belongs to.
    pub fn call_id(&self) -> Option<&str> {
        self.header("Call-ID").filter(|id| !id.is_empty())
    }

    /// The headers that an answer repeats, each on a line of its own.
    pub fn echoed_headers(&self) -> String {
        let kept = ["via", "from", "to", "call-id", "cseq"];
        let mut lines = String::new();
        for (name, value) in &self.headers {
            if kept.iter().any(|k| name.eq_ignore_ascii_case(k)) {
                lines.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        lines
    }
}

/// Why bytes are no message, and whether the next message can still be found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedMessage {
    /// Answer for the peer.
    pub status: u16,
    /// What is wrong.
    pub reason: &'static str,
}

/// Cuts a stream of bytes into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// The head's end is not before this.
    searched: usize,
}

impl Decoder {
    /// Takes what was read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether it holds a part of a message.
    pub fn has_partial_message(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// The next whole message, if there is one.
    ///
    /// # Errors
    /// When the stream holds no SIP: the connection is then of no more use.
    pub fn next_message(&mut self) -> Result<Option<Message>, MalformedMessage> {
        // Line breaks between messages are keep-alives (RFC 5626, 4.4.1).
        let blank = self.bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.bytes.drain(..blank);
        self.searched = self.searched.saturating_sub(blank);
        let too_large = MalformedMessage { status: 513, reason: "message too large" };
        let found = self.bytes[self.searched..].windows(4).position(|w| w == b"\r\n\r\n");
        let Some(head) = found.map(|at| at + self.searched) else {
            self.searched = self.bytes.len().saturating_sub(3);
            return if self.bytes.len() > MAX_MESSAGE_BYTES { Err(too_large) } else { Ok(None) };
        };
        let bad = |reason| MalformedMessage { status: 400, reason };
        let text = std::str::from_utf8(&self.bytes[..head]).map_err(|_| bad("head is not UTF-8"))?;
        let mut lines = text.split("\r\n");
        let start_line =
            parse_start_line(lines.next().unwrap_or_default()).ok_or(bad("no SIP first line"))?;
        let mut headers: Vec<(String, String)> = Vec::new();
        for line in lines {
            if let (true, Some(last)) = (line.starts_with([' ', '\t']), headers.last_mut()) {
                last.1.push(' ');
                last.1.push_str(line.trim());
                continue;
            }
            let (name, value) = line.split_once(':').ok_or(bad("header without a colon"))?;
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
        let mut message = Message { start_line, headers, body: Vec::new() };
        let length = message.header("Content-Length").ok_or(bad("no Content-Length"))?;
        let length: usize = length.parse().map_err(|_| bad("Content-Length is no number"))?;
        if length > MAX_MESSAGE_BYTES || head + 4 + length > MAX_MESSAGE_BYTES {
            return Err(too_large);
        }
        if self.bytes.len() < head + 4 + length {
            self.searched = head;
            return Ok(None);
        }
        message.body = self.bytes[head + 4..head + 4 + length].to_vec();
        self.bytes.drain(..head + 4 + length);
        self.searched = 0;
        Ok(Some(message))
    }
}

fn parse_start_line(line: &str) -> Option<StartLine> {
    if let Some(rest) = line.strip_prefix("SIP/2.0 ") {
        return rest.split(' ').next()?.parse().ok().map(StartLine::Response);
    }
    let mut words = line.split(' ');
    let (method, address) = (words.next()?, words.next()?);
    if words.next() != Some("SIP/2.0") || words.next().is_some() || method.is_empty() {
        return None;
    }
    let address = address.strip_prefix("sip:").or_else(|| address.strip_prefix("tel:"))?;
    let user = address.split('@').next().unwrap_or_default().to_owned();
    Some(StartLine::Request { method: method.to_owned(), user })
}

/// What a status is called.
fn phrase(status: u16) -> &'static str {
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

/// A response; `echoed` are the request's headers, `hold_off` milliseconds to stay away.
pub fn response(status: u16, echoed: &str, hold_off: Option<u128>, body: &[u8]) -> Vec<u8> {
    let mut text = format!("SIP/2.0 {status} {}\r\n{echoed}", phrase(status));
    if let Some(ms) = hold_off {
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

/// The release of a call that stands, towards its caller.
pub fn bye(call: &str, cause: u32) -> Vec<u8> {
    format!(
        "BYE sip:{call}@net SIP/2.0\r\nVia: SIP/2.0/TCP quartzspindle\r\nCall-ID: {call}\r\nCSeq: 2 BYE\r\n\
         Reason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// The Q.850 cause of a release; 16, normal clearing, if none is given.
pub fn release_cause(reason: Option<&str>) -> u32 {
    let cause = reason.and_then(|r| r.split(';').find_map(|p| p.trim().strip_prefix("cause=")));
    cause.and_then(|c| c.trim().parse().ok()).unwrap_or(16)
}

/// The figures of a list such as `dest:2;width:1;via:-1`; `None` if it is no such list, or one is no number.
pub fn parse_parameters(list: &str) -> Option<Vec<(&str, f64)>> {
    let pairs = list.split(';').map(str::trim).filter(|pair| !pair.is_empty());
    let figure = |pair: &'_ str| -> Option<f64> { pair.trim().parse().ok().filter(|n: &f64| n.is_finite()) };
    pairs.map(|pair| pair.split_once(':').and_then(|(n, v)| Some((n.trim(), figure(v)?)))).collect()
}

/// One figure of a list such as `dest:2;width:1;via:-1`.
pub fn parameter(list: &str, name: &str) -> Option<f64> {
    let mut pairs = list.split(';').filter_map(|pair| pair.split_once(':'));
    pairs.find(|(n, _)| n.trim() == name).and_then(|(_, v)| v.trim().parse().ok())
}
