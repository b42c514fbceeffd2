//! A machine of a shard, in its holder's memory.

use crate::context::Context;
use crate::pools::MachinePool;
use crate::shard::failure_attribution::MachineFailures;
use crate::Ms;
use forkshift_links::MachineLink;
use forkshift_sched::Resources;
use forkshift_wire::{MachineId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

/// Reports that a machine may miss and still be heard.
const MAX_MISSED_HEARTBEATS: Ms = 3;

/// A machine of a shard.
pub(crate) struct Machine {
    pub(crate) id: MachineId,
    pub(crate) machine_type: u16,
    pub(crate) zone: u16,
    pub(crate) spot: bool,
    pub(crate) total: Resources,
    pub(crate) price: f64,
    pub(crate) fetch_rate: f64,
    pub(crate) cache_gb: f64,
    pub(crate) boot_ms: Ms,
    pub(crate) addr: Option<String>,
    /// Why it is given up, if it is; the record follows.
    pub(crate) decommission_reason: Option<String>,
    /// Version of its record.
    pub(crate) version: u64,
    /// A write of its record is under way.
    pub(crate) is_writing_record: bool,
    /// It is written again only in sight of this revision, at which the
    /// service answered last.
    pub(crate) record_required_revision: u64,

    /// Session and sequence number of the newest message.
    pub(crate) incarnation: u64,
    pub(crate) heartbeat_sequence: u64,
    /// The token that the newest message echoed.
    pub(crate) acknowledged_token: u64,
    /// The token that we use.
    pub(crate) token: u64,
    /// Since when the echo has been behind the token.
    pub(crate) unacknowledged_since: Option<Ms>,
    /// When the newest message came; none: nothing was heard yet.
    pub(crate) last_heartbeat_at: Option<Ms>,
    /// What is known of the link to it.
    pub(crate) link: MachineLink,
    /// Since when we know the machine.
    pub(crate) known_since: Ms,
    /// When the cloud takes it away.
    pub(crate) reclaimed_at: Option<Ms>,

    /// A call is under way.
    pub(crate) has_call_in_flight: bool,
    pub(crate) retry_at: Ms,
    /// A call with commands had no answer and may be carried out late.
    pub(crate) has_unanswered_call: bool,
    /// The token must be told, even without commands.
    pub(crate) must_send_token: bool,

    /// Tasks that may be here.
    pub(crate) tasks: BTreeSet<TaskRef>,
    pub(crate) used: Resources,
    /// Tasks that are here and should not be.
    pub(crate) orphans: Vec<(TaskRef, u64, Resources)>,
    /// Exited tasks that the worker still reports.
    pub(crate) exited: Vec<(TaskRef, u64)>,
    /// The job's version that records the fate of an exited task.
    pub(crate) exit_versions: BTreeMap<(TaskRef, u64), u64>,
    /// Images, the most recently used last, with their sizes.
    pub(crate) images: Vec<(u32, f64)>,
    /// What failed here since a task last ran well.
    pub(crate) failures: MachineFailures,
    /// Nothing more is placed here before this.
    pub(crate) full_until: Ms,
    /// It is being given to another shard: nothing is placed here unless its
    /// record comes back changed, and still ours.
    pub(crate) transfer_version: Option<u64>,
    /// Its borrowed work is being stopped, as another shard has asked for it:
    /// nothing is placed here.
    pub(crate) is_vacating: bool,
    /// The cloud has answered our own deletion of it: nothing is on it, and
    /// nothing will be. Its record may say so only later.
    pub(crate) is_deleted: bool,
    /// Before this its deletion is not asked for again by us.
    pub(crate) next_delete_at: Ms,
    /// Before this it is not looked at again whether its tasks fit elsewhere.
    pub(crate) drain_retry_at: Ms,
    /// It is being drained, to be returned.
    pub(crate) is_draining: bool,
    /// Since when nothing has needed it.
    pub(crate) idle_since: Option<Ms>,
    /// Its part in warm pools.
    pub(crate) pool: MachinePool,
}

impl Machine {
    /// What is free, once everything that may be here is counted.
    pub(crate) fn free(&self) -> Resources {
        let orphans = self.orphans.iter();
        orphans.fold(self.total - self.used, |free, (_, _, r)| free - *r)
    }

    /// Whether a message has shown all that may be here from before our time.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.last_heartbeat_at.is_some() && self.acknowledged_token >= self.token
    }

    /// Whether it has reported lately.
    pub(crate) fn has_recent_heartbeat(&self, ctx: &Context) -> bool {
        let heard = self.last_heartbeat_at;
        heard.is_some_and(|t| ctx.now < t + ctx.config.report_ms * MAX_MISSED_HEARTBEATS)
    }

    /// Whether its worker itself should have been heard and was not.
    pub(crate) fn has_missed_heartbeats(&self, ctx: &Context) -> bool {
        let since = self.known_since.max(ctx.resumed_at);
        let timing = ctx.config.link_timing();
        self.link.has_missed_heartbeats(ctx.now, since, &timing)
    }

    /// Notes whether nothing needs it. Returns true if that is new.
    pub(crate) fn note_empty(&mut self, empty: bool, now: Ms) -> bool {
        let anew = empty && self.idle_since.is_none();
        self.idle_since = empty.then(|| self.idle_since.unwrap_or(now));
        anew
    }

    /// Since when nothing was heard, once we were there to hear it.
    pub(crate) fn last_sign_of_life(&self, awake_since: Ms) -> Ms {
        self.last_heartbeat_at
            .unwrap_or(0)
            .max(self.known_since)
            .max(awake_since)
    }

    /// Makes every command void that is still on its way.
    pub(crate) fn raise_token(&mut self, now: Ms) {
        self.token += 1;
        self.must_send_token = true;
        self.unacknowledged_since.get_or_insert(now);
    }

    /// Notes that an image is used.
    pub(crate) fn use_image(&mut self, image: u32, gb: f64) {
        self.images.retain(|(i, _)| *i != image);
        self.images.push((image, gb));
        let mut sum: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while sum > self.cache_gb && self.images.len() > 1 {
            sum -= self.images.remove(0).1;
        }
    }
}
