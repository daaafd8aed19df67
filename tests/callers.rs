//! ClientConnections that do not follow the protocol: each gets a word or a close, and the usual ones lose nothing.

mod harness;

use std::io::Read;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use harness::*;
use quartzspindle::net::client_connections::ClientConnections;
use quartzspindle::net::connection::{WriteBudget, WriteBuffer, CLIENT_LIMITS};
use rstest::rstest;

/// What a bad caller is owed comes within this.
const OWED: Duration = Duration::from_secs(3);

fn started_one() -> (Exchange, Router, Client) {
    let exchange = Exchange::start();
    let router = Router::start(&router_config(&[exchange.address]));
    let mut caller = router.connect_client();
    caller.wait_until_ready();
    (exchange, router, caller)
}

/// Makes a call stand, so that the connection is known for one that serves calls.
fn stand_up(exchange: &Exchange, caller: &mut Client, call: &str) -> TcpStream {
    caller.send_invite(call, 1, 2000);
    let (_, stream, _) = exchange.receive("START");
    send_started(&stream, call);
    assert!(caller.receive().first_line.contains(" 200 "));
    stream
}

/// Guards against silence towards whoever uses the id of another's open set-up, and against harm to that one.
#[test]
fn an_open_id_with_another_description_is_refused_and_the_first_set_up_goes_on() {
    let (exchange, router, mut caller) = started_one();
    caller.send_invite("00000000000000d0", 1, 2000);
    let (_, stream, _) = exchange.receive("START");
    let mut other = router.connect_client();
    let headers = "X-Call-Class: voice\r\nX-Ring-Limit: 2000\r\nX-Dest: dest:1;width:1;via:-1\r\n";
    other.send_request("INVITE", "00000000000000d0", headers, "another");
    assert!(other.receive_within(OWED).unwrap().first_line.contains(" 482 "));
    send_started(&stream, "00000000000000d0");
    let answer = caller.receive();
    assert!(answer.first_line.contains(" 200 ") && answer.body == BODY, "{answer:?}");
    other.send_request("INVITE", "00000000000000d0", headers, "another");
    assert!(other.receive_within(OWED).unwrap().first_line.contains(" 482 "));
}

#[rstest]
#[case::negative("X-Ring-Limit: -5", "dest:1;width:1;via:-1", 400)]
#[case::endless("X-Ring-Limit: 99999999999999999999999", "dest:1;width:1;via:-1", 400)]
#[case::far_off("X-Ring-Limit: 999999999", "dest:1;width:1;via:-1", 400)]
#[case::no_time("X-Ring-Limit: 0", "dest:1;width:1;via:-1", 400)]
#[case::no_number("X-Ring-Limit: 2000", "dest:nan;width:1;via:-1", 400)]
#[case::no_list("X-Ring-Limit: 2000", "x", 400)]
#[case::half_a_place("X-Ring-Limit: 2000", "dest:1.5;width:1;via:-1", 400)]
#[case::no_width("X-Ring-Limit: 2000", "dest:1;width:0;via:-1", 400)]
#[case::all_circuits("X-Ring-Limit: 2000", "dest:1;width:400;via:-1", 400)]
#[case::odd_flag("X-Ring-Limit: 2000", "dest:1;width:1;via:-1;transit:2", 400)]
#[case::odd_repeat("X-Ring-Limit: 2000\r\nX-Again: yes", "dest:1;width:1;via:-1", 400)]
#[case::nowhere("X-Ring-Limit: 2000", "dest:99;width:1;via:-1", 404)]
fn figures_that_make_no_sense_are_refused_at_once(
    #[case] headers: &str,
    #[case] list: &str,
    #[case] status: u32,
) {
    let (exchange, _router, mut caller) = started_one();
    let headers = format!("X-Call-Class: voice\r\n{headers}\r\nX-Dest: {list}\r\n");
    let begun = Instant::now();
    caller.send_request("INVITE", "00000000000000d1", &headers, BODY);
    assert!(caller.receive().first_line.contains(&format!(" {status} ")));
    assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    assert!(exchange.receive_within("START", Duration::from_millis(50)).is_none());
}

/// Guards against descriptors held by callers that say nothing or never end what they say.
#[rstest]
#[case::nothing("", None)]
#[case::half_a_head("INVITE sip:1@net SIP/2.0\r\nCall-", Some(" 408 "))]
#[case::half_a_body("INVITE sip:1@net SIP/2.0\r\nCall-ID: 1\r\nContent-Length: 9\r\n\r\nhalf", Some(" 408 "))]
fn a_caller_that_does_not_end_its_message_is_closed(#[case] text: &str, #[case] word: Option<&str>) {
    let (_exchange, router, mut caller) = started_one();
    let begun = Instant::now();
    let mut bad = router.connect_client();
    bad.send(text);
    let told = bad.receive_within(OWED);
    assert_eq!(
        told.as_ref().map(|m| m.first_line.contains(word.unwrap_or("?"))),
        word.map(|_| true),
        "{told:?}"
    );
    assert!(bad.receive_within(OWED).is_none() && begun.elapsed() < OWED, "{:?}", begun.elapsed());
    caller.wait_until_ready();
}

/// Guards busy callers: each read may end in the middle of a message, if it is another one every time.
#[test]
fn only_one_and_the_same_message_may_not_stay_unended() {
    let mut callers = ClientConnections::new(4);
    callers.admit(Duration::ZERO, 1, Rc::new(WriteBuffer::new(CLIENT_LIMITS, WriteBudget::new(1000))));
    for n in 1..50 {
        let now = Duration::from_millis(100 * n);
        callers.on_message(now, 1);
        callers.on_read(now, 1, true);
        assert!(callers.sweep(now).is_empty(), "{now:?}");
    }
    assert_eq!(callers.sweep(Duration::from_millis(7800)), [1], "the last one was never ended");
}

/// Guards the turn of the others against one that sends the same again as soon as it is turned away.
#[test]
fn a_flood_of_what_cannot_be_served_ends_with_the_connection() {
    let (_exchange, router, mut caller) = started_one();
    let mut stream = TcpStream::connect(router.listen_address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let one = "PUBLISH sip:1@net SIP/2.0\r\nCall-ID: 1\r\nContent-Length: 0\r\n\r\n";
    let _ = std::io::Write::write_all(&mut stream, one.repeat(400).as_bytes());
    let mut said = Vec::new();
    let _ = stream.read_to_end(&mut said);
    let answers = String::from_utf8(said).unwrap().matches(" 501 ").count();
    assert!(answers < 20, "{answers} answers and still open");
    caller.wait_until_ready();
}

/// Guards the usual callers' descriptors: the silent ones make room.
#[test]
fn a_crowd_of_silent_callers_does_not_keep_others_out() {
    let exchange = Exchange::start();
    let mut few = router_config(&[exchange.address]);
    few["limits"]["sockets"] = serde_json::json!(40);
    let router = Router::start(&few);
    let mut caller = router.connect_client();
    caller.wait_until_ready();
    let _crowd: Vec<TcpStream> =
        (0..120).map(|_| TcpStream::connect(router.listen_address).unwrap()).collect();
    let mut late = router.connect_client();
    late.wait_until_ready();
    stand_up(&exchange, &mut late, "00000000000000d2");
    stand_up(&exchange, &mut caller, "00000000000000d3");
}

/// Guards against releases lost on a connection that was opened and left, as the newest one often is.
#[test]
fn a_release_goes_where_calls_are_served_and_again_elsewhere_if_it_is_not_heard() {
    let (exchange, router, mut first) = started_one();
    let mut second = router.connect_client();
    stand_up(&exchange, &mut second, "00000000000000d5");
    let mut silent = router.connect_client();
    let stream = stand_up(&exchange, &mut first, "00000000000000d4");
    drop(first);
    send_finish(&stream, "00000000000000d4", 16, "");
    let bye = second.receive_within(Duration::from_millis(900)).unwrap();
    assert!(
        bye.first_line.starts_with("BYE ") && bye.has_header_line("Call-ID: 00000000000000d4"),
        "{bye:?}"
    );
    let bye = silent.receive_within(Duration::from_millis(900)).unwrap();
    assert!(
        bye.first_line.starts_with("BYE ") && bye.has_header_line("Call-ID: 00000000000000d4"),
        "{bye:?}"
    );
}
