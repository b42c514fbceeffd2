//! What a holder does for its share between the messages.

use crate::ctx::Ctx;
use crate::share::Share;
use crate::view::View;
use forkshift_sched::Resources;
use forkshift_wire::{JobId, MachineId};
use std::fmt;

/// A machine that may hold a task of a cancelled job is given up after this
/// part of the time in which the task must be gone.
const CANCEL_PART: f64 = 0.35;
/// Jobs that failed on a machine, none of which ran there since, before the
/// machine is given up.
const ERRORS_MOST: usize = 2;

/// Where the price of a share's machines goes, an hour.
#[derive(Default)]
pub(crate) struct Money {
    total: f64,
    booting: f64,
    empty: f64,
    starting: f64,
    used: f64,
    spot: f64,
}

impl fmt::Display for Money {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = |x: f64| 100.0 * x / self.total.max(1e-9);
        let room = self.total - self.booting - self.empty - self.starting - self.used;
        write!(
            f,
            "{:.0} an hour: {:.0}% boot, {:.0}% empty, {:.0}% start, {:.0}% run, {:.0}% room left, {:.0}% spot",
            self.total,
            part(self.booting),
            part(self.empty),
            part(self.starting),
            part(self.used),
            part(room),
            part(self.spot)
        )
    }
}

impl Share {
    /// Where the money goes at this moment.
    pub(crate) fn money(&self) -> Money {
        let mut money = Money::default();
        for m in self.machines.values() {
            let price = m.price * 3600.0;
            money.total += price;
            if m.spot {
                money.spot += price;
            }
            if m.heard.is_none() {
                money.booting += price;
            } else if m.tasks.is_empty() {
                money.empty += price;
            } else {
                let runs = m.tasks.iter().filter_map(|t| {
                    let job = self.jobs.get(&t.job)?;
                    let binding = job.bound.get(&t.index)?;
                    binding.running_since.map(|_| job.task)
                });
                let runs = runs.fold(Resources::default(), |sum, r| sum + r);
                let used = runs.largest_share(&m.total);
                money.used += price * used;
                money.starting += price * (m.used.largest_share(&m.total) - used).max(0.0);
            }
        }
        money
    }

    pub(crate) fn tend(&mut self, ctx: &mut Ctx, view: &View) {
        self.stop_cancelled();
        self.stop_broken_gangs();
        self.note_addresses(ctx, view);
        self.give_up(ctx, view);
        self.give_away(ctx, view);
        self.round(ctx, view);
        let progress = ctx.now >= self.next_progress;
        if progress {
            self.next_progress = ctx.now + crate::ms(ctx.cfg.ops.round_s);
        }
        self.flush(ctx, view, progress);
        self.send_orders(ctx);
    }

    /// A gang that has lost a task, also one that an earlier holder knew of,
    /// begins anew when the rest is gone.
    fn stop_broken_gangs(&mut self) {
        let broken: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.is_gang() && !j.bound.is_empty())
            .filter(|(_, j)| (j.bound.len() as u32) + j.done.len() < j.spec.tasks)
            .map(|(id, _)| id.clone())
            .collect();
        for id in broken {
            self.gang_broken(&id);
        }
    }

    /// Whether nothing is under way that a new holder would have to wait for.
    pub(crate) fn is_quiet(&self) -> bool {
        let calling = self.machines.values().any(|m| m.calling);
        let writing = self
            .jobs
            .values()
            .any(|j| j.writing || !j.cancel_waiters.is_empty());
        !calling && !writing
    }

    fn note_addresses(&mut self, ctx: &mut Ctx, view: &View) {
        let new: Vec<(MachineId, String)> = self
            .machines
            .values()
            .filter(|m| !m.putting && m.condemned.is_none() && m.heard.is_some())
            .filter(|m| {
                view.machines
                    .get(&m.id)
                    .is_some_and(|r| r.rec.addr.is_none())
            })
            .filter_map(|m| m.addr.clone().map(|a| (m.id.clone(), a)))
            .collect();
        for (id, addr) in new {
            self.put_machine(ctx, view, &id, |rec| rec.addr = Some(addr));
        }
    }

    /// Gives up machines that are silent, deaf, faulty, taken or of no use.
    fn give_up(&mut self, ctx: &mut Ctx, view: &View) {
        let silent = ctx.silent_ms();
        let mut give_up: Vec<(MachineId, &str)> = Vec::new();
        for m in self.machines.values().filter(|m| m.condemned.is_none()) {
            let known = m.addr.is_some() || m.heard.is_some();
            let last = m.heard.unwrap_or(0).max(self.active_since).max(m.since);
            let quiet = ctx.now.saturating_sub(last);
            let taken = m
                .taken_at
                .is_some_and(|t| ctx.now > t + ctx.cfg.report_ms * 2);
            if known && quiet > silent {
                give_up.push((m.id.clone(), "it is silent"));
            } else if taken && quiet > ctx.cfg.report_ms * 2 {
                give_up.push((m.id.clone(), "it was taken"));
            } else if m.unechoed_since.is_some_and(|t| ctx.now > t + silent * 2) {
                give_up.push((m.id.clone(), "our answers do not reach it"));
            } else if m.errors.len() >= ERRORS_MOST {
                give_up.push((m.id.clone(), "it fails what it starts"));
            }
        }
        let late = (ctx.cfg.cancel_ms as f64 * CANCEL_PART) as u64;
        for id in self.holding_cancelled(ctx.now, late) {
            give_up.push((id, "it may hold a cancelled task"));
        }
        for id in self.surplus(ctx) {
            give_up.push((id, "it is not needed"));
        }
        for (id, why) in give_up {
            self.condemn(&id, why);
        }
        self.record_condemned(ctx, view);
    }
}
