//! Tests of `store`.

use super::*;

fn call(expires: Ms, writes: usize) -> StoreCall {
    StoreCall {
        method: "POST",
        path: "/txn".to_owned(),
        body: None,
        writes,
        timeout: 2_000,
        expires,
        pending: PendingCall::Housekeeping,
    }
}

/// What was decided before a controller stood still is not sent as it goes on,
/// though there is budget for it by then.
#[test]
fn what_waited_too_long_is_not_sent() {
    for urgency in [Urgency::Membership, Urgency::User, Urgency::Tasks] {
        for (stop, is_sent) in [(1_000, true), (30_000, false)] {
            let mut store = Store::new(10.0, 10.0);
            // The budget is used up, so the rest of the calls waits.
            for _ in 0..30 {
                store.push(urgency, call(2_000, 1));
            }
            let (first, _) = store.take_due(0);
            let (sent, late) = store.take_due(stop);
            assert_eq!(!sent.is_empty(), is_sent && urgency != Urgency::Membership);
            assert_eq!(late.is_empty(), is_sent || urgency == Urgency::Membership);
            let all = first.len() + sent.len() + late.len();
            assert!(all <= 30, "{urgency:?}: {all}");
        }
    }
}

/// With few changes a second, work leaves what a submission takes, and never is
/// more sent than the rate and one second's burst allow.
#[test]
fn a_user_does_not_wait_for_what_can_wait() {
    for (urgency, goes) in [(Urgency::User, true), (Urgency::Tasks, false)] {
        let mut store = Store::new(100.0, 4.0);
        for _ in 0..10 {
            store.push(Urgency::Tasks, call(10_000, 1));
        }
        assert_eq!(store.take_due(0).0.len(), 2);
        store.push(urgency, call(10_000, 2));
        let now = store.take_due(1).0;
        assert_eq!(!now.is_empty(), goes, "{urgency:?}");
        let later = (2..2_001).flat_map(|now| store.take_due(now).0);
        let sent: usize = 2 + now
            .into_iter()
            .chain(later)
            .map(|c| c.writes)
            .sum::<usize>();
        assert!(sent <= 12, "{urgency:?}: {sent} in two seconds");
    }
}

/// In advance, a user has up to one second's worth and no more, where that is
/// allowed; what can wait never has.
#[test]
fn a_user_has_a_second_in_advance_where_that_is_allowed() {
    // What goes at once, and within three seconds more, of four changes a second.
    for (in_advance, urgency, first, in_all) in [
        (true, Urgency::User, 4, 10),
        (false, Urgency::User, 2, 8),
        (true, Urgency::Tasks, 1, 7),
    ] {
        let mut store = Store::new(100.0, 4.0);
        store.allow_advance(in_advance);
        for _ in 0..20 {
            store.push(urgency, call(10_000, 2));
        }
        let name = format!("{in_advance}, {urgency:?}");
        assert_eq!(store.take_due(0).0.len(), first, "{name}");
        let later: usize = (1..3_001).map(|now| store.take_due(now).0.len()).sum();
        assert_eq!(first + later, in_all, "{name}");
    }
}

/// After standing still there is half a burst.
#[test]
fn a_pause_does_not_fill_the_budget() {
    for (stops, sent) in [(false, 10), (true, 5)] {
        let mut store = Store::new(10.0, 100.0);
        for _ in 0..20 {
            store.push(Urgency::User, call(90_000, 1));
        }
        if stops {
            store.note_pause(60_000);
        }
        assert_eq!(store.take_due(60_000).0.len(), sent);
    }
}

/// After calls without an answer, or refused ones, the next answer tells once
/// that the service is there again, and not again within a second.
#[test]
fn a_recovery_is_noted_once() {
    let mut rng = rand::SeedableRng::seed_from_u64(1);
    let cases: [(&str, &[u16], bool); 5] = [
        ("answers", &[200, 409, 200], false),
        ("no answer yet", &[200, 0], false),
        ("no answer, then one", &[0, 0, 200], true),
        ("refused, then served", &[503, 409], true),
        ("too many requests", &[429, 200], false),
    ];
    for (name, statuses, recovers) in cases {
        let mut store = Store::new(10.0, 10.0);
        for status in statuses {
            store.on_response(*status, 5_000, &mut rng);
        }
        assert_eq!(store.take_recovered(5_000), recovers, "{name}");
        assert!(!store.take_recovered(5_000), "{name}: twice");
    }
    let mut store = Store::new(10.0, 10.0);
    let mut noted = Vec::new();
    for now in [5_000, 5_400, 5_800, 6_200] {
        store.on_response(0, now, &mut rng);
        store.on_response(200, now, &mut rng);
        noted.push(store.take_recovered(now));
    }
    assert_eq!(noted, [true, false, false, true]);
}
