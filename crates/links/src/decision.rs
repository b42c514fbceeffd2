//! Which links a decision needs.

use std::fmt;

/// A link of a controller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Link {
    /// To the state service; up while the controller's own lease is surely valid.
    StateService,
    /// Reports of workers, as they come in without another controller's help.
    Reports,
    /// Calls to workers.
    Calls,
    /// To the cloud.
    Cloud,
}

impl Link {
    /// All links.
    pub const ALL: [Self; 4] = [Self::StateService, Self::Reports, Self::Calls, Self::Cloud];

    /// The place of a link in [`Links`].
    fn index(self) -> usize {
        match self {
            Self::StateService => 0,
            Self::Reports => 1,
            Self::Calls => 2,
            Self::Cloud => 3,
        }
    }
}

impl fmt::Display for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::StateService => "the state service",
            Self::Reports => "reports of workers",
            Self::Calls => "calls to workers",
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
    GiveUpSilentMachines,
    /// To keep shards that another controller could hold.
    HoldShares,
    /// To lead although another controller could: the leader alone rents and returns
    /// machines.
    Lead,
}

impl Decision {
    /// All decisions.
    pub const ALL: [Self; 4] = [
        Self::StartTasks,
        Self::GiveUpSilentMachines,
        Self::HoldShares,
        Self::Lead,
    ];

    /// The links without which it may not be made.
    pub fn needs(self) -> &'static [Link] {
        match self {
            Self::StartTasks => &[Link::StateService],
            Self::GiveUpSilentMachines => &[Link::StateService, Link::Reports],
            Self::HoldShares => &[Link::Reports, Link::Calls],
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
        links.set(Link::StateService, false);
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
