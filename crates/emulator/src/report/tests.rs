use super::{ProcessLoad, Report};
use crate::metrics::Metrics;
use crate::pools::{BurstSummary, PoolSummary};
use crate::process::ProcessUsage;
use crate::request_category::{ClassifiedRequest, RequestCategory};
use forkshift_net::Traffic;
use forkshift_testkit::FirstStart;
use forkshift_wire::users::Priority;

fn request(category: RequestCategory, writes: &[RequestCategory]) -> ClassifiedRequest {
    ClassifiedRequest {
        category,
        writes: writes.to_vec(),
    }
}

/// Metrics of a measurement of ten seconds with two workers.
fn metrics_of_two_workers() -> Metrics {
    let mut metrics = Metrics::default();
    let start = |after| FirstStart {
        priority: Priority::High,
        after_ms: after,
    };
    let starts: Vec<FirstStart> = (1..=100).map(|n| start(n * 10)).collect();
    metrics.record_observations(&starts, &[5, 15]);
    for status in [200, 200, 421, 0] {
        metrics.record_heartbeat(status, 3);
    }
    metrics.record_worker_traffic(Traffic {
        sent: 8_000,
        received: 400,
    });
    metrics.commands = 4;
    metrics.record_store_request(
        &request(
            RequestCategory::Job,
            &[RequestCategory::Job, RequestCategory::Task],
        ),
        200,
    );
    metrics.record_store_request(&request(RequestCategory::Job, &[RequestCategory::Job]), 409);
    metrics.record_store_request(&request(RequestCategory::Watch, &[]), 429);
    metrics
}

/// Guards against rates that count failed writes, or values from before the warm-up's end.
#[test]
fn report_has_rates_and_latency_summaries_of_the_metrics() {
    let mut metrics = metrics_of_two_workers();
    let mut report = Report {
        workers: 2,
        measured_s: 10.0,
        ..Report::default()
    };
    report.set_metrics(&metrics);
    assert_eq!((report.task_starts, report.starts_per_s), (100, 10.0));
    let high = report.start_latencies["high"];
    assert_eq!((high.count, high.median_ms), (100, 500));
    assert!((989..=991).contains(&high.p99_ms), "{high:?}");
    assert_eq!(report.submissions.count, 2);
    assert_eq!(
        (report.heartbeats_failed, report.heartbeats_redirected),
        (1, 1)
    );
    assert_eq!(
        report.messages_per_worker_s, 0.4,
        "4 heartbeats and 4 commands"
    );
    assert_eq!(report.sent_per_worker_s, 400.0);
    let store = |name: &str| {
        (
            report.store[name].requests_per_s,
            report.store[name].writes_per_s,
        )
    };
    assert_eq!(store("job"), (0.2, 0.1), "what fails changes nothing");
    assert_eq!(store("task"), (0.0, 0.1));
    assert!((report.store_total.requests_per_s - 0.3).abs() < 1e-9);
    assert_eq!(report.store_requests_refused, 1);
    metrics.reset();
    report.set_metrics(&metrics);
    assert_eq!(report.task_starts, 0, "the warm-up is not counted");
}

#[test]
fn report_is_equal_after_serialization_to_json_and_back() {
    let usage = |cpu_s| ProcessUsage {
        cpu_s,
        resident_kib: 2_048,
    };
    let load = ProcessLoad::between("berth-0", usage(1.0), usage(3.0), 10.0);
    assert_eq!((load.cpu_cores, load.resident_mb), (0.2, 2.0));
    let mut report = Report::default();
    report.set_controller_loads(vec![load.clone(), load]);
    assert_eq!(report.controllers_cpu_cores, 0.4);
    let text = serde_json::to_string(&report).expect("JSON");
    let back: Report = serde_json::from_str(&text).expect("the same");
    assert_eq!(back, report);
}

/// Metrics in which each field has a different value, so that swapped fields are found.
fn full_metrics() -> Metrics {
    let mut metrics = Metrics::default();
    let priorities = [
        Priority::Low,
        Priority::Normal,
        Priority::High,
        Priority::Production,
    ];
    for (n, priority) in priorities.into_iter().enumerate() {
        let after = 100 * (n as u64 + 1);
        metrics.record_observations(
            &[FirstStart {
                priority,
                after_ms: after,
            }],
            &[after / 10],
        );
    }
    for (status, took_ms) in [(200, 3), (200, 4), (200, 5), (421, 6), (0, 7), (503, 8)] {
        metrics.record_heartbeat(status, took_ms);
    }
    metrics.record_worker_traffic(Traffic {
        sent: 8_000,
        received: 400,
    });
    metrics.commands = 4;
    let categories = [
        RequestCategory::Watch,
        RequestCategory::Lease,
        RequestCategory::Read,
        RequestCategory::Membership,
        RequestCategory::Machine,
        RequestCategory::Provisioning,
        RequestCategory::Job,
        RequestCategory::Task,
        RequestCategory::Cancellation,
        RequestCategory::Other,
    ];
    for category in categories {
        metrics.record_store_request(&request(category, &[RequestCategory::Job]), 200);
    }
    metrics.record_store_request(&request(RequestCategory::Watch, &[]), 429);
    metrics.record_lag(41);
    metrics
}

fn full_burst() -> BurstSummary {
    BurstSummary {
        replicas: 6,
        answered: 5,
        first_answer_ms: Some(1_200),
        all_answered_ms: None,
    }
}

fn full_pools() -> PoolSummary {
    PoolSummary {
        machines: 4,
        requested_s: 100.25,
        unmet_s: 10.5,
        warm_s: 80.75,
        cost: 1.25,
        cloud_cost: 1.5,
        max_cost_difference_s: 0.125,
        allocated: 3,
        cold_starts: 2,
        reclaimed: 1,
        lost: 5,
        discrepancies: vec!["a mistake".to_owned()],
        reported_cost: Some(1.75),
    }
}

/// A report in which each field has a different value, so that swapped fields are found.
fn full_report() -> Report {
    let mut report = Report {
        site: "full".to_owned(),
        seed: 7,
        interrupted: true,
        duration_s: 60.0,
        measured_s: 4.0,
        rule_violations: vec!["a rule: how".to_owned()],
        workers: 2,
        workers_expected: 3,
        controllers: 5,
        controllers_exited: 1,
        teams: 6,
        tasks_running: 8,
        jobs_accepted: 14,
        jobs_done: 2,
        jobs_cancelled: 3,
        jobs_running: 4,
        jobs_pending: 5,
        replicas_restarted: 9,
        emulator_load: process_load("hollow", 1.5),
        burst: Some(full_burst()),
        pools: Some(full_pools()),
        ..Report::default()
    };
    report.set_metrics(&full_metrics());
    report.set_controller_loads(vec![
        process_load("berth-0", 0.25),
        process_load("berth-1", 0.5),
    ]);
    report
}

fn process_load(name: &str, cpu_cores: f64) -> ProcessLoad {
    ProcessLoad {
        name: name.to_owned(),
        cpu_cores,
        resident_mb: cpu_cores * 100.0,
    }
}

/// Reports keep the JSON and the table in `golden/`, and a stored JSON report is read back
/// unchanged. Sweeps read the JSON of their runs.
#[test]
fn golden_reports_keep_their_forms() {
    let reports = [full_report(), Report::default()];
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
