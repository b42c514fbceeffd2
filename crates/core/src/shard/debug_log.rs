//! Debug lines on what the tasks and machines of a shard wait for.

use super::Shard;
use crate::shard::job::Job;
use crate::shard::machine::Machine;

/// At most so many waiting tasks of a job are counted.
const MAX_COUNTED_TASKS: usize = 1_000;

impl Shard {
    /// Logs, at debug level, jobs with waiting tasks, tasks that are not running, and
    /// machines.
    pub(crate) fn log_details(&self) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        for job in self.jobs.values() {
            self.log_job(job);
            log_tasks(job);
        }
        for machine in self.machines.values() {
            log_machine(machine);
        }
    }

    fn log_job(&self, job: &Job) {
        let waiting = job.waiting(MAX_COUNTED_TASKS).len();
        if waiting == 0 && !job.is_over() {
            return;
        }
        let team = self.teams.get(&job.spec.team);
        log::debug!(
            "job {}: team {}, {waiting} waiting, {} dependencies, {} done, cancelled {}, over {}, not before {}, quota used {:?}",
            job.spec.id,
            job.spec.team,
            job.unresolved.len(),
            job.done.len(),
            job.is_cancelled,
            job.is_over(),
            job.not_before,
            team.map(|team| self.quotas[*team].used)
        );
    }
}

/// Logs the bound tasks of a job that are not running, or are being stopped.
fn log_tasks(job: &Job) {
    for (index, binding) in &job.bound {
        if binding.running_since.is_some() && binding.stop.is_none() {
            continue;
        }
        log::debug!(
            "task {}/{index}: {:?} on {}, start {:?}, stop {:?}, durable {}",
            job.spec.id,
            binding.stage,
            binding.machine,
            binding.start,
            binding.stop,
            job.is_durable(*index, binding.version)
        );
    }
}

fn log_machine(machine: &Machine) {
    log::debug!(
        "machine {}: {} tasks, {:?} used, draining {}, idle since {:?}, incarnation {}, token {} acknowledged of {}, call in flight {}, unanswered call {}, {} exited, decommissioned {}",
        machine.id,
        machine.tasks.len(),
        machine.used,
        machine.is_draining,
        machine.idle_since,
        machine.incarnation,
        machine.acknowledged_token,
        machine.token,
        machine.has_call_in_flight,
        machine.has_unanswered_call,
        machine.exited_attempts.len(),
        machine.decommission_reason.is_some()
    );
}
