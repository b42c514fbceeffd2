//! Debug log lines that show why tasks are pending and what machines are waiting for.

use super::Shard;
use crate::shard::job::Job;
use crate::shard::machine::Machine;

/// Pending tasks of a job are counted up to this number, which bounds the work.
const MAX_COUNTED_PENDING_TASKS: usize = 1_000;

impl Shard {
    /// Logs jobs that have pending tasks or are finished, tasks that are not running,
    /// and all machines, if debug logging is enabled.
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
        let pending = job.pending_tasks(MAX_COUNTED_PENDING_TASKS).len();
        if pending == 0 && !job.is_finished() {
            return;
        }
        let team = self.teams.get(&job.spec.team);
        log::debug!(
            "job {}: team={}, pending={pending}, unresolved_dependencies={}, completed={}, cancelled={}, finished={}, placement_backoff_until={}, quota_used={:?}",
            job.spec.id,
            job.spec.team,
            job.unresolved_dependencies.len(),
            job.completed.len(),
            job.is_cancelled,
            job.is_finished(),
            job.placement_backoff_until,
            team.map(|team| self.quotas[*team].used)
        );
    }
}

/// Logs the bound tasks of a job that are not running, or are being stopped.
fn log_tasks(job: &Job) {
    for (index, binding) in &job.bindings {
        if binding.running_since.is_some() && binding.stop.is_none() {
            continue;
        }
        log::debug!(
            "task {}/{index}: stage={:?}, machine={}, start={:?}, stop={:?}, durable={}",
            job.spec.id,
            binding.stage,
            binding.machine,
            binding.start,
            binding.stop,
            job.is_durable(*index, binding.recorded_in_version)
        );
    }
}

fn log_machine(machine: &Machine) {
    log::debug!(
        "machine {}: tasks={}, used={:?}, draining={}, idle_since={:?}, incarnation={}, acknowledged_token={}, token={}, call_in_flight={}, unanswered_call={}, exited={}, decommissioned={}",
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
