//! Finalization of a record format: once every configured controller has registered
//! with support for a format, the format is recorded as finalized. Finalization is
//! irreversible. A controller that is not registered blocks it, as that controller
//! may restart with an old release.

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

/// Number of check intervals between two attempts at finalization.
const CHECKS_PER_ATTEMPT: Ms = 4;
/// Number of check intervals between two log lines on the same subject.
const CHECKS_PER_LOG_LINE: Ms = 20;

/// State of the finalization of formats.
#[derive(Default)]
pub(super) struct FinalizationState {
    /// Earliest time of the next attempt at finalization.
    next_attempt_at: Ms,
    /// Earliest time at which unregistered controllers are logged again.
    next_unregistered_log_at: Ms,
    /// Earliest time at which controllers that don't support the finalized format are
    /// logged again.
    next_unsupported_log_at: Ms,
}

impl Leader {
    /// Finalizes the newest format that all controllers support, unless it is finalized.
    pub(super) fn finalize_format(&mut self, ctx: &mut Context, view: &ClusterView) {
        let newest = ctx.config.registered_format(view.format());
        if view.format() >= newest || ctx.now < self.finalization.next_attempt_at {
            return;
        }
        self.log_unregistered_nodes(ctx, view, newest);
        // A format that all controllers support is finalized even if a newer one must
        // wait for some of them.
        let format = newest_common_format(ctx, view).min(newest);
        if format <= view.format() {
            return;
        }
        let check_interval = crate::seconds_to_ms(ctx.config.operator.assignment_interval_s);
        self.finalization.next_attempt_at = ctx.now + check_interval * CHECKS_PER_ATTEMPT;
        let transaction = finalization_transaction(ctx, view, format);
        ctx.transact(Urgency::Membership, &transaction, PendingCall::Housekeeping);
    }

    /// Logs the controllers that block the finalization of a format.
    fn log_unregistered_nodes(&mut self, ctx: &Context, view: &ClusterView, format: FormatVersion) {
        let unregistered = nodes_not_registered_with(ctx, view, format);
        if unregistered.is_empty() || ctx.now < self.finalization.next_unregistered_log_at {
            return;
        }
        let check_interval = crate::seconds_to_ms(ctx.config.operator.assignment_interval_s);
        self.finalization.next_unregistered_log_at = ctx.now + check_interval * CHECKS_PER_LOG_LINE;
        let names = unregistered.join(", ");
        log::info!("leader: format {format} not finalized, not registered with it: {names}");
    }

    /// Whether a controller may hold shards. A controller whose release doesn't support
    /// the finalized format can't read the records that others write.
    pub(super) fn may_hold_shards(view: &ClusterView, name: &NodeName) -> bool {
        let node = view.nodes.get(name);
        node.is_some_and(|node| node.record.format >= view.format())
    }

    /// Logs controllers that were downgraded to a release without support for the
    /// finalized format.
    pub(super) fn log_unsupported_nodes(&mut self, ctx: &Context, view: &ClusterView) {
        if ctx.now < self.finalization.next_unsupported_log_at {
            return;
        }
        let names = view.nodes.keys();
        for name in names.filter(|name| !Self::may_hold_shards(view, name)) {
            let check_interval = crate::seconds_to_ms(ctx.config.operator.assignment_interval_s);
            self.finalization.next_unsupported_log_at =
                ctx.now + check_interval * CHECKS_PER_LOG_LINE;
            let format = view.format();
            log::error!(
                "leader: {name} excluded from assignment, it does not know the finalized format {format}"
            );
        }
    }
}

/// The transaction that finalizes a format. Its preconditions include the versions of
/// the registrations, as many as the store's limit on preconditions allows, so the
/// transaction fails if one of these controllers has restarted, possibly with an old
/// release.
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
    preconditions.truncate(ctx.limits.max_preconditions());
    let value = to_value(format).unwrap_or_default();
    Transaction {
        preconditions,
        writes: vec![Write::put(FINALIZED_FORMAT_KEY.to_owned(), value)],
    }
}

/// The newest format that all configured controllers have registered support for; the
/// first format if any of them is not registered.
fn newest_common_format(ctx: &Context, view: &ClusterView) -> FormatVersion {
    let registered = |name: &NodeName| {
        view.nodes
            .get(name)
            .map_or(FormatVersion::FIRST, |node| node.record.format)
    };
    let formats = ctx.config.nodes.iter().map(registered);
    formats.min().unwrap_or(FormatVersion::FIRST)
}

/// Names of the configured controllers that have not registered support for a format.
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
