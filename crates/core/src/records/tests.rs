//! Tests of the truncation of demand records.

use super::{DemandRecord, ShapeRecord};
use forkshift_wire::MachineId;

fn shape(count: u32) -> ShapeRecord {
    ShapeRecord {
        milli_resources: (1_000, 0, 1_000),
        count,
        types: None,
        zones: None,
        spot: false,
        is_headroom: false,
        may_reclaim: false,
        is_borrowing: false,
        is_gang: false,
    }
}

fn machines(count: u32) -> Vec<MachineId> {
    let id = |number| MachineId::new(&format!("host-{number:06}"));
    (0..count).map(id).collect()
}

/// A demand record that exceeds the store's value size must lose entries of the least important
/// lists first, and must keep the most urgent entries of each list.
#[test]
fn truncation_drops_the_least_important_list_first() {
    let full = DemandRecord {
        revision: 7,
        unmet_shapes: (1..=24).map(shape).collect(),
        pending_shapes: (1..=24).map(shape).collect(),
        headroom_machines: machines(20),
        surplus_machines: machines(200),
        reclaimable_machines: machines(200),
        pool_machines: Vec::new(),
    };
    let size = |record: &DemandRecord| serde_json::to_vec(record).expect("a record").len();
    let whole = size(&full);
    // Bytes, and the lengths of the lists after the truncation.
    let cases = [
        (whole, [24, 24, 20, 200, 200]),
        (whole - 1, [24, 24, 20, 200, 100]),
        (6_000, [24, 24, 20, 200, 50]),
        (2_048, [24, 24, 0, 0, 0]),
        (1_000, [12, 0, 0, 0, 0]),
        (10, [0, 0, 0, 0, 0]),
    ];
    for (max_bytes, expected) in cases {
        let truncated = full.clone().truncated_to(max_bytes);
        assert!(
            size(&truncated) <= max_bytes.max(size(&DemandRecord::default())),
            "{max_bytes}"
        );
        let lengths = [
            truncated.unmet_shapes.len(),
            truncated.pending_shapes.len(),
            truncated.headroom_machines.len(),
            truncated.surplus_machines.len(),
            truncated.reclaimable_machines.len(),
        ];
        assert_eq!(lengths, expected, "{max_bytes}");
        assert!(truncated
            .unmet_shapes
            .iter()
            .eq(full.unmet_shapes.iter().take(expected[0])));
    }
}

/// The demand of a shard with four thousand empty machines and sixty shapes must fit into a
/// message without truncation. One byte below its size halves the least important list.
#[test]
fn demand_with_four_thousand_machines_fits_a_message() {
    let max_bytes = forkshift_wire::peer::MAX_MESSAGE_BYTES / 4 * 3;
    let mut full = DemandRecord {
        unmet_shapes: (1..=60).map(shape).collect(),
        surplus_machines: machines(4_000),
        ..DemandRecord::default()
    };
    assert!(full.clone().truncated_to(max_bytes).has_same_demand(&full));
    full.reclaimable_machines = machines(2);
    let size = serde_json::to_vec(&full).expect("a record").len();
    assert!(full.clone().truncated_to(size).has_same_demand(&full));
    let truncated = full.clone().truncated_to(size - 1);
    let lengths = (
        truncated.unmet_shapes.len(),
        truncated.surplus_machines.len(),
        truncated.reclaimable_machines.len(),
    );
    assert_eq!(lengths, (60, 4_000, 1));
}
