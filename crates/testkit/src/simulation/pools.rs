//! Warm pools according to the records in the store, and the billing periods of the cloud.

use super::Simulation;
use crate::Ms;
use forkshift_core::records::MachineRecord;
use forkshift_pools::account::{
    AccountRow, BilledMachine, Price, ACCOUNT_PREFIX, CURRENT_REQUEST_PREFIX, PRICE_PREFIX,
};
use forkshift_pools::audit::BillingPeriod;
use forkshift_pools::report::UsageRecords;
use forkshift_pools::Membership;
use forkshift_wire::MachineId;
use std::collections::BTreeMap;

/// Prefix of the keys of machine records.
const MACHINE_KEY_PREFIX: &str = "c/machine/";

impl Simulation {
    /// Machines that are members of a warm pool according to their records.
    pub fn pool_members(&self) -> Vec<(MachineId, Membership)> {
        let members = self.machine_records().into_iter();
        members
            .filter_map(|(id, record)| Some((id, record.pool?)))
            .collect()
    }

    /// The usage records of all pools, with current memberships closed at `now_ms`, in milliseconds
    /// of the wall clock.
    ///
    /// # Panics
    ///
    /// If a record can not be parsed.
    pub fn pool_accounts(&self, now_ms: Ms) -> UsageRecords {
        let mut accounts = UsageRecords::default();
        let rows = self
            .store_entries(ACCOUNT_PREFIX)
            .into_iter()
            .chain(self.store_entries(CURRENT_REQUEST_PREFIX));
        for (key, value) in rows {
            match AccountRow::parse(&key, &value.to_string()) {
                Some(AccountRow::Interval(interval)) => accounts.intervals.push(interval),
                Some(AccountRow::Request(request)) => accounts.requests.push(request),
                Some(AccountRow::ColdStart(cold_start)) => accounts.cold_starts.push(cold_start),
                None => panic!("{key} can not be parsed: {value}"),
            }
        }
        for (key, value) in self.store_entries(PRICE_PREFIX) {
            let price: Price =
                serde_json::from_value(value).unwrap_or_else(|e| panic!("{key}: {e}"));
            accounts.prices.push(price);
        }
        for (id, record) in self.machine_records() {
            let Some(membership) = record.pool else {
                continue;
            };
            let machine = BilledMachine {
                id,
                machine_type: record.machine_type,
                spot: record.spot,
            };
            let open = membership.close(&machine, now_ms, None);
            accounts.intervals.push(open);
        }
        accounts
    }

    /// Billing periods of all machines in wall-clock time, for a simulation that began at `began_ms`.
    /// Open periods end now.
    pub fn billing_periods_from(&self, began_ms: Ms) -> BTreeMap<MachineId, BillingPeriod> {
        let periods = self.billing_periods().iter();
        let period = |(from, to): &(Ms, Option<Ms>)| {
            let to = to.unwrap_or(self.now());
            (began_ms + from, began_ms + to)
        };
        periods
            .map(|(id, times)| (id.clone(), period(times)))
            .collect()
    }

    fn machine_records(&self) -> Vec<(MachineId, MachineRecord)> {
        let machines = self.store_entries(MACHINE_KEY_PREFIX).into_iter();
        let record = |(key, value): (String, serde_json::Value)| {
            let id = MachineId::new(key.strip_prefix(MACHINE_KEY_PREFIX)?);
            Some((id, serde_json::from_value(value).ok()?))
        };
        machines.filter_map(record).collect()
    }
}
