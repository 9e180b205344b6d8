//! Membership as seen by one entry host, as a pure state machine.

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
    /// The newest record received.
    pub record: MemberRecord,
    /// When that record arrived, in milliseconds.
    pub heard_ms: u64,
}

/// A recipient of a heartbeat.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HeartbeatTarget {
    /// Peer address of the recipient.
    pub address: SocketAddr,
}

/// A promise that another host made to this one.
#[derive(Clone, Debug)]
struct ReceivedPromise {
    epoch: u64,
    until_ms: u64,
}

/// All entry hosts known to this one.
#[derive(Clone, Debug)]
pub struct MemberTable {
    parameters: GossipParameters,
    local: MemberRecord,
    seeds: Vec<SocketAddr>,
    /// Newest record of each other host; an older record never replaces it.
    members: BTreeMap<HostName, MemberEntry>,
    /// Promises received from other hosts, by shard and host.
    received_promises: BTreeMap<ShardName, BTreeMap<HostName, ReceivedPromise>>,
    /// Times until which this host promised not to take over shards.
    given_promises: BTreeMap<ShardName, u64>,
    /// When this host last read the store's document log.
    log_read_ms: Option<u64>,
    started_ms: u64,
    next_target: usize,
    /// Rotating index of the next member whose record is passed on.
    next_relayed: usize,
    /// This host's record as sent in the current heartbeat.
    sent_record: MemberRecord,
    selector: SummarySelector,
}

impl MemberTable {
    /// Creates a table that knows only the seeds.
    #[must_use]
    pub fn new(
        now_ms: u64,
        local: MemberRecord,
        seeds: Vec<SocketAddr>,
        parameters: GossipParameters,
    ) -> Self {
        Self {
            parameters,
            sent_record: local.clone(),
            selector: SummarySelector::default(),
            next_relayed: 0,
            local,
            seeds,
            members: BTreeMap::new(),
            received_promises: BTreeMap::new(),
            given_promises: BTreeMap::new(),
            log_read_ms: None,
            started_ms: now_ms,
            next_target: 0,
        }
    }

    /// Returns this host's own record.
    #[must_use]
    pub fn local_record(&self) -> &MemberRecord {
        &self.local
    }

    /// Returns this host's own record mutably.
    pub fn local_record_mut(&mut self) -> &mut MemberRecord {
        &mut self.local
    }

    /// Returns the other known hosts.
    pub fn members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Records that this host has just read the store's document log.
    pub fn record_log_read(&mut self, now_ms: u64) {
        self.log_read_ms = Some(now_ms);
    }

    /// Creates the next heartbeat; its size is independent of the number of hosts and teams.
    pub fn next_heartbeat(&mut self, now_ms: u64) -> Heartbeat {
        self.local.sequence += 1;
        self.local.watched_ms_ago = self
            .log_read_ms
            .map(|watched| now_ms.saturating_sub(watched));
        self.sent_record = self.local.clone();
        let include_teams = self
            .local
            .sequence
            .is_multiple_of(self.parameters.team_totals_every);
        for owned in &mut self.sent_record.shards {
            let max_teams = if include_teams {
                self.parameters.max_teams
            } else {
                0
            };
            owned.summary = self
                .selector
                .select(&owned.shard, &owned.summary, max_teams);
        }
        self.compose_heartbeat(0)
    }

    /// Returns the recipients of the next heartbeat: the hosts of this failure domain, a rotating
    /// choice of other hosts, and the seeds during startup or while no other host is heard.
    pub fn targets(&mut self, now_ms: u64) -> Vec<HeartbeatTarget> {
        let live = self
            .members
            .values()
            .filter(|entry| entry.record.state != MemberState::Left);
        let (domain_members, other_members): (Vec<_>, Vec<_>) =
            live.partition(|entry| entry.record.domain == self.local.domain);
        let address = |entry: &&MemberEntry| entry.record.peer_address;
        let needs_promises = !self.local.shards.is_empty();
        let domain_due = self
            .local
            .sequence
            .is_multiple_of(self.parameters.same_domain_every);
        let mut targets: Vec<SocketAddr> = if needs_promises || domain_due {
            domain_members.iter().map(address).collect()
        } else {
            Vec::new()
        };
        let count = other_members.len();
        let rotation = (0..self.parameters.fanout.min(count))
            .map(|offset| other_members[(self.next_target + offset) % count]);
        targets.extend(rotation.map(|entry| entry.record.peer_address));
        self.next_target = self.next_target.wrapping_add(self.parameters.fanout);
        let isolated = !self
            .members
            .values()
            .any(|entry| self.is_fresh(now_ms, entry));
        if isolated || now_ms < self.started_ms + self.parameters.fresh_ms {
            targets.extend(self.seeds.iter().copied());
        }
        targets.retain(|target| *target != self.local.peer_address);
        targets.sort_unstable();
        targets.dedup();
        targets
            .into_iter()
            .map(|address| HeartbeatTarget { address })
            .collect()
    }

    /// Handles a heartbeat and returns the reply.
    ///
    /// `may_promise` returns whether this host may promise not to take over a shard.
    pub fn handle_heartbeat(
        &mut self,
        now_ms: u64,
        heartbeat: &Heartbeat,
        may_promise: impl Fn(&ShardName) -> bool,
    ) -> HeartbeatReply {
        let first_contact = !self.members.contains_key(&heartbeat.from.host);
        self.merge(now_ms, heartbeat);
        let same_domain = heartbeat.from.domain == self.local.domain;
        let owned = heartbeat
            .from
            .shards
            .iter()
            .filter(|owned| same_domain && may_promise(&owned.shard));
        let promises: Vec<ShardPromise> = owned
            .filter(|owned| self.newest_owner_epoch(&owned.shard) <= owned.epoch)
            .map(|owned| ShardPromise {
                shard: owned.shard.clone(),
                epoch: owned.epoch,
                promise_ms: self.parameters.promise_ms,
            })
            .collect();
        for promise in &promises {
            self.given_promises
                .insert(promise.shard.clone(), now_ms + promise.promise_ms);
        }
        let max_records = if first_contact {
            self.parameters.max_join_records
        } else {
            self.parameters.max_records
        };
        HeartbeatReply {
            heartbeat: self.compose_heartbeat(max_records),
            promises,
        }
    }

    /// Handles the reply to a heartbeat that was sent at the given time.
    pub fn handle_reply(&mut self, now_ms: u64, sent_ms: u64, reply: &HeartbeatReply) {
        self.merge(now_ms, &reply.heartbeat);
        for promise in &reply.promises {
            let until_ms =
                (sent_ms + promise.promise_ms).saturating_sub(self.parameters.drift_margin_ms);
            let received = ReceivedPromise {
                epoch: promise.epoch,
                until_ms,
            };
            let by_host = self
                .received_promises
                .entry(promise.shard.clone())
                .or_default();
            by_host.insert(reply.heartbeat.from.host.clone(), received);
        }
    }

    /// Removes hosts that have been silent for too long.
    ///
    /// While the store does not respond, silent hosts are kept unless they have left: they may
    /// still be alive, and an owner needs their promises.
    pub fn forget_silent(&mut self, now_ms: u64) {
        let store_responds = self.log_read_recently(now_ms);
        let forget_ms = self.parameters.forget_ms;
        self.members.retain(|_, entry| {
            let silent_ms = now_ms.saturating_sub(entry.heard_ms);
            let left = entry.record.state == MemberState::Left;
            silent_ms < forget_ms || !(left || store_responds)
        });
    }

    /// Returns the time since which this host may lack newer documents, in milliseconds.
    ///
    /// Documents are accepted only through entry hosts and the store, so a host that reads the
    /// store's log or hears from all other entry hosts knows all documents.
    #[must_use]
    pub fn stale_since_ms(&self, now_ms: u64) -> Option<u64> {
        let oldest = self
            .present_members()
            .map(|entry| entry.heard_ms)
            .min()
            .unwrap_or(self.started_ms);
        let all_heard_ms = if self.members.is_empty() {
            self.started_ms
        } else {
            oldest
        };
        let known_ms = all_heard_ms.max(self.domain_log_read_ms());
        let stale = now_ms > known_ms + self.parameters.fresh_ms;
        stale.then_some(known_ms + self.parameters.fresh_ms)
    }

    /// Returns the view of the other hosts that a shard's controller needs.
    #[must_use]
    pub fn peer_view(&self, now_ms: u64, shard: &ShardName, epoch: Option<u64>) -> PeerView {
        let mut view = PeerView {
            owner: self.newest_owner(shard),
            peers_promised_until_ms: epoch.map_or(0, |epoch| self.promised_until_ms(shard, epoch)),
            own_promise_until_ms: self.given_promises.get(shard).copied().unwrap_or(0),
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
        view.available_shards = self.available_shards(now_ms, shard);
        view
    }

    /// Returns the other shards that currently start tasks, those with the most free capacity first.
    fn available_shards(&self, now_ms: u64, shard: &ShardName) -> Vec<ShardName> {
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

    /// Returns whether this host is the one that watches the store for its failure domain.
    #[must_use]
    pub fn is_watcher(&self, now_ms: u64) -> bool {
        let domain_members = self
            .members
            .values()
            .filter(|entry| entry.record.domain == self.local.domain);
        let mut live = domain_members.filter(|entry| {
            self.is_fresh(now_ms, entry) && entry.record.state == MemberState::Live
        });
        live.all(|entry| self.local.host < entry.record.host)
    }

    /// Returns whether a host was heard from recently and has not left.
    #[must_use]
    pub fn is_fresh(&self, now_ms: u64, entry: &MemberEntry) -> bool {
        now_ms <= entry.heard_ms + self.parameters.fresh_ms
            && entry.record.state != MemberState::Left
    }

    /// Creates a heartbeat with this host's record and a rotating choice of other hosts' records.
    fn compose_heartbeat(&mut self, max_records: usize) -> Heartbeat {
        let count = self.members.len();
        let rotation =
            (0..max_records.min(count)).map(|offset| (self.next_relayed + offset) % count);
        let entries: Vec<&MemberEntry> = self.members.values().collect();
        let known = rotation
            .map(|index| without_team_totals(&entries[index].record))
            .collect();
        self.next_relayed = self.next_relayed.wrapping_add(max_records);
        Heartbeat {
            from: self.sent_record.clone(),
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
        if record.host == self.local.host {
            return;
        }
        let known = self.members.get(&record.host).map(|entry| &entry.record);
        let newer = known.is_none_or(|known| {
            (record.incarnation, record.sequence) > (known.incarnation, known.sequence)
        });
        if newer {
            let mut record = record.clone();
            if let Some(known) = self.members.get(&record.host) {
                carry_over_team_totals(&mut record, &known.record);
            }
            let host = record.host.clone();
            let entry = MemberEntry {
                record,
                heard_ms: now_ms,
            };
            self.members.insert(host, entry);
        }
    }

    fn newest_owner(&self, shard: &ShardName) -> Option<ObservedOwner> {
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
        owned.max_by_key(|owner| owner.epoch)
    }

    fn newest_owner_epoch(&self, shard: &ShardName) -> u64 {
        self.newest_owner(shard).map_or(0, |owner| owner.epoch)
    }

    /// Returns the time until which all other live hosts of this failure domain promised not to
    /// take over a shard.
    fn promised_until_ms(&self, shard: &ShardName, epoch: u64) -> u64 {
        let domain_members = self.members.values().filter(|entry| {
            entry.record.domain == self.local.domain && entry.record.state == MemberState::Live
        });
        let received = self.received_promises.get(shard);
        let expiries = domain_members.map(|entry| {
            let promise = received.and_then(|received| received.get(&entry.record.host));
            promise
                .filter(|promise| promise.epoch == epoch)
                .map_or(0, |promise| promise.until_ms)
        });
        expiries.min().unwrap_or(0)
    }

    fn present_members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members
            .values()
            .filter(|entry| entry.record.state != MemberState::Left)
    }

    /// Returns when a host of this failure domain last read the store's document log.
    fn domain_log_read_ms(&self) -> u64 {
        let domain_members = self
            .members
            .values()
            .filter(|entry| entry.record.domain == self.local.domain);
        let by_others = domain_members.filter_map(|entry| {
            let ago_ms = entry.record.watched_ms_ago?;
            Some(entry.heard_ms.saturating_sub(ago_ms))
        });
        by_others.chain(self.log_read_ms).max().unwrap_or(0)
    }

    fn log_read_recently(&self, now_ms: u64) -> bool {
        now_ms <= self.domain_log_read_ms() + self.parameters.fresh_ms
    }
}

/// Adds the last known running totals and allotment shortages of another shard.
fn add_summary(view: &mut PeerView, heard_ms: u64, owned: &OwnedShard) {
    for (team, running) in &owned.summary.running {
        *view.remote_usage.entry(team.clone()).or_default() += *running;
    }
    for (team, wanted_ms) in &owned.summary.wanted_ms {
        let shortage = AllotmentShortage {
            shard: owned.shard.clone(),
            since_ms: heard_ms.saturating_sub(*wanted_ms),
        };
        let oldest = view
            .shortages
            .get(team)
            .is_none_or(|known| shortage.since_ms < known.since_ms);
        if oldest {
            view.shortages.insert(team.clone(), shortage);
        }
    }
}

/// Returns a record as it is passed on to other hosts: without the running totals of teams.
fn without_team_totals(record: &MemberRecord) -> MemberRecord {
    let mut record = record.clone();
    for owned in &mut record.shards {
        owned.summary.running.clear();
    }
    record
}

/// Copies the team totals that a newer record omits from the previous one.
fn carry_over_team_totals(record: &mut MemberRecord, known: &MemberRecord) {
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
