use super::{classify, ClassifiedRequest, RequestCategory};

#[test]
fn requests_are_classified_by_path_and_keys() {
    let cases: [(&str, &str, &str, RequestCategory, &[RequestCategory]); 7] = [
        (
            "GET",
            "/changes?starts=c/&from=4",
            "",
            RequestCategory::Watch,
            &[],
        ),
        (
            "POST",
            "/grants/7/extend",
            "{}",
            RequestCategory::Lease,
            &[],
        ),
        ("GET", "/kv?starts=live/3/", "", RequestCategory::Read, &[]),
        (
            "POST",
            "/txn",
            r#"{"if":[],"writes":[{"put":"job/j-1","data":1},{"put":"live/0/j-1","data":1}]}"#,
            RequestCategory::Job,
            &[RequestCategory::Job, RequestCategory::Task],
        ),
        (
            "POST",
            "/txn",
            r#"{"if":[],"writes":[{"put":"live/0/j-1/2","data":1}]}"#,
            RequestCategory::Task,
            &[RequestCategory::Task],
        ),
        (
            "POST",
            "/txn",
            r#"{"if":[{"key":"c/leader","stamp":3}],"writes":[{"remove":"c/machine/m"}]}"#,
            RequestCategory::Membership,
            &[RequestCategory::Machine],
        ),
        ("POST", "/txn", "not JSON", RequestCategory::Other, &[]),
    ];
    for (method, path, body, category, writes) in cases {
        let expected = ClassifiedRequest {
            category,
            writes: writes.to_vec(),
        };
        let classified = classify(method, path, body.as_bytes());
        assert_eq!(classified, expected, "{path} {body}");
    }
}
