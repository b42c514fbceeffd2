//! Reading records from the state service, page by page.

use forkshift_core::records::{MachineRecord, CLUSTER_PREFIX};
use forkshift_net::{Call, Client, ClientLimits};
use forkshift_pools::account::{PoolRequest, CURRENT_REQUEST_PREFIX};
use forkshift_wire::state::{Item, Page};
use forkshift_wire::MachineId;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of records on a page.
const MAX_PAGE_ITEMS: usize = 500;
/// Maximum size of a page, in bytes; generous for that many records.
const MAX_PAGE_BYTES: u64 = 4 * 1024 * 1024;
/// Attempts at a page while the service is busy.
const MAX_ATTEMPTS: u32 = 5;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Status of an answered request.
const OK: u16 = 200;
/// Status of a request beyond the rate limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// Status of a call without a response.
const NO_RESPONSE: u16 = 0;

/// Why records can't be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RecordsError {
    /// A page can't be read from the service.
    #[error("the state service at {addr} {problem}")]
    Service {
        /// Address of the service.
        addr: SocketAddr,
        /// What it does.
        problem: ServiceProblem,
    },
    /// A record is not JSON of the expected form.
    #[error("record {key} is not understood: {source}")]
    Malformed {
        /// Key of the record.
        key: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The key or value of a record is not that of a pool's account.
    #[error("record {key} is not understood: it is no row of an account")]
    UnknownRow {
        /// Key of the record.
        key: String,
    },
}

/// What a service does instead of answering.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServiceProblem {
    /// There was no response in time.
    #[error("does not answer")]
    NoResponse,
    /// It responded with an error status.
    #[error("refuses with {0}")]
    Refused(u16),
    /// It was busy at all attempts.
    #[error("refuses with {TOO_MANY_REQUESTS}, {MAX_ATTEMPTS} times")]
    Busy,
    /// Its response is not a page.
    #[error("is not understood: {0}")]
    Malformed(#[source] serde_json::Error),
}

/// A client that reads records. Its methods block.
pub(super) struct RecordReader {
    addr: SocketAddr,
    client: Client,
}

impl RecordReader {
    /// A reader of the state service at an address.
    pub(super) fn new(addr: SocketAddr) -> Self {
        let client = Client::new(ClientLimits {
            max_idle_per_host: 1,
            max_idle: 1,
            idle_timeout: PAGE_TIMEOUT,
            max_response_bytes: MAX_PAGE_BYTES,
        });
        Self { addr, client }
    }

    /// The number of machines that each pool is asked for at present.
    pub(super) fn requested_sizes(&self) -> Result<Vec<PoolRequest>, RecordsError> {
        let items = self.with_prefix(CURRENT_REQUEST_PREFIX)?;
        items.iter().map(parse).collect()
    }

    /// All machines, in the order of their identifiers.
    pub(super) fn machines(&self) -> Result<Vec<(MachineId, MachineRecord)>, RecordsError> {
        let machines: BTreeMap<String, MachineRecord> = self.of_kind("machine")?;
        let machines = machines.into_iter();
        Ok(machines
            .map(|(name, record)| (MachineId::new(&name), record))
            .collect())
    }

    /// All records of a kind of the cluster, by their names.
    pub(super) fn of_kind<T: DeserializeOwned>(
        &self,
        kind: &str,
    ) -> Result<BTreeMap<String, T>, RecordsError> {
        let prefix = format!("{CLUSTER_PREFIX}{kind}/");
        let items = self.with_prefix(&prefix)?;
        let parse_named = |item: &Item| {
            let name = item.key.strip_prefix(&prefix).unwrap_or_default();
            Ok((name.to_owned(), parse(item)?))
        };
        items.iter().map(parse_named).collect()
    }

    /// All records whose keys have a prefix, in the order of their keys.
    pub(super) fn with_prefix(&self, prefix: &str) -> Result<Vec<Item>, RecordsError> {
        let mut items: Vec<Item> = Vec::new();
        loop {
            let from = items.last().map(|last| format!("&from={}", last.key));
            let from = from.unwrap_or_default();
            let path = format!("/kv?starts={prefix}&most={MAX_PAGE_ITEMS}{from}");
            let page = self.page(&path)?;
            let is_last = !page.has_next || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                return Ok(items);
            }
        }
    }

    /// Reads a page; while the service is busy, it is requested again.
    fn page(&self, path: &str) -> Result<Page, RecordsError> {
        let failed = |problem| RecordsError::Service {
            addr: self.addr,
            problem,
        };
        for _ in 0..MAX_ATTEMPTS {
            let call = Call {
                addr: self.addr,
                method: "GET",
                path: path.to_owned(),
                body: None,
                timeout: PAGE_TIMEOUT,
            };
            let outcome = async_io::block_on(self.client.call(call));
            match outcome.status {
                OK => {
                    let page = serde_json::from_slice(&outcome.body);
                    return page.map_err(|e| failed(ServiceProblem::Malformed(e)));
                }
                TOO_MANY_REQUESTS => std::thread::sleep(RETRY_DELAY),
                NO_RESPONSE => return Err(failed(ServiceProblem::NoResponse)),
                status => return Err(failed(ServiceProblem::Refused(status))),
            }
        }
        Err(failed(ServiceProblem::Busy))
    }
}

/// Parses the value of a record.
pub(super) fn parse<T: DeserializeOwned>(item: &Item) -> Result<T, RecordsError> {
    serde_json::from_value(item.value.clone()).map_err(|source| RecordsError::Malformed {
        key: item.key.clone(),
        source,
    })
}
