//! Finalization of a format: once every configured controller has registered
//! with it, that is recorded, one way. A controller that is not there may come
//! back as the old release, so its absence is no consent.

use super::Leader;
use crate::context::Context;
use crate::membership::format::FormatVersion;
use crate::pending_call::PendingCall;
use crate::records::{node_key, FINALIZED_FORMAT};
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::state::{Precondition, Transaction, Write};
use forkshift_wire::NodeName;
use serde_json::to_value;

/// Looks at the shards between two tries, and between two log lines.
const TRY_LOOKS: u32 = 4;
const LOG_LOOKS: u32 = 20;

impl Leader {
    /// Records the newest format that all controllers know, if it is not yet.
    pub(super) fn finalize_format(&mut self, ctx: &mut Context, view: &ClusterView) {
        let newest = ctx.config.registered_format(view.format());
        if view.format() >= newest || ctx.now < self.next_finalization_at {
            return;
        }
        let looks = crate::ms(ctx.config.ops.assign_s);
        let lacking: Vec<NodeName> = nodes_lacking(ctx, view, newest);
        if !lacking.is_empty() && ctx.now >= self.blockers_logged_at {
            self.blockers_logged_at = ctx.now + looks * Ms::from(LOG_LOOKS);
            let names: Vec<&str> = lacking.iter().map(NodeName::as_str).collect();
            let names = names.join(", ");
            log::info!("format {newest} is not finalized: {names} not registered with it");
        }
        // One that all know is finalized while a newer one waits.
        let format = known_to_all(ctx, view).min(newest);
        if format <= view.format() {
            return;
        }
        self.next_finalization_at = ctx.now + looks * Ms::from(TRY_LOOKS);
        let version = view.finalized_format.as_ref().map_or(0, |f| f.version);
        let mut preconditions = self.preconditions(view, FINALIZED_FORMAT.to_owned(), version);
        // Each is still the process that said so.
        for (name, node) in &view.nodes {
            let (key, version) = (node_key(name), node.version);
            preconditions.push(Precondition { key, version });
        }
        preconditions.truncate(ctx.limits.conditions());
        let value = to_value(format).unwrap_or_default();
        let writes = vec![Write::put(FINALIZED_FORMAT.to_owned(), value)];
        ctx.transact(
            Urgency::Membership,
            &Transaction {
                preconditions,
                writes,
            },
            PendingCall::Housekeeping,
        );
    }

    /// Whether a controller may hold shards. One of a release that does not
    /// know the finalized format can't read what is written.
    pub(super) fn may_hold_shards(view: &ClusterView, name: &NodeName) -> bool {
        let node = view.nodes.get(name);
        node.is_some_and(|n| n.record.format >= view.format())
    }

    /// Logs controllers that came back as an old release after finalization.
    pub(super) fn log_outdated(&mut self, ctx: &Context, view: &ClusterView) {
        if ctx.now < self.outdated_logged_at {
            return;
        }
        let outdated = view.nodes.keys();
        let outdated = outdated.filter(|n| !Self::may_hold_shards(view, n));
        for name in outdated {
            let pause = crate::ms(ctx.config.ops.assign_s) * Ms::from(LOG_LOOKS);
            self.outdated_logged_at = ctx.now + pause;
            let format = view.format();
            log::error!(
                "{name} does not know format {format}, which is finalized: it gets no shard"
            );
        }
    }
}

/// The newest format that all configured controllers have registered with.
fn known_to_all(ctx: &Context, view: &ClusterView) -> FormatVersion {
    let of = |name: &NodeName| {
        view.nodes
            .get(name)
            .map_or(FormatVersion::FIRST, |n| n.record.format)
    };
    let all = ctx.config.nodes.iter().map(of);
    all.min().unwrap_or(FormatVersion::FIRST)
}

/// Configured controllers that have not registered with a format.
fn nodes_lacking(ctx: &Context, view: &ClusterView, format: FormatVersion) -> Vec<NodeName> {
    let has = |name: &NodeName| {
        view.nodes
            .get(name)
            .is_some_and(|n| n.record.format >= format)
    };
    let all = ctx.config.nodes.iter();
    all.filter(|name| !has(name)).cloned().collect()
}
