//! Tests of rates and token buckets.

use super::*;

/// A bucket with a rate of ten tokens per second that is full at 0 ms.
fn bucket() -> TokenBucket {
    TokenBucket::new(10.0)
}

/// Forced calls may exceed the available tokens, but the debt is at most the larger of one
/// second's worth of tokens and the size of the call. An unbounded debt would block all other
/// calls for long.
#[test]
fn debt_of_forced_calls_is_bounded() {
    // Sizes of the forced calls, and the time at which a token is available again, in ms.
    let cases: [(&[f64], Ms); 4] = [
        (&[10.0], 100),
        (&[10.0, 5.0], 600),
        (&[10.0, 10.0, 10.0, 10.0], 1_100),
        (&[30.0], 2_100),
    ];
    for (calls, available_at) in cases {
        for (now, is_available) in [(available_at - 1, false), (available_at, true)] {
            let mut bucket = bucket();
            for n in calls {
                assert!(bucket.take(*n, true), "{calls:?}");
            }
            bucket.refill(now);
            assert_eq!(
                bucket.take(1.0, false),
                is_available,
                "{calls:?} at {now} ms"
            );
        }
    }
}

/// Calls above a reserve leave the reserve in the bucket, but a full bucket serves calls of any
/// size: a call larger than the bucket could otherwise never be sent.
#[test]
fn the_reserve_is_left_unless_the_bucket_is_full() {
    // Tokens taken before, size of the call, the reserve, and whether the call is served.
    let cases = [
        (0.0, 8.0, 2.0, true),
        (1.0, 8.0, 2.0, false),
        (0.0, 9.0, 2.0, true),
        (0.0, 50.0, 2.0, true),
        (1.0, 50.0, 2.0, false),
        (5.0, 5.0, 0.0, true),
    ];
    for (taken, n, reserve, is_served) in cases {
        let mut bucket = bucket();
        assert!(bucket.take(taken, false));
        let served = bucket.take_above_reserve(n, reserve);
        assert_eq!(served, is_served, "{n} after {taken}, reserve {reserve}");
    }
}

/// The unit of peer messages has a resolution of a thousandth of a call per second.
#[test]
fn rates_survive_conversion_to_message_units() {
    let rate = StoreRate {
        requests: 12.5,
        writes: 0.125,
    };
    let (requests, writes) = rate.as_milli();
    assert_eq!((requests, writes), (12_500, 125));
    assert_eq!(StoreRate::from_milli(requests, writes), rate);
}
