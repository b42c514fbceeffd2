//! Tests of provisioning plans.

use super::*;

fn offer(
    machine_type: u16,
    zone: u16,
    cpus: f64,
    gpus: f64,
    price: f64,
    spot: bool,
) -> MachineOffer {
    MachineOffer {
        machine_type,
        zone,
        is_spot: spot,
        total: Resources::new(cpus, gpus, cpus * 4.0),
        price_per_hour: price,
        machines_in_zone: 0,
    }
}

fn shape(cpus: f64, gpus: f64, count: u32) -> TaskShape {
    TaskShape {
        task_resources: Resources::new(cpus, gpus, 1.0),
        count,
        allowed_types: None,
        allowed_zones: None,
        allows_spot: false,
        requires_spot: false,
    }
}

/// Name, shapes, and the planned machines as pairs of an offer's index and a count.
type Case = (&'static str, Vec<TaskShape>, Vec<(usize, u32)>);

#[test]
fn offer_with_the_highest_value_of_tasks_per_price_is_chosen() {
    let offers = [
        offer(0, 0, 8.0, 0.0, 0.5, false),
        offer(1, 0, 96.0, 8.0, 28.0, false),
        offer(0, 0, 8.0, 0.0, 0.15, true),
    ];
    let spot = TaskShape {
        allows_spot: true,
        ..shape(4.0, 0.0, 2)
    };
    let cases: [Case; 6] = [
        ("nothing", vec![], vec![]),
        (
            "small tasks get small machines",
            vec![shape(4.0, 0.0, 3)],
            vec![(0, 2)],
        ),
        (
            "GPU tasks get the machine type with GPUs",
            vec![shape(4.0, 1.0, 3)],
            vec![(1, 1)],
        ),
        (
            "tasks that allow spot get the cheaper spot machine",
            vec![spot],
            vec![(2, 1)],
        ),
        (
            "small tasks use the rest of a machine for large ones",
            vec![shape(48.0, 4.0, 1), shape(4.0, 0.0, 2)],
            vec![(1, 1)],
        ),
        (
            "tasks that fit on no offer get no machine",
            vec![shape(200.0, 0.0, 1)],
            vec![],
        ),
    ];
    for (name, shapes, expected) in cases {
        let found: Vec<(usize, u32)> = plan_scale_out(&shapes, &offers, 50)
            .iter()
            .map(|machines| (machines.offer, machines.count))
            .collect();
        assert_eq!(found, expected, "{name}");
    }
}

#[test]
fn equal_offers_are_spread_over_zones_up_to_max_machines() {
    let offers = [
        offer(0, 0, 8.0, 0.0, 0.5, false),
        offer(0, 1, 8.0, 0.0, 0.5, false),
    ];
    let planned = plan_scale_out(&[shape(8.0, 0.0, 4)], &offers, 50);
    assert_eq!(planned.iter().map(|r| r.count).collect::<Vec<_>>(), [2, 2]);
    assert_eq!(
        plan_scale_out(&[shape(8.0, 0.0, 40)], &offers, 3)
            .iter()
            .map(|r| r.count)
            .sum::<u32>(),
        3
    );
}
