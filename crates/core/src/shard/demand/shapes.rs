//! Converts pending tasks to the shapes of a demand record. A shape is a number of tasks
//! with the same requirements.

use crate::context::Context;
use crate::records::ShapeRecord;
use crate::store::view::ClusterView;
use forkshift_sched::{ExceededLimits, PendingTasks, Quota};
use std::collections::BTreeMap;

/// Names of machine types and zones, by the numbers that scheduling rounds use for them.
struct TypeAndZoneNames {
    types: BTreeMap<u16, String>,
    zones: BTreeMap<u16, String>,
}

impl TypeAndZoneNames {
    fn new(ctx: &mut Context, view: &ClusterView) -> Self {
        let types = view.machine_types.keys();
        let types = types.map(|name| (ctx.types_and_zones.intern(name), name.clone()));
        let types = types.collect();
        let zones = view.zones().into_iter();
        let zones = zones.map(|name| (ctx.types_and_zones.intern(name), name.to_owned()));
        Self {
            types,
            zones: zones.collect(),
        }
    }

    /// Names of the machine types that are allowed for a job's tasks; `None` allows any.
    fn types_of(&self, pending: &PendingTasks) -> Option<Vec<String>> {
        let numbers = pending.allowed_types.as_ref()?.iter();
        Some(numbers.filter_map(|t| self.types.get(t).cloned()).collect())
    }

    /// Names of the zones that are allowed for a job's tasks; `None` allows any.
    fn zones_of(&self, pending: &PendingTasks) -> Option<Vec<String>> {
        let allowed = self.zones.iter().filter(|(z, _)| pending.allows_zone(**z));
        let allowed: Vec<String> = allowed.map(|(_, name)| name.clone()).collect();
        (allowed.len() < self.zones.len()).then_some(allowed)
    }
}

/// Converts pending tasks to shapes, as far as the quotas allow, and charges the quotas
/// for them. `pending` must be in order of precedence.
pub(super) fn shapes_of(
    ctx: &mut Context,
    view: &ClusterView,
    pending: &[PendingTasks],
    quotas: &mut [Quota],
) -> Vec<ShapeRecord> {
    let names = TypeAndZoneNames::new(ctx, view);
    let has_pools = ctx.has_pools();
    let mut shapes: Vec<ShapeRecord> = Vec::new();
    let mut reserved: BTreeMap<usize, ExceededLimits> = BTreeMap::new();
    for tasks in pending {
        let quota = &mut quotas[tasks.team];
        // A task that a round does not place because of another job's quota reservation
        // needs no machine either.
        let reserved_before = reserved.get(&tasks.team);
        if reserved_before.is_some_and(|s| s.affects(&tasks.task_resources)) {
            continue;
        }
        if tasks.reservation.reserves() && !tasks.unplaced_tasks.is_empty() {
            let exceeded = reserved.entry(tasks.team).or_default();
            *exceeded = exceeded.union(&quota.exceeded_limits(&tasks.task_resources));
        }
        let count = charge_quota(tasks, quota);
        if count == 0 || (tasks.is_gang && count < tasks.unplaced_tasks.len()) {
            continue;
        }
        add_shape(
            &mut shapes,
            ShapeRecord {
                milli_resources: (
                    tasks.task_resources.milli_cpus,
                    tasks.task_resources.milli_gpus,
                    tasks.task_resources.memory_mb,
                ),
                count: count as u32,
                types: names.types_of(tasks),
                zones: names.zones_of(tasks),
                spot: tasks.allows_spot,
                is_headroom: false,
                may_reclaim: tasks.reclaim.reclaims_machines(),
                is_borrowing: tasks.capacity_class.uses_idle_capacity_only(),
                is_gang: tasks.is_gang && has_pools,
            },
        );
    }
    shapes
}

/// Charges a quota for as many pending tasks as it allows. Returns their number.
fn charge_quota(pending: &PendingTasks, quota: &mut Quota) -> usize {
    let mut count = 0;
    while count < pending.unplaced_tasks.len() && quota.allows(&pending.task_resources) {
        quota.used += pending.task_resources;
        count += 1;
    }
    count
}

/// Adds a shape, or adds its count to a shape with the same requirements.
pub(super) fn add_shape(shapes: &mut Vec<ShapeRecord>, shape: ShapeRecord) {
    let has_same_requirements = |s: &&mut ShapeRecord| {
        s.milli_resources == shape.milli_resources
            && s.types == shape.types
            && s.zones == shape.zones
            && s.spot == shape.spot
            && s.may_reclaim == shape.may_reclaim
            && s.is_borrowing == shape.is_borrowing
            && s.is_gang == shape.is_gang
    };
    match shapes.iter_mut().find(has_same_requirements) {
        Some(existing) => existing.count += shape.count,
        None => shapes.push(shape),
    }
}
