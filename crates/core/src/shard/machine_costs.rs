//! What a shard's machines cost, by what they are used for.

use super::Shard;
use crate::shard::machine::Machine;
use crate::shard::scheduling::SECONDS_PER_HOUR;
use forkshift_sched::Resources;
use forkshift_wire::TaskRef;
use std::fmt;

/// The price of a shard's machines an hour, by what they are used for. Machines with tasks
/// are split by the largest part that these take of any resource.
#[derive(Default)]
pub(crate) struct MachineCosts {
    total: f64,
    /// Of machines that have not reported yet.
    booting: f64,
    /// Of machines without tasks.
    empty: f64,
    /// Parts of machines that are used by tasks that do not run yet.
    starting: f64,
    /// Parts of machines that are used by running tasks.
    running: f64,
    /// Of spot machines, whatever they are used for.
    spot: f64,
}

impl MachineCosts {
    /// Parts of machines with tasks that no task uses.
    fn unused(&self) -> f64 {
        self.total - self.booting - self.empty - self.starting - self.running
    }
}

impl fmt::Display for MachineCosts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |cost: f64| 100.0 * cost / self.total.max(1e-9);
        write!(
            f,
            "{:.0} an hour: {:.0}% booting, {:.0}% empty, {:.0}% starting, {:.0}% running, {:.0}% unused, {:.0}% spot",
            self.total,
            percent(self.booting),
            percent(self.empty),
            percent(self.starting),
            percent(self.running),
            percent(self.unused()),
            percent(self.spot)
        )
    }
}

impl Shard {
    /// What the shard's machines cost now.
    pub(crate) fn machine_costs(&self) -> MachineCosts {
        let mut costs = MachineCosts::default();
        for machine in self.machines.values() {
            self.add_machine_cost(&mut costs, machine);
        }
        costs
    }

    fn add_machine_cost(&self, costs: &mut MachineCosts, machine: &Machine) {
        let price = machine.price_per_second * SECONDS_PER_HOUR;
        costs.total += price;
        if machine.is_spot {
            costs.spot += price;
        }
        if machine.last_heartbeat_at.is_none() {
            costs.booting += price;
        } else if machine.tasks.is_empty() {
            costs.empty += price;
        } else {
            let running = self.running_on(machine).dominant_share(&machine.capacity);
            let bound = machine.used.dominant_share(&machine.capacity);
            costs.running += price * running;
            costs.starting += price * (bound - running).max(0.0);
        }
    }

    /// What the running tasks on a machine use.
    fn running_on(&self, machine: &Machine) -> Resources {
        let resources = |task: &TaskRef| {
            let (job, binding) = self.binding(task)?;
            binding.running_since.map(|_| job.task)
        };
        let running = machine.tasks.iter().filter_map(resources);
        running.fold(Resources::default(), |sum, r| sum + r)
    }
}
