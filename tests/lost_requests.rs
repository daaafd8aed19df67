//! Tests that requests received on a client connection are answered before that connection ends.

mod harness;

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use harness::*;
use rstest::rstest;
use serde_json::json;

/// Returns the final answers by call, up to the end of the connection or a pause of `idle_timeout`.
fn final_answers(client: &mut Client, idle_timeout: Duration) -> BTreeMap<String, Vec<String>> {
    let mut answers: BTreeMap<String, Vec<String>> = BTreeMap::new();
    while let Some(message) = client.receive_within(idle_timeout) {
        if let Some(call) = message.head.lines().find_map(|l| l.strip_prefix("Call-ID: ")) {
            answers.entry(call.to_owned()).or_default().push(message.first_line);
        }
    }
    answers
}

/// Establishes a call. Returns the router's connection to its exchange as the last item.
fn establish_call(call: &str) -> (Exchange, Router, Client, TcpStream) {
    let exchange = Exchange::start();
    let router = Router::start(&router_config(&[exchange.address]));
    let mut client = router.connect_client();
    client.wait_until_ready();
    client.send_invite(call, 1, 3000);
    let (_, stream, _) = exchange.receive("START");
    send_started(&stream, call);
    assert!(client.receive().first_line.contains(" 200 "));
    (exchange, router, client, stream)
}

/// Guards against the fault of incident 93b949: after a restart, set-ups for an exchange that was being
/// replaced made the router close their client's connection, and other open requests on it ended without an
/// answer.
#[test]
fn set_ups_for_a_removed_exchange_after_a_restart_leave_other_requests_on_the_connection_open() {
    let (first, second) = (Exchange::start(), Exchange::start());
    let (listener, address) = bind_coordinator();
    let mut config = router_config(&[first.address, second.address]);
    config["coordinator"] = address;
    let mut first_router = Router::start(&config);
    first_router.connect_client().wait_until_ready();
    let (mut events, _) = accept_coordinator_connection(&listener);
    let mut removed = coordinator_frame(2, 2, 2, second.address);
    removed[4 + 9 + 14] = 2; // low byte of the record's node number
    events.write_all(&removed).unwrap();
    first_router.wait_for_log("health: Gone");
    first_router.signal("-TERM");
    assert!(first_router.child.wait().unwrap().success());

    config["known"]["updates"][0]["endpoints"]["hosts"].as_array_mut().unwrap().remove(1);
    config["known"]["index"] = json!(2);
    let router = Router::start(&config);
    let mut client = router.connect_client();
    client.wait_until_ready();
    client.send_invite("0000000000000a00", 1, 3000);
    let (_, stream, _) = first.receive("START");
    let sent = Instant::now();
    for call in 1..=10 {
        client.send_invite(&format!("{:016x}", 0xa00 + call), 2, 962);
    }
    let early = final_answers(&mut client, Duration::from_millis(1200) + TIMING_TOLERANCE);
    send_started(&stream, "0000000000000a00");
    let late = final_answers(&mut client, Duration::from_millis(500));
    assert_eq!(late.get("0000000000000a00").map(Vec::len), Some(1), "{early:?} {late:?}");
    assert!(late["0000000000000a00"][0].contains(" 200 "), "{late:?}");
    for call in 1..=10 {
        let id = format!("{:016x}", 0xa00 + call);
        assert_eq!(early.get(&id).map(Vec::len), Some(1), "{id}: {early:?}");
        assert!(early[&id][0].contains(" 503 "), "refused, since trying again is harmless: {early:?}");
    }
    assert!(sent.elapsed() < Duration::from_secs(4));
}

/// Guards against a burst of answers being taken for a client that does not read: the connection was closed
/// and the answers were dropped when together they exceeded its write buffer.
#[test]
fn answers_that_come_in_one_burst_all_reach_their_client() {
    const BURST: usize = 8;
    let exchange = Exchange::start();
    let router = Router::start(&router_config(&[exchange.address]));
    let mut client = router.connect_client();
    client.wait_until_ready();
    for call in 0..BURST {
        client.send_invite(&format!("{:016x}", 0xb00 + call), 1, 3000);
    }
    // The router's window for the exchange opens with each answer, so the attempts sent so far are answered
    // before further ones arrive.
    let mut answered = 0;
    let description = "d".repeat(15_000);
    while answered < BURST {
        let mut burst = String::new();
        let mut stream = None;
        while let Some((start, on, _)) = exchange.receive_within("START", Duration::from_millis(100)) {
            burst +=
                &json!({"verb": "STARTED", "tag": start["tag"], "opts": {}, "blob": description}).to_string();
            burst += "\n";
            (stream, answered) = (Some(on), answered + 1);
        }
        if let Some(mut stream) = stream {
            stream.write_all(burst.as_bytes()).unwrap();
        }
    }
    let answers = final_answers(&mut client, Duration::from_millis(500));
    assert_eq!(answers.len(), BURST, "{answers:?}");
    assert!(answers.values().flatten().all(|first| first.contains(" 200 ")), "{answers:?}");
}

/// Guards against the loss of requests on a connection that is closed because of a bad message after them.
#[rstest]
#[case::malformed("no SIP at all\r\n\r\n", " 400 ")]
#[case::too_long("INVITE sip:1@net SIP/2.0\r\nCall-ID: 1\r\nContent-Length: 99999999\r\n\r\n", " 513 ")]
#[case::never_completed("INVITE sip:1@net SIP/2.0\r\nCall-", " 408 ")]
#[case::too_many_errors(
    &"PUBLISH sip:1@net SIP/2.0\r\nCall-ID: 1\r\nContent-Length: 0\r\n\r\n".repeat(9),
    " 501 "
)]
fn a_connection_with_bad_messages_is_closed_after_its_open_requests_are_answered(
    #[case] bad: &str,
    #[case] refusal: &str,
) {
    let exchange = Exchange::start();
    let router = Router::start(&router_config(&[exchange.address]));
    let mut client = router.connect_client();
    client.wait_until_ready();
    client.send_invite("0000000000000c00", 1, 4500);
    let (_, stream, _) = exchange.receive("START");
    client.send(bad);
    let refused = client.receive_within(Duration::from_secs(3)).expect("a refusal within 3 s");
    assert!(refused.first_line.contains(refusal), "{refused:?}");
    std::thread::sleep(Duration::from_millis(200));
    send_started(&stream, "0000000000000c00");
    let answers = final_answers(&mut client, Duration::from_millis(500));
    let served = &answers["0000000000000c00"];
    assert!(served.len() == 1 && served[0].contains(" 200 "), "{answers:?}");
    assert!(matches!(client.0.fill_buf(), Ok([])), "the connection is still open");
}

/// Guards against a stopping router that is killed with unanswered requests. Its shutdown schedule waited
/// for the longest deadline or 3 s, whichever is longer, whereas the kill comes 0.7 s after the shorter of
/// the two.
#[rstest]
#[case::deadline_under_a_second(400, 1100)]
#[case::deadline_of_nine_seconds(9000, 3700)]
fn a_stopping_router_answers_its_open_requests_before_it_can_be_killed(
    #[case] deadline_ms: u64,
    #[case] kill_after_ms: u64,
) {
    let exchange = Exchange::start(); // never answers
    let mut config = router_config(&[exchange.address]);
    config["settings"]["Classes"][0]["DeadlineNs"] = json!(deadline_ms * 1_000_000);
    let mut router = Router::start(&config);
    let (mut client, mut busy) = (router.connect_client(), router.connect_client());
    client.wait_until_ready();
    client.send_invite("0000000000000d00", 1, deadline_ms as u32);
    exchange.receive("START");
    let mut writer = busy.0.get_ref().try_clone().unwrap();
    let answers = std::thread::spawn(move || (final_answers(&mut busy, WAIT_TIMEOUT), Instant::now()));
    let killed_at = Instant::now() + Duration::from_millis(kill_after_ms);
    router.signal("-TERM");
    // This client sends on its open connection until the kill, or until the connection has ended.
    let mut sent = Vec::new();
    for call in 0.. {
        let id = format!("{:016x}", 0xd01 + call);
        let text = format!(
            "INVITE sip:1@net SIP/2.0\r\nCall-ID: {id}\r\nCSeq: 1 INVITE\r\nX-Call-Class: voice\r\n\
             X-Ring-Limit: {deadline_ms}\r\nX-Dest: dest:1;width:1;via:-1\r\nContent-Length: 0\r\n\r\n"
        );
        let over = Instant::now() >= killed_at || answers.is_finished();
        if over || writer.write_all(text.as_bytes()).is_err() {
            break;
        }
        sent.push((id, Instant::now()));
        std::thread::sleep(Duration::from_millis(7));
    }
    let _ = router.child.kill();
    let (answers, closed_at) = answers.join().unwrap();
    let first = client.receive();
    assert!(first.first_line.contains(" 503 ") && first.has_header_line("X-Hold-Off: 2000"), "{first:?}");
    // Requests written less than 50 ms before the close have crossed it.
    let crossed = closed_at - Duration::from_millis(50);
    let lost = |(id, at): &&(String, Instant)| *at < crossed && answers.get(id).map(Vec::len) != Some(1);
    let lost: Vec<_> = sent.iter().filter(lost).collect();
    assert!(lost.is_empty(), "{} of {} lost: {lost:?}", lost.len(), sent.len());
    assert!(closed_at < killed_at, "closed by the kill only");
}

/// Guards against a stopping router that confirms a release while the only client left has never sent a
/// complete message: no client learned that the call had ended, and the exchange did not send the release
/// again.
#[test]
fn a_stopping_router_confirms_no_release_that_it_can_send_to_no_client() {
    let (exchange, router, mut client, stream) = establish_call("0000000000000e00");
    router.signal("-TERM");
    std::thread::sleep(Duration::from_millis(900));
    let mut silent = router.connect_client();
    silent.send("INVITE sip:1@net SIP/2.0\r\nCall-");
    assert!(client.receive_within(WAIT_TIMEOUT).is_none(), "the idle client is closed");
    std::thread::sleep(Duration::from_millis(20));
    let line = json!({"verb": "FINISH", "tag": "0000000000000e00", "opts": {}, "rc": 16});
    let _ = (&stream).write_all(format!("{line}\n").as_bytes());
    let confirmed = exchange.receive_within("FINISHED", Duration::from_millis(300));
    assert!(confirmed.is_none(), "confirmed although no client could be informed");
}

/// Guards against a release that is given up 1.2 s after the end of its call, when only clients that never
/// send a message are connected.
#[test]
fn a_release_sent_only_to_silent_clients_is_repeated_to_a_client_that_connects_later() {
    let (_exchange, router, client, stream) = establish_call("0000000000000f00");
    let _silent = [router.connect_client(), router.connect_client()];
    drop(client);
    std::thread::sleep(Duration::from_millis(50));
    send_finish(&stream, "0000000000000f00", 16, "");
    std::thread::sleep(Duration::from_millis(1600));
    let mut late = router.connect_client();
    let released =
        late.receive_within(Duration::from_millis(6350) + TIMING_TOLERANCE).expect("a release within 8 s");
    assert!(
        released.first_line.starts_with("BYE ") && released.has_header_line("Call-ID: 0000000000000f00"),
        "{released:?}"
    );
}

/// Guards against the loss of an answer that is ready when its client closes its sending side.
#[test]
fn a_request_right_before_the_client_closes_its_sending_side_is_answered() {
    let exchange = Exchange::start();
    let router = Router::start(&router_config(&[exchange.address]));
    router.connect_client().wait_until_ready();
    for attempt in 0..40 {
        let mut client = router.connect_client();
        client.send_request("OPTIONS", "0", "", "");
        client.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
        let answer = client.receive_within(WAIT_TIMEOUT);
        assert!(answer.is_some_and(|a| a.first_line.contains(" 200 ")), "attempt {attempt}");
    }
}
