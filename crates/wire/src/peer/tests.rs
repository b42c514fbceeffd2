//! Tests of `peer`.

use super::*;

#[test]
fn only_whole_messages_of_versions_that_are_spoken_are_taken() {
    let message = Envelope {
        version: VERSION,
        from: "berth-1".to_owned(),
        incarnation: 7,
        epoch: 3,
        body: Body::CancelJob {
            id: "j-1".to_owned(),
        },
    };
    let good = message.encode().unwrap();
    assert_eq!(Envelope::decode(&good).unwrap(), message);
    let mut newer = good.clone();
    newer[0] = 1;
    let mut tag = good.clone();
    let at = tag.len() - 8;
    tag[at] = 9;
    let mut long = good.clone();
    long.push(0);
    // A length inside the message that promises more than there is.
    let mut lies = good.clone();
    lies[2..6].copy_from_slice(&u32::MAX.to_le_bytes());
    let cases = [
        ("empty", vec![]),
        ("truncated", good[..good.len() - 1].to_vec()),
        ("half a version", good[..1].to_vec()),
        ("trailing byte", long),
        ("another version", newer),
        ("unknown body", tag),
        ("lying length", lies),
        ("oversized", vec![0; MAX_MESSAGE_BYTES + 1]),
    ];
    for (name, bytes) in cases {
        assert!(Envelope::decode(&bytes).is_err(), "{name}");
    }
    let spec = "x".repeat(MAX_MESSAGE_BYTES);
    let body = Body::NewJob {
        shard: 0,
        spec,
        submitted_at_ms: 0,
        revision: 0,
    };
    assert!(Envelope { body, ..message }.encode().is_err());
}

/// A message goes out under the oldest version that has its body, so that
/// controllers of the first release understand all that they ever did.
#[test]
fn bodies_have_the_oldest_version_that_knows_them() {
    let over = Body::JobEnded {
        id: "j-1".to_owned(),
        cancelled: true,
    };
    let needed = Body::InheritPriority {
        id: "j-1".to_owned(),
        priority: 2,
    };
    let grant = Body::BudgetGrant {
        writes: 1,
        requests: 2,
    };
    for (body, version) in [(over, 6), (needed, 6), (grant, 5)] {
        assert_eq!(body.version(), version);
        let message = Envelope {
            version,
            from: "berth-1".to_owned(),
            incarnation: 7,
            epoch: 3,
            body,
        };
        let bytes = message.encode().unwrap();
        assert_eq!(Envelope::decode(&bytes).unwrap(), message);
    }
}
