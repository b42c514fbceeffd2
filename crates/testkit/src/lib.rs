//! Deterministic simulation of a deployment: real controllers run in virtual time against
//! simulated services while faults are injected.
//!
//! [`Simulation`] models the workers, the cloud, the key-value store, the network and the users.
//! [`Checker`] compares the events on the simulated machines and the responses to users with the
//! rules of the protocol. It has no access to the state of the controllers, so an error in a
//! controller cannot hide from it.

mod checker;
mod cloud;
mod day;
mod fault_schedule;
mod faults;
mod fleet;
mod simulation;
mod store;
mod worker;

pub use checker::{Checker, FirstStart, Quiescence, Rule};
pub use cloud::{Boot, ProvisionedMachines, SlowBoots};
pub use day::{Day, FaultSchedule};
pub use fault_schedule::{
    random_early_faults, random_faults, random_pairs, random_repeats, random_upgrade,
};
pub use faults::{
    ControllerSelector, Fault, FaultKind, LinkDirection, MachineFault, MachineSelector,
    RepeatedReceiver,
};
pub use fleet::{BootModel, CapacityKey, Fleet};
pub use simulation::{
    job_id, settings, CallResponse, ControllerRequest, DeploymentConfig, JobCounts, JobDefect,
    JobPlan, MachineChange, NextLimits, Requester, Service, ServicesConfig, Simulation,
};

/// Milliseconds of virtual time since the start of the simulation, or a duration in milliseconds.
pub type Ms = u64;
