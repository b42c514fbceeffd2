//! Kinds of faults, and selectors of the controllers and machines that they affect. The soak
//! program prints the names of kinds and fields.

use crate::cloud::SlowBoots;
use crate::Ms;
use forkshift_wire::{JobId, MachineId};
use std::ops::Range;

/// All zones. Controllers are assigned to them round-robin, by index.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// Time from the execution of a request to that of its repetition.
pub(crate) const REPEAT_DELAY_MS: Range<Ms> = 2_000..120_000;

/// Selects a controller by its role at the time at which a fault begins.
#[derive(Clone, Debug)]
pub enum ControllerSelector {
    /// The controller with this index.
    Index(usize),
    /// The controller that holds the shard of a job according to the store.
    HolderOfJob(JobId),
    /// The leader according to the store.
    Leader,
    /// The next controller by index after the selected one that is up.
    NextAfter(Box<ControllerSelector>),
}

/// Selects machines that are up by their state at the time at which a fault begins.
#[derive(Clone, Debug)]
pub enum MachineSelector {
    /// Machines with a task of this job that has not exited.
    RunningJob(JobId),
    /// Machines of the shards that a controller holds according to the store.
    HeldBy(ControllerSelector),
    /// Machines of a zone.
    InZone(&'static str),
    /// Machines with these ids.
    Named(Vec<MachineId>),
    /// This number of machines, drawn at random.
    Random(usize),
    /// All machines.
    All,
}

/// Direction of messages that are lost between a controller and machines.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LinkDirection {
    /// Heartbeats from machines to the controller.
    Heartbeats,
    /// Calls from the controller to machines.
    Commands,
    /// Both directions.
    Both,
}

/// A fault of a machine or its worker. Each time is a duration.
#[derive(Clone, Copy, Debug)]
pub enum MachineFault {
    /// The machine fails permanently, and its tasks end.
    Crash,
    /// The worker does not run, and resumes afterwards with its state.
    Hang(Ms),
    /// No message reaches or leaves the machine. Commands are delivered afterwards; heartbeats are
    /// held or lost like those in other partitions of the controller.
    Partition(Ms),
    /// Responses and commands to the machine are lost, while its heartbeats arrive.
    InboundLoss(Ms),
    /// The machine's heartbeats are lost, while commands arrive and are answered.
    OutboundLoss(Ms),
    /// Messages from and to the machine take 0.5 to 8 s longer.
    SlowLink(Ms),
    /// Tasks that have their image ready on the machine during this time fail at once.
    FailTasks(Ms),
    /// The machine's image cache is emptied.
    EvictImages,
    /// Prefetches on the machine do not complete during this time.
    StuckPrefetch(Ms),
}

/// The receiver of the requests that [`FaultKind::RepeatedRequests`] repeats.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RepeatedReceiver {
    /// Commands to workers.
    Worker,
    /// Transactions of the store.
    Store,
    /// Rental and deletion requests to the cloud.
    Cloud,
}

/// A kind of fault. Each time is a duration.
#[derive(Clone, Debug)]
pub enum FaultKind {
    /// Controllers exit and restart.
    Crash {
        /// Index of the first controller; the others follow it by index.
        node: usize,
        /// Number of controllers that exit.
        count: usize,
        /// Time until they restart.
        restart_after: Ms,
    },
    /// A controller exits and restarts as the new release.
    Upgrade {
        /// Index of the controller.
        node: usize,
        /// Time until it starts again.
        restart_after: Ms,
    },
    /// A controller exits and restarts as the old release.
    Downgrade {
        /// Index of the controller.
        node: usize,
        /// Time until it starts again.
        restart_after: Ms,
    },
    /// The store's announced limits take effect.
    LowerLimits,
    /// A controller's calls to some services do not arrive.
    ServicePartition {
        /// Index of the controller.
        node: usize,
        /// Whether the store is affected.
        store: bool,
        /// Whether workers are affected, including their heartbeats to the controller.
        workers: bool,
        /// Whether the cloud is affected.
        cloud: bool,
        /// Duration.
        time: Ms,
        /// Whether messages are delivered afterwards; else they are lost.
        holds_messages: bool,
    },
    /// No message crosses the boundary of a zone. The store, the cloud and the users are outside of
    /// all zones.
    ZonePartition {
        /// Name of the zone.
        zone: &'static str,
        /// Duration.
        time: Ms,
        /// Whether messages are delivered afterwards; else they are lost.
        holds_messages: bool,
    },
    /// The store answers the requests of a controller with 503, and new watches not at all. Watches
    /// that are already open still get responses.
    StoreRefusal {
        /// Index of the controller.
        node: usize,
        /// Duration.
        time: Ms,
    },
    /// The store refuses all requests with 503, except watches, which get no response. Leases are
    /// renewed at both ends of the outage.
    StoreOutage(Ms),
    /// One in four responses of the store takes 0.1 to 1.5 s longer.
    SlowStore(Ms),
    /// One in eight transactions gets no response and is executed 2 to 12 s later, after newer
    /// transactions of the same controller.
    LateWrites(Ms),
    /// The cloud refuses all requests with 503.
    CloudOutage(Ms),
    /// A controller steps at most every 1.5 s, so its timers fire late and its input waits.
    SlowTimers {
        /// Index of the controller.
        node: usize,
        /// Duration.
        time: Ms,
    },
    /// [`MachineFault::Crash`] of a machine drawn at random.
    MachineCrash,
    /// [`MachineFault::Hang`] of a machine drawn at random.
    MachineHang(Ms),
    /// [`MachineFault::Partition`] of a machine drawn at random.
    MachinePartition(Ms),
    /// Responses to a machine drawn at random are lost, and commands to it are delivered
    /// afterwards.
    MachineInboundBlocked(Ms),
    /// [`MachineFault::FailTasks`] of a machine drawn at random.
    MachineFailsTasks(Ms),
    /// The cloud reclaims all spot machines.
    SpotReclaim {
        /// Time from the notice to the reclaim; 0: no notice is given.
        notice: Ms,
    },
    /// One in four heartbeats arrives a second time, 1 s to four leases later.
    LateHeartbeatCopies(Ms),
    /// One in twenty responses is lost.
    LostResponses(Ms),
    /// A fault of a controller that is selected when the fault begins. The fault is retried in every
    /// step until the selector matches a controller.
    At(ControllerSelector, Box<FaultKind>),
    /// A fault of the machines that are selected when the fault begins.
    Machines(MachineSelector, MachineFault),
    /// Like [`FaultKind::StoreRefusal`], but watches that are already open get no response either
    /// until the end.
    StoreLockout {
        /// Index of the controller.
        node: usize,
        /// Duration.
        time: Ms,
    },
    /// Messages between a controller and other controllers do not arrive.
    PeerPartition {
        /// Index of the controller.
        node: usize,
        /// Indices of the other controllers; all if absent.
        peers: Option<Vec<usize>>,
        /// Duration.
        time: Ms,
        /// Whether messages are delivered afterwards; else they are lost.
        holds_messages: bool,
    },
    /// A controller's commands do not reach workers, while their heartbeats to it still arrive and
    /// are answered.
    CommandPartition {
        /// Index of the controller.
        node: usize,
        /// Duration.
        time: Ms,
        /// Whether commands are delivered afterwards; else they are lost.
        holds_messages: bool,
    },
    /// Messages between a controller and some machines do not arrive. The controller still reaches all
    /// other machines, and the machines all other controllers.
    LinkPartition {
        /// Index of the controller.
        node: usize,
        /// The machines, selected when the fault begins.
        machines: MachineSelector,
        /// Direction of the affected messages.
        direction: LinkDirection,
        /// Duration.
        time: Ms,
        /// Whether messages are delivered afterwards; else they are lost.
        holds_messages: bool,
    },
    /// A controller's process does not run, and resumes afterwards with its state.
    Pause {
        /// Index of the controller.
        node: usize,
        /// Duration.
        time: Ms,
    },
    /// Some transactions of controllers get no response.
    LostWriteResponses {
        /// Percentage of the matching transactions.
        percent: u32,
        /// Only transactions that put a key with this prefix match; all if absent.
        key_prefix: Option<&'static str>,
        /// Whether the transactions are executed on arrival; else 2 to 12 s later.
        executes_at_once: bool,
        /// Duration.
        time: Ms,
    },
    /// Copies of some heartbeats arrive 2 s to four leases later, or after a failover.
    LateHeartbeats {
        /// Percentage of heartbeats.
        percent: u32,
        /// Whether the copies are withheld until a leader or a holder of a shard has changed, and
        /// are then delivered to every controller.
        until_failover: bool,
        /// Duration.
        time: Ms,
    },
    /// Some machines that are provisioned during this time boot late or never.
    SlowBoots {
        /// The affected machines and their boot time.
        which: SlowBoots,
        /// Duration.
        time: Ms,
    },
    /// Machines that are provisioned during this time boot in 0.2 to 2 s.
    FastBoots(Ms),
    /// Some commands to workers, or the responses to them, are delayed by 1 to 12 s.
    DelayedCommands {
        /// Percentage of the messages.
        percent: u32,
        /// Duration.
        time: Ms,
    },
    /// Some requests of controllers that were executed and answered arrive a second time, 2 to
    /// 120 s later.
    RepeatedRequests {
        /// Receiver of the requests.
        receiver: RepeatedReceiver,
        /// Percentage of the requests.
        percent: u32,
        /// Duration.
        time: Ms,
    },
    /// Users cancel the running jobs with the longest run times within 0.2 s.
    CancelRunningJobs {
        /// Maximum number of jobs.
        count: usize,
        /// Time for which up to eight machines of these jobs hang; 0: none hangs.
        hang_ms: Ms,
    },
    /// Users cancel some jobs when their last task completes, so that cancellation and completion
    /// race.
    CancelCompletingJobs {
        /// Percentage of the completing jobs.
        percent: u32,
        /// Duration.
        time: Ms,
    },
    /// Every 0.2 s a user resubmits a job, cancels a completed or unknown job, requests an unknown
    /// job, or submits a job that is malformed or can never be scheduled.
    UnusualRequests(Ms),
    /// Users resubmit a job and request its state at all controllers within 40 ms, when it is
    /// accepted or cancelled, and several times after it has completed.
    StatusBursts(Ms),
}

impl FaultKind {
    /// This fault at a controller that is selected when the fault begins.
    pub fn at(self, selector: ControllerSelector) -> Self {
        Self::At(selector, Box::new(self))
    }

    /// Time from the start of the fault until it and all delays of its messages are over.
    pub(crate) fn duration(&self, lease_ms: Ms) -> Ms {
        match self {
            Self::Crash { restart_after, .. }
            | Self::Upgrade { restart_after, .. }
            | Self::Downgrade { restart_after, .. } => *restart_after,
            Self::LowerLimits => 0,
            Self::ServicePartition { time, .. }
            | Self::ZonePartition { time, .. }
            | Self::StoreRefusal { time, .. }
            | Self::SlowTimers { time, .. }
            | Self::StoreLockout { time, .. }
            | Self::PeerPartition { time, .. }
            | Self::CommandPartition { time, .. }
            | Self::LinkPartition { time, .. }
            | Self::Pause { time, .. }
            | Self::SlowBoots { time, .. }
            | Self::CancelCompletingJobs { time, .. } => *time,
            Self::StoreOutage(time)
            | Self::SlowStore(time)
            | Self::CloudOutage(time)
            | Self::MachineHang(time)
            | Self::MachinePartition(time)
            | Self::MachineInboundBlocked(time)
            | Self::MachineFailsTasks(time)
            | Self::LostResponses(time)
            | Self::FastBoots(time)
            | Self::UnusualRequests(time)
            | Self::StatusBursts(time) => *time,
            Self::LateWrites(time)
            | Self::LostWriteResponses { time, .. }
            | Self::DelayedCommands { time, .. } => time + 12_000,
            Self::RepeatedRequests { time, .. } => time + REPEAT_DELAY_MS.end,
            Self::LateHeartbeatCopies(time) | Self::LateHeartbeats { time, .. } => {
                time + 4 * lease_ms
            }
            Self::MachineCrash => 0,
            Self::SpotReclaim { notice } => *notice,
            Self::CancelRunningJobs { hang_ms, .. } => *hang_ms,
            Self::At(_, kind) => kind.duration(lease_ms),
            Self::Machines(_, fault) => match fault {
                MachineFault::Crash | MachineFault::EvictImages => 0,
                MachineFault::SlowLink(time) => time + 8_000,
                MachineFault::Hang(time)
                | MachineFault::Partition(time)
                | MachineFault::InboundLoss(time)
                | MachineFault::OutboundLoss(time)
                | MachineFault::FailTasks(time)
                | MachineFault::StuckPrefetch(time) => *time,
            },
        }
    }

    /// This fault at the controller with index `n`; unchanged if it is no fault of one controller.
    pub(crate) fn with_controller(mut self, n: usize) -> Self {
        match &mut self {
            Self::Crash { node, .. }
            | Self::Upgrade { node, .. }
            | Self::Downgrade { node, .. }
            | Self::ServicePartition { node, .. }
            | Self::StoreRefusal { node, .. }
            | Self::SlowTimers { node, .. }
            | Self::StoreLockout { node, .. }
            | Self::PeerPartition { node, .. }
            | Self::CommandPartition { node, .. }
            | Self::LinkPartition { node, .. }
            | Self::Pause { node, .. } => *node = n,
            _ => {}
        }
        self
    }
}

/// A scheduled fault.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Time at which the fault begins.
    pub at: Ms,
    /// Kind of the fault.
    pub kind: FaultKind,
}
