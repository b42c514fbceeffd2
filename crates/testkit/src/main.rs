//! The soak program: runs random days and prints the days on which a rule was violated or a job
//! was left unfinished. A day is one simulated run of a few minutes, determined by its seed.

use clap::{Parser, ValueEnum};
use forkshift_testkit::{Day, FaultSchedule, Ms, Simulation};
use forkshift_wire::JobId;
use rand::Rng;
use std::process::ExitCode;

/// Which faults a day draws.
#[derive(Clone, Copy, ValueEnum)]
enum DrawArg {
    /// Independent single faults of all kinds.
    Single,
    /// Independent single faults of the kinds that existed in early versions of this program.
    Once,
    /// Pairs of faults close together, and combinations that violated rules in the past.
    Pairs,
    /// Like `pairs`, with an upgrade of the controllers, lower store limits and job pipelines.
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

/// Runs random simulated days against the controllers, in virtual time.
#[derive(Parser)]
struct Args {
    /// Number of days to run, each with the next seed.
    #[arg(long, default_value_t = 20)]
    days: u64,
    /// Seed of the first day; random if absent.
    #[arg(long)]
    seed: Option<u64>,
    /// Faults per day; schedules with pairs draw half as many pairs.
    #[arg(long, default_value_t = 8)]
    faults: usize,
    /// Schedule from which the faults are drawn.
    #[arg(long, value_enum, default_value_t = DrawArg::Single)]
    draw: DrawArg,
    /// Faults per day that repeat executed requests, beside the others. Days that were recorded
    /// before this option existed are played with 0.
    #[arg(long, default_value_t = 2)]
    repeats: usize,
    /// Ids of jobs whose specification and whose team's tasks are printed when a rule is first
    /// violated and at the end of each day.
    #[arg(long)]
    describe: Vec<String>,
    /// Also prints the jobs of `--describe` at this interval, in seconds of virtual time.
    #[arg(long)]
    every: Option<u64>,
}

/// Interval at which a running day is paused to look for violations.
const VIOLATION_CHECK_INTERVAL_MS: Ms = 500;
/// Maximum number of violations, and of unfinished jobs, printed for one day.
const MAX_PRINTED_LINES: usize = 5;

/// Prints the jobs given with `--describe`.
fn describe_jobs(args: &Args, simulation: &Simulation) {
    for id in &args.describe {
        let text = simulation.describe_job(&JobId::new(id));
        println!("  at {}: {text}", simulation.now());
    }
}

/// Runs a day until its end or the first violation, so that jobs can be described at that time.
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

/// Runs the day of a seed to its end and prints the result. Returns whether no rule was violated
/// and no job was left unfinished.
fn run_day(args: &Args, seed: u64) -> bool {
    let mut day = Day::with_repeats(seed, args.faults, args.draw.into(), args.repeats);
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
