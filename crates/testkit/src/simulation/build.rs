//! Construction of simulations.

use super::adversarial_requests::{AdversarialRequests, UserRequestFaults};
use super::config::{INITIAL_MAX_TRANSACTION_WRITES, INITIAL_MAX_VALUE_KB};
use super::controllers::Controller;
use super::digest::ControllerTraffic;
use super::events::EventQueue;
use super::fault_injection::FaultTimeline;
use super::network_faults::NetworkFaults;
use super::remote::RemoteQueues;
use super::users::User;
use super::workers::WorkerFleet;
use super::{DeploymentConfig, JobPlan, Simulation};
use crate::checker::Checker;
use crate::cloud::CloudModel;
use crate::faults::Fault;
use crate::fleet::Fleet;
use crate::store::{SizeLimits, StoreBehavior, StoreModel};
use forkshift_pools::PoolSpec;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BTreeMap;

/// Maximum page size of the store's listings if controllers run as separate processes.
const MAX_LIST_ITEMS: usize = 1_000;

/// Configuration of the simulated services, for controllers of either kind.
struct ExternalServices {
    fleet: Fleet,
    /// CPU and GPU limits of each team; 0: no limit.
    team_limits: BTreeMap<String, (f64, f64)>,
    size_limits: SizeLimits,
    behavior: StoreBehavior,
}

/// Configuration of the services in a simulation whose controllers run as separate processes, in
/// addition to [`DeploymentConfig`]. Simulated controllers use built-in defaults for these.
#[derive(Clone, Debug)]
pub struct ServicesConfig {
    /// Machine types, capacities and boot times of the cloud.
    pub fleet: Fleet,
    /// CPU and GPU limits of each team; 0: no limit.
    pub team_limits: BTreeMap<String, (f64, f64)>,
    /// Maximum size of a value in the store, in bytes.
    pub max_value_bytes: usize,
    /// Maximum number of writes in a transaction of the store.
    pub max_transaction_writes: usize,
}

impl Simulation {
    /// A simulation with the default configuration: three controllers, which start at time 0.
    pub fn new(seed: u64, plans: Vec<JobPlan>, faults: Vec<Fault>) -> Self {
        Self::with_config(seed, plans, faults, DeploymentConfig::default())
    }

    /// A simulation with the given configuration.
    pub fn with_config(
        seed: u64,
        plans: Vec<JobPlan>,
        faults: Vec<Fault>,
        config: DeploymentConfig,
    ) -> Self {
        Self::with_pools(seed, plans, faults, config, Vec::new())
    }

    /// A simulation whose controllers declare warm pools: the controller with index `i` declares
    /// `pools[i]`. Controllers without an entry declare none.
    pub fn with_pools(
        seed: u64,
        plans: Vec<JobPlan>,
        faults: Vec<Fault>,
        config: DeploymentConfig,
        pools: Vec<Vec<PoolSpec>>,
    ) -> Self {
        let team_limits = (0..config.teams).map(|team| (format!("team-{team}"), config.limit));
        let services = ExternalServices {
            fleet: Fleet::default(),
            team_limits: team_limits.collect(),
            size_limits: SizeLimits {
                value_bytes: INITIAL_MAX_VALUE_KB * 1024,
                txn_ops: INITIAL_MAX_TRANSACTION_WRITES,
            },
            behavior: StoreBehavior::default(),
        };
        let mut simulation = Self::without_controllers(seed, plans, faults, config, services);
        for (controller, pools) in simulation.controllers.iter_mut().zip(pools) {
            controller.pools = pools;
        }
        for index in 0..config.controllers {
            simulation.start_controller(index);
        }
        simulation
    }

    /// A simulation whose controllers run as separate processes, driven with
    /// [`Simulation::advance_to`]. The store refuses requests beyond its rate limits.
    pub fn remote(
        seed: u64,
        plans: Vec<JobPlan>,
        faults: Vec<Fault>,
        config: DeploymentConfig,
        deployment: ServicesConfig,
    ) -> Self {
        let services = ExternalServices {
            fleet: deployment.fleet,
            team_limits: deployment.team_limits,
            size_limits: SizeLimits {
                value_bytes: deployment.max_value_bytes,
                txn_ops: deployment.max_transaction_writes,
            },
            behavior: StoreBehavior {
                max_page_items: MAX_LIST_ITEMS,
                enforces_limits: true,
            },
        };
        let mut simulation = Self::without_controllers(seed, plans, faults, config, services);
        simulation.remote = Some(RemoteQueues::default());
        simulation.checker.observe();
        simulation
    }

    fn without_controllers(
        seed: u64,
        plans: Vec<JobPlan>,
        faults: Vec<Fault>,
        config: DeploymentConfig,
        services: ExternalServices,
    ) -> Self {
        let store = StoreModel::new(
            config.store_rps,
            config.store_write_rps,
            services.size_limits,
            services.behavior,
        );
        Self {
            now: 0,
            previous_step_at: 0,
            rng: StdRng::seed_from_u64(seed),
            events: EventQueue::default(),
            controllers: (0..config.controllers)
                .map(|_| Controller::new(config.starts_with_old_release))
                .collect(),
            controller_starts: 0,
            store,
            cloud: CloudModel::new(config.capacity, services.fleet),
            config,
            workers: WorkerFleet::default(),
            ground_truths: BTreeMap::new(),
            users: plans.into_iter().map(User::new).collect(),
            faults: FaultTimeline::new(faults),
            network_faults: NetworkFaults::default(),
            user_request_faults: UserRequestFaults::default(),
            adversarial_requests: AdversarialRequests::default(),
            traffic: ControllerTraffic::default(),
            remote: None,
            checker: Checker::new(services.team_limits, config.cancel_ms),
        }
    }
}
