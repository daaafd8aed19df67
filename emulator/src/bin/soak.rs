//! Runs scenarios of several seeds against a router program and prints the rules that were broken.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use clap::Parser;
use quartzspindle_emulator::scenario::Scenario;
use quartzspindle_emulator::{run_scenario, Report};

/// Soak test of a router program: faults drawn from seeds, on loopback, with every rule checked.
#[derive(Debug, Parser)]
struct Arguments {
    /// Path of the router program.
    #[arg(long, default_value = "target/release/quartzspindle")]
    router: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Number of runs at the same time.
    #[arg(long, default_value_t = 4)]
    parallel: usize,
    /// Duration of traffic and faults in each run, in seconds.
    #[arg(long, default_value_t = 12)]
    active_s: u64,
    /// Directory for the configuration and the log of each run.
    #[arg(long, default_value = "target/soak")]
    dir: PathBuf,
    /// Print the timeline of every run, even if no rule was broken.
    #[arg(long)]
    timeline: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Err(e) = std::fs::create_dir_all(&arguments.dir) {
        eprintln!("soak: {}: {e}", arguments.dir.display());
        return ExitCode::FAILURE;
    }
    let next_seed = AtomicU64::new(arguments.from);
    let failed_seeds = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..arguments.parallel {
            scope.spawn(|| run_seeds(&arguments, &next_seed, &failed_seeds));
        }
    });
    let failed_seeds = failed_seeds.into_inner().unwrap_or_default();
    println!("{} seeds, {} with a broken rule: {failed_seeds:?}", arguments.seeds, failed_seeds.len());
    ExitCode::from(u8::from(!failed_seeds.is_empty()))
}

fn run_seeds(arguments: &Arguments, next_seed: &AtomicU64, failed_seeds: &Mutex<Vec<u64>>) {
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= arguments.from + arguments.seeds {
            return;
        }
        let has_failed = match run_seed(arguments, seed) {
            Ok(report) => {
                print_report(&report, arguments.timeline);
                !report.violations.is_empty()
            }
            Err(e) => {
                println!("seed {seed}: {e}");
                true
            }
        };
        if let (true, Ok(mut failed_seeds)) = (has_failed, failed_seeds.lock()) {
            failed_seeds.push(seed);
        }
    }
}

fn run_seed(arguments: &Arguments, seed: u64) -> std::io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let scenario = Scenario::draw(seed, Duration::from_secs(arguments.active_s));
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, run_scenario(scenario, &arguments.router, &arguments.dir))
}

fn print_report(report: &Report, prints_timeline: bool) {
    let (counts, violation_count) = (&report.counts, report.violations.len());
    let mut text = format!(
        "seed {}: {violation_count} broken, {} requests, answers {:?}, {} attempts, {} releases, \
         {} resent, {} late, {} excused, peak {} MB {} descriptors\n",
        report.seed,
        counts.requests,
        counts.answers,
        counts.attempts,
        counts.releases,
        counts.resent,
        counts.late,
        counts.excused,
        report.peak.0,
        report.peak.1
    );
    if violation_count > 0 || prints_timeline {
        report.timeline.iter().for_each(|line| text += &format!("  {line}\n"));
    }
    report.violations.iter().take(20).for_each(|v| text += &format!("  BROKEN {v}\n"));
    print!("{text}");
}
