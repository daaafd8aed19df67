//! Regression tests of the decision module, one for each fault seen in a simulation or an incident, and tests
//! of the formulas of the admission control.

mod common;

use std::time::Duration;

use common::*;
use quartzspindle::call::calls::Origin;
use quartzspindle::call::core::{Core, Request};
use quartzspindle::call::exchanges::Exchanges;
use quartzspindle::interface::*;
use quartzspindle::policy::AdmissionControl;
use quartzspindle::Controller;

fn sends_to(actions: &[Action], node: u32) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::SendSetUp { exchange: to, .. } if *to == exchange(node)))
        .count()
}

/// Offers `n` calls to `destination`, one per `interval`. Each is established after `set_up_time`, or never
/// if that is `None`.
fn drive(
    network: &mut Network,
    destination: u32,
    n: u32,
    interval: Duration,
    set_up_time: Option<Duration>,
) -> Vec<CallId> {
    let mut calls = Vec::new();
    for _ in 0..n {
        calls.push(network.offer_call(destination, 0));
        let until = network.now + interval;
        while network.now < until {
            network.advance(ms(5));
            let Some(set_up_time) = set_up_time else { continue };
            let due: Vec<CallId> = network
                .outstanding
                .iter()
                .filter(|s| s.3 + set_up_time <= network.now)
                .map(|s| s.0.clone())
                .collect();
            for call in due {
                network.establish(&call);
            }
        }
    }
    calls
}

#[test]
fn steady_load_established_in_time_is_never_throttled() {
    let mut network = Network::new(settings(3), 1);
    let calls = drive(&mut network, 1, 400, ms(100), Some(ms(60)));
    let established = calls.iter().filter(|c| network.final_answers.get(c) == Some(&true)).count();
    assert!(established >= 399, "{established} of 400 calls established");
}

#[test]
fn a_silent_exchange_gets_few_trials_while_others_are_served_fully() {
    let mut network = Network::new(settings(3), 1);
    for _ in 0..60 {
        network.offer_call(1, 0); // never answered
        let call = network.offer_call(2, 0);
        network.advance(ms(60));
        network.establish(&call);
        network.advance(ms(140));
    }
    assert_eq!(sends_to(&network.actions, 2), 60, "the healthy exchange gets all its calls");
    let silent = sends_to(&network.actions, 1);
    assert!((4..=20).contains(&silent), "{silent} set-ups in 12 s to an exchange that never answers");
}

/// Guards against a processor that has recovered but gets no calls: with latency objectives of half a second,
/// a trial every three seconds leaves it without calls for several times that long.
#[test]
fn the_trial_interval_follows_short_latency_objectives() {
    let mut short_delays = settings(3);
    short_delays.classes.iter_mut().for_each(|c| c.latency_objective = ms(500));
    let mut network = Network::new(short_delays, 1);
    drive(&mut network, 1, 120, ms(50), None);
    let mut trial_times = Vec::new();
    for _ in 0..120 {
        let before = sends_to(&network.actions, 1);
        drive(&mut network, 1, 1, ms(50), None);
        if sends_to(&network.actions, 1) > before {
            trial_times.push(network.now);
        }
    }
    let longest = trial_times.windows(2).map(|pair| pair[1] - pair[0]).max().expect("two trials at least");
    assert!(longest < ms(1500), "{longest:?} between two trials");
    assert!(trial_times.len() < 12, "{} trials in 6 s", trial_times.len());
}

#[test]
fn a_fast_answer_after_silence_opens_the_window_again() {
    let mut network = Network::new(settings(3), 1);
    drive(&mut network, 1, 50, ms(200), None);
    network.advance(ms(8000));
    let before = sends_to(&network.actions, 1);
    let calls = drive(&mut network, 1, 50, ms(200), Some(ms(60)));
    let established = calls.iter().filter(|c| network.final_answers.get(c) == Some(&true)).count();
    assert!(
        established >= 45,
        "{established} of 50 calls established after the silence, {before} set-ups before"
    );
}

#[test]
fn lost_set_ups_are_sent_again_and_do_not_close_the_window() {
    let mut network = Network::new(settings(3), 1);
    let (mut established, mut sent) = (0, 0);
    for i in 0..60 {
        let call = network.offer_call(1, 0);
        sent += 1;
        network.advance(ms(80));
        if i % 4 != 0 && network.outstanding_at(&call).is_some() {
            network.establish(&call); // every fourth set-up is lost
        }
        network.advance(ms(120));
        let cancelled: Vec<CallId> = network
            .actions
            .iter()
            .filter_map(|a| match a {
                Action::Cancel { call, .. } => Some(call.clone()),
                _ => None,
            })
            .filter(|c| network.outstanding_at(c).is_some() && network.is_unanswered(c))
            .collect();
        for call in cancelled {
            network.end_attempt(&call, AttemptStatus::Cancelled, None);
        }
        established = network.final_answers.values().filter(|s| **s).count();
    }
    assert!(network.actions.iter().any(|a| matches!(a, Action::Cancel { .. })), "lost set-ups are cancelled");
    assert!(established >= sent * 7 / 10, "{established} of {sent} calls established");
}

/// Sends calls to all nodes in turn; the answer to every `lost`th set-up is lost. Returns the number of lost
/// set-ups in the second half, and how many of their calls were established in the end.
fn count_recovered_calls(fleet_size: u32, lost: u32) -> (u32, usize) {
    let mut network = Network::new(settings(fleet_size), 1);
    let mut lost_calls = Vec::new();
    for i in 0..800 {
        let call = network.offer_call(1 + i % (fleet_size - 1), 0);
        network.advance(ms(60));
        if i % lost == 0 {
            lost_calls.push((i, call));
        } else if network.outstanding_at(&call).is_some() {
            network.establish(&call);
        }
        let cancelled: Vec<CallId> =
            lost_calls.iter().map(|d| d.1.clone()).filter(|c| network.outstanding_at(c).is_some()).collect();
        for call in cancelled {
            if network.actions.contains(&Action::Cancel { call: call.clone(), attempt_number: 0 }) {
                let is_sent_again = network.outstanding.iter().any(|s| s.0 == call && s.1 > 0);
                drop(if is_sent_again {
                    network.establish(&call)
                } else {
                    network.end_attempt(&call, AttemptStatus::Cancelled, None)
                });
            }
        }
    }
    let in_second_half = lost_calls.iter().filter(|d| d.0 >= 400);
    let established =
        in_second_half.clone().filter(|d| network.final_answers.get(&d.1) == Some(&true)).count();
    (in_second_half.count() as u32, established)
}

#[test]
fn calls_recover_from_answers_lost_at_many_exchanges() {
    for fleet_size in [6, 90] {
        let (lost, established) = count_recovered_calls(fleet_size, 7);
        assert!(
            established as u32 * 10 >= lost * 8,
            "{established} of {lost} calls with a lost set-up established, fleet size {fleet_size}"
        );
    }
}

/// Guards against losses at one exchange that go unnoticed among the answers of busier ones: every third
/// answer of one exchange is lost, and four calls in five go to another one. A call that is sent again can
/// just be established within the short latency objective.
#[test]
fn calls_recover_from_answers_lost_at_one_exchange_within_short_latency_objectives() {
    let mut short_delays = settings(3);
    short_delays.classes.iter_mut().for_each(|c| c.latency_objective = ms(500));
    short_delays.guard_time = ms(250);
    let mut network = Network::new(short_delays, 1);
    let (mut lost, mut established) = (Vec::new(), 0);
    for i in 0..1500 {
        let destination = if i % 5 == 0 { 1 } else { 2 };
        let call = network.offer_call(destination, 0);
        if destination == 1 && i % 3 == 0 {
            lost.push((call, network.now));
        }
        network.advance(ms(20));
        let due: Vec<_> =
            network.outstanding.iter().filter(|s| s.3 + ms(40) <= network.now).cloned().collect();
        for (call, attempt_number, ..) in due {
            let first = lost.iter().find(|l| l.0 == call);
            if first.is_none() || attempt_number > 0 {
                established += u32::from(first.is_some_and(|l| i > 500 && network.now <= l.1 + ms(500)));
                network.establish(&call);
            } else if network.actions.contains(&Action::Cancel { call: call.clone(), attempt_number }) {
                network.end_attempt(&call, AttemptStatus::Cancelled, None);
            }
        }
    }
    let late = lost.len() as u32 * 2 / 3;
    assert!(
        established * 10 >= late * 8,
        "{established} of about {late} calls with a lost set-up established within the latency objective"
    );
}

#[test]
fn calls_wait_for_a_circuit_instead_of_being_refused() {
    let mut network = Network::new(settings(2), 1);
    network.report_free_circuits(1, 0.0);
    let call = network.offer_call(1, 0);
    network.advance(ms(300));
    assert!(network.is_unanswered(&call) && network.outstanding_at(&call).is_none());
    network.report_free_circuits(1, 1.0);
    assert_eq!(network.outstanding_at(&call), Some(exchange(1)));
}

#[test]
fn a_circuit_seized_at_the_time_of_a_report_is_not_counted_as_free() {
    let mut network = Network::new(settings(2), 1);
    network.report_free_circuits(1, 1.0);
    let first = network.offer_call(1, 0);
    // Reported in the same batch of events, before the set-up could affect the figure.
    network.report_free_circuits(1, 1.0);
    let second = network.offer_call(1, 0);
    assert!(network.outstanding_at(&first).is_some() && network.outstanding_at(&second).is_none());
}

#[test]
fn a_blocked_call_leaves_the_reserved_circuits_of_a_tandem_free() {
    let mut network = Network::new(settings(3), 1);
    network.report_free_circuits(1, 0.0);
    let call = network.offer_call(1, 0);
    assert_eq!(network.outstanding_at(&call), Some(exchange(2)));
    network.report_free_circuits(2, 1.0);
    let call = network.offer_call(1, 0);
    assert_eq!(network.outstanding_at(&call), None, "the last circuits of the first leg are reserved");
}

/// Guards against the loss of calls whose router is down: they arrive at the other routers, and so also at
/// that of their destination, which can reach its own exchange over tandems only.
#[test]
fn a_call_to_the_own_exchange_goes_over_tandems_and_is_refused_once_all_cranked_it_back() {
    let mut network = Network::new(settings(3), 1);
    let call = network.offer_call(0, 0);
    let first = network.outstanding_at(&call).expect("sent over a tandem");
    network.end_attempt(&call, AttemptStatus::Full, Some(FailureCause::CrankedBack));
    let second = network.outstanding_at(&call).expect("sent over the other tandem");
    assert!(first != second && ![&first, &second].contains(&&exchange(0)), "{first:?} {second:?}");
    network.end_attempt(&call, AttemptStatus::Full, Some(FailureCause::CrankedBack));
    assert!(!network.is_unanswered(&call), "no route is left");
}

#[test]
fn a_tandem_is_paused_after_a_crank_back() {
    let mut network = Network::new(settings(3), 1);
    network.report_free_circuits(1, 0.0);
    let call = network.offer_call(1, 0);
    network.end_attempt(&call, AttemptStatus::Full, Some(FailureCause::CrankedBack));
    let next = network.offer_call(1, 0);
    assert_eq!(network.outstanding_at(&call), None);
    assert_eq!(network.outstanding_at(&next), None, "the next call does not use this tandem either");
}

/// Guards against a tandem that is left out for long because several calls used it at once.
#[test]
fn simultaneous_crank_backs_count_once() {
    let mut network = Network::new(settings(3), 1);
    network.report_free_circuits(1, 0.0);
    let calls: Vec<CallId> = (0..4).map(|_| network.offer_call(1, 0)).collect();
    assert!(calls.iter().all(|c| network.outstanding_at(c) == Some(exchange(2))));
    calls
        .iter()
        .for_each(|c| drop(network.end_attempt(c, AttemptStatus::Full, Some(FailureCause::CrankedBack))));
    network.advance(ms(2000));
    let next = network.offer_call(1, 0);
    assert_eq!(network.outstanding_at(&next), Some(exchange(2)), "the first pause is over");
}

#[test]
fn a_tandem_that_established_the_last_call_is_preferred() {
    for seed in 0..8 {
        let mut network = Network::new(settings(90), seed);
        network.report_free_circuits(1, 0.0);
        let first = network.offer_call(1, 0);
        let tandem = network.outstanding_at(&first).unwrap();
        network.establish(&first);
        network.advance(ms(4000));
        let next = network.offer_call(1, 0);
        assert_eq!(
            network.outstanding_at(&next),
            Some(tandem.clone()),
            "the tandem is known to have a second leg"
        );
        network.end_attempt(&next, AttemptStatus::Full, Some(FailureCause::CrankedBack));
        assert_ne!(network.outstanding_at(&next), Some(tandem.clone()), "until it cranks a call back");
    }
}

#[test]
fn a_tandem_of_the_routing_advice_is_preferred_until_it_cranks_a_call_back() {
    for seed in 0..8 {
        let mut network = Network::new(Settings { has_route_advice: true, ..settings(90) }, seed);
        network.route_advice = Some(NodeNumber(7));
        network.report_free_circuits(1, 0.0);
        let call = network.offer_call(1, 0);
        assert_eq!(network.outstanding_at(&call), Some(exchange(7)));
        network.end_attempt(&call, AttemptStatus::Full, Some(FailureCause::CrankedBack));
        let next = network.offer_call(1, 0);
        assert_ne!(network.outstanding_at(&next), Some(exchange(7)), "earlier advice does not end its pause");
        assert!(network.outstanding_at(&next).is_some());
    }
}

#[test]
fn a_busy_number_is_paused_while_other_numbers_are_served() {
    let mut network = Network::new(settings(2), 1);
    let call = network.offer_call(1, 0);
    network.end_attempt(&call, AttemptStatus::Error, Some(FailureCause::UserBusy));
    let sends = sends_to(&network.actions, 1);
    for _ in 0..49 {
        let other = network.offer_call(1, 0);
        network.advance(ms(5));
        network.establish(&other);
    }
    assert_eq!(sends_to(&network.actions, 1), sends + 49);
    let same = network.offer_call(1, 0); // the 51st call is to the first number again
    assert_eq!(network.outstanding_at(&same), None, "held while its number is paused");
    network.advance(ms(1200));
    assert_eq!(network.outstanding_at(&same), Some(exchange(1)), "one is sent after the pause");
}

#[test]
fn a_free_circuit_goes_to_the_call_of_the_highest_value_and_of_equals_to_the_newest() {
    let mut network = Network::new(settings(2), 1);
    network.report_free_circuits(1, 0.0);
    let older = network.offer_call(1, 0);
    network.advance(ms(50));
    let newer = network.offer_call(1, 0);
    network.advance(ms(50));
    let most_valuable = network.offer_call(1, 1);
    network.report_free_circuits(1, 1.0);
    assert!(network.outstanding_at(&most_valuable).is_some() && network.outstanding_at(&newer).is_none());
    network.report_free_circuits(1, 0.0);
    network.advance(ms(10));
    network.report_free_circuits(1, 1.0);
    assert!(network.outstanding_at(&newer).is_some() && network.outstanding_at(&older).is_none());
}

#[test]
fn a_redial_past_the_latency_objective_waits_behind_a_first_call_with_as_little_time_left() {
    let mut network = Network::new(settings(2), 1);
    network.report_free_circuits(1, 0.0);
    network.dial("patient", 1, 0, ms(400), false);
    network.advance(ms(1500)); // it is refused meanwhile, and its latency objective passes
    let fresh = network.dial("hurried", 1, 0, ms(400), false);
    network.advance(ms(5));
    let redial = network.dial("patient", 1, 0, ms(400), false);
    network.report_free_circuits(1, 1.0);
    assert!(network.outstanding_at(&fresh).is_some(), "little time left does not make a first try late");
    assert!(network.outstanding_at(&redial).is_none(), "a redial keeps the time of the first try");
}

#[test]
fn calls_wait_for_a_destination_without_a_live_exchange() {
    let mut network = Network::new(settings(3), 1);
    network.update_membership(UpdateKind::Changes, vec![member(1, Health::Draining, None)]);
    let call = network.offer_call(1, 0);
    assert!(network.outstanding_at(&call).is_none() && network.is_unanswered(&call));
    let replacement = Member { exchange: exchange(91), ..member(1, Health::Live, None) };
    network.update_membership(UpdateKind::Changes, vec![replacement]);
    network.advance(ms(600));
    assert_eq!(network.outstanding_at(&call), Some(exchange(91)));
}

#[test]
fn calls_wait_while_the_local_processor_is_down_and_then_find_their_circuits_free() {
    let mut network = Network::new(settings(4), 1);
    network.report_free_circuits(1, 5.0);
    network.report_free_circuits(2, 5.0);
    let trial = network.offer_call(1, 0);
    network.end_attempt(&trial, AttemptStatus::Moot, Some(FailureCause::ProcessorFull(None)));
    let other = network.offer_call(2, 0);
    assert!(
        network.outstanding_at(&other).is_none() && network.is_unanswered(&other),
        "held, without using up an attempt"
    );
    network.advance(ms(600));
    let sent: Vec<CallId> =
        [&trial, &other].into_iter().filter(|c| network.outstanding_at(c).is_some()).cloned().collect();
    assert_eq!(sent.len(), 1, "one trial per cycle");
    network.establish(&sent[0]);
    network.advance(ms(600));
    let established = [&trial, &other]
        .into_iter()
        .filter(|c| network.outstanding_at(c).is_some() || !network.is_unanswered(c))
        .count();
    assert_eq!(established, 2, "both are sent once the processor is back");
    assert_eq!(sends_to(&network.actions, 3), 0, "their direct circuits were not taken to be blocked");
}

#[test]
fn silence_of_many_nodes_closes_the_local_window() {
    let set_ups_sent = |node_count: u32| {
        let mut network = Network::new(settings(6), 1);
        for i in 0..100 {
            network.offer_call(1 + i % node_count, 0);
            network.advance(ms(100));
        }
        network.actions.iter().filter(|a| matches!(a, Action::SendSetUp { .. })).count()
    };
    // Five silent nodes at once mean that the local processor is overloaded, so the number of trials must not
    // be five times that for one node.
    assert!(
        set_ups_sent(5) < 3 * set_ups_sent(1),
        "{} set-ups to five nodes, {} to one",
        set_ups_sent(5),
        set_ups_sent(1)
    );
}

#[test]
fn memory_stays_bounded_over_many_calls_and_numbers() {
    let mut network = Network::new(settings(3), 1);
    for _ in 0..3000 {
        let call = network.offer_call(1, 0);
        if network.outstanding_at(&call).is_some() {
            network.end_attempt(&call, AttemptStatus::Error, Some(FailureCause::UserBusy));
        }
        network.advance(ms(5));
    }
    network.advance(ms(20_000));
    assert!(network.controller.state_size() < 200, "{}", network.controller.state_size());
}

/// Guards against timers of requests that are over: a flood of requests that are withdrawn at once would leave
/// theirs until the ring limits of the callers have passed.
#[test]
fn a_withdrawn_request_leaves_no_timer_behind() {
    let controller = Controller::new(settings(3), 1, ms(0)).unwrap();
    let mut core = Core::new(controller, Exchanges::with_nodes_of(&settings(3)), ms(0));
    for number in 0..1000 {
        let id = CallId(format!("{number:016x}").into());
        let offered = OfferedCall {
            call: id.clone(),
            class: 0,
            tenant: 0,
            called_number: "1".into(),
            remaining: ms(600_000),
            destination: NodeNumber(1),
            circuits: None,
            via: None,
            flagged_as_redial: false,
            is_transit: false,
            is_reconnect: false,
        };
        core.handle_request(ms(number), Request { origin: Origin(1), offered, description: "".into() });
        core.hang_up(ms(number), &id, 16);
    }
    assert!(core.pending_timers() < 10, "{}", core.pending_timers());
}

#[test]
fn the_limit_of_the_accepted_rate_has_three_regions() {
    let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(
        near(AdmissionControl::max_accepted_rate(5.0, 10.0), 12.0),
        "normal load: 1.2 times the safe rate"
    );
    assert!(near(AdmissionControl::max_accepted_rate(10.5, 10.0), 11.0), "transition region: raised limit");
    // Overload: C - B X, with C = 10 / 0.84 and B = 0.16 / 0.84 for λs = 10 and γ = 0.16.
    assert!(near(AdmissionControl::max_accepted_rate(20.0, 10.0), (10.0 - 3.2) / 0.84));
    assert!(near(AdmissionControl::max_accepted_rate(100.0, 10.0), 0.0), "never below zero");
}

#[test]
fn the_offered_rate_is_smoothed_and_includes_refused_calls() {
    let mut control = AdmissionControl::default();
    (control.offered_calls, control.accepted_calls) = (10.0, 2.0);
    control.end_cycle();
    assert!((control.offered_rate - 4.0).abs() < 1e-9, "a fifth of 20 per second");
    control.end_cycle();
    assert!((control.offered_rate - 3.2).abs() < 1e-9);
    assert_eq!(control.cycle_limit, None, "no limit while the safe rate is unset");
}

#[test]
fn the_safe_rate_follows_the_delays_down_and_up_and_has_a_minimum() {
    let mut control = AdmissionControl::default();
    (0..300).for_each(|_| control.record_delay(0.3));
    control.end_learning_period();
    assert_eq!(control.safe_rate, None, "short delays leave it unset");
    (0..150).for_each(|_| control.record_delay(0.9));
    (0..150).for_each(|_| control.record_delay(1.5));
    control.end_learning_period();
    assert!((control.safe_rate.unwrap() - 9.0).abs() < 1e-9, "0.9 of the 150 set-ups in 15 s");
    control.end_learning_period();
    assert!(
        (control.safe_rate.unwrap() - 9.9).abs() < 1e-9,
        "a period without set-ups counts as one with short delays"
    );
    (0..10).for_each(|_| control.record_delay(9.0));
    control.end_learning_period();
    assert!((control.safe_rate.unwrap() - 3.0).abs() < 1e-9, "the lowest safe rate");
}

#[test]
fn a_failed_membership_request_is_repeated_once_a_cycle_and_the_members_are_kept() {
    let mut network = Network::new(Settings { membership_polled: true, ..settings(3) }, 1);
    let request_count =
        |network: &Network| network.actions.iter().filter(|a| **a == Action::Subscribe).count();
    assert_eq!(request_count(&network), 1);
    for _ in 0..20 {
        network.fail_membership_update();
        network.advance(ms(100));
    }
    assert!((3..=6).contains(&request_count(&network)), "{} requests in 2 s", request_count(&network));
    let call = network.offer_call(1, 0);
    assert_eq!(network.outstanding_at(&call), Some(exchange(1)));
}
