//! Golden encodings of the messages of workers.

use crate::case::{compare, reencode, round_trip, texts, Case};
use forkshift_wire::workers::*;
use forkshift_wire::{JobId, MachineId, TaskRef};

fn task(index: u32) -> TaskRef {
    TaskRef {
        job: JobId::parse("j-000412").expect("an id"),
        index,
    }
}

fn heartbeat() -> WorkerHeartbeat {
    let ended = TaskStatus {
        task: task(3),
        attempt: 2,
        stage: TaskStage::Exited,
        cause: Some(ExitCause::Done),
        checkpoint_saved: true,
    };
    let running = TaskStatus {
        task: task(4),
        attempt: 1,
        stage: TaskStage::Running,
        cause: None,
        checkpoint_saved: false,
    };
    WorkerHeartbeat {
        machine: MachineId::new("m-1"),
        addr: "10.1.0.1:9000".to_owned(),
        machine_type: "big".to_owned(),
        zone: "hall-a".to_owned(),
        spot: true,
        incarnation: 11,
        sequence: 12,
        token: 13,
        reclaim_notice_s: Some(29.5),
        tasks: vec![ended, running],
        images: Some(HeldImages {
            held: texts(&["train:7"]),
            fetching: texts(&["train:8"]),
        }),
    }
}

fn commands() -> Vec<Command> {
    let command = |verb, index, grace_s| Command {
        verb,
        task: task(index),
        attempt: 9,
        grace_s,
    };
    vec![
        command(Verb::Start, 0, None),
        command(Verb::Stop, 1, Some(2.5)),
        command(Verb::Forget, 2, None),
    ]
}

fn command_request(prefetch: Vec<Prefetch>) -> CommandRequest {
    CommandRequest {
        token: 13,
        incarnation: 11,
        commands: commands(),
        prefetch,
    }
}

fn heartbeat_cases() -> Vec<Case> {
    let minimal = WorkerHeartbeat {
        spot: false,
        token: 0,
        reclaim_notice_s: None,
        tasks: Vec::new(),
        images: None,
        ..heartbeat()
    };
    let short = r#"{"berth":"m-1","addr":"a:1","rig":"big","yard":"y","watch":1,"tally":2}"#;
    vec![
        round_trip("report_full", &heartbeat()),
        round_trip("report_least", &minimal),
        reencode::<WorkerHeartbeat>("report_fields_left_out", short),
        reencode::<TaskStatus>(
            "shift_fields_left_out",
            r#"{"shift":"j-1/0","try":1,"stage":"running"}"#,
        ),
        round_trip("kits_none", &HeldImages::default()),
        reencode::<HeldImages>("kits_fields_left_out", r#"{"held":["a"]}"#),
        round_trip("stage_fetching", &TaskStage::Fetching),
        round_trip("stage_gathering", &TaskStage::WaitingForGang),
        round_trip("stage_running", &TaskStage::Running),
        round_trip("stage_flushing", &TaskStage::Saving),
        round_trip("stage_exited", &TaskStage::Exited),
        round_trip("cause_done", &ExitCause::Done),
        round_trip("cause_stopped", &ExitCause::Stopped),
        round_trip("cause_peers", &ExitCause::GangMemberLost),
        round_trip("cause_alone", &ExitCause::GangTimeout),
        round_trip("cause_error", &ExitCause::Error),
        round_trip("cause_full", &ExitCause::InsufficientResources),
        round_trip("cause_in_use", &ExitCause::OtherAttemptPresent),
        round_trip("cause_no_such", &ExitCause::UnknownTask),
    ]
}

fn command_cases() -> Vec<Case> {
    let image = Prefetch {
        image: "train:8".to_owned(),
        image_gb: 4.5,
    };
    let reply = HeartbeatReply {
        token: 13,
        commands: commands(),
    };
    let redirect = Redirect {
        holder_addr: Some("10.0.0.1:8080".to_owned()),
    };
    vec![
        round_trip("orders_full", &command_request(vec![image])),
        round_trip("orders_least", &command_request(Vec::new())),
        round_trip("report_accepted", &reply),
        round_trip("report_to_another", &redirect),
        round_trip("report_to_nobody", &Redirect::default()),
    ]
}

#[test]
fn messages_are_encoded_as_before() {
    let cases = [heartbeat_cases(), command_cases()].concat();
    compare(include_str!("workers.tsv"), &cases);
}
