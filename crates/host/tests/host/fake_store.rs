//! An in-memory store with conditional writes, whose responses can be lost or delayed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use lagoonnotch_host::ports::{
    LeaseGrant, ListPage, ListRequest, StoreError, StoreItem, StorePort, WatchRequest,
    WatchResponse, WriteOutcome, WriteRequest, port,
};

/// How the store handles writes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WriteMode {
    /// Applied and answered.
    #[default]
    Normal,
    /// Applied, but the response is lost.
    ResponseLost,
    /// Not answered, and applied when `apply_delayed` is called.
    Delayed,
    /// Not answered and never applied.
    Dropped,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, StoreItem>,
    revision: u64,
    write_mode: WriteMode,
    delayed: Vec<WriteRequest>,
}

/// An in-memory store.
#[derive(Clone, Default)]
pub struct FakeStore {
    state: Arc<Mutex<StoreState>>,
}

impl FakeStore {
    pub fn set_write_mode(&self, write_mode: WriteMode) {
        self.state.lock().expect("store lock").write_mode = write_mode;
    }

    /// Sets a key on behalf of another host, and returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let request = WriteRequest {
            set: vec![(key.to_owned(), Bytes::from(value.to_owned()))],
            ..WriteRequest::default()
        };
        let mut state = self.state.lock().expect("store lock");
        match apply(&mut state, &request) {
            WriteOutcome::Applied(revision) => revision,
            outcome => panic!("{outcome:?}"),
        }
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state.lock().expect("store lock");
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    /// Returns the revision of a key's last write.
    pub fn revision(&self, key: &str) -> Option<u64> {
        let state = self.state.lock().expect("store lock");
        Some(state.items.get(key)?.revision)
    }

    pub fn delete(&self, key: &str) {
        let request = WriteRequest {
            delete: vec![key.to_owned()],
            ..WriteRequest::default()
        };
        apply(&mut self.state.lock().expect("store lock"), &request);
    }

    /// Applies the delayed writes, and returns how many succeeded.
    pub fn apply_delayed(&self) -> usize {
        let mut state = self.state.lock().expect("store lock");
        let delayed = std::mem::take(&mut state.delayed);
        delayed
            .iter()
            .filter(|request| matches!(apply(&mut state, request), WriteOutcome::Applied(_)))
            .count()
    }

    pub fn port(&self) -> StorePort {
        let (read, list, write) = (self.clone(), self.clone(), self.clone());
        StorePort {
            read: port(move |key: String| std::future::ready(read.read(&key))),
            ping: port(|()| std::future::ready(Ok(()))),
            list: port(move |request| std::future::ready(Ok(list.list(&request)))),
            watch: port(|_: WatchRequest| {
                std::future::ready(Err::<WatchResponse, _>(StoreError::NotExecuted))
            }),
            write: port(move |request| std::future::ready(write.write(&request))),
            grant: port(|ttl_ms| {
                std::future::ready(Ok(LeaseGrant {
                    lease_id: 1,
                    ttl_ms,
                }))
            }),
            renew: port(|_| std::future::ready(Err(StoreError::NotFound))),
            revoke: port(|_| std::future::ready(Ok(()))),
        }
    }

    fn read(&self, key: &str) -> Result<StoreItem, StoreError> {
        let state = self.state.lock().expect("store lock");
        state.items.get(key).cloned().ok_or(StoreError::NotFound)
    }

    fn list(&self, request: &ListRequest) -> ListPage {
        let state = self.state.lock().expect("store lock");
        let items = state.items.values();
        ListPage {
            items: items
                .filter(|item| item.key.starts_with(&request.prefix))
                .cloned()
                .collect(),
            has_more: false,
            revision: state.revision,
        }
    }

    fn write(&self, request: &WriteRequest) -> WriteOutcome {
        let mut state = self.state.lock().expect("store lock");
        match state.write_mode {
            WriteMode::Normal => apply(&mut state, request),
            WriteMode::ResponseLost => {
                apply(&mut state, request);
                WriteOutcome::Unknown
            }
            WriteMode::Delayed => {
                state.delayed.push(request.clone());
                WriteOutcome::Unknown
            }
            WriteMode::Dropped => WriteOutcome::Unknown,
        }
    }
}

fn apply(state: &mut StoreState, request: &WriteRequest) -> WriteOutcome {
    let conditions_hold = request
        .expected
        .iter()
        .all(|(key, revision)| state.items.get(key).map_or(0, |item| item.revision) == *revision);
    if !conditions_hold {
        let keys = request.expected.iter().map(|(key, _)| key);
        return WriteOutcome::Conflict(
            keys.filter_map(|key| state.items.get(key).cloned())
                .collect(),
        );
    }
    state.revision += 1;
    let revision = state.revision;
    for (key, value) in request.set.iter().chain(&request.set_leased) {
        let create_revision = state
            .items
            .get(key)
            .map_or(revision, |item| item.create_revision);
        let item = StoreItem {
            key: key.clone(),
            value: value.clone(),
            revision,
            create_revision,
            deleted: false,
        };
        state.items.insert(key.clone(), item);
    }
    for key in &request.delete {
        state.items.remove(key);
    }
    WriteOutcome::Applied(revision)
}
