//! The ends of calls, each taken to whoever made the call.

use super::is_state;
use super::Node;
use crate::context::revision_of;
use crate::member::is_no_such_lease;
use crate::pending::Pending;
use forkshift_wire::MachineId;

impl Node {
    pub(super) fn on_answer(&mut self, pending: Pending, status: u16, body: &[u8]) {
        match pending {
            Pending::LeaseGrant { sent } => self
                .membership
                .on_lease_granted(&self.ctx, sent, status, body),
            Pending::LeaseRenewal { sent } => {
                self.membership.on_lease_renewed(&self.ctx, sent, status)
            }
            Pending::NodeRecordWrite { lease } => {
                self.membership.on_node_record_written(lease, status, body)
            }
            Pending::Probe { holder } => self.on_probe_answered(&holder, status, body),
            Pending::LeaderRecordWrite => self.membership.on_leader_record_written(status, body),
            Pending::ViewList => self.on_view_list(status, body),
            Pending::ViewWatch { serial } => self.on_view_watch(serial, status, body),
            Pending::ViewPeek => self.on_view_peek(status, body),
            Pending::ShardPut(shards) => {
                self.leader.on_shard_put(&shards);
                self.on_handed_over(&shards, status, body);
            }
            Pending::ShardList { shard, epoch } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_list(&mut self.ctx, status, body);
                }
            }
            Pending::ShardWatch {
                shard,
                epoch,
                serial,
            } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_watch(&mut self.ctx, serial, status, body);
                }
            }
            Pending::Create(creation) => self.on_created(*creation, status, body),
            Pending::Lookup {
                request,
                id,
                why,
                until,
            } => self.on_lookup(request, id, why, until, status, body),
            Pending::AdmissionRead { request, id } => {
                self.on_admission_read(request, &id, status, body);
            }
            Pending::DependencyRead { id, sent } => {
                self.on_dependency_read(&id, sent, status, body);
            }
            Pending::Abort(poll) => self.on_abort_put(poll, status, body),
            Pending::AbortPoll(poll) => self.on_abort_poll(poll, status, body),
            Pending::JobTxn { shard, epoch, jobs } => {
                self.missed(status, body);
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_txn(&mut self.ctx, &mut self.finals, jobs, status, body);
                }
            }
            Pending::JobFix {
                shard,
                epoch,
                id,
                block,
            } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_fix(&mut self.ctx, &id, block, status, body);
                }
            }
            Pending::JobFinal { shard, epoch, id } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_final(&mut self.ctx, &mut self.finals, &id, status, body);
                }
            }
            Pending::MachinePut(id) => self.on_machine_put(&id, status, body),
            Pending::PoolHeads { shard, epoch } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_pool_heads(&self.ctx, status, body);
                }
            }
            Pending::PoolAsked {
                shard,
                epoch,
                asked,
            } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_pool_asked(*asked, status, body);
                }
            }
            Pending::PoolRow { shard, epoch, key } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_pool_row(&self.ctx, &key, status);
                }
            }
            Pending::PriceRow(price) => self.leader.on_price_row(*price, status),
            Pending::Demand { shard } => {
                self.missed(status, body);
                if let Some(s) = self.shards.get_mut(&shard) {
                    s.demand_putting = false;
                    s.demand_from = s.demand_from.max(revision_of(body));
                }
            }
            Pending::Housekeeping => {}
            Pending::Commands {
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
            Pending::Catalog => self
                .leader
                .on_catalog(&mut self.ctx, &self.view, status, body),
            Pending::MachineList { page } => {
                self.leader
                    .on_list(&mut self.ctx, &self.view, page, status, body);
            }
            Pending::RentalIntentPut { request } => {
                self.leader.on_rental_intent_put(&request, body)
            }
            Pending::Rent { request } => {
                self.leader
                    .on_rent(&mut self.ctx, &self.view, &request, status, body);
            }
            Pending::Rented { request } => {
                self.leader
                    .on_rented(&mut self.ctx, &self.view, &request, status, body);
            }
            Pending::Delete { machines } => {
                self.leader
                    .on_delete(&mut self.ctx, &self.view, machines, status, body);
            }
            Pending::Evict {
                shard,
                epoch,
                machines,
            } => {
                if let Some(s) = self.shards.get_mut(&shard).filter(|s| s.epoch == epoch) {
                    s.on_evicted(&self.ctx, &machines, status);
                }
            }
            Pending::Removed { machines } => self.leader.on_removed(&machines, status),
        }
    }

    pub(super) fn on_machine_put(&mut self, id: &MachineId, status: u16, body: &[u8]) {
        self.missed(status, body);
        for shard in self.shards.values_mut() {
            if let Some(machine) = shard.machines.get_mut(id) {
                machine.putting = false;
                machine.put_from = machine.put_from.max(revision_of(body));
                shard.look.touch(id);
            }
        }
    }

    /// The state service calls a change malformed: it may have grown stricter.
    pub(super) fn note_refused(&mut self, pending: &Pending, body: &[u8]) {
        if !is_state(pending) || is_no_such_lease(body) {
            return;
        }
        let why = String::from_utf8_lossy(body);
        log::error!("the state service refuses a change: {why}, {pending:?}");
        self.ctx.is_size_refused = true;
    }
}
