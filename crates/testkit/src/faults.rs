//! Kinds of faults, and selectors of the controllers and machines that they affect.

use crate::cloud::SlowBoots;
use crate::Ms;
use forkshift_wire::{JobId, MachineId};

/// All zones. Controllers are assigned to them in turn.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// A controller, selected by its role as the fault begins.
#[derive(Clone, Debug)]
pub enum ControllerSelector {
    /// The one of an index.
    Index(usize),
    /// The holder of a job's shard, by the store's records.
    HolderOfJob(JobId),
    /// The leader, by the store's record.
    Leader,
    /// The next one after another that is up.
    NextAfter(Box<ControllerSelector>),
}

/// Machines, selected by their state as the fault begins.
#[derive(Clone, Debug)]
pub enum MachineSelector {
    /// Those with a task of a job that has not exited.
    RunningJob(JobId),
    /// Those of the shards that a controller holds.
    HeldBy(ControllerSelector),
    /// Those of a zone.
    InZone(&'static str),
    /// Those of these names.
    Named(Vec<MachineId>),
    /// A number of machines, drawn at random.
    Random(usize),
    /// All that are up.
    All,
}

/// A direction of the link between a controller and machines.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LinkDirection {
    /// Heartbeats from machines to the controller.
    Heartbeats,
    /// Calls from the controller to machines.
    Commands,
    /// Both.
    Both,
}

/// A fault of machines. Times are durations.
#[derive(Clone, Copy, Debug)]
pub enum MachineFault {
    /// It stops with everything on it.
    Crash,
    /// It hangs, and resumes.
    Hang(Ms),
    /// It is partitioned from everything; messages are delivered afterwards.
    Partition(Ms),
    /// Its heartbeats arrive; responses and commands to it are lost.
    InboundLoss(Ms),
    /// Its heartbeats are lost; commands arrive and are answered.
    OutboundLoss(Ms),
    /// Messages from and to it take up to eight seconds longer.
    SlowLink(Ms),
    /// Tasks that start on it fail.
    FailTasks(Ms),
    /// It loses all images.
    EvictImages,
    /// Its prefetches do not complete.
    StuckPrefetch(Ms),
}

/// A kind of fault. Times are durations unless they say otherwise.
#[derive(Clone, Debug)]
pub enum FaultKind {
    /// Controllers exit, and start again after a while.
    Crash {
        /// The first; the others are those after it.
        node: usize,
        /// Number of controllers.
        count: usize,
        /// Time until they start again.
        restart_after: Ms,
    },
    /// A controller exits, and starts again as the new release.
    Upgrade {
        /// Index of the controller.
        node: usize,
        /// Time until it starts again.
        restart_after: Ms,
    },
    /// A controller exits, and starts again as the old release.
    Downgrade {
        /// Index of the controller.
        node: usize,
        /// Time until it starts again.
        restart_after: Ms,
    },
    /// The announced limits of the store come into force.
    LowerLimits,
    /// A controller is partitioned from some services.
    ServicePartition {
        /// Index of the controller.
        node: usize,
        /// From the store.
        store: bool,
        /// From the workers.
        workers: bool,
        /// From the cloud.
        cloud: bool,
        /// Duration.
        time: Ms,
        /// Whether messages are delivered afterwards; else they are lost.
        holds_messages: bool,
    },
    /// A zone is partitioned from everything outside of it.
    ZonePartition {
        /// The zone.
        zone: &'static str,
        /// Duration.
        time: Ms,
        /// Whether messages are delivered afterwards; else they are lost.
        holds_messages: bool,
    },
    /// The store refuses the requests of a controller.
    StoreRefusal {
        /// Index of the controller.
        node: usize,
        /// Duration.
        time: Ms,
    },
    /// The store is down.
    StoreOutage(Ms),
    /// Some responses of the store are slow.
    SlowStore(Ms),
    /// Some transactions get no response and are executed late, after newer ones of the same
    /// controller.
    LateWrites(Ms),
    /// The cloud is down.
    CloudOutage(Ms),
    /// A controller's timers fire late.
    SlowTimers {
        /// Index of the controller.
        node: usize,
        /// Duration.
        time: Ms,
    },
    /// A machine drawn at random stops with everything on it.
    MachineCrash,
    /// A machine drawn at random hangs, and resumes.
    MachineHang(Ms),
    /// A machine drawn at random is partitioned; messages are delivered afterwards.
    MachinePartition(Ms),
    /// Responses to a machine drawn at random are lost, and commands to it delivered
    /// afterwards.
    MachineInboundBlocked(Ms),
    /// Tasks that start on a machine drawn at random fail.
    MachineFailsTasks(Ms),
    /// The cloud reclaims all spot machines.
    SpotReclaim {
        /// Time from the notice until the reclaim; 0: no notice.
        notice: Ms,
    },
    /// Copies of some heartbeats arrive late.
    LateHeartbeatCopies(Ms),
    /// Some responses are lost.
    LostResponses(Ms),
    /// A fault of a selected controller. It waits until there is one.
    At(ControllerSelector, Box<FaultKind>),
    /// A fault of selected machines.
    Machines(MachineSelector, MachineFault),
    /// The store refuses the requests of a controller, and its open watches get no response
    /// meanwhile.
    StoreLockout {
        /// Index of the controller.
        node: usize,
        /// Duration.
        time: Ms,
    },
    /// A controller and other controllers are partitioned from each other.
    PeerPartition {
        /// Index of the controller.
        node: usize,
        /// The others; all if left out.
        peers: Option<Vec<usize>>,
        /// Duration.
        time: Ms,
        /// Whether messages are delivered afterwards; else they are lost.
        holds_messages: bool,
    },
    /// A controller's commands do not reach workers, whose heartbeats still arrive and are
    /// answered.
    CommandPartition {
        /// Index of the controller.
        node: usize,
        /// Duration.
        time: Ms,
        /// Whether commands are delivered afterwards; else they are lost.
        holds_messages: bool,
    },
    /// A controller and some machines are partitioned from each other; each still reaches all
    /// others.
    LinkPartition {
        /// Index of the controller.
        node: usize,
        /// The machines, selected as the fault begins.
        machines: MachineSelector,
        /// Direction in which messages are lost.
        direction: LinkDirection,
        /// Duration.
        time: Ms,
        /// Whether messages are delivered afterwards; else they are lost.
        holds_messages: bool,
    },
    /// A controller is paused, and resumes.
    Pause {
        /// Index of the controller.
        node: usize,
        /// Duration.
        time: Ms,
    },
    /// Some transactions get no response.
    LostWriteResponses {
        /// Percentage of them.
        percent: u32,
        /// Only those that put a key with this prefix.
        key_prefix: Option<&'static str>,
        /// Whether they are executed at once; else 2 to 12 s later.
        executes_at_once: bool,
        /// Duration.
        time: Ms,
    },
    /// Copies of some heartbeats arrive late, from 2 s to four leases.
    LateHeartbeats {
        /// Percentage of heartbeats.
        percent: u32,
        /// Whether they are kept until a new leader or holder has begun, and then reach every
        /// controller.
        until_failover: bool,
        /// Duration.
        time: Ms,
    },
    /// Some new machines come up late or never.
    SlowBoots {
        /// Which machines, and how late.
        which: SlowBoots,
        /// Duration.
        time: Ms,
    },
    /// New machines are up within two seconds.
    FastBoots(Ms),
    /// Some commands or their responses are delayed for seconds.
    DelayedCommands {
        /// Percentage of them.
        percent: u32,
        /// Duration.
        time: Ms,
    },
    /// Users cancel running jobs within a fifth of a second.
    CancelRunningJobs {
        /// Number of jobs.
        count: usize,
        /// Time for which up to eight of their machines hang.
        hang_ms: Ms,
    },
    /// Some jobs are cancelled as their last task completes.
    CancelCompletingJobs {
        /// Percentage of them.
        percent: u32,
        /// Duration.
        time: Ms,
    },
    /// Users repeat submissions, cancel completed jobs, and submit jobs that can not run or
    /// are malformed.
    UnusualRequests(Ms),
    /// Users request the state of a job at all controllers within milliseconds after it was
    /// accepted, completed or cancelled.
    StatusBursts(Ms),
}

impl FaultKind {
    /// The fault at a controller that is selected as it begins.
    pub fn at(self, who: ControllerSelector) -> Self {
        Self::At(who, Box::new(self))
    }

    /// How long the fault and the messages that it delays last.
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

    /// The fault at the controller of an index, if it is a controller's fault.
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

/// A fault that begins at a time.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When it begins.
    pub at: Ms,
    /// Its kind.
    pub kind: FaultKind,
}
