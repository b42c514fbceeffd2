use super::{process_use, ProcessUse, Report};
use crate::metrics::Metrics;
use crate::pools::{BurstFigures, PoolFigures};
use crate::process::ProcessUsage;
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
    let figures = |cpu_s| ProcessUsage {
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

/// A report in which every field has a value of its own.
fn full() -> Report {
    let mut metrics = Metrics::default();
    let priorities = [
        Priority::Low,
        Priority::Normal,
        Priority::High,
        Priority::Production,
    ];
    for (n, priority) in priorities.into_iter().enumerate() {
        let after = 100 * (n as u64 + 1);
        metrics.note_observations(&[StartSeen { priority, after }], &[after / 10]);
    }
    for (status, took_ms) in [(200, 3), (200, 4), (200, 5), (421, 6), (0, 7), (503, 8)] {
        metrics.note_report(status, took_ms);
    }
    metrics.note_worker_traffic(Traffic {
        sent: 8_000,
        received: 400,
    });
    metrics.commands = 4;
    let purposes = [
        Purpose::Watch,
        Purpose::Lease,
        Purpose::Read,
        Purpose::Membership,
        Purpose::Machine,
        Purpose::Renting,
        Purpose::Job,
        Purpose::Task,
        Purpose::Cancellation,
        Purpose::Other,
    ];
    for purpose in purposes {
        metrics.note_state((purpose, vec![Purpose::Job]), 200);
    }
    metrics.note_state((Purpose::Watch, Vec::new()), 429);
    metrics.note_behind(41);
    let mut report = Report {
        site: "full".to_owned(),
        seed: 7,
        interrupted: true,
        duration_s: 60.0,
        measured_s: 4.0,
        rules_broken: vec!["a rule: how".to_owned()],
        workers: 2,
        workers_asked: 3,
        controllers: 5,
        controllers_ended: 1,
        teams: 6,
        tasks_running: 8,
        jobs_accepted: 14,
        jobs_done: 2,
        jobs_cancelled: 3,
        jobs_running: 4,
        jobs_waiting: 5,
        replicas_restarted: 9,
        hollow_use: process("hollow", 1.5),
        burst: Some(BurstFigures {
            replicas: 6,
            answered: 5,
            first_answer_ms: Some(1_200),
            all_answered_ms: None,
        }),
        pools: Some(PoolFigures {
            machines: 4,
            asked_s: 100.25,
            short_s: 10.5,
            warm_s: 80.75,
            cost: 1.25,
            cloud_cost: 1.5,
            largest_difference_s: 0.125,
            handed_out: 3,
            missed: 2,
            reclaimed: 1,
            lost: 5,
            mistakes: vec!["a mistake".to_owned()],
            reported_cost: Some(1.75),
        }),
        ..Report::default()
    };
    report.fill(&metrics);
    report.fill_controllers(vec![process("berth-0", 0.25), process("berth-1", 0.5)]);
    report
}

fn process(name: &str, cpu_cores: f64) -> ProcessUse {
    ProcessUse {
        name: name.to_owned(),
        cpu_cores,
        resident_mb: cpu_cores * 100.0,
    }
}

/// A report's JSON and table have the forms in `golden/`, and the JSON is read back.
#[test]
fn golden_reports_keep_their_forms() {
    let reports = [full(), Report::default()];
    let json = reports
        .iter()
        .map(|r| serde_json::to_string(r).expect("JSON") + "\n");
    let json: String = json.collect();
    assert!(json == include_str!("golden/reports.jsonl"), "{json}");
    let tables: Vec<String> = reports.iter().map(Report::to_string).collect();
    let tables = tables.join("\n");
    assert!(tables == include_str!("golden/tables.txt"), "{tables}");
    let stored = include_str!("golden/reports.jsonl").lines();
    let read: Vec<Report> = stored
        .map(|line| serde_json::from_str(line).expect("a report"))
        .collect();
    assert_eq!(read, reports);
}
