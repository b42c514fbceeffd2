//! A round: waiting tasks are placed greedily, longest first; among jobs that
//! have waited long, the oldest first.

use crate::claim::{Reclaim, Reservation, Standing};
use crate::host_table::HostTable;
use crate::quota::{Quota, Shortfall};
use crate::resources::Resources;
use crate::score::Weights;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A machine as a round sees it: a local booking that shrinks with each choice.
#[derive(Clone, Debug)]
pub struct Host {
    /// What is free.
    pub free: Resources,
    /// What it has.
    pub total: Resources,
    /// Type, as a number given by the caller.
    pub machine_type: u16,
    /// Zone, likewise.
    pub zone: u16,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// Price a second.
    pub price: f64,
    /// GB a second.
    pub fetch_rate: f64,
    /// Images that are there, or on their way.
    pub images: BTreeSet<u32>,
    /// Kept for a task that has waited for long.
    pub held: bool,
    /// Extra seconds before anything can start (a machine that still boots).
    pub delay: f64,
    /// Reserved for jobs to which this reservation is open, by a number given by the
    /// caller; none: for any.
    pub reserved_for: Option<u32>,
}

/// The tasks of one job that wait for a place.
#[derive(Clone, Debug)]
pub struct PendingTasks {
    /// What each task takes.
    pub task: Resources,
    /// Tasks that wait, at most as many as the round may place.
    pub waiting: Vec<u32>,
    /// All tasks of the job.
    pub total: u32,
    /// Place all of `waiting`, or none.
    pub gang: bool,
    /// Larger goes first; within a band the longest wait, then the longest
    /// estimate.
    pub band: i32,
    /// Seconds since the submission of a job that has waited long; 0 for all
    /// others, among which the longest estimate goes first.
    pub waited_s: f64,
    /// What it keeps from those behind it.
    pub reservation: Reservation,
    /// What borrowed resources may be given back to it.
    pub reclaim: Reclaim,
    /// Whether it runs on what others leave unused.
    pub standing: Standing,
    /// Set by a round: it reserves, and machines are all that it lacks.
    pub lacks_room: bool,
    /// Predicted run time.
    pub estimate: f64,
    /// The team's place in the quotas.
    pub team: usize,
    /// Image, as a number given by the caller.
    pub image: u32,
    /// Its size.
    pub image_gb: f64,
    /// Allowed types; none: any.
    pub types: Option<Vec<u16>>,
    /// The only allowed zone.
    pub zone: Option<u16>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// May use spot machines.
    pub spot: bool,
    /// Zones of the tasks that may be on machines.
    pub zones: BTreeMap<u16, u32>,
    /// Hosts that it is kept away from.
    pub avoid: BTreeSet<usize>,
    /// Reservations of hosts that are open to it.
    pub reservations: BTreeSet<u32>,
}

impl PendingTasks {
    /// Which of two goes first, by what they are owed: the band, and within it
    /// the longest wait. By estimate alone, a short job that had waited for
    /// minutes was overtaken by every longer one that came to wait long, too.
    pub fn by_claim(&self, other: &Self) -> Ordering {
        let band = other.band.cmp(&self.band);
        band.then(other.waited_s.total_cmp(&self.waited_s))
    }

    /// The order of a round: by claim, then the longest estimate first.
    pub(crate) fn by_round(&self, other: &Self) -> Ordering {
        let claim = self.by_claim(other);
        claim.then(other.estimate.total_cmp(&self.estimate))
    }

    /// What must be free at once for anything of it to be placed.
    pub fn at_once(&self) -> Resources {
        let tasks = if self.gang { self.waiting.len() } else { 1 };
        self.task.times(tasks as i64)
    }

    /// Whether a task may go to a zone, given the job's other tasks.
    pub fn zone_allowed(&self, zone: u16) -> bool {
        if self.zone.is_some_and(|z| z != zone) {
            return false;
        }
        if self.one_zone && self.zones.iter().any(|(z, n)| *z != zone && *n > 0) {
            return false;
        }
        let here = self.zones.get(&zone).copied().unwrap_or(0);
        !self.spread || here < self.total.div_ceil(2)
    }

    /// Whether a host with such a reservation is open to it.
    pub fn may_use_reserved(&self, reserved_for: Option<u32>) -> bool {
        reserved_for.is_none_or(|number| self.reservations.contains(&number))
    }

    /// Whether a task may go to such a machine at all.
    pub fn allowed(&self, machine_type: u16, zone: u16, spot: bool) -> bool {
        (self.spot || !spot)
            && self
                .types
                .as_ref()
                .is_none_or(|t| t.contains(&machine_type))
            && self.zone_allowed(zone)
    }
}

/// A task's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the job's pending tasks.
    pub job: usize,
    /// The task's number.
    pub task: u32,
    /// Index of the host.
    pub host: usize,
}

/// Places what has room. Placed tasks leave `waiting`; what has no room stays
/// there for the next round.
pub fn run_round(
    wants: &mut [PendingTasks],
    hosts: &mut [Host],
    quotas: &mut [Quota],
    weights: &Weights,
) -> Vec<Placement> {
    if wants.iter().all(|w| w.waiting.is_empty()) {
        return Vec::new();
    }
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by(|&a, &b| wants[a].by_round(&wants[b]));
    let mut table = HostTable::new(hosts);
    let mut placed = Vec::new();
    let mut held: BTreeMap<usize, Shortfall> = BTreeMap::new();
    let mut kept: Vec<(usize, Resources)> = Vec::new();
    for i in order {
        let want = &mut wants[i];
        // What does not use what is kept for another need not wait for it: a
        // team at its limit of GPUs once kept jobs without any from running.
        if held.get(&want.team).is_some_and(|s| s.concerns(&want.task)) {
            continue;
        }
        if want.gang {
            placed.extend(place_gang(i, want, &mut table, quotas, weights));
        }
        if !want.gang {
            place_each(i, want, &mut table, quotas, weights, &mut placed);
        }
        if want.reservation.reserves() && !want.waiting.is_empty() {
            let team = &mut quotas[want.team];
            let need = want.at_once();
            if !team.allows(&need) {
                let short = held.entry(want.team).or_default();
                *short = short.or(&team.shortfall(&need));
                continue;
            }
            want.lacks_room = true;
            hold_host(want, &mut table);
            if want.reservation == Reservation::RoomAndQuota {
                team.used += need;
                kept.push((want.team, need));
            }
        }
    }
    for (team, need) in kept {
        quotas[team].used -= need;
    }
    placed
}

/// Keeps the machine that comes closest to having room for a task that has
/// waited for long from being filled up by what is behind it.
fn hold_host(want: &PendingTasks, table: &mut HostTable) {
    let fits = |h: &Host| {
        want.task.fits(&h.total)
            && want.allowed(h.machine_type, h.zone, h.spot)
            && want.may_use_reserved(h.reserved_for)
    };
    let free = |h: &Host| 1.0 - (h.total - h.free).largest_share(&h.total);
    let hosts = table.hosts().iter().enumerate();
    let best = hosts
        // What it may not use itself is not kept free for it: a gang that
        // failed on the only machine once kept all others off it.
        .filter(|(i, h)| fits(h) && !want.avoid.contains(i))
        .max_by(|(_, a), (_, b)| free(a).total_cmp(&free(b)));
    if let Some((host, _)) = best {
        table.hold(host);
    }
}

/// Places the tasks of a job one by one, for as long as there is room.
fn place_each(
    index: usize,
    want: &mut PendingTasks,
    table: &mut HostTable,
    quotas: &mut [Quota],
    weights: &Weights,
    placed: &mut Vec<Placement>,
) {
    let mut count = 0;
    while count < want.waiting.len() {
        let Some(booking) = place_one(want, table, quotas, weights, None) else {
            break;
        };
        placed.push(Placement {
            job: index,
            task: want.waiting[count],
            host: booking.host,
        });
        count += 1;
    }
    want.waiting.drain(..count);
}

/// A task's booking on a host.
struct Booking {
    host: usize,
    /// Whether the host had the image, or was about to.
    had_image: bool,
}

/// Chooses a host for one task and books it.
fn place_one(
    want: &mut PendingTasks,
    table: &mut HostTable,
    quotas: &mut [Quota],
    weights: &Weights,
    zone: Option<u16>,
) -> Option<Booking> {
    if !quotas[want.team].allows(&want.task) {
        return None;
    }
    let host = table.choose(want, zone, weights)?;
    let had_image = table.book(host, want);
    quotas[want.team].used += want.task;
    *want.zones.entry(table.hosts()[host].zone).or_default() += 1;
    Some(Booking { host, had_image })
}

/// Places all waiting tasks of a gang, or undoes them together.
fn place_gang(
    index: usize,
    want: &mut PendingTasks,
    table: &mut HostTable,
    quotas: &mut [Quota],
    weights: &Weights,
) -> Vec<Placement> {
    let zones: Vec<Option<u16>> = if want.one_zone {
        table.zones().iter().copied().map(Some).collect()
    } else {
        vec![None]
    };
    for zone in zones {
        let before = (want.zones.clone(), quotas[want.team].used);
        let mut bookings = Vec::new();
        for _ in 0..want.waiting.len() {
            let Some(booking) = place_one(want, table, quotas, weights, zone) else {
                break;
            };
            bookings.push(booking);
        }
        if bookings.len() == want.waiting.len() {
            let tasks = std::mem::take(&mut want.waiting);
            let pairs = tasks.into_iter().zip(bookings);
            let placement = |(task, booking): (u32, Booking)| Placement {
                job: index,
                task,
                host: booking.host,
            };
            return pairs.map(placement).collect();
        }
        for booking in bookings.into_iter().rev() {
            table.undo(booking.host, want, booking.had_image);
        }
        (want.zones, quotas[want.team].used) = before;
    }
    Vec::new()
}

#[cfg(test)]
mod tests;
