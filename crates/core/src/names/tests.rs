//! Tests of interned names.

use super::{ImageNames, TypeAndZoneNames};
use std::collections::BTreeSet;

/// Numbers of zones have 16 bits. If zones and images shared a number space, a new zone after
/// 65,536 images would get the number of an earlier name.
#[test]
fn numbers_of_types_and_zones_are_independent_of_the_number_of_images() {
    let mut images = ImageNames::new(usize::MAX);
    let mut types_and_zones = TypeAndZoneNames::default();
    let first = types_and_zones.intern("a");
    for n in 0..70_000 {
        assert_eq!(images.intern(&format!("img-{n}")), n);
    }
    let second = types_and_zones.intern("b");
    assert_ne!(first, second);
    assert_eq!(types_and_zones.name(second), Some("b"));
    assert_eq!(types_and_zones.intern("a"), first);
}

/// Names beyond the last number must not get the number of another name.
#[test]
fn names_beyond_the_last_number_share_one_and_earlier_names_keep_theirs() {
    let mut types_and_zones = TypeAndZoneNames::default();
    let last = TypeAndZoneNames::OVERFLOW_NUMBER - 1;
    for n in 0..=last {
        assert_eq!(types_and_zones.intern(&format!("z-{n}")), n);
    }
    assert_eq!(
        types_and_zones.intern("one too many"),
        TypeAndZoneNames::OVERFLOW_NUMBER
    );
    assert_eq!(
        types_and_zones.name(TypeAndZoneNames::OVERFLOW_NUMBER),
        None
    );
    assert_eq!(types_and_zones.intern(&format!("z-{last}")), last);
    assert_eq!(types_and_zones.intern("z-0"), 0);
}

/// A reused number would stand for two images, as machines may still refer to the evicted one.
#[test]
fn unused_images_are_evicted_and_their_numbers_are_not_reused() {
    let mut images = ImageNames::new(3);
    for n in 0..3 {
        images.intern(&format!("img-{n}"));
    }
    assert!(!images.is_over_limit());
    images.intern("img-3");
    assert!(images.is_over_limit());
    images.retain_used(&BTreeSet::from([1]));
    assert!(!images.is_over_limit());
    assert_eq!(images.name(1), Some("img-1"));
    assert_eq!(images.name(0), None);
    assert_eq!(images.intern("img-1"), 1);
    assert_eq!(images.intern("img-0"), 4);
}

/// With a constant limit, every new image would trigger an eviction when more images are in use
/// than the limit allows.
#[test]
fn eviction_limit_doubles_when_all_images_are_in_use() {
    let mut images = ImageNames::new(2);
    let used: BTreeSet<u32> = (0..3).map(|n| images.intern(&format!("img-{n}"))).collect();
    images.retain_used(&used);
    for n in 3..6 {
        images.intern(&format!("img-{n}"));
        assert!(!images.is_over_limit());
    }
    images.intern("img-6");
    assert!(images.is_over_limit());
}
