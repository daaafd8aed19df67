//! The client's side of SIP: messages out, and a reader of what comes back.

/// A message from the router.
#[derive(Debug, Clone)]
pub struct Message {
    /// First line.
    pub first: String,
    headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> Option<u16> {
        self.first.strip_prefix("SIP/2.0 ")?.split(' ').next()?.parse().ok()
    }
}

/// Takes the next whole message off the front of what was read.
pub fn take(bytes: &mut Vec<u8>) -> Option<Message> {
    let head_end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':').map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())))
        .collect();
    let mut message = Message { first, headers, body: String::new() };
    let length: usize = message.header("Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let end = head_end + 4 + length;
    if bytes.len() < end {
        return None;
    }
    message.body = String::from_utf8_lossy(&bytes[head_end + 4..end]).into_owned();
    bytes.drain(..end);
    Some(message)
}

/// A request with its headers and body.
pub fn request(method: &str, number: &str, call: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP soak\r\nCall-ID: {call}\r\nCSeq: 1 {method}\r\n\
         {headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The confirmation of a release.
pub fn bye_confirmed(call: &str) -> Vec<u8> {
    format!("SIP/2.0 200 OK\r\nCall-ID: {call}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n").into_bytes()
}
