//! The entitlement of a pending job to capacity: what is reserved for it, what may be
//! reclaimed for it, and whether it is best-effort work that runs on borrowed capacity.

/// What a round reserves for an aged job against the jobs that are placed after it. A job is
/// aged if it has been pending for a long time; the caller decides when. Without
/// reservations, small tasks of later jobs could use all capacity as it becomes free, and
/// a large task would starve.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum AgedJobReservation {
    /// Nothing, as for every job that is not aged.
    #[default]
    None,
    /// The resources that the job lacks: quota of its team if the limit is exceeded,
    /// otherwise a machine that could run one of its tasks.
    Capacity,
    /// Like [`Self::Capacity`]. In addition, quota for the job stays reserved while it lacks
    /// machines, because machines for it may be booting.
    CapacityAndQuota,
}

impl AgedJobReservation {
    /// Whether anything is reserved.
    pub fn reserves(self) -> bool {
        self != Self::None
    }
}

/// Which capacity may be reclaimed for a job from borrowers and warm pools. The job is
/// within its team's guarantee, or has a high priority.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Reclaim {
    /// None.
    #[default]
    Nothing,
    /// Resources of borrowed tasks on machines of the job's own shard.
    Tasks,
    /// Like [`Self::Tasks`], and also whole machines of other shards. This is allowed only
    /// after the job has been pending for some time.
    TasksAndMachines,
}

impl Reclaim {
    /// Whether any capacity may be reclaimed.
    pub fn reclaims(self) -> bool {
        self != Self::Nothing
    }

    /// Whether machines of other shards may be reclaimed.
    pub fn reclaims_machines(self) -> bool {
        self == Self::TasksAndMachines
    }
}

/// Whether a job is ordinary work or best-effort work, which runs on capacity that its team
/// borrows.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum CapacityClass {
    /// Any job that is not best-effort work.
    #[default]
    Ordinary,
    /// Best effort: low-priority work of a team without a guarantee. Machines may be
    /// provisioned for it.
    Borrower,
    /// Best effort on idle capacity only: nothing is preempted for the job, and no on-demand
    /// machine is provisioned for it.
    IdleOnlyBorrower,
}

impl CapacityClass {
    /// Whether the job is best-effort work.
    pub fn is_borrower(self) -> bool {
        self != Self::Ordinary
    }

    /// Whether the job uses idle capacity only.
    pub fn uses_idle_capacity_only(self) -> bool {
        self == Self::IdleOnlyBorrower
    }
}
