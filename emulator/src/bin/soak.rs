//! Plays seeds against a router and reports the rules that were broken.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use clap::Parser;
use quartzspindle_emulator::scenario::Scenario;
use quartzspindle_emulator::{run_scenario, Report};

/// Soaks a router in seeded faults on loopback and checks every rule.
#[derive(Debug, Parser)]
struct Arguments {
    /// The router's program.
    #[arg(long, default_value = "target/release/quartzspindle")]
    router: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Runs at a time.
    #[arg(long, default_value_t = 4)]
    parallel: usize,
    /// Seconds of traffic and faults in each run.
    #[arg(long, default_value_t = 12)]
    active_s: u64,
    /// Folder for configurations and logs.
    #[arg(long, default_value = "target/soak")]
    dir: PathBuf,
    /// Print each run's timeline, also when no rule was broken.
    #[arg(long)]
    timeline: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Err(e) = std::fs::create_dir_all(&arguments.dir) {
        eprintln!("soak: {}: {e}", arguments.dir.display());
        return ExitCode::FAILURE;
    }
    let next = AtomicU64::new(arguments.from);
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..arguments.parallel {
            scope.spawn(|| run_seeds(&arguments, &next, &failed));
        }
    });
    let failed = failed.into_inner().unwrap_or_default();
    println!("{} seeds, {} with a broken rule: {failed:?}", arguments.seeds, failed.len());
    ExitCode::from(u8::from(!failed.is_empty()))
}

fn run_seeds(arguments: &Arguments, next: &AtomicU64, failed: &Mutex<Vec<u64>>) {
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= arguments.from + arguments.seeds {
            return;
        }
        let broken = match run_seed(arguments, seed) {
            Ok(report) => {
                print(&report, arguments.timeline);
                !report.violations.is_empty()
            }
            Err(e) => {
                println!("seed {seed}: {e}");
                true
            }
        };
        if let (true, Ok(mut failed)) = (broken, failed.lock()) {
            failed.push(seed);
        }
    }
}

fn run_seed(arguments: &Arguments, seed: u64) -> std::io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let scenario = Scenario::draw(seed, Duration::from_secs(arguments.active_s));
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, run_scenario(scenario, &arguments.router, &arguments.dir))
}

fn print(report: &Report, timeline: bool) {
    let (counts, broken) = (&report.counts, report.violations.len());
    let mut text = format!(
        "seed {}: {broken} broken, {} requests, answers {:?}, {} attempts, {} releases, {} resent, {} late, {} excused, \
         peak {} MB {} descriptors\n",
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
    if broken > 0 || timeline {
        report.timeline.iter().for_each(|line| text += &format!("  {line}\n"));
    }
    report.violations.iter().take(20).for_each(|v| text += &format!("  BROKEN {v}\n"));
    print!("{text}");
}
