//! The connections to one exchange, fed by hand.

use std::rc::Rc;
use std::time::Duration;

use quartzspindle::interface::CallId;
use quartzspindle::net::connection::{WriteBudget, WriteBuffer, SERVER_LIMITS};
use quartzspindle::net::exchange_pool::{ConnectFailure, ConnectionId, ExchangePool};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn up() -> ExchangePool {
    let mut pool = ExchangePool::new(([127, 0, 0, 1], 1).into(), ms(250));
    pool.on_connected(
        ms(1000),
        ConnectionId(1),
        Rc::new(WriteBuffer::new(SERVER_LIMITS, WriteBudget::new(1000))),
    );
    pool
}

#[test]
fn an_exchange_that_neither_speaks_nor_connects_is_out_of_reach_in_time_for_its_releases() {
    let mut pool = up();
    pool.on_line(ms(2000), ConnectionId(1), None);
    assert!(!pool.is_idle(ms(3400)) && pool.is_idle(ms(3500)) && pool.should_connect(ms(5000), true));
    assert!(!pool.is_out_of_reach(ms(20_000)), "silence alone may be an idle night");
    pool.on_connect_failed(ms(5500), ConnectFailure::Unreachable);
    assert!(!pool.is_out_of_reach(ms(9000)) && pool.is_out_of_reach(ms(9500)));
    pool.on_line(ms(9600), ConnectionId(1), None);
    assert!(!pool.is_out_of_reach(ms(20_000)));
}

#[test]
fn only_a_refusal_after_a_loss_proves_that_a_process_died() {
    let mut pool = up();
    assert!(!pool.on_connect_failed(ms(1100), ConnectFailure::Refused).1);
    pool.on_closed(ms(1200), ConnectionId(1));
    assert!(!pool.on_connect_failed(ms(1300), ConnectFailure::Unreachable).1);
    assert!(pool.on_connect_failed(ms(1400), ConnectFailure::Refused).1);
    assert!(!pool.on_connect_failed(ms(1500), ConnectFailure::Refused).1, "told once");
}

/// Guards against what waits for an exchange that has gone, and against connects to its address, which
/// another may have by now.
#[test]
fn nothing_is_kept_for_an_exchange_that_is_no_longer_listed() {
    let mut pool = ExchangePool::new(([127, 0, 0, 1], 1).into(), ms(250));
    pool.finish(ms(1000), &CallId("a".into()), vec![1]);
    assert!(pool.should_connect(ms(2000), false) && !pool.is_removable());
    pool.set_listed(ms(2000), false);
    pool.finish(ms(2100), &CallId("b".into()), vec![2]);
    assert!(!pool.should_connect(ms(3000), true) && pool.is_removable());
}

/// Guards against a connection on which nothing comes any more while its exchange lives: what it still tells
/// there is lost. One that is merely idle stays open, for the releases of the calls set up on it.
#[test]
fn a_connection_that_goes_without_what_others_are_told_is_closed() {
    let mut pool = up();
    let outboxes = [
        Rc::new(WriteBuffer::new(SERVER_LIMITS, WriteBudget::new(1000))),
        Rc::new(WriteBuffer::new(SERVER_LIMITS, WriteBudget::new(1000))),
    ];
    pool.on_connected(ms(1500), ConnectionId(2), outboxes[0].clone());
    pool.on_connected(ms(1500), ConnectionId(3), outboxes[1].clone());
    let tell = |pool: &mut ExchangePool, at, id| {
        pool.on_line(at, ConnectionId(id), None);
        pool.on_group_state(at, ConnectionId(id));
    };
    tell(&mut pool, ms(1510), 2); // the first of each connection is news to nobody else
    tell(&mut pool, ms(1510), 3);
    pool.sweep(ms(2500));
    assert!(outboxes.iter().all(|o| o.is_open()), "idle is not deaf");
    tell(&mut pool, ms(3000), 3);
    tell(&mut pool, ms(3200), 3);
    pool.sweep(ms(3050));
    assert!(outboxes[0].is_open(), "news may be on its way");
    pool.sweep(ms(3100));
    assert!(!outboxes[0].is_open() && outboxes[1].is_open());
}

/// Guards against releases that were written to a connection after its end: they come on the next one
/// opened, which must not be opened before its exchange has noticed.
#[test]
fn after_the_end_of_a_connection_another_is_opened_for_what_was_lost_on_it() {
    let mut pool = up();
    pool.on_connected(
        ms(1000),
        ConnectionId(2),
        Rc::new(WriteBuffer::new(SERVER_LIMITS, WriteBudget::new(1000))),
    );
    assert!(!pool.should_connect(ms(1100), false));
    pool.on_closed(ms(1200), ConnectionId(1));
    assert!(!pool.should_connect(ms(1400), false) && pool.should_connect(ms(1450), false));
    pool.on_connected(
        ms(1460),
        ConnectionId(3),
        Rc::new(WriteBuffer::new(SERVER_LIMITS, WriteBudget::new(1000))),
    );
    assert!(!pool.should_connect(ms(9000), false));
    for id in 4..6 {
        assert!(pool.make_room());
        pool.on_connected(
            ms(1500),
            ConnectionId(id),
            Rc::new(WriteBuffer::new(SERVER_LIMITS, WriteBudget::new(1000))),
        );
    }
    assert!(!pool.make_room() && pool.open_connections() == 4);
}

fn buffer() -> Rc<WriteBuffer> {
    Rc::new(WriteBuffer::new(SERVER_LIMITS, WriteBudget::new(1000)))
}

/// Connections to an exchange that had been removed counted against the four of the one that took its
/// address.
#[test]
fn connections_to_a_removed_exchange_end_once_no_set_up_is_open_or_its_address_is_taken() {
    let (idle, busy, late) = (buffer(), buffer(), buffer());
    let mut pool = ExchangePool::new(([127, 0, 0, 1], 1).into(), ms(250));
    pool.on_connected(ms(1000), ConnectionId(1), idle.clone());
    pool.on_connected(ms(1010), ConnectionId(2), busy.clone());
    pool.start(ms(1020), &CallId("a".into()), b"set-up".to_vec());
    pool.set_listed(ms(1100), false);
    pool.sweep(ms(1150));
    assert!(!idle.is_open() && busy.is_open(), "the open set-up is awaited");
    pool.on_connected(ms(1200), ConnectionId(3), late.clone());
    assert!(!late.is_open(), "a connect that was under way");
    pool.on_address_reassigned();
    assert!(!busy.is_open());
}

/// A connection whose news came in pieces was taken for stalled, and its set-ups were reset.
#[test]
fn a_connection_on_which_news_arrives_in_pieces_is_not_stalled() {
    let (whole, pieces) = (buffer(), buffer());
    let mut pool = ExchangePool::new(([127, 0, 0, 1], 1).into(), ms(250));
    pool.on_connected(ms(1000), ConnectionId(1), whole);
    pool.on_connected(ms(1000), ConnectionId(2), pieces.clone());
    for at in [1010, 2000] {
        pool.on_line(ms(at), ConnectionId(1), None);
        pool.on_group_state(ms(at), ConnectionId(1));
    }
    for at in [2040, 2080, 2120] {
        pool.on_read(ms(at), ConnectionId(2), true);
        pool.sweep(ms(at + 20));
    }
    assert!(pieces.is_open());
}

/// Set-ups that waited for a connection went out when it came up, long after their exchange's drain was told.
#[test]
fn set_ups_that_wait_for_a_connection_are_taken_back_and_releases_stay() {
    let mut pool = ExchangePool::new(([127, 0, 0, 1], 1).into(), ms(250));
    pool.start(ms(1000), &CallId("a".into()), b"set-up".to_vec());
    pool.finish(ms(1000), &CallId("b".into()), b"release".to_vec());
    assert_eq!(pool.take_queued_set_ups(), [CallId("a".into())]);
    assert!(pool.take_queued_set_ups().is_empty() && !pool.is_removable(), "the release still waits");
}
