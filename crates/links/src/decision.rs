//! The links that each decision of a controller requires.

use std::fmt;

/// A link of a controller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Link {
    /// To the key-value store; up while the controller's own lease is surely valid.
    Store,
    /// Heartbeats of workers that arrive directly, not relayed by another controller.
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

    /// The index of a link in [`LinkStates`].
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
            Self::Store => "the key-value store",
            Self::Heartbeats => "worker heartbeats",
            Self::WorkerCalls => "worker calls",
            Self::Cloud => "the cloud",
        })
    }
}

/// A decision that a controller may make only while certain links are up.
///
/// Answering a worker's heartbeat is not among them: it keeps running tasks alive, and is
/// bounded by what other controllers have confirmed rather than by links.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Decision {
    /// To start tasks: the start must be recorded under a valid lease.
    StartTasks,
    /// To decommission a machine for missed heartbeats: they are no evidence against it
    /// while most machines miss theirs.
    DecommissionUnresponsiveMachines,
    /// To keep holding shards that another controller could hold.
    HoldShards,
    /// To remain leader although another controller could lead: the leader alone scales
    /// the fleet out and in.
    RemainLeader,
}

impl Decision {
    /// All decisions.
    pub const ALL: [Self; 4] = [
        Self::StartTasks,
        Self::DecommissionUnresponsiveMachines,
        Self::HoldShards,
        Self::RemainLeader,
    ];

    /// The links that must be up for it.
    pub fn required_links(self) -> &'static [Link] {
        match self {
            Self::StartTasks => &[Link::Store],
            Self::DecommissionUnresponsiveMachines => &[Link::Store, Link::Heartbeats],
            Self::HoldShards => &[Link::Heartbeats, Link::WorkerCalls],
            Self::RemainLeader => &[Link::Cloud],
        }
    }
}

/// Known states of a controller's links.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LinkStates {
    is_up: [bool; Link::ALL.len()],
}

impl Default for LinkStates {
    /// A controller that starts has no valid lease, and no evidence of a partition.
    fn default() -> Self {
        let mut links = Self {
            is_up: [true; Link::ALL.len()],
        };
        links.set(Link::Store, false);
        links
    }
}

impl LinkStates {
    /// Sets the state of a link. Returns whether it has changed.
    pub fn set(&mut self, link: Link, is_up: bool) -> bool {
        std::mem::replace(&mut self.is_up[link.index()], is_up) != is_up
    }

    /// Whether a link is up.
    pub fn is_up(&self, link: Link) -> bool {
        self.is_up[link.index()]
    }

    /// Whether all links that a decision requires are up.
    pub fn allows(&self, decision: Decision) -> bool {
        self.missing_link(decision).is_none()
    }

    /// The first link that a decision requires and that is down.
    pub fn missing_link(&self, decision: Decision) -> Option<Link> {
        let mut required = decision.required_links().iter().copied();
        required.find(|link| !self.is_up(*link))
    }
}
