//! The change feed of the jobs' permanent records: which jobs have ended, and which were
//! unfinished as of a known time.
//!
//! A user is told that a job is cancelled only after its permanent record says so. All these
//! records share a key prefix, so one poll of the changes below it shows every end of a job
//! since the previous poll. The cost does not depend on the number of jobs, and a lost message
//! of another controller delays an end by at most one interval.
//!
//! The feed runs only while this controller needs it: it holds blocked jobs, or has recently
//! answered requests for jobs with dependencies. It starts at an earlier revision of the store,
//! so that its first poll shows the jobs of the recent past with one request. If many jobs from
//! before that are needed, the unfinished ones are listed; others are read once, from their
//! records.

mod requested_reads;
mod unfinished_jobs;
mod unfinished_listing;

use crate::api::parse_job_record;
use crate::context::is_watch_lost;
use crate::node::Node;
use crate::pending_call::PendingCall;
use crate::records::{job_key, JobRecord, ShardId, JOB_PREFIX};
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::state::{Change, Changes};
use forkshift_wire::users::{JobKind, JobSpec};
use forkshift_wire::JobId;
pub(crate) use requested_reads::ReadPriority;
use requested_reads::{FinishedRead, RequestedReads};
use serde_json::Value;
use std::collections::HashMap;
use std::fmt;
pub(crate) use unfinished_jobs::UnfinishedJob;
use unfinished_jobs::UnfinishedJobs;
use unfinished_listing::ListingState;

/// Least interval between two polls, as a fraction of the cancellation timeout: the time in
/// which a cancelled job must have stopped running.
const POLL_INTERVAL_FRACTION: f64 = 0.1;
/// Upper bound on the interval between two polls, as a fraction of the cancellation timeout.
const MAX_POLL_INTERVAL_FRACTION: f64 = 0.2;
/// Fraction of the key-value store's request rate limit that the polls of all controllers
/// together use, within the bounds on the interval.
const POLL_RATE_FRACTION: f64 = 0.05;
/// Pause after a failed poll or read, in milliseconds.
const RETRY_PAUSE_MS: Ms = 500;
/// Maximum number of reads of jobs' records in flight, for each priority. More would delay the calls that are
/// queued behind them.
const MAX_READS_IN_FLIGHT: usize = 4;

/// Identifies a run of the feed. Each start of the feed begins a new run.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct FeedRun(u64);

/// State of the change feed of the jobs' permanent records.
///
/// Times are in milliseconds of the steady clock.
pub(crate) struct JobFeed {
    run: FeedRun,
    /// Store revision up to which all changes have been processed; none while the feed is
    /// stopped.
    revision: Option<u64>,
    /// Number of revisions before the current one at which the feed starts.
    look_back: u64,
    /// All changes that the store had made by this time have been processed.
    current_as_of: Ms,
    is_poll_in_flight: bool,
    next_poll_at: Ms,
    /// Until when a request needs the feed.
    requested_until: Ms,
    /// Unfinished jobs that were accepted or read in this run.
    unfinished: UnfinishedJobs,
    /// Jobs whose records are to be read, as the feed does not show their state.
    reads: RequestedReads,
    listing: ListingState,
    /// The listing is not started before this time.
    next_listing_at: Ms,
    /// No read is sent before this time.
    next_read_at: Ms,
    /// Whether a poll or a read has returned since the last [`Self::take_progress`].
    has_progress: bool,
}

/// State of the feed and of its reads, for the log.
pub(crate) struct FeedStatus {
    revision: Option<u64>,
    age_ms: Ms,
    queued_reads: usize,
    reads_in_flight: usize,
    oldest_read_ms: Option<Ms>,
}

impl fmt::Display for FeedStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.revision {
            Some(revision) => write!(
                f,
                "feed at revision {revision} as of {} ms ago",
                self.age_ms
            ),
            None => f.write_str("feed stopped"),
        }?;
        write!(
            f,
            ", {} reads queued, {} in flight",
            self.queued_reads, self.reads_in_flight
        )?;
        match self.oldest_read_ms {
            Some(ms) => write!(f, ", the oldest wanted for {ms} ms"),
            None => Ok(()),
        }
    }
}

impl JobFeed {
    /// A stopped feed that keeps up to `capacity` unfinished jobs and dependencies, and starts
    /// `look_back` revisions before the current one.
    pub(crate) fn new(capacity: usize, look_back: u64) -> Self {
        Self {
            run: FeedRun::default(),
            revision: None,
            look_back,
            current_as_of: 0,
            is_poll_in_flight: false,
            next_poll_at: 0,
            requested_until: 0,
            unfinished: UnfinishedJobs::new(capacity),
            reads: RequestedReads::default(),
            listing: ListingState::Idle,
            next_listing_at: 0,
            next_read_at: 0,
            has_progress: false,
        }
    }

    /// Whether a call of a run of the feed still matters.
    fn is_current(&self, run: FeedRun) -> bool {
        run == self.run && self.revision.is_some()
    }

    /// The current run of the feed.
    pub(crate) fn run(&self) -> FeedRun {
        self.run
    }

    /// A job that was unfinished as of a known time; none if its state is not known.
    pub(crate) fn unfinished(&self, id: &JobId) -> Option<&UnfinishedJob> {
        self.unfinished.get(id)
    }

    /// The latest time as of which a job of [`Self::unfinished`] is known to have been
    /// unfinished.
    pub(crate) fn unfinished_as_of(&self, job: &UnfinishedJob) -> Ms {
        job.read_at.max(self.current_as_of)
    }

    /// The unfinished jobs that name a job as their dependency.
    pub(crate) fn dependents_of(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.unfinished.dependents_of(id)
    }

    /// Records that a job has ended.
    pub(crate) fn remove(&mut self, id: &JobId) {
        self.unfinished.remove(id);
        self.reads.remove_queued(id);
    }

    /// Records that a job was unfinished when its record was read. `read_at` is when the read
    /// was requested, in the given run of the feed.
    pub(crate) fn insert_read(&mut self, run: FeedRun, record: &JobRecord, read_at: Ms) {
        self.insert_unfinished(run, &record.spec, record.shard, read_at);
    }

    /// Records that a job of a shard was unfinished when one of its records was read.
    fn insert_unfinished(&mut self, run: FeedRun, spec: &JobSpec, shard: ShardId, read_at: Ms) {
        if !self.is_current(run) || spec.kind == JobKind::Service {
            return;
        }
        let job = UnfinishedJob {
            dependencies: spec.dependencies.clone(),
            shard,
            read_at,
        };
        self.reads.remove_queued(&spec.id);
        self.unfinished.insert(spec.id.clone(), job);
    }

    /// Requests reads of jobs' records.
    pub(crate) fn read(
        &mut self,
        ids: impl IntoIterator<Item = JobId>,
        priority: ReadPriority,
        now: Ms,
    ) {
        for id in ids {
            self.reads.request(id, priority, now);
        }
    }

    /// The state of the feed and of its reads, for the log.
    pub(crate) fn status(&self, now: Ms) -> FeedStatus {
        let oldest_wanted_since = self.reads.oldest_wanted_since();
        FeedStatus {
            revision: self.revision,
            age_ms: now.saturating_sub(self.current_as_of),
            queued_reads: self.reads.queued_count(),
            reads_in_flight: self.reads.in_flight_count(),
            oldest_read_ms: oldest_wanted_since.map(|since| now.saturating_sub(since)),
        }
    }

    /// For how long a job's record has been wanted, in milliseconds; none if it is not.
    pub(crate) fn wanted_for_ms(&self, id: &JobId, now: Ms) -> Option<Ms> {
        let since = self.reads.wanted_since(id)?;
        Some(now.saturating_sub(since))
    }

    /// Whether a poll or a read has returned since the last call.
    pub(crate) fn take_progress(&mut self) -> bool {
        std::mem::take(&mut self.has_progress)
    }

    /// Starts the feed. `revision` is one of the store that is not newer than the current one.
    fn start(&mut self, revision: u64, now: Ms) {
        let revision = revision.saturating_sub(self.look_back);
        log::info!("job feed: started at revision {revision}");
        self.run.0 += 1;
        self.revision = Some(revision);
        self.current_as_of = 0;
        self.listing = ListingState::Idle;
        self.is_poll_in_flight = false;
        self.next_poll_at = now;
    }

    /// Stops the feed. What is known of unfinished jobs becomes outdated.
    fn stop(&mut self, reason: &str) {
        log::info!("job feed: stopped, {reason}");
        self.revision = None;
        self.unfinished.clear();
        self.reads.clear();
    }

    /// Whether no poll of this run has been answered yet, so that the next one also looks back.
    fn is_first_poll(&self) -> bool {
        self.current_as_of == 0
    }

    /// Makes the feed start at a later revision from now on.
    fn shorten_look_back(&mut self) {
        self.look_back /= 2;
    }
}

impl Node {
    /// Keeps the job feed running for a while, as a request needs it.
    pub(crate) fn request_job_feed(&mut self) {
        self.prolong_job_feed();
        self.run_job_feed();
    }

    /// Requests reads of jobs' records, and keeps the job feed running for them.
    pub(crate) fn read_dependencies(
        &mut self,
        ids: impl IntoIterator<Item = JobId>,
        priority: ReadPriority,
    ) {
        self.request_job_feed();
        self.job_feed.read(ids, priority, self.ctx.now);
    }

    fn prolong_job_feed(&mut self) {
        let until = self.ctx.now + self.ctx.config.cancellation_timeout_ms;
        self.job_feed.requested_until = until;
    }

    /// Starts or stops the job feed as needed, and sends the due poll and reads.
    pub(crate) fn update_job_feed(&mut self) {
        if !self.dependencies.is_empty() {
            self.prolong_job_feed();
        }
        self.run_job_feed();
        if self.job_feed.revision.is_some() {
            self.poll_job_feed();
            self.list_unfinished_jobs_if_needed();
            self.read_requested_jobs();
        }
    }

    fn run_job_feed(&mut self) {
        let now = self.ctx.now;
        let is_needed = now < self.job_feed.requested_until;
        match self.job_feed.revision {
            None if is_needed && self.view.is_complete => {
                self.job_feed.start(self.view.revision, now);
            }
            Some(_) if !is_needed => self.job_feed.stop("not needed"),
            _ => {}
        }
    }

    /// Interval between two polls, in milliseconds.
    fn job_feed_interval_ms(&self) -> Ms {
        let config = &self.ctx.config;
        let within_rate_ms = self.ctx.watch_interval_ms(POLL_RATE_FRACTION);
        within_rate_ms
            .max(config.cancellation_fraction_ms(POLL_INTERVAL_FRACTION))
            .min(config.cancellation_fraction_ms(MAX_POLL_INTERVAL_FRACTION))
    }

    fn poll_job_feed(&mut self) {
        let (run, now) = (self.job_feed.run, self.ctx.now);
        let Some(revision) = self.job_feed.revision else {
            return;
        };
        if self.job_feed.is_poll_in_flight || now < self.job_feed.next_poll_at {
            return;
        }
        self.job_feed.is_poll_in_flight = true;
        self.job_feed.next_poll_at = now + self.job_feed_interval_ms();
        let path = format!("/changes?starts={JOB_PREFIX}&from={revision}&wait_ms=0");
        let pending = PendingCall::JobFeedPoll { run, sent: now };
        self.ctx.read_store(Urgency::User, path, pending);
    }

    /// Processes the answer to a poll that was requested at `sent`.
    pub(crate) fn on_job_feed(&mut self, run: FeedRun, sent: Ms, status: u16, body: &[u8]) {
        if !self.job_feed.is_current(run) {
            return;
        }
        self.job_feed.is_poll_in_flight = false;
        let is_too_long = is_watch_lost(status);
        // The answer to the first poll is large, and may have taken too long.
        if self.job_feed.is_first_poll() && (is_too_long || status == 0) {
            self.job_feed.shorten_look_back();
            return self.job_feed.stop("the first poll failed");
        }
        if is_too_long {
            return self.job_feed.stop("changes were lost");
        }
        let changes: Option<Changes> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let Some(changes) = changes else {
            self.job_feed.next_poll_at = self.ctx.now + RETRY_PAUSE_MS;
            return;
        };
        for (key, value) in latest_records(changes.events) {
            self.on_job_record_changed(run, &key, value, sent);
        }
        self.job_feed.revision = Some(changes.revision);
        self.job_feed.current_as_of = sent;
        self.job_feed.has_progress = true;
    }

    fn on_job_record_changed(&mut self, run: FeedRun, key: &str, value: Value, sent: Ms) {
        let Ok(record) = serde_json::from_value::<JobRecord>(value) else {
            log::error!("record {key}: unreadable, the job counts as not known");
            let id = key.strip_prefix(JOB_PREFIX).unwrap_or_default();
            return self.job_feed.remove(&JobId::new(id));
        };
        if record.stage.is_final() {
            self.final_stages.insert(record.spec.id, record.stage);
        } else if self.final_stages.get(&record.spec.id).is_none() {
            self.job_feed.insert_read(run, &record, sent);
        }
    }

    /// Sends as many of the requested reads as may be in flight.
    fn read_requested_jobs(&mut self) {
        if self.ctx.now < self.job_feed.next_read_at {
            return;
        }
        for priority in [ReadPriority::Request, ReadPriority::Background] {
            while self.job_feed.reads.in_flight_as(priority) < MAX_READS_IN_FLIGHT {
                let Some(id) = self.job_feed.reads.start_next(priority) else {
                    break;
                };
                self.read_dependency(id, priority.urgency());
            }
        }
    }

    fn read_dependency(&mut self, id: JobId, urgency: Urgency) {
        let path = format!("/kv/{}", job_key(&id));
        let pending = PendingCall::DependencyRead {
            run: self.job_feed.run,
            id,
            sent: self.ctx.now,
        };
        self.ctx.read_store(urgency, path, pending);
    }

    /// Processes the read of a dependency's record, which was requested at `sent`. If the job
    /// is unfinished, the records of its own dependencies are read next, unless their states
    /// are known.
    pub(crate) fn on_dependency_read(
        &mut self,
        run: FeedRun,
        id: &JobId,
        sent: Ms,
        status: u16,
        body: &[u8],
    ) {
        if run != self.job_feed.run {
            return;
        }
        let Some(read) = self.job_feed.reads.finish(id) else {
            return;
        };
        let record = parse_job_record(body).filter(|_| status == 200);
        let Some(record) = record else {
            return self.retry_dependency_read(id, read, status);
        };
        self.job_feed.has_progress = true;
        if record.stage.is_final() {
            self.final_stages.insert(id.clone(), record.stage);
        } else if self.final_stages.get(id).is_none() {
            self.job_feed.insert_read(run, &record, sent);
            self.on_dependency_unfinished(id, record.shard);
        }
    }
}

impl Node {
    /// Repeats a failed read. While the store refuses calls, it also refuses those that users
    /// wait for, so the read is repeated like one that no request waits for.
    fn retry_dependency_read(&mut self, id: &JobId, read: FinishedRead, status: u16) {
        let now = self.ctx.now;
        let waited_ms = now.saturating_sub(read.wanted_since);
        log::debug!("job {id}: read of its record failed with {status}, wanted for {waited_ms} ms");
        let is_refused = self.ctx.store.is_refusing_calls();
        let priority = match is_refused {
            true => ReadPriority::Background,
            false => read.priority,
        };
        let read = FinishedRead { priority, ..read };
        self.job_feed.reads.retry(id.clone(), read);
        // A read that has waited too long for the rate limit is queued again at once.
        let has_expired_unsent = status == 503 && !is_refused;
        if !has_expired_unsent {
            self.job_feed.next_read_at = now + RETRY_PAUSE_MS;
        }
    }
}

/// The latest record of each key that was put, in the order of their last changes.
fn latest_records(changes: Vec<Change>) -> Vec<(String, Value)> {
    let mut latest: HashMap<String, (usize, Value)> = HashMap::new();
    for (position, change) in changes.into_iter().enumerate() {
        if let Change::Put { key, value, .. } = change {
            latest.insert(key, (position, value));
        }
    }
    let mut records: Vec<(String, (usize, Value))> = latest.into_iter().collect();
    records.sort_unstable_by_key(|(_, (position, _))| *position);
    let without_position = records.into_iter().map(|(key, (_, value))| (key, value));
    without_position.collect()
}

#[cfg(test)]
mod tests;
