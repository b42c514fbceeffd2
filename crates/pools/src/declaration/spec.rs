//! Declarations of pools as operators write them, before validation.

/// The declaration of a pool, before validation.
#[derive(Clone, Debug, Default)]
pub struct PoolSpec {
    /// Name of the pool: 1 to 40 lower-case letters, digits and hyphens.
    pub name: String,
    /// Team that is charged for the machines, and for whose tasks they are kept ready.
    pub team: String,
    /// Image that the machines of the pool have in their caches.
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Machine types that the pool may use; empty allows any.
    pub types: Vec<String>,
    /// Zones that the pool may use; empty allows any.
    pub zones: Vec<String>,
    /// Whether the pool uses only spot machines; otherwise it uses only on-demand machines.
    pub spot: bool,
    /// Minimum number of machines.
    pub min_machines: u32,
    /// Maximum number of machines; must be above 0.
    pub max_machines: u32,
    /// Maximum cost per hour of all machines of the pool together; `None` is no limit.
    pub max_cost_per_hour: Option<f64>,
    /// IANA name of the time zone of the windows. It may be empty if there are no windows.
    pub time_zone: String,
    /// Times at which the pool has machines. Without windows, it always has machines.
    pub windows: Vec<WindowSpec>,
}

/// The declaration of a recurring time window, before validation.
#[derive(Clone, Debug, Default)]
pub struct WindowSpec {
    /// Days of the week on which the window begins, such as `mon`; empty allows any day.
    pub weekdays: Vec<String>,
    /// Time at which the window begins, such as `08:30`; empty is 00:00.
    pub from: String,
    /// Time at which the window ends, such as `17:00`; empty is 24:00. A window whose end is
    /// before its beginning ends on the next day.
    pub to: String,
    /// First date on which the window begins, such as `2026-12-31`; empty is no bound.
    pub first_date: String,
    /// Last date on which the window begins; empty is no bound.
    pub last_date: String,
    /// If given, the window begins only on this number of days at the end of each month,
    /// from 1 to 28.
    pub last_days_of_month: Option<u32>,
    /// Minimum number of machines in the window; `None` is the pool's minimum.
    pub min_machines: Option<u32>,
    /// Maximum number of machines in the window; `None` is the pool's maximum.
    pub max_machines: Option<u32>,
}
