//! Golden encodings of the messages of the cloud.

use crate::case::{compare, reencode, round_trip, texts};
use forkshift_wire::cloud::*;
use forkshift_wire::MachineId;

fn machines(names: &[&str]) -> Vec<MachineId> {
    names.iter().map(|name| MachineId::new(name)).collect()
}

fn machine_type() -> MachineType {
    MachineType {
        name: "big".to_owned(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.5,
        price_per_hour: 12.25,
        spot_price_per_hour: Some(4.75),
        boot_s: 45.0,
        zones: texts(&["hall-a", "hall-b"]),
    }
}

#[test]
fn messages_are_encoded_as_before() {
    let catalog = Catalog {
        types: vec![machine_type()],
    };
    let request = ProvisionRequest {
        request_name: "r-1".to_owned(),
        machine_type: "big".to_owned(),
        zone: "hall-a".to_owned(),
        spot: true,
        count: 7,
    };
    let list = MachineList {
        machines: vec![ListedMachine {
            id: MachineId::new("m-1"),
            addr: "10.1.0.1:9000".to_owned(),
            machine_type: "big".to_owned(),
            zone: "hall-a".to_owned(),
            spot: true,
            stage: MachineStage::Running,
            age_s: 61.5,
        }],
        has_next: true,
    };
    let names = MachineIds {
        machines: machines(&["m-1", "m-2"]),
    };
    let cases = [
        round_trip("catalog", &catalog),
        reencode::<MachineType>(
            "rig_fields_left_out",
            r#"{"name":"s","cpus":1,"mem_gb":2,"hourly":3}"#,
        ),
        round_trip("charter", &request),
        round_trip("berths", &names),
        round_trip("list", &list),
        reencode::<MachineList>(
            "list_fields_left_out",
            r#"{"berths":[{"uid":"m","rig":"r","yard":"y","stage":"failed"}]}"#,
        ),
        round_trip("stage_booting", &MachineStage::Booting),
        round_trip("stage_running", &MachineStage::Running),
        round_trip("stage_failed", &MachineStage::Failed),
        round_trip("stage_unknown", &MachineStage::Unknown),
        reencode::<MachineStage>("stage_other", r#""sunk""#),
    ];
    compare(include_str!("cloud.tsv"), &cases);
}
