//! Replay of the journal against a naive version.

use lagoonnotch::document::WorkClass;
use lagoonnotch::journal::{
    AcceptedWork, CommitResult, JournalRecord, JournalState, JournalWriter, TaskOutcome, TaskState,
    join_snapshot, split_snapshot,
};
use lagoonnotch::model::{AttemptId, ResourceSize, TaskId, WorkId};
use lagoonnotch_wire::store::StoreEntry;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn work(index: usize) -> WorkId {
    WorkId::from(format!("home~{index}"))
}

fn accepted(index: usize) -> AcceptedWork {
    AcceptedWork {
        id: work(index),
        team: "team".into(),
        workload: "workload".into(),
        class: WorkClass::Batch,
        idempotent: false,
        preemptible: false,
        lasting: true,
        size: ResourceSize::new(1, 1, 0),
        tasks: 1,
        max_attempts: 3,
        deadline_ms: 1,
        payload: "payload".into(),
    }
}

fn records() -> impl Strategy<Value = JournalRecord> {
    let attempt = |index, number| AttemptId {
        task: TaskId {
            work: work(index),
            index: 0,
        },
        number,
    };
    prop_oneof![
        (0..5_usize).prop_map(|index| JournalRecord::Accepted {
            work: accepted(index)
        }),
        (0..5_usize, 0..4_u64).prop_map(move |(index, number)| JournalRecord::Intended {
            attempt: attempt(index, number),
            upstream: "upstream".into(),
            incarnation: "first".into(),
        }),
        (0..5_usize, 0..4_u64, any::<bool>()).prop_map(move |(index, number, failed)| {
            JournalRecord::Returned {
                attempt: attempt(index, number),
                failed,
            }
        }),
        (0..5_usize).prop_map(|index| JournalRecord::Settled {
            task: TaskId {
                work: work(index),
                index: 0
            },
            outcome: TaskOutcome::Completed,
            answer: None,
        }),
        (0..5_usize).prop_map(|index| JournalRecord::Cancelled { work: work(index) }),
        (0..5_usize).prop_map(|index| JournalRecord::Forgotten { work: work(index) }),
    ]
}

/// Returns the state of one work by reading the whole list of records backward.
fn naive_state(records: &[JournalRecord], index: usize) -> Option<&'static str> {
    let id = work(index);
    let begin = records
        .iter()
        .rposition(|record| matches!(record, JournalRecord::Forgotten { work } if *work == id));
    let records = &records[begin.map_or(0, |place| place + 1)..];
    let begin = records
        .iter()
        .position(|record| matches!(record, JournalRecord::Accepted { work } if work.id == id))?;
    let mut running = None;
    for record in &records[begin..] {
        match record {
            JournalRecord::Settled { task, .. } if task.work == id => return Some("settled"),
            JournalRecord::Intended { attempt, .. }
                if attempt.task.work == id && running.is_none() =>
            {
                running = Some(attempt.number);
            }
            JournalRecord::Returned { attempt, .. }
                if attempt.task.work == id && running == Some(attempt.number) =>
            {
                running = None;
            }
            _ => {}
        }
    }
    Some(if running.is_some() {
        "intended"
    } else {
        "waiting"
    })
}

fn state(ledger: &JournalState, index: usize) -> Option<&'static str> {
    ledger
        .works
        .get(&work(index))
        .map(|work| match work.tasks[0] {
            TaskState::Waiting { .. } => "waiting",
            TaskState::Intended { .. } => "intended",
            TaskState::Settled { .. } => "settled",
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn replay_matches_the_naive_version(records in vec(records(), 0..60), cut in 0..60_usize) {
        let mut whole = JournalState::default();
        for record in &records {
            whole.apply(record);
        }
        let cut = cut.min(records.len());
        let mut early = JournalState::default();
        for record in &records[..cut] {
            early.apply(record);
        }
        let mut resumed = join_snapshot(&split_snapshot(&early)).expect("a snapshot can be read again");
        for record in &records[cut..] {
            resumed.apply(record);
        }

        prop_assert_eq!(&whole, &resumed);
        for index in 0..5 {
            prop_assert_eq!(state(&whole, index), naive_state(&records, index), "{}", index);
        }
    }
}

fn writer_with_one_record() -> JournalWriter<u32> {
    let mut writer = JournalWriter::new(3, 8, 0);
    writer.append(JournalRecord::Cancelled { work: work(1) }, Some(5));
    writer
}

#[test]
fn lost_answer_is_settled_by_the_batch_in_place() {
    let mut writer = writer_with_one_record();
    let write = writer.next_write(0).expect("a record waits");
    let entry = StoreEntry {
        key: "key".to_owned(),
        value: write.value,
        revision: 1,
    };

    let result = writer.resolve_conflict(Some(&entry));

    assert!(matches!(result, CommitResult::Committed(entries) if entries[0].follow_up == Some(5)));
}

#[test]
fn foreign_batch_in_place_deposes_the_owner() {
    let mut writer = writer_with_one_record();
    writer.next_write(0).expect("a record waits");
    let mut other = JournalWriter::<u32>::new(4, 8, 0);
    other.append(JournalRecord::Sealed { epoch: 4 }, None);
    let value = other.next_write(0).expect("a record waits").value;

    let result = writer.resolve_conflict(Some(&StoreEntry {
        key: "key".to_owned(),
        value,
        revision: 1,
    }));

    assert!(matches!(result, CommitResult::Deposed));
}

#[test]
fn large_snapshot_is_divided_below_the_largest_value() {
    let mut ledger = JournalState::default();
    for index in 0..3000 {
        let mut work = accepted(index);
        work.payload = "é".repeat(500).into();
        ledger.apply(&JournalRecord::Accepted { work });
    }

    let parts = split_snapshot(&ledger);

    assert!(parts.len() > 1);
    assert!(parts.iter().all(|part| part.len() <= 1_048_576));
    assert_eq!(
        join_snapshot(&parts).expect("the parts fit together"),
        ledger
    );
}
