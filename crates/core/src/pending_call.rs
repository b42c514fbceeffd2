//! Calls in flight, with the context that is needed to process their responses.
//!
//! This module is data only: `node::responses` dispatches the responses.

use crate::io::{Reply, RequestId};
use crate::job_feed::FeedRun;
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

/// A call in flight, by its purpose.
///
/// Calls for a shard carry the epoch under which the shard was held when the call was made.
/// The response is dropped if the shard is no longer held under that epoch.
#[derive(Debug)]
pub(crate) enum PendingCall {
    /// Requests this controller's lease from the key-value store.
    LeaseGrant { sent: Ms },
    /// Renews this controller's lease.
    LeaseRenewal { sent: Ms },
    /// Writes this controller's record, bound to a lease.
    NodeRecordWrite { lease: u64 },
    /// Writes or removes the leader's record.
    LeaderRecordWrite,
    /// Requests a worker's status on behalf of `holder`, which holds the worker's machine.
    ProbeWorker { holder: NodeName },
    /// Reads a page of the cluster records, which make up the view.
    ViewList,
    /// Watches the cluster records: the response comes with the next change.
    ViewWatch {
        /// Serial number of the watch. Responses to earlier watches are ignored.
        serial: u64,
    },
    /// Reads the latest changes of the cluster records without waiting for one.
    ViewPoll,
    /// Assigns shards to new holders under new epochs, for the leader.
    ShardHandover(Vec<ShardId>),
    /// Reads a page of the records of a shard's unfinished jobs.
    ShardList { shard: ShardId, epoch: u64 },
    /// Watches the records of a shard's unfinished jobs.
    ShardWatch {
        shard: ShardId,
        epoch: u64,
        /// Serial number of the watch. Responses to earlier watches are ignored.
        serial: u64,
    },
    /// Writes the records of a submitted job, which accepts the job.
    JobCreation(Box<JobCreation>),
    /// Reads the record of a job whose status is not known in memory.
    JobLookup(JobLookup),
    /// Reads the record of a dependency of a submitted job.
    AdmissionRead { request: RequestId, id: JobId },
    /// Reads the record of a dependency of an accepted job, in a run of the job feed.
    DependencyRead { run: FeedRun, id: JobId, sent: Ms },
    /// Reads a page of the heads of all unfinished jobs, in a run of the job feed.
    UnfinishedJobsPage { run: FeedRun, sent: Ms },
    /// Reads the changes of the jobs' permanent records, in a run of the job feed.
    JobFeedPoll { run: FeedRun, sent: Ms },
    /// Writes the key that requests a cancellation from the holder of the job.
    CancellationWrite(CancellationPoll),
    /// Reads a job's record to find out whether the holder has cancelled the job.
    CancellationPoll(CancellationPoll),
    /// Writes changes of a shard's jobs.
    JobTransaction {
        shard: ShardId,
        epoch: u64,
        jobs: Vec<JobWrite>,
    },
    /// Reads a block of a job's tasks after a failed precondition.
    JobBlockRead {
        shard: ShardId,
        epoch: u64,
        id: JobId,
        block: u32,
    },
    /// Reads a job's permanent record after a failed precondition, when the job's head record
    /// no longer exists.
    JobFinalRead {
        shard: ShardId,
        epoch: u64,
        id: JobId,
    },
    /// Writes a machine's record.
    MachineRecordWrite(MachineId),
    /// Reads the recorded pool requests.
    PoolRecordsRead { shard: ShardId, epoch: u64 },
    /// Writes the number of machines that a pool requests.
    PoolRequestWrite {
        shard: ShardId,
        epoch: u64,
        request: Box<PoolRequest>,
    },
    /// Writes a row of a pool's account that belongs to no other record.
    PoolRowWrite {
        shard: ShardId,
        epoch: u64,
        key: String,
    },
    /// Writes the price of a machine type to the account of pools.
    PriceRowWrite(Box<Price>),
    /// Writes a shard's unmet demand.
    DemandWrite { shard: ShardId },
    /// A write whose response is ignored.
    Housekeeping,
    /// Sends commands to a worker, under a fencing token.
    Commands {
        shard: ShardId,
        epoch: u64,
        machine: MachineId,
        token: u64,
        commands: Vec<Command>,
    },
    /// Reads the cloud's catalog of machine types.
    Catalog,
    /// Reads a page of the cloud's list of machines.
    MachineList {
        /// Machines from the earlier pages of the same listing.
        page: Vec<forkshift_wire::cloud::ListedMachine>,
    },
    /// Writes the intent to provision machines, before they are requested.
    ProvisioningIntentWrite { request: String },
    /// Requests machines from the cloud, under the id of a recorded intent.
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
    /// Removes the records of machines that the cloud has deleted.
    MachineRecordsRemoval { machines: Vec<MachineId> },
}

impl PendingCall {
    /// The service that the call was sent to.
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

/// A submitted job that is being accepted.
#[derive(Debug)]
pub(crate) struct JobCreation {
    pub(crate) request: RequestId,
    pub(crate) spec: JobSpec,
    pub(crate) shard: ShardId,
    /// Time at which the user gets a response at the latest.
    pub(crate) deadline: Ms,
    /// The dependencies, with the versions of their records as read. The job is accepted on
    /// condition that the versions are unchanged.
    pub(crate) dependencies: Vec<(JobId, u64)>,
    /// Whether a dependency is cancelled. The job is then cancelled by the transaction that
    /// accepts it.
    pub(crate) is_cancelled: bool,
}

impl JobCreation {
    /// The stage of the job upon acceptance.
    pub(crate) fn stage(&self) -> JobStage {
        if self.is_cancelled {
            JobStage::Cancelled
        } else {
            JobStage::Queued
        }
    }
}

/// A requested cancellation of a job that another controller holds.
#[derive(Clone, Debug)]
pub(crate) struct CancellationPoll {
    pub(crate) request: RequestId,
    pub(crate) id: JobId,
    /// Version of the key that requests the cancellation, on which its removal is conditional;
    /// 0 if the version is not known yet.
    pub(crate) version: u64,
    pub(crate) deadline: Ms,
}

/// A request for a job that is answered from the job's record.
#[derive(Debug)]
pub(crate) struct LookupRequest {
    pub(crate) request: RequestId,
    pub(crate) id: JobId,
    pub(crate) purpose: LookupPurpose,
    /// Time at which the request is refused, in milliseconds of the steady clock.
    pub(crate) deadline: Ms,
}

/// A read of a job's record for a request.
#[derive(Debug)]
pub(crate) struct JobLookup {
    pub(crate) lookup: LookupRequest,
    /// Run of the job feed in which the record is read.
    pub(crate) feed_run: FeedRun,
    /// When the read was requested, in milliseconds of the steady clock.
    pub(crate) sent: Ms,
}

/// The request for which a job's record is read.
#[derive(Debug)]
pub(crate) enum LookupPurpose {
    /// A status query.
    StatusQuery,
    /// A submission that may be a repetition. Carries the response for the case that the job
    /// does not exist.
    Submission(Reply),
    /// A cancellation.
    Cancellation,
}

impl LookupPurpose {
    /// Whether the job is to be cancelled.
    pub(crate) fn is_cancellation(&self) -> bool {
        matches!(self, Self::Cancellation)
    }
}

/// The changes of one job in a transaction.
#[derive(Debug, Clone)]
pub(crate) struct JobWrite {
    pub(crate) id: JobId,
    /// The job's `memory_version` when the writes were built. State up to this version is
    /// durable in the written blocks once the transaction commits.
    pub(crate) version: u64,
    /// Blocks of tasks that are written.
    pub(crate) blocks: Vec<u32>,
    /// Whether the job has ended, so that its head record is removed.
    pub(crate) is_final: bool,
    /// Whether the job's cancellation becomes durable.
    pub(crate) records_cancellation: bool,
}
