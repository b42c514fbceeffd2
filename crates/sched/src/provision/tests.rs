//! Tests of `provision`.

use super::*;

fn offer(machine_type: u16, zone: u16, cpus: f64, gpus: f64, price: f64, spot: bool) -> Offer {
    Offer {
        machine_type,
        zone,
        spot,
        total: Resources::new(cpus, gpus, cpus * 4.0),
        price,
        held: 0,
    }
}

fn shape(cpus: f64, gpus: f64, count: u32) -> Shape {
    Shape {
        task: Resources::new(cpus, gpus, 1.0),
        count,
        types: None,
        zones: None,
        spot: false,
        spot_only: false,
    }
}

#[test]
fn machines_are_chosen_by_what_they_hold_for_their_price() {
    let offers = [
        offer(0, 0, 8.0, 0.0, 0.5, false),
        offer(1, 0, 96.0, 8.0, 28.0, false),
        offer(0, 0, 8.0, 0.0, 0.15, true),
    ];
    let spot = Shape {
        spot: true,
        ..shape(4.0, 0.0, 2)
    };
    type Case = (&'static str, Vec<Shape>, Vec<(usize, u32)>);
    let cases: [Case; 6] = [
        ("nothing", vec![], vec![]),
        (
            "small tasks go on small machines",
            vec![shape(4.0, 0.0, 3)],
            vec![(0, 2)],
        ),
        (
            "GPUs need the large one",
            vec![shape(4.0, 1.0, 3)],
            vec![(1, 1)],
        ),
        ("spot only where it is allowed", vec![spot], vec![(2, 1)]),
        (
            "what rides along needs no machine",
            vec![shape(48.0, 4.0, 1), shape(4.0, 0.0, 2)],
            vec![(1, 1)],
        ),
        (
            "what fits nowhere is left",
            vec![shape(200.0, 0.0, 1)],
            vec![],
        ),
    ];
    for (name, shapes, expected) in cases {
        let got: Vec<(usize, u32)> = plan(&shapes, &offers, 50)
            .iter()
            .map(|r| (r.offer, r.count))
            .collect();
        assert_eq!(got, expected, "{name}");
    }
}

#[test]
fn equal_offers_are_spread_over_zones_and_bounded() {
    let offers = [
        offer(0, 0, 8.0, 0.0, 0.5, false),
        offer(0, 1, 8.0, 0.0, 0.5, false),
    ];
    let got = plan(&[shape(8.0, 0.0, 4)], &offers, 50);
    assert_eq!(got.iter().map(|r| r.count).collect::<Vec<_>>(), [2, 2]);
    assert_eq!(
        plan(&[shape(8.0, 0.0, 40)], &offers, 3)
            .iter()
            .map(|r| r.count)
            .sum::<u32>(),
        3
    );
}
