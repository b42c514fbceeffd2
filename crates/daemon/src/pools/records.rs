//! Reads records from the key-value store, page by page.

use forkshift_core::records::{MachineRecord, CLUSTER_PREFIX};
use forkshift_net::{Call, Client, ClientLimits};
use forkshift_pools::account::{PoolRequest, CURRENT_REQUEST_PREFIX};
use forkshift_wire::state::{Item, Page};
use forkshift_wire::MachineId;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for the request of one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of records on a page.
const MAX_PAGE_ITEMS: usize = 500;
/// Maximum size of a page, in bytes: about 8 KiB for each of [`MAX_PAGE_ITEMS`] records.
const MAX_PAGE_BYTES: u64 = 4 * 1024 * 1024;
/// Maximum number of attempts to read a page while the store's rate limit is exceeded.
const MAX_ATTEMPTS: u32 = 5;
/// Delay between two attempts to read a page.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// HTTP status of a successful request.
const OK: u16 = 200;
/// HTTP status of a request beyond the rate limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// Status of an outcome without a response.
const NO_RESPONSE: u16 = 0;

/// Why records can't be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RecordsError {
    /// A page can't be read from the key-value store.
    #[error("the key-value store at {addr} (`external.state`) {problem}")]
    Store {
        /// Address of the store.
        addr: SocketAddr,
        /// Why the page can't be read.
        problem: StoreProblem,
    },
    /// A record is not JSON of the expected form.
    #[error("record {key} is malformed: {source}")]
    Malformed {
        /// Key of the record.
        key: String,
        /// The position and kind of the mistake.
        source: serde_json::Error,
    },
    /// A record under the prefix of usage records is not a usage interval, a request or a cold
    /// start.
    #[error(
        "record {key} is malformed: it is not a usage interval, a request or a cold start of a pool"
    )]
    UnknownRow {
        /// Key of the record.
        key: String,
    },
}

/// Why a page can't be read. The texts complete the sentence of [`RecordsError::Store`].
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreProblem {
    /// The connection failed, or there was no response within [`PAGE_TIMEOUT`].
    #[error("does not answer: the connection failed, or no response came within {PAGE_TIMEOUT:?}")]
    NoResponse,
    /// The store responded with an unexpected HTTP status.
    #[error("refuses with {0} (HTTP status; {OK} is expected)")]
    Refused(u16),
    /// The rate limit was exceeded at all [`MAX_ATTEMPTS`] attempts.
    #[error(
        "refuses with {TOO_MANY_REQUESTS} (HTTP status, rate limit exceeded) at each of \
         {MAX_ATTEMPTS} attempts"
    )]
    RateLimited,
    /// The response is not a page of records.
    #[error("sent a malformed page of records: {0}")]
    Malformed(#[source] serde_json::Error),
}

/// A client of the key-value store that reads records. All methods block the thread.
pub(super) struct RecordReader {
    addr: SocketAddr,
    client: Client,
}

impl RecordReader {
    /// Creates a reader for the key-value store at an address.
    pub(super) fn new(addr: SocketAddr) -> Self {
        let client = Client::new(ClientLimits {
            max_idle_per_host: 1,
            max_idle: 1,
            idle_timeout: PAGE_TIMEOUT,
            max_response_bytes: MAX_PAGE_BYTES,
        });
        Self { addr, client }
    }

    /// Reads the number of machines that each pool requests at present.
    pub(super) fn read_current_requests(&self) -> Result<Vec<PoolRequest>, RecordsError> {
        let items = self.read_prefix(CURRENT_REQUEST_PREFIX)?;
        items.iter().map(parse).collect()
    }

    /// Reads the records of all machines, in the order of their identifiers.
    pub(super) fn read_machines(&self) -> Result<Vec<(MachineId, MachineRecord)>, RecordsError> {
        let machines: BTreeMap<String, MachineRecord> = self.read_cluster_records("machine")?;
        let machines = machines.into_iter();
        Ok(machines
            .map(|(name, record)| (MachineId::new(&name), record))
            .collect())
    }

    /// Reads all records of the cluster whose keys start with the prefix of `kind`, by the rest
    /// of their keys.
    pub(super) fn read_cluster_records<T: DeserializeOwned>(
        &self,
        kind: &str,
    ) -> Result<BTreeMap<String, T>, RecordsError> {
        let prefix = format!("{CLUSTER_PREFIX}{kind}/");
        let items = self.read_prefix(&prefix)?;
        let parse_named = |item: &Item| {
            let name = item.key.strip_prefix(&prefix).unwrap_or_default();
            Ok((name.to_owned(), parse(item)?))
        };
        items.iter().map(parse_named).collect()
    }

    /// Reads all records whose keys start with a prefix, in the order of their keys.
    pub(super) fn read_prefix(&self, prefix: &str) -> Result<Vec<Item>, RecordsError> {
        let mut items: Vec<Item> = Vec::new();
        loop {
            let from = items.last().map(|last| format!("&from={}", last.key));
            let from = from.unwrap_or_default();
            let path = format!("/kv?starts={prefix}&most={MAX_PAGE_ITEMS}{from}");
            let page = self.read_page(&path)?;
            let is_last = !page.has_next || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                return Ok(items);
            }
        }
    }

    /// Reads a page. If the rate limit is exceeded, the request is repeated after
    /// [`RETRY_DELAY`].
    fn read_page(&self, path: &str) -> Result<Page, RecordsError> {
        let failed = |problem| RecordsError::Store {
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
                    return page.map_err(|e| failed(StoreProblem::Malformed(e)));
                }
                TOO_MANY_REQUESTS => std::thread::sleep(RETRY_DELAY),
                NO_RESPONSE => return Err(failed(StoreProblem::NoResponse)),
                status => return Err(failed(StoreProblem::Refused(status))),
            }
        }
        Err(failed(StoreProblem::RateLimited))
    }
}

/// Parses the JSON value of a record.
pub(super) fn parse<T: DeserializeOwned>(item: &Item) -> Result<T, RecordsError> {
    serde_json::from_value(item.value.clone()).map_err(|source| RecordsError::Malformed {
        key: item.key.clone(),
        source,
    })
}
