use super::*;
use forkshift_wire::JobId;

/// Waits until a condition holds. Returns false if it does not within 10 seconds.
fn becomes_true_within_10_s(condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Guards against first answers that are recorded before a replica has loaded its weights: one
/// that becomes ready later answers then, and one that never does has no answer.
#[test]
fn a_replica_answers_once_it_is_ready() {
    let replica = |index, is_ready| Replica {
        task: TaskRef {
            job: JobId::new("j-000001"),
            index,
        },
        // An address that no run uses: workers are counted from 1.
        machine: MachineId::new("host-0"),
        is_ready,
    };
    let servers = ModelServers::start(Instant::now());
    servers.set_replicas(vec![replica(0, true), replica(1, false), replica(2, false)]);
    assert!(becomes_true_within_10_s(
        || servers.first_answers().len() == 1
    ));
    servers.set_replicas(vec![replica(0, true), replica(1, true), replica(2, false)]);
    assert!(becomes_true_within_10_s(
        || servers.first_answers().len() == 2
    ));
    let answered: Vec<u32> = servers
        .first_answers()
        .keys()
        .map(|task| task.index)
        .collect();
    assert_eq!(answered, vec![0, 1]);
}
