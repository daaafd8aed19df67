//! A short soak test: faults and signals drawn from seeds against the real process, with every rule checked.

use std::path::PathBuf;
use std::time::Duration;

use quartzspindle_emulator::scenario::Scenario;
use quartzspindle_emulator::{run_scenario, Report};
use rstest::rstest;

/// Duration of traffic and faults in one run; after that, releases are awaited for 9.5 s.
const ACTIVE_TIME: Duration = Duration::from_secs(9);

fn run_seed(seed: u64) -> Report {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let program = PathBuf::from(env!("CARGO_BIN_EXE_quartzspindle"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, run_scenario(Scenario::draw(seed, ACTIVE_TIME), &program, &dir)).unwrap()
}

/// Guards against a router that breaks a rule of the protocol under faults, reloads and restarts. Each seed
/// has another deadline; among the runs are many idle connections, clients that violate the protocol, and a
/// class whose calls must not be repeated.
#[rstest]
fn no_rule_is_broken_under_seeded_faults(#[values(1, 2, 3, 4, 5, 6, 7)] seed: u64) {
    let report = run_seed(seed);
    let broken: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "{}\n{}", broken.join("\n"), report.timeline.join("\n"));
    assert!(report.counts.requests > 50 && report.counts.attempts > 30, "{:?}", report.counts);
}
