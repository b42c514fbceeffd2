//! Tests of the target size, and of the choice of machines that join and leave.

use super::*;
use PoolState::{Booting, Fetching, Up, Warm};

fn members(list: &[(PoolState, f64)]) -> Vec<PoolMember> {
    let member = |&(state, price)| PoolMember {
        state,
        price_per_hour: price,
    };
    list.iter().map(member).collect()
}

#[test]
fn target_is_the_recently_allocated_number_within_the_bounds() {
    let size = PoolSize {
        min_machines: 2,
        max_machines: 5,
    };
    for (recently_allocated, expected) in [(0, 2), (2, 2), (3, 3), (5, 5), (9, 5)] {
        assert_eq!(
            target_size(size, recently_allocated),
            expected,
            "{recently_allocated}"
        );
    }
    assert_eq!(target_size(PoolSize::default(), 9), 0);
}

#[test]
fn members_farthest_from_warm_leave_first_and_then_the_most_expensive() {
    let list = members(&[
        (Warm, 1.0),
        (Booting, 1.0),
        (Fetching, 1.0),
        (Warm, 2.0),
        (Up, 1.0),
    ]);
    let cases: [(u32, Option<f64>, &[usize]); 6] = [
        (5, None, &[]),
        (4, None, &[1]),
        (1, None, &[1, 4, 2, 3]),
        (0, None, &[1, 4, 2, 3, 0]),
        (5, Some(6.0), &[]),
        (5, Some(4.5), &[1, 4]),
    ];
    for (target, cost, expected) in cases {
        assert_eq!(
            members_to_remove(&list, target, cost),
            expected,
            "{target} {cost:?}"
        );
    }
    assert_eq!(retained_members(&list, 2), vec![0, 3]);
    assert_eq!(retained_members(&list, 9).len(), 5);
}

#[test]
fn candidates_with_the_image_join_first_within_the_cost_limit() {
    let candidate = |has_image, is_up, price| PoolCandidate {
        has_image,
        is_up,
        price_per_hour: price,
    };
    let list = [
        candidate(false, false, 1.0),
        candidate(false, true, 3.0),
        candidate(true, true, 9.0),
        candidate(false, true, 2.0),
    ];
    let cases: [(u32, Option<f64>, &[usize]); 6] = [
        (0, None, &[]),
        (1, None, &[2]),
        (3, None, &[2, 3, 1]),
        (9, None, &[2, 3, 1, 0]),
        (9, Some(3.0), &[3, 0]),
        (9, Some(0.5), &[]),
    ];
    for (missing, cost, expected) in cases {
        assert_eq!(
            candidates_to_add(&list, missing, cost),
            expected,
            "{missing} {cost:?}"
        );
    }
    for (missing, price, cost, expected) in [
        (4, 3.0, None, 4),
        (4, 3.0, Some(9.0), 3),
        (4, 3.0, Some(-1.0), 0),
        (4, 0.0, Some(1.0), 4),
    ] {
        assert_eq!(
            affordable_machines(missing, price, cost),
            expected,
            "{cost:?}"
        );
    }
}
