//! Tests of `workers`.

use super::*;

#[test]
fn heartbeat_is_decoded_from_protocol_field_names() {
    let text = r#"{"berth":"host-000231","addr":"10.1.0.232:9000","rig":"g8","yard":"a","loaner":true,
        "watch":1,"tally":88,"baton":41,"recall_s":null,"news":{"x":1},
        "shifts":[{"shift":"j-000412/3","try":2,"stage":"running"},
                  {"shift":"j-000398/0","try":1,"stage":"exited","cause":"stopped","stored":true}]}"#;
    let heartbeat: WorkerHeartbeat = serde_json::from_str(text).unwrap();
    assert_eq!(
        (heartbeat.incarnation, heartbeat.sequence, heartbeat.token),
        (1, 88, 41)
    );
    assert!(heartbeat.spot && heartbeat.reclaim_notice_s.is_none());
    assert_eq!(heartbeat.tasks[0].stage, TaskStage::Running);
    assert_eq!(heartbeat.tasks[1].cause, Some(ExitCause::Stopped));
    assert!(heartbeat.tasks[1].checkpoint_saved);
}

#[test]
fn command_is_encoded_with_protocol_field_names() {
    let command = Command {
        verb: Verb::Stop,
        task: "j-000377/1".parse().unwrap(),
        attempt: 1,
        grace_s: Some(10.0),
    };
    assert_eq!(
        serde_json::to_value(&command).unwrap(),
        serde_json::json!({"verb":"kill","shift":"j-000377/1","try":1,"leave_s":10.0})
    );
}
