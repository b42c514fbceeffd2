//! The ends of calls, each taken to whoever made the call.

use super::is_store_call;
use super::Node;
use crate::context::revision_of;
use crate::membership::lease::is_no_such_lease;
use crate::pending_call::PendingCall;
use forkshift_wire::MachineId;

impl Node {
    pub(super) fn on_response(&mut self, pending: PendingCall, status: u16, body: &[u8]) {
        match pending {
            PendingCall::LeaseGrant { sent } => self
                .membership
                .on_lease_granted(&self.ctx, sent, status, body),
            PendingCall::LeaseRenewal { sent } => {
                self.membership.on_lease_renewed(&self.ctx, sent, status)
            }
            PendingCall::NodeRecordWrite { lease } => {
                self.membership.on_node_record_written(lease, status, body)
            }
            PendingCall::ProbeWorker { holder } => self.on_worker_probed(&holder, status, body),
            PendingCall::LeaderRecordWrite => {
                self.membership.on_leader_record_written(status, body)
            }
            PendingCall::ViewList => self.on_view_list(status, body),
            PendingCall::ViewWatch { serial } => self.on_view_watch(serial, status, body),
            PendingCall::ViewPoll => self.on_view_poll(status, body),
            PendingCall::ShardHandover(shards) => {
                self.leader.on_shard_record_written(&shards);
                self.on_handed_over(&shards, status, body);
            }
            PendingCall::ShardList { shard, epoch } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_job_list(&mut self.ctx, status, body);
                }
            }
            PendingCall::ShardWatch {
                shard,
                epoch,
                serial,
            } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_jobs_watch(&mut self.ctx, serial, status, body);
                }
            }
            PendingCall::JobCreation(creation) => self.on_created(*creation, status, body),
            PendingCall::JobLookup {
                request,
                id,
                why,
                until,
            } => self.on_lookup(request, id, why, until, status, body),
            PendingCall::AdmissionRead { request, id } => {
                self.on_admission_read(request, &id, status, body);
            }
            PendingCall::DependencyRead { id, sent } => {
                self.on_dependency_read(&id, sent, status, body);
            }
            PendingCall::CancellationWrite(poll) => {
                self.on_cancellation_written(poll, status, body)
            }
            PendingCall::CancellationPoll(poll) => self.on_cancellation_poll(poll, status, body),
            PendingCall::JobTransaction { shard, epoch, jobs } => {
                self.require_revision_on_conflict(status, body);
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_jobs_written(&mut self.ctx, &mut self.final_stages, jobs, status, body);
                }
            }
            PendingCall::JobBlockRead {
                shard,
                epoch,
                id,
                block,
            } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_block_read(&mut self.ctx, &id, block, status, body);
                }
            }
            PendingCall::JobFinalRead { shard, epoch, id } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_final_read(&mut self.ctx, &mut self.final_stages, &id, status, body);
                }
            }
            PendingCall::MachineRecordWrite(id) => self.on_machine_put(&id, status, body),
            PendingCall::PoolRecordsRead { shard, epoch } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_pool_heads(&self.ctx, status, body);
                }
            }
            PendingCall::PoolRequestWrite {
                shard,
                epoch,
                asked,
            } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_pool_asked(*asked, status, body);
                }
            }
            PendingCall::PoolRowWrite { shard, epoch, key } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_pool_row(&self.ctx, &key, status);
                }
            }
            PendingCall::PriceRowWrite(price) => self.leader.on_price_row(*price, status),
            PendingCall::DemandWrite { shard } => {
                self.require_revision_on_conflict(status, body);
                if let Some(s) = self.shards.get_mut(&shard) {
                    s.is_writing_demand = false;
                    s.demand_required_revision = s.demand_required_revision.max(revision_of(body));
                }
            }
            PendingCall::Housekeeping => {}
            PendingCall::Commands {
                shard,
                epoch,
                machine,
                token,
                commands,
            } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_commands(&mut self.ctx, &machine, token, &commands, status, body);
                }
            }
            PendingCall::Catalog => self
                .leader
                .on_catalog(&mut self.ctx, &self.view, status, body),
            PendingCall::MachineList { page } => {
                self.leader
                    .on_machine_list(&mut self.ctx, &self.view, page, status, body);
            }
            PendingCall::ProvisioningIntentWrite { request } => {
                self.leader.on_intent_written(&request, body)
            }
            PendingCall::Provision { request } => {
                self.leader
                    .on_provisioned(&mut self.ctx, &self.view, &request, status, body);
            }
            PendingCall::ProvisionedRecordsWrite { request } => {
                self.leader
                    .on_result_recorded(&mut self.ctx, &self.view, &request, status, body);
            }
            PendingCall::DeleteMachines { machines } => {
                self.leader
                    .on_machines_deleted(&mut self.ctx, &self.view, machines, status, body);
            }
            PendingCall::DeleteOwnMachines {
                shard,
                epoch,
                machines,
            } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_own_machines_deleted(&self.ctx, &machines, status);
                }
            }
            PendingCall::MachineRecordsRemoval { machines } => {
                self.leader.on_records_removed(&machines, status)
            }
        }
    }

    pub(super) fn on_machine_put(&mut self, id: &MachineId, status: u16, body: &[u8]) {
        self.require_revision_on_conflict(status, body);
        for shard in self.shards.values_mut() {
            if let Some(machine) = shard.machines.get_mut(id) {
                machine.is_writing_record = false;
                machine.record_required_revision =
                    machine.record_required_revision.max(revision_of(body));
                shard.recheck.touch(id);
            }
        }
    }

    /// The state service calls a change malformed: it may have grown stricter.
    pub(super) fn note_rejected_change(&mut self, pending: &PendingCall, body: &[u8]) {
        if !is_store_call(pending) || is_no_such_lease(body) {
            return;
        }
        let why = String::from_utf8_lossy(body);
        log::error!("the state service refuses a change: {why}, {pending:?}");
        self.ctx.is_size_refused = true;
    }
}
