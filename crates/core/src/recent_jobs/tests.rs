//! Tests of `known_jobs`.

use super::*;

fn id(n: usize) -> JobId {
    JobId::parse(&format!("j-{n}")).expect("an id")
}

/// At the bound all are remembered; one past it the oldest is forgotten, and no other.
#[test]
fn the_oldest_is_forgotten_first() {
    let most = 5;
    let mut known = RecentJobs::new(most);
    for n in 0..most {
        assert!(known.insert(id(n), n));
    }
    assert!((0..most).all(|n| known.get(&id(n)) == Some(n)));
    assert!(!known.insert(id(0), 7), "it is known");
    assert!(known.insert(id(most), most));
    assert_eq!(known.get(&id(0)), None);
    assert!((1..=most).all(|n| known.get(&id(n)) == Some(n)));
}

/// A final stage that was forgotten is news again when it is read again: others that
/// need the job are told, who may have forgotten it as well.
#[test]
fn a_forgotten_final_stage_is_news_again() {
    let mut finals = FinalStages::new(1);
    finals.insert(id(1), JobStage::Done);
    finals.insert(id(1), JobStage::Done);
    finals.insert(id(2), JobStage::Done);
    finals.insert(id(1), JobStage::Done);
    let news: Vec<JobId> = finals
        .take_unannounced()
        .into_iter()
        .map(|f| f.id)
        .collect();
    assert_eq!(news, vec![id(1), id(2), id(1)]);
}
