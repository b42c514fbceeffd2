//! Compares rounds that group machines into classes with the reference, which scores every
//! machine: the placements must be equal.

mod reference;

use crate::entitlement::AgedJobReservation;
use crate::machine::MachineSnapshot;
use crate::pending::PendingTasks;
use crate::quota::Quota;
use crate::requirement::MAX_ZONES;
use crate::resources::Resources;
use crate::round::run_round;
use crate::score::Weights;
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;

const WEIGHTS: Weights = Weights {
    fit: 1.0 / 3.0,
    cost: 1.0 / 6.0,
    latency: 0.5,
};
const TEAMS: usize = 2;

/// Machines of a few types. Many are in the same class, and some are partly used.
fn machines() -> impl Strategy<Value = Vec<MachineSnapshot>> {
    let machine = (
        0..3_u16,
        0..3_u16,
        any::<bool>(),
        0..4_i64,
        btree_set(0..3_u32, 0..3),
        prop_oneof![4 => Just(0.0), 1 => Just(7.5)],
        prop_oneof![19 => Just(false), 1 => Just(true)],
        prop_oneof![3 => Just(None), 1 => (0..2_u32).prop_map(Some)],
    );
    let machine = machine.prop_map(
        |(machine_type, zone, spot, used, images, delay, held, reserved_for)| {
            let size = i64::from(machine_type) + 1;
            let total = Resources::new(8.0, 2.0, 32.0).scaled_by(size);
            MachineSnapshot {
                free: total - Resources::new(2.0, 0.5, 8.0).scaled_by(used),
                total,
                machine_type,
                zone,
                is_spot: spot,
                price_per_s: if spot { 1.0 } else { 3.0 } * size as f64,
                fetch_gb_per_s: f64::from(machine_type),
                images,
                is_held_for_aged_job: held,
                startup_delay_s: delay,
                reserved_for,
            }
        },
    );
    vec(machine, 0..24)
}

/// The attributes of a job that are not taken from its template.
#[derive(Clone, Debug)]
struct JobVariant {
    template: prop::sample::Index,
    tasks: u32,
    gang: bool,
    band: i32,
    excluded_machines: BTreeSet<usize>,
}

impl JobVariant {
    fn apply(self, templates: &[PendingTasks]) -> PendingTasks {
        PendingTasks {
            unplaced_tasks: (0..self.tasks).collect(),
            total_tasks: self.tasks,
            is_gang: self.gang,
            priority_band: self.band,
            excluded_machines: self.excluded_machines,
            ..self.template.get(templates).clone()
        }
    }
}

fn job_variants() -> impl Strategy<Value = Vec<JobVariant>> {
    let excluded = prop_oneof![
        2 => Just(BTreeSet::new()),
        1 => btree_set(0..24_usize, 1..24),
    ];
    let template = any::<prop::sample::Index>();
    let variant = (template, 1..9_u32, any::<bool>(), 0..3_i32, excluded);
    let variant = variant.prop_map(
        |(template, tasks, gang, band, excluded_machines)| JobVariant {
            template,
            tasks,
            gang,
            band,
            excluded_machines,
        },
    );
    vec(variant, 0..16)
}

/// Jobs of a few templates, so that gangs and other jobs often have equal requirements.
fn jobs() -> impl Strategy<Value = Vec<PendingTasks>> {
    (vec(job_templates(), 1..4), job_variants()).prop_map(|(templates, variants)| {
        let variants = variants.into_iter();
        variants.map(|variant| variant.apply(&templates)).collect()
    })
}

/// A job with random resources and constraints.
fn job_templates() -> impl Strategy<Value = PendingTasks> {
    let size = (0..4_i64, 0..3_i64, 1..5_u32, any::<bool>(), 0..4_i32);
    let constraints = (
        proptest::option::of(vec(0..3_u16, 1..3)),
        proptest::option::of(0..3_u16),
        any::<bool>(),
        any::<bool>(),
        any::<bool>(),
    );
    let reservation = prop_oneof![
        Just(AgedJobReservation::None),
        Just(AgedJobReservation::Capacity),
        Just(AgedJobReservation::CapacityAndQuota),
    ];
    let reservations = btree_set(0..2_u32, 0..2);
    let rest = (0..3_u32, 0..TEAMS, reservation, 0..3_u32, reservations);
    (size, constraints, rest).prop_map(|(size, constraints, rest)| {
        let (cpus, gpus, tasks, gang, band) = size;
        let (types, zone, require_same_zone, spread, spot) = constraints;
        let (image, team, reservation, estimate, reservations) = rest;
        PendingTasks {
            task_resources: Resources::new(cpus as f64, gpus as f64 * 0.5, 2.0),
            unplaced_tasks: (0..tasks).collect(),
            total_tasks: tasks,
            is_gang: gang,
            priority_band: band,
            reservation,
            estimated_run_s: f64::from(estimate) * 10.0,
            team,
            image,
            image_gb: f64::from(image) * 4.0,
            allowed_types: types,
            required_zone: zone,
            require_same_zone,
            spread_over_zones: spread && !require_same_zone,
            allows_spot: spot,
            open_reservations: reservations,
            ..PendingTasks::default()
        }
    })
}

fn quotas() -> Vec<Quota> {
    let quota = Quota {
        limit: Resources::new(60.0, 16.0, 0.0),
        ..Quota::default()
    };
    vec![quota; TEAMS]
}

/// A fixed seed, so that every run checks the same cases.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// The placements are equal to those of a scan of every machine, and the state of
    /// machines, jobs and quotas is equal afterwards.
    #[test]
    fn round_places_like_a_scan_of_every_machine(machines in machines(), jobs in jobs()) {
        let (mut grouped, mut scanned) = (machines.clone(), machines);
        let (mut grouped_jobs, mut scanned_jobs) = (jobs.clone(), jobs);
        let (mut grouped_quotas, mut scanned_quotas) = (quotas(), quotas());
        let placed = run_round(&mut grouped_jobs, &mut grouped, &mut grouped_quotas, &WEIGHTS);
        let expected = reference::run_round(&mut scanned_jobs, &mut scanned, &mut scanned_quotas, &WEIGHTS);
        prop_assert_eq!(placed, expected);
        prop_assert_eq!(format!("{grouped:?}"), format!("{scanned:?}"));
        prop_assert_eq!(format!("{grouped_jobs:?}"), format!("{scanned_jobs:?}"));
        prop_assert_eq!(format!("{grouped_quotas:?}"), format!("{scanned_quotas:?}"));
    }
}

/// Guards against a wrong or overflowing zone mask. Unsatisfiable requirements are recorded
/// with one bit for each zone; if there are more zones than bits, none are recorded. The
/// placements must be equal in both cases.
#[test]
fn more_zones_than_mask_bits_change_no_placement() {
    for zones in [MAX_ZONES as u16, MAX_ZONES as u16 + 1] {
        let total = Resources::new(8.0, 0.0, 32.0);
        let machine = |zone| MachineSnapshot {
            free: total,
            total,
            zone,
            price_per_s: 1.0,
            fetch_gb_per_s: 1.0,
            ..MachineSnapshot::default()
        };
        let job = |zone: Option<u16>, tasks: u32| PendingTasks {
            task_resources: Resources::new(5.0, 0.0, 2.0),
            unplaced_tasks: (0..tasks).collect(),
            total_tasks: tasks,
            estimated_run_s: 1.0,
            required_zone: zone,
            ..PendingTasks::default()
        };
        // Each zone has capacity for one task. Two tasks require the last zone, and the
        // tasks for any zone are more than fit.
        let jobs = vec![job(Some(zones - 1), 2), job(None, u32::from(zones) + 3)];
        let machines: Vec<MachineSnapshot> = (0..zones).map(machine).collect();
        let (mut grouped, mut scanned) = (machines.clone(), machines);
        let (mut grouped_jobs, mut scanned_jobs) = (jobs.clone(), jobs);
        let mut quotas = vec![Quota::default()];
        let placed = run_round(&mut grouped_jobs, &mut grouped, &mut quotas, &WEIGHTS);
        let mut quotas = vec![Quota::default()];
        let expected = reference::run_round(&mut scanned_jobs, &mut scanned, &mut quotas, &WEIGHTS);
        assert_eq!(placed, expected, "{zones} zones");
        assert_eq!(placed.len(), usize::from(zones), "{zones} zones");
    }
}
