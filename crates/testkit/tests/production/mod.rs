//! A frozen copy of what the first release reads and writes: its records and
//! its messages. It is not kept in step with the code on purpose.

#![allow(missing_docs)]

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use serde_json::Value;

fn is_never(t: &u64) -> bool {
    *t == 0
}

fn is_none(n: &u32) -> bool {
    *n == 0
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "uid")]
    pub id: String,
    #[serde(rename = "roster")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "rank")]
    pub priority: Priority,
    #[serde(rename = "shifts")]
    pub tasks: u32,
    pub cpus: f64,
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    #[serde(rename = "kit")]
    pub image: String,
    pub image_gb: f64,
    #[serde(rename = "rigs", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    #[serde(rename = "scatter")]
    pub spread: bool,
    #[serde(rename = "loaner")]
    pub spot: bool,
    #[serde(rename = "expect_s")]
    pub estimate_s: f64,
    #[serde(rename = "bookmark_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "batch")]
    Array,
    #[serde(rename = "group")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "idle")]
    Low,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "production")]
    Production,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobStage {
    #[serde(rename = "pending")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    pub inc: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub blind: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    pub inc: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareRecord {
    pub holder: String,
    pub inc: u64,
    pub epoch: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub want: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    pub share: u32,
    #[serde(rename = "type")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub condemned: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub want: Option<u32>,
    #[serde(default)]
    pub floor: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(String, f64)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentalIntent {
    pub parts: Vec<(u32, u32)>,
    #[serde(rename = "type")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    #[serde(default, skip_serializing_if = "is_none")]
    pub placed: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandRecord {
    pub rev: u64,
    pub shapes: Vec<ShapeRecord>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub now: Vec<ShapeRecord>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub free: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub surplus: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub borrowed: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShapeRecord {
    pub res: (i64, i64, i64),
    pub n: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<Vec<String>>,
    #[serde(default)]
    pub spot: bool,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub spare: bool,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reclaims: bool,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub borrows: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    pub share: u32,
    pub stage: JobStage,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobHeadRecord {
    pub spec: JobSpec,
    #[serde(default)]
    pub cancelled: bool,
    #[serde(default, skip_serializing_if = "is_never")]
    pub cancelled_at: u64,
    #[serde(default)]
    pub at: u64,
    #[serde(default)]
    pub block: TaskBlockRecord,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskBlockRecord {
    #[serde(default)]
    pub next: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bound: Vec<(u32, u64, String)>,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    pub version: u16,
    pub from: String,
    pub inc: u64,
    pub epoch: u64,
    pub body: Body,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Body {
    NewJob {
        share: u32,
        spec: String,
        at: u64,
        revision: u64,
    },
    Need {
        writes: u32,
        requests: u32,
        granted: bool,
    },
    Grant {
        writes: u32,
        requests: u32,
    },
    Demand {
        share: u32,
        demand: String,
    },
    Cancel {
        id: String,
    },
    Forward {
        ask: u64,
        method: String,
        path: String,
        body: Option<Vec<u8>>,
    },
    Heartbeat(Heartbeat),
    Answer {
        inc: u64,
        ask: u64,
        status: u16,
        body: Vec<u8>,
        retry_after_s: Option<u32>,
    },
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Heartbeat {
    pub sent: u64,
    pub echo: Option<Echo>,
    pub epochs: Option<Vec<(u32, u64)>>,
    pub refused_for: Option<u64>,
    pub settled: Vec<Settled>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Echo {
    pub inc: u64,
    pub sent: u64,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Settled {
    pub share: u32,
    pub unsettled: Vec<String>,
}

/// Reads a record as the first release does, and writes it again.
pub fn rewrite(key: &str, value: &Value) -> Result<Value, serde_json::Error> {
    fn through<T: Serialize + for<'de> Deserialize<'de>>(
        value: &Value,
    ) -> Result<Value, serde_json::Error> {
        let record: T = serde_json::from_value(value.clone())?;
        serde_json::to_value(record)
    }
    let parts: Vec<&str> = key.split('/').collect();
    match parts.as_slice() {
        ["c", "node", _] => through::<NodeRecord>(value),
        ["c", "leader"] => through::<LeaderRecord>(value),
        ["c", "share", _] => through::<ShareRecord>(value),
        ["c", "machine", _] => through::<MachineRecord>(value),
        ["c", "charter", _] => through::<RentalIntent>(value),
        ["c", "demand", _] => through::<DemandRecord>(value),
        ["job", _] => through::<JobRecord>(value),
        ["live", _, _] => through::<JobHeadRecord>(value),
        ["live", _, _, block] if block.parse::<u32>().is_ok() => through::<TaskBlockRecord>(value),
        ["c", "epoch"] | ["c", "rig" | "abort", _] => Ok(value.clone()),
        _ => Err(serde::de::Error::custom(format!("{key} is not known"))),
    }
}

/// Reads a message as the first release does.
pub fn read_message(bytes: &[u8]) -> Result<Envelope, std::io::Error> {
    let message: Envelope = borsh::from_slice(bytes)?;
    match message.version {
        5 => Ok(message),
        other => Err(std::io::Error::other(format!("version {other}"))),
    }
}
