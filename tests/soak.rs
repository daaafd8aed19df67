//! A short soak: seeded faults and signals against the real process, with every rule checked.

use std::path::PathBuf;
use std::time::Duration;

use quartzspindle_emulator::scenario::Scenario;
use quartzspindle_emulator::{run_scenario, Report};
use rstest::rstest;

/// Traffic and faults of one run; releases are awaited for some seconds more.
const ACTIVE: Duration = Duration::from_secs(9);

fn soak(seed: u64) -> Report {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let program = PathBuf::from(env!("CARGO_BIN_EXE_quartzspindle"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, run_scenario(Scenario::draw(seed, ACTIVE), &program, &dir)).unwrap()
}

/// Each seed has another deadline; among them are a crowd, bad clients, and a class that may not be repeated.
#[rstest]
fn no_rule_is_broken_under_seeded_faults(#[values(1, 2, 3, 4, 5, 6, 7)] seed: u64) {
    let report = soak(seed);
    let broken: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "{}\n{}", broken.join("\n"), report.timeline.join("\n"));
    assert!(report.counts.requests > 50 && report.counts.attempts > 30, "{:?}", report.counts);
}
