//! Plays random days with fresh seeds and says which broke a rule.

use clap::{Parser, ValueEnum};
use forkshift_testkit::{Day, FaultSchedule, World};
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

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::new().filter("LOG_LEVEL")).init();
    let args = Args::parse();
    let first = args
        .seed
        .unwrap_or_else(|| rand::rng().random_range(0..1 << 40));
    let mut bad = 0;
    for seed in first..first + args.days {
        let mut day = Day::new(seed, args.faults, args.draw.into());
        let shown = format!("{:?}", day.faults);
        let describe = |simulation: &World| {
            for id in &args.describe {
                println!(
                    "  at {}: {}",
                    simulation.now(),
                    simulation.describe(&JobId::new(id))
                );
            }
        };
        while day.simulation.now() < day.end && day.simulation.check.broken.is_empty() {
            day.simulation.run_until(day.simulation.now() + 500);
            if args
                .every
                .is_some_and(|s| day.simulation.now().is_multiple_of(s * 1_000))
            {
                describe(&day.simulation);
            }
        }
        describe(&day.simulation);
        day.play();
        describe(&day.simulation);
        let simulation = &day.simulation;
        let unserved = simulation.unfinished_jobs();
        println!(
            "seed {seed}: {} starts, {} writes, {} rules broken, {} unserved, {} starts after a cancellation, digest {:016x}",
            simulation.check.starts,
            simulation.writes(),
            simulation.check.broken.len(),
            unserved.len(),
            simulation.check.starts_after_cancel.len(),
            simulation.digest()
        );
        if !simulation.check.broken.is_empty() || !unserved.is_empty() {
            bad += 1;
            println!("  faults: {shown}");
            println!("  as they came: {:?}", simulation.injected_faults());
            for broken in simulation.check.broken.iter().take(5) {
                println!("  {broken:?}");
            }
            for line in unserved.iter().take(5) {
                println!("  {line}");
            }
        }
    }
    println!("{bad} of {} days were bad", args.days);
    ExitCode::from(u8::from(bad > 0))
}
