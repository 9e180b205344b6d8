//! The key-value store as a pure state machine.

use std::collections::{BTreeMap, VecDeque};

use lagoonnotch_wire::store::{StoreCall, StoreChange, StoreEntry, StoreReply};

/// Largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1_048_576;

/// Number of past changes that a watch can return.
const MAX_HISTORY_CHANGES: usize = 50_000;

/// A value with the revision of its last write.
#[derive(Clone, Debug)]
struct StoredValue {
    value: String,
    revision: u64,
    lease: Option<u64>,
}

/// A lease whose keys are deleted when it expires.
#[derive(Clone, Debug)]
struct StoredLease {
    ttl_ms: u64,
    expires_ms: u64,
}

/// Key-value store with compare-and-swap writes, leases and a change history.
#[derive(Clone, Debug, Default)]
pub struct StoreModel {
    entries: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, StoredLease>,
    history: VecDeque<StoreChange>,
    /// Revision of the latest change; never decreases.
    revision: u64,
    next_lease: u64,
}

impl StoreModel {
    /// Executes a call at the given time, in milliseconds.
    pub fn apply(&mut self, now_ms: u64, call: &StoreCall) -> StoreReply {
        self.expire_leases(now_ms);
        match call {
            StoreCall::Get { key } => StoreReply::Value {
                entry: self.entry(key),
            },
            StoreCall::Range {
                prefix,
                after,
                limit,
            } => self.range(prefix, after, *limit),
            StoreCall::Put {
                key,
                value,
                expect,
                lease,
            } => self.put(key, value, *expect, *lease),
            StoreCall::Delete { key, expect } => self.delete(key, *expect),
            StoreCall::LeaseGrant { ttl_ms } => self.grant_lease(now_ms, *ttl_ms),
            StoreCall::LeaseRenew { lease } => self.renew_lease(now_ms, *lease),
            StoreCall::LeaseRevoke { lease } => self.revoke_lease(*lease),
            StoreCall::Watch {
                prefix,
                after_revision,
                ..
            } => self.changes(prefix, *after_revision),
        }
    }

    /// Removes expired leases and deletes their keys.
    pub fn expire_leases(&mut self, now_ms: u64) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }

    fn entry(&self, key: &str) -> Option<StoreEntry> {
        self.entries.get(key).map(|stored| StoreEntry {
            key: key.to_owned(),
            value: stored.value.clone(),
            revision: stored.revision,
        })
    }

    fn range(&self, prefix: &str, after: &str, limit: u64) -> StoreReply {
        let first = if after.is_empty() {
            prefix.to_owned()
        } else {
            format!("{after}\0")
        };
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let mut found = self
            .entries
            .range(first..)
            .take_while(|(key, _)| key.starts_with(prefix));
        let entries = found
            .by_ref()
            .take(limit)
            .map(|(key, stored)| StoreEntry {
                key: key.clone(),
                value: stored.value.clone(),
                revision: stored.revision,
            })
            .collect();
        StoreReply::Entries {
            entries,
            more: found.next().is_some(),
        }
    }

    fn put(&mut self, key: &str, value: &str, expect: u64, lease: Option<u64>) -> StoreReply {
        if value.len() > MAX_VALUE_BYTES {
            return StoreReply::TooLarge {
                detail: format!("{} bytes", value.len()),
            };
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return StoreReply::LeaseGone;
        }
        let current = self.entries.get(key).map_or(0, |stored| stored.revision);
        if current != expect {
            return StoreReply::Conflict {
                entry: self.entry(key),
            };
        }
        let revision = self.record_change(key, Some(value));
        self.entries.insert(
            key.to_owned(),
            StoredValue {
                value: value.to_owned(),
                revision,
                lease,
            },
        );
        StoreReply::Written { revision }
    }

    fn delete(&mut self, key: &str, expect: u64) -> StoreReply {
        let current = self.entries.get(key).map_or(0, |stored| stored.revision);
        if current != expect {
            return StoreReply::Conflict {
                entry: self.entry(key),
            };
        }
        let revision = self.record_change(key, None);
        self.entries.remove(key);
        StoreReply::Written { revision }
    }

    fn grant_lease(&mut self, now_ms: u64, ttl_ms: u64) -> StoreReply {
        self.next_lease += 1;
        let lease = StoredLease {
            ttl_ms,
            expires_ms: now_ms + ttl_ms,
        };
        self.leases.insert(self.next_lease, lease);
        StoreReply::Lease {
            lease: self.next_lease,
        }
    }

    fn renew_lease(&mut self, now_ms: u64, id: u64) -> StoreReply {
        let Some(lease) = self.leases.get_mut(&id) else {
            return StoreReply::LeaseGone;
        };
        lease.expires_ms = now_ms + lease.ttl_ms;
        StoreReply::Lease { lease: id }
    }

    fn revoke_lease(&mut self, id: u64) -> StoreReply {
        if self.leases.remove(&id).is_none() {
            return StoreReply::LeaseGone;
        }
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, stored)| stored.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.record_change(&key, None);
            self.entries.remove(&key);
        }
        StoreReply::Lease { lease: id }
    }

    fn changes(&self, prefix: &str, after_revision: u64) -> StoreReply {
        let newest_first = self
            .history
            .iter()
            .rev()
            .take_while(|change| change.revision > after_revision);
        let mut changes: Vec<StoreChange> = newest_first
            .filter(|change| change.key.starts_with(prefix))
            .cloned()
            .collect();
        changes.reverse();
        StoreReply::Changes {
            revision: self.revision,
            changes,
        }
    }

    fn record_change(&mut self, key: &str, value: Option<&str>) -> u64 {
        self.revision += 1;
        let change = StoreChange {
            key: key.to_owned(),
            value: value.map(str::to_owned),
            revision: self.revision,
        };
        self.history.push_back(change);
        if self.history.len() > MAX_HISTORY_CHANGES {
            self.history.pop_front();
        }
        self.revision
    }
}
