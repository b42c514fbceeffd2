//! A round that looks at every host for every task: what grouping must agree with.

use crate::claim::Reservation;
use crate::quota::{Quota, Shortfall};
use crate::resources::Resources;
use crate::round::{Host, PendingTasks, Placement};
use crate::score::{choose, Candidate, Weights};
use std::collections::{BTreeMap, BTreeSet};

/// Places what has room. Placed tasks leave `waiting`; what has no room stays
/// there for the next round.
pub(super) fn run_round(
    wants: &mut [PendingTasks],
    hosts: &mut [Host],
    quotas: &mut [Quota],
    weights: &Weights,
) -> Vec<Placement> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by(|&a, &b| wants[a].by_round(&wants[b]));
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
            placed.extend(place_gang(i, want, hosts, quotas, weights));
        }
        while !want.gang && place_next(i, want, hosts, quotas, weights, &mut placed) {}
        if want.reservation.reserves() && !want.waiting.is_empty() {
            let team = &mut quotas[want.team];
            let need = want.at_once();
            if !team.allows(&need) {
                let short = held.entry(want.team).or_default();
                *short = short.or(&team.shortfall(&need));
                continue;
            }
            want.lacks_room = true;
            hold_host(want, hosts);
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
fn hold_host(want: &PendingTasks, hosts: &mut [Host]) {
    let fits = |h: &Host| {
        want.task.fits(&h.total)
            && want.allowed(h.machine_type, h.zone, h.spot)
            && want.may_use_reserved(h.reserved_for)
    };
    let free = |h: &Host| 1.0 - (h.total - h.free).largest_share(&h.total);
    let best = hosts
        .iter_mut()
        .enumerate()
        // What it may not use itself is not kept free for it: a gang that
        // failed on the only machine once kept all others off it.
        .filter(|(i, h)| fits(h) && !want.avoid.contains(i))
        .max_by(|(_, a), (_, b)| free(a).total_cmp(&free(b)));
    if let Some((_, host)) = best {
        host.held = true;
    }
}

/// Places the next task of a job, if there is one that has room.
fn place_next(
    index: usize,
    want: &mut PendingTasks,
    hosts: &mut [Host],
    quotas: &mut [Quota],
    weights: &Weights,
    placed: &mut Vec<Placement>,
) -> bool {
    let Some(&task) = want.waiting.first() else {
        return false;
    };
    let Some(host) = place_one(want, hosts, quotas, weights, None) else {
        return false;
    };
    want.waiting.remove(0);
    placed.push(Placement {
        job: index,
        task,
        host,
    });
    true
}

/// Chooses a host for one task and books it.
fn place_one(
    want: &mut PendingTasks,
    hosts: &mut [Host],
    quotas: &mut [Quota],
    weights: &Weights,
    zone: Option<u16>,
) -> Option<usize> {
    if !quotas[want.team].allows(&want.task) {
        return None;
    }
    let mut index = Vec::new();
    let mut candidates = Vec::new();
    for (i, host) in hosts.iter().enumerate() {
        let fits = !host.held
            && want.task.fits(&host.free)
            && zone.is_none_or(|z| z == host.zone)
            && want.allowed(host.machine_type, host.zone, host.spot)
            && want.may_use_reserved(host.reserved_for)
            && !want.avoid.contains(&i);
        if !fits {
            continue;
        }
        let fetch = if host.images.contains(&want.image) || host.fetch_rate <= 0.0 {
            0.0
        } else {
            want.image_gb / host.fetch_rate
        };
        index.push(i);
        candidates.push(Candidate {
            free: host.free,
            cost: host.price * want.estimate,
            latency: host.delay + fetch,
        });
    }
    let chosen = index[choose(&want.task, candidates.into_iter().enumerate(), weights)?];
    let host = &mut hosts[chosen];
    host.free -= want.task;
    host.images.insert(want.image);
    quotas[want.team].used += want.task;
    *want.zones.entry(host.zone).or_default() += 1;
    Some(chosen)
}

/// Places all waiting tasks of a gang, or undoes them together.
fn place_gang(
    index: usize,
    want: &mut PendingTasks,
    hosts: &mut [Host],
    quotas: &mut [Quota],
    weights: &Weights,
) -> Vec<Placement> {
    let zones: Vec<Option<u16>> = if want.one_zone {
        let all: BTreeSet<u16> = hosts.iter().map(|h| h.zone).collect();
        all.into_iter().map(Some).collect()
    } else {
        vec![None]
    };
    for zone in zones {
        let before = (want.zones.clone(), quotas[want.team].used);
        let mut booked: Vec<(usize, bool)> = Vec::new();
        let mut placed = Vec::new();
        for task in want.waiting.clone() {
            let known: BTreeSet<usize> = hosts
                .iter()
                .enumerate()
                .filter(|(_, h)| h.images.contains(&want.image))
                .map(|(i, _)| i)
                .collect();
            let Some(host) = place_one(want, hosts, quotas, weights, zone) else {
                break;
            };
            booked.push((host, known.contains(&host)));
            placed.push(Placement {
                job: index,
                task,
                host,
            });
        }
        if placed.len() == want.waiting.len() {
            want.waiting.clear();
            return placed;
        }
        for (host, had_image) in booked.into_iter().rev() {
            hosts[host].free += want.task;
            if !had_image {
                hosts[host].images.remove(&want.image);
            }
        }
        (want.zones, quotas[want.team].used) = before;
    }
    Vec::new()
}
