//! A machine of a shard, in its holder's memory.

use crate::context::Context;
use crate::pools::MachinePool;
use crate::records::{capacity_of, MachineRecord};
use crate::shard::failure_attribution::MachineFailures;
use crate::store::view::Versioned;
use crate::Ms;
use forkshift_links::MachineLink;
use forkshift_sched::Resources;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::{MachineId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

/// Heartbeats that a machine may miss and still count as recently heard.
const MAX_MISSED_HEARTBEATS: Ms = 3;
/// Seconds of the hours in which prices are given.
const SECONDS_PER_HOUR: f64 = 3600.0;

/// An attempt at a task.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct TaskAttempt {
    /// The task.
    pub(crate) task: TaskRef,
    /// Number of the attempt.
    pub(crate) attempt: u64,
}

/// A task that is on a machine and must not be.
#[derive(Clone, Debug)]
pub(crate) struct OrphanTask {
    /// The attempt that runs.
    pub(crate) attempt: TaskAttempt,
    /// Resources that it takes, as far as its job is known.
    pub(crate) resources: Resources,
}

/// Deletion of a machine by its shard's holder, without a record that says so.
#[derive(Debug, Default)]
pub(crate) struct HolderDeletion {
    /// The cloud has confirmed it: nothing is on the machine, and nothing will
    /// be. Its record may say so only later.
    pub(crate) is_confirmed: bool,
    /// The earliest time of the next request to delete it.
    pub(crate) next_request_at: Ms,
}

/// What is recorded of a machine, and the token that its new holder uses first.
pub(crate) struct RecordedMachine<'a> {
    pub(crate) id: &'a MachineId,
    pub(crate) record: &'a Versioned<MachineRecord>,
    pub(crate) machine_type: &'a MachineType,
    pub(crate) first_token: u64,
}

/// A machine of a shard.
///
/// Times are in milliseconds of the steady clock.
pub(crate) struct Machine {
    /// Its identifier.
    pub(crate) id: MachineId,
    /// Number of its type.
    pub(crate) machine_type: u16,
    /// Number of its zone.
    pub(crate) zone: u16,
    /// Whether it is a spot instance, which the cloud may reclaim.
    pub(crate) is_spot: bool,
    /// Its capacity.
    pub(crate) capacity: Resources,
    /// Its price per second.
    pub(crate) price_per_second: f64,
    /// Rate at which it fetches images, in GB per second.
    pub(crate) image_fetch_gb_per_s: f64,
    /// Size of its image cache, in GB.
    pub(crate) cache_gb: f64,
    /// Time that it takes to boot, in milliseconds.
    pub(crate) boot_ms: Ms,
    /// Address of its worker, once known.
    pub(crate) addr: Option<String>,
    /// Why it is decommissioned, if it is; the record follows.
    pub(crate) decommission_reason: Option<String>,
    /// Version of its record.
    pub(crate) version: u64,
    /// A write of its record is under way.
    pub(crate) is_writing_record: bool,
    /// Its record is written again only once the view has reached this
    /// revision, that of the store's last answer.
    pub(crate) record_required_revision: u64,

    /// Incarnation of the worker in its newest heartbeat.
    pub(crate) incarnation: u64,
    /// Sequence number of the newest heartbeat.
    pub(crate) heartbeat_sequence: u64,
    /// The fencing token that the newest heartbeat echoed.
    pub(crate) acknowledged_token: u64,
    /// The fencing token that this holder uses.
    pub(crate) token: u64,
    /// Since when the echoed token has been behind `token`.
    pub(crate) token_unacknowledged_since: Option<Ms>,
    /// When the newest heartbeat came, if any has reached this holder.
    pub(crate) last_heartbeat_at: Option<Ms>,
    /// State of the link to it.
    pub(crate) link: MachineLink,
    /// When this holder learned of the machine.
    pub(crate) known_since: Ms,
    /// When the cloud reclaims it, if it has given notice.
    pub(crate) reclaimed_at: Option<Ms>,

    /// A call to its worker is under way.
    pub(crate) has_call_in_flight: bool,
    /// Its worker is not called before this.
    pub(crate) retry_at: Ms,
    /// A call with commands had no answer and may be carried out late.
    pub(crate) has_unanswered_call: bool,
    /// The token must be sent, even without commands.
    pub(crate) must_send_token: bool,

    /// Tasks that may be on it.
    pub(crate) tasks: BTreeSet<TaskRef>,
    /// Resources that those tasks take.
    pub(crate) used: Resources,
    /// Tasks that are on it and must not be.
    pub(crate) orphans: Vec<OrphanTask>,
    /// Exited attempts that its worker still lists.
    pub(crate) exited: Vec<TaskAttempt>,
    /// The job's version that records the outcome of an exited attempt.
    pub(crate) exit_versions: BTreeMap<TaskAttempt, u64>,
    /// Numbers and sizes in GB of its images, the most recently used last.
    pub(crate) cached_images: Vec<(u32, f64)>,
    /// Failures on it since a task last ran well.
    pub(crate) failures: MachineFailures,
    /// Nothing is placed on it before this, as its worker has refused a task
    /// for lack of room.
    pub(crate) placement_blocked_until: Ms,
    /// Version of its record at which it was offered to another shard. Nothing
    /// is placed on it until the record has changed and is still in this shard.
    pub(crate) transfer_version: Option<u64>,
    /// Its borrowed work is being stopped, as another shard has requested it:
    /// nothing is placed on it.
    pub(crate) is_vacating: bool,
    /// Its deletion by this holder.
    pub(crate) deletion: HolderDeletion,
    /// Before this it is not checked again whether its tasks fit elsewhere.
    pub(crate) drain_retry_at: Ms,
    /// It is being drained, to be released.
    pub(crate) is_draining: bool,
    /// Since when nothing has needed it.
    pub(crate) idle_since: Option<Ms>,
    /// Its part in warm pools.
    pub(crate) pool: MachinePool,
}

impl Machine {
    /// A machine of which nothing is known but its record.
    pub(crate) fn new(ctx: &mut Context, recorded: &RecordedMachine) -> Self {
        let (record, machine_type) = (&recorded.record.record, recorded.machine_type);
        Self {
            id: recorded.id.clone(),
            machine_type: ctx.places.number(&record.machine_type),
            zone: ctx.places.number(&record.zone),
            is_spot: record.spot,
            capacity: capacity_of(machine_type),
            price_per_second: price_per_second(record, machine_type),
            image_fetch_gb_per_s: machine_type.fetch_gb_per_s,
            cache_gb: machine_type.cache_gb,
            boot_ms: crate::ms(machine_type.boot_s),
            addr: record.addr.clone(),
            decommission_reason: record.decommission_reason.clone(),
            version: recorded.record.version,
            is_writing_record: false,
            record_required_revision: 0,
            incarnation: 0,
            heartbeat_sequence: 0,
            acknowledged_token: 0,
            token: recorded.first_token,
            token_unacknowledged_since: None,
            last_heartbeat_at: None,
            link: MachineLink::default(),
            known_since: ctx.now,
            reclaimed_at: None,
            has_call_in_flight: false,
            retry_at: 0,
            has_unanswered_call: false,
            must_send_token: record.addr.is_some(),
            tasks: BTreeSet::new(),
            used: Resources::default(),
            orphans: Vec::new(),
            exited: Vec::new(),
            exit_versions: BTreeMap::new(),
            cached_images: recorded_images(ctx, record),
            failures: MachineFailures::default(),
            placement_blocked_until: 0,
            transfer_version: None,
            is_vacating: false,
            deletion: HolderDeletion::default(),
            drain_retry_at: 0,
            is_draining: false,
            idle_since: None,
            pool: MachinePool::new(record),
        }
    }

    /// Resources that are free, once everything that may be on it is counted.
    pub(crate) fn free_capacity(&self) -> Resources {
        let orphans = self.orphans.iter();
        orphans.fold(self.capacity - self.used, |free, orphan| {
            free - orphan.resources
        })
    }

    /// Whether a heartbeat has echoed this holder's token, and so listed all that
    /// earlier holders may have started here.
    pub(crate) fn has_acknowledged_token(&self) -> bool {
        self.last_heartbeat_at.is_some() && self.acknowledged_token >= self.token
    }

    /// Whether a heartbeat came recently.
    pub(crate) fn has_recent_heartbeat(&self, ctx: &Context) -> bool {
        let timeout = ctx.config.heartbeat_interval_ms * MAX_MISSED_HEARTBEATS;
        let last = self.last_heartbeat_at;
        last.is_some_and(|last| ctx.now < last + timeout)
    }

    /// Whether heartbeats that its worker should have sent directly are missing.
    pub(crate) fn has_missed_heartbeats(&self, ctx: &Context) -> bool {
        let since = self.known_since.max(ctx.resumed_at);
        let timing = ctx.config.link_timing();
        self.link.has_missed_heartbeats(ctx.now, since, &timing)
    }

    /// Updates since when nothing has needed it. Returns whether it has just
    /// become idle.
    pub(crate) fn update_idle_since(&mut self, is_idle: bool, now: Ms) -> bool {
        let becomes_idle = is_idle && self.idle_since.is_none();
        self.idle_since = is_idle.then(|| self.idle_since.unwrap_or(now));
        becomes_idle
    }

    /// When it was last heard; at the earliest when this holder learned of it,
    /// or resumed after a pause.
    pub(crate) fn silent_since(&self, resumed_at: Ms) -> Ms {
        self.last_heartbeat_at
            .unwrap_or(0)
            .max(self.known_since)
            .max(resumed_at)
    }

    /// Raises the token, which fences off every command that is still in flight.
    pub(crate) fn raise_token(&mut self, now: Ms) {
        self.token += 1;
        self.must_send_token = true;
        self.token_unacknowledged_since.get_or_insert(now);
    }

    /// Notes that an image is used; the least recently used ones leave the cache
    /// when it is full.
    pub(crate) fn mark_image_used(&mut self, image: u32, size_gb: f64) {
        self.cached_images.retain(|(cached, _)| *cached != image);
        self.cached_images.push((image, size_gb));
        let mut total_gb: f64 = self.cached_images.iter().map(|(_, size_gb)| size_gb).sum();
        while total_gb > self.cache_gb && self.cached_images.len() > 1 {
            total_gb -= self.cached_images.remove(0).1;
        }
    }
}

/// Price of a machine per second: the spot price for spot instances of types
/// that have one.
fn price_per_second(record: &MachineRecord, machine_type: &MachineType) -> f64 {
    let hourly = if record.spot {
        machine_type
            .spot_price_per_hour
            .unwrap_or(machine_type.price_per_hour)
    } else {
        machine_type.price_per_hour
    };
    hourly / SECONDS_PER_HOUR
}

/// Numbers and sizes of the images that a machine's record lists.
fn recorded_images(ctx: &mut Context, record: &MachineRecord) -> Vec<(u32, f64)> {
    let images = record.images.iter();
    images
        .map(|(name, size_gb)| (ctx.images.number(name), *size_gb))
        .collect()
}
