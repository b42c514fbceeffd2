//! What can go wrong, and whom it hits.

use crate::cloud::SlowBoots;
use crate::Ms;
use forkshift_wire::{JobId, MachineId};

/// All zones. Controllers are in them in turn.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// A controller, named by what it is at the moment it is looked for.
#[derive(Clone, Debug)]
pub enum ControllerSelector {
    /// The one of that index.
    Index(usize),
    /// The holder of a job's share, as the state service has it.
    HolderOfJob(JobId),
    /// The leader, as the state service has it.
    Leader,
    /// The next one that is up and is not this one.
    NextAfter(Box<ControllerSelector>),
}

/// Machines, named by what they are at the moment they are looked for.
#[derive(Clone, Debug)]
pub enum Which {
    /// Those with a task of a job that has not exited.
    RunningJob(JobId),
    /// Those of the shards that a controller holds.
    HeldBy(ControllerSelector),
    /// Those of a zone.
    InZone(&'static str),
    /// These.
    Named(Vec<MachineId>),
    /// So many, drawn at random.
    Some(usize),
    /// All that are up.
    All,
}

/// A direction of the link between a controller and machines.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Direction {
    /// Reports from machines to the controller.
    Reports,
    /// Calls from the controller to machines.
    Calls,
    /// Both.
    Both,
}

/// What goes wrong with machines.
#[derive(Clone, Copy, Debug)]
pub enum MachineFault {
    /// It stops with all that is on it.
    Die,
    /// It stands still, and goes on.
    Hang(Ms),
    /// It loses the network; held back messages come later.
    Partition(Ms),
    /// Its reports arrive; answers and direct commands to it are lost.
    InboundLoss(Ms),
    /// It reaches no controller; direct commands reach it and are answered.
    OutboundLoss(Ms),
    /// What it sends and what is sent to it takes up to eight seconds.
    SlowLink(Ms),
    /// It fails what it starts.
    FailTasks(Ms),
    /// It loses all images.
    EvictImages,
    /// What it fetches ahead does not come.
    StuckPrefetch(Ms),
}

/// What goes wrong.
#[derive(Clone, Debug)]
pub enum FaultKind {
    /// A controller ends, and is started again after a while.
    Crash {
        /// Which; the others are counted from there.
        node: usize,
        /// How many.
        count: usize,
        /// Until they are back.
        restart_after: Ms,
    },
    /// A controller ends, and comes back as the new release.
    Upgrade {
        /// Which.
        node: usize,
        /// Until it is back.
        restart_after: Ms,
    },
    /// A controller ends, and comes back as the old release.
    Downgrade {
        /// Which.
        node: usize,
        /// Until it is back.
        restart_after: Ms,
    },
    /// The limits of the state service that were announced come into force.
    LowerLimits,
    /// A controller reaches some others no more.
    Cut {
        /// Which.
        node: usize,
        /// The state service.
        state: bool,
        /// The workers.
        workers: bool,
        /// The cloud.
        cloud: bool,
        /// For how long.
        time: Ms,
        /// Messages are held back and delivered afterwards.
        hold: bool,
    },
    /// A zone is cut off from everything, and goes on within.
    ZonePartition {
        /// Which.
        zone: &'static str,
        /// For how long.
        time: Ms,
        /// Messages are held back and delivered afterwards.
        hold: bool,
    },
    /// The state service refuses one controller.
    StoreRefusal {
        /// Which.
        node: usize,
        /// For how long.
        time: Ms,
    },
    /// The state service is down.
    StoreOutage(Ms),
    /// Some answers of the state service take long.
    SlowStore(Ms),
    /// Some transactions have no answer and are carried out late, after newer
    /// ones of the same controller.
    LateWrites(Ms),
    /// The cloud is down.
    CloudOutage(Ms),
    /// A controller's timers fire late.
    SlowTimers {
        /// Which.
        node: usize,
        /// For how long.
        time: Ms,
    },
    /// A machine stops with all that is on it.
    MachineCrash,
    /// A machine stands still, and goes on.
    MachineHang(Ms),
    /// A machine loses the network; held back messages come later.
    MachinePartition(Ms),
    /// What is sent to a machine does not reach it.
    MachineInboundBlocked(Ms),
    /// A machine fails what it starts.
    MachineFailsTasks(Ms),
    /// Spot machines are taken.
    SpotReclaim {
        /// One in so many stays.
        notice: Ms,
    },
    /// Copies of reports come late.
    LateHeartbeatCopies(Ms),
    /// Answers get lost now and then.
    LostResponses(Ms),
    /// A fault of one controller, whichever it then is. As long as there is
    /// none, the fault waits.
    At(ControllerSelector, Box<FaultKind>),
    /// A fault of machines, whichever they then are.
    Machines(Which, MachineFault),
    /// The state service refuses one controller, and leaves its open watches
    /// without an answer for as long.
    StoreLockout {
        /// Which.
        node: usize,
        /// For how long.
        time: Ms,
    },
    /// A controller and others do not hear each other.
    PeerPartition {
        /// Which.
        node: usize,
        /// The others; all if left out.
        peers: Option<Vec<usize>>,
        /// For how long.
        time: Ms,
        /// Messages are held back and delivered afterwards.
        hold: bool,
    },
    /// A controller's direct commands do not reach workers, whose reports
    /// still reach it and are answered.
    CommandPartition {
        /// Which.
        node: usize,
        /// For how long.
        time: Ms,
        /// Commands are held back and delivered afterwards.
        hold: bool,
    },
    /// A controller and some machines are cut off from each other; each goes on to reach
    /// all others.
    LinkCut {
        /// The controller.
        node: usize,
        /// The machines, as they are when it begins.
        machines: Which,
        /// Which direction is lost.
        lost: Direction,
        /// For how long.
        time: Ms,
        /// Messages are held back and delivered afterwards.
        hold: bool,
    },
    /// A controller stands still, and goes on.
    Pause {
        /// Which.
        node: usize,
        /// For how long.
        time: Ms,
    },
    /// Some transactions have no answer.
    LostWriteResponses {
        /// How many of a hundred.
        percent: u32,
        /// Only those that put a key which begins like this.
        key_prefix: Option<&'static str>,
        /// They are carried out at once; else 2 to 12 s later.
        executes_at_once: bool,
        /// For how long.
        time: Ms,
    },
    /// Copies of reports come late, from 2 s to four leases.
    LateHeartbeats {
        /// Of how many of a hundred.
        percent: u32,
        /// They are kept until a new leader or holder has begun, and then
        /// reach every controller.
        until_failover: bool,
        /// For how long.
        time: Ms,
    },
    /// New machines come late or never.
    SlowBoots {
        /// Which, and how late.
        which: SlowBoots,
        /// For how long.
        time: Ms,
    },
    /// Machines are up within two seconds.
    FastBoots(Ms),
    /// Direct commands or their answers are held up for seconds.
    DelayedCommands {
        /// How many of a hundred.
        percent: u32,
        /// For how long.
        time: Ms,
    },
    /// Users cancel running jobs, all within a fifth of a second.
    CancelRunningJobs {
        /// How many.
        count: usize,
        /// For how long up to eight of their machines hang.
        hang_ms: Ms,
    },
    /// Jobs are cancelled at the moment at which their last task ends.
    CancelCompletingJobs {
        /// How many of a hundred.
        percent: u32,
        /// For how long.
        time: Ms,
    },
    /// Users repeat submissions, cancel what is done, and send jobs that can
    /// not run or are malformed.
    UnusualRequests(Ms),
    /// Users ask at all controllers within milliseconds after a job was
    /// accepted, ended or cancelled.
    StatusBursts(Ms),
}

impl FaultKind {
    /// The same at whichever controller it then is.
    pub fn at(self, who: ControllerSelector) -> Self {
        Self::At(who, Box::new(self))
    }

    /// How long it lasts, and what it has delayed.
    pub(crate) fn duration(&self, lease_ms: Ms) -> Ms {
        match self {
            Self::Crash { restart_after, .. }
            | Self::Upgrade { restart_after, .. }
            | Self::Downgrade { restart_after, .. } => *restart_after,
            Self::LowerLimits => 0,
            Self::Cut { time, .. }
            | Self::ZonePartition { time, .. }
            | Self::StoreRefusal { time, .. }
            | Self::SlowTimers { time, .. }
            | Self::StoreLockout { time, .. }
            | Self::PeerPartition { time, .. }
            | Self::CommandPartition { time, .. }
            | Self::LinkCut { time, .. }
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
                MachineFault::Die | MachineFault::EvictImages => 0,
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

    /// The same at the controller of an index, if it is a controller's fault.
    pub(crate) fn with_controller(mut self, n: usize) -> Self {
        match &mut self {
            Self::Crash { node, .. }
            | Self::Upgrade { node, .. }
            | Self::Downgrade { node, .. }
            | Self::Cut { node, .. }
            | Self::StoreRefusal { node, .. }
            | Self::SlowTimers { node, .. }
            | Self::StoreLockout { node, .. }
            | Self::PeerPartition { node, .. }
            | Self::CommandPartition { node, .. }
            | Self::LinkCut { node, .. }
            | Self::Pause { node, .. } => *node = n,
            _ => {}
        }
        self
    }
}

/// Something that goes wrong at some time.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When.
    pub at: Ms,
    /// What.
    pub kind: FaultKind,
}
