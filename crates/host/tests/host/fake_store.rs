//! A store in memory with conditional writes, whose answers can get lost.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use lagoonnotch_host::ports::{
    LeaseGrant, ListPage, ListRequest, StoreError, StoreItem, StorePort, WatchRequest,
    WatchResponse, WriteOutcome, WriteRequest, port,
};

/// What happens to the next writes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fate {
    /// Done and answered.
    #[default]
    Answered,
    /// Done, and the answer is lost.
    AnswerLost,
    /// Not answered, and done when `do_late` is called.
    Late,
    /// Not answered and never done.
    Dropped,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, StoreItem>,
    revision: u64,
    fate: Fate,
    late: Vec<WriteRequest>,
}

/// A store in memory.
#[derive(Clone, Default)]
pub struct FakeStore {
    state: Arc<Mutex<StoreState>>,
}

impl FakeStore {
    pub fn set_fate(&self, fate: Fate) {
        self.state.lock().expect("the store").fate = fate;
    }

    /// Sets a key as another host would; returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let call = WriteRequest {
            set: vec![(key.to_owned(), Bytes::from(value.to_owned()))],
            ..WriteRequest::default()
        };
        let mut state = self.state.lock().expect("the store");
        match apply(&mut state, &call) {
            WriteOutcome::Applied(revision) => revision,
            outcome => panic!("{outcome:?}"),
        }
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state.lock().expect("the store");
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    pub fn delete(&self, key: &str) {
        let call = WriteRequest {
            delete: vec![key.to_owned()],
            ..WriteRequest::default()
        };
        apply(&mut self.state.lock().expect("the store"), &call);
    }

    /// Carries out the writes that were held back; tells how many were done.
    pub fn do_late(&self) -> usize {
        let mut state = self.state.lock().expect("the store");
        let late = std::mem::take(&mut state.late);
        late.iter()
            .filter(|call| matches!(apply(&mut state, call), WriteOutcome::Applied(_)))
            .count()
    }

    pub fn port(&self) -> StorePort {
        let (read, list, write) = (self.clone(), self.clone(), self.clone());
        StorePort {
            read: port(move |key: String| std::future::ready(read.read(&key))),
            ping: port(|()| std::future::ready(Ok(()))),
            list: port(move |call| std::future::ready(Ok(list.list(&call)))),
            watch: port(|_: WatchRequest| {
                std::future::ready(Err::<WatchResponse, _>(StoreError::NotExecuted))
            }),
            write: port(move |call| std::future::ready(write.write(&call))),
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
        let state = self.state.lock().expect("the store");
        state.items.get(key).cloned().ok_or(StoreError::NotFound)
    }

    fn list(&self, call: &ListRequest) -> ListPage {
        let state = self.state.lock().expect("the store");
        let items = state.items.values();
        ListPage {
            items: items
                .filter(|item| item.key.starts_with(&call.prefix))
                .cloned()
                .collect(),
            has_more: false,
            revision: state.revision,
        }
    }

    fn write(&self, call: &WriteRequest) -> WriteOutcome {
        let mut state = self.state.lock().expect("the store");
        match state.fate {
            Fate::Answered => apply(&mut state, call),
            Fate::AnswerLost => {
                apply(&mut state, call);
                WriteOutcome::Unknown
            }
            Fate::Late => {
                state.late.push(call.clone());
                WriteOutcome::Unknown
            }
            Fate::Dropped => WriteOutcome::Unknown,
        }
    }
}

fn apply(state: &mut StoreState, call: &WriteRequest) -> WriteOutcome {
    let holds = call
        .expected
        .iter()
        .all(|(key, revision)| state.items.get(key).map_or(0, |item| item.revision) == *revision);
    if !holds {
        let keys = call.expected.iter().map(|(key, _)| key);
        return WriteOutcome::Conflict(
            keys.filter_map(|key| state.items.get(key).cloned())
                .collect(),
        );
    }
    state.revision += 1;
    let revision = state.revision;
    for (key, value) in call.set.iter().chain(&call.set_leased) {
        let created = state
            .items
            .get(key)
            .map_or(revision, |item| item.create_revision);
        let item = StoreItem {
            key: key.clone(),
            value: value.clone(),
            revision,
            create_revision: created,
            deleted: false,
        };
        state.items.insert(key.clone(), item);
    }
    for key in &call.delete {
        state.items.remove(key);
    }
    WriteOutcome::Applied(revision)
}
