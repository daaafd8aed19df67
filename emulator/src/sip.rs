//! SIP as the emulated clients use it: writes their messages and reads those of the router.

/// SIP message from the router.
#[derive(Debug, Clone)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    headers: Vec<(String, String)>,
    /// Body, with bytes that are not UTF-8 replaced.
    pub body: String,
}

impl Message {
    /// Returns the value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Returns the status code, or `None` for a request.
    pub fn status(&self) -> Option<u16> {
        self.first_line.strip_prefix("SIP/2.0 ")?.split(' ').next()?.parse().ok()
    }
}

/// Removes the first complete message from the front of the bytes read and returns it.
pub fn take_message(bytes: &mut Vec<u8>) -> Option<Message> {
    let head_end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':').map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())))
        .collect();
    let mut message = Message { first_line, headers, body: String::new() };
    let length: usize = message.header("Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let end = head_end + 4 + length;
    if bytes.len() < end {
        return None;
    }
    message.body = String::from_utf8_lossy(&bytes[head_end + 4..end]).into_owned();
    bytes.drain(..end);
    Some(message)
}

/// Returns the bytes of a request; `headers` holds complete lines, each with its line end.
pub fn request(method: &str, number: &str, call_id: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP soak\r\nCall-ID: {call_id}\r\n\
         CSeq: 1 {method}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Returns the bytes of the 200 that confirms a BYE.
pub fn bye_response(call_id: &str) -> Vec<u8> {
    format!("SIP/2.0 200 OK\r\nCall-ID: {call_id}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n").into_bytes()
}
