//! The links that each decision of a controller requires.

use std::fmt;

/// A link of a controller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Link {
    /// The link to the key-value store. It is up while the controller's own lease is
    /// certainly valid.
    Store,
    /// Heartbeats from workers to this controller, without those that another controller
    /// relays.
    Heartbeats,
    /// Calls from this controller to workers.
    WorkerCalls,
    /// The link to the API of the cloud.
    Cloud,
}

impl Link {
    /// All links, in the order of their indices in [`LinkStates`].
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
/// The response to a worker's heartbeat is not such a decision. It renews the lease that
/// keeps tasks running, and is limited by the confirmations of other controllers instead.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Decision {
    /// To start tasks. A start must be recorded in the store under a valid lease.
    StartTasks,
    /// To decommission machines whose heartbeats are missing. If the heartbeats of most
    /// machines are missing, the cause is probably the controller's link.
    DecommissionUnresponsiveMachines,
    /// To keep holding shards that another controller could hold.
    HoldShards,
    /// To remain the leader although another controller could lead. Only the leader scales
    /// the fleet out and in, for which it calls the cloud.
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

    /// The links that must be up for the decision.
    pub fn required_links(self) -> &'static [Link] {
        match self {
            Self::StartTasks => &[Link::Store],
            Self::DecommissionUnresponsiveMachines => &[Link::Store, Link::Heartbeats],
            Self::HoldShards => &[Link::Heartbeats, Link::WorkerCalls],
            Self::RemainLeader => &[Link::Cloud],
        }
    }
}

/// The state of each link of a controller, as far as the controller can observe it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LinkStates {
    is_up: [bool; Link::ALL.len()],
}

impl Default for LinkStates {
    /// The state at startup: the link to the store is down, because the controller has no
    /// lease yet; all other links are up, because there is no evidence of a partition.
    fn default() -> Self {
        let mut links = Self {
            is_up: [true; Link::ALL.len()],
        };
        links.set(Link::Store, false);
        links
    }
}

impl LinkStates {
    /// Sets the state of a link. Returns whether the state has changed.
    pub fn set(&mut self, link: Link, is_up: bool) -> bool {
        std::mem::replace(&mut self.is_up[link.index()], is_up) != is_up
    }

    /// Whether a link is up, as last set.
    pub fn is_up(&self, link: Link) -> bool {
        self.is_up[link.index()]
    }

    /// Whether all links that a decision requires are up.
    pub fn allows(&self, decision: Decision) -> bool {
        self.missing_link(decision).is_none()
    }

    /// The first link that the decision requires and that is down; `None` if the decision is
    /// allowed.
    pub fn missing_link(&self, decision: Decision) -> Option<Link> {
        let mut required = decision.required_links().iter().copied();
        required.find(|link| !self.is_up(*link))
    }
}
