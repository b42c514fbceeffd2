//! Debug lines on what the tasks of a shard wait for.

use super::Shard;

impl Shard {
    /// Says at debug level what every task that is not running waits for.
    pub(crate) fn log_details(&self) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        for job in self.jobs.values() {
            let waiting = job.waiting(1_000).len();
            if waiting > 0 || job.is_over() {
                let quota = self.teams.get(&job.spec.team).map(|t| self.quotas[*t].used);
                log::debug!(
                    "{} of {}: {waiting} wait, {} dependencies, {} done, cancelled {}, over {}, not before {}, {:?}",
                    job.spec.id,
                    job.spec.team,
                    job.unresolved.len(),
                    job.done.len(),
                    job.is_cancelled,
                    job.is_over(),
                    job.not_before,
                    quota
                );
            }
            for (index, b) in &job.bound {
                if b.running_since.is_none() || b.stop.is_some() {
                    let durable = job.is_durable(*index, b.version);
                    log::debug!(
                        "{}/{index}: {:?} on {}, sent {:?}, stop {:?}, durable {durable}",
                        job.spec.id,
                        b.stage,
                        b.machine,
                        b.start,
                        b.stop
                    );
                }
            }
        }
        for m in self.machines.values() {
            log::debug!(
                "machine {}: {} tasks, {:?} used, draining {}, idle since {:?}, session {}, echo {} of {}, calling {}, unanswered {}, exited {}, condemned {}",
                m.id,
                m.tasks.len(),
                m.used,
                m.is_draining,
                m.idle_since,
                m.incarnation,
                m.acknowledged_token,
                m.token,
                m.has_call_in_flight,
                m.has_unanswered_call,
                m.exited.len(),
                m.decommission_reason.is_some()
            );
        }
    }
}
