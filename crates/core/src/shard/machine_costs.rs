//! Where the price of a shard's machines goes.

use super::Shard;
use forkshift_sched::Resources;
use std::fmt;

/// Where the price of a shard's machines goes, an hour.
#[derive(Default)]
pub(crate) struct MachineCosts {
    total: f64,
    booting: f64,
    empty: f64,
    starting: f64,
    used: f64,
    spot: f64,
}

impl fmt::Display for MachineCosts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = |x: f64| 100.0 * x / self.total.max(1e-9);
        let room = self.total - self.booting - self.empty - self.starting - self.used;
        write!(
            f,
            "{:.0} an hour: {:.0}% boot, {:.0}% empty, {:.0}% start, {:.0}% run, {:.0}% room left, {:.0}% spot",
            self.total,
            part(self.booting),
            part(self.empty),
            part(self.starting),
            part(self.used),
            part(room),
            part(self.spot)
        )
    }
}

impl Shard {
    /// Where the money goes at this moment.
    pub(crate) fn machine_costs(&self) -> MachineCosts {
        let mut money = MachineCosts::default();
        for m in self.machines.values() {
            let price = m.price * 3600.0;
            money.total += price;
            if m.spot {
                money.spot += price;
            }
            if m.last_heartbeat_at.is_none() {
                money.booting += price;
            } else if m.tasks.is_empty() {
                money.empty += price;
            } else {
                let runs = m.tasks.iter().filter_map(|t| {
                    let job = self.jobs.get(&t.job)?;
                    let binding = job.bound.get(&t.index)?;
                    binding.running_since.map(|_| job.task)
                });
                let runs = runs.fold(Resources::default(), |sum, r| sum + r);
                let used = runs.largest_share(&m.total);
                money.used += price * used;
                money.starting += price * (m.used.largest_share(&m.total) - used).max(0.0);
            }
        }
        money
    }
}
