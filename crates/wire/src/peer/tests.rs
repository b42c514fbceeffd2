//! Tests of `peer`.

use super::*;

#[test]
fn malformed_or_unsupported_message_is_refused() {
    let message = Envelope {
        version: LATEST_VERSION,
        from: "berth-1".to_owned(),
        incarnation: 7,
        epoch: 3,
        body: Body::CancelJob {
            id: "j-1".to_owned(),
        },
    };
    let encoded = message.encode().unwrap();
    assert_eq!(Envelope::decode(&encoded).unwrap(), message);
    let mut other_version = encoded.clone();
    other_version[0] = 1;
    let mut unknown_body = encoded.clone();
    let tag_offset = unknown_body.len() - 8;
    unknown_body[tag_offset] = 9;
    let mut trailing_byte = encoded.clone();
    trailing_byte.push(0);
    // The encoded length of the sender's name is larger than the message.
    let mut excessive_length = encoded.clone();
    excessive_length[2..6].copy_from_slice(&u32::MAX.to_le_bytes());
    let cases = [
        ("empty", vec![]),
        ("truncated", encoded[..encoded.len() - 1].to_vec()),
        ("half a version", encoded[..1].to_vec()),
        ("trailing byte", trailing_byte),
        ("another version", other_version),
        ("unknown body", unknown_body),
        ("excessive length", excessive_length),
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

/// A message is sent with the oldest version that supports its body, so that controllers of
/// the first release can decode every message whose body they support.
#[test]
fn message_has_the_oldest_version_that_supports_its_body() {
    let ended = Body::JobEnded {
        id: "j-1".to_owned(),
        cancelled: true,
    };
    let inherited = Body::InheritPriority {
        id: "j-1".to_owned(),
        priority: 2,
    };
    let grant = Body::BudgetGrant {
        writes: 1,
        requests: 2,
    };
    for (body, version) in [(ended, 6), (inherited, 6), (grant, 5)] {
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
