//! The entry hosts as one of them knows them, as a pure state machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::model::{HostName, ShardName};
use crate::peer::summary_selector::SummarySelector;
use crate::peer::{
    GossipParameters, Heartbeat, HeartbeatReply, MemberRecord, MemberState, OwnedShard,
    ShardPromise,
};
use crate::shard::{AllotmentShortage, ObservedOwner, PeerView};

/// Another entry host.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Its newest record.
    pub record: MemberRecord,
    /// When a newer record last arrived.
    pub heard_ms: u64,
}

/// A host that a heartbeat goes to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HeartbeatTarget {
    /// Its address.
    pub address: SocketAddr,
}

/// What a host promised to this one.
#[derive(Clone, Debug)]
struct HeldPromise {
    epoch: u64,
    until_ms: u64,
}

/// All entry hosts that this one has heard of.
#[derive(Clone, Debug)]
pub struct MemberTable {
    timing: GossipParameters,
    me: MemberRecord,
    seeds: Vec<SocketAddr>,
    /// Newest record of each other host; a record never gets older.
    members: BTreeMap<HostName, MemberEntry>,
    /// Promises that others made to this host, by shard and host.
    held: BTreeMap<ShardName, BTreeMap<HostName, HeldPromise>>,
    /// Until when this host promised not to take a shard over.
    given: BTreeMap<ShardName, u64>,
    /// When this host last heard the store's log of documents.
    watched_ms: Option<u64>,
    started_ms: u64,
    next_target: usize,
    /// Member whose record the next message carries.
    next_known: usize,
    /// This host's record as the present heartbeat tells it.
    told: MemberRecord,
    digest: SummarySelector,
}

impl MemberTable {
    /// Makes a table that knows only seeds.
    #[must_use]
    pub fn new(
        now_ms: u64,
        me: MemberRecord,
        seeds: Vec<SocketAddr>,
        timing: GossipParameters,
    ) -> Self {
        Self {
            timing,
            told: me.clone(),
            digest: SummarySelector::default(),
            next_known: 0,
            me,
            seeds,
            members: BTreeMap::new(),
            held: BTreeMap::new(),
            given: BTreeMap::new(),
            watched_ms: None,
            started_ms: now_ms,
            next_target: 0,
        }
    }

    /// Returns this host's own record.
    #[must_use]
    pub fn local_record(&self) -> &MemberRecord {
        &self.me
    }

    /// Returns this host's own record for changes.
    pub fn local_record_mut(&mut self) -> &mut MemberRecord {
        &mut self.me
    }

    /// Returns the other hosts.
    pub fn members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Takes note that the store's log of documents was heard.
    pub fn record_log_read(&mut self, now_ms: u64) {
        self.watched_ms = Some(now_ms);
    }

    /// Makes the next heartbeat; its size does not grow with the hosts or the teams.
    pub fn next_heartbeat(&mut self, now_ms: u64) -> Heartbeat {
        self.me.sequence += 1;
        self.me.watched_ms_ago = self
            .watched_ms
            .map(|watched| now_ms.saturating_sub(watched));
        self.told = self.me.clone();
        let tells_teams = self
            .me
            .sequence
            .is_multiple_of(self.timing.team_totals_every);
        for owned in &mut self.told.shards {
            let most = if tells_teams {
                self.timing.max_teams
            } else {
                0
            };
            owned.summary = self.digest.take(&owned.shard, &owned.summary, most);
        }
        self.current(0)
    }

    /// Returns the hosts that the next heartbeat goes to: those of this failure domain, some others
    /// in turn, and the seeds while no other host is known.
    pub fn targets(&mut self, now_ms: u64) -> Vec<HeartbeatTarget> {
        let live = self
            .members
            .values()
            .filter(|entry| entry.record.state != MemberState::Left);
        let (near, far): (Vec<_>, Vec<_>) =
            live.partition(|entry| entry.record.domain == self.me.domain);
        let address = |entry: &&MemberEntry| entry.record.peer_address;
        let needs_promises = !self.me.shards.is_empty();
        let near_turn = self
            .me
            .sequence
            .is_multiple_of(self.timing.same_domain_every);
        let mut targets: Vec<SocketAddr> = if needs_promises || near_turn {
            near.iter().map(address).collect()
        } else {
            Vec::new()
        };
        let count = far.len();
        let turn = (0..self.timing.fanout.min(count))
            .map(|offset| far[(self.next_target + offset) % count]);
        targets.extend(turn.map(|entry| entry.record.peer_address));
        self.next_target = self.next_target.wrapping_add(self.timing.fanout);
        let lonely = !self
            .members
            .values()
            .any(|entry| self.is_fresh(now_ms, entry));
        if lonely || now_ms < self.started_ms + self.timing.fresh_ms {
            targets.extend(self.seeds.iter().copied());
        }
        targets.retain(|target| *target != self.me.peer_address);
        targets.sort_unstable();
        targets.dedup();
        targets
            .into_iter()
            .map(|address| HeartbeatTarget { address })
            .collect()
    }

    /// Takes a heartbeat and answers it.
    ///
    /// `may_promise` tells whether this host can keep off a shard.
    pub fn handle_heartbeat(
        &mut self,
        now_ms: u64,
        heartbeat: &Heartbeat,
        may_promise: impl Fn(&ShardName) -> bool,
    ) -> HeartbeatReply {
        let welcome = !self.members.contains_key(&heartbeat.from.host);
        self.merge(now_ms, heartbeat);
        let same_domain = heartbeat.from.domain == self.me.domain;
        let owned = heartbeat
            .from
            .shards
            .iter()
            .filter(|owned| same_domain && may_promise(&owned.shard));
        let promises: Vec<ShardPromise> = owned
            .filter(|owned| self.newest_epoch(&owned.shard) <= owned.epoch)
            .map(|owned| ShardPromise {
                shard: owned.shard.clone(),
                epoch: owned.epoch,
                promise_ms: self.timing.promise_ms,
            })
            .collect();
        for promise in &promises {
            self.given
                .insert(promise.shard.clone(), now_ms + promise.promise_ms);
        }
        let records = if welcome {
            self.timing.join_records
        } else {
            self.timing.records
        };
        HeartbeatReply {
            heartbeat: self.current(records),
            promises,
        }
    }

    /// Takes the answer to a heartbeat that was sent at the given time.
    pub fn handle_reply(&mut self, now_ms: u64, sent_ms: u64, reply: &HeartbeatReply) {
        self.merge(now_ms, &reply.heartbeat);
        for promise in &reply.promises {
            let until_ms =
                (sent_ms + promise.promise_ms).saturating_sub(self.timing.drift_margin_ms);
            let held = HeldPromise {
                epoch: promise.epoch,
                until_ms,
            };
            let by_host = self.held.entry(promise.shard.clone()).or_default();
            by_host.insert(reply.heartbeat.from.host.clone(), held);
        }
    }

    /// Forgets hosts that have been silent for long.
    ///
    /// While the store does not answer, a silent host stays known: it may live, and its promise is
    /// needed.
    pub fn forget_silent(&mut self, now_ms: u64) {
        let store_answers = self.watched_recently(now_ms);
        let forget_ms = self.timing.forget_ms;
        self.members.retain(|_, entry| {
            let silent_ms = now_ms.saturating_sub(entry.heard_ms);
            let left = entry.record.state == MemberState::Left;
            silent_ms < forget_ms || !(left || store_answers)
        });
    }

    /// Returns since when newer documents may exist unheard of, in milliseconds.
    ///
    /// Documents are accepted only through entry hosts and the store, so that a host which hears
    /// either the store's log or every other entry host knows them all.
    #[must_use]
    pub fn stale_since_ms(&self, now_ms: u64) -> Option<u64> {
        let oldest = self
            .heard_members()
            .map(|entry| entry.heard_ms)
            .min()
            .unwrap_or(self.started_ms);
        let all_heard_ms = if self.members.is_empty() {
            self.started_ms
        } else {
            oldest
        };
        let known_ms = all_heard_ms.max(self.domain_watched_ms());
        let stale = now_ms > known_ms + self.timing.fresh_ms;
        stale.then_some(known_ms + self.timing.fresh_ms)
    }

    /// Returns what a shard needs to know of the other hosts.
    #[must_use]
    pub fn peer_view(&self, now_ms: u64, shard: &ShardName, epoch: Option<u64>) -> PeerView {
        let mut view = PeerView {
            owner: self.sighting(shard),
            peers_promised_until_ms: epoch.map_or(0, |epoch| self.promised_until_ms(shard, epoch)),
            own_promise_until_ms: self.given.get(shard).copied().unwrap_or(0),
            config_stale_since_ms: self.stale_since_ms(now_ms),
            ..PeerView::default()
        };
        let fresh = self
            .members
            .values()
            .filter(|entry| self.is_fresh(now_ms, entry));
        for entry in fresh {
            let others = entry
                .record
                .shards
                .iter()
                .filter(|owned| owned.shard != *shard);
            for owned in others {
                add_summary(&mut view, entry.heard_ms, owned);
            }
        }
        view.available_shards = self.starting_shards(now_ms, shard);
        view
    }

    /// Returns the other shards that start tasks, those with the most free capacity first.
    fn starting_shards(&self, now_ms: u64, shard: &ShardName) -> Vec<ShardName> {
        let fresh = self
            .members
            .values()
            .filter(|entry| self.is_fresh(now_ms, entry));
        let owned = fresh.flat_map(|entry| entry.record.shards.iter());
        let mut starting: Vec<&OwnedShard> = owned
            .filter(|owned| owned.summary.starting && owned.shard != *shard)
            .collect();
        starting.sort_by_key(|owned| std::cmp::Reverse(owned.summary.free.cpu_milli));
        starting
            .into_iter()
            .map(|owned| owned.shard.clone())
            .collect()
    }

    /// Tells whether this host is the one of its failure domain that watches the store.
    #[must_use]
    pub fn is_watcher(&self, now_ms: u64) -> bool {
        let near = self
            .members
            .values()
            .filter(|entry| entry.record.domain == self.me.domain);
        let mut live = near.filter(|entry| {
            self.is_fresh(now_ms, entry) && entry.record.state == MemberState::Live
        });
        live.all(|entry| self.me.host < entry.record.host)
    }

    /// Tells whether the host was heard lately.
    #[must_use]
    pub fn is_fresh(&self, now_ms: u64, entry: &MemberEntry) -> bool {
        now_ms <= entry.heard_ms + self.timing.fresh_ms && entry.record.state != MemberState::Left
    }

    /// Returns this host's record with some records of others, in turn.
    fn current(&mut self, records: usize) -> Heartbeat {
        let count = self.members.len();
        let turn = (0..records.min(count)).map(|offset| (self.next_known + offset) % count);
        let entries: Vec<&MemberEntry> = self.members.values().collect();
        let known = turn
            .map(|index| forwarded(&entries[index].record))
            .collect();
        self.next_known = self.next_known.wrapping_add(records);
        Heartbeat {
            from: self.told.clone(),
            known,
        }
    }

    fn merge(&mut self, now_ms: u64, heartbeat: &Heartbeat) {
        self.merge_record(now_ms, &heartbeat.from);
        for record in &heartbeat.known {
            self.merge_record(now_ms, record);
        }
    }

    fn merge_record(&mut self, now_ms: u64, record: &MemberRecord) {
        if record.host == self.me.host {
            return;
        }
        let known = self.members.get(&record.host).map(|entry| &entry.record);
        let newer = known.is_none_or(|known| {
            (record.incarnation, record.sequence) > (known.incarnation, known.sequence)
        });
        if newer {
            let mut record = record.clone();
            if let Some(known) = self.members.get(&record.host) {
                keep_team_totals(&mut record, &known.record);
            }
            let host = record.host.clone();
            let entry = MemberEntry {
                record,
                heard_ms: now_ms,
            };
            self.members.insert(host, entry);
        }
    }

    fn sighting(&self, shard: &ShardName) -> Option<ObservedOwner> {
        let owned = self.members.values().flat_map(|entry| {
            let matching = entry
                .record
                .shards
                .iter()
                .filter(|owned| owned.shard == *shard);
            matching.map(move |owned| ObservedOwner {
                host: entry.record.host.clone(),
                epoch: owned.epoch,
                heard_ms: entry.heard_ms,
            })
        });
        owned.max_by_key(|sighting| sighting.epoch)
    }

    fn newest_epoch(&self, shard: &ShardName) -> u64 {
        self.sighting(shard).map_or(0, |sighting| sighting.epoch)
    }

    /// Returns until when every other live host of this failure domain promised to keep off.
    fn promised_until_ms(&self, shard: &ShardName, epoch: u64) -> u64 {
        let near = self.members.values().filter(|entry| {
            entry.record.domain == self.me.domain && entry.record.state == MemberState::Live
        });
        let held = self.held.get(shard);
        let until = near.map(|entry| {
            let promise = held.and_then(|held| held.get(&entry.record.host));
            promise
                .filter(|promise| promise.epoch == epoch)
                .map_or(0, |promise| promise.until_ms)
        });
        until.min().unwrap_or(0)
    }

    fn heard_members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members
            .values()
            .filter(|entry| entry.record.state != MemberState::Left)
    }

    /// Returns when a host of this failure domain last heard the store's log of documents.
    fn domain_watched_ms(&self) -> u64 {
        let near = self
            .members
            .values()
            .filter(|entry| entry.record.domain == self.me.domain);
        let by_others = near.filter_map(|entry| {
            let ago_ms = entry.record.watched_ms_ago?;
            Some(entry.heard_ms.saturating_sub(ago_ms))
        });
        by_others.chain(self.watched_ms).max().unwrap_or(0)
    }

    fn watched_recently(&self, now_ms: u64) -> bool {
        now_ms <= self.domain_watched_ms() + self.timing.fresh_ms
    }
}

/// Adds what another shard was last heard to have running and to want.
fn add_summary(view: &mut PeerView, heard_ms: u64, owned: &OwnedShard) {
    for (team, running) in &owned.summary.running {
        *view.remote_usage.entry(team.clone()).or_default() += *running;
    }
    for (team, wanted_ms) in &owned.summary.wanted_ms {
        let want = AllotmentShortage {
            shard: owned.shard.clone(),
            since_ms: heard_ms.saturating_sub(*wanted_ms),
        };
        let oldest = view
            .shortages
            .get(team)
            .is_none_or(|known| want.since_ms < known.since_ms);
        if oldest {
            view.shortages.insert(team.clone(), want);
        }
    }
}

/// Returns a record as it is passed on: without what runs for teams.
fn forwarded(record: &MemberRecord) -> MemberRecord {
    let mut record = record.clone();
    for owned in &mut record.shards {
        owned.summary.running.clear();
    }
    record
}

/// Adds the team totals that a newer record does not repeat.
fn keep_team_totals(record: &mut MemberRecord, known: &MemberRecord) {
    for owned in &mut record.shards {
        let older = known.shards.iter().find(|older| older.shard == owned.shard);
        for (team, running) in older.into_iter().flat_map(|older| &older.summary.running) {
            owned
                .summary
                .running
                .entry(team.clone())
                .or_insert(*running);
        }
    }
}
