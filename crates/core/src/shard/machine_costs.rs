//! Splits the cost of a shard's machines by their use, for the log.

use super::Shard;
use crate::shard::machine::Machine;
use crate::shard::scheduling::SECONDS_PER_HOUR;
use forkshift_sched::Resources;
use forkshift_wire::TaskRef;
use std::fmt;

/// Price of a shard's machines per hour, by their use. The price of a machine with tasks
/// is split by the tasks' dominant share: the largest fraction that they use of any
/// resource.
#[derive(Default)]
pub(crate) struct MachineCosts {
    total: f64,
    /// Price of machines that have not reported yet.
    booting: f64,
    /// Price of machines without tasks.
    empty: f64,
    /// Price of the shares of tasks that are bound but not running yet.
    starting: f64,
    /// Price of the shares of running tasks.
    running: f64,
    /// Price of spot machines, whatever their use. It is also contained in the other
    /// figures.
    spot: f64,
}

impl MachineCosts {
    /// Price of the shares of machines with tasks that no task uses.
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
    /// Splits the present cost of the shard's machines by their use.
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
            let running = self
                .running_resources(machine)
                .dominant_share(&machine.capacity);
            let bound = machine.used.dominant_share(&machine.capacity);
            costs.running += price * running;
            costs.starting += price * (bound - running).max(0.0);
        }
    }

    /// Resources of the running tasks on a machine.
    fn running_resources(&self, machine: &Machine) -> Resources {
        let resources = |task: &TaskRef| {
            let (job, binding) = self.binding(task)?;
            binding.running_since.map(|_| job.task_resources)
        };
        let running = machine.tasks.iter().filter_map(resources);
        running.fold(Resources::default(), |sum, r| sum + r)
    }
}
