//! Plays random days with fresh seeds and says which broke a rule.

use clap::Parser;
use forkshift_testkit::{random_faults, Plan, World};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::process::ExitCode;

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
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::new().filter("LOG_LEVEL")).init();
    let args = Args::parse();
    let first = args
        .seed
        .unwrap_or_else(|| rand::rng().random_range(0..1 << 40));
    let mut bad = 0;
    for seed in first..first + args.days {
        let mut rng = StdRng::seed_from_u64(seed);
        let plans = (0..30).map(|n| {
            let at = rng.random_range(2_000..90_000);
            Plan::random(&mut rng, n, at)
        });
        let plans: Vec<Plan> = plans.collect();
        let faults = random_faults(&mut rng, 15_000, 110_000, args.faults);
        let shown = format!("{faults:?}");
        let mut world = World::new(seed, plans, faults);
        world.run_until(260_000);
        let unserved = world.unserved();
        println!(
            "seed {seed}: {} starts, {} writes, {} rules broken, {} unserved",
            world.check.starts,
            world.writes(),
            world.check.broken.len(),
            unserved.len()
        );
        if !world.check.broken.is_empty() || !unserved.is_empty() {
            bad += 1;
            println!("  faults: {shown}");
            for broken in world.check.broken.iter().take(5) {
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
