//! Emptying machines that are hardly used, so that they can be returned.
//!
//! Replicas run until their users cancel them, so a machine that holds a few
//! of them is never idle by itself. A replica is moved when it finds a place
//! at once where its image is; whatever completes by itself is waited for.

use crate::ctx::Ctx;
use crate::job::Stop;
use crate::rounds::want_of;
use crate::share::Share;
use crate::Ms;
use forkshift_sched::{run_round, Host, Quota, Resources, Want};
use forkshift_wire::users::JobKind;
use forkshift_wire::workers::TaskStage;
use forkshift_wire::{MachineId, TaskRef};

/// A machine that is used less than this is worth emptying.
const USED_MOST: f64 = 0.75;
/// A replica is moved only to where its image is, or is fetched within this
/// many reports.
const FETCH_REPORTS: f64 = 1.0;
/// Machines that are emptied at a time.
const DRAINING_MOST: usize = 3;
/// Rounds between two moves: each takes a replica down for about a second.
const MOVE_ROUNDS: f64 = 2.0;
/// Pause between two machines, in boots.
const PAUSE_BOOTS: f64 = 0.1;

impl Share {
    /// Empties the machine that wastes most, if its tasks fit elsewhere.
    /// `hosts` shows what is left of the usable machines once everything
    /// that waits, and the spare places, are booked.
    pub(crate) fn drain(&mut self, ctx: &mut Ctx, usable: &[MachineId], hosts: &mut [Host]) {
        let draining: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.draining && m.condemned.is_none())
            .map(|m| m.id.clone())
            .collect();
        if draining.len() < DRAINING_MOST {
            self.choose_drain(ctx, usable, hosts);
        }
        let pause = crate::ms(ctx.cfg.ops.round_s * MOVE_ROUNDS);
        if ctx.now < self.moved_at + pause {
            return;
        }
        for id in draining {
            if self.move_one(ctx, &id, hosts) {
                self.moved_at = ctx.now;
                return;
            }
        }
    }

    pub(crate) fn stop_draining(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            log::info!("machine {id}: needed again");
            machine.draining = false;
            machine.idle_since = None;
        }
    }

    fn choose_drain(&mut self, ctx: &mut Ctx, usable: &[MachineId], hosts: &mut [Host]) {
        let boot_ms = self.machines.values().map(|m| m.boot_ms).max().unwrap_or(0);
        let pause = (boot_ms as f64 * PAUSE_BOOTS) as Ms;
        if ctx.now < self.drained_at + pause || ctx.now < self.active_since + boot_ms {
            return;
        }
        let mut candidates: Vec<(f64, usize)> = usable
            .iter()
            .enumerate()
            .filter_map(|(i, id)| {
                let m = self.machines.get(id)?;
                let used = m.used.largest_share(&m.total);
                let worth_it = !m.tasks.is_empty() && used <= USED_MOST;
                let old = ctx.now > m.since + boot_ms * 2;
                (worth_it && old).then_some((m.price * (1.0 - used), i))
            })
            .collect();
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, i) in candidates {
            let tasks: Vec<TaskRef> = self.machines[&usable[i]].tasks.iter().cloned().collect();
            let mut rest = hosts.to_vec();
            rest[i].free = Resources::default();
            let fits = tasks.iter().all(|t| self.fits_elsewhere(ctx, t, &mut rest));
            if fits {
                log::info!(
                    "machine {}: to be emptied, {} tasks",
                    usable[i],
                    tasks.len()
                );
                self.drained_at = ctx.now;
                if let Some(m) = self.machines.get_mut(&usable[i]) {
                    m.draining = true;
                }
                return;
            }
        }
    }

    /// Books a place for one task of another machine.
    fn fits_elsewhere(&self, ctx: &mut Ctx, task: &TaskRef, hosts: &mut [Host]) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(binding) = job.bound.get(&task.index) else {
            return false;
        };
        let zones = self.zones();
        let mut want: Want = want_of(ctx, job, 0, &zones);
        if let Some(n) = zones
            .get(&binding.machine)
            .and_then(|z| want.zones.get_mut(z))
        {
            *n -= 1;
        }
        want.gang = false;
        want.waiting = vec![task.index];
        if job.spec.kind == JobKind::Service {
            let most = ctx.cfg.report_ms as f64 / 1000.0 * FETCH_REPORTS;
            let slow =
                |h: &Host| !h.images.contains(&want.image) && want.image_gb > most * h.fetch_rate;
            let slow: Vec<usize> = (0..hosts.len()).filter(|i| slow(&hosts[*i])).collect();
            want.avoid.extend(slow);
        }
        let mut quota = [Quota::default()];
        let weights = ctx.cfg.ops.weights;
        let wants = std::slice::from_mut(&mut want);
        !run_round(wants, hosts, &mut quota, &weights).is_empty()
    }

    /// Moves one replica at a time, so that no service is thinned out.
    fn move_one(&mut self, ctx: &mut Ctx, id: &MachineId, hosts: &mut [Host]) -> bool {
        let tasks: Vec<TaskRef> = self.machines[id].tasks.iter().cloned().collect();
        let moving = tasks.iter().any(|t| {
            let binding = self.jobs.get(&t.job).and_then(|j| j.bound.get(&t.index));
            binding.is_some_and(|b| b.stop.is_some())
        });
        if moving {
            return false;
        }
        for task in tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let runs = job
                .bound
                .get(&task.index)
                .is_some_and(|b| b.stage == Some(TaskStage::Running));
            let whole = job.bound.len() as u32 == job.spec.tasks;
            if job.spec.kind != JobKind::Service || !runs || !whole {
                continue;
            }
            if self.fits_elsewhere(ctx, &task, hosts) {
                let grace_s = job.spec.save_s;
                if let Some(binding) = self
                    .jobs
                    .get_mut(&task.job)
                    .and_then(|j| j.bound.get_mut(&task.index))
                {
                    binding.stop = Some(Stop::after(grace_s));
                }
                return true;
            }
        }
        false
    }
}
