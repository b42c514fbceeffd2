//! Tests of the queue of calls to the key-value store.

use super::*;

fn call(expires_at: Ms, writes: usize) -> StoreCall {
    StoreCall {
        method: "POST",
        path: "/txn".to_owned(),
        body: None,
        writes,
        timeout_ms: 2_000,
        expires_at,
        pending: PendingCall::Housekeeping,
    }
}

/// Calls queued before a pause of the process must not be sent after it: the decisions behind
/// them are outdated, though the rate limit allows the calls by then.
#[test]
fn expired_calls_are_rejected_after_a_process_pause() {
    for urgency in [Urgency::Membership, Urgency::User, Urgency::Tasks] {
        for (pause_ms, is_sent) in [(1_000, true), (30_000, false)] {
            let mut store = StoreQueue::new(10.0, 10.0);
            // The first calls use up the rate limit, so the other calls stay queued.
            for _ in 0..30 {
                store.push(urgency, call(2_000, 1));
            }
            let first = store.take_due(0).to_send;
            let due = store.take_due(pause_ms);
            let (sent, rejected) = (due.to_send, due.rejected);
            assert_eq!(!sent.is_empty(), is_sent && urgency != Urgency::Membership);
            assert_eq!(
                rejected.is_empty(),
                is_sent || urgency == Urgency::Membership
            );
            let all = first.len() + sent.len() + rejected.len();
            assert!(all <= 30, "{urgency:?}: {all}");
        }
    }
}

/// With few writes per second, submissions must not queue behind writes of lower urgency:
/// these leave a reserve. The writes sent stay within the rate and one second's burst.
#[test]
fn user_calls_overtake_queued_calls_of_lower_urgency() {
    for (urgency, goes) in [(Urgency::User, true), (Urgency::Tasks, false)] {
        let mut store = StoreQueue::new(100.0, 4.0);
        for _ in 0..10 {
            store.push(Urgency::Tasks, call(10_000, 1));
        }
        assert_eq!(store.take_due(0).to_send.len(), 2);
        store.push(urgency, call(10_000, 2));
        let now = store.take_due(1).to_send;
        assert_eq!(!now.is_empty(), goes, "{urgency:?}");
        let later = (2..2_001).flat_map(|now| store.take_due(now).to_send);
        let sent: usize = 2 + now
            .into_iter()
            .chain(later)
            .map(|c| c.writes)
            .sum::<usize>();
        assert!(sent <= 12, "{urgency:?}: {sent} in two seconds");
    }
}

/// Where overdrafts are allowed, users' calls may overdraw up to one second's worth of writes;
/// calls of lower urgency must not.
#[test]
fn user_calls_overdraw_at_most_one_second_of_writes_where_allowed() {
    // Calls sent at once, and in total after three more seconds, at four writes per second.
    for (allows_overdraft, urgency, first, in_all) in [
        (true, Urgency::User, 4, 10),
        (false, Urgency::User, 2, 8),
        (true, Urgency::Tasks, 1, 7),
    ] {
        let mut store = StoreQueue::new(100.0, 4.0);
        store.set_overdraft_allowed(allows_overdraft);
        for _ in 0..20 {
            store.push(urgency, call(10_000, 2));
        }
        let name = format!("{allows_overdraft}, {urgency:?}");
        assert_eq!(store.take_due(0).to_send.len(), first, "{name}");
        let later: usize = (1..3_001)
            .map(|now| store.take_due(now).to_send.len())
            .sum();
        assert_eq!(first + later, in_all, "{name}");
    }
}

/// After a pause of the process, half a burst is available: controllers that were paused
/// together would otherwise exceed the store's limit when all of them resume.
#[test]
fn token_bucket_holds_half_a_burst_after_a_process_pause() {
    for (is_paused, sent) in [(false, 10), (true, 5)] {
        let mut store = StoreQueue::new(10.0, 100.0);
        for _ in 0..20 {
            store.push(Urgency::User, call(90_000, 1));
        }
        if is_paused {
            store.limit_burst_after_pause(60_000);
        }
        assert_eq!(store.take_due(60_000).to_send.len(), sent);
    }
}

/// After timeouts or 503 responses, the next response is reported as a recovery once, and no
/// other recovery within a second.
#[test]
fn recovery_is_reported_once() {
    let mut rng = rand::SeedableRng::seed_from_u64(1);
    let cases: [(&str, &[u16], bool); 5] = [
        ("answers", &[200, 409, 200], false),
        ("no answer yet", &[200, 0], false),
        ("no answer, then one", &[0, 0, 200], true),
        ("refused, then served", &[503, 409], true),
        ("too many requests", &[429, 200], false),
    ];
    for (name, statuses, recovers) in cases {
        let mut store = StoreQueue::new(10.0, 10.0);
        for status in statuses {
            store.on_response(*status, 5_000, &mut rng);
        }
        assert_eq!(store.take_recovered(5_000), recovers, "{name}");
        assert!(!store.take_recovered(5_000), "{name}: twice");
    }
    let mut store = StoreQueue::new(10.0, 10.0);
    let mut noted = Vec::new();
    for now in [5_000, 5_400, 5_800, 6_200] {
        store.on_response(0, now, &mut rng);
        store.on_response(200, now, &mut rng);
        noted.push(store.take_recovered(now));
    }
    assert_eq!(noted, [true, false, false, true]);
}
