//! Dispatches the responses to outgoing calls to the module that made the call.

use super::Node;
use crate::context::{revision_of, Context};
use crate::membership::lease::is_no_such_lease;
use crate::pending_call::{PendingCall, Service};
use crate::records::ShardId;
use crate::shard::Shard;
use forkshift_wire::MachineId;

impl Node {
    /// Dispatches the response to a call: its HTTP status, which is 0 if there was none, and
    /// its body.
    ///
    /// The match is exhaustive and ordered by module: membership, view and shard assignments,
    /// jobs and cancellations, shards held here, the leader, and workers.
    #[allow(clippy::too_many_lines, reason = "one exhaustive table of dispatch")]
    pub(super) fn on_response(&mut self, pending: PendingCall, status: u16, body: &[u8]) {
        match pending {
            PendingCall::LeaseGrant { sent } => {
                let membership = &mut self.membership;
                membership.on_lease_granted(&self.ctx, sent, status, body);
            }
            PendingCall::LeaseRenewal { sent } => {
                self.membership.on_lease_renewed(&self.ctx, sent, status);
            }
            PendingCall::NodeRecordWrite { lease } => {
                self.membership.on_node_record_written(lease, status, body);
            }
            PendingCall::LeaderRecordWrite => {
                self.membership.on_leader_record_written(status, body);
            }

            PendingCall::ViewList => self.on_view_list(status, body),
            PendingCall::ViewWatch { serial } => self.on_view_watch(serial, status, body),
            PendingCall::ViewPoll => self.on_view_poll(status, body),
            PendingCall::ShardHandover(shards) => {
                self.leader.on_shard_record_written(&shards);
                self.on_handover_written(&shards, status, body);
            }

            PendingCall::JobCreation(creation) => self.on_job_created(*creation, status, body),
            PendingCall::JobLookup(lookup) => self.on_lookup(lookup, status, body),
            PendingCall::AdmissionRead { request, id } => {
                self.on_admission_read(request, &id, status, body);
            }
            PendingCall::DependencyRead { run, id, sent } => {
                self.on_dependency_read(run, &id, sent, status, body);
            }
            PendingCall::UnfinishedJobsPage { run, sent } => {
                self.on_unfinished_jobs_page(run, sent, status, body);
            }
            PendingCall::JobFeedPoll { run, sent } => {
                self.on_job_feed(run, sent, status, body);
            }
            PendingCall::CancellationWrite(poll) => {
                self.on_cancellation_written(poll, status, body);
            }
            PendingCall::CancellationPoll(poll) => self.on_cancellation_poll(poll, status, body),

            PendingCall::ShardList { shard, epoch } => {
                self.with_shard(shard, epoch, |shard, ctx| {
                    shard.on_job_list(ctx, status, body);
                });
            }
            PendingCall::ShardWatch {
                shard,
                epoch,
                serial,
            } => self.with_shard(shard, epoch, |shard, ctx| {
                shard.on_jobs_watch(ctx, serial, status, body);
            }),
            PendingCall::JobTransaction { shard, epoch, jobs } => {
                self.require_revision_on_conflict(status, body);
                if let Some(shard) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    let final_stages = &mut self.final_stages;
                    shard.on_jobs_written(&mut self.ctx, final_stages, jobs, status, body);
                }
            }
            PendingCall::JobBlockRead {
                shard,
                epoch,
                id,
                block,
            } => self.with_shard(shard, epoch, |shard, ctx| {
                shard.on_block_read(ctx, &id, block, status, body);
            }),
            PendingCall::JobFinalRead { shard, epoch, id } => {
                if let Some(shard) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    let final_stages = &mut self.final_stages;
                    shard.on_final_read(&mut self.ctx, final_stages, &id, status, body);
                }
            }
            PendingCall::MachineRecordWrite(id) => {
                self.on_machine_record_written(&id, status, body);
            }
            PendingCall::PoolRecordsRead { shard, epoch } => {
                self.with_shard(shard, epoch, |shard, ctx| {
                    shard.on_pool_requests_read(ctx, status, body);
                });
            }
            PendingCall::PoolRequestWrite {
                shard,
                epoch,
                request: asked,
            } => self.with_shard(shard, epoch, |shard, _| {
                shard.on_pool_request_written(*asked, status, body);
            }),
            PendingCall::PoolRowWrite { shard, epoch, key } => {
                self.with_shard(shard, epoch, |shard, ctx| {
                    shard.on_pool_row_written(ctx, &key, status);
                });
            }
            PendingCall::DemandWrite { shard } => self.on_demand_written(shard, status, body),
            PendingCall::DeleteShardMachines {
                shard,
                epoch,
                machines,
            } => self.with_shard(shard, epoch, |shard, ctx| {
                shard.on_holder_deletion_response(ctx, &machines, status);
            }),
            PendingCall::Housekeeping => {}

            PendingCall::PriceRowWrite(price) => self.leader.on_price_recorded(*price, status),
            PendingCall::Catalog => {
                let leader = &mut self.leader;
                leader.on_catalog(&mut self.ctx, &self.view, status, body);
            }
            PendingCall::MachineList { page } => {
                let leader = &mut self.leader;
                leader.on_machine_list(&mut self.ctx, &self.view, page, status, body);
            }
            PendingCall::ProvisioningIntentWrite { request } => {
                self.leader.on_intent_written(&request, body);
            }
            PendingCall::Provision { request } => {
                let leader = &mut self.leader;
                leader.on_provisioned(&mut self.ctx, &self.view, &request, status, body);
            }
            PendingCall::ProvisionedRecordsWrite { request } => {
                let leader = &mut self.leader;
                leader.on_result_recorded(&mut self.ctx, &self.view, &request, status, body);
            }
            PendingCall::DeleteMachines { machines } => {
                let leader = &mut self.leader;
                leader.on_machines_deleted(&mut self.ctx, &self.view, machines, status, body);
            }
            PendingCall::MachineRecordsRemoval { machines } => {
                self.leader.on_records_removed(&machines, status);
            }

            PendingCall::Commands {
                shard,
                epoch,
                machine,
                token,
                commands,
            } => self.with_shard(shard, epoch, |shard, ctx| {
                shard.on_command_call_end(ctx, &machine, token, &commands, status, body);
            }),
            PendingCall::ProbeWorker { holder } => self.on_worker_probed(&holder, status, body),
        }
    }

    /// Calls `handle` if the shard is still held under the epoch of the call; otherwise the
    /// response is dropped.
    fn with_shard(
        &mut self,
        id: ShardId,
        epoch: u64,
        handle: impl FnOnce(&mut Shard, &mut Context),
    ) {
        let shard = self.shards.get_mut(&id);
        if let Some(shard) = shard.filter(|shard| shard.epoch == epoch) {
            handle(shard, &mut self.ctx);
        }
    }

    /// Processes the answer to the write of a shard's demand record. The record is not written
    /// again before the view has reached the answer's revision.
    fn on_demand_written(&mut self, id: ShardId, status: u16, body: &[u8]) {
        self.require_revision_on_conflict(status, body);
        if let Some(shard) = self.shards.get_mut(&id) {
            shard.is_writing_demand = false;
            shard.demand_required_revision = shard.demand_required_revision.max(revision_of(body));
        }
    }

    /// Processes the answer to the write of a machine's record in every shard held here that
    /// contains the machine. The record is not written again before the view has reached the
    /// answer's revision.
    fn on_machine_record_written(&mut self, id: &MachineId, status: u16, body: &[u8]) {
        self.require_revision_on_conflict(status, body);
        let revision = revision_of(body);
        for shard in self.shards.values_mut() {
            if let Some(machine) = shard.machines.get_mut(id) {
                machine.is_writing_record = false;
                machine.record_required_revision = machine.record_required_revision.max(revision);
                shard.machines_to_reconcile.mark_due(id);
            }
        }
    }

    /// Reacts to a transaction that the store has rejected as malformed or too large: the
    /// store's limits may have become stricter, so all later calls observe the announced
    /// limits.
    pub(super) fn on_rejected_transaction(&mut self, pending: &PendingCall, body: &[u8]) {
        if pending.service() != Service::Store || is_no_such_lease(body) {
            return;
        }
        let reason = String::from_utf8_lossy(body);
        log::error!("store: transaction rejected, {reason}, {pending:?}");
        self.ctx.has_rejected_transaction = true;
    }
}
