//! Tests of `store`.

use super::*;

fn call(expires: Ms, writes: usize) -> StateCall {
    StateCall {
        method: "POST",
        path: "/txn".to_owned(),
        body: None,
        writes,
        timeout: 2_000,
        expires,
        pending: Pending::Housekeeping,
    }
}

/// What was decided before a controller stood still is not sent as it goes on,
/// though there is budget for it by then.
#[test]
fn what_waited_too_long_is_not_sent() {
    for urgency in [Urgency::Member, Urgency::User, Urgency::Work] {
        for (stop, is_sent) in [(1_000, true), (30_000, false)] {
            let mut store = Store::new(10.0, 10.0);
            // The budget is used up, so the rest of the calls waits.
            for _ in 0..30 {
                store.push(urgency, call(2_000, 1));
            }
            let (first, _) = store.due(0);
            let (sent, late) = store.due(stop);
            assert_eq!(!sent.is_empty(), is_sent && urgency != Urgency::Member);
            assert_eq!(late.is_empty(), is_sent || urgency == Urgency::Member);
            let all = first.len() + sent.len() + late.len();
            assert!(all <= 30, "{urgency:?}: {all}");
        }
    }
}
