//! Reports of workers.

use crate::io::Reply;
use crate::node::Node;
use crate::share::{Phase, TOKEN_BITS};
use forkshift_wire::workers::{Redirect, Report, ReportReply};

impl Node {
    /// A worker reports.
    pub(crate) fn report(&mut self, body: Option<Vec<u8>>) -> Reply {
        let Some(body) = body else {
            return Reply::error(413, "too large");
        };
        let report: Report = match serde_json::from_slice(&body) {
            Ok(report) => report,
            Err(e) => {
                log::info!("a report is not understood: {e}");
                return Reply::error(400, "not a report");
            }
        };
        let Some(record) = self.view.machines.get(&report.machine) else {
            return Reply::json(421, &Redirect::default());
        };
        let k = record.rec.share;
        if !self.shares.contains_key(&k) {
            if self.keeps(k, &report.machine) {
                let (token, commands) = (report.token, Vec::new());
                return Reply::json(200, &ReportReply { token, commands });
            }
            let holder = self.view.holder(k).filter(|n| **n != self.ctx.cfg.node);
            let report_to = holder.map(|n| n.to_string());
            return Reply::json(421, &Redirect { report_to });
        }
        let share = self.shares.get(&k);
        let entitled = share.is_some_and(|s| self.ctx.entitled || self.holds_on(s));
        let bridges = share.is_some_and(|s| self.bridges(s, &report.machine));
        let newest = self.view.epoch().1;
        let first = share.map(|s| s.first_token(&record.rec));
        let Node { shares, ctx, .. } = self;
        let Some(share) = shares.get_mut(&k).filter(|_| entitled) else {
            return Reply::json(421, &Redirect::default());
        };
        if share.phase != Phase::Active {
            let token = first.filter(|t| report.token <= *t && bridges);
            return match token {
                Some(token) => {
                    let commands = Vec::new();
                    Reply::json(200, &ReportReply { token, commands })
                }
                None => Reply::json(421, &Redirect::default()),
            };
        }
        if share
            .machines
            .get(&report.machine)
            .is_none_or(|m| report.token > m.token)
        {
            // Somebody newer holds the machine. A 200 would be dropped, and
            // the worker would stay here while its lease runs out.
            let epoch = report.token >> TOKEN_BITS;
            if epoch > newest {
                share.supersede(&format!("{} has a token of epoch {epoch}", report.machine));
            }
            return Reply::json(421, &Redirect::default());
        }
        share.ingest(ctx, &report);
        match share.report_reply(ctx, &report.machine) {
            Some((token, commands)) => Reply::json(200, &ReportReply { token, commands }),
            None => Reply::json(421, &Redirect::default()),
        }
    }
}
