//! A waiting job's entitlement to capacity: what it may reserve, what it may reclaim
//! from borrowers, and whether it uses only idle capacity itself.

/// What is reserved for a job that has waited long, against the jobs behind it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum AgedJobReservation {
    /// Nothing.
    #[default]
    None,
    /// What the job lacks: its team's quota or, if the quota suffices, a machine that
    /// could run one of its tasks.
    Capacity,
    /// As [`Self::Capacity`], and the quota stays reserved also while no machine has room,
    /// because machines for the job may be booting.
    CapacityAndQuota,
}

impl AgedJobReservation {
    /// Whether anything is reserved.
    pub fn reserves(self) -> bool {
        self != Self::None
    }
}

/// What borrowed capacity may be reclaimed for a job that is within its team's
/// guarantee, or urgent.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Reclaim {
    /// Nothing.
    #[default]
    Nothing,
    /// The capacity of borrowing tasks on machines of the job's own shard.
    Tasks,
    /// As [`Self::Tasks`], and, since the job has waited, whole machines of other shards.
    TasksAndMachines,
}

impl Reclaim {
    /// Whether anything may be reclaimed.
    pub fn reclaims(self) -> bool {
        self != Self::Nothing
    }

    /// Whether machines of other shards may be reclaimed.
    pub fn reclaims_machines(self) -> bool {
        self == Self::TasksAndMachines
    }
}

/// Whether a job has an ordinary entitlement to capacity or runs on idle capacity.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum CapacityClass {
    /// Ordinary work of any team.
    #[default]
    Ordinary,
    /// Best effort: low-priority work of a team without a guarantee.
    Borrower,
    /// Best effort on idle capacity alone: nothing is preempted for it and no on-demand
    /// machine is provisioned for it.
    IdleOnlyBorrower,
}

impl CapacityClass {
    /// Whether the job is best-effort work.
    pub fn is_borrower(self) -> bool {
        self != Self::Ordinary
    }

    /// Whether the job uses idle capacity alone.
    pub fn uses_idle_capacity_only(self) -> bool {
        self == Self::IdleOnlyBorrower
    }
}
