//! Construction of simulations.

use super::adversarial_requests::{AdversarialRequests, UserRequestFaults};
use super::config::{INITIAL_MAX_TRANSACTION_WRITES, INITIAL_MAX_VALUE_KB};
use super::controllers::Controller;
use super::digest::Traffic;
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

/// Largest page of the store's listings where controllers run as processes.
const MAX_LIST_ITEMS: usize = 1_000;

/// The external services of a simulation.
struct ExternalServices {
    fleet: Fleet,
    /// Limits on the CPUs and GPUs of each team.
    team_limits: BTreeMap<String, (f64, f64)>,
    size_limits: SizeLimits,
    behavior: StoreBehavior,
}

/// What a simulation whose controllers run as processes consists of, beside its size.
#[derive(Clone, Debug)]
pub struct ServicesConfig {
    /// Machine types on offer and how they boot.
    pub fleet: Fleet,
    /// Limits on the CPUs and GPUs of each team; 0: no limit.
    pub team_limits: BTreeMap<String, (f64, f64)>,
    /// Largest value that the store accepts, in bytes.
    pub max_value_bytes: usize,
    /// Most writes in one of the store's transactions.
    pub max_transaction_writes: usize,
}

impl Simulation {
    /// A simulation with three controllers that are about to start.
    pub fn new(seed: u64, plans: Vec<JobPlan>, faults: Vec<Fault>) -> Self {
        Self::with_config(seed, plans, faults, DeploymentConfig::default())
    }

    /// A simulation of any size.
    pub fn with_config(
        seed: u64,
        plans: Vec<JobPlan>,
        faults: Vec<Fault>,
        config: DeploymentConfig,
    ) -> Self {
        Self::with_pools(seed, plans, faults, config, Vec::new())
    }

    /// A simulation whose controllers declare warm pools, each its own.
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

    /// A simulation whose controllers are processes of their own; see
    /// [`Simulation::advance_to`]. The store refuses requests beyond its limits.
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
            traffic: Traffic::default(),
            remote: None,
            checker: Checker::new(services.team_limits, config.cancel_ms),
        }
    }
}
