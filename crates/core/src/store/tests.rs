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

/// With few changes a second, a user's write goes out at once, though work has
/// used up what there was; it is paid back by what can wait.
#[test]
fn a_user_does_not_wait_for_what_can_wait() {
    let at_once = [(Urgency::User, true), (Urgency::Work, false)];
    for (urgency, goes) in at_once {
        let mut store = Store::new(100.0, 3.0);
        store.push(Urgency::Work, call(10_000, 3));
        assert_eq!(store.due(0).0.len(), 1);
        store.push(urgency, call(10_000, 2));
        assert_eq!(store.due(1).0.len(), usize::from(goes), "{urgency:?}");
        // No more than one second's worth is had in advance.
        store.push(urgency, call(10_000, 2));
        assert_eq!(store.due(2).0.len(), 0, "{urgency:?}");
        let sent: usize = (3..10_000).map(|now| store.due(now).0.len()).sum();
        assert_eq!(sent, 2 - usize::from(goes), "{urgency:?}");
    }
}
