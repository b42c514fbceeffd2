//! Faults, and schedules of them drawn from a seed.

use crate::cloud::SlowBoots;
use crate::Ms;
use forkshift_wire::{JobId, MachineId};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::Rng;

/// All zones. Controllers are in them in turn.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// A controller, named by what it is at the moment it is looked for.
#[derive(Clone, Debug)]
pub enum Who {
    /// The one of that index.
    Index(usize),
    /// The holder of a job's share, as the state service has it.
    HolderOf(JobId),
    /// The leader, as the state service has it.
    Leader,
    /// The next one that is up and is not this one.
    Besides(Box<Who>),
}

/// Machines, named by what they are at the moment they are looked for.
#[derive(Clone, Debug)]
pub enum Which {
    /// Those with a task of a job that has not exited.
    OfJob(JobId),
    /// Those of the shares that a controller holds.
    OfHolder(Who),
    /// Those of a zone.
    OfZone(&'static str),
    /// These.
    Named(Vec<MachineId>),
    /// So many, drawn at random.
    Some(usize),
    /// All that are up.
    All,
}

/// What goes wrong with machines.
#[derive(Clone, Copy, Debug)]
pub enum MachineFault {
    /// It stops with all that is on it.
    Die,
    /// It stands still, and goes on.
    Hang(Ms),
    /// It loses the network; held back messages come later.
    Cut(Ms),
    /// Its reports arrive; answers and direct commands to it are lost.
    Deaf(Ms),
    /// It reaches no controller; direct commands reach it and are answered.
    Mute(Ms),
    /// What it sends and what is sent to it takes up to eight seconds.
    Slow(Ms),
    /// It fails what it starts.
    Sick(Ms),
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
        back: Ms,
    },
    /// A controller ends, and comes back as the new release.
    Upgrade {
        /// Which.
        node: usize,
        /// Until it is back.
        back: Ms,
    },
    /// A controller ends, and comes back as the old release.
    Downgrade {
        /// Which.
        node: usize,
        /// Until it is back.
        back: Ms,
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
    ZoneCut {
        /// Which.
        zone: &'static str,
        /// For how long.
        time: Ms,
        /// Messages are held back and delivered afterwards.
        hold: bool,
    },
    /// The state service refuses one controller.
    Refuse {
        /// Which.
        node: usize,
        /// For how long.
        time: Ms,
    },
    /// The state service is down.
    Outage(Ms),
    /// Some answers of the state service take long.
    SlowState(Ms),
    /// Some transactions have no answer and are carried out late, after newer
    /// ones of the same controller.
    LateWrites(Ms),
    /// The cloud is down.
    CloudTrouble(Ms),
    /// A controller's timers fire late.
    Slow {
        /// Which.
        node: usize,
        /// For how long.
        time: Ms,
    },
    /// A machine stops with all that is on it.
    Die,
    /// A machine stands still, and goes on.
    Hang(Ms),
    /// A machine loses the network; held back messages come later.
    MachineCut(Ms),
    /// What is sent to a machine does not reach it.
    Deaf(Ms),
    /// A machine fails what it starts.
    Sick(Ms),
    /// Spot machines are taken.
    Taken {
        /// One in so many stays.
        notice: Ms,
    },
    /// Copies of reports come late.
    LateCopies(Ms),
    /// Answers get lost now and then.
    LostAnswers(Ms),
    /// A fault of one controller, whichever it then is. As long as there is
    /// none, the fault waits.
    At(Who, Box<FaultKind>),
    /// A fault of machines, whichever they then are.
    Machines(Which, MachineFault),
    /// The state service refuses one controller, and leaves its open watches
    /// without an answer for as long.
    Shut {
        /// Which.
        node: usize,
        /// For how long.
        time: Ms,
    },
    /// A controller and others do not hear each other.
    PeerCut {
        /// Which.
        node: usize,
        /// The others; all if left out.
        with: Option<Vec<usize>>,
        /// For how long.
        time: Ms,
        /// Messages are held back and delivered afterwards.
        hold: bool,
    },
    /// A controller's direct commands do not reach workers, whose reports
    /// still reach it and are answered.
    DirectCut {
        /// Which.
        node: usize,
        /// For how long.
        time: Ms,
        /// Commands are held back and delivered afterwards.
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
    LostWrites {
        /// How many of a hundred.
        share: u32,
        /// Only those that put a key which begins like this.
        of: Option<&'static str>,
        /// They are carried out at once; else 2 to 12 s later.
        at_once: bool,
        /// For how long.
        time: Ms,
    },
    /// Copies of reports come late, from 2 s to four leases.
    LateReports {
        /// Of how many of a hundred.
        share: u32,
        /// They are kept until a new leader or holder has begun, and then
        /// reach every controller.
        for_next: bool,
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
    QuickBoots(Ms),
    /// Direct commands or their answers are held up for seconds.
    HeldCommands {
        /// How many of a hundred.
        share: u32,
        /// For how long.
        time: Ms,
    },
    /// Users cancel running jobs, all within a fifth of a second.
    CancelNow {
        /// How many.
        count: usize,
        /// For how long up to eight of their machines hang.
        hang: Ms,
    },
    /// Jobs are cancelled at the moment at which their last task ends.
    CancelAtEnd {
        /// How many of a hundred.
        share: u32,
        /// For how long.
        time: Ms,
    },
    /// Users repeat submissions, cancel what is done, and send jobs that can
    /// not run or are malformed.
    OddRequests(Ms),
    /// Users ask at all controllers within milliseconds after a job was
    /// accepted, ended or cancelled.
    CloseLooks(Ms),
}

impl FaultKind {
    /// The same at whichever controller it then is.
    pub fn at(self, who: Who) -> Self {
        Self::At(who, Box::new(self))
    }

    /// How long it lasts, and what it has delayed.
    pub(crate) fn lasts(&self, lease_ms: Ms) -> Ms {
        match self {
            Self::Crash { back, .. }
            | Self::Upgrade { back, .. }
            | Self::Downgrade { back, .. } => *back,
            Self::LowerLimits => 0,
            Self::Cut { time, .. }
            | Self::ZoneCut { time, .. }
            | Self::Refuse { time, .. }
            | Self::Slow { time, .. }
            | Self::Shut { time, .. }
            | Self::PeerCut { time, .. }
            | Self::DirectCut { time, .. }
            | Self::Pause { time, .. }
            | Self::SlowBoots { time, .. }
            | Self::CancelAtEnd { time, .. } => *time,
            Self::Outage(time)
            | Self::SlowState(time)
            | Self::CloudTrouble(time)
            | Self::Hang(time)
            | Self::MachineCut(time)
            | Self::Deaf(time)
            | Self::Sick(time)
            | Self::LostAnswers(time)
            | Self::QuickBoots(time)
            | Self::OddRequests(time)
            | Self::CloseLooks(time) => *time,
            Self::LateWrites(time)
            | Self::LostWrites { time, .. }
            | Self::HeldCommands { time, .. } => time + 12_000,
            Self::LateCopies(time) | Self::LateReports { time, .. } => time + 4 * lease_ms,
            Self::Die => 0,
            Self::Taken { notice } => *notice,
            Self::CancelNow { hang, .. } => *hang,
            Self::At(_, kind) => kind.lasts(lease_ms),
            Self::Machines(_, fault) => match fault {
                MachineFault::Die => 0,
                MachineFault::Slow(time) => time + 8_000,
                MachineFault::Hang(time)
                | MachineFault::Cut(time)
                | MachineFault::Deaf(time)
                | MachineFault::Mute(time)
                | MachineFault::Sick(time) => *time,
            },
        }
    }

    /// The same at the controller of an index, if it is a controller's fault.
    pub(crate) fn aimed(mut self, n: usize) -> Self {
        match &mut self {
            Self::Crash { node, .. }
            | Self::Upgrade { node, .. }
            | Self::Downgrade { node, .. }
            | Self::Cut { node, .. }
            | Self::Refuse { node, .. }
            | Self::Slow { node, .. }
            | Self::Shut { node, .. }
            | Self::PeerCut { node, .. }
            | Self::DirectCut { node, .. }
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

/// Kinds that a seed chooses from: seeds that once showed a failure chose from
/// fewer than there are now.
const KINDS_ONCE: u32 = 16;
const KINDS: u32 = 19;

/// A schedule of faults between two times, as seeds drew them once.
pub fn random_faults_once(rng: &mut StdRng, from: Ms, to: Ms, n: usize) -> Vec<Fault> {
    draw(rng, from, to, n, KINDS_ONCE)
}

/// A schedule of faults of all kinds between two times.
pub fn random_faults(rng: &mut StdRng, from: Ms, to: Ms, n: usize) -> Vec<Fault> {
    draw(rng, from, to, n, KINDS)
}

/// Pause between two turns of an upgrade.
const TURNS_APART: std::ops::Range<Ms> = 2_000..15_000;

/// An upgrade of all controllers, one or two at a time and in any order, and
/// lower limits some time after it, perhaps before the last one is back.
pub fn random_upgrade(rng: &mut StdRng, from: Ms, nodes: usize) -> Vec<Fault> {
    let mut order: Vec<usize> = (0..nodes).collect();
    order.shuffle(rng);
    let mut at = from;
    let mut faults = Vec::new();
    for node in order {
        let back = rng.random_range(500..6_000);
        let kind = FaultKind::Upgrade { node, back };
        faults.push(Fault { at, kind });
        if rng.random_range(0..4) > 0 {
            at += rng.random_range(TURNS_APART);
        }
    }
    at += 8_000 + rng.random_range(0..30_000);
    let kind = FaultKind::LowerLimits;
    faults.push(Fault { at, kind });
    faults
}

fn draw(rng: &mut StdRng, from: Ms, to: Ms, n: usize, kinds: u32) -> Vec<Fault> {
    let mut faults: Vec<Fault> = (0..n)
        .map(|_| Fault {
            at: rng.random_range(from..to),
            kind: random_kind(rng, kinds),
        })
        .collect();
    faults.sort_by_key(|f| f.at);
    faults
}

fn random_kind(rng: &mut StdRng, kinds: u32) -> FaultKind {
    let node = rng.random_range(0..3);
    let time = rng.random_range(2_000..25_000);
    match rng.random_range(0..kinds) {
        0 | 1 => FaultKind::Crash {
            node,
            count: rng.random_range(1..=3),
            back: *[50, 300, 3_000, 6_000]
                .get(rng.random_range(0..4))
                .unwrap_or(&50),
        },
        2 => FaultKind::Cut {
            node,
            state: true,
            workers: false,
            cloud: false,
            time,
            hold: rng.random(),
        },
        3 => FaultKind::Cut {
            node,
            state: false,
            workers: true,
            cloud: false,
            time,
            hold: rng.random(),
        },
        4 => FaultKind::Cut {
            node,
            state: true,
            workers: true,
            cloud: true,
            time,
            hold: rng.random(),
        },
        5 => FaultKind::Refuse { node, time },
        6 => FaultKind::Outage(time),
        7 => FaultKind::CloudTrouble(time),
        8 => FaultKind::Slow { node, time },
        9 => FaultKind::Die,
        10 => FaultKind::Hang(time),
        11 => FaultKind::MachineCut(time),
        12 => FaultKind::Deaf(time),
        13 => FaultKind::Sick(time),
        14 => FaultKind::Taken {
            notice: if rng.random() { 0 } else { 4_000 },
        },
        16 => FaultKind::ZoneCut {
            zone: ZONES[rng.random_range(0..3)],
            time,
            hold: rng.random(),
        },
        17 => FaultKind::SlowState(time),
        18 => FaultKind::LateWrites(time),
        15 if rng.random() => FaultKind::LostAnswers(time),
        _ => FaultKind::LateCopies(time),
    }
}

/// A schedule of pairs of troubles close together, of all kinds, also of
/// controllers and machines named by what they are. Their jobs are the first
/// `jobs` of a day's.
pub fn random_pairs(rng: &mut StdRng, from: Ms, to: Ms, pairs: usize, jobs: u32) -> Vec<Fault> {
    let mut faults = Vec::new();
    for _ in 0..pairs {
        let at = rng.random_range(from..to);
        if rng.random_range(0..3) == 0 {
            random_combination(rng, at, jobs, &mut faults);
            continue;
        }
        // Together, just after one another, or a little apart.
        let apart = match rng.random_range(0..3) {
            0 => rng.random_range(0..200),
            1 => rng.random_range(200..3_000),
            _ => rng.random_range(3_000..15_000),
        };
        for at in [at, at + apart] {
            let kind = random_trouble(rng, jobs);
            faults.push(Fault { at, kind });
        }
    }
    faults.sort_by_key(|f| f.at);
    faults
}

/// One of the combinations of faults that once broke a rule, or were feared to.
fn random_combination(rng: &mut StdRng, at: Ms, jobs: u32, faults: &mut Vec<Fault>) {
    let node = 0;
    let soon = at + rng.random_range(0..4_000);
    let later = soon + rng.random_range(0..4_000);
    let who = match rng.random() {
        true => Who::Leader,
        false => Who::HolderOf(random_job(rng, jobs)),
    };
    let time = rng.random_range(2_000..25_000);
    let long = rng.random_range(36_000..70_000);
    let cancels = FaultKind::CancelNow {
        count: rng.random_range(2..12),
        hang: if rng.random() { time } else { 0 },
    };
    let crash = |back| FaultKind::Crash {
        node,
        count: 1,
        back,
    };
    let all_crash = |back| FaultKind::Crash {
        node,
        count: 3,
        back,
    };
    let shut = FaultKind::Shut { node, time };
    let looks = FaultKind::CloseLooks(time + 15_000);
    let lost = FaultKind::LostWrites {
        share: 60,
        of: None,
        at_once: rng.random(),
        time: time + 10_000,
    };
    let cut = |time| FaultKind::Cut {
        node,
        state: true,
        workers: false,
        cloud: false,
        time,
        hold: false,
    };
    let machines = |fault| FaultKind::Machines(Which::OfHolder(who.clone()), fault);
    let hold = rng.random();
    let taken_over = at + rng.random_range(5_000..16_000);
    let after = taken_over + rng.random_range(0..2_500);
    let unheard = |which| FaultKind::DirectCut {
        node: which,
        time: long,
        hold,
    };
    let combination: Vec<(Ms, FaultKind)> = match rng.random_range(0..15) {
        // Refused alone, then an outage longer than a cancellation may take.
        0 | 1 => vec![
            (at, shut.at(who)),
            (soon, FaultKind::Outage(long)),
            (later, cancels),
        ],
        2 => vec![
            (at, cancels),
            (at, shut.at(who)),
            (soon, FaultKind::Outage(long)),
        ],
        // Cut off from the state service and its peers, not from workers.
        3 => vec![(at, cut(long).at(who)), (later, cancels)],
        4 => vec![
            (at, machines(MachineFault::Deaf(long))),
            (soon, crash(5_000).at(who)),
            (later, cancels),
        ],
        5 => vec![
            (
                at,
                FaultKind::LateReports {
                    share: 50,
                    for_next: true,
                    time: time + 5_000,
                },
            ),
            (soon, shut.at(who)),
            (later, cancels),
        ],
        6 => vec![
            (at, FaultKind::QuickBoots(time + 10_000)),
            (at, lost),
            (later, crash(5_000).at(who)),
        ],
        7 => vec![(at, looks), (soon, lost), (later, cancels)],
        8 => vec![(at, looks), (soon, crash(900).at(who)), (soon, cancels)],
        // All away for longer than a worker's lease.
        9 => vec![(at, cancels), (soon, all_crash(14_000))],
        10 => vec![
            (at, machines(MachineFault::Mute(time))),
            (soon, cancels),
            (later, FaultKind::Outage(long)),
        ],
        // Another has taken over and says that jobs are cancelled, and can not
        // reach the workers; then nothing can be written.
        11 => vec![
            (at, shut.at(who)),
            (at, unheard(0)),
            (at, unheard(1)),
            (at, unheard(2)),
            (taken_over, cancels),
            (after, FaultKind::Outage(long)),
        ],
        12 => vec![
            (at, shut.at(who)),
            (taken_over, cancels),
            (after, FaultKind::Outage(long)),
        ],
        // The old one is cut off from the state service and its peers.
        13 => vec![
            (at, cut(long).at(who.clone())),
            (
                at,
                FaultKind::PeerCut {
                    node,
                    with: None,
                    time: long,
                    hold,
                }
                .at(who),
            ),
            (taken_over, cancels),
            (after, looks),
        ],
        // Leaders change again and again.
        _ => (0..8)
            .map(|i| {
                let shut = FaultKind::Shut {
                    node,
                    time: rng.random_range(1_000..12_000),
                };
                (at + i * 9_000, shut.at(Who::Leader))
            })
            .chain([(later, cancels)])
            .collect(),
    };
    faults.extend(combination.into_iter().map(|(at, kind)| Fault { at, kind }));
}

fn random_job(rng: &mut StdRng, jobs: u32) -> JobId {
    JobId::new(&format!("j-{:06}", rng.random_range(0..jobs)))
}

fn random_who(rng: &mut StdRng, jobs: u32) -> Who {
    match rng.random_range(0..5) {
        0 | 1 => Who::Leader,
        2 => Who::HolderOf(random_job(rng, jobs)),
        3 => Who::Besides(Box::new(Who::Leader)),
        _ => Who::Index(rng.random_range(0..3)),
    }
}

fn random_machines(rng: &mut StdRng, jobs: u32) -> FaultKind {
    let time = rng.random_range(2_000..30_000);
    let which = match rng.random_range(0..4) {
        0 => Which::OfJob(random_job(rng, jobs)),
        1 => Which::OfHolder(random_who(rng, jobs)),
        2 => Which::OfZone(ZONES[rng.random_range(0..3)]),
        _ => Which::Some(rng.random_range(1..5)),
    };
    let fault = match rng.random_range(0..6) {
        0 => MachineFault::Hang(time),
        1 => MachineFault::Cut(time),
        2 => MachineFault::Deaf(time),
        3 => MachineFault::Mute(time),
        4 => MachineFault::Slow(time),
        _ => MachineFault::Die,
    };
    FaultKind::Machines(which, fault)
}

fn random_trouble(rng: &mut StdRng, jobs: u32) -> FaultKind {
    let node = 0;
    let time = rng.random_range(2_000..25_000);
    let share = rng.random_range(5..60);
    let hold = rng.random();
    match rng.random_range(0..24) {
        0 | 1 => random_kind(rng, KINDS),
        2 => FaultKind::Crash {
            node,
            count: rng.random_range(1..=3),
            back: *[50, 900, 5_000, 14_000]
                .get(rng.random_range(0..4))
                .unwrap_or(&50),
        }
        .at(random_who(rng, jobs)),
        3 | 4 => FaultKind::Shut { node, time }.at(random_who(rng, jobs)),
        // Also longer than a cancellation may take.
        5 | 6 => FaultKind::Outage(rng.random_range(2_000..62_000)),
        7 => FaultKind::Cut {
            node,
            state: true,
            workers: false,
            cloud: rng.random(),
            time: rng.random_range(2_000..50_000),
            hold,
        }
        .at(random_who(rng, jobs)),
        8 => FaultKind::PeerCut {
            node,
            with: rng.random::<bool>().then(|| vec![rng.random_range(0..3)]),
            time,
            hold,
        }
        .at(random_who(rng, jobs)),
        9 => FaultKind::DirectCut { node, time, hold }.at(random_who(rng, jobs)),
        10 => FaultKind::Pause { node, time }.at(random_who(rng, jobs)),
        11..=13 => random_machines(rng, jobs),
        14 | 15 => FaultKind::LostWrites {
            share,
            of: [None, Some("live/"), Some("c/"), Some("job/")][rng.random_range(0..4)],
            at_once: rng.random(),
            time,
        },
        16 => FaultKind::LateReports {
            share,
            for_next: rng.random(),
            time,
        },
        17 => FaultKind::QuickBoots(time),
        18 => FaultKind::HeldCommands { share, time },
        19 | 20 => FaultKind::CancelNow {
            count: rng.random_range(1..8),
            hang: if rng.random() { time } else { 0 },
        },
        21 => FaultKind::CancelAtEnd { share, time },
        22 => FaultKind::OddRequests(time),
        _ => FaultKind::CloseLooks(time),
    }
}
