//! Compare-and-swap transactions.

use super::changes::{Change, MAX_LOG_ENTRIES};
use super::{Entry, Response, StoreModel};
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::MachineId;
use serde_json::{json, Value};

/// Maximum size of the body of a transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Prefix of the keys of machine records.
const MACHINE_KEY_PREFIX: &str = "c/machine/";

impl<W> StoreModel<W> {
    /// Responds to a request to execute a transaction.
    pub(super) fn handle_transaction(
        &mut self,
        body: &[u8],
        transaction: serde_json::Result<Transaction>,
    ) -> Response {
        if body.len() > MAX_TRANSACTION_BYTES {
            self.oversized_transactions += 1;
            return (400, json!({"error": "too large"}));
        }
        match transaction {
            Ok(transaction) => self.execute_transaction(transaction),
            Err(e) => (400, json!({"error": e.to_string()})),
        }
    }

    /// Executes all writes of a transaction at one revision, or none: 400 if it exceeds a limit or
    /// names an expired lease, 409 with the failed keys if a precondition does not hold.
    fn execute_transaction(&mut self, transaction: Transaction) -> Response {
        if let Err(e) = self.size_limits.check(&transaction) {
            self.oversized_transactions += 1;
            log::info!("store: transaction refused: {e}");
            return (400, json!({"error": e.to_string()}));
        }
        if !self.has_all_leases(&transaction) {
            return (400, json!({"error": "no such lease"}));
        }
        let failed = self.failed_preconditions(&transaction);
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_rev": self.revision}));
        }
        self.writes += transaction.writes.len() as u64;
        self.record_decommissioned(&transaction);
        if !transaction.writes.is_empty() {
            self.revision += 1;
        }
        for write in transaction.writes {
            match write {
                Write::Put { key, value, lease } => self.put(key, value, lease),
                Write::Remove { key } => self.remove(key),
            }
        }
        while self.change_log.len() > MAX_LOG_ENTRIES {
            self.change_log.pop_front();
        }
        (200, json!({"ledger_rev": self.revision}))
    }

    fn has_all_leases(&self, transaction: &Transaction) -> bool {
        transaction.writes.iter().all(|write| match write {
            Write::Put { lease, .. } => lease.is_none_or(|lease| self.leases.contains(lease)),
            Write::Remove { .. } => true,
        })
    }

    /// Keys whose version differs from the expected version. A missing key has version 0.
    fn failed_preconditions<'a>(&self, transaction: &'a Transaction) -> Vec<&'a str> {
        let version = |key: &str| self.entries.get(key).map_or(0, |entry| entry.version);
        let preconditions = transaction.preconditions.iter();
        preconditions
            .filter(|precondition| version(&precondition.key) != precondition.version)
            .map(|precondition| precondition.key.as_str())
            .collect()
    }

    fn put(&mut self, key: String, value: Value, lease: Option<u64>) {
        if let Some(puts) = &mut self.recorded_puts {
            puts.push((key.clone(), value.clone()));
        }
        self.change_log.push_back(Change {
            revision: self.revision,
            key: key.clone(),
            value: Some(value.clone()),
        });
        let entry = Entry {
            value,
            version: self.revision,
            lease,
        };
        self.entries.insert(key, entry);
    }

    pub(super) fn remove(&mut self, key: String) {
        if self.entries.remove(&key).is_some() {
            self.change_log.push_back(Change {
                revision: self.revision,
                key,
                value: None,
            });
        }
    }

    /// Records the machines whose new records are marked as decommissioned, with the first reason.
    fn record_decommissioned(&mut self, transaction: &Transaction) {
        for write in &transaction.writes {
            let Write::Put { key, value, .. } = write else {
                continue;
            };
            let reason = value.get("condemned").and_then(Value::as_str);
            if let (Some(id), Some(reason)) = (key.strip_prefix(MACHINE_KEY_PREFIX), reason) {
                let first = self.decommissioned.entry(MachineId::new(id));
                first.or_insert_with(|| reason.to_owned());
            }
        }
    }
}
