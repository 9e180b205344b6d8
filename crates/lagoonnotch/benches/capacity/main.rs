//! Measures memory, time and bytes per unit of load for `docs/CAPACITY.md`; prints one JSON object.

mod owner_model;

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use ed25519_dalek::SigningKey;
use lagoonnotch::document::{DocumentLog, LoggedDocument, WorkClass, sign_document};
use lagoonnotch::journal::{AcceptedWork, JournalRecord, JournalState, split_snapshot};
use lagoonnotch::model::{ResourceSize, ShardName, TaskId, TeamName, UpstreamName, WorkId};
use lagoonnotch::peer::{GossipParameters, MemberRecord, MemberState, MemberTable, OwnedShard};
use lagoonnotch::placement::CapacityIndex;
use lagoonnotch::queue::{WaitingEntry, WaitingQueue};
use lagoonnotch::shard::ShardSummary;
use serde_json::json;

use crate::owner_model::OwnerModel;

/// Simulated time over which gossip is counted, in milliseconds.
const GOSSIP_MS: u64 = 20_000;

/// Size of a memory page, in bytes.
const PAGE_BYTES: usize = 4096;

fn main() {
    let report = json!({
        "request_us_48_upstreams_6_teams": request_us(48, 6),
        "request_us_150_upstreams_360_teams": request_us(150, 360),
        "request_us_900_upstreams_360_teams": request_us(900, 360),
        "tick_us_48_upstreams_6_teams": tick_us(48, 6, 5),
        "tick_us_150_upstreams_360_teams": tick_us(150, 360, 5),
        "tick_us_900_upstreams_360_teams": tick_us(900, 360, 5),
        "renewal_bytes_5_tasks": renewal_bytes(150, 360, 5),
        "waiting_task_bytes": waiting_task_bytes(100_000),
        "ledger_job_bytes": state_job_bytes(20_000),
        "snapshot_job_bytes": snapshot_job_bytes(2000),
        "upstream_index_bytes": upstream_index_bytes(20_000),
        "document_us_at_6_teams": document_us(6),
        "document_us_at_360_teams": document_us(360),
        "gossip_bytes_per_s_6_hosts_6_teams": gossip_bytes(6, 3, 6),
        "gossip_bytes_per_s_9_hosts_6_teams": gossip_bytes(9, 3, 6),
        "gossip_bytes_per_s_9_hosts_360_teams": gossip_bytes(9, 3, 360),
        "gossip_bytes_per_s_132_hosts_360_teams": gossip_bytes(132, 22, 360),
        "heartbeat_receive_us_132_hosts_360_teams": heartbeat_us(132, 22, 360),
    });
    println!(
        "{}",
        serde_json::to_string_pretty(&report).expect("the report serializes to JSON")
    );
}

/// Returns the control-thread time of one quick request, from placement to its end, in
/// microseconds.
fn request_us(upstreams: usize, teams: u64) -> u128 {
    const REQUESTS: u32 = 2000;
    let mut model = OwnerModel::new(upstreams, teams);
    let start = Instant::now();
    for _ in 0..REQUESTS {
        model.place();
        model.end();
    }
    start.elapsed().as_micros() / u128::from(REQUESTS)
}

/// Returns the control-thread time of one 20 ms tick with `tasks` running tasks at each upstream,
/// in microseconds. It includes the renewals and their replies.
fn tick_us(upstreams: usize, teams: u64, tasks: usize) -> u128 {
    const TICKS: u32 = 200;
    let mut model = model_with_tasks(upstreams, teams, tasks);
    let start = Instant::now();
    for _ in 0..TICKS {
        model.tick();
    }
    start.elapsed().as_micros() / u128::from(TICKS)
}

/// Returns the size of one renewal and its reply, in bytes.
fn renewal_bytes(upstreams: usize, teams: u64, tasks: usize) -> u64 {
    const SECONDS: u64 = 10;
    let mut model = model_with_tasks(upstreams, teams, tasks);
    let before = model.upstream_bytes;
    for _ in 0..SECONDS * 50 {
        model.tick();
    }
    (model.upstream_bytes - before) / SECONDS / upstreams as u64
}

fn model_with_tasks(upstreams: usize, teams: u64, tasks: usize) -> OwnerModel {
    let mut model = OwnerModel::new(upstreams, teams);
    for _ in 0..upstreams * tasks {
        model.place();
    }
    model
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES
}

/// Returns the memory that building a value takes, divided by the number of its parts.
///
/// The value is never freed, so that no later measurement reuses its memory.
fn bytes_each<T>(parts: usize, build: impl FnOnce() -> T) -> usize {
    let before = resident_bytes();
    let value = build();
    let grown = resident_bytes().saturating_sub(before);
    std::mem::forget(black_box(value));
    grown / parts
}

fn waiting_task_bytes(count: u32) -> usize {
    bytes_each(count as usize, || {
        let mut queue = WaitingQueue::default();
        for index in 0..count {
            let entry = WaitingEntry {
                task: TaskId {
                    work: work_id(index),
                    index: 0,
                },
                size: ResourceSize::new(1000, 1024, 0),
                count: 1,
                sequence: u64::from(index),
                since_ms: 0,
            };
            queue.push(
                WorkClass::Batch,
                &TeamName::from(format!("team-{}", index % 360)),
                entry,
            );
        }
        queue
    })
}

fn journal_state(count: u32) -> JournalState {
    let mut journal_state = JournalState::default();
    for index in 0..count {
        journal_state.apply(&JournalRecord::Accepted {
            work: accepted(index),
        });
    }
    journal_state
}

fn state_job_bytes(count: u32) -> usize {
    bytes_each(count as usize, || journal_state(count))
}

fn snapshot_job_bytes(count: u32) -> usize {
    let parts = split_snapshot(&journal_state(count));
    parts.iter().map(String::len).sum::<usize>() / count as usize
}

fn upstream_index_bytes(count: u32) -> usize {
    bytes_each(count as usize, || {
        let mut index = CapacityIndex::default();
        for number in 0..u64::from(count) {
            let free = ResourceSize::new(number * 7919 % 32_000, number * 104_729 % 131_072, 0);
            index.set(&UpstreamName::from(format!("upstream-{number:05}")), free);
        }
        index
    })
}

fn work_id(index: u32) -> WorkId {
    WorkId::from(format!("west-1.0~67512345-{index:016x}"))
}

fn accepted(index: u32) -> AcceptedWork {
    AcceptedWork {
        id: work_id(index),
        team: TeamName::from(format!("team-{}", index % 360)),
        workload: "droplet-imaging-batch".into(),
        class: WorkClass::Batch,
        idempotent: true,
        preemptible: true,
        lasting: true,
        size: ResourceSize::new(2000, 8192, 1),
        tasks: 1,
        max_attempts: 5,
        deadline_ms: 1000,
        payload: "input of one hundred bytes ".repeat(4).into(),
    }
}

/// Returns the time to check and apply one document with one section, in microseconds.
fn document_us(teams: u32) -> u128 {
    const DOCUMENTS: u32 = 50;
    let key = SigningKey::from_bytes(&[1; 32]);
    let mut document_log = DocumentLog::new(vec![key.verifying_key()]);
    let log: Vec<LoggedDocument> = (0..teams + DOCUMENTS)
        .map(|index| logged(index, teams, &key))
        .collect();
    let (first, rest) = log.split_at(teams as usize);
    for logged in first {
        document_log.apply(logged);
    }
    let start = Instant::now();
    for logged in rest {
        assert!(document_log.apply(logged));
    }
    start.elapsed().as_micros() / u128::from(DOCUMENTS)
}

fn logged(index: u32, teams: u32, key: &SigningKey) -> LoggedDocument {
    let previous = if index < teams { 0 } else { index - teams + 1 };
    let text = json!({ "document": format!("document-{index}"), "changes": [{
        "section": format!("team/team-{}", index % teams), "previous": previous,
        "value": { "kind": "team", "share": 5, "limit": { "cpu_milli": 1000, "memory_mib": 1000 } }
    }] });
    LoggedDocument {
        revision: u64::from(index) + 1,
        signed: sign_document(&text.to_string(), key),
    }
}

/// Creates the member tables of hosts that are spread over failure domains. The first host of each
/// domain owns a shard.
fn member_tables(hosts: u16, domains: u16, teams: u32) -> Vec<MemberTable> {
    let address = |host: u16| SocketAddr::from(([127, 0, 0, 1], 1000 + host));
    (0..hosts)
        .map(|host| {
            let domain = format!("domain-{}", host % domains);
            let local = MemberRecord {
                host: format!("entry-host-{host:03}").into(),
                incarnation: 1_790_000_000_000_000,
                sequence: 0,
                domain: domain.as_str().into(),
                peer_address: address(host),
                state: MemberState::Live,
                revision: 1,
                watched_ms_ago: None,
                shards: (host < domains)
                    .then(|| owned_shard(&domain, teams))
                    .into_iter()
                    .collect(),
            };
            MemberTable::new(0, local, vec![address(0)], GossipParameters::default())
        })
        .collect()
}

fn owned_shard(domain: &str, teams: u32) -> OwnedShard {
    let size = ResourceSize::new(123_000, 456_000, 7);
    let running = (0..teams).map(|team| (TeamName::from(format!("team-{team}")), size));
    let summary = ShardSummary {
        free: size,
        capacity: size,
        waiting: 100,
        starting: true,
        running: running.collect::<BTreeMap<_, _>>(),
        wanted_ms: BTreeMap::new(),
    };
    OwnedShard {
        shard: ShardName::from(format!("{domain}.0")),
        epoch: 3,
        summary,
    }
}

/// Returns the average number of heartbeat and reply bytes that one host sends per second.
fn gossip_bytes(hosts: u16, domains: u16, teams: u32) -> u64 {
    let mut tables = member_tables(hosts, domains, teams);
    let mut bytes = 0;
    let interval_ms = GossipParameters::default().heartbeat_ms;
    for now_ms in
        (0..GOSSIP_MS).step_by(usize::try_from(interval_ms).expect("the interval fits into usize"))
    {
        for host in 0..usize::from(hosts) {
            let heartbeat = tables[host].next_heartbeat(now_ms);
            for target in tables[host].targets(now_ms) {
                let peer = usize::from(target.address.port() - 1000);
                let reply = tables[peer].handle_heartbeat(now_ms, &heartbeat, |_| true);
                bytes += json_bytes(&heartbeat) + json_bytes(&reply);
                tables[host].handle_reply(now_ms, now_ms, &reply);
            }
        }
    }
    bytes * 1000 / GOSSIP_MS / u64::from(hosts)
}

fn json_bytes<T: serde::Serialize>(value: &T) -> u64 {
    serde_json::to_vec(value).map_or(0, |text| text.len() as u64)
}

/// Returns the time to process a heartbeat and create its reply, in microseconds.
fn heartbeat_us(hosts: u16, domains: u16, teams: u32) -> u128 {
    const ROUNDS: u32 = 200;
    let mut tables = member_tables(hosts, domains, teams);
    for host in 1..usize::from(hosts) {
        let heartbeat = tables[host].next_heartbeat(1);
        tables[0].handle_heartbeat(1, &heartbeat, |_| true);
    }
    let heartbeats: Vec<_> = (0..ROUNDS).map(|_| tables[1].next_heartbeat(2)).collect();
    let start = Instant::now();
    for heartbeat in &heartbeats {
        black_box(tables[0].handle_heartbeat(2, heartbeat, |_| true));
    }
    start.elapsed().as_micros() / u128::from(ROUNDS)
}
