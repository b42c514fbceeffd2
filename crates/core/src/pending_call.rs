//! Calls that are under way, and what is to be done when each of them ends.

use crate::io::{Reply, RequestId};
use crate::records::ShardId;
use crate::Ms;
use forkshift_pools::account::{Asked, Price};
use forkshift_wire::users::{JobSpec, JobStage};
use forkshift_wire::workers::Command;
use forkshift_wire::{JobId, MachineId, NodeName};

/// What is to be done when a call ends.
#[derive(Debug)]
pub(crate) enum PendingCall {
    LeaseGrant {
        sent: Ms,
    },
    LeaseRenewal {
        sent: Ms,
    },
    NodeRecordWrite {
        lease: u64,
    },
    LeaderRecordWrite,
    /// A worker was called for the holder of its machine.
    ProbeWorker {
        holder: NodeName,
    },
    ViewList,
    ViewWatch {
        /// Which of them: an earlier one was given up.
        serial: u64,
    },
    ViewPoll,
    ShardHandover(Vec<ShardId>),
    ShardList {
        shard: ShardId,
        epoch: u64,
    },
    ShardWatch {
        shard: ShardId,
        epoch: u64,
        /// Which of them: an earlier one was given up.
        serial: u64,
    },
    JobCreation(Box<Creation>),
    JobLookup {
        request: RequestId,
        id: JobId,
        why: Lookup,
        until: Ms,
    },
    AdmissionRead {
        request: RequestId,
        id: JobId,
    },
    DependencyRead {
        id: JobId,
        sent: Ms,
    },
    CancellationWrite(CancellationPoll),
    CancellationPoll(CancellationPoll),
    JobTransaction {
        shard: ShardId,
        epoch: u64,
        jobs: Vec<JobWrite>,
    },
    JobBlockRead {
        shard: ShardId,
        epoch: u64,
        id: JobId,
        block: u32,
    },
    JobFinalRead {
        shard: ShardId,
        epoch: u64,
        id: JobId,
    },
    MachineRecordWrite(MachineId),
    /// Reads what pools are asked for.
    PoolRecordsRead {
        shard: ShardId,
        epoch: u64,
    },
    /// Writes what a pool is asked for.
    PoolRequestWrite {
        shard: ShardId,
        epoch: u64,
        asked: Box<Asked>,
    },
    /// Writes a row of a pool's account that stands by itself.
    PoolRowWrite {
        shard: ShardId,
        epoch: u64,
        key: String,
    },
    /// Writes a machine type's price.
    PriceRowWrite(Box<Price>),
    DemandWrite {
        shard: ShardId,
    },
    Housekeeping,
    Commands {
        shard: ShardId,
        epoch: u64,
        machine: MachineId,
        token: u64,
        commands: Vec<Command>,
    },
    Catalog,
    MachineList {
        page: Vec<forkshift_wire::cloud::Listed>,
    },
    ProvisioningIntentWrite {
        request: String,
    },
    Provision {
        request: String,
    },
    ProvisionedRecordsWrite {
        request: String,
    },
    DeleteMachines {
        machines: Vec<MachineId>,
    },
    /// A holder's own deletion.
    DeleteOwnMachines {
        shard: ShardId,
        epoch: u64,
        machines: Vec<MachineId>,
    },
    MachineRecordsRemoval {
        machines: Vec<MachineId>,
    },
}

/// A submission that is being written.
#[derive(Debug)]
pub(crate) struct Creation {
    pub(crate) request: RequestId,
    pub(crate) spec: JobSpec,
    pub(crate) shard: ShardId,
    pub(crate) until: Ms,
    /// Versions of its dependencies' records that it was decided on.
    pub(crate) dependencies: Vec<(JobId, u64)>,
    /// A dependency is cancelled, and so is the job, in the same transaction.
    pub(crate) is_cancelled: bool,
}

impl Creation {
    /// The stage in which the job is accepted.
    pub(crate) fn stage(&self) -> JobStage {
        if self.is_cancelled {
            JobStage::Cancelled
        } else {
            JobStage::Queued
        }
    }
}

/// A cancellation that another controller is to carry out.
#[derive(Clone, Debug)]
pub(crate) struct CancellationPoll {
    pub(crate) request: RequestId,
    pub(crate) id: JobId,
    /// Version of the key that tells of it, for its removal.
    pub(crate) version: u64,
    pub(crate) until: Ms,
}

/// What a job is looked up for.
#[derive(Debug)]
pub(crate) enum Lookup {
    /// A question about it.
    Question,
    /// A repeated submission; if the job is not known, this answer stands.
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
