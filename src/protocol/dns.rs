//! DNS messages (RFC 1035), as far as NAPTR look-ups (RFC 3403) need them.

use std::fmt;

/// NAPTR.
pub const NAPTR: u16 = 35;
const OPT: u16 = 41;
const IN: u16 = 1;
const HEAD: usize = 12;
/// Largest answer without and with EDNS (RFC 6891; the second is what crosses any link whole).
const PLAIN: usize = 512;
const EXTENDED: usize = 1232;
/// Records read of one section at most.
const MOST_RECORDS: usize = 128;

/// Memory that a compiled substitution expression may take, bytes.
const LARGEST_EXPRESSION: usize = 64 * 1024;

/// No error.
pub const NOERROR: u8 = 0;
/// The query could not be read.
pub const FORMERR: u8 = 1;
/// The server could not do it.
pub const SERVFAIL: u8 = 2;
/// There is no such name.
pub const NXDOMAIN: u8 = 3;
/// This kind of query is not served.
pub const NOTIMP: u8 = 4;
/// The server will not do it.
pub const REFUSED: u8 = 5;

/// A domain name; letters are kept as they came and compared without case.
#[derive(Debug, Clone, Eq)]
pub struct Name(Vec<Vec<u8>>);

impl PartialEq for Name {
    fn eq(&self, other: &Self) -> bool {
        self.0.len() == other.0.len() && self.0.iter().zip(&other.0).all(|(a, b)| a.eq_ignore_ascii_case(b))
    }
}

impl Name {
    /// Reads a name from text, as `4.3.2.1.e164.arpa`.
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.strip_suffix('.').unwrap_or(text);
        let labels: Vec<Vec<u8>> = text.split('.').map(|l| l.as_bytes().to_vec()).collect();
        let fits = labels.iter().all(|l| (1..=63).contains(&l.len()));
        (fits && labels.iter().map(|l| l.len() + 1).sum::<usize>() < 255).then_some(Self(labels))
    }

    /// Whether it lies under a zone.
    pub fn is_under(&self, zone: &Self) -> bool {
        self.0.len() > zone.0.len() && Self(self.0[self.0.len() - zone.0.len()..].to_vec()) == *zone
    }

    /// The number it stands for under a zone, with its plus: single digits, last first (RFC 6116, 3.2).
    pub fn number(&self, zone: &Self) -> Option<String> {
        let digits = self.0.get(..self.0.len().checked_sub(zone.0.len())?)?;
        let single = digits.iter().all(|l| l.len() == 1 && l[0].is_ascii_digit());
        let valid = self.is_under(zone) && single && digits.len() <= 15;
        let text = |l: &Vec<u8>| l.iter().map(|b| char::from(*b)).collect::<String>();
        valid.then(|| format!("+{}", digits.iter().rev().map(text).collect::<String>()))
    }

    fn is_root(&self) -> bool {
        self.0.is_empty()
    }

    fn write(&self, out: &mut Vec<u8>) {
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

/// The name of a number under a zone; `None` if it is no number in full.
pub fn name_of(number: &str, zone: &Name) -> Option<Name> {
    let digits = number.strip_prefix('+').unwrap_or(number);
    let plain: String = digits.chars().filter(|c| !matches!(c, '-' | '.' | ' ' | '(' | ')')).collect();
    let valid = (1..=15).contains(&plain.len()) && plain.bytes().all(|b| b.is_ascii_digit());
    let labels = plain.bytes().rev().map(|b| vec![b]).chain(zone.0.iter().cloned());
    valid.then(|| Name(labels.collect()))
}

/// A NAPTR record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Naptr {
    /// Time to live, s.
    pub ttl: u32,
    /// Lower orders are looked at first.
    pub order: u16,
    /// Within an order lower preferences come first.
    pub preference: u16,
    /// `u`: the result is a URI; empty: look on at the replacement.
    pub flags: Vec<u8>,
    /// As `E2U+sip`.
    pub services: Vec<u8>,
    /// As `!^.*$!sip:info@example.com!`.
    pub regexp: Vec<u8>,
    /// Where to look on; root if there is none.
    pub replacement: Name,
}

/// A message read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Its id.
    pub id: u16,
    /// It is a response.
    pub response: bool,
    /// Kind of query; 0 is the standard one.
    pub opcode: u8,
    /// It was cut to fit.
    pub truncated: bool,
    /// The asker wants recursion.
    pub recursion: bool,
    /// How it went.
    pub rcode: u8,
    /// What is asked: name, type and class.
    pub question: Option<(Name, u16, u16)>,
    /// NAPTR records that belong to the question.
    pub records: Vec<Naptr>,
    /// The asker takes answers of up to this size.
    pub room: usize,
    /// It brought an EDNS record.
    pub edns: bool,
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let part = self.bytes.get(self.at..self.at.checked_add(n)?)?;
        self.at += n;
        Some(part)
    }

    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }

    fn short(&mut self) -> Option<u16> {
        self.take(2).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }

    fn long(&mut self) -> Option<u32> {
        Some(u32::from(self.short()?) << 16 | u32::from(self.short()?))
    }

    fn string(&mut self) -> Option<Vec<u8>> {
        let length = usize::from(self.byte()?);
        self.take(length).map(<[u8]>::to_vec)
    }

    /// A name, compressed or not.
    ///
    /// Guards against pointers that run in a circle: each must lead further back than the last.
    fn name(&mut self) -> Option<Name> {
        let (mut at, mut limit, mut end) = (self.at, self.at, None);
        let (mut labels, mut length) = (Vec::new(), 0);
        loop {
            let size = *self.bytes.get(at)?;
            match size {
                0 => {
                    self.at = end.unwrap_or(at + 1);
                    return Some(Name(labels));
                }
                1..=63 => {
                    let label = self.bytes.get(at + 1..at + 1 + usize::from(size))?;
                    length += label.len() + 1;
                    if length > 254 {
                        return None;
                    }
                    labels.push(label.to_vec());
                    at += 1 + usize::from(size);
                }
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

    /// One record: owner, type, class, and its NAPTR data if it is one.
    fn record(&mut self) -> Option<(Name, u16, u16, Option<Naptr>)> {
        let owner = self.name()?;
        let (kind, class, ttl) = (self.short()?, self.short()?, self.long()?);
        let length = usize::from(self.short()?);
        let end = self.at + length;
        self.bytes.get(self.at..end)?;
        let naptr = if kind == NAPTR {
            let mut inner = Reader { bytes: &self.bytes[..end], at: self.at };
            let record = Naptr {
                ttl,
                order: inner.short()?,
                preference: inner.short()?,
                flags: inner.string()?,
                services: inner.string()?,
                regexp: inner.string()?,
                replacement: inner.name()?,
            };
            (inner.at == end).then_some(record)?.into()
        } else {
            None
        };
        self.at = end;
        Some((owner, kind, class, naptr))
    }
}

/// The id of something that may be no more than a header.
pub fn id_of(bytes: &[u8]) -> Option<(u16, bool)> {
    (bytes.len() >= HEAD).then(|| (u16::from_be_bytes([bytes[0], bytes[1]]), bytes[2] & 0x80 != 0))
}

/// Reads a message; `None` if it is none.
pub fn read(bytes: &[u8]) -> Option<Message> {
    let mut reader = Reader { bytes, at: 0 };
    let (id, flags) = (reader.short()?, reader.short()?);
    let (questions, answers) = (reader.short()?, reader.short()?);
    let (authority, additional) = (reader.short()?, reader.short()?);
    if questions > 1 {
        return None;
    }
    let question = match questions {
        0 => None,
        _ => Some((reader.name()?, reader.short()?, reader.short()?)),
    };
    let mut message = Message {
        id,
        response: flags & 0x8000 != 0,
        opcode: (flags >> 11 & 15) as u8,
        truncated: flags & 0x0200 != 0,
        recursion: flags & 0x0100 != 0,
        rcode: (flags & 15) as u8,
        question,
        records: Vec::new(),
        room: PLAIN,
        edns: false,
    };
    let sections = [usize::from(answers), usize::from(authority), usize::from(additional)];
    for (section, count) in sections.into_iter().enumerate() {
        if count > MOST_RECORDS {
            return None;
        }
        for _ in 0..count {
            let Some((owner, kind, class, naptr)) = reader.record() else {
                // What was cut to fit may end in the middle of a record.
                return message.truncated.then_some(message);
            };
            let asked = message.question.as_ref().is_some_and(|q| q.0 == owner);
            if section == 0 && asked && class == IN {
                message.records.extend(naptr);
            } else if section == 2 && kind == OPT {
                message.edns = true;
                message.room = usize::from(class).clamp(PLAIN, EXTENDED);
            }
        }
    }
    Some(message)
}

/// What can still be read of a message whose records are spoilt: it is marked as cut.
pub fn read_spoilt(bytes: &[u8]) -> Option<Message> {
    let mut cut = bytes.to_vec();
    *cut.get_mut(2)? |= 2;
    read(&cut)
}

fn head(id: u16, flags: u16, counts: [u16; 4]) -> Vec<u8> {
    let words = [id, flags, counts[0], counts[1], counts[2], counts[3]];
    words.iter().flat_map(|w| w.to_be_bytes()).collect()
}

fn opt(out: &mut Vec<u8>) {
    out.push(0);
    out.extend(OPT.to_be_bytes());
    out.extend((EXTENDED as u16).to_be_bytes());
    out.extend([0; 6]);
}

/// A query for the NAPTR records of a name.
pub fn query(id: u16, name: &Name) -> Vec<u8> {
    let mut out = head(id, 0x0100, [1, 0, 0, 1]);
    name.write(&mut out);
    out.extend([NAPTR, IN].iter().flat_map(|w| w.to_be_bytes()));
    opt(&mut out);
    out
}

/// A message as it goes over TCP, its length first (RFC 1035, 4.2.2).
pub fn framed(message: &[u8]) -> Vec<u8> {
    let mut out = (message.len() as u16).to_be_bytes().to_vec();
    out.extend_from_slice(message);
    out
}

/// Whether a query is one that is served, or with which code it is answered.
///
/// # Errors
/// The response code to answer with.
pub fn served(message: &Message, zone: &Name) -> Result<Name, u8> {
    if message.opcode != 0 {
        return Err(NOTIMP);
    }
    let Some((name, kind, class)) = &message.question else { return Err(FORMERR) };
    if *class != IN || *kind != NAPTR || !name.is_under(zone) {
        return Err(REFUSED);
    }
    name.number(zone).map(|_| name.clone()).ok_or(NXDOMAIN)
}

/// A response with the records that fit; what does not fit is left out and the response marked as cut.
pub fn response(to: &Message, rcode: u8, records: &[Naptr]) -> Vec<u8> {
    let mut out = head(to.id, 0, [u16::from(to.question.is_some()), 0, 0, u16::from(to.edns)]);
    if let Some((name, kind, class)) = &to.question {
        name.write(&mut out);
        out.extend([*kind, *class].iter().flat_map(|w| w.to_be_bytes()));
    }
    let room = to.room - if to.edns { 11 } else { 0 };
    let (mut count, mut truncated) = (0u16, false);
    for record in records {
        let mut data =
            [record.order, record.preference].iter().flat_map(|w| w.to_be_bytes()).collect::<Vec<u8>>();
        for text in [&record.flags, &record.services, &record.regexp] {
            data.push(text.len() as u8);
            data.extend_from_slice(text);
        }
        record.replacement.write(&mut data);
        if out.len() + 12 + data.len() > room {
            truncated = true;
            break;
        }
        out.extend([0xc0, HEAD as u8]); // the question's name
        out.extend([NAPTR, IN].iter().flat_map(|w| w.to_be_bytes()));
        out.extend(record.ttl.to_be_bytes());
        out.extend((data.len() as u16).to_be_bytes());
        out.extend(data);
        count += 1;
    }
    if to.edns {
        opt(&mut out);
    }
    let mut flags = 0x8080 | u16::from(rcode & 15) | u16::from(to.opcode) << 11;
    flags |= if truncated { 0x0200 } else { 0 } | if to.recursion { 0x0100 } else { 0 };
    out[2..4].copy_from_slice(&flags.to_be_bytes());
    out[6..8].copy_from_slice(&count.to_be_bytes());
    out
}

/// The answer to what has a header and is otherwise no message.
pub fn formerr(id: u16) -> Vec<u8> {
    head(id, 0x8000 | u16::from(FORMERR), [0, 0, 0, 0])
}

/// What a number's records lead to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lead {
    /// A URI.
    Uri(String),
    /// Another name whose records say more (a non-terminal record).
    On(Name),
}

/// The leads of a number's records, the best first: by order, then by preference (RFC 6116, 3.4).
pub fn leads(records: &[Naptr], number: &str) -> Vec<Lead> {
    let mut sorted: Vec<&Naptr> = records.iter().collect();
    sorted.sort_by_key(|r| (r.order, r.preference));
    sorted.into_iter().filter_map(|r| lead(r, number)).collect()
}

fn lead(record: &Naptr, number: &str) -> Option<Lead> {
    if record.flags.is_empty() {
        // Exactly one of the two leads on.
        let on = !record.replacement.is_root() && record.regexp.is_empty();
        return on.then(|| Lead::On(record.replacement.clone()));
    }
    let services = std::str::from_utf8(&record.services).ok()?.to_ascii_lowercase();
    let mut parts = services.split('+');
    let sip = parts.next() == Some("e2u") && parts.any(|s| s.split(':').next() == Some("sip"));
    if !sip || !record.flags.eq_ignore_ascii_case(b"u") {
        return None;
    }
    substitute(std::str::from_utf8(&record.regexp).ok()?, number).map(Lead::Uri)
}

/// Applies a NAPTR's substitution expression (RFC 3402, 3.2): its first character is the delimiter.
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
    let insensitive = match flags.as_str() {
        "" => false,
        "i" => true,
        _ => return None,
    };
    // Guards memory and time against a server's expression that repeats itself a million times.
    let found = regex_lite::RegexBuilder::new(&pattern)
        .case_insensitive(insensitive)
        .size_limit(LARGEST_EXPRESSION)
        .build()
        .ok()?;
    let groups = found.captures(number)?;
    let whole = groups.get(0)?;
    let mut uri = number[..whole.start()].to_owned();
    let mut chars = replacement.chars();
    while let Some(c) = chars.next() {
        match c {
            '\\' => match chars.next()? {
                d @ '1'..='9' => uri.push_str(groups.get(d as usize - '0' as usize)?.as_str()),
                other => uri.push(other),
            },
            c => uri.push(c),
        }
    }
    uri.push_str(&number[whole.end()..]);
    Some(uri)
}

/// The host of a SIP address.
pub fn host_of(uri: &str) -> Option<&str> {
    let scheme = uri.get(..4).filter(|s| s.eq_ignore_ascii_case("sip:"));
    let rest = scheme
        .map(|_| &uri[4..])
        .or_else(|| uri.get(..5).filter(|s| s.eq_ignore_ascii_case("sips:")).map(|_| &uri[5..]))?;
    let host = rest.rsplit_once('@').map_or(rest, |(_, host)| host);
    host.split([':', ';', '?', '>']).next().filter(|h| !h.is_empty())
}
