use super::*;

fn model_server_jobs() -> ModelServerJobs {
    let job = |n: u32| JobId::new(&format!("j-00000{n}"));
    let burst = |job, replicas| BurstJob {
        at_s: 80.0,
        job,
        replicas,
    };
    ModelServerJobs {
        all: (0..3).map(job).collect(),
        bursts: vec![burst(job(1), 2), burst(job(2), 1)],
    }
}

/// Job number, task index and time in milliseconds of each answer; expected number of answers,
/// first latency, and latency of the last answer.
type Case = (&'static [(u32, u32, u64)], u64, Option<u64>, Option<u64>);

/// Answers of other jobs than bursts must not count, and the time until all replicas answered
/// must be absent until each of them has.
#[test]
fn burst_latencies_count_from_the_submission() {
    let answer = |(job, index, at_ms): (u32, u32, u64)| {
        let task = TaskRef {
            job: JobId::new(&format!("j-00000{job}")),
            index,
        };
        (task, Duration::from_millis(at_ms))
    };
    let cases: [Case; 4] = [
        (&[], 0, None, None),
        (&[(0, 0, 20_000)], 0, None, None),
        (&[(0, 0, 20_000), (1, 0, 80_250)], 1, Some(250), None),
        (
            &[(1, 0, 80_250), (1, 1, 80_100), (2, 0, 95_000)],
            3,
            Some(100),
            Some(15_000),
        ),
    ];
    for (answers, answered, first, all) in cases {
        let found =
            model_server_jobs().burst_summary(&answers.iter().copied().map(answer).collect());
        let expected = BurstSummary {
            replicas: 3,
            answered,
            first_answer_ms: first,
            all_answered_ms: all,
        };
        assert_eq!(found, expected, "{answers:?}");
    }
}
