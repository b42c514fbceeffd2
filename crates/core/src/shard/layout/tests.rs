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

/// Guards against tasks read from the wrong block during an upgrade: two releases
/// with the same settings must compute the same implicit layout, whatever limits
/// the store announces.
#[test]
fn implicit_layout_matches_that_of_the_first_release() {
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

/// Guards against needless moves of jobs whose records fit, and against keys that
/// both the old and the new layout would accept as blocks of their own.
#[test]
fn layout_changes_only_if_records_exceed_the_value_limit() {
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

/// Guards against a head that exceeds the value size limit because a long
/// submission shares the record with the tasks of block 0.
#[test]
fn head_with_a_long_submission_stays_within_the_value_limit() {
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
