use super::{process_use, Report};
use crate::metrics::Metrics;
use crate::process::ProcessFigures;
use crate::purpose::Purpose;
use forkshift_net::Traffic;
use forkshift_testkit::StartSeen;
use forkshift_wire::users::Priority;

#[test]
fn sums_and_rates_are_right() {
    let mut metrics = Metrics::default();
    let start = |after| StartSeen {
        priority: Priority::High,
        after,
    };
    let starts: Vec<StartSeen> = (1..=100).map(|n| start(n * 10)).collect();
    metrics.note_observations(&starts, &[5, 15]);
    for status in [200, 200, 421, 0] {
        metrics.note_report(status, 3);
    }
    metrics.note_worker_traffic(Traffic {
        sent: 8_000,
        received: 400,
    });
    metrics.commands = 4;
    metrics.note_state((Purpose::Job, vec![Purpose::Job, Purpose::Task]), 200);
    metrics.note_state((Purpose::Job, vec![Purpose::Job]), 409);
    metrics.note_state((Purpose::Watch, Vec::new()), 429);
    let mut report = Report {
        workers: 2,
        measured_s: 10.0,
        ..Report::default()
    };
    report.fill(&metrics);
    assert_eq!((report.task_starts, report.starts_per_s), (100, 10.0));
    let high = report.start_times["high"];
    assert_eq!((high.count, high.median_ms), (100, 500));
    assert!((989..=991).contains(&high.p99_ms), "{high:?}");
    assert_eq!(report.submissions.count, 2);
    assert_eq!((report.reports_failed, report.reports_redirected), (1, 1));
    assert_eq!(
        report.messages_per_worker_s, 0.4,
        "4 reports and 4 commands"
    );
    assert_eq!(report.sent_per_worker_s, 400.0);
    let state = |name: &str| {
        (
            report.state[name].requests_per_s,
            report.state[name].changes_per_s,
        )
    };
    assert_eq!(state("job"), (0.2, 0.1), "what fails changes nothing");
    assert_eq!(state("task"), (0.0, 0.1));
    assert!((report.state_total.requests_per_s - 0.3).abs() < 1e-9);
    assert_eq!(report.state_refused, 1);
    metrics.restart();
    report.fill(&metrics);
    assert_eq!(report.task_starts, 0, "the warm-up is not counted");
}

#[test]
fn the_report_is_read_back_as_it_was_written() {
    let figures = |cpu_s| ProcessFigures {
        cpu_s,
        resident_kb: 2_048,
    };
    let used = process_use("berth-0", figures(1.0), figures(3.0), 10.0);
    assert_eq!((used.cpu_cores, used.resident_mb), (0.2, 2.0));
    let mut report = Report::default();
    report.fill_controllers(vec![used.clone(), used]);
    assert_eq!(report.controllers_cpu_cores, 0.4);
    let text = serde_json::to_string(&report).expect("JSON");
    let back: Report = serde_json::from_str(&text).expect("the same");
    assert_eq!(back, report);
}
