//! Tests of the order of requested reads.

use super::ReadPriority::{Background, Request};
use super::*;

fn id(n: u32) -> JobId {
    JobId::new(&format!("j-{n:06}"))
}

/// Guards against a job that is never read since others with lower ids are requested all the
/// time.
#[test]
fn a_read_is_overtaken_by_no_later_request_of_its_priority() {
    let mut reads = RequestedReads::default();
    reads.request(id(999_999), Request, 10);
    for n in 0..5 {
        reads.request(id(n), Request, 20);
    }
    reads.request(id(999_999), Request, 30);
    assert_eq!(reads.wanted_since(&id(999_999)), Some(10));
    assert_eq!(reads.start_next(Request), Some(id(999_999)));
    reads.request(id(999_999), Request, 40);
    assert_eq!((reads.queued_count(), reads.in_flight_count()), (5, 1));
}

/// Guards against a request that waits for a read which no request waited for at first.
#[test]
fn a_request_raises_the_priority_of_a_read() {
    let mut reads = RequestedReads::default();
    reads.request(id(0), Background, 10);
    reads.request(id(1), Background, 10);
    reads.request(id(1), Request, 20);
    assert_eq!(reads.start_next(Request), Some(id(1)));
    assert_eq!(reads.start_next(Request), None);
    assert_eq!(reads.start_next(Background), Some(id(0)));
    assert_eq!(reads.in_flight_as(Background), 1);
    reads.request(id(0), Request, 30);
    let finished = FinishedRead {
        priority: Request,
        wanted_since: 10,
    };
    assert_eq!(reads.finish(&id(0)), Some(finished));
}

/// Guards against a record that can't be read and is tried before all others each time.
#[test]
fn a_failed_read_waits_behind_the_others() {
    let mut reads = RequestedReads::default();
    for n in 0..3 {
        reads.request(id(n), Request, 10);
    }
    let first = reads.start_next(Request).expect("queued");
    let read = reads.finish(&first).expect("in flight");
    reads.retry(first, read);
    let order: Vec<JobId> = std::iter::from_fn(|| reads.start_next(Request)).collect();
    assert_eq!(order, vec![id(1), id(2), id(0)]);
    assert_eq!(reads.oldest_wanted_since(), Some(10));
}

/// Guards against reads of records whose state has become known while they were queued.
#[test]
fn a_removed_read_is_not_started() {
    let mut reads = RequestedReads::default();
    reads.request(id(0), Background, 10);
    reads.request(id(1), Background, 10);
    reads.remove_queued(&id(0));
    reads.remove_queued(&id(7));
    assert_eq!(reads.start_next(Background), Some(id(1)));
    assert_eq!(reads.start_next(Background), None);
}
