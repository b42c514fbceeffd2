//! Plays random days with fresh seeds and prints which violated a rule.

use clap::{Parser, ValueEnum};
use forkshift_testkit::{Day, FaultSchedule, Ms, Simulation};
use forkshift_wire::JobId;
use rand::Rng;
use std::process::ExitCode;

/// How a day's faults are drawn.
#[derive(Clone, Copy, ValueEnum)]
enum DrawArg {
    /// Each by itself.
    Single,
    /// Each by itself, of the kinds that there once were.
    Once,
    /// In pairs and known combinations, of all kinds.
    Pairs,
    /// As pairs, with an upgrade, lower limits and pipelines.
    Upgrade,
}

impl From<DrawArg> for FaultSchedule {
    fn from(draw: DrawArg) -> Self {
        match draw {
            DrawArg::Single => FaultSchedule::Single,
            DrawArg::Once => FaultSchedule::Early,
            DrawArg::Pairs => FaultSchedule::Pairs,
            DrawArg::Upgrade => FaultSchedule::Upgrade,
        }
    }
}

/// Plays random days against the controllers, in virtual time.
#[derive(Parser)]
struct Args {
    /// Number of days.
    #[arg(long, default_value_t = 20)]
    days: u64,
    /// Seed of the first day; drawn if left out.
    #[arg(long)]
    seed: Option<u64>,
    /// Faults a day.
    #[arg(long, default_value_t = 8)]
    faults: usize,
    /// How they are drawn.
    #[arg(long, value_enum, default_value_t = DrawArg::Single)]
    draw: DrawArg,
    /// Says of these jobs what they are, and what their teams use, when a rule
    /// is first broken and at the end of a day.
    #[arg(long)]
    describe: Vec<String>,
    /// Says it this often too, in seconds of the day.
    #[arg(long)]
    every: Option<u64>,
}

/// Time between two looks at a running day.
const VIOLATION_CHECK_INTERVAL_MS: Ms = 500;
/// Most violations and unfinished jobs that are printed of a day.
const MAX_PRINTED_LINES: usize = 5;

/// Prints the jobs that are to be described.
fn describe_jobs(args: &Args, simulation: &Simulation) {
    for id in &args.describe {
        let text = simulation.describe_job(&JobId::new(id));
        println!("  at {}: {text}", simulation.now());
    }
}

/// Runs a day until its end or until a rule is violated.
fn run_until_violation(args: &Args, day: &mut Day) {
    let simulation = &mut day.simulation;
    while simulation.now() < day.end && simulation.checker.violations.is_empty() {
        simulation.run_until(simulation.now() + VIOLATION_CHECK_INTERVAL_MS);
        let is_due = |seconds: u64| simulation.now().is_multiple_of(seconds * 1_000);
        if args.every.is_some_and(is_due) {
            describe_jobs(args, simulation);
        }
    }
}

/// Plays the day of a seed and prints its result. Returns whether the day was good.
fn run_day(args: &Args, seed: u64) -> bool {
    let mut day = Day::new(seed, args.faults, args.draw.into());
    run_until_violation(args, &mut day);
    describe_jobs(args, &day.simulation);
    day.play();
    describe_jobs(args, &day.simulation);
    let simulation = &day.simulation;
    let unfinished = simulation.unfinished_jobs();
    println!(
        "seed {seed}: {} starts, {} writes, {} rules broken, {} unserved, \
         {} starts after a cancellation, digest {:016x}",
        simulation.checker.starts,
        simulation.writes(),
        simulation.checker.violations.len(),
        unfinished.len(),
        simulation.checker.starts_after_cancel.len(),
        simulation.digest()
    );
    let has_passed = simulation.checker.violations.is_empty() && unfinished.is_empty();
    if !has_passed {
        print_failed_day(&day, &unfinished);
    }
    has_passed
}

fn print_failed_day(day: &Day, unfinished: &[String]) {
    println!("  faults: {:?}", day.faults);
    println!("  as they came: {:?}", day.simulation.injected_faults());
    for violation in day
        .simulation
        .checker
        .violations
        .iter()
        .take(MAX_PRINTED_LINES)
    {
        println!("  {violation:?}");
    }
    for line in unfinished.iter().take(MAX_PRINTED_LINES) {
        println!("  {line}");
    }
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::new().filter("LOG_LEVEL")).init();
    let args = Args::parse();
    let first = args
        .seed
        .unwrap_or_else(|| rand::rng().random_range(0..1 << 40));
    let seeds = first..first + args.days;
    let failed_days = seeds.filter(|seed| !run_day(&args, *seed)).count();
    println!("{failed_days} of {} days were bad", args.days);
    ExitCode::from(u8::from(failed_days > 0))
}
