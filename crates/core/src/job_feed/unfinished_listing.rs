//! The listing of the heads of all unfinished jobs.
//!
//! A controller that starts among many old unfinished jobs needs the records of most of them, as
//! users ask for all of them. One page of the listing shows hundreds of jobs with their
//! dependencies, where each read of a record shows one. A job has a head exactly as long as it
//! is unfinished: its last write removes the head, and a cancellation is recorded in it.

use super::{FeedRun, RETRY_PAUSE_MS};
use crate::node::Node;
use crate::pending_call::PendingCall;
use crate::records::{JobHeadRecord, ShardId, UNFINISHED_JOBS_PREFIX};
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::state::{Item, Page};
use serde_json::from_value;

/// Number of queued reads from which on the heads are listed. Fewer reads are sent one by one.
const MIN_QUEUED_READS: usize = 16;
/// Maximum number of records in a page.
const PAGE_ITEMS: usize = 1_000;

/// Progress of the listing in a run of the feed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ListingState {
    /// No page has been requested, or the listing has failed.
    #[default]
    Idle,
    /// A page has been requested.
    InFlight,
    /// All pages have been read.
    Complete,
}

impl Node {
    /// Starts the listing, once in a run of the feed, if many reads are queued.
    pub(super) fn list_unfinished_jobs_if_needed(&mut self) {
        let feed = &self.job_feed;
        let is_due = feed.listing == ListingState::Idle
            && !feed.is_first_poll()
            && feed.reads.queued_count() >= MIN_QUEUED_READS
            && self.ctx.now >= feed.next_listing_at;
        if is_due {
            self.list_unfinished_jobs("");
        }
    }

    /// Requests the page of heads that follows a key.
    fn list_unfinished_jobs(&mut self, from: &str) {
        self.job_feed.listing = ListingState::InFlight;
        let path = format!("/kv?starts={UNFINISHED_JOBS_PREFIX}&from={from}&most={PAGE_ITEMS}");
        let pending = PendingCall::UnfinishedJobsPage {
            run: self.job_feed.run,
            sent: self.ctx.now,
        };
        self.ctx.read_store(Urgency::User, path, pending);
    }

    /// Processes a page of the listing that was requested at `sent`.
    pub(crate) fn on_unfinished_jobs_page(
        &mut self,
        run: FeedRun,
        sent: Ms,
        status: u16,
        body: &[u8],
    ) {
        if !self.job_feed.is_current(run) {
            return;
        }
        let page: Option<Page> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let Some(page) = page else {
            self.job_feed.listing = ListingState::Idle;
            self.job_feed.next_listing_at = self.ctx.now + RETRY_PAUSE_MS;
            return;
        };
        let last_key = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            self.on_unfinished_job_listed(run, item, sent);
        }
        self.job_feed.has_progress = true;
        match last_key.filter(|_| page.has_next) {
            Some(from) => self.list_unfinished_jobs(&from),
            None => self.job_feed.listing = ListingState::Complete,
        }
    }

    /// Keeps a listed job as unfinished as of `sent`, unless it is cancelled. Blocks of tasks
    /// are skipped.
    fn on_unfinished_job_listed(&mut self, run: FeedRun, item: Item, sent: Ms) {
        let Some(shard) = shard_of_head(&item.key) else {
            return;
        };
        let Ok(head) = from_value::<JobHeadRecord>(item.value) else {
            return;
        };
        if !head.cancelled && self.final_stages.get(&head.spec.id).is_none() {
            self.job_feed
                .insert_unfinished(run, &head.spec, shard, sent);
        }
    }
}

/// The shard in the key of a head; none for the key of another block.
fn shard_of_head(key: &str) -> Option<ShardId> {
    let (shard, id) = key.strip_prefix(UNFINISHED_JOBS_PREFIX)?.split_once('/')?;
    let is_head = !id.contains('/');
    shard.parse().ok().map(ShardId).filter(|_| is_head)
}
