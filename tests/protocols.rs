//! Tests of the protocol decoders with input split at any point and with corrupted input.

use quartzspindle::protocol::{coordinator, dns, jsonl, sip, vrrp::Advertisement};
use rstest::rstest;

const INVITE: &[u8] =
    b"\r\n\r\nINVITE sip:7f3a@net SIP/2.0\r\nVia: a\r\n b\r\ncall-id: 9b\r\nCSeq: 1 INVITE\r\n\
    Content-Length: 4\r\n\r\n\r\n\xc3\xa9SIP/2.0 200 OK\r\nCall-ID: 9c\r\nContent-Length: 0\r\n\r\n";

const LINES: &[u8] = b"{\"verb\":\"FINISH\",\"tag\":\"9b\",\"opts\":{\"note\":\"group_full\",\
    \"load\":\"spare:1\",\"n\":[1,{\"a\":null}]},\"rc\":34}\n\n\
    \x20{\"blob\":\"\\u00e9\\ud83d\\ude00\\r\\n\\/\",\"verb\":\"STARTED\",\"tag\":7}\n";

fn frames() -> Vec<u8> {
    let mut bytes = vec![0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 4, 0];
    bytes.extend([0, 0, 0, 36, 0, 0, 0, 0, 0, 0, 1, 5, 1, 0, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 15, 28]);
    bytes.extend([1, 2, 0, 0, 3, 0, 0, 3, 232, 0, 0, 1, 144, 0, 0, 0, 1]);
    bytes
}

/// Feeds a stream to a decoder in pieces of a given size and returns everything that it decodes.
fn decode_in_pieces<T>(bytes: &[u8], size: usize, feed: impl FnMut(&[u8]) -> Vec<T>) -> Vec<T> {
    bytes.chunks(size).flat_map(feed).collect()
}

/// Collects results until there are no more.
fn collect_all<T, E: std::fmt::Debug>(mut next: impl FnMut() -> Result<Option<T>, E>) -> Vec<T> {
    std::iter::from_fn(|| next().unwrap()).collect()
}

#[rstest]
fn decoders_do_not_depend_on_how_a_stream_is_split(#[values(1, 2, 3, 7, 50, 1000)] size: usize) {
    let mut decoder = sip::Decoder::default();
    let messages = decode_in_pieces(INVITE, size, |p| {
        decoder.feed(p);
        collect_all(|| decoder.next_message())
    });
    assert_eq!(messages.len(), 2);
    assert_eq!(
        messages[0].start_line,
        sip::StartLine::Request { method: "INVITE".into(), user: "7f3a".into() }
    );
    assert_eq!((messages[0].call_id(), messages[0].header("VIA")), (Some("9b"), Some("a b")));
    assert_eq!(messages[0].body, b"\r\n\xc3\xa9");
    assert_eq!(messages[1].start_line, sip::StartLine::Response(200));

    let mut decoder = jsonl::Decoder::default();
    let lines = decode_in_pieces(LINES, size, |p| {
        decoder.feed(p);
        collect_all(|| decoder.next_message())
    });
    assert_eq!((lines[0].cause, lines[0].note.as_deref(), lines.len()), (Some(34), Some("group_full"), 2));
    assert_eq!((lines[1].blob.as_deref(), lines[1].tag.as_str()), (Some("é😀\r\n/"), "7"));

    let mut decoder = coordinator::Decoder::default();
    let frames = decode_in_pieces(&frames(), size, |p| {
        decoder.feed(p);
        collect_all(|| decoder.next_frame())
    });
    assert_eq!((frames[0].event_number, &frames[0].update), (4, &None));
    let update = frames[1].update.as_ref().unwrap();
    assert_eq!((frames[1].event_number, update.is_full, update.records.len()), (261, true, 1));
    let record = &update.records[0];
    assert_eq!((record.id.as_str(), record.address.to_string().as_str()), ("s-00c41f7a", "10.1.0.9:3868"));
    assert_eq!((record.state, record.zone, record.node, record.started_ms), (1, 2, 3, 0x0190_0000_0001));
}

#[test]
fn descriptions_survive_encoding_and_decoding_unchanged() {
    let blob: String = (0..0x300u32).filter_map(char::from_u32).chain(['\u{10ffff}', '"', '\\']).collect();
    let line = jsonl::start("t\"ag", "voice", "+386", 1500, &blob);
    let mut decoder = jsonl::Decoder::default();
    decoder.feed(&line);
    let decoded = decoder.next_message().unwrap().unwrap();
    assert_eq!((decoded.blob, decoded.tag.as_str()), (Some(blob), "t\"ag"));
}

#[test]
fn input_that_never_ends_is_rejected() {
    let mut sip = sip::Decoder::default();
    sip.feed(&[b'a'; 20_000]);
    assert_eq!(sip.next_message().unwrap_err().status, 513);
    let mut lines = jsonl::Decoder::default();
    lines.feed(&[b'a'; 20_000]);
    assert!(lines.next_message().is_err());
    let mut frames = coordinator::Decoder::default();
    frames.feed(&[255; 9]);
    assert!(frames.next_frame().is_err());
}

/// On any input a decoder returns a message, asks for more bytes or returns an error, and never panics.
#[test]
fn corrupted_input_causes_no_panic() {
    let query = dns::query(1, &dns::Name::parse("1.2.3.e164.arpa").unwrap());
    let advertisement =
        Advertisement { vrid: 1, priority: 1, interval_cs: 1, addresses: vec![[10, 0, 0, 1].into()] }
            .encode();
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut decoded, mut rejected) = (0, 0);
    for sample in [INVITE.to_vec(), LINES.to_vec(), frames(), query, advertisement] {
        for _ in 0..4000 {
            let mut bytes = sample.clone();
            for _ in 0..rng.usize(1..6) {
                let at = rng.usize(..bytes.len());
                match rng.u8(..3) {
                    0 => bytes[at] = rng.u8(..),
                    1 => drop(bytes.drain(at..(at + rng.usize(..4)).min(bytes.len()))),
                    _ => bytes.insert(at, rng.u8(..)),
                }
                if bytes.is_empty() {
                    break;
                }
            }
            let mut sip = sip::Decoder::default();
            sip.feed(&bytes);
            let mut lines = jsonl::Decoder::default();
            lines.feed(&bytes);
            let mut frames = coordinator::Decoder::default();
            frames.feed(&bytes);
            let has_error = [
                std::iter::from_fn(|| sip.next_message().transpose()).take(9).any(|r| r.is_err()),
                std::iter::from_fn(|| lines.next_message().transpose()).take(9).any(|r| r.is_err()),
                std::iter::from_fn(|| frames.next_frame().transpose()).take(9).any(|r| r.is_err()),
                dns::decode(&bytes).is_none(),
                Advertisement::decode(&bytes).is_err(),
            ];
            rejected += has_error.iter().filter(|e| **e).count();
            decoded += has_error.iter().filter(|e| !**e).count();
        }
    }
    assert!(decoded > 1000 && rejected > 1000, "{decoded} decoded, {rejected} rejected");
}
