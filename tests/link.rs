//! The connections to one exchange, fed by hand.

use std::rc::Rc;
use std::time::Duration;

use quartzspindle::interface::CallId;
use quartzspindle::wire::driver::Outbox;
use quartzspindle::wire::link::{ConnId, Failure, Link};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn up() -> Link {
    let mut link = Link::new(([127, 0, 0, 1], 1).into(), ms(250));
    link.connected(ms(1000), ConnId(1), Rc::new(Outbox::new(1000)));
    link
}

#[test]
fn an_exchange_that_neither_speaks_nor_connects_is_out_of_reach_in_time_for_its_releases() {
    let mut link = up();
    link.heard(ms(2000), ConnId(1), None);
    assert!(!link.is_idle(ms(3400)) && link.is_idle(ms(3500)) && link.wants_connect(ms(5000), true));
    assert!(!link.is_out_of_reach(ms(20_000)), "silence alone may be an idle night");
    link.failed(ms(5500), Failure::Silent);
    assert!(!link.is_out_of_reach(ms(9000)) && link.is_out_of_reach(ms(9500)));
    link.heard(ms(9600), ConnId(1), None);
    assert!(!link.is_out_of_reach(ms(20_000)));
}

#[test]
fn only_a_refusal_after_a_loss_proves_that_a_process_died() {
    let mut link = up();
    assert!(!link.failed(ms(1100), Failure::Refused).1);
    link.closed(ms(1200), ConnId(1));
    assert!(!link.failed(ms(1300), Failure::Silent).1);
    assert!(link.failed(ms(1400), Failure::Refused).1);
    assert!(!link.failed(ms(1500), Failure::Refused).1, "told once");
}

/// Guards against what waits for an exchange that has gone, and against connects to its address, which
/// another may have by now.
#[test]
fn nothing_is_kept_for_an_exchange_that_is_no_longer_listed() {
    let mut link = Link::new(([127, 0, 0, 1], 1).into(), ms(250));
    link.finish(ms(1000), &CallId("a".into()), vec![1]);
    assert!(link.wants_connect(ms(2000), false) && !link.is_spent());
    link.set_listed(ms(2000), false);
    link.finish(ms(2100), &CallId("b".into()), vec![2]);
    assert!(!link.wants_connect(ms(3000), true) && link.is_spent());
}

/// Guards against a connection on which nothing comes any more while its exchange lives: what it still tells
/// there is lost. One that is merely idle stays open, for the releases of the calls set up on it.
#[test]
fn a_connection_that_goes_without_what_others_are_told_is_closed() {
    let mut link = up();
    let outboxes = [Rc::new(Outbox::new(1000)), Rc::new(Outbox::new(1000))];
    link.connected(ms(1500), ConnId(2), outboxes[0].clone());
    link.connected(ms(1500), ConnId(3), outboxes[1].clone());
    let tell = |link: &mut Link, at, id| {
        link.heard(at, ConnId(id), None);
        link.told(at, ConnId(id));
    };
    tell(&mut link, ms(1510), 2); // the first of each connection is news to nobody else
    tell(&mut link, ms(1510), 3);
    link.look(ms(2500));
    assert!(outboxes.iter().all(|o| o.is_open()), "idle is not deaf");
    tell(&mut link, ms(3000), 3);
    tell(&mut link, ms(3200), 3);
    link.look(ms(3050));
    assert!(outboxes[0].is_open(), "news may be on its way");
    link.look(ms(3100));
    assert!(!outboxes[0].is_open() && outboxes[1].is_open());
}

/// Guards against releases that were written to a connection after its end: they come on the next one
/// opened, which must not be opened before its exchange has noticed.
#[test]
fn after_the_end_of_a_connection_another_is_opened_for_what_was_lost_on_it() {
    let mut link = up();
    link.connected(ms(1000), ConnId(2), Rc::new(Outbox::new(1000)));
    assert!(!link.wants_connect(ms(1100), false));
    link.closed(ms(1200), ConnId(1));
    assert!(!link.wants_connect(ms(1400), false) && link.wants_connect(ms(1450), false));
    link.connected(ms(1460), ConnId(3), Rc::new(Outbox::new(1000)));
    assert!(!link.wants_connect(ms(9000), false));
    for id in 4..6 {
        assert!(link.make_room());
        link.connected(ms(1500), ConnId(id), Rc::new(Outbox::new(1000)));
    }
    assert!(!link.make_room() && link.open() == 4);
}
