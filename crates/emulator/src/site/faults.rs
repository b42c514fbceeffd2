//! Faults that a run injects: crashes of controllers and machines (`kills`), and link cuts
//! (`cuts`).

use serde::Deserialize;

/// A crash of a controller or of workers. Exactly one of `controller`, `workers`, `zone`
/// and `holder` is set in a valid site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CrashSpec {
    /// Time of the crash, in seconds since the start of the run.
    pub at_s: f64,
    /// Index of the controller that crashes.
    pub controller: Option<usize>,
    /// Number of workers, drawn at random, that crash together with their machines.
    pub workers: Option<usize>,
    /// Name of the zone whose workers all crash together with their machines.
    pub zone: Option<String>,
    /// Whether the controller crashes that holds the shard of the first job of model servers.
    /// Without such a job nothing crashes.
    #[serde(default)]
    pub holder: bool,
}

/// The processes or machines that crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CrashTarget {
    /// The controller of this index.
    Controller(usize),
    /// The controller that holds the shard of the first job of model servers.
    ShardHolder,
    /// This many workers, drawn at random.
    Workers(usize),
    /// All workers of this zone.
    Zone(String),
}

impl CrashSpec {
    /// The target; `None` unless exactly one is set.
    pub(crate) fn target(&self) -> Option<CrashTarget> {
        match (self.controller, self.workers, &self.zone, self.holder) {
            (Some(index), None, None, false) => Some(CrashTarget::Controller(index)),
            (None, Some(count), None, false) => Some(CrashTarget::Workers(count)),
            (None, None, Some(zone), false) => Some(CrashTarget::Zone(zone.clone())),
            (None, None, None, true) => Some(CrashTarget::ShardHolder),
            _ => None,
        }
    }
}

/// A link of a controller that is cut for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LinkCutSpec {
    /// Start of the cut, in seconds since the start of the run.
    pub at_s: f64,
    /// Duration of the cut, in seconds.
    pub for_s: f64,
    /// Index of the controller; if left out, the one that holds the shard of the first job of
    /// model servers.
    pub controller: Option<usize>,
    /// The link that is cut.
    pub link: LinkKind,
    /// Of the links to workers, every n-th is cut; 1, the default, cuts all. Cuts of the links
    /// `state` and `cloud` ignore it.
    #[serde(default = "default_every")]
    pub every: usize,
}

fn default_every() -> usize {
    1
}

/// A kind of link that can be cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum LinkKind {
    /// From the controller to the key-value store.
    State,
    /// From the controller to the cloud.
    Cloud,
    /// From workers to the controller: heartbeats.
    Reports,
    /// From the controller to workers: commands.
    Calls,
    /// Between the controller and workers, in both directions.
    Workers,
}
