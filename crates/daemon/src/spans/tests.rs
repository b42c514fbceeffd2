//! Tests of `spans`.

use super::SpanTimes;

#[test]
fn exited_spans_are_summarised_by_name_once() {
    let times = SpanTimes::default();
    assert_eq!(times.take_summary(), None, "no span was exited");
    tracing::subscriber::with_default(times.clone(), || {
        for _ in 0..3 {
            let _outer = tracing::debug_span!("outer").entered();
            let _inner = tracing::debug_span!("inner").entered();
        }
        let _open = tracing::debug_span!("open").entered();
        let line = times.take_summary().expect("spans were exited");
        assert!(
            line.contains("outer 3 in ") && line.contains("inner 3 in "),
            "{line}"
        );
        assert!(
            !line.contains("open"),
            "a span that is not exited should not be in the summary: {line}"
        );
    });
    let line = times.take_summary().expect("the open span was exited");
    assert!(line.starts_with("open 1 in "), "{line}");
    assert!(
        times.lock().open.is_empty(),
        "closed spans should be removed"
    );
}
