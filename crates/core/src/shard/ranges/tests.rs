//! Tests of the set of ranges.

use super::*;

#[test]
fn inserted_numbers_merge_into_ranges_and_gaps_are_reported() {
    let mut set = RangeSet::default();
    for number in [3, 1, 2, 7, 2] {
        set.insert(number);
    }
    assert_eq!(set.ranges_within(0, 10), [(1, 4), (7, 8)]);
    assert_eq!(set.ranges_within(2, 3), [(2, 3)]);
    assert_eq!(set.len(), 4);
    assert_eq!(set.missing_below(9).collect::<Vec<_>>(), [0, 4, 5, 6, 8]);
    set.insert_range(0, 9);
    assert_eq!(set.ranges_within(0, 10), [(0, 9)]);
    assert_eq!(set.missing_below(9).count(), 0);
    assert!(!set.contains(9) && set.contains(8));
}
