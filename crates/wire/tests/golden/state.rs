//! Golden encodings of the messages of the key-value store.

use crate::case::{compare, reencode, round_trip, texts};
use forkshift_wire::state::*;
use serde_json::json;

fn transaction() -> Transaction {
    Transaction {
        preconditions: vec![Precondition {
            key: "c/leader".to_owned(),
            version: 3,
        }],
        writes: vec![
            Write::Put {
                key: "c/leader".to_owned(),
                value: json!({"x": 1}),
                lease: Some(7),
            },
            Write::put("c/epoch".to_owned(), json!(4)),
            Write::Remove {
                key: "job/j-1".to_owned(),
            },
        ],
    }
}

#[test]
fn messages_are_encoded_as_before() {
    let item = Item {
        key: "c/epoch".to_owned(),
        value: json!({"b": 1, "a": [1.5, null, "x"]}),
        version: 17,
    };
    let page = Page {
        items: vec![item.clone()],
        has_next: true,
        revision: 18,
    };
    let reply = TransactionReply {
        revision: 19,
        failed: texts(&["c/leader"]),
    };
    let changes = Changes {
        revision: 20,
        events: vec![
            Change::Put {
                key: "c/epoch".to_owned(),
                value: json!(5),
                version: 20,
            },
            Change::Remove {
                key: "c/leader".to_owned(),
                version: 19,
            },
        ],
    };
    let cases = [
        round_trip("item", &item),
        reencode::<Item>("item_fields_left_out", r#"{"data":1,"stamp":2}"#),
        round_trip("page", &page),
        reencode::<Page>("page_fields_left_out", r#"{"items":[],"ledger_rev":1}"#),
        round_trip("txn_full", &transaction()),
        round_trip("txn_least", &Transaction::default()),
        reencode::<Transaction>("txn_fields_left_out", "{}"),
        round_trip("txn_reply", &reply),
        reencode::<TransactionReply>("txn_reply_fields_left_out", "{}"),
        round_trip("grant", &LeaseRequest { ttl_ms: 4000 }),
        round_trip("grant_reply", &LeaseReply { lease: 7 }),
        round_trip("changes", &changes),
        reencode::<Changes>("changes_fields_left_out", r#"{"ledger_rev":1}"#),
    ];
    compare(include_str!("state.tsv"), &cases);
}
