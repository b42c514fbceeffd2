//! Deterministic simulation of a deployment, to drive controllers in virtual time with
//! faults injected.
//!
//! [`Simulation`] models workers, cloud, store, network and users; [`Checker`] checks what truly
//! happens against the rules of the protocol and knows nothing of how the controllers work.

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
pub use fault_schedule::{random_early_faults, random_faults, random_pairs, random_upgrade};
pub use faults::{
    ControllerSelector, Fault, FaultKind, LinkDirection, MachineFault, MachineSelector,
};
pub use fleet::{BootModel, CapacityKey, Fleet};
pub use simulation::{
    job_id, settings, CallResponse, ControllerRequest, DeploymentConfig, JobCounts, JobDefect,
    JobPlan, MachineChange, NextLimits, Requester, Service, ServicesConfig, Simulation,
};

/// Milliseconds of virtual time.
pub type Ms = u64;
