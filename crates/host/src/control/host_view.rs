//! State shared by the components of a host.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lagoonnotch_fleet::model::ApprovedConfig;
use tokio::sync::Notify;

use crate::clock::now_ms;
use crate::event::FleetEvent;
use crate::ownership::MAX_CONTACT_AGE_MS;
use crate::peer::{ConfigFingerprint, HeartbeatReply, PeerInfo};
use crate::store::RevisionLog;

/// Time without a response after which the store is considered lost, in milliseconds.
const STORE_LOST_MS: u64 = 1800;

/// Age of the last store response from which hedged requests are no longer sent directly and
/// requests of peers are declined, in milliseconds.
const STORE_UNRESPONSIVE_MS: u64 = 1000;

/// Maximum age of the counts of waiting submissions that an owner reports to other hosts, in
/// milliseconds.
pub const MAX_REPORTED_COUNT_AGE_MS: u64 = 600;

/// Numbers of waiting submissions, as counted by an owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingCounts {
    /// Epoch of the owner that counted.
    pub epoch: u64,
    /// Number of waiting submissions by queue; a queue without an entry has none.
    pub by_queue: HashMap<Arc<str>, u64>,
    /// Time at which the owner counted, or a time before that, in milliseconds of this host's clock.
    pub counted_at: u64,
    /// The owner knew every submission that was stored before this time, in milliseconds of this
    /// host's clock; `None` if the owner is another host, which does not report it.
    pub known_until: Option<u64>,
}

/// The number of waiting submissions of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingCount {
    /// Number of submissions.
    pub count: u64,
    /// Maximum age of the number, in milliseconds.
    pub age_ms: u64,
    /// Epoch of the owner that counted.
    pub epoch: u64,
    /// Maximum age of a submission that the number may lack, in milliseconds; `None` if the owner is
    /// another host.
    pub unknown_ms: Option<u64>,
}

/// The owner according to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerInfo {
    /// Name of the host.
    pub host: Arc<str>,
    /// Address for calls between hosts.
    pub address: Arc<str>,
    /// Epoch of the ownership.
    pub epoch: u64,
}

#[derive(Debug, Default)]
struct ViewState {
    config: Option<Arc<ApprovedConfig>>,
    evacuated_domains: BTreeSet<Arc<str>>,
    /// When the newest linearizable read of the configuration began, by this host or by the owner.
    config_read_at: u64,
    /// Digest of the operator's items, as of the last read.
    config_digest: u64,
    /// Whether the owner reported a digest that differs from this host's, so that it must read
    /// again.
    config_read_requested: bool,
    /// When the last request that the store answered was sent.
    store_responded_at: u64,
    store_lost: bool,
    owner: Option<OwnerInfo>,
    /// Numbers of waiting submissions; `None` until an owner has reported them.
    waiting_counts: Option<WaitingCounts>,
    /// Hosts that recently sent a heartbeat to the owner and are not stopping, including this one,
    /// as last reported by the owner.
    peers: Vec<PeerInfo>,
    /// Digest of `peers`.
    peers_digest: u64,
    stopping: bool,
    /// Epoch of this host's ownership, once it has recovered.
    owned_epoch: Option<u64>,
    /// Highest revision of a submission that a host reported to this one as the owner.
    reported_revision: u64,
    /// When each host last sent a heartbeat to this one, by address.
    heartbeats: HashMap<Arc<str>, u64>,
    /// When this host last requested a claim of the ownership, or started: an earlier process of it may
    /// have claimed.
    possible_claim_at: Option<u64>,
    /// Until when heartbeats are answered as if the store were out of reach, except to the hosts in
    /// `outage_observers`.
    outage_reported_until: u64,
    /// Addresses of the hosts that did not reach the store when this one asked them.
    outage_observers: HashSet<Arc<str>>,
}

/// State shared by the components of a host.
#[derive(Clone, Debug, Default)]
pub struct HostView {
    state: Arc<Mutex<ViewState>>,
    /// Wakes the configuration reader.
    config_read_notify: Arc<Notify>,
    /// Sightings of the store's revision.
    revision_log: RevisionLog,
}

impl HostView {
    /// Returns this host's sightings of the store's revision.
    #[must_use]
    pub fn revision_log(&self) -> &RevisionLog {
        &self.revision_log
    }

    /// Applies a read of the operator's items that began at `read_at`; returns true if it changed
    /// anything.
    #[must_use]
    pub fn set_config(
        &self,
        read_at: u64,
        digest: u64,
        config: Option<Arc<ApprovedConfig>>,
        evacuated_domains: BTreeSet<Arc<str>>,
    ) -> bool {
        let mut state = self.lock();
        if read_at < state.config_read_at {
            return false;
        }
        state.config_read_at = read_at;
        state.config_digest = digest;
        let current = state.config.as_ref().map_or(0, |current| current.revision);
        let newer = config
            .as_ref()
            .is_some_and(|config| config.revision > current);
        if newer {
            state.config = config;
        }
        let changed = state.evacuated_domains != evacuated_domains;
        state.evacuated_domains = evacuated_domains;
        newer || changed
    }

    /// Applies the owner's report of its last read, which began at `read_at` or later. An equal
    /// digest confirms this host's configuration; a different one makes this host read it again.
    pub fn confirm_config(&self, digest: u64, read_at: u64) {
        let mut state = self.lock();
        if digest == state.config_digest {
            state.config_read_at = state.config_read_at.max(read_at);
        } else {
            state.config_read_requested = true;
            self.config_read_notify.notify_one();
        }
    }

    /// Waits until a read of the operator's items is requested.
    pub async fn wait_for_read_request(&self) {
        self.config_read_notify.notified().await;
    }

    /// Returns whether a read of the operator's items is requested, and clears the request.
    #[must_use]
    pub fn take_read_request(&self) -> bool {
        std::mem::take(&mut self.lock().config_read_requested)
    }

    /// Returns the current configuration, and when it was last known to be the newest.
    #[must_use]
    pub fn config(&self) -> Option<(Arc<ApprovedConfig>, u64)> {
        let state = self.lock();
        state
            .config
            .clone()
            .map(|config| (config, state.config_read_at))
    }

    /// Returns the failure domains taken out of service.
    #[must_use]
    pub fn evacuated_domains(&self) -> BTreeSet<Arc<str>> {
        self.lock().evacuated_domains.clone()
    }

    /// Records that the store responded to a request sent at `sent_at`.
    pub fn record_store_response(&self, sent_at: u64) {
        let mut state = self.lock();
        state.store_responded_at = state.store_responded_at.max(sent_at);
        if state.store_lost && now_ms().saturating_sub(state.store_responded_at) < STORE_LOST_MS {
            state.store_lost = false;
            FleetEvent::StoreRegained.emit(serde_json::Value::Null);
        }
    }

    /// Returns the time since the last answered store request was sent, in milliseconds. Logs
    /// `StoreLost` when the store becomes lost.
    #[must_use]
    pub fn store_response_age_ms(&self) -> u64 {
        let mut state = self.lock();
        let age = now_ms().saturating_sub(state.store_responded_at);
        if age >= STORE_LOST_MS && !state.store_lost && state.store_responded_at > 0 {
            state.store_lost = true;
            FleetEvent::StoreLost.emit(serde_json::json!({"age_ms": age}));
        }
        age
    }

    /// Returns whether requests to the store would most likely get no response.
    #[must_use]
    pub fn is_store_unresponsive(&self) -> bool {
        self.store_response_age_ms() >= STORE_UNRESPONSIVE_MS
    }

    /// Sets the owner according to the store, unless a later one is known.
    pub fn set_owner(&self, owner: Option<OwnerInfo>) {
        let mut state = self.lock();
        let known_epoch = state.owner.as_ref().map_or(0, |owner| owner.epoch);
        if owner
            .as_ref()
            .is_none_or(|owner| owner.epoch >= known_epoch)
        {
            state.owner = owner;
        }
    }

    /// Returns the owner according to the store.
    #[must_use]
    pub fn owner(&self) -> Option<OwnerInfo> {
        self.lock().owner.clone()
    }

    /// Sets the epoch of this host's ownership.
    pub fn set_owned_epoch(&self, epoch: Option<u64>) {
        self.lock().owned_epoch = epoch;
    }

    /// Returns the epoch of this host's ownership; `None` if it is not the owner.
    #[must_use]
    pub fn owned_epoch(&self) -> Option<u64> {
        self.lock().owned_epoch
    }

    /// Records that a host reported a submission stored at this revision to this host.
    pub fn record_reported_revision(&self, revision: u64) {
        let mut state = self.lock();
        state.reported_revision = state.reported_revision.max(revision);
    }

    /// Returns the highest revision of a submission that a host reported to this one; 0 if none did.
    #[must_use]
    pub fn reported_revision(&self) -> u64 {
        self.lock().reported_revision
    }

    /// Sets the hosts that the owner lists.
    pub fn set_peers(&self, peers: Vec<PeerInfo>) {
        let mut hasher = DefaultHasher::new();
        peers.hash(&mut hasher);
        let mut state = self.lock();
        state.peers_digest = hasher.finish();
        state.peers = peers;
    }

    /// Returns the number of hosts that the owner lists.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.lock().peers.len()
    }

    /// Returns the digest of the hosts that the owner lists.
    #[must_use]
    pub fn peers_digest(&self) -> u64 {
        self.lock().peers_digest
    }

    /// Returns the largest CPU capacity among the hosts that the owner lists (this host may be
    /// among them), in thousandths of a core.
    #[must_use]
    pub fn largest_peer_processor_milli(&self) -> u32 {
        let state = self.lock();
        let peers = state.peers.iter().map(|peer| peer.processor_milli);
        peers.max().unwrap_or(0)
    }

    /// Returns the addresses of hosts that may relay requests to the store, each once and the
    /// owner's first.
    #[must_use]
    pub fn relay_addresses(&self, own_address: &str) -> Vec<Arc<str>> {
        let state = self.lock();
        let owner = state.owner.iter().map(|owner| owner.address.clone());
        let peers = state.peers.iter().map(|peer| peer.address.clone());
        let mut known = HashSet::new();
        owner
            .chain(peers)
            .filter(|address| &**address != own_address && known.insert(address.clone()))
            .collect()
    }

    /// Sets the numbers of waiting submissions, unless those of a later epoch are known.
    pub fn set_waiting_counts(&self, counts: WaitingCounts) {
        let mut state = self.lock();
        let known_epoch = state.waiting_counts.as_ref().map_or(0, |known| known.epoch);
        if counts.epoch >= known_epoch {
            state.waiting_counts = Some(counts);
        }
    }

    /// Returns the reply to a heartbeat without asking the control actor, so that a host whose
    /// actor is busy, for example recovering, still replies in time and is not considered lost.
    /// Peers are those of the last reply that the owner sent to this host. Counts are included only
    /// if this host counted them as the present owner a moment ago: those of an earlier owner, or
    /// none yet, say nothing about the submissions that wait now. `address` is that of the host that
    /// sent the heartbeat.
    #[must_use]
    pub fn heartbeat_reply(&self, address: &str, known_peers_digest: u64) -> HeartbeatReply {
        let store_response_age_ms = self.store_response_age_ms();
        let state = self.lock();
        let now = now_ms();
        let fingerprint = ConfigFingerprint {
            digest: state.config_digest,
            age_ms: now.saturating_sub(state.config_read_at),
        };
        let own_counts = state.waiting_counts.as_ref().filter(|counts| {
            state.owned_epoch == Some(counts.epoch)
                && now.saturating_sub(counts.counted_at) <= MAX_REPORTED_COUNT_AGE_MS
        });
        let reports_outage = now < state.outage_reported_until;
        let reported_age_ms = if reports_outage && !state.outage_observers.contains(address) {
            store_response_age_ms.max(MAX_CONTACT_AGE_MS + 1)
        } else {
            store_response_age_ms
        };
        HeartbeatReply {
            epoch: own_counts.map(|counts| counts.epoch),
            store_response_age_ms: reported_age_ms,
            config: Some(fingerprint),
            waiting_counts: own_counts
                .map(|counts| counts.by_queue.clone())
                .unwrap_or_default(),
            peers: (known_peers_digest != state.peers_digest).then(|| state.peers.clone()),
        }
    }

    /// Returns the number of waiting submissions of a queue; `None` if no owner has reported it.
    #[must_use]
    pub fn waiting_count(&self, queue: &str) -> Option<WaitingCount> {
        let state = self.lock();
        let counts = state.waiting_counts.as_ref()?;
        let now = now_ms();
        Some(WaitingCount {
            count: counts.by_queue.get(queue).copied().unwrap_or(0),
            age_ms: now.saturating_sub(counts.counted_at),
            epoch: counts.epoch,
            unknown_ms: counts.known_until.map(|until| now.saturating_sub(until)),
        })
    }

    /// Records that a host has sent a heartbeat to this one.
    pub fn record_heartbeat(&self, address: Arc<str>, now: u64) {
        self.lock().heartbeats.insert(address, now);
    }

    /// Returns the addresses of the hosts that have sent a heartbeat to this one within a period, in
    /// milliseconds, and forgets the others.
    #[must_use]
    pub fn followers(&self, now: u64, period_ms: u64) -> Vec<Arc<str>> {
        let heartbeats = &mut self.lock().heartbeats;
        heartbeats.retain(|_, sent_at| now < *sent_at + period_ms);
        heartbeats.keys().cloned().collect()
    }

    /// Records that this host, or an earlier process of it, may have claimed the ownership.
    pub fn record_possible_claim(&self, now: u64) {
        self.lock().possible_claim_at = Some(now);
    }

    /// Lets replies to heartbeats say until a time that this host does not reach the store, except to
    /// some hosts, by address.
    pub fn report_outage_until(&self, until: u64, observers: HashSet<Arc<str>>) {
        let mut state = self.lock();
        state.outage_reported_until = until;
        state.outage_observers = observers;
    }

    /// Returns the time since the store last responded to this host, for the owner of an epoch;
    /// `None` if the host knows of a later owner, or may have claimed within a period.
    #[must_use]
    pub fn contact_age_for(&self, epoch: u64, claim_period_ms: u64) -> Option<u64> {
        let now = now_ms();
        let state = self.lock();
        let claimed_at = state.possible_claim_at;
        let may_have_claimed = claimed_at.is_some_and(|at| now < at + claim_period_ms);
        let known_epoch = state.owner.as_ref().map_or(0, |owner| owner.epoch);
        (known_epoch <= epoch && !may_have_claimed)
            .then(|| self.revision_log.contacts().age_ms(now))
    }

    /// Marks the host as stopping.
    pub fn set_stopping(&self) {
        self.lock().stopping = true;
    }

    /// Returns whether the host is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    /// Returns whether the load balancer may send callers to this host.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let age = self.store_response_age_ms();
        let state = self.lock();
        state.config.is_some() && !state.stopping && age < STORE_LOST_MS
    }

    fn lock(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
