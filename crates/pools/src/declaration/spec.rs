//! Declarations as operators write them, not checked yet.

/// The declaration of a pool.
#[derive(Clone, Debug, Default)]
pub struct PoolSpec {
    /// Name of the pool.
    pub name: String,
    /// Team that is charged.
    pub team: String,
    /// Image that its machines hold.
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Machine types that it may use; empty allows any.
    pub types: Vec<String>,
    /// Zones that it may use; empty allows any.
    pub zones: Vec<String>,
    /// Whether it uses spot machines, and no others.
    pub spot: bool,
    /// Least number of machines that it keeps.
    pub min_machines: u32,
    /// Most machines that it keeps.
    pub max_machines: u32,
    /// Most that all its machines may cost per hour.
    pub max_cost_per_hour: Option<f64>,
    /// IANA name of the time zone of its windows.
    pub time_zone: String,
    /// Times at which it keeps machines; empty for always.
    pub windows: Vec<WindowSpec>,
}

/// The declaration of a recurring time window.
#[derive(Clone, Debug, Default)]
pub struct WindowSpec {
    /// Days of the week on which it begins, as in `mon`; empty for any.
    pub weekdays: Vec<String>,
    /// Time at which it begins, as in `08:30`; empty for midnight.
    pub from: String,
    /// Time at which it ends, as in `17:00` or `24:00`; empty for midnight.
    pub to: String,
    /// First date on which it begins, as in `2026-12-31`; empty for no bound.
    pub first_date: String,
    /// Last date on which it begins; empty for no bound.
    pub last_date: String,
    /// Number of last days of a month on which alone it begins.
    pub last_days_of_month: Option<u32>,
    /// Least number of machines, in place of the pool's.
    pub min_machines: Option<u32>,
    /// Most machines, in place of the pool's.
    pub max_machines: Option<u32>,
}
