//! In-memory state of a machine, kept by the holder of its shard.

use crate::context::Context;
use crate::pools::MachinePool;
use crate::records::{capacity_of, MachineRecord};
use crate::shard::epoch_of_token;
use crate::shard::failure_attribution::MachineFailures;
use crate::store::view::Versioned;
use crate::Ms;
use forkshift_links::MachineLink;
use forkshift_sched::Resources;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::{MachineId, TaskRef};
use std::collections::{BTreeMap, BTreeSet};

/// Heartbeat intervals without a heartbeat after which a machine no longer counts as recently
/// heard.
const MAX_MISSED_HEARTBEATS: Ms = 3;
const SECONDS_PER_HOUR: f64 = 3600.0;
/// Tokens of an epoch that are kept for the time from the decommissioning of a machine until its
/// deletion.
const MIN_TOKENS_LEFT: u64 = 1 << 16;

/// One attempt at running a task. A task that is started again gets a higher attempt number.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct TaskAttempt {
    pub(crate) task: TaskRef,
    /// Number of the attempt, unique for the task.
    pub(crate) attempt: u64,
}

/// An exited attempt that the newest heartbeat lists. The worker lists it until a `forget`
/// command names it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExitedAttempt {
    /// Highest fencing token under which a start of the attempt may have been sent, by this
    /// holder or an earlier one.
    pub(crate) start_token: u64,
    /// Version of its job that contains the outcome; none if the attempt was not bound when
    /// its exit was reported.
    pub(crate) job_version: Option<u64>,
}

/// An attempt that its worker reports and that must not run there, as it is not bound to the
/// machine. It is stopped.
#[derive(Clone, Debug)]
pub(crate) struct OrphanTask {
    pub(crate) attempt: TaskAttempt,
    /// Resources of the task; zero if its job is not known to the holder.
    pub(crate) resources: Resources,
}

/// Deletion that the holder requests from the cloud by itself, without waiting until the
/// machine's record shows the decommissioning and the leader acts on it.
#[derive(Debug, Default)]
pub(crate) struct HolderDeletion {
    /// The cloud has confirmed the deletion: nothing runs on the machine, and nothing will.
    /// The machine's record may show the decommissioning later.
    pub(crate) is_confirmed: bool,
    /// Earliest time of the next deletion request (steady clock, milliseconds).
    pub(crate) next_request_at: Ms,
}

/// Input of [`Machine::new`]: a machine's record, its type, and the first fencing token that
/// the new holder uses for it.
pub(crate) struct RecordedMachine<'a> {
    pub(crate) id: &'a MachineId,
    pub(crate) record: &'a Versioned<MachineRecord>,
    pub(crate) machine_type: &'a MachineType,
    pub(crate) first_token: u64,
}

/// A machine of a shard that this controller holds.
///
/// The fields combine the machine's stored record, the content of its worker's newest
/// heartbeat, and state that only this holder has and the next holder rebuilds.
///
/// Times are in milliseconds of the steady clock.
pub(crate) struct Machine {
    pub(crate) id: MachineId,
    /// Index of its machine type in [`Context::types_and_zones`].
    pub(crate) machine_type: u16,
    /// Index of its zone in [`Context::types_and_zones`].
    pub(crate) zone: u16,
    /// Whether it is a spot instance, which the cloud may reclaim.
    pub(crate) is_spot: bool,
    /// Total resources of the machine, whether in use or not.
    pub(crate) capacity: Resources,
    /// Price per second at which the cloud charges the machine.
    pub(crate) price_per_second: f64,
    /// Rate at which the machine fetches images, in GB per second.
    pub(crate) image_fetch_gb_per_s: f64,
    /// Size of its image cache, in GB.
    pub(crate) cache_gb: f64,
    /// Boot time in milliseconds, as given by the machine type.
    pub(crate) boot_ms: Ms,
    /// Address of its worker; none until the record or a heartbeat has given it.
    pub(crate) addr: Option<String>,
    /// Reason for its decommissioning; none if it is in service. The holder sets it before
    /// the record shows it.
    pub(crate) decommission_reason: Option<String>,
    /// Version of its record that this state follows.
    pub(crate) record_version: u64,
    /// Whether a write of its record is in flight.
    pub(crate) is_writing_record: bool,
    /// Store revision of the last response to a write of its record. The record is not
    /// written again until the view has reached this revision.
    pub(crate) record_required_revision: u64,

    /// Incarnation of the worker in its newest heartbeat; 0 before the first one.
    pub(crate) incarnation: u64,
    /// Sequence number of the newest heartbeat within that incarnation.
    pub(crate) heartbeat_sequence: u64,
    /// Highest fencing token that the worker has seen, as echoed by the newest heartbeat.
    pub(crate) acknowledged_token: u64,
    /// First fencing token of this holder, higher than those of all earlier holders.
    pub(crate) first_token: u64,
    /// Fencing token that this holder sends with commands.
    pub(crate) token: u64,
    /// Highest fencing token under which a start may have been sent to the machine, by this
    /// holder or an earlier one.
    pub(crate) last_start_token: u64,
    /// Time since which the echoed token has been lower than `token`; none while they agree.
    pub(crate) token_unacknowledged_since: Option<Ms>,
    /// Time of the newest heartbeat; none until one has reached this holder.
    pub(crate) last_heartbeat_at: Option<Ms>,
    /// State of the link between this controller and the machine's worker.
    pub(crate) link: MachineLink,
    /// Time at which this holder learned of the machine.
    pub(crate) known_since: Ms,
    /// Time at which the cloud reclaims the spot instance; none without a reclaim notice.
    pub(crate) spot_reclaim_at: Option<Ms>,

    /// Whether a call to its worker is in flight. At most one is.
    pub(crate) has_call_in_flight: bool,
    /// Backoff: the worker is not called before this time.
    pub(crate) call_retry_at: Ms,
    /// Whether a call with commands ended without a response, so that the worker may still
    /// execute the commands. Cleared when a heartbeat echoes `token`.
    pub(crate) has_unanswered_call: bool,
    /// Whether the worker must be called to send it the token, even if no command is due.
    pub(crate) must_send_token: bool,

    /// Tasks bound to the machine, which may be running there.
    pub(crate) tasks: BTreeSet<TaskRef>,
    /// Sum of the resources of `tasks`.
    pub(crate) used: Resources,
    /// Attempts in the newest heartbeat that must be stopped because they are not bound to
    /// the machine. Their resources are not free.
    pub(crate) orphans: Vec<OrphanTask>,
    /// Exited attempts that the newest heartbeat lists.
    pub(crate) exited_attempts: BTreeMap<TaskAttempt, ExitedAttempt>,
    /// Index in [`Context::images`] and size in GB of each image in the cache, the most
    /// recently used last.
    pub(crate) cached_images: Vec<(u32, f64)>,
    /// Failures on the machine since the last healthy run of a task on it.
    pub(crate) failures: MachineFailures,
    /// No task is placed before this time, because the worker has refused one for
    /// insufficient resources.
    pub(crate) placement_blocked_until: Ms,
    /// Version of its record for which a transfer to another shard was written; none if no
    /// transfer is in flight. No task is placed on the machine until its record has changed
    /// and still names this shard.
    pub(crate) transfer_version: Option<u64>,
    /// Whether borrowed tasks are being stopped so that another shard can reclaim the
    /// machine. No task is placed on it meanwhile.
    pub(crate) is_vacating: bool,
    /// Deletion requested by this holder itself.
    pub(crate) deletion: HolderDeletion,
    /// Time before which the drain does not check again whether its tasks fit on other
    /// machines.
    pub(crate) drain_retry_at: Ms,
    /// Whether the machine is being drained, to be released once it is empty.
    pub(crate) is_draining: bool,
    /// Time since which no task or reserve has needed the machine; none while it is needed.
    pub(crate) idle_since: Option<Ms>,
    /// Membership in a warm pool.
    pub(crate) pool: MachinePool,
}

impl Machine {
    /// Creates the state of a machine from its record, before any heartbeat has reached this
    /// holder.
    pub(crate) fn new(ctx: &mut Context, recorded: &RecordedMachine) -> Self {
        let (record, machine_type) = (&recorded.record.record, recorded.machine_type);
        Self {
            id: recorded.id.clone(),
            machine_type: ctx.types_and_zones.intern(&record.machine_type),
            zone: ctx.types_and_zones.intern(&record.zone),
            is_spot: record.spot,
            capacity: capacity_of(machine_type),
            price_per_second: price_per_second(record, machine_type),
            image_fetch_gb_per_s: machine_type.fetch_gb_per_s,
            cache_gb: machine_type.cache_gb,
            boot_ms: crate::seconds_to_ms(machine_type.boot_s),
            addr: record.addr.clone(),
            decommission_reason: record.decommission_reason.clone(),
            record_version: recorded.record.version,
            is_writing_record: false,
            record_required_revision: 0,
            incarnation: 0,
            heartbeat_sequence: 0,
            acknowledged_token: 0,
            first_token: recorded.first_token,
            token: recorded.first_token,
            last_start_token: recorded.first_token.saturating_sub(1),
            token_unacknowledged_since: None,
            last_heartbeat_at: None,
            link: MachineLink::default(),
            known_since: ctx.now,
            spot_reclaim_at: None,
            has_call_in_flight: false,
            call_retry_at: 0,
            has_unanswered_call: false,
            must_send_token: record.addr.is_some(),
            tasks: BTreeSet::new(),
            used: Resources::default(),
            orphans: Vec::new(),
            exited_attempts: BTreeMap::new(),
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

    /// Free capacity, after subtracting bound tasks and orphans.
    pub(crate) fn free_capacity(&self) -> Resources {
        let orphans = self.orphans.iter();
        orphans.fold(self.capacity - self.used, |free, orphan| {
            free - orphan.resources
        })
    }

    /// Whether a heartbeat has echoed a fencing token of this holder. Such a heartbeat lists
    /// every task that earlier holders may have started on the machine.
    pub(crate) fn has_acknowledged_holder(&self) -> bool {
        self.last_heartbeat_at.is_some() && self.acknowledged_token >= self.first_token
    }

    /// Whether the newest heartbeat has echoed this holder's current fencing token.
    pub(crate) fn has_acknowledged_token(&self) -> bool {
        self.last_heartbeat_at.is_some() && self.acknowledged_token >= self.token
    }

    /// Whether the newest heartbeat is less than `MAX_MISSED_HEARTBEATS` intervals old.
    pub(crate) fn has_recent_heartbeat(&self, ctx: &Context) -> bool {
        let timeout = ctx.config.heartbeat_interval_ms * MAX_MISSED_HEARTBEATS;
        let last = self.last_heartbeat_at;
        last.is_some_and(|last| ctx.now < last + timeout)
    }

    /// Whether direct heartbeats from its worker are overdue. Heartbeats relayed by other
    /// controllers do not count.
    pub(crate) fn has_missed_heartbeats(&self, ctx: &Context) -> bool {
        let since = self.known_since.max(ctx.resumed_at);
        let timing = ctx.config.link_timing();
        self.link.has_missed_heartbeats(ctx.now, since, &timing)
    }

    /// Updates [`Self::idle_since`]. Returns whether the machine has just become idle.
    pub(crate) fn update_idle_since(&mut self, is_idle: bool, now: Ms) -> bool {
        let becomes_idle = is_idle && self.idle_since.is_none();
        self.idle_since = is_idle.then(|| self.idle_since.unwrap_or(now));
        becomes_idle
    }

    /// Start of the current silence of the machine: the time of its last heartbeat, but no
    /// earlier than the time at which this holder learned of it or resumed after a pause.
    pub(crate) fn silent_since(&self, resumed_at: Ms) -> Ms {
        self.last_heartbeat_at
            .unwrap_or(0)
            .max(self.known_since)
            .max(resumed_at)
    }

    /// Raises the fencing token and has it sent to the worker. Once the worker has seen the new
    /// token it refuses all commands that are still in flight.
    pub(crate) fn raise_token(&mut self, now: Ms) {
        self.token += 1;
        self.must_send_token = true;
        self.token_unacknowledged_since.get_or_insert(now);
    }

    /// Raises the fencing token for the message that is being built, unless it is already higher
    /// than `start_token`. If that message is lost, the next one carries the token; whether the
    /// worker echoes it is watched from the next heartbeat on.
    ///
    /// The token stays as it is while a transfer to another shard is in flight, because the
    /// tokens of the next holder follow the recorded one.
    pub(crate) fn raise_token_above(&mut self, start_token: u64) {
        if self.transfer_version.is_none() {
            self.token = self.token.max(start_token + 1);
        }
    }

    /// Whether the token may be raised for the remaining life of the machine without reaching the
    /// tokens of the next epoch.
    pub(crate) fn has_tokens_left(&self) -> bool {
        epoch_of_token(self.token + MIN_TOKENS_LEFT) == epoch_of_token(self.token)
    }

    /// Marks an image as the most recently used one. The least recently used images are
    /// evicted while the cache exceeds its size; the last image is kept even if it exceeds
    /// the size by itself.
    pub(crate) fn mark_image_used(&mut self, image: u32, size_gb: f64) {
        self.cached_images.retain(|(cached, _)| *cached != image);
        self.cached_images.push((image, size_gb));
        let mut total_gb: f64 = self.cached_images.iter().map(|(_, size_gb)| size_gb).sum();
        while total_gb > self.cache_gb && self.cached_images.len() > 1 {
            total_gb -= self.cached_images.remove(0).1;
        }
    }
}

/// Price of a machine per second. A spot instance has the spot price, or the regular price if
/// its type has no spot price.
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

/// Images that a machine's record lists, as index and size in GB.
fn recorded_images(ctx: &mut Context, record: &MachineRecord) -> Vec<(u32, f64)> {
    let images = record.images.iter();
    images
        .map(|(name, size_gb)| (ctx.images.intern(name), *size_gb))
        .collect()
}
