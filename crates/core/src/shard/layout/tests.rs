//! Tests of `layout`.

use super::*;
use crate::fixture::spec;
use forkshift_wire::users::JobKind;

fn limits(value_bytes: usize) -> StateLimits {
    StateLimits {
        rps: 80.0,
        write_rps: 30.0,
        txn_ops: 4,
        value_bytes,
    }
}

/// Two releases that read the same settings must agree on where a task is
/// recorded, whatever limits are announced.
#[test]
fn a_layout_without_a_name_is_that_of_the_first_release() {
    let cases = [(8 * 1024, 101, 0), (8 * 1024, 102, 1), (16 * 1024, 204, 1)];
    let id = JobId::new("j-1");
    for (value_bytes, index, block) in cases {
        let layout = BlockLayout::implicit(&limits(value_bytes));
        assert_eq!(layout.block_of(index), block, "{value_bytes}, {index}");
        assert_eq!(layout.to_record(), None);
    }
    let layout = BlockLayout::implicit(&limits(8 * 1024));
    assert_eq!(layout.key(ShardId(2), &id, 0), "live/2/j-1");
    assert_eq!(layout.key(ShardId(2), &id, 3), "live/2/j-1/3");
}

/// Jobs that fit stay as they are; others get a layout with keys of its own,
/// and no key is read under both.
#[test]
fn a_layout_is_changed_only_where_records_would_be_too_large() {
    let (large, small) = (limits(8 * 1024), limits(2 * 1024));
    let id = JobId::new("j-1");
    let cases = [(1, false), (25, false), (26, true), (100_000, true)];
    for (tasks, moves) in cases {
        let spec = spec(&id, "team", JobKind::Array, tasks);
        let old = BlockLayout::implicit(&large);
        let new = old.fit_to_limits(&small, &spec);
        assert_eq!(new != old, moves, "{tasks} tasks");
        assert_eq!(new.to_record().is_some(), moves, "{tasks} tasks");
        assert_eq!(
            new.fit_to_limits(&small, &spec),
            new,
            "{tasks} tasks, again"
        );
        if moves {
            let key = new.key(ShardId(2), &id, 1);
            let name = key.rsplit('/').next().unwrap_or_default();
            assert_eq!(new.parse_block(name), Some(1));
            assert_eq!(old.parse_block(name), None);
            assert_eq!(new.parse_block("1"), None);
        }
    }
}

/// A long submission leaves less room for tasks beside it.
#[test]
fn a_head_fits_with_its_submission() {
    let small = limits(2 * 1024);
    let mut spec = spec(&JobId::new("j-1"), "team", JobKind::Array, 25);
    spec.machine_types = Some(vec!["a-long-type-name".to_owned(); 50]);
    assert!(can_be_recorded(&spec, &small));
    let layout = BlockLayout::implicit(&limits(8 * 1024)).fit_to_limits(&small, &spec);
    let (from, to) = layout.task_range(0);
    let tasks = (to - from) as usize * MAX_TASK_RECORD_BYTES;
    assert!(to > 0 && head_bytes(&spec) + tasks <= small.value_bytes);
    spec.machine_types = Some(vec!["a-long-type-name".to_owned(); 150]);
    assert!(!can_be_recorded(&spec, &small));
}
