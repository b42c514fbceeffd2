//! How large a world is, and the settings that its controllers get.

use crate::faults::ZONES;
use crate::Ms;
use rand::rngs::StdRng;
use rand::Rng;

/// How large a world is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Controllers.
    pub nodes: usize,
    /// Teams.
    pub teams: usize,
    /// Machines of each type, zone and kind.
    pub capacity: u32,
    /// Requests a second that the state service takes.
    pub rps: f64,
    /// Changes a second that it takes.
    pub write_rps: f64,
    /// Requests a second that the cloud takes.
    pub cloud_rps: f64,
    /// CPUs and GPUs that each team is guaranteed.
    pub guarantee: (f64, f64),
    /// CPUs and GPUs that each team may use.
    pub limit: (f64, f64),
    /// Between two reports of a worker.
    pub report_ms: Ms,
    /// Lease of a worker.
    pub lease_ms: Ms,
    /// For so long a gang waits for its tasks.
    pub gang_wait_ms: Ms,
    /// Time for a cancelled job's tasks to be gone.
    pub cancel_ms: Ms,
    /// Between a user's questions about a job that is not over.
    pub poll_ms: Ms,
    /// Limits of the state service that are announced for later.
    pub next_limits: Option<NextLimits>,
    /// All controllers begin as the old release.
    pub begins_old: bool,
    /// Workers tell their images, and fetch them before a task needs them.
    pub tells_images: bool,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            nodes: 3,
            teams: 4,
            capacity: 5,
            rps: 200.0,
            write_rps: 80.0,
            cloud_rps: 5.0,
            guarantee: (16.0, 8.0),
            limit: (96.0, 24.0),
            report_ms: 1_000,
            lease_ms: 10_000,
            gang_wait_ms: GANG_WAIT_MS,
            cancel_ms: 35_000,
            poll_ms: POLL_MS,
            next_limits: None,
            begins_old: false,
            tells_images: false,
        }
    }
}

impl Size {
    /// Teams whose limits are soon reached, and little time beyond a lease for
    /// a cancellation, or all as usual.
    pub fn random(rng: &mut StdRng) -> Self {
        let usual = Self::default();
        Self {
            limit: match rng.random() {
                true => (24.0, 12.0),
                false => usual.limit,
            },
            cancel_ms: match rng.random_range(0..3) {
                0 => 20_000,
                _ => usual.cancel_ms,
            },
            ..usual
        }
    }

    /// Five controllers, and room for some 1,860 machines, spot ones apart.
    pub fn five_by_1860() -> Self {
        Self {
            nodes: 5,
            teams: 5,
            capacity: 300,
            rps: 700.0,
            write_rps: 250.0,
            cloud_rps: 8.0,
            guarantee: (5_000.0, 1_000.0),
            limit: (20_000.0, 4_000.0),
            report_ms: 5_000,
            lease_ms: 24_000,
            cancel_ms: 35_000,
            ..Self::default()
        }
    }

    /// Five controllers, and room for some 4,200 machines, spot ones apart.
    pub fn five_by_4200() -> Self {
        Self {
            capacity: 700,
            rps: 1_600.0,
            write_rps: 570.0,
            cloud_rps: 18.0,
            guarantee: (12_000.0, 2_300.0),
            limit: (46_000.0, 9_200.0),
            ..Self::five_by_1860()
        }
    }

    /// Seven controllers, sixteen teams, and room for some 810 machines, spot
    /// ones apart.
    pub fn seven_by_810() -> Self {
        Self {
            nodes: 7,
            teams: 16,
            capacity: 130,
            rps: 300.0,
            write_rps: 100.0,
            cloud_rps: 4.0,
            guarantee: (500.0, 250.0),
            limit: (2_000.0, 900.0),
            report_ms: 2_000,
            lease_ms: 13_000,
            cancel_ms: 35_000,
            ..Self::default()
        }
    }
}

/// For so long a gang waits for its tasks, usually.
const GANG_WAIT_MS: Ms = 20_000;
/// Between a user's questions, usually: more often than users ask.
const POLL_MS: Ms = 1_500;

/// Limits of the state service that are announced.
#[derive(Clone, Copy, Debug)]
pub struct NextLimits {
    /// Changes a second.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: usize,
    /// Most changes in a transaction.
    pub txn_ops: usize,
}

/// Largest value, in KiB, and most changes in a transaction, at the beginning.
pub(super) const VALUE_KB: usize = 8;

pub(super) const TXN_OPS: usize = 12;

/// The settings of one of the controllers.
pub fn settings(node: usize, size: &Size) -> String {
    let Size {
        nodes,
        teams,
        rps,
        write_rps,
        cloud_rps,
        guarantee: (cpus, gpus),
        limit: (cpus_max, gpus_max),
        report_ms,
        lease_ms,
        cancel_ms,
        next_limits,
        ..
    } = size;
    let next = next_limits.map_or(String::new(), |next| {
        let (write_rps, value_kb, txn_ops) = (next.write_rps, next.value_kb, next.txn_ops);
        format!("[cluster.state.next]\nwrite_rps = {write_rps:?}\nvalue_kb = {value_kb}.0\ntxn_ops = {txn_ops}\n")
    });
    let seconds = |ms: &Ms| *ms as f64 / 1000.0;
    let (report_s, lease_s) = (seconds(report_ms), seconds(lease_ms));
    let cancel_s = seconds(cancel_ms);
    let peers: String = (0..*nodes)
        .filter(|n| *n != node)
        .map(|n| {
            format!("[[peers]]\nhost_name = \"berth-{n}\"\ndomain = \"{}\"\nendpoint = \"10.0.0.{}:8081\"\n", zone_of(n), n + 1)
        })
        .collect();
    let teams: String = (0..*teams)
        .map(|t| format!("[[cluster.teams]]\nname = \"team-{t}\"\ngpus = {gpus:?}\ngpus_max = {gpus_max:?}\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\n"))
        .collect();
    format!(
        "host_name = \"berth-{node}\"\ndomain = \"{1}\"\nbind = \"10.0.0.{0}:8080\"\ncluster_listen = \"10.0.0.{0}:8081\"\n\
         {peers}\n[external]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n\
         [cluster]\ninitial_size = {nodes}\nzones = [\"a\", \"b\", \"c\"]\ntime_bound_ms = 250.0\n{teams}\
         [[cluster.objectives]]\nkind = \"wait\"\nclass = \"serve\"\nwithin_s = 8.0\nshare = 0.9\n\
         [cluster.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\ngang_wait_s = 20.0\ngang_peer_s = 3.0\ncancel_s = {cancel_s:?}\n\
         [cluster.state]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\nvalue_kb = {VALUE_KB}.0\ntxn_ops = {TXN_OPS}\n{next}\
         [cluster.cloud]\nrps = {cloud_rps:?}\nlist_lag_s = 4.0\n\
         [cluster.limits]\ncpu = 0.12\nmem_mb = 40.0\nsockets = 600\n",
        node + 1,
        zone_of(node)
    )
}

/// The zone of a controller.
pub(super) fn zone_of(node: usize) -> &'static str {
    ZONES[node % ZONES.len()]
}
