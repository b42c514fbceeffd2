//! Tests of `records`.

use super::*;

fn shape(n: u32) -> ShapeRecord {
    ShapeRecord {
        milli_resources: (1_000, 0, 1_000),
        count: n,
        types: None,
        zones: None,
        spot: false,
        is_spare: false,
        may_reclaim: false,
        is_borrowing: false,
        is_gang: false,
    }
}

fn machines(n: u32) -> Vec<MachineId> {
    let id = |i| MachineId::new(&format!("host-{i:06}"));
    (0..n).map(id).collect()
}

/// A demand is cut to the largest value, what is least missed first, and the
/// most urgent of each list stays.
#[test]
fn a_demand_is_cut_by_what_is_least_missed() {
    let full = DemandRecord {
        revision: 7,
        shapes: (1..=24).map(shape).collect(),
        waiting: (1..=24).map(shape).collect(),
        spare_machines: machines(20),
        surplus_machines: machines(200),
        reclaimable_machines: machines(200),
        pool_machines: Vec::new(),
    };
    let size = |record: &DemandRecord| serde_json::to_vec(record).expect("a record").len();
    let whole = size(&full);
    // Bytes, and which lists are left whole, cut, or empty.
    let cases = [
        (whole, [24, 24, 20, 200, 200]),
        (whole - 1, [24, 24, 20, 200, 100]),
        (6_000, [24, 24, 20, 200, 50]),
        (2_048, [24, 24, 0, 0, 0]),
        (1_000, [12, 0, 0, 0, 0]),
        (10, [0, 0, 0, 0, 0]),
    ];
    for (bytes, left) in cases {
        let cut = full.clone().truncated_to(bytes);
        assert!(
            size(&cut) <= bytes.max(size(&DemandRecord::default())),
            "{bytes}"
        );
        let lengths = [
            cut.shapes.len(),
            cut.waiting.len(),
            cut.spare_machines.len(),
            cut.surplus_machines.len(),
            cut.reclaimable_machines.len(),
        ];
        assert_eq!(lengths, left, "{bytes}");
        assert!(cut.shapes.iter().eq(full.shapes.iter().take(left[0])));
    }
}

/// The demand of a shard that holds four thousand machines, all of them empty, has room in
/// a message with more shapes than there once could be; one byte less, and the least
/// useful list is halved.
#[test]
fn a_demand_with_four_thousand_machines_is_sent_whole() {
    let most = forkshift_wire::peer::MAX_MESSAGE_BYTES / 4 * 3;
    let mut full = DemandRecord {
        shapes: (1..=60).map(shape).collect(),
        surplus_machines: machines(4_000),
        ..DemandRecord::default()
    };
    assert!(full.clone().truncated_to(most).has_same_demand(&full));
    full.reclaimable_machines = machines(2);
    let size = serde_json::to_vec(&full).expect("a record").len();
    assert!(full.clone().truncated_to(size).has_same_demand(&full));
    let cut = full.clone().truncated_to(size - 1);
    let left = (
        cut.shapes.len(),
        cut.surplus_machines.len(),
        cut.reclaimable_machines.len(),
    );
    assert_eq!(left, (60, 4_000, 1));
}
