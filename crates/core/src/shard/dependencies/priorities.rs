//! Priorities that dependencies inherit from their dependents.

use crate::node::{active_shard_of, active_shard_of_mut, Node};
use crate::records::ShardId;
use crate::shard::job::Job;
use forkshift_wire::peer::Body;
use forkshift_wire::users::Priority;
use forkshift_wire::JobId;

/// Priorities, indexed by the number that encodes them in messages.
const PRIORITIES: [Priority; 4] = [
    Priority::Low,
    Priority::Normal,
    Priority::High,
    Priority::Production,
];

impl Node {
    /// Raises the inherited priority of jobs and their transitive dependencies to the
    /// priority of a dependent. For jobs of other shards, a message is sent to the
    /// shard's holder, once the shard is known.
    pub(super) fn raise_inherited_priority(&mut self, mut jobs: Vec<JobId>, priority: Priority) {
        while let Some(id) = jobs.pop() {
            let Some(shard) = active_shard_of_mut(&mut self.shards, &id) else {
                let shard = self.job_feed.unfinished(&id).map(|job| job.shard);
                if let Some(shard) = shard {
                    self.send_inherited_priority(&id, shard);
                }
                continue;
            };
            let Some(job) = shard.jobs.get_mut(&id) else {
                continue;
            };
            if job.inherited_priority >= priority {
                continue;
            }
            job.inherited_priority = priority;
            jobs.extend(job.unresolved_dependencies.iter().cloned());
            shard.schedule_round_soon(&self.ctx);
        }
    }

    /// Sends the highest priority of a dependency's dependents to the controller that
    /// holds the dependency's shard.
    pub(super) fn send_inherited_priority(&mut self, id: &JobId, shard: ShardId) {
        let dependents = self.dependencies.dependents_of(id);
        let jobs = dependents.filter_map(|d| self.shards.values().find_map(|s| s.jobs.get(d)));
        let Some(priority) = jobs.map(Job::priority).max() else {
            return;
        };
        let body = Body::InheritPriority {
            id: id.to_string(),
            priority: priority as u8,
        };
        self.send_to_holder(shard, body);
    }

    /// Handles another controller's message that a job with this priority depends on a
    /// job that is held here. Unreadable ids and unknown priorities are ignored.
    pub(crate) fn on_inherited_priority_message(&mut self, id: &str, priority: u8) {
        let (Some(id), Some(priority)) = (JobId::parse(id), PRIORITIES.get(usize::from(priority)))
        else {
            return;
        };
        if active_shard_of(&self.shards, &id).is_some() {
            self.raise_inherited_priority(vec![id], *priority);
        }
    }
}
