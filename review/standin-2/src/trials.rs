//! The trials.

use std::path::Path;
use std::time::Duration;

use crate::cell::{BATCH, Cell, SERVICES, STANDING, ZONES};
use crate::record::{Record, Room};
use crate::worker::Worker;

/// Runs a trial; returns what broke its rule.
pub fn run(name: &str, folder: &Path, program: &str, trouble: bool) -> Result<Vec<String>, String> {
    let record = Record::create(folder);
    let mut cell = Cell::start(program, &record);
    if !cell.wait_ready() {
        return Err("the machines did not become ready".to_owned());
    }
    let outcome = match name {
        "forgotten-end" => forgotten_end(&mut cell, trouble),
        "long-lease" => long_lease(&mut cell, trouble),
        "full-tenant" => full_tenant(&mut cell, trouble),
        "failing-services" => failing_services(&mut cell, trouble),
        "ended-worker" => ended_worker(&mut cell, trouble),
        "wide-submission" => wide_submission(&mut cell, trouble),
        "long-task" => long_task(&mut cell, trouble),
        _ => Err("no such trial".to_owned()),
    };
    if std::env::var("KEEP_LOGS").is_ok() {
        cell.keep_logs(folder);
    }
    for line in outcome.iter().flatten() {
        record.note(line);
    }
    outcome
}

fn pause(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Adds six workers of 32 cores.
fn add_six_workers(cell: &Cell) -> Vec<Worker> {
    let add = |number: usize| {
        let id = format!("i-7f3a91c{number}");
        cell.add_worker(&id, ZONES[number % ZONES.len()], "a")
    };
    (0..6).map(add).collect()
}

/// Adds 14 workers, so that one of them is a share of 0.071; returns those with the label `a`, which
/// the steps ask for.
fn add_fourteen_workers(cell: &Cell, labelled: usize) -> Vec<Worker> {
    let add = |number: usize| {
        let id = format!("i-7f3a91c{number:x}");
        let label = if number < labelled { "a" } else { "b" };
        cell.add_worker(&id, ZONES[number % ZONES.len()], label)
    };
    let mut workers: Vec<Worker> = (0..14).map(add).collect();
    workers.truncate(labelled);
    workers
}

/// Member of a step that only workers with the label `a` may run.
const ON_LABEL: &str = ",\"constraints\":\"a\"";

fn ids_of(workers: &[Worker]) -> Vec<String> {
    workers
        .iter()
        .map(|worker| worker.kind.id.clone())
        .collect()
}

/// A submission of one step.
fn submission(count: u32, cpu: u64, takes_ms: u64, estimate_ms: u64, more: &str) -> String {
    format!(
        "{{\"spec\":\"dur={takes_ms}\",\"phases\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":256,\"est_runtime_ms\":{estimate_ms}{more}}}]}}"
    )
}

/// A worker falls silent, starts again under its id, runs a short task to its end, and then gets
/// the hold that acknowledges the ends of its boot before.
fn forgotten_end(cell: &mut Cell, trouble: bool) -> Result<Vec<String>, String> {
    let worker = add_fourteen_workers(cell, 1).remove(0);
    pause(2500);
    for number in 0..6 {
        let id = format!("00000000000000a{number}");
        if !cell.submit(BATCH, &id, &submission(2, 1000, 300, 300, ON_LABEL)) {
            return Err("a submission was not accepted".to_owned());
        }
        pause(400);
    }
    let record = cell.record.clone();
    if !cell.wait(Duration::from_secs(5), || worker.end_count() >= 12) {
        return Err("the first tasks did not end".to_owned());
    }
    // A task that takes long, so that a hold waits for ends when the worker falls silent.
    if !cell.submit(
        BATCH,
        "00000000000000b0",
        &submission(1, 1000, 9000, 9000, ON_LABEL),
    ) {
        return Err("a submission was not accepted".to_owned());
    }
    let running = || !worker.running().is_empty();
    if !cell.wait(Duration::from_secs(5), running) {
        return Err("the long task did not start".to_owned());
    }
    pause(1500);
    // A hold of at most a second has just arrived, and waits for an end.
    let just_held = || {
        worker
            .since_hold()
            .is_some_and(|since| since < Duration::from_millis(50))
    };
    if !cell.wait(Duration::from_secs(3), just_held) {
        return Err("no hold came".to_owned());
    }
    pause(150);
    if trouble {
        worker.lose_power();
        pause(500);
        worker.boot_again();
    }
    cell.submit(
        BATCH,
        "00000000000000c0",
        &submission(1, 1000, 150, 150, ON_LABEL),
    );
    pause(9000);
    cell.state(BATCH, "00000000000000c0");
    Ok(record.runs_twice())
}

/// A worker starts again under its id, and is cut off soon after.
fn long_lease(cell: &mut Cell, trouble: bool) -> Result<Vec<String>, String> {
    let workers = add_fourteen_workers(cell, 2);
    let (first, second) = (&workers[0], &workers[1]);
    pause(2500);
    // Fills one worker until after the restart of the other.
    let filler = submission(1, 32_000, 9000, 9000, ON_LABEL);
    let lasting = submission(
        1,
        20_000,
        0,
        500,
        ",\"long_running\":true,\"constraints\":\"a\"",
    );
    if !cell.submit(BATCH, "00000000000000a0", &filler) {
        return Err("a submission was not accepted".to_owned());
    }
    pause(500);
    if !cell.submit(BATCH, "00000000000000b0", &lasting) {
        return Err("a submission was not accepted".to_owned());
    }
    let is_lasting = |name: &String| name.starts_with("00000000000000b0");
    let runs_it = |worker: &Worker| worker.running().iter().any(is_lasting);
    let running = || runs_it(first) || runs_it(second);
    if !cell.wait(Duration::from_secs(5), running) {
        return Err("the lasting task did not start".to_owned());
    }
    pause(1500);
    let worker = if runs_it(first) { first } else { second };
    if trouble {
        worker.crash();
        pause(400);
        worker.boot_again();
        if !cell.wait(Duration::from_secs(4), || runs_it(worker)) {
            return Err("the lasting task did not start again on that worker".to_owned());
        }
        pause(300);
        // node_cut of workers twice, each for 5.5 s, the second 4.5 s after the first.
        worker.set_cut(true);
        pause(4500 + 5500);
        worker.set_cut(false);
    }
    pause(4000);
    cell.state(BATCH, "00000000000000b0");
    Ok(cell.record.runs_twice())
}

/// A submission whose tasks take 400 s, 44 times as long as declared. Six workers of 32
/// cores, six tasks of 20 cores, and nothing else.
fn long_task(cell: &mut Cell, trouble: bool) -> Result<Vec<String>, String> {
    let workers = add_six_workers(cell);
    pause(2500);
    let takes_ms = if trouble { 400_000 } else { 9000 };
    let id = "00000000000000a0";
    if !cell.submit(BATCH, id, &submission(6, 20_000, takes_ms, 9000, "")) {
        return Err("a submission was not accepted".to_owned());
    }
    let traffic_ended_ms = cell.record.now_ms();
    pause(48_000);
    let state = cell.state(BATCH, id);
    if state.as_deref() == Some("completed") {
        return Ok(Vec::new());
    }
    let stops = cell.record.runs();
    let stops = stops
        .iter()
        .filter(|run| matches!(run.ended, Some((_, "stopped"))));
    let stops = stops.count();
    let line = format!("{stops} runs were stopped, none of them had failed; no task is done");
    cell.record.note(&line);
    let room = Room {
        workers: ids_of(&workers),
        cpu: 32_000,
        need: 20_000,
        size_of: |_| 20_000,
    };
    let from_ms = traffic_ended_ms + FINISH_MS;
    Ok(cell.record.idle_spans(id, from_ms, IDLE_LIMIT_MS, &room))
}

/// One tenant sends five times its usual: standing submissions beyond its `upper_bound`. Another
/// tenant's submission follows. Six workers of 32 cores, of which the first tenant may use 48.
fn full_tenant(cell: &mut Cell, trouble: bool) -> Result<Vec<String>, String> {
    let workers = add_six_workers(cell);
    pause(2500);
    let sent = if trouble { 5 } else { 1 };
    for number in 0..sent {
        let standing = submission(6, 8000, 0, 500, ",\"long_running\":true");
        if !cell.submit(STANDING, &format!("00000000000000b{number}"), &standing) {
            return Err("a standing submission was not accepted".to_owned());
        }
        pause(300);
    }
    pause(2000);
    let id = "00000000000000a0";
    if !cell.submit(BATCH, id, &submission(1, 2000, 3600, 3600, "")) {
        return Err("a submission was not accepted".to_owned());
    }
    let traffic_ended_ms = cell.record.now_ms();
    pause(FINISH_MS + 12_000);
    let state = cell.state(BATCH, id);
    if state.as_deref() == Some("completed") {
        return Ok(Vec::new());
    }
    let runs = cell.record.runs();
    let running = runs.iter().filter(|run| run.ended.is_none()).count();
    let line = format!("{running} tasks of 8 cores run, on 6 workers of 32 cores");
    cell.record.note(&line);
    let room = Room {
        workers: ids_of(&workers),
        cpu: 32_000,
        need: 2000,
        size_of: |_| 8000,
    };
    let from_ms = traffic_ended_ms + FINISH_MS;
    Ok(cell.record.idle_spans(id, from_ms, IDLE_LIMIT_MS, &room))
}

/// Ids of standing submissions that can be done begin with this.
const SOUND: &str = "000000000000d0";

/// 31 standing submissions come; the tasks of two of them fail at once wherever they start. Another
/// tenant's submission is a chain of short steps. Six workers of 32 cores.
fn failing_services(cell: &mut Cell, trouble: bool) -> Result<Vec<String>, String> {
    let workers = add_six_workers(cell);
    pause(2500);
    let spec = if trouble { "dur=200 fails" } else { "dur=0" };
    let standing = format!(
        "{{\"spec\":\"{spec}\",\"phases\":[{{\"count\":5,\"cpu\":12000,\"mem_mb\":256,\"est_runtime_ms\":500,\"long_running\":true}}]}}"
    );
    // Two of 31 submissions of the queue can't be done: a share of 0.0645.
    let sound = submission(1, 100, 0, 500, ",\"long_running\":true");
    for number in 0..29 {
        if !cell.submit(SERVICES, &format!("{SOUND}{number:02}"), &sound) {
            return Err("a standing submission was not accepted".to_owned());
        }
    }
    for number in 0..2 {
        if !cell.submit(SERVICES, &format!("00000000000000b{number}"), &standing) {
            return Err("a standing submission was not accepted".to_owned());
        }
    }
    pause(1000);
    let steps: Vec<String> = (0..4)
        .map(|step| {
            let after = match step {
                0 => String::new(),
                step => format!(",\"after\":[{}]", step - 1),
            };
            format!("{{\"count\":1,\"cpu\":24000,\"mem_mb\":256,\"est_runtime_ms\":3000{after}}}")
        })
        .collect();
    let chain = format!("{{\"spec\":\"dur=3000\",\"phases\":[{}]}}", steps.join(","));
    let id = "00000000000000a0";
    if !cell.submit(BATCH, id, &chain) {
        return Err("a submission was not accepted".to_owned());
    }
    let traffic_ended_ms = cell.record.now_ms();
    pause(FINISH_MS + 36_000);
    let state = cell.state(BATCH, id);
    if state.as_deref() == Some("completed") {
        return Ok(Vec::new());
    }
    let room = Room {
        workers: ids_of(&workers),
        cpu: 32_000,
        need: 24_000,
        size_of: |task| if task.starts_with(SOUND) { 100 } else { 12_000 },
    };
    let from_ms = traffic_ended_ms + FINISH_MS;
    Ok(cell.record.idle_spans(id, from_ms, IDLE_LIMIT_MS, &room))
}

/// A worker with a standing task ends, and its address goes to another service. The other workers
/// are full of batch work of a lower priority.
fn ended_worker(cell: &mut Cell, trouble: bool) -> Result<Vec<String>, String> {
    let workers = add_six_workers(cell);
    pause(2500);
    let id = "00000000000000b0";
    let more = ",\"long_running\":true,\"max_per_server\":1";
    if !cell.submit(SERVICES, id, &submission(3, 16_000, 0, 500, more)) {
        return Err("the standing submission was not accepted".to_owned());
    }
    pause(1000);
    // Tasks of 2 cores that end one after the other, for the rest of the trial.
    for number in 0..200 {
        let takes_ms = 8000 + 53 * (number * 77 % 150);
        let batch = submission(3, 2000, takes_ms, 9000, "");
        if !cell.submit(BATCH, &format!("000000000000a{number:03}"), &batch) {
            return Err("a submission was not accepted".to_owned());
        }
    }
    pause(8000);
    let stands_on = |worker: &&Worker| worker.running().iter().any(|name| name.starts_with(id));
    let Some(worker) = workers.iter().find(stands_on) else {
        return Err("no standing task runs".to_owned());
    };
    if trouble {
        worker.crash();
        pause(2000);
        worker.give_address_away();
    }
    let calm_from_ms = cell.record.now_ms() + CALM_MS;
    pause(30_000);
    Ok((0..3)
        .flat_map(|index| {
            let task = format!("{id}.0.0.{index}");
            cell.record.absences(&task, calm_from_ms, IDLE_LIMIT_MS)
        })
        .collect())
}

/// Time without any impairment after which a task that lasts has to be back: longer than the 4 s
/// that must be calm and the 6 s since its last run (rule LOST).
const CALM_MS: u64 = 7000;

/// A standing submission of 10,000 small tasks comes, each of which fails once and is started again.
/// Chains of another tenant follow. Six workers of 32 cores; the standing tasks need 50 cores.
fn wide_submission(cell: &mut Cell, trouble: bool) -> Result<Vec<String>, String> {
    let add = |number: usize| {
        let id = format!("7f3a91c2-55d0-4b1e-9f3a-0c55e1d8a00{number}");
        cell.add_worker(&id, ZONES[number % ZONES.len()], "a")
    };
    let workers: Vec<Worker> = (0..6).map(add).collect();
    pause(2500);
    let standing = "{\"spec\":\"dur=3000 fails-once\",\"phases\":[{\"count\":10000,\"cpu\":5,\"mem_mb\":4,\"est_runtime_ms\":500,\"long_running\":true}]}";
    if trouble && !cell.submit(SERVICES, "00000000000000b0", standing) {
        return Err("the standing submission was not accepted".to_owned());
    }
    pause(25_000);
    let step = "{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":500";
    let chain = format!(
        "{{\"spec\":\"dur=500\",\"phases\":[{step}}},{step},\"after\":[0]}},{step},\"after\":[1]}}]}}"
    );
    let ids: Vec<String> = (0..5)
        .map(|number| format!("00000000000000a{number}"))
        .collect();
    for id in &ids {
        if !cell.submit(BATCH, id, &chain) {
            return Err("a submission was not accepted".to_owned());
        }
        pause(1000);
    }
    let from_ms = cell.record.now_ms() + FINISH_MS;
    pause(FINISH_MS + 12_000);
    let room = Room {
        workers: ids_of(&workers),
        cpu: 32_000,
        need: 1000,
        size_of: |_| 5,
    };
    let mut broken = Vec::new();
    for id in &ids {
        if cell.state(BATCH, id).as_deref() != Some("completed") {
            broken.extend(cell.record.idle_spans(id, from_ms, IDLE_LIMIT_MS, &room));
        }
    }
    let refused = cell.store.refused();
    if let Some((key, length)) = refused.last() {
        cell.record.note(&format!(
            "the store refused {} writes, since a value was too long; the last: {key}, {length} bytes",
            refused.len()
        ));
    }
    Ok(broken)
}

/// Time after the end of the traffic from which submissions are asked for, `finish_s`.
const FINISH_MS: u64 = 14_000;

/// Time for which a submission may have nothing running (rule LOST).
const IDLE_LIMIT_MS: u64 = 3000;
