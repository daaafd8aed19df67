//! The protocol of the booking exchanges: JSON Lines, one object per message. Holds the stream decoder, a
//! JSON parser and the encoders of outgoing messages.

use std::fmt::Write as _;

/// Maximum line length in bytes, including the line break.
pub const MAX_LINE_BYTES: usize = 16 * 1024;
/// Maximum nesting depth of a value. The parser recurses, so a line of brackets would overflow the stack.
const MAX_DEPTH: usize = 8;

/// A JSON value, reduced to what the protocol uses.
#[derive(Debug, Clone, PartialEq)]
enum Value {
    Text(String),
    Number(f64),
    Object(Vec<(String, Value)>),
    /// An array, a boolean or null, whose content is not kept.
    Other,
}

impl Value {
    fn get(&self, name: &str) -> Option<&Value> {
        let Self::Object(fields) = self else { return None };
        fields.iter().find(|(n, _)| n == name).map(|(_, v)| v)
    }

    /// Returns the value as text if it is a string or a number; exchanges send both in the same fields.
    fn text(&self) -> Option<String> {
        match self {
            Self::Text(text) => Some(text.clone()),
            Self::Number(number) => Some(number.to_string()),
            _ => None,
        }
    }
}

/// A message from a booking exchange.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Kind of message, such as `STARTED` or `FINISH`.
    pub verb: String,
    /// Id of the call; empty if the message belongs to no call.
    pub tag: String,
    /// Q.850 cause of a release (field `rc`).
    pub cause: Option<u32>,
    /// Session description.
    pub blob: Option<String>,
    /// Reason for a refusal, such as `group_full`.
    pub note: Option<String>,
    /// Load report, a list such as `spare:500;total:500`.
    pub load: Option<String>,
}

/// Splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// Number of leading bytes known to hold no line break, so that no byte is searched twice.
    searched: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns whether bytes of an incomplete line are buffered.
    pub fn has_partial_line(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Returns the next message, or `None` if no complete line has arrived. Blank lines are skipped.
    ///
    /// # Errors
    /// If a line is too long or is not a valid message; the connection must then be closed.
    pub fn next_message(&mut self) -> Result<Option<Message>, &'static str> {
        loop {
            let end = self.bytes[self.searched..].iter().position(|b| *b == b'\n');
            let Some(end) = end.map(|e| e + self.searched) else {
                self.searched = self.bytes.len();
                return if self.bytes.len() > MAX_LINE_BYTES { Err("line too long") } else { Ok(None) };
            };
            let line: Vec<u8> = self.bytes.drain(..=end).collect();
            self.searched = 0;
            if line.len() > MAX_LINE_BYTES {
                return Err("line too long");
            }
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            return parse_message(&line).map(Some);
        }
    }
}

/// Parses a line, which must hold one valid message.
fn parse_message(line: &[u8]) -> Result<Message, &'static str> {
    let text = std::str::from_utf8(line).map_err(|_| "line is not UTF-8")?;
    let mut parser = Parser { text, position: 0 };
    let object = parser.parse_value(0).ok_or("line is not JSON")?;
    parser.skip_whitespace();
    if parser.position != text.len() {
        return Err("more than one value on a line");
    }
    let text_of = |value: Option<&Value>| value.and_then(Value::text);
    let opts = object.get("opts");
    let verb = text_of(object.get("verb")).ok_or("no verb")?;
    let message = Message {
        verb,
        tag: text_of(object.get("tag")).unwrap_or_default(),
        cause: match object.get("rc") {
            Some(Value::Number(n)) if (0.0..1e9).contains(n) => Some(*n as u32),
            Some(Value::Text(t)) => t.parse().ok(),
            _ => None,
        },
        blob: text_of(object.get("blob")),
        note: text_of(opts.and_then(|o| o.get("note"))),
        load: text_of(opts.and_then(|o| o.get("load"))),
    };
    // A message with a missing part was corrupted on its way. It is rejected, so that no answer is passed on
    // that the exchange did not give.
    match message.verb.as_str() {
        "STARTED" | "FINISH" if message.tag.is_empty() => Err("no call id"),
        "STARTED" if message.blob.is_none() => Err("STARTED without a description"),
        "FINISH" if message.cause.is_none() => Err("FINISH without a cause"),
        "STARTED" | "FINISH" | "FINISHED" | "PENDING" | "LOAD" | "ECHO" | "ECHOED" | "START" => Ok(message),
        _ => Err("unknown verb"),
    }
}

/// Parses one JSON value after the other.
struct Parser<'a> {
    text: &'a str,
    position: usize,
}

impl Parser<'_> {
    fn remaining(&self) -> &str {
        &self.text[self.position..]
    }

    fn skip_whitespace(&mut self) {
        self.position +=
            self.remaining().len() - self.remaining().trim_start_matches([' ', '\t', '\r', '\n']).len();
    }

    /// Skips whitespace and then `token`; returns whether the token was there.
    fn consume(&mut self, token: &str) -> bool {
        self.skip_whitespace();
        let found = self.remaining().starts_with(token);
        self.position += if found { token.len() } else { 0 };
        found
    }

    fn parse_value(&mut self, depth: usize) -> Option<Value> {
        if depth > MAX_DEPTH {
            return None;
        }
        if self.consume("{") {
            let mut fields = Vec::new();
            if self.consume("}") {
                return Some(Value::Object(fields));
            }
            loop {
                self.skip_whitespace();
                let name = self.parse_string()?;
                if !self.consume(":") {
                    return None;
                }
                fields.push((name, self.parse_value(depth + 1)?));
                if self.consume("}") {
                    return Some(Value::Object(fields));
                }
                if !self.consume(",") {
                    return None;
                }
            }
        }
        if self.consume("[") {
            if self.consume("]") {
                return Some(Value::Other);
            }
            loop {
                self.parse_value(depth + 1)?;
                if self.consume("]") {
                    return Some(Value::Other);
                }
                if !self.consume(",") {
                    return None;
                }
            }
        }
        if ["true", "false", "null"].into_iter().any(|word| self.consume(word)) {
            return Some(Value::Other);
        }
        if self.remaining().starts_with('"') {
            return self.parse_string().map(Value::Text);
        }
        let end = self.remaining().find(|c: char| !matches!(c, '0'..='9' | '-' | '+' | '.' | 'e' | 'E'));
        let number = &self.remaining()[..end.unwrap_or(self.remaining().len())];
        let (length, number) = (number.len(), number.parse().ok()?);
        self.position += length;
        Some(Value::Number(number))
    }

    fn parse_string(&mut self) -> Option<String> {
        if !self.remaining().starts_with('"') {
            return None;
        }
        self.position += 1;
        let mut out = String::new();
        loop {
            let unescaped = self.remaining().find(['"', '\\'])?;
            out.push_str(&self.remaining()[..unescaped]);
            self.position += unescaped + 1;
            if self.text.as_bytes()[self.position - 1] == b'"' {
                return Some(out);
            }
            let escape = self.remaining().chars().next()?;
            self.position += escape.len_utf8();
            match escape {
                '"' | '\\' | '/' => out.push(escape),
                'b' => out.push('\u{8}'),
                'f' => out.push('\u{c}'),
                'n' => out.push('\n'),
                'r' => out.push('\r'),
                't' => out.push('\t'),
                'u' => {
                    let mut code = self.parse_hex4()?;
                    if (0xd800..0xdc00).contains(&code) && self.remaining().starts_with("\\u") {
                        self.position += 2;
                        let low = self.parse_hex4().filter(|l| (0xdc00..0xe000).contains(l))?;
                        code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
                    }
                    out.push(char::from_u32(code)?);
                }
                _ => return None,
            }
        }
    }

    /// Parses the four hexadecimal digits of a `\u` escape.
    fn parse_hex4(&mut self) -> Option<u32> {
        let digits = self.remaining().get(..4).filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()))?;
        let code = u32::from_str_radix(digits, 16).ok()?;
        self.position += 4;
        Some(code)
    }
}

/// Appends `text` as a quoted JSON string.
fn write_string(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            c if c < ' ' => {
                let _ = write!(out, "\\u{:04x}", u32::from(c));
            }
            c => out.push(c),
        }
    }
    out.push('"');
}

/// Encodes a set-up. `key` is the called number, `left_ms` the time in milliseconds until the caller gives
/// up.
pub fn start(tag: &str, class: &str, key: &str, left_ms: u128, blob: &str) -> Vec<u8> {
    let mut line = String::from("{\"verb\":\"START\",\"tag\":");
    write_string(tag, &mut line);
    line.push_str(",\"opts\":{\"class\":");
    write_string(class, &mut line);
    line.push_str(",\"key\":");
    write_string(key, &mut line);
    let _ = write!(line, ",\"left\":\"{left_ms}\"}},\"blob\":");
    write_string(blob, &mut line);
    line.push_str("}\n");
    line.into_bytes()
}

/// Encodes the end of a call: a set-up that is given up, or a release with its Q.850 cause.
pub fn finish(tag: &str, cause: u32) -> Vec<u8> {
    let mut line = String::from("{\"verb\":\"FINISH\",\"tag\":");
    write_string(tag, &mut line);
    let _ = writeln!(line, ",\"opts\":{{}},\"rc\":{cause}}}");
    line.into_bytes()
}

/// Encodes a reply without content, such as `FINISHED` or `ECHOED`, with an optional cause.
pub fn reply(verb: &str, tag: &str, cause: Option<u32>) -> Vec<u8> {
    let mut line = format!("{{\"verb\":\"{verb}\",\"tag\":");
    write_string(tag, &mut line);
    line.push_str(",\"opts\":{}");
    if let Some(cause) = cause {
        let _ = write!(line, ",\"rc\":{cause}");
    }
    line.push_str("}\n");
    line.into_bytes()
}
