//! Time of single scheduling decisions, compared with a naive version in the same run.

use std::collections::BTreeMap;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lagoonnotch::document::WorkClass;
use lagoonnotch::model::{ResourceSize, TaskId, TeamName, UpstreamName, WorkId};
use lagoonnotch::placement::{CapacityIndex, naive_best_fit};
use lagoonnotch::queue::{WaitingEntry, WaitingQueue};

/// Numbers of upstreams: a current deployment, one region and the whole fleet.
const UPSTREAMS: [u64; 3] = [48, 1000, 20_000];

/// Numbers of waiting tasks.
const WAITING: [u64; 2] = [1000, 100_000];

/// Number of teams with waiting tasks.
const TEAMS: u64 = 360;

fn free_capacities(count: u64) -> BTreeMap<UpstreamName, ResourceSize> {
    let free = |index: u64| {
        let accelerators = if index.is_multiple_of(4) {
            index % 9
        } else {
            0
        };
        ResourceSize::new(
            index * 7919 % 32_000,
            index * 104_729 % 131_072,
            accelerators,
        )
    };
    (0..count)
        .map(|index| {
            (
                UpstreamName::from(format!("upstream-{index:05}")),
                free(index),
            )
        })
        .collect()
}

fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    let size = ResourceSize::new(2000, 8192, 0);
    for count in UPSTREAMS {
        let free = free_capacities(count);
        let mut index = CapacityIndex::default();
        for (name, free) in &free {
            index.set(name, *free);
        }
        group.bench_function(BenchmarkId::new("index", count), |bencher| {
            bencher.iter(|| {
                let upstream = index
                    .best_fit(black_box(&size))
                    .expect("an upstream has free capacity");
                let before = free[&upstream];
                index.set(&upstream, before.saturating_sub(&size));
                index.set(&upstream, before);
            });
        });
        group.bench_function(BenchmarkId::new("naive", count), |bencher| {
            bencher.iter(|| naive_best_fit(free.iter(), black_box(&size)));
        });
    }
    group.finish();
}

fn waiting_queue(count: u64) -> WaitingQueue {
    let mut queue = WaitingQueue::default();
    for index in 0..count {
        queue.push(WorkClass::Batch, &team(index), entry(index));
    }
    queue
}

fn team(index: u64) -> TeamName {
    TeamName::from(format!("team-{}", index % TEAMS))
}

fn entry(index: u64) -> WaitingEntry {
    WaitingEntry {
        task: TaskId {
            work: WorkId::from(format!("home~{index}")),
            index: 0,
        },
        size: ResourceSize::new(1000, 1024, 0),
        count: 1,
        sequence: index,
        since_ms: 0,
    }
}

fn queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue");
    for count in WAITING {
        let mut queue = waiting_queue(count);
        group.bench_function(BenchmarkId::new("push_and_cancel", count), |bencher| {
            bencher.iter(|| {
                let added = entry(count / 2);
                queue.remove(black_box(&added.task));
                queue.push(WorkClass::Batch, &team(count / 2), added);
            });
        });
        group.bench_function(BenchmarkId::new("first_of_team", count), |bencher| {
            let team = team(7);
            bencher.iter(|| black_box(queue.first(WorkClass::Batch, &team, 16)));
        });
    }
    group.finish();
}

criterion_group!(benches, place, queue);
criterion_main!(benches);
