//! What a job that waits may keep from others, or take from them.

/// What a job that has waited long keeps from those behind it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Reservation {
    /// Nothing.
    #[default]
    None,
    /// What it waits for: its team's quota, or a machine that could hold it.
    Room,
    /// As [`Self::Room`], and its team's quota is kept for it also while no machine
    /// has room: those that it needs may be on their way.
    RoomAndQuota,
}

impl Reservation {
    /// Whether it keeps anything.
    pub fn reserves(self) -> bool {
        self != Self::None
    }
}

/// What of the resources that others borrow is given back to a job, as it lies
/// within its team's guarantee, or is urgent.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Reclaim {
    /// Nothing.
    #[default]
    Nothing,
    /// What borrowed tasks use on machines of its own shard.
    Tasks,
    /// It has waited, so whole machines of other shards, too.
    TasksAndMachines,
}

impl Reclaim {
    /// Whether anything is.
    pub fn reclaims(self) -> bool {
        self != Self::Nothing
    }

    /// Whether machines of other shards are.
    pub fn reclaims_machines(self) -> bool {
        self == Self::TasksAndMachines
    }
}

/// Whether a job runs on what others leave unused.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Standing {
    /// It is any team's ordinary work.
    #[default]
    Ordinary,
    /// Low-priority work of a team without a guarantee.
    Guest,
    /// As [`Self::Guest`], and content with what is there: nothing is taken from
    /// others for it, and no ordinary machine is rented.
    PatientGuest,
}

impl Standing {
    /// Whether it is a guest's work.
    pub fn is_guest(self) -> bool {
        self != Self::Ordinary
    }

    /// Whether it uses only what is there.
    pub fn borrows(self) -> bool {
        self == Self::PatientGuest
    }
}
