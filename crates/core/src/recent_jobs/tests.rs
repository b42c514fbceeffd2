//! Tests of the bounded caches of jobs.

use super::*;

fn id(number: usize) -> JobId {
    JobId::parse(&format!("j-{number}")).expect("an id")
}

/// A cache at its capacity holds all jobs. One job more evicts the oldest job and no other.
#[test]
fn oldest_job_is_evicted_beyond_the_capacity() {
    let capacity = 5;
    let mut recent = RecentJobs::new(capacity);
    for n in 0..capacity {
        assert!(recent.insert(id(n), n));
    }
    assert!((0..capacity).all(|n| recent.get(&id(n)) == Some(n)));
    assert!(!recent.insert(id(0), 7), "it is known");
    assert!(recent.insert(id(capacity), capacity));
    assert_eq!(recent.get(&id(0)), None);
    assert!((1..=capacity).all(|n| recent.get(&id(n)) == Some(n)));
}

/// Other controllers may have evicted a final stage as well while their jobs depend on it. An
/// evicted stage must therefore be announced again when it is read again.
#[test]
fn evicted_final_stage_is_announced_again() {
    let mut final_stages = FinalStages::new(1);
    final_stages.insert(id(1), JobStage::Done);
    final_stages.insert(id(1), JobStage::Done);
    final_stages.insert(id(2), JobStage::Done);
    final_stages.insert(id(1), JobStage::Done);
    let announced: Vec<JobId> = final_stages
        .take_unannounced()
        .into_iter()
        .map(|f| f.id)
        .collect();
    assert_eq!(announced, vec![id(1), id(2), id(1)]);
}
