//! What the parts of a host know together.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lagoonnotch_fleet::model::ApprovedConfig;
use tokio::sync::Notify;

use crate::clock::now_ms;
use crate::event::FleetEvent;
use crate::peer::{ConfigSight, HelloReply, PeerRef};

/// Age of the last answer of the store at which it counts as lost, in milliseconds.
const STORE_LOST_MS: u64 = 1800;

/// Age of the last answer of the store at which calls go through a peer first, in milliseconds.
const STORE_SILENT_MS: u64 = 1000;

/// The owner, as the store names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerRef {
    /// Name of the host.
    pub host: Arc<str>,
    /// Address for the hosts' own calls.
    pub address: Arc<str>,
    /// Epoch of the ownership.
    pub epoch: u64,
}

#[derive(Debug, Default)]
struct ViewState {
    config: Option<Arc<ApprovedConfig>>,
    evacuated: BTreeSet<Arc<str>>,
    /// When the newest linearizable reading of the configuration began, by this host or by the
    /// owner.
    config_read_at: u64,
    /// Digest of what the operator wrote, as it was read last.
    config_digest: u64,
    /// Whether the owner has read something else than this host.
    reading_wanted: bool,
    /// When the last call began that the store answered.
    store_answered_at: u64,
    store_lost: bool,
    owner: Option<OwnerRef>,
    /// Waiting submissions by queue, and when the owner told them.
    waiting: HashMap<Arc<str>, u64>,
    waiting_at: u64,
    /// Other hosts, as the owner told them.
    peers: Vec<PeerRef>,
    stopping: bool,
    /// Epoch that this host owns the fleet in, once it has recovered.
    owned_epoch: Option<u64>,
}

/// What the parts of a host know together.
#[derive(Clone, Debug, Default)]
pub struct HostView {
    state: Arc<Mutex<ViewState>>,
    /// Wakes the reader of the configuration.
    reading: Arc<Notify>,
}

impl HostView {
    /// Takes a reading of what the operator approved, begun at `read_at`; true if it is newer.
    #[must_use]
    pub fn set_config(
        &self,
        read_at: u64,
        digest: u64,
        config: Option<Arc<ApprovedConfig>>,
        evacuated: BTreeSet<Arc<str>>,
    ) -> bool {
        let mut state = self.lock();
        if read_at < state.config_read_at {
            return false;
        }
        state.config_read_at = read_at;
        state.config_digest = digest;
        let held = state.config.as_ref().map_or(0, |held| held.revision);
        let newer = config.as_ref().is_some_and(|config| config.revision > held);
        if newer {
            state.config = config;
        }
        let changed = state.evacuated != evacuated;
        state.evacuated = evacuated;
        newer || changed
    }

    /// Takes what the owner says of its last reading, which began at `read_at` at the earliest: it
    /// confirms what this host has, or has this host read anew.
    pub fn confirm_config(&self, digest: u64, read_at: u64) {
        let mut state = self.lock();
        if digest == state.config_digest {
            state.config_read_at = state.config_read_at.max(read_at);
        } else {
            state.reading_wanted = true;
            self.reading.notify_one();
        }
    }

    /// Waits until a new reading of the configuration is wanted.
    pub async fn reading_wanted(&self) {
        self.reading.notified().await;
    }

    /// Tells whether a new reading of the configuration is wanted, and takes the wish.
    #[must_use]
    pub fn takes_wanted_reading(&self) -> bool {
        std::mem::take(&mut self.lock().reading_wanted)
    }

    /// Returns the configuration in force, and when it was known to be the newest.
    #[must_use]
    pub fn config(&self) -> Option<(Arc<ApprovedConfig>, u64)> {
        let state = self.lock();
        state
            .config
            .clone()
            .map(|config| (config, state.config_read_at))
    }

    /// Returns the failure domains that are out of service.
    #[must_use]
    pub fn evacuated(&self) -> BTreeSet<Arc<str>> {
        self.lock().evacuated.clone()
    }

    /// Notes that the store answered a call that began at `began_at`.
    pub fn note_store(&self, began_at: u64) {
        let mut state = self.lock();
        state.store_answered_at = state.store_answered_at.max(began_at);
        if state.store_lost && now_ms().saturating_sub(state.store_answered_at) < STORE_LOST_MS {
            state.store_lost = false;
            FleetEvent::StoreRegained.emit(serde_json::Value::Null);
        }
    }

    /// Returns the time since the store answered, in milliseconds.
    #[must_use]
    pub fn store_age_ms(&self) -> u64 {
        let mut state = self.lock();
        let age = now_ms().saturating_sub(state.store_answered_at);
        if age >= STORE_LOST_MS && !state.store_lost && state.store_answered_at > 0 {
            state.store_lost = true;
            FleetEvent::StoreLost.emit(serde_json::json!({"age_ms": age}));
        }
        age
    }

    /// Tells whether calls to the store would most likely get no answer.
    #[must_use]
    pub fn store_is_silent(&self) -> bool {
        self.store_age_ms() >= STORE_SILENT_MS
    }

    /// Sets the owner that the store names.
    pub fn set_owner(&self, owner: Option<OwnerRef>) {
        let mut state = self.lock();
        let known = state.owner.as_ref().map_or(0, |owner| owner.epoch);
        if owner.as_ref().is_none_or(|owner| owner.epoch >= known) {
            state.owner = owner;
        }
    }

    /// Returns the owner that the store names.
    #[must_use]
    pub fn owner(&self) -> Option<OwnerRef> {
        self.lock().owner.clone()
    }

    /// Sets the epoch that this host owns the fleet in.
    pub fn set_owned_epoch(&self, epoch: Option<u64>) {
        self.lock().owned_epoch = epoch;
    }

    /// Returns the epoch that this host owns the fleet in.
    #[must_use]
    pub fn owned_epoch(&self) -> Option<u64> {
        self.lock().owned_epoch
    }

    /// Takes the other hosts.
    pub fn set_peers(&self, peers: Vec<PeerRef>) {
        self.lock().peers = peers;
    }

    /// Returns the largest processor of the other hosts, in thousandths of a core.
    #[must_use]
    pub fn largest_peer_milli(&self) -> u32 {
        let state = self.lock();
        let peers = state.peers.iter().map(|peer| peer.processor_milli);
        peers.max().unwrap_or(0)
    }

    /// Returns the addresses of hosts that may relay calls to the store, the owner's first.
    #[must_use]
    pub fn relays(&self, own: &str) -> Vec<Arc<str>> {
        let state = self.lock();
        let owner = state.owner.iter().map(|owner| owner.address.clone());
        let mut relays: Vec<_> = owner
            .chain(state.peers.iter().map(|peer| peer.address.clone()))
            .collect();
        relays.retain(|address| &**address != own);
        relays.dedup();
        relays
    }

    /// Takes the owner's counts of waiting submissions.
    pub fn set_waiting(&self, waiting: HashMap<Arc<str>, u64>) {
        let mut state = self.lock();
        state.waiting = waiting;
        state.waiting_at = now_ms();
    }

    /// Returns the answer to a greeting, as this host greeted itself last: a host that is busy, for
    /// example with a recovery, answers all the same and is not taken for dead.
    #[must_use]
    pub fn hello_reply(&self) -> HelloReply {
        let store_age_ms = self.store_age_ms();
        let state = self.lock();
        let owns = state.owned_epoch.is_some();
        let reading = ConfigSight {
            digest: state.config_digest,
            age_ms: now_ms().saturating_sub(state.config_read_at),
        };
        HelloReply {
            epoch: state.owned_epoch,
            store_age_ms,
            config: Some(reading),
            waiting: if owns {
                state.waiting.clone()
            } else {
                HashMap::new()
            },
            peers: state.peers.clone(),
        }
    }

    /// Returns the number of waiting submissions of a queue, and its age in milliseconds.
    #[must_use]
    pub fn waiting(&self, queue: &str) -> (u64, u64) {
        let state = self.lock();
        let count = state.waiting.get(queue).copied().unwrap_or(0);
        (count, now_ms().saturating_sub(state.waiting_at))
    }

    /// Notes that the host is stopping.
    pub fn set_stopping(&self) {
        self.lock().stopping = true;
    }

    /// Tells whether the host is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    /// Tells whether the balancer may send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let age = self.store_age_ms();
        let state = self.lock();
        state.config.is_some() && !state.stopping && age < STORE_LOST_MS
    }

    fn lock(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
