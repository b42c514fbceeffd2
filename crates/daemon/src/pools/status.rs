//! The present status of warm pools, read from the key-value store.

use super::records::{RecordReader, RecordsError};
use forkshift_core::records::MachineRecord;
use forkshift_pools::{PoolName, PoolState};
use forkshift_wire::cloud::MachineType;
use serde::Serialize;
use std::collections::BTreeMap;

/// Number of machines of a pool in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct CountByState {
    /// Machines that are booting.
    pub booting: u32,
    /// Machines that are up, but whose workers don't report their images.
    pub up: u32,
    /// Machines that are fetching the image of the pool.
    pub fetching: u32,
    /// Machines that hold the image of the pool.
    pub warm: u32,
}

impl CountByState {
    fn add(&mut self, state: PoolState) {
        let count = match state {
            PoolState::Booting => &mut self.booting,
            PoolState::Up => &mut self.up,
            PoolState::Fetching => &mut self.fetching,
            PoolState::Warm => &mut self.warm,
        };
        *count += 1;
    }
}

/// Status of a pool. The serde names are those of the command's JSON output.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct PoolStatus {
    /// Name of the pool.
    pub pool: PoolName,
    /// The team that is charged; empty if the pool is no longer declared.
    pub team: String,
    /// Number of machines that the pool requests.
    #[serde(rename = "asked")]
    pub requested_machines: u32,
    /// Machines of the pool.
    pub machines: CountByState,
    /// Current price of all machines of the pool per hour. Machines without a known price
    /// count as 0.
    pub cost_per_hour: f64,
}

impl PoolStatus {
    /// The status of a pool that has no machines.
    fn without_machines(pool: PoolName, team: String, requested_machines: u32) -> Self {
        Self {
            pool,
            team,
            requested_machines,
            machines: CountByState::default(),
            cost_per_hour: 0.0,
        }
    }
}

/// Reads the status of all pools, in the order of their names.
///
/// # Errors
///
/// [`RecordsError`], if the key-value store does not respond or refuses a request, or if a
/// record is malformed.
pub(super) fn read(reader: &RecordReader) -> Result<Vec<PoolStatus>, RecordsError> {
    let types: BTreeMap<String, MachineType> = reader.read_cluster_records("rig")?;
    let mut pools: BTreeMap<PoolName, PoolStatus> = BTreeMap::new();
    for request in reader.read_current_requests()? {
        let status =
            PoolStatus::without_machines(request.pool.clone(), request.team, request.machines);
        pools.insert(request.pool, status);
    }
    for (_, machine) in reader.read_machines()? {
        let Some(membership) = &machine.pool else {
            continue;
        };
        let pool = &membership.pool;
        let status = pools
            .entry(pool.clone())
            .or_insert_with(|| PoolStatus::without_machines(pool.clone(), String::new(), 0));
        status.machines.add(membership.state);
        let price = current_price(&machine, types.get(&machine.machine_type));
        status.cost_per_hour += price.unwrap_or(0.0);
    }
    Ok(pools.into_values().collect())
}

/// The current price of a machine per hour; none if its type is not known, or is a spot type
/// without a price.
fn current_price(machine: &MachineRecord, machine_type: Option<&MachineType>) -> Option<f64> {
    let machine_type = machine_type?;
    match machine.spot {
        true => machine_type.spot_price_per_hour,
        false => Some(machine_type.price_per_hour),
    }
}
