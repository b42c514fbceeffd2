//! Stand-ins for workers, cloud, state service and users, and a clock of
//! their own, to drive controllers in virtual time with faults injected.
//!
//! [`World`] plays them all; [`Checker`] watches what truly happens and knows
//! nothing of how the controllers work.

mod check;
mod cloud;
mod day;
mod draws;
mod faults;
mod fleet;
mod state;
mod worker;
mod world;

pub use check::{Calm, Checker, Rule, StartSeen};
pub use cloud::{Boot, SlowBoots};
pub use day::{Day, Draw};
pub use draws::{random_faults, random_faults_once, random_pairs, random_upgrade};
pub use faults::{Direction, Fault, FaultKind, MachineFault, Which, Who};
pub use fleet::{BootModel, Fleet, Kind};
pub use world::{
    job_id, settings, Answer, Asker, Deployment, JobCounts, MachineChange, Mistake, NextLimits,
    Outgoing, Plan, Service, Size, World,
};

/// Milliseconds of virtual time.
pub type Ms = u64;
