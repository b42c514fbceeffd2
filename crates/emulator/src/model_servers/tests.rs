use super::*;
use forkshift_wire::JobId;

/// Waits until a condition holds, for a while.
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

/// A replica answers from the moment at which it has its weights, and one that never
/// gets them never does.
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
