//! Stand-in for the platform's metadata store: items, ranges, watches, transactions and leases.

use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, serve};
use crate::json::{Json, quote};

/// Most bytes of a value, `value_bytes`.
const VALUE_BYTES: usize = 1_048_576;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    key: String,
    revision: u64,
    /// The item as it was written; `None` if it was deleted.
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    /// Keys and lengths of the values that were too long.
    refused: Vec<(String, usize)>,
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push(Change {
            key: key.to_owned(),
            revision,
            item: Some(item),
        });
    }

    fn delete(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.changes.push(Change {
                key: key.to_owned(),
                revision,
                item: None,
            });
        }
    }

    /// Removes the keys of the leases that have ended.
    fn end_leases(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in &ended {
            self.end_lease(*id);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key, self.revision);
        }
    }
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store.
    pub fn start(listener: TcpListener) -> Store {
        let state = State {
            revision: 100,
            items: BTreeMap::new(),
            changes: Vec::new(),
            leases: HashMap::new(),
            last_lease: 0,
            refused: Vec::new(),
        };
        let store = Store {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let (serving, ticking) = (store.clone(), store.clone());
        serve(listener, |_| 0, move |_, request| serving.handle(request));
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                let changed = ticking.shared.0.lock().unwrap().end_leases();
                if changed {
                    ticking.shared.1.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key as the operator or as a worker.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.set(key, base64(value.as_bytes()), 0, revision);
        self.shared.1.notify_all();
    }

    /// Deletes a key as the operator or for a worker.
    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.delete(key, revision);
        self.shared.1.notify_all();
    }

    /// Returns the keys and lengths of the values that were too long.
    pub fn refused(&self) -> Vec<(String, usize)> {
        self.shared.0.lock().unwrap().refused.clone()
    }

    fn handle(&self, request: &Request) -> Reply {
        std::thread::sleep(ANSWER_TIME);
        let (status, body) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/kv-key") => self.read(request),
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.transaction(request),
            ("POST", "/-/kv-lease") => self.grant(request),
            ("POST", path) => match path.strip_prefix("/-/kv-keep/") {
                Some(id) => self.keep(id),
                None => (400, "{}".to_owned()),
            },
            ("DELETE", path) => match path.strip_prefix("/-/kv-lease-end/") {
                Some(id) => {
                    let mut state = self.shared.0.lock().unwrap();
                    state.end_lease(id.parse().unwrap_or(0));
                    self.shared.1.notify_all();
                    (200, "{}".to_owned())
                }
                None => (400, "{}".to_owned()),
            },
            _ => (400, "{}".to_owned()),
        };
        Reply::Answer(status, body)
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let key = request.parameter("key").unwrap_or("");
        match state.items.get(key) {
            Some(item) => {
                let members = item_members(key, item);
                (
                    200,
                    format!("{{{members},\"current_rev\":{}}}", state.revision),
                )
            }
            None => (404, format!("{{\"current_rev\":{}}}", state.revision)),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let prefix = request.parameter("prefix").unwrap_or("");
        let after = request.parameter("after");
        let mut found = state
            .items
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let page: Vec<String> = found
            .by_ref()
            .take(500)
            .map(|(key, item)| format!("{{{}}}", item_members(key, item)))
            .collect();
        let more = found.next().is_some();
        let body = format!(
            "{{\"items\":[{}],\"more_pages\":{more},\"current_rev\":{}}}",
            page.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.parameter("prefix").unwrap_or("");
        let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let ends_at = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(prefix))
                .map(|change| match &change.item {
                    Some(item) => format!("{{{}}}", item_members(&change.key, item)),
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                        quote(&change.key),
                        change.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= ends_at {
                let body = format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.shared.1.wait_timeout(state, ends_at - now).unwrap().0;
        }
    }

    fn transaction(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.shared.0.lock().unwrap();
        state.end_leases();
        let expected = body.list("expected_rev");
        let key_of = |row: &Json| row.text("key").unwrap_or("").to_owned();
        let holds = expected.iter().all(|row| {
            let revision = state
                .items
                .get(&key_of(row))
                .map_or(0, |item| item.revision);
            row.number("revision") == Some(revision)
        });
        if !holds {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = key_of(row);
                    let item = state.items.get(&key)?;
                    Some(format!("{{{}}}", item_members(&key, item)))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let sets = body.list("set_keys");
        let lease_of = |row: &Json| row.number("lease").unwrap_or(0);
        let is_gone = |row: &Json| lease_of(row) > 0 && !state.leases.contains_key(&lease_of(row));
        if sets.iter().any(is_gone) {
            return (404, "{}".to_owned());
        }
        let length_of = |row: &Json| row.text("value").map_or(0, |value| value.len() / 4 * 3);
        if let Some(row) = sets.iter().find(|row| length_of(row) > VALUE_BYTES) {
            state.refused.push((key_of(row), length_of(row)));
            return (400, "{\"error\":\"a value is too long\"}".to_owned());
        }
        state.revision += 1;
        let revision = state.revision;
        for row in sets {
            let value = row.text("value").unwrap_or("").to_owned();
            state.set(&key_of(row), value, lease_of(row), revision);
        }
        for key in body.list("delete_keys") {
            if let Json::Text(key) = key {
                state.delete(key, revision);
            }
        }
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, request: &Request) -> (u16, String) {
        let ttl_ms = Json::parse(&request.body).and_then(|body| body.number("ttl_ms"));
        let ttl_ms = ttl_ms.unwrap_or(1000).clamp(1000, 600_000);
        let mut state = self.shared.0.lock().unwrap();
        state.last_lease += 1;
        let id = state.last_lease;
        let ttl = Duration::from_millis(ttl_ms);
        let ends_at = Instant::now() + ttl;
        state.leases.insert(id, Lease { ttl, ends_at });
        (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn keep(&self, id: &str) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        state.end_leases();
        match state.leases.get_mut(&id.parse().unwrap_or(0)) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

fn item_members(key: &str, item: &Item) -> String {
    format!(
        "\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

/// Encodes bytes as standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .chain(&[0, 0])
            .take(3)
            .fold(0u32, |group, byte| (group << 8) | u32::from(*byte));
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (group >> (18 - 6 * place)) & 63;
                text.push(char::from(LETTERS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
