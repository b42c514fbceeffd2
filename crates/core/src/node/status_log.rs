//! Periodic status log lines: for each shard that is held here, for the job feed, and for
//! refused requests.

use super::Node;
use crate::shard::Shard;
use crate::Ms;

/// Interval between two status log lines for a shard, in milliseconds.
const STATUS_LOG_INTERVAL_MS: Ms = 10_000;

impl Node {
    /// Logs the status of each shard, of the job feed and of refused requests if the interval
    /// has passed.
    pub(super) fn log_status(&mut self) {
        if self.ctx.now < self.next_status_log_at {
            return;
        }
        self.next_status_log_at = self.ctx.now + STATUS_LOG_INTERVAL_MS;
        let queued_calls = self.ctx.store.len();
        for shard in self.shards.values() {
            shard.log_details();
            log_shard_status(shard, queued_calls);
        }
        self.refusals.log_and_reset();
        let (feed, delayed) = (
            self.job_feed.status(self.ctx.now),
            self.delayed_lookups.len(),
        );
        log::info!("job {feed}, {delayed} requests delayed");
    }
}

fn log_shard_status(shard: &Shard, queued_calls: usize) {
    let tasks_placed: usize = shard.jobs.values().map(|job| job.bindings.len()).sum();
    let machines = shard.machines.values();
    let machines_up = machines.filter(|m| m.last_heartbeat_at.is_some()).count();
    log::info!(
        "shard {}: {} jobs, {tasks_placed} tasks placed, {machines_up} of {} machines up, {}, {queued_calls} writes queued",
        shard.id(),
        shard.jobs.len(),
        shard.machines.len(),
        shard.machine_costs(),
    );
}
