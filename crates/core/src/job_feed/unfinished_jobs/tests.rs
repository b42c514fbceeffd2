//! Tests of `unfinished_jobs`.

use super::*;

fn id(n: usize) -> JobId {
    JobId::new(&format!("j-{n}"))
}

fn job(dependencies: &[usize]) -> UnfinishedJob {
    UnfinishedJob {
        dependencies: dependencies.iter().map(|n| id(*n)).collect(),
        shard: ShardId(0),
        read_at: 0,
    }
}

fn dependents(jobs: &UnfinishedJobs, n: usize) -> Vec<JobId> {
    jobs.dependents_of(&id(n)).cloned().collect()
}

/// Guards against an index that keeps jobs that are evicted, removed or replaced: it would grow
/// without bound, and cancel jobs that do not depend on a cancelled one.
#[test]
fn index_by_dependencies_follows_insertion_eviction_and_removal() {
    let mut jobs = UnfinishedJobs::new(5);
    jobs.insert(id(1), job(&[0]));
    jobs.insert(id(2), job(&[0, 1]));
    assert_eq!(dependents(&jobs, 0), vec![id(1), id(2)]);
    assert_eq!(dependents(&jobs, 1), vec![id(2)]);
    // The oldest job is evicted; a job that is inserted again is not the oldest any more.
    jobs.insert(id(1), job(&[0]));
    jobs.insert(id(3), job(&[1]));
    assert!(jobs.get(&id(2)).is_none());
    assert_eq!(dependents(&jobs, 0), vec![id(1)]);
    assert_eq!(dependents(&jobs, 1), vec![id(3)]);
    jobs.remove(&id(1));
    jobs.insert(id(3), job(&[2]));
    assert_eq!(dependents(&jobs, 0), vec![]);
    assert_eq!(dependents(&jobs, 1), vec![]);
    assert_eq!(dependents(&jobs, 2), vec![id(3)]);
    jobs.clear();
    assert!(jobs.get(&id(3)).is_none());
    assert!(jobs.dependents.is_empty() && jobs.oldest_first.is_empty());
    assert_eq!(jobs.size, 0);
}

/// Guards against memory that grows with the lists of dependencies: a long list takes the place
/// of many jobs.
#[test]
fn dependencies_count_towards_the_capacity() {
    let mut jobs = UnfinishedJobs::new(10);
    for n in 0..10 {
        jobs.insert(id(n), job(&[]));
    }
    assert!((0..10).all(|n| jobs.get(&id(n)).is_some()));
    jobs.insert(id(20), job(&[1, 2, 3, 4]));
    let kept: Vec<bool> = (0..10).map(|n| jobs.get(&id(n)).is_some()).collect();
    assert_eq!(kept, (0..10).map(|n| n >= 5).collect::<Vec<bool>>());
    assert!(jobs.get(&id(20)).is_some());
}
