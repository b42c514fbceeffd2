//! Loading of a shard's jobs when it is taken over, and the watch that shows
//! new ones afterwards.
//!
//! A shard is used only once the view is as new as the jobs that were read:
//! then a machine that the view lacks does not exist any more.

use super::{remove_key, Phase, Shard};
use crate::context::{is_watch_lost, Context};
use crate::pending_call::PendingCall;
use crate::records::{unfinished_prefix, JobHeadRecord, TaskBlockRecord};
use crate::shard::layout::Layout;
use crate::store::queue::Urgency;
use crate::store::view::{ChangedMachines, ClusterView};
use crate::Ms;
use forkshift_wire::state::{Change, Changes, Page};
use forkshift_wire::JobId;
use serde_json::{from_value, Value};

/// The part of the requests to the state service that goes into watches on
/// shards' jobs.
const WATCH_PART: f64 = 0.1;
/// Least pause between two of them.
const WATCH_GAP: Ms = 200;
/// Pause before its jobs are read again: without one, a controller that was
/// refused while it took a shard over asked as fast as it was answered.
const LIST_PAUSE: Ms = 200;

impl Shard {
    /// Reads a page of the jobs' records from behind a key.
    pub(super) fn list_jobs(&self, ctx: &mut Context, from: &str) {
        let prefix = unfinished_prefix(self.id);
        let mut path = format!("/kv?starts={prefix}&most=400");
        if !from.is_empty() {
            path.push_str(&format!("&from={from}"));
        }
        let (shard, epoch) = (self.id, self.epoch);
        ctx.read_store(
            Urgency::Membership,
            path,
            PendingCall::ShardList { shard, epoch },
        );
    }

    /// Reads the jobs anew, when that is due.
    pub(crate) fn relist_jobs(&mut self, ctx: &mut Context) {
        if self.relist_at.take_if(|t| ctx.now >= *t).is_some() {
            self.list_jobs(ctx, "");
        }
    }

    /// A page of the jobs' records has come, or could not be had.
    pub(crate) fn on_job_list(&mut self, ctx: &mut Context, status: u16, body: &[u8]) {
        let page: Option<Page> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let Some(mut page) = page else {
            // Start over, after a pause; what was read may be old by now.
            self.loaded_items.clear();
            self.relist_at = Some(ctx.now + LIST_PAUSE);
            return;
        };
        if self.jobs_revision == 0 || self.loaded_items.is_empty() {
            // Changes after the first page are shown by the watch.
            self.jobs_revision = page.revision;
        }
        self.loaded_items.append(&mut page.items);
        match self.loaded_items.last() {
            Some(last) if page.has_next => {
                let from = last.key.clone();
                self.list_jobs(ctx, &from);
            }
            _ => self.phase = Phase::Waiting(page.revision),
        }
    }

    /// Starts to use the shard, once the view is as new as what was read.
    /// Only then does a machine that the view lacks not exist any more.
    pub(crate) fn activate(&mut self, ctx: &mut Context, view: &ClusterView) {
        // A machine of a type that is not known would be taken for gone.
        let mut ours = view.machines.values().filter(|m| m.record.shard == self.id);
        if !ours.all(|m| view.machine_types.contains_key(&m.record.machine_type)) {
            log::error!("shard {}: a machine's type is not known", self.id);
            return;
        }
        self.phase = Phase::Active;
        self.active_since = ctx.now;
        self.apply_machine_records(ctx, view, &ChangedMachines::everything());
        let prefix = unfinished_prefix(self.id);
        let items = std::mem::take(&mut self.loaded_items);
        let mut blocks = Vec::new();
        for item in items {
            let name = item.key.strip_prefix(&prefix).unwrap_or_default();
            match name.split_once('/') {
                None => self.load_head(ctx, item.value, item.version),
                Some((id, block)) => blocks.push((JobId::new(id), block.to_owned(), item)),
            }
        }
        for (id, block, item) in blocks {
            let job = self.jobs.get(&id);
            let block = job.and_then(|j| j.layout().parse_block(&block));
            match (block, from_value::<TaskBlockRecord>(item.value)) {
                (Some(block), Ok(record)) => self.restore(ctx, &id, block, record, item.version),
                _ => remove_key(ctx, item.key, item.version),
            }
        }
        for (id, job) in &self.jobs {
            self.unwritten_jobs.touch(id);
            if job.is_gang() {
                self.incomplete_gangs.insert(id.clone());
            }
        }
        log::info!(
            "shard {}: {} jobs and {} machines taken over",
            self.id,
            self.jobs.len(),
            self.machines.len()
        );
    }

    /// Restores a job from its first record.
    fn load_head(&mut self, ctx: &mut Context, value: Value, stamp: u64) {
        let head: JobHeadRecord = match from_value(value) {
            Ok(head) => head,
            Err(e) => {
                log::error!("a job's record is not understood: {e}");
                return;
            }
        };
        let id = head.spec.id.clone();
        let layout = Layout::recorded(head.tasks_per_block, &ctx.config.state_limits);
        self.add_job(ctx, head.spec, Some(layout), head.submitted_at_ms, stamp);
        self.restore(ctx, &id, 0, head.block, stamp);
        if head.cancelled {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.is_cancelled = true;
                job.is_cancellation_durable = true;
                job.cancelled_at_wall_ms = head.cancelled_at_ms;
                job.cancellation_age_when_learnt = ctx.longest_age_of(head.cancelled_at_ms);
                job.cancellation_learnt_at = ctx.now;
                self.cancelled_jobs.touch(&id);
            }
        }
    }

    /// Restores a block of a job's tasks.
    fn restore(
        &mut self,
        ctx: &Context,
        id: &JobId,
        block: u32,
        record: TaskBlockRecord,
        stamp: u64,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for (index, binding) in job.restore(block, record, stamp, ctx.now) {
            if self.machines.contains_key(&binding.machine) {
                self.bind(id, index, binding);
            } else if let Some(job) = self.jobs.get_mut(id) {
                // Its machine's record is gone, so the machine is.
                let block = job.block_of(index);
                job.mark_block_changed(block);
            }
        }
    }

    /// Keeps a watch on the shard's jobs, for those that other controllers accept.
    pub(crate) fn watch_jobs(&mut self, ctx: &mut Context) {
        if self.is_watching || self.jobs_revision == 0 || ctx.now < self.next_watch_at {
            return;
        }
        self.is_watching = true;
        self.watch_serial += 1;
        self.next_watch_at = ctx.now + ctx.watch_pause(WATCH_PART);
        let pending = PendingCall::ShardWatch {
            shard: self.id,
            epoch: self.epoch,
            serial: self.watch_serial,
        };
        ctx.watch_store(
            &unfinished_prefix(self.id),
            self.jobs_revision,
            10_000,
            pending,
        );
    }

    /// Gives up the watch that is open, so that another is opened.
    pub(crate) fn reopen_watch(&mut self) {
        self.is_watching = false;
    }

    /// The watch has shown changes, or has ended.
    pub(crate) fn on_jobs_watch(
        &mut self,
        ctx: &mut Context,
        serial: u64,
        status: u16,
        body: &[u8],
    ) {
        self.is_watching &= serial != self.watch_serial;
        // Our own writes come back here; a pause lets them come together. Of
        // new jobs we are told by whoever accepted them.
        self.next_watch_at = self.next_watch_at.max(ctx.now + WATCH_GAP);
        if is_watch_lost(status) {
            self.must_reload = true;
        }
        let changes: Option<Changes> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let Some(changes) = changes else { return };
        let prefix = unfinished_prefix(self.id);
        for event in changes.events {
            let Change::Put {
                put,
                value,
                version,
            } = event
            else {
                continue;
            };
            let Some(name) = put.strip_prefix(&prefix) else {
                continue;
            };
            let id = JobId::new(name);
            if name.contains('/') || version <= self.jobs_revision || self.jobs.contains_key(&id) {
                continue;
            }
            // Others write heads of new jobs only: all else is an old write of
            // ours, of a job that may be over.
            let head = from_value::<JobHeadRecord>(value).ok();
            let head = head.filter(|h| !h.cancelled && h.block == TaskBlockRecord::default());
            if let Some(head) = head {
                self.add_job(ctx, head.spec, None, head.submitted_at_ms, version);
            }
        }
        self.jobs_revision = self.jobs_revision.max(changes.revision);
        let seen = self.jobs_revision;
        self.removed_jobs.retain(|_, revision| *revision >= seen);
    }
}
