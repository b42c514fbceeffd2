//! Grouping changes no choice.

mod reference;

use super::ZONES_MOST;
use crate::claim::{Reclaim, Reservation, Standing};
use crate::quota::Quota;
use crate::resources::Resources;
use crate::round::{run_round, Host, PendingTasks};
use crate::score::Weights;
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

const WEIGHTS: Weights = Weights {
    fit: 1.0 / 3.0,
    cost: 1.0 / 6.0,
    latency: 0.5,
};
const TEAMS: usize = 2;

/// Hosts of a few types; many are alike, some are partly filled.
fn hosts() -> impl Strategy<Value = Vec<Host>> {
    let host = (
        0..3_u16,
        0..3_u16,
        any::<bool>(),
        0..4_i64,
        btree_set(0..3_u32, 0..3),
        prop_oneof![4 => Just(0.0), 1 => Just(7.5)],
        prop_oneof![19 => Just(false), 1 => Just(true)],
        prop_oneof![3 => Just(None), 1 => (0..2_u32).prop_map(Some)],
    );
    let host = host.prop_map(
        |(machine_type, zone, spot, used, images, delay, held, reserved_for)| {
            let size = i64::from(machine_type) + 1;
            let total = Resources::new(8.0, 2.0, 32.0).times(size);
            Host {
                free: total - Resources::new(2.0, 0.5, 8.0).times(used),
                total,
                machine_type,
                zone,
                spot,
                price: if spot { 1.0 } else { 3.0 } * size as f64,
                fetch_rate: f64::from(machine_type),
                images,
                held,
                delay,
                reserved_for,
            }
        },
    );
    vec(host, 0..24)
}

/// What one job has of its own: its shape, tasks, whether it is a gang, its band, and
/// the hosts that it avoids.
type Pick = (prop::sample::Index, u32, bool, i32, BTreeSet<usize>);

fn picks() -> impl Strategy<Value = Vec<Pick>> {
    let avoid = prop_oneof![
        2 => Just(BTreeSet::new()),
        1 => btree_set(0..24_usize, 1..24),
    ];
    let shape = any::<prop::sample::Index>();
    vec((shape, 1..9_u32, any::<bool>(), 0..3_i32, avoid), 0..16)
}

/// Jobs of a few shapes: many need the same, as gangs and not.
fn wants() -> impl Strategy<Value = Vec<PendingTasks>> {
    (vec(shapes(), 1..4), picks()).prop_map(|(shapes, picks)| {
        let job = |(shape, tasks, gang, band, avoid): Pick| PendingTasks {
            waiting: (0..tasks).collect(),
            total: tasks,
            gang,
            band,
            avoid,
            ..shape.get(&shapes).clone()
        };
        picks.into_iter().map(job).collect()
    })
}

/// A job of any shape.
fn shapes() -> impl Strategy<Value = PendingTasks> {
    let shape = (0..4_i64, 0..3_i64, 1..5_u32, any::<bool>(), 0..4_i32);
    let place = (
        proptest::option::of(vec(0..3_u16, 1..3)),
        proptest::option::of(0..3_u16),
        any::<bool>(),
        any::<bool>(),
        any::<bool>(),
    );
    let reservation = prop_oneof![
        Just(Reservation::None),
        Just(Reservation::Room),
        Just(Reservation::RoomAndQuota),
    ];
    let reservations = btree_set(0..2_u32, 0..2);
    let rest = (0..3_u32, 0..TEAMS, reservation, 0..3_u32, reservations);
    (shape, place, rest).prop_map(|(shape, place, rest)| {
        let (cpus, gpus, tasks, gang, band) = shape;
        let (types, zone, one_zone, spread, spot) = place;
        let (image, team, reservation, estimate, reservations) = rest;
        PendingTasks {
            task: Resources::new(cpus as f64, gpus as f64 * 0.5, 2.0),
            waiting: (0..tasks).collect(),
            total: tasks,
            gang,
            band,
            waited_s: 0.0,
            reservation,
            reclaim: Reclaim::default(),
            standing: Standing::default(),
            lacks_room: false,
            estimate: f64::from(estimate) * 10.0,
            team,
            image,
            image_gb: f64::from(image) * 4.0,
            types,
            zone,
            one_zone,
            spread: spread && !one_zone,
            spot,
            zones: BTreeMap::new(),
            avoid: BTreeSet::new(),
            reservations,
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

/// The same draws every time.
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

    /// Every task goes where it would go if every host were looked at for it, and
    /// hosts, jobs and quotas are left the same.
    #[test]
    fn a_round_chooses_as_if_every_host_were_looked_at(hosts in hosts(), wants in wants()) {
        let (mut grouped, mut scanned) = (hosts.clone(), hosts);
        let (mut wants_a, mut wants_b) = (wants.clone(), wants);
        let (mut quotas_a, mut quotas_b) = (quotas(), quotas());
        let placed = run_round(&mut wants_a, &mut grouped, &mut quotas_a, &WEIGHTS);
        let expected = reference::run_round(&mut wants_b, &mut scanned, &mut quotas_b, &WEIGHTS);
        prop_assert_eq!(placed, expected);
        prop_assert_eq!(format!("{grouped:?}"), format!("{scanned:?}"));
        prop_assert_eq!(format!("{wants_a:?}"), format!("{wants_b:?}"));
        prop_assert_eq!(format!("{quotas_a:?}"), format!("{quotas_b:?}"));
    }
}

/// What found no host is remembered by a bit for each zone. With one zone more than
/// there are bits nothing is remembered, and the choices stay the same.
#[test]
fn more_zones_than_bits_change_no_choice() {
    for zones in [ZONES_MOST as u16, ZONES_MOST as u16 + 1] {
        let total = Resources::new(8.0, 0.0, 32.0);
        let host = |zone| Host {
            free: total,
            total,
            machine_type: 0,
            zone,
            spot: false,
            price: 1.0,
            fetch_rate: 1.0,
            images: BTreeSet::new(),
            held: false,
            delay: 0.0,
            reserved_for: None,
        };
        let want = |zone: Option<u16>, tasks: u32| PendingTasks {
            task: Resources::new(5.0, 0.0, 2.0),
            waiting: (0..tasks).collect(),
            total: tasks,
            gang: false,
            band: 0,
            waited_s: 0.0,
            reservation: Reservation::None,
            reclaim: Reclaim::default(),
            standing: Standing::default(),
            lacks_room: false,
            estimate: 1.0,
            team: 0,
            image: 0,
            image_gb: 0.0,
            types: None,
            zone,
            one_zone: false,
            spread: false,
            spot: false,
            zones: BTreeMap::new(),
            avoid: BTreeSet::new(),
            reservations: BTreeSet::new(),
        };
        // Two for the last zone, where one fits, and more for all than there are.
        let wants = vec![want(Some(zones - 1), 2), want(None, u32::from(zones) + 3)];
        let hosts: Vec<Host> = (0..zones).map(host).collect();
        let (mut grouped, mut scanned) = (hosts.clone(), hosts);
        let (mut wants_a, mut wants_b) = (wants.clone(), wants);
        let mut quotas = vec![Quota::default()];
        let placed = run_round(&mut wants_a, &mut grouped, &mut quotas, &WEIGHTS);
        let mut quotas = vec![Quota::default()];
        let expected = reference::run_round(&mut wants_b, &mut scanned, &mut quotas, &WEIGHTS);
        assert_eq!(placed, expected, "{zones} zones");
        assert_eq!(placed.len(), usize::from(zones), "{zones} zones");
    }
}
