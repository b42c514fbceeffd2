use super::{of_request, Purpose};

#[test]
fn requests_are_named_by_what_they_are_for() {
    let cases: [(&str, &str, &str, Purpose, &[Purpose]); 7] = [
        ("GET", "/changes?starts=c/&from=4", "", Purpose::Watch, &[]),
        ("POST", "/grants/7/extend", "{}", Purpose::Lease, &[]),
        ("GET", "/kv?starts=live/3/", "", Purpose::Read, &[]),
        (
            "POST",
            "/txn",
            r#"{"if":[],"writes":[{"put":"job/j-1","data":1},{"put":"live/0/j-1","data":1}]}"#,
            Purpose::Job,
            &[Purpose::Job, Purpose::Task],
        ),
        (
            "POST",
            "/txn",
            r#"{"if":[],"writes":[{"put":"live/0/j-1/2","data":1}]}"#,
            Purpose::Task,
            &[Purpose::Task],
        ),
        (
            "POST",
            "/txn",
            r#"{"if":[{"key":"c/leader","stamp":3}],"writes":[{"remove":"c/machine/m"}]}"#,
            Purpose::Membership,
            &[Purpose::Machine],
        ),
        ("POST", "/txn", "not JSON", Purpose::Other, &[]),
    ];
    for (method, path, body, request, changes) in cases {
        let found = of_request(method, path, body.as_bytes());
        assert_eq!(found, (request, changes.to_vec()), "{path} {body}");
    }
}
