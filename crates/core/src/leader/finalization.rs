//! Finalization of a format: once every configured controller has registered
//! with it, that is recorded, one way. A controller that is not registered may come
//! back as the old release, so its absence is no consent.

use super::transactions::preconditions;
use super::Leader;
use crate::context::Context;
use crate::membership::format::FormatVersion;
use crate::pending_call::PendingCall;
use crate::records::{node_key, FINALIZED_FORMAT_KEY};
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::state::{Precondition, Transaction, Write};
use forkshift_wire::NodeName;
use serde_json::to_value;

/// Checks of the cluster from one attempt at finalization to the next.
const CHECKS_PER_ATTEMPT: Ms = 4;
/// Checks of the cluster from one log line about the same thing to the next.
const CHECKS_PER_LOG_LINE: Ms = 20;

/// State of the finalization of formats.
#[derive(Default)]
pub(super) struct FinalizationState {
    /// When the finalization of a format is attempted next.
    next_attempt_at: Ms,
    /// When controllers that have not registered with a new format are logged next.
    next_unregistered_log_at: Ms,
    /// When controllers that do not know the finalized format are logged next.
    next_unsupported_log_at: Ms,
}

impl Leader {
    /// Records the newest format that all controllers know, if it is not yet.
    pub(super) fn finalize_format(&mut self, ctx: &mut Context, view: &ClusterView) {
        let newest = ctx.config.registered_format(view.format());
        if view.format() >= newest || ctx.now < self.finalization.next_attempt_at {
            return;
        }
        self.log_unregistered_nodes(ctx, view, newest);
        // One that all know is finalized while a newer one waits.
        let format = format_known_to_all(ctx, view).min(newest);
        if format <= view.format() {
            return;
        }
        let check_interval = crate::ms(ctx.config.operator.assignment_interval_s);
        self.finalization.next_attempt_at = ctx.now + check_interval * CHECKS_PER_ATTEMPT;
        let transaction = finalization_transaction(ctx, view, format);
        ctx.transact(Urgency::Membership, &transaction, PendingCall::Housekeeping);
    }

    /// Logs the controllers that a format's finalization waits for.
    fn log_unregistered_nodes(&mut self, ctx: &Context, view: &ClusterView, format: FormatVersion) {
        let unregistered = nodes_not_registered_with(ctx, view, format);
        if unregistered.is_empty() || ctx.now < self.finalization.next_unregistered_log_at {
            return;
        }
        let check_interval = crate::ms(ctx.config.operator.assignment_interval_s);
        self.finalization.next_unregistered_log_at = ctx.now + check_interval * CHECKS_PER_LOG_LINE;
        let names = unregistered.join(", ");
        log::info!("leader: format {format} not finalized, not registered with it: {names}");
    }

    /// Whether a controller may hold shards. One of a release that does not
    /// know the finalized format can't read what is written.
    pub(super) fn may_hold_shards(view: &ClusterView, name: &NodeName) -> bool {
        let node = view.nodes.get(name);
        node.is_some_and(|node| node.record.format >= view.format())
    }

    /// Logs controllers that came back as an old release after finalization.
    pub(super) fn log_unsupported_nodes(&mut self, ctx: &Context, view: &ClusterView) {
        if ctx.now < self.finalization.next_unsupported_log_at {
            return;
        }
        let names = view.nodes.keys();
        for name in names.filter(|name| !Self::may_hold_shards(view, name)) {
            let check_interval = crate::ms(ctx.config.operator.assignment_interval_s);
            self.finalization.next_unsupported_log_at =
                ctx.now + check_interval * CHECKS_PER_LOG_LINE;
            let format = view.format();
            log::error!(
                "leader: {name} excluded from assignment, it does not know the finalized format {format}"
            );
        }
    }
}

/// Records a format, on condition that each controller is still the incarnation
/// that registered with it.
fn finalization_transaction(
    ctx: &Context,
    view: &ClusterView,
    format: FormatVersion,
) -> Transaction {
    let version = view.finalized_format.as_ref().map_or(0, |f| f.version);
    let mut preconditions = preconditions(view, FINALIZED_FORMAT_KEY.to_owned(), version);
    preconditions.extend(view.nodes.iter().map(|(name, node)| Precondition {
        key: node_key(name),
        version: node.version,
    }));
    preconditions.truncate(ctx.limits.conditions());
    let value = to_value(format).unwrap_or_default();
    Transaction {
        preconditions,
        writes: vec![Write::put(FINALIZED_FORMAT_KEY.to_owned(), value)],
    }
}

/// The newest format that all configured controllers have registered with.
fn format_known_to_all(ctx: &Context, view: &ClusterView) -> FormatVersion {
    let registered = |name: &NodeName| {
        view.nodes
            .get(name)
            .map_or(FormatVersion::FIRST, |node| node.record.format)
    };
    let formats = ctx.config.nodes.iter().map(registered);
    formats.min().unwrap_or(FormatVersion::FIRST)
}

/// Names of the configured controllers that have not registered with a format.
fn nodes_not_registered_with<'a>(
    ctx: &'a Context,
    view: &ClusterView,
    format: FormatVersion,
) -> Vec<&'a str> {
    let is_registered = |name: &NodeName| {
        view.nodes
            .get(name)
            .is_some_and(|node| node.record.format >= format)
    };
    let names = ctx.config.nodes.iter();
    names
        .filter(|name| !is_registered(name))
        .map(NodeName::as_str)
        .collect()
}
