//! The booking exchanges' wire: one JSON object a line. Decoder, parser and writer.

use std::fmt::Write as _;

/// Largest line taken.
pub const MAX_LINE_BYTES: usize = 16 * 1024;
/// Deepest nesting taken: guards the stack against a line of brackets.
const DEEPEST: usize = 8;

/// A JSON value, as far as the wire uses them.
#[derive(Debug, Clone, PartialEq)]
enum Value {
    Text(String),
    Number(f64),
    Fields(Vec<(String, Value)>),
    /// Lists, booleans and null: read and passed over.
    Other,
}

impl Value {
    fn get(&self, name: &str) -> Option<&Value> {
        let Self::Fields(fields) = self else { return None };
        fields.iter().find(|(n, _)| n == name).map(|(_, v)| v)
    }

    /// Fields may be strings or numbers.
    fn text(&self) -> Option<String> {
        match self {
            Self::Text(text) => Some(text.clone()),
            Self::Number(number) => Some(number.to_string()),
            _ => None,
        }
    }
}

/// What a booking exchange says.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// `START`, `STARTED`, `FINISH` and so on.
    pub verb: String,
    /// The call, or empty.
    pub tag: String,
    /// Cause of a release.
    pub cause: Option<u32>,
    /// Description.
    pub blob: Option<String>,
    /// Why it was turned away.
    pub note: Option<String>,
    /// Load report.
    pub load: Option<String>,
}

/// Cuts a stream of bytes into lines.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    searched: usize,
}

impl Decoder {
    /// Takes what was read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether it holds a part of a line.
    pub fn has_partial_line(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// The next line, if a whole one is there.
    ///
    /// # Errors
    /// When a line is too long or is no message; the connection is then of no more use.
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
            return parse(&line).map(Some);
        }
    }
}

fn parse(line: &[u8]) -> Result<Message, &'static str> {
    let text = std::str::from_utf8(line).map_err(|_| "line is not UTF-8")?;
    let mut parser = Parser { text, at: 0 };
    let object = parser.value(0).ok_or("line is no JSON")?;
    parser.space();
    if parser.at != text.len() {
        return Err("more than one value on a line");
    }
    let string = |value: Option<&Value>| value.and_then(Value::text);
    let opts = object.get("opts");
    let verb = string(object.get("verb")).ok_or("no verb")?;
    let message = Message {
        verb,
        tag: string(object.get("tag")).unwrap_or_default(),
        cause: match object.get("rc") {
            Some(Value::Number(n)) if (0.0..1e9).contains(n) => Some(*n as u32),
            Some(Value::Text(t)) => t.parse().ok(),
            _ => None,
        },
        blob: string(object.get("blob")),
        note: string(opts.and_then(|o| o.get("note"))),
        load: string(opts.and_then(|o| o.get("load"))),
    };
    // Guards against an answer passed on that no exchange made: what lacks a part was spoilt on its way.
    match message.verb.as_str() {
        "STARTED" | "FINISH" if message.tag.is_empty() => Err("no call named"),
        "STARTED" if message.blob.is_none() => Err("answer without its description"),
        "FINISH" if message.cause.is_none() => Err("end without its cause"),
        "STARTED" | "FINISH" | "FINISHED" | "PENDING" | "LOAD" | "ECHO" | "ECHOED" | "START" => Ok(message),
        _ => Err("unknown verb"),
    }
}

struct Parser<'a> {
    text: &'a str,
    at: usize,
}

impl Parser<'_> {
    fn rest(&self) -> &str {
        &self.text[self.at..]
    }

    fn space(&mut self) {
        self.at += self.rest().len() - self.rest().trim_start_matches([' ', '\t', '\r', '\n']).len();
    }

    fn eat(&mut self, token: &str) -> bool {
        self.space();
        let found = self.rest().starts_with(token);
        self.at += if found { token.len() } else { 0 };
        found
    }

    fn value(&mut self, depth: usize) -> Option<Value> {
        if depth > DEEPEST {
            return None;
        }
        if self.eat("{") {
            let mut fields = Vec::new();
            if self.eat("}") {
                return Some(Value::Fields(fields));
            }
            loop {
                self.space();
                let name = self.string()?;
                if !self.eat(":") {
                    return None;
                }
                fields.push((name, self.value(depth + 1)?));
                if self.eat("}") {
                    return Some(Value::Fields(fields));
                }
                if !self.eat(",") {
                    return None;
                }
            }
        }
        if self.eat("[") {
            if self.eat("]") {
                return Some(Value::Other);
            }
            loop {
                self.value(depth + 1)?;
                if self.eat("]") {
                    return Some(Value::Other);
                }
                if !self.eat(",") {
                    return None;
                }
            }
        }
        if ["true", "false", "null"].into_iter().any(|word| self.eat(word)) {
            return Some(Value::Other);
        }
        if self.rest().starts_with('"') {
            return self.string().map(Value::Text);
        }
        let end = self.rest().find(|c: char| !matches!(c, '0'..='9' | '-' | '+' | '.' | 'e' | 'E'));
        let number = &self.rest()[..end.unwrap_or(self.rest().len())];
        let (length, number) = (number.len(), number.parse().ok()?);
        self.at += length;
        Some(Value::Number(number))
    }

    fn string(&mut self) -> Option<String> {
        if !self.rest().starts_with('"') {
            return None;
        }
        self.at += 1;
        let mut out = String::new();
        loop {
            let plain = self.rest().find(['"', '\\'])?;
            out.push_str(&self.rest()[..plain]);
            self.at += plain + 1;
            if self.text.as_bytes()[self.at - 1] == b'"' {
                return Some(out);
            }
            let escape = self.rest().chars().next()?;
            self.at += escape.len_utf8();
            match escape {
                '"' | '\\' | '/' => out.push(escape),
                'b' => out.push('\u{8}'),
                'f' => out.push('\u{c}'),
                'n' => out.push('\n'),
                'r' => out.push('\r'),
                't' => out.push('\t'),
                'u' => {
                    let mut code = self.hex()?;
                    if (0xd800..0xdc00).contains(&code) && self.rest().starts_with("\\u") {
                        self.at += 2;
                        let low = self.hex().filter(|l| (0xdc00..0xe000).contains(l))?;
                        code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
                    }
                    out.push(char::from_u32(code)?);
                }
                _ => return None,
            }
        }
    }

    fn hex(&mut self) -> Option<u32> {
        let digits = self.rest().get(..4).filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()))?;
        let code = u32::from_str_radix(digits, 16).ok()?;
        self.at += 4;
        Some(code)
    }
}

fn quote(text: &str, out: &mut String) {
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

/// A set-up.
pub fn start(tag: &str, class: &str, key: &str, left_ms: u128, blob: &str) -> Vec<u8> {
    let mut line = String::from("{\"verb\":\"START\",\"tag\":");
    quote(tag, &mut line);
    line.push_str(",\"opts\":{\"class\":");
    quote(class, &mut line);
    line.push_str(",\"key\":");
    quote(key, &mut line);
    let _ = write!(line, ",\"left\":\"{left_ms}\"}},\"blob\":");
    quote(blob, &mut line);
    line.push_str("}\n");
    line.into_bytes()
}

/// A set-up given up, or a release.
pub fn finish(tag: &str, cause: u32) -> Vec<u8> {
    let mut line = String::from("{\"verb\":\"FINISH\",\"tag\":");
    quote(tag, &mut line);
    let _ = writeln!(line, ",\"opts\":{{}},\"rc\":{cause}}}");
    line.into_bytes()
}

/// A message with no more than a verb, a call and perhaps a cause: `FINISHED`, `ECHOED`.
pub fn reply(verb: &str, tag: &str, cause: Option<u32>) -> Vec<u8> {
    let mut line = format!("{{\"verb\":\"{verb}\",\"tag\":");
    quote(tag, &mut line);
    line.push_str(",\"opts\":{}");
    if let Some(cause) = cause {
        let _ = write!(line, ",\"rc\":{cause}");
    }
    line.push_str("}\n");
    line.into_bytes()
}
