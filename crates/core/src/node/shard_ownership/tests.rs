use crate::fixture::Fixture;
use crate::io::Effect;
use crate::pending_call::PendingCall;
use serde_json::json;

fn handovers(effects: &[Effect]) -> usize {
    let is_handover = |e: &&Effect| {
        matches!(e, Effect::Call { path, body: Some(body), .. }
        if path == "/txn" && String::from_utf8_lossy(body).contains("c/epoch"))
    };
    effects.iter().filter(is_handover).count()
}

/// After a handover the view still assigns the shard to the previous holder until the watch
/// delivers the change. A repeated request conflicts as fast as the store answers and exhausts
/// the request budget of all controllers: one killed controller caused 75 conflicts and 250
/// refused requests on loopback.
#[test]
fn a_handover_is_not_repeated_until_the_view_shows_its_answer() {
    let mut f = Fixture::new();
    let shard = f.shard;
    // The state under the epoch is lost, as after a reload.
    f.node.used_epochs.insert(shard, crate::fixture::EPOCH);
    f.node.shards.remove(&shard);
    assert_eq!(handovers(&f.step(10)), 1, "it is requested once");
    let revision = f.node.view.revision;
    let failed = json!({"failed": ["c/epoch"], "ledger_rev": revision + 2});
    let is_handover = |p: &PendingCall| matches!(p, PendingCall::ShardHandover(_));
    let mut again = handovers(&f.answer(is_handover, 409, &failed));
    for _ in 0..50 {
        again += handovers(&f.step(10));
    }
    assert_eq!(again, 0, "not before the view shows the answer's revision");
    f.node.view.revision = revision + 2;
    let tries: usize = (0..5).map(|_| handovers(&f.step(10))).sum();
    assert_eq!(tries, 1, "it is requested once more after that");
}
