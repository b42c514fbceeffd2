//! Which links a decision needs.

use std::fmt;

/// A link of a controller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Link {
    /// To the state service; up while the controller's own lease is surely valid.
    Store,
    /// Reports of workers, as they come in without another controller's help.
    Heartbeats,
    /// Calls to workers.
    WorkerCalls,
    /// To the cloud.
    Cloud,
}

impl Link {
    /// All links.
    pub const ALL: [Self; 4] = [
        Self::Store,
        Self::Heartbeats,
        Self::WorkerCalls,
        Self::Cloud,
    ];

    /// The place of a link in [`Links`].
    fn index(self) -> usize {
        match self {
            Self::Store => 0,
            Self::Heartbeats => 1,
            Self::WorkerCalls => 2,
            Self::Cloud => 3,
        }
    }
}

impl fmt::Display for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Store => "the state service",
            Self::Heartbeats => "reports of workers",
            Self::WorkerCalls => "calls to workers",
            Self::Cloud => "the cloud",
        })
    }
}

/// What a controller may decide as long as its links are up.
///
/// Whether a worker is answered is not among them: an answer keeps alive what runs
/// already, and its bounds are not links but what other controllers may have confirmed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Decision {
    /// To start tasks: the start must be recorded under a lease that is valid.
    StartTasks,
    /// To give a machine up because it is silent: silence tells nothing of a machine
    /// where most are not heard.
    RemoveSilentMachines,
    /// To keep shards that another controller could hold.
    HoldShards,
    /// To lead although another controller could: the leader alone rents and returns
    /// machines.
    Lead,
}

impl Decision {
    /// All decisions.
    pub const ALL: [Self; 4] = [
        Self::StartTasks,
        Self::RemoveSilentMachines,
        Self::HoldShards,
        Self::Lead,
    ];

    /// The links without which it may not be made.
    pub fn needs(self) -> &'static [Link] {
        match self {
            Self::StartTasks => &[Link::Store],
            Self::RemoveSilentMachines => &[Link::Store, Link::Heartbeats],
            Self::HoldShards => &[Link::Heartbeats, Link::WorkerCalls],
            Self::Lead => &[Link::Cloud],
        }
    }
}

/// Which links are up, as far as is known.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Links {
    is_up: [bool; Link::ALL.len()],
}

impl Default for Links {
    /// A controller that starts has no valid lease, and knows of no cut.
    fn default() -> Self {
        let mut links = Self {
            is_up: [true; Link::ALL.len()],
        };
        links.set(Link::Store, false);
        links
    }
}

impl Links {
    /// Notes how a link is. Returns true if that is new.
    pub fn set(&mut self, link: Link, is_up: bool) -> bool {
        std::mem::replace(&mut self.is_up[link.index()], is_up) != is_up
    }

    /// Whether a link is up.
    pub fn is_up(&self, link: Link) -> bool {
        self.is_up[link.index()]
    }

    /// Whether a decision may be made.
    pub fn allow(&self, decision: Decision) -> bool {
        self.missing_for(decision).is_none()
    }

    /// The first link that a decision lacks.
    pub fn missing_for(&self, decision: Decision) -> Option<Link> {
        let mut needs = decision.needs().iter().copied();
        needs.find(|link| !self.is_up(*link))
    }
}
