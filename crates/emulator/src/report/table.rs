//! Formats the report as a table of names and values, for the terminal.

use super::{LatencySummary, ProcessLoad, Report};
use crate::pools::{BurstSummary, PoolSummary};
use std::fmt::{self, Display, Formatter};

/// Writes rows of a name and a value. A row that continues the one above has no name.
struct Table<'a, 'b>(&'a mut Formatter<'b>);

impl Table<'_, '_> {
    fn row(&mut self, name: &str, value: impl Display) -> fmt::Result {
        writeln!(self.0, "{name:<34} {value}")
    }
}

impl Display for LatencySummary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            count,
            median_ms,
            p99_ms,
            max_ms,
        } = self;
        write!(
            f,
            "median {median_ms} ms, 99% {p99_ms} ms, most {max_ms} ms ({count})"
        )
    }
}

impl Display for ProcessLoad {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            name: _,
            cpu_cores,
            resident_mb,
        } = self;
        write!(f, "{cpu_cores:.3} cores, {resident_mb:.1} MB")
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut table = Table(f);
        self.write_run(&mut table)?;
        self.write_latencies(&mut table)?;
        self.write_workers(&mut table)?;
        self.write_store(&mut table)?;
        self.write_processes(&mut table)?;
        if let Some(burst) = &self.burst {
            write_burst(&mut table, burst)?;
        }
        if let Some(pools) = &self.pools {
            write_pools(&mut table, pools)?;
        }
        self.write_violations(&mut table)
    }
}

impl Report {
    fn write_run(&self, table: &mut Table) -> fmt::Result {
        table.row("site, seed", format_args!("{}, {}", self.site, self.seed))?;
        table.row(
            "measured",
            format_args!("{:.0} s of {:.0} s", self.measured_s, self.duration_s),
        )?;
        table.row(
            "workers up",
            format_args!("{} of {}", self.workers, self.workers_expected),
        )?;
        table.row("tasks running", self.tasks_running)?;
        table.row(
            "jobs",
            format_args!(
                "{} accepted: {} done, {} cancelled, {} running, {} waiting",
                self.jobs_accepted,
                self.jobs_done,
                self.jobs_cancelled,
                self.jobs_running,
                self.jobs_pending
            ),
        )?;
        table.row(
            "task starts",
            format_args!("{}, {:.1} a second", self.task_starts, self.starts_per_s),
        )?;
        table.row("replicas started again", self.replicas_restarted)
    }

    fn write_latencies(&self, table: &mut Table) -> fmt::Result {
        for (priority, latencies) in &self.start_latencies {
            table.row(&format!("start, {priority}"), latencies)?;
        }
        table.row("submission", self.submissions)?;
        table.row("report", self.heartbeats)
    }

    fn write_workers(&self, table: &mut Table) -> fmt::Result {
        table.row(
            "reports failed, redirected",
            format_args!("{}, {}", self.heartbeats_failed, self.heartbeats_redirected),
        )?;
        table.row(
            "a worker a second",
            format_args!(
                "{:.2} messages, {:.0} bytes out, {:.0} in",
                self.messages_per_worker_s, self.sent_per_worker_s, self.received_per_worker_s
            ),
        )
    }

    fn write_store(&self, table: &mut Table) -> fmt::Result {
        for (category, rates) in &self.store {
            table.row(
                &format!("state service, {category}"),
                format_args!(
                    "{:.1} requests, {:.1} changes a second",
                    rates.requests_per_s, rates.writes_per_s
                ),
            )?;
        }
        table.row("state service, refused", self.store_requests_refused)
    }

    fn write_processes(&self, table: &mut Table) -> fmt::Result {
        for load in &self.controller_loads {
            table.row(&load.name, load)?;
        }
        table.row("hollow process", &self.emulator_load)?;
        table.row(
            "hollow process behind by",
            format_args!("{} ms", self.emulator_lag_ms),
        )?;
        table.row("controllers ended by themselves", self.controllers_exited)
    }

    fn write_violations(&self, table: &mut Table) -> fmt::Result {
        table.row("rules broken", self.rule_violations.len())?;
        self.rule_violations
            .iter()
            .try_for_each(|violation| table.row("", violation))
    }
}

fn write_burst(table: &mut Table, burst: &BurstSummary) -> fmt::Result {
    let time = |ms: Option<u64>| ms.map_or("never".to_owned(), |ms| format!("{ms} ms"));
    table.row(
        "burst",
        format_args!(
            "{} of {} replicas answered, the first after {}, all after {}",
            burst.answered,
            burst.replicas,
            time(burst.first_answer_ms),
            time(burst.all_answered_ms)
        ),
    )
}

fn write_pools(table: &mut Table, pools: &PoolSummary) -> fmt::Result {
    table.row(
        "pools",
        format_args!(
            "{} machines, {:.0} machine-seconds asked for, {:.0} warm, {:.0} short",
            pools.machines, pools.requested_s, pools.warm_s, pools.unmet_s
        ),
    )?;
    table.row(
        "",
        format_args!(
            "{} handed out, {} missed, {} reclaimed, {} lost",
            pools.allocated, pools.cold_starts, pools.reclaimed, pools.lost
        ),
    )?;
    let reported_cost = pools.reported_cost;
    table.row(
        "",
        format_args!(
            "cost {:.4} by the accounts, {} by the report, {:.4} by the cloud; \
             {:.3} s apart at most",
            pools.cost,
            reported_cost.map_or("none".to_owned(), |cost| format!("{cost:.4}")),
            pools.cloud_cost,
            pools.max_cost_difference_s
        ),
    )?;
    pools
        .discrepancies
        .iter()
        .try_for_each(|discrepancy| table.row("account", discrepancy))
}
