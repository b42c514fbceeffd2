//! Calls in flight, and what is to be done when each of them ends.
//!
//! Pure data: the answers are handled in `node::responses`.

use crate::io::{Reply, RequestId};
use crate::records::ShardId;
use crate::Ms;
use forkshift_pools::account::{PoolRequest, Price};
use forkshift_wire::users::{JobSpec, JobStage};
use forkshift_wire::workers::Command;
use forkshift_wire::{JobId, MachineId, NodeName};

/// The service that a call goes to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Service {
    /// The key-value store.
    Store,
    Cloud,
    Worker,
}

/// A call in flight, with what is needed to handle its answer.
///
/// Calls for a shard name the epoch under which the shard was held; their answers are
/// dropped if it is not held under that epoch any more.
#[derive(Debug)]
pub(crate) enum PendingCall {
    /// Requests a lease.
    LeaseGrant { sent: Ms },
    /// Renews the lease.
    LeaseRenewal { sent: Ms },
    /// Writes this controller's record on a lease.
    NodeRecordWrite { lease: u64 },
    /// Writes or removes the leader's record.
    LeaderRecordWrite,
    /// Requests a worker's status for the holder of its machine.
    ProbeWorker { holder: NodeName },
    /// Reads a page of the records that the view consists of.
    ViewList,
    /// Watches those records.
    ViewWatch {
        /// Number of the watch; the answers to earlier ones do not count.
        serial: u64,
    },
    /// Reads the changes of those records at once.
    ViewPoll,
    /// Assigns shards to controllers under new epochs.
    ShardHandover(Vec<ShardId>),
    /// Reads a page of a shard's jobs.
    ShardList { shard: ShardId, epoch: u64 },
    /// Watches a shard's jobs.
    ShardWatch {
        shard: ShardId,
        epoch: u64,
        /// Number of the watch; the answers to earlier ones do not count.
        serial: u64,
    },
    /// Writes the records of a submission.
    JobCreation(Box<JobCreation>),
    /// Reads the record of a job that is not held here.
    JobLookup {
        request: RequestId,
        id: JobId,
        purpose: LookupPurpose,
        deadline: Ms,
    },
    /// Reads a dependency of a submission.
    AdmissionRead { request: RequestId, id: JobId },
    /// Reads a dependency of an accepted job.
    DependencyRead { id: JobId, sent: Ms },
    /// Writes a cancellation for the holder of the job.
    CancellationWrite(CancellationPoll),
    /// Reads whether the holder has carried a cancellation out.
    CancellationPoll(CancellationPoll),
    /// Writes the records of jobs.
    JobTransaction {
        shard: ShardId,
        epoch: u64,
        jobs: Vec<JobWrite>,
    },
    /// Reads a block of a job's tasks after a conflict.
    JobBlockRead {
        shard: ShardId,
        epoch: u64,
        id: JobId,
        block: u32,
    },
    /// Reads a job's final record after a conflict.
    JobFinalRead {
        shard: ShardId,
        epoch: u64,
        id: JobId,
    },
    /// Writes a machine's record.
    MachineRecordWrite(MachineId),
    /// Reads the requests for pools.
    PoolRecordsRead { shard: ShardId, epoch: u64 },
    /// Writes a request for a pool.
    PoolRequestWrite {
        shard: ShardId,
        epoch: u64,
        request: Box<PoolRequest>,
    },
    /// Writes a row of a pool's account in a transaction of its own.
    PoolRowWrite {
        shard: ShardId,
        epoch: u64,
        key: String,
    },
    /// Writes a machine type's price.
    PriceRowWrite(Box<Price>),
    /// Writes a shard's unmet demand.
    DemandWrite { shard: ShardId },
    /// Removes records; nothing depends on the answer.
    Housekeeping,
    /// Sends commands to a worker.
    Commands {
        shard: ShardId,
        epoch: u64,
        machine: MachineId,
        token: u64,
        commands: Vec<Command>,
    },
    /// Reads the cloud's machine types.
    Catalog,
    /// Reads a page of the cloud's list of machines.
    MachineList {
        /// The machines of earlier pages.
        page: Vec<forkshift_wire::cloud::ListedMachine>,
    },
    /// Records the intent to provision machines.
    ProvisioningIntentWrite { request: String },
    /// Requests machines from the cloud.
    Provision { request: String },
    /// Writes the records of provisioned machines.
    ProvisionedRecordsWrite { request: String },
    /// Deletes machines, for the leader.
    DeleteMachines { machines: Vec<MachineId> },
    /// Deletes machines, for the holder of their shard.
    DeleteShardMachines {
        shard: ShardId,
        epoch: u64,
        machines: Vec<MachineId>,
    },
    /// Removes the records of deleted machines.
    MachineRecordsRemoval { machines: Vec<MachineId> },
}

impl PendingCall {
    /// The service that the call went to.
    pub(crate) fn service(&self) -> Service {
        match self {
            Self::Catalog
            | Self::MachineList { .. }
            | Self::Provision { .. }
            | Self::DeleteMachines { .. }
            | Self::DeleteShardMachines { .. } => Service::Cloud,
            Self::Commands { .. } | Self::ProbeWorker { .. } => Service::Worker,
            _ => Service::Store,
        }
    }
}

/// A submission whose records are being written.
#[derive(Debug)]
pub(crate) struct JobCreation {
    pub(crate) request: RequestId,
    pub(crate) spec: JobSpec,
    pub(crate) shard: ShardId,
    /// When the user is answered at the latest.
    pub(crate) deadline: Ms,
    /// The versions of its dependencies' records that its stage was decided on.
    pub(crate) dependencies: Vec<(JobId, u64)>,
    /// A dependency is cancelled, so the job is cancelled in the same transaction.
    pub(crate) is_cancelled: bool,
}

impl JobCreation {
    /// The stage of the job when it is accepted.
    pub(crate) fn stage(&self) -> JobStage {
        if self.is_cancelled {
            JobStage::Cancelled
        } else {
            JobStage::Queued
        }
    }
}

/// A cancellation that the holder of the job is to carry out.
#[derive(Clone, Debug)]
pub(crate) struct CancellationPoll {
    pub(crate) request: RequestId,
    pub(crate) id: JobId,
    /// Version of the cancellation's key, for its removal.
    pub(crate) version: u64,
    pub(crate) deadline: Ms,
}

/// What a job is looked up for, as it is not held here.
#[derive(Debug)]
pub(crate) enum LookupPurpose {
    /// A status query.
    StatusQuery,
    /// A repeated submission; if the job does not exist, this is the answer.
    Submission(Reply),
    /// A cancellation.
    Cancellation,
}

/// What a transaction writes of one job.
#[derive(Debug, Clone)]
pub(crate) struct JobWrite {
    pub(crate) id: JobId,
    pub(crate) version: u64,
    pub(crate) blocks: Vec<u32>,
    pub(crate) is_final: bool,
    pub(crate) records_cancellation: bool,
}
