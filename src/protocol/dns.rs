//! DNS messages (RFC 1035), limited to what NAPTR look-ups (RFC 3403) need, and the rules of ENUM (RFC 6116).

use std::fmt;

/// Record type NAPTR.
pub const NAPTR: u16 = 35;
/// Record type OPT (EDNS, RFC 6891).
const OPT: u16 = 41;
/// Class IN.
const IN: u16 = 1;
/// Size of the message header in bytes.
const HEADER_BYTES: usize = 12;
/// Header flag QR: the message is a response.
const QR: u16 = 0x8000;
/// Header flag TC: the message was truncated.
const TC: u16 = 0x0200;
/// Header flag RD: recursion is desired.
const RD: u16 = 0x0100;
/// Header flag RA: recursion is available.
const RA: u16 = 0x0080;
/// Size in bytes of the OPT record that is sent.
const OPT_BYTES: usize = 11;
/// Size in bytes of a record without its data, with its owner given as a pointer.
const RECORD_HEADER_BYTES: usize = 12;
/// Maximum number of digits of an E.164 number.
const MAX_E164_DIGITS: usize = 15;
/// Maximum response size in bytes without EDNS.
const MAX_RESPONSE_BYTES: usize = 512;
/// Maximum response size in bytes with EDNS (RFC 6891). A datagram of this size crosses any link without
/// fragmentation.
const MAX_EDNS_RESPONSE_BYTES: usize = 1232;
/// Maximum number of records in one section; a message with more is rejected.
const MAX_RECORDS: usize = 128;

/// Maximum memory in bytes for a compiled substitution expression.
const MAX_EXPRESSION_BYTES: usize = 64 * 1024;

/// Response code: no error.
pub const NOERROR: u8 = 0;
/// Response code: the query could not be interpreted.
pub const FORMERR: u8 = 1;
/// Response code: the server failed to process the query.
pub const SERVFAIL: u8 = 2;
/// Response code: the name does not exist.
pub const NXDOMAIN: u8 = 3;
/// Response code: the kind of query is not supported.
pub const NOTIMP: u8 = 4;
/// Response code: the server refuses the query by policy.
pub const REFUSED: u8 = 5;

/// A domain name. The case of letters is preserved, and ignored in comparisons.
#[derive(Debug, Clone, Eq)]
pub struct Name(Vec<Vec<u8>>);

impl PartialEq for Name {
    fn eq(&self, other: &Self) -> bool {
        self.0.len() == other.0.len() && self.0.iter().zip(&other.0).all(|(a, b)| a.eq_ignore_ascii_case(b))
    }
}

impl Name {
    /// Parses a name such as `4.3.2.1.e164.arpa`; returns `None` if a label or the name has an invalid
    /// length.
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.strip_suffix('.').unwrap_or(text);
        let labels: Vec<Vec<u8>> = text.split('.').map(|l| l.as_bytes().to_vec()).collect();
        let lengths_valid = labels.iter().all(|l| (1..=63).contains(&l.len()));
        (lengths_valid && labels.iter().map(|l| l.len() + 1).sum::<usize>() < 255).then_some(Self(labels))
    }

    /// Returns whether the name lies below the apex of `zone`.
    pub fn is_under(&self, zone: &Self) -> bool {
        self.0.len() > zone.0.len() && Self(self.0[self.0.len() - zone.0.len()..].to_vec()) == *zone
    }

    /// Returns the E.164 number, with a leading `+`, that the name encodes under `zone`: one label per digit,
    /// the last digit first (RFC 6116, section 3.2).
    pub fn e164_number(&self, zone: &Self) -> Option<String> {
        let digits = self.0.get(..self.0.len().checked_sub(zone.0.len())?)?;
        let is_all_digits = digits.iter().all(|l| l.len() == 1 && l[0].is_ascii_digit());
        let is_valid = self.is_under(zone) && is_all_digits && digits.len() <= MAX_E164_DIGITS;
        let text = |l: &Vec<u8>| l.iter().map(|b| char::from(*b)).collect::<String>();
        is_valid.then(|| format!("+{}", digits.iter().rev().map(text).collect::<String>()))
    }

    fn is_root(&self) -> bool {
        self.0.is_empty()
    }

    fn encode(&self, out: &mut Vec<u8>) {
        for label in &self.0 {
            out.push(label.len() as u8);
            out.extend_from_slice(label);
        }
        out.push(0);
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text: Vec<String> = self.0.iter().map(|l| String::from_utf8_lossy(l).into_owned()).collect();
        f.write_str(&text.join("."))
    }
}

/// Returns the name that encodes an E.164 number under a zone, or `None` if it is not a full number.
pub fn name_for_number(number: &str, zone: &Name) -> Option<Name> {
    let digits = number.strip_prefix('+').unwrap_or(number);
    let digits_only: String = digits.chars().filter(|c| !matches!(c, '-' | '.' | ' ' | '(' | ')')).collect();
    let is_valid =
        (1..=MAX_E164_DIGITS).contains(&digits_only.len()) && digits_only.bytes().all(|b| b.is_ascii_digit());
    let labels = digits_only.bytes().rev().map(|b| vec![b]).chain(zone.0.iter().cloned());
    is_valid.then(|| Name(labels.collect()))
}

/// A NAPTR record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Naptr {
    /// Time to live in seconds.
    pub ttl: u32,
    /// Records with a lower order are processed first.
    pub order: u16,
    /// Among records of equal order, those with a lower preference come first.
    pub preference: u16,
    /// `u` if the result is a URI; empty if the look-up continues at the replacement.
    pub flags: Vec<u8>,
    /// Services, such as `E2U+sip`.
    pub services: Vec<u8>,
    /// Substitution expression, such as `!^.*$!sip:info@example.com!`.
    pub regexp: Vec<u8>,
    /// Name at which the look-up continues, or the root name.
    pub replacement: Name,
}

/// A decoded message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Message id.
    pub id: u16,
    /// Whether the message is a response.
    pub is_response: bool,
    /// Kind of query; 0 for a standard query.
    pub opcode: u8,
    /// Whether the message was truncated (TC bit).
    pub is_truncated: bool,
    /// Whether the client asks for recursion (RD bit).
    pub recursion_desired: bool,
    /// Response code.
    pub rcode: u8,
    /// Question: name, type and class.
    pub question: Option<(Name, u16, u16)>,
    /// NAPTR records of the answer section whose owner is the name in the question.
    pub records: Vec<Naptr>,
    /// Maximum size in bytes of a response to this message.
    pub max_response_bytes: usize,
    /// Whether the message has an OPT record.
    pub has_edns: bool,
}

/// Reads the fields of a message one after the other.
struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    fn read_bytes(&mut self, n: usize) -> Option<&'a [u8]> {
        let part = self.bytes.get(self.position..self.position.checked_add(n)?)?;
        self.position += n;
        Some(part)
    }

    fn read_u8(&mut self) -> Option<u8> {
        self.read_bytes(1).map(|b| b[0])
    }

    fn read_u16(&mut self) -> Option<u16> {
        self.read_bytes(2).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }

    fn read_u32(&mut self) -> Option<u32> {
        Some(u32::from(self.read_u16()?) << 16 | u32::from(self.read_u16()?))
    }

    /// Reads a character string: a length byte and that many bytes.
    fn read_string(&mut self) -> Option<Vec<u8>> {
        let length = usize::from(self.read_u8()?);
        self.read_bytes(length).map(<[u8]>::to_vec)
    }

    /// Reads a name, with or without compression. Each pointer must lead further back than the one before, so
    /// that a loop of pointers ends.
    fn read_name(&mut self) -> Option<Name> {
        let (mut at, mut limit, mut end) = (self.position, self.position, None);
        let (mut labels, mut length) = (Vec::new(), 0);
        loop {
            let size = *self.bytes.get(at)?;
            match size {
                0 => {
                    self.position = end.unwrap_or(at + 1);
                    return Some(Name(labels));
                }
                // A label of that length.
                1..=63 => {
                    let label = self.bytes.get(at + 1..at + 1 + usize::from(size))?;
                    length += label.len() + 1;
                    if length > 254 {
                        return None;
                    }
                    labels.push(label.to_vec());
                    at += 1 + usize::from(size);
                }
                // A pointer to the rest of the name, in the low 14 bits.
                192.. => {
                    let target = usize::from(size & 63) << 8 | usize::from(*self.bytes.get(at + 1)?);
                    end.get_or_insert(at + 2);
                    if target >= limit {
                        return None;
                    }
                    (at, limit) = (target, target);
                }
                _ => return None,
            }
        }
    }

    /// Reads a record and returns its owner, type and class, and its data if it is a NAPTR record.
    fn read_record(&mut self) -> Option<(Name, u16, u16, Option<Naptr>)> {
        let owner = self.read_name()?;
        let (kind, class, ttl) = (self.read_u16()?, self.read_u16()?, self.read_u32()?);
        let length = usize::from(self.read_u16()?);
        let end = self.position + length;
        self.bytes.get(self.position..end)?;
        let naptr = if kind == NAPTR {
            let mut inner = Reader { bytes: &self.bytes[..end], position: self.position };
            let record = Naptr {
                ttl,
                order: inner.read_u16()?,
                preference: inner.read_u16()?,
                flags: inner.read_string()?,
                services: inner.read_string()?,
                regexp: inner.read_string()?,
                replacement: inner.read_name()?,
            };
            (inner.position == end).then_some(record)?.into()
        } else {
            None
        };
        self.position = end;
        Some((owner, kind, class, naptr))
    }
}

/// Returns the id and whether the QR bit marks a response, for a message of which only the header need be
/// valid.
pub fn decode_header(bytes: &[u8]) -> Option<(u16, bool)> {
    (bytes.len() >= HEADER_BYTES).then(|| (u16::from_be_bytes([bytes[0], bytes[1]]), bytes[2] & 0x80 != 0))
}

/// Decodes a message; returns `None` if it is not valid.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let mut reader = Reader { bytes, position: 0 };
    let (id, flags) = (reader.read_u16()?, reader.read_u16()?);
    let (questions, answers) = (reader.read_u16()?, reader.read_u16()?);
    let (authority, additional) = (reader.read_u16()?, reader.read_u16()?);
    if questions > 1 {
        return None;
    }
    let question = match questions {
        0 => None,
        _ => Some((reader.read_name()?, reader.read_u16()?, reader.read_u16()?)),
    };
    let mut message = Message {
        id,
        is_response: flags & QR != 0,
        opcode: (flags >> 11 & 15) as u8,
        is_truncated: flags & TC != 0,
        recursion_desired: flags & RD != 0,
        rcode: (flags & 15) as u8,
        question,
        records: Vec::new(),
        max_response_bytes: MAX_RESPONSE_BYTES,
        has_edns: false,
    };
    let sections = [usize::from(answers), usize::from(authority), usize::from(additional)];
    for (section, count) in sections.into_iter().enumerate() {
        if count > MAX_RECORDS {
            return None;
        }
        for _ in 0..count {
            let Some((owner, kind, class, naptr)) = reader.read_record() else {
                // A truncated message may end inside a record.
                return message.is_truncated.then_some(message);
            };
            let is_for_question = message.question.as_ref().is_some_and(|q| q.0 == owner);
            if section == 0 && is_for_question && class == IN {
                message.records.extend(naptr);
            } else if section == 2 && kind == OPT {
                message.has_edns = true;
                message.max_response_bytes =
                    usize::from(class).clamp(MAX_RESPONSE_BYTES, MAX_EDNS_RESPONSE_BYTES);
            }
        }
    }
    Some(message)
}

/// Decodes what it can of a message with corrupt records; the result is marked as truncated.
pub fn decode_corrupt(bytes: &[u8]) -> Option<Message> {
    let mut marked = bytes.to_vec();
    *marked.get_mut(2)? |= 2; // flag TC
    decode(&marked)
}

fn encode_header(id: u16, flags: u16, counts: [u16; 4]) -> Vec<u8> {
    let words = [id, flags, counts[0], counts[1], counts[2], counts[3]];
    words.iter().flat_map(|w| w.to_be_bytes()).collect()
}

/// Appends an OPT record that announces the largest size accepted.
fn encode_opt(out: &mut Vec<u8>) {
    out.push(0);
    out.extend(OPT.to_be_bytes());
    out.extend((MAX_EDNS_RESPONSE_BYTES as u16).to_be_bytes());
    out.extend([0; 6]);
}

/// Encodes a query for the NAPTR records of a name.
pub fn query(id: u16, name: &Name) -> Vec<u8> {
    let mut out = encode_header(id, RD, [1, 0, 0, 1]);
    name.encode(&mut out);
    out.extend([NAPTR, IN].iter().flat_map(|w| w.to_be_bytes()));
    encode_opt(&mut out);
    out
}

/// Prefixes a message with its length, as it is sent over TCP (RFC 1035, section 4.2.2).
pub fn with_length_prefix(message: &[u8]) -> Vec<u8> {
    let mut out = (message.len() as u16).to_be_bytes().to_vec();
    out.extend_from_slice(message);
    out
}

/// Checks that a query asks for the NAPTR records of a number in `zone`, and returns the name it asks for.
///
/// # Errors
/// The response code with which to answer any other query.
pub fn validate_query(message: &Message, zone: &Name) -> Result<Name, u8> {
    if message.opcode != 0 {
        return Err(NOTIMP);
    }
    let Some((name, kind, class)) = &message.question else { return Err(FORMERR) };
    if *class != IN || *kind != NAPTR || !name.is_under(zone) {
        return Err(REFUSED);
    }
    name.e164_number(zone).map(|_| name.clone()).ok_or(NXDOMAIN)
}

/// Encodes a response. Records that exceed the maximum response size are omitted, and the response is then
/// marked as truncated.
pub fn response(to: &Message, rcode: u8, records: &[Naptr]) -> Vec<u8> {
    let mut out = encode_header(to.id, 0, [u16::from(to.question.is_some()), 0, 0, u16::from(to.has_edns)]);
    if let Some((name, kind, class)) = &to.question {
        name.encode(&mut out);
        out.extend([*kind, *class].iter().flat_map(|w| w.to_be_bytes()));
    }
    let available = to.max_response_bytes - if to.has_edns { OPT_BYTES } else { 0 };
    let (mut count, mut truncated) = (0u16, false);
    for record in records {
        let mut data =
            [record.order, record.preference].iter().flat_map(|w| w.to_be_bytes()).collect::<Vec<u8>>();
        for text in [&record.flags, &record.services, &record.regexp] {
            data.push(text.len() as u8);
            data.extend_from_slice(text);
        }
        record.replacement.encode(&mut data);
        if out.len() + RECORD_HEADER_BYTES + data.len() > available {
            truncated = true;
            break;
        }
        out.extend([0xc0, HEADER_BYTES as u8]); // pointer to the name in the question
        out.extend([NAPTR, IN].iter().flat_map(|w| w.to_be_bytes()));
        out.extend(record.ttl.to_be_bytes());
        out.extend((data.len() as u16).to_be_bytes());
        out.extend(data);
        count += 1;
    }
    if to.has_edns {
        encode_opt(&mut out);
    }
    let mut flags = QR | RA | u16::from(rcode & 15) | u16::from(to.opcode) << 11;
    flags |= if truncated { TC } else { 0 } | if to.recursion_desired { RD } else { 0 };
    out[2..4].copy_from_slice(&flags.to_be_bytes());
    out[6..8].copy_from_slice(&count.to_be_bytes());
    out
}

/// Encodes the response to a message of which only the header is valid.
pub fn format_error_response(id: u16) -> Vec<u8> {
    encode_header(id, QR | u16::from(FORMERR), [0, 0, 0, 0])
}

/// Result of applying a NAPTR record to a number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// URI given by a terminal record.
    Uri(String),
    /// Name at which the look-up continues, given by a non-terminal record.
    Name(Name),
}

/// Returns the targets of a number's usable records, sorted by order and then by preference (RFC 6116,
/// section 3.4).
pub fn targets(records: &[Naptr], number: &str) -> Vec<Target> {
    let mut sorted: Vec<&Naptr> = records.iter().collect();
    sorted.sort_by_key(|r| (r.order, r.preference));
    sorted.into_iter().filter_map(|r| target(r, number)).collect()
}

/// Returns the target of a record, or `None` if the record is not usable.
fn target(record: &Naptr, number: &str) -> Option<Target> {
    if record.flags.is_empty() {
        // A usable non-terminal record has a replacement and no expression.
        let has_replacement = !record.replacement.is_root() && record.regexp.is_empty();
        return has_replacement.then(|| Target::Name(record.replacement.clone()));
    }
    let services = std::str::from_utf8(&record.services).ok()?.to_ascii_lowercase();
    let mut parts = services.split('+');
    let is_sip = parts.next() == Some("e2u") && parts.any(|s| s.split(':').next() == Some("sip"));
    if !is_sip || !record.flags.eq_ignore_ascii_case(b"u") {
        return None;
    }
    substitute(std::str::from_utf8(&record.regexp).ok()?, number).map(Target::Uri)
}

/// Applies a substitution expression to a number (RFC 3402, section 3.2). The first character of the
/// expression is its delimiter.
fn substitute(expression: &str, number: &str) -> Option<String> {
    let delimiter = expression.chars().next().filter(|c| !c.is_ascii_digit() && !matches!(c, '\\' | 'i'))?;
    let mut parts = vec![String::new()];
    let mut chars = expression[delimiter.len_utf8()..].chars();
    while let Some(c) = chars.next() {
        let last = parts.last_mut()?;
        match c {
            '\\' => match chars.next()? {
                d if d == delimiter => last.push(d),
                other => last.extend(['\\', other]),
            },
            c if c == delimiter => parts.push(String::new()),
            c => last.push(c),
        }
    }
    let [pattern, replacement, flags] = parts.try_into().ok()?;
    let is_case_insensitive = match flags.as_str() {
        "" => false,
        "i" => true,
        _ => return None,
    };
    // A server may send an expression with nested repetitions that would take excessive memory and time to
    // compile.
    let regex = regex_lite::RegexBuilder::new(&pattern)
        .case_insensitive(is_case_insensitive)
        .size_limit(MAX_EXPRESSION_BYTES)
        .build()
        .ok()?;
    let captures = regex.captures(number)?;
    let matched = captures.get(0)?;
    let mut uri = number[..matched.start()].to_owned();
    let mut chars = replacement.chars();
    while let Some(c) = chars.next() {
        match c {
            '\\' => match chars.next()? {
                d @ '1'..='9' => uri.push_str(captures.get(d as usize - '0' as usize)?.as_str()),
                other => uri.push(other),
            },
            c => uri.push(c),
        }
    }
    uri.push_str(&number[matched.end()..]);
    Some(uri)
}

/// Returns the host of a `sip:` or `sips:` URI.
pub fn sip_uri_host(uri: &str) -> Option<&str> {
    let scheme = uri.get(..4).filter(|s| s.eq_ignore_ascii_case("sip:"));
    let rest = scheme
        .map(|_| &uri[4..])
        .or_else(|| uri.get(..5).filter(|s| s.eq_ignore_ascii_case("sips:")).map(|_| &uri[5..]))?;
    let host = rest.rsplit_once('@').map_or(rest, |(_, host)| host);
    host.split([':', ';', '?', '>']).next().filter(|h| !h.is_empty())
}
