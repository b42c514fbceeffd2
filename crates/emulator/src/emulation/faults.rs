//! Injects the faults of the site file (`kills` and `cuts`) when they are due.

use super::Run;
use crate::load::milliseconds;
use crate::settings::controller_name;
use crate::site::{CrashSpec, CrashTarget, LinkCutSpec, LinkKind};
use forkshift_testkit::{FaultKind, LinkDirection, MachineFault, MachineSelector, Simulation};
use std::collections::VecDeque;

impl Run<'_> {
    /// Injects the crashes that are due.
    pub(super) fn inject_crashes(&mut self, now_s: f64) {
        while let Some(crash) = pop_if_due(&mut self.crashes, |crash| crash.at_s <= now_s) {
            self.inject_crash(now_s, &crash);
        }
    }

    fn inject_crash(&mut self, now_s: f64, crash: &CrashSpec) {
        match crash.target() {
            Some(CrashTarget::Controller(index)) => self.crash_controller(now_s, index),
            Some(CrashTarget::ShardHolder) => {
                if let Some(index) = self.bridge.model_server_shard_holder() {
                    self.crash_controller(now_s, index);
                }
            }
            Some(CrashTarget::Workers(count)) => {
                let description = format!("{count} workers");
                self.crash_workers(now_s, MachineSelector::Random(count), &description);
            }
            Some(CrashTarget::Zone(zone)) => {
                let machines = self
                    .bridge
                    .with_world(|world| world.machines_in_zone(&zone));
                let description = format!("all {} workers of zone {zone}", machines.len());
                self.crash_workers(now_s, MachineSelector::Named(machines), &description);
            }
            // Validation of the site rejects a crash without exactly one target.
            None => {}
        }
    }

    fn crash_controller(&mut self, now_s: f64, index: usize) {
        self.controllers.kill(index);
        self.schedule_restart(now_s, index);
        let name = controller_name(index);
        self.print_event(now_s, &format!("{name}: killed"));
    }

    /// Crashes workers together with their machines.
    fn crash_workers(&self, now_s: f64, which: MachineSelector, description: &str) {
        let fault = FaultKind::Machines(which, MachineFault::Crash);
        self.bridge.with_world(|world| world.inject_fault(fault));
        self.print_event(now_s, &format!("{description}: killed"));
    }

    /// Injects the link cuts that are due.
    pub(super) fn inject_link_cuts(&mut self, now_s: f64) {
        while let Some(cut) = pop_if_due(&mut self.link_cuts, |cut| cut.at_s <= now_s) {
            let index = cut
                .controller
                .or_else(|| self.bridge.model_server_shard_holder());
            if let Some(index) = index {
                self.cut_link(now_s, &cut, index);
            }
        }
    }

    fn cut_link(&self, now_s: f64, cut: &LinkCutSpec, index: usize) {
        self.bridge.with_world(|world| {
            let fault = link_fault(cut, index, world);
            world.inject_fault(fault);
        });
        let (name, link, for_s) = (controller_name(index), cut.link, cut.for_s);
        self.print_event(now_s, &format!("{name}: link {link:?} cut for {for_s} s"));
    }
}

/// Removes and returns the first fault of a queue if it is due.
fn pop_if_due<T>(queue: &mut VecDeque<T>, is_due: impl Fn(&T) -> bool) -> Option<T> {
    queue.front().filter(|fault| is_due(fault))?;
    queue.pop_front()
}

/// Converts a cut of the site file to a fault of the simulated world. A cut of links to
/// workers affects every `every`-th machine that is present at the time.
fn link_fault(cut: &LinkCutSpec, node: usize, world: &Simulation) -> FaultKind {
    let time = milliseconds(cut.for_s);
    let direction = match cut.link {
        LinkKind::State | LinkKind::Cloud => {
            return FaultKind::ServicePartition {
                node,
                store: cut.link == LinkKind::State,
                workers: false,
                cloud: cut.link == LinkKind::Cloud,
                time,
                holds_messages: false,
            }
        }
        LinkKind::Reports => LinkDirection::Heartbeats,
        LinkKind::Calls => LinkDirection::Commands,
        LinkKind::Workers => LinkDirection::Both,
    };
    let machines = world.select_machines(&MachineSelector::All).into_iter();
    let machines = MachineSelector::Named(machines.step_by(cut.every.max(1)).collect());
    FaultKind::LinkPartition {
        node,
        machines,
        direction,
        time,
        holds_messages: false,
    }
}
