//! Comparison of journal replay with a naive model, and journal writes with lost replies.

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

/// Returns a work item's state, computed from the records since it was last forgotten.
fn naive_state(records: &[JournalRecord], index: usize) -> Option<&'static str> {
    let id = work(index);
    let begin = records
        .iter()
        .rposition(|record| matches!(record, JournalRecord::Forgotten { work } if *work == id));
    let records = &records[begin.map_or(0, |index| index + 1)..];
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

fn task_state_name(state: &JournalState, index: usize) -> Option<&'static str> {
    state
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

    /// Guards against a recovery that yields another state than the records, when it replays all of
    /// them or a snapshot and the records after it.
    #[test]
    fn replay_matches_the_naive_model(records in vec(records(), 0..60), cut in 0..60_usize) {
        let mut full = JournalState::default();
        for record in &records {
            full.apply(record);
        }
        let cut = cut.min(records.len());
        let mut prefix = JournalState::default();
        for record in &records[..cut] {
            prefix.apply(record);
        }
        let mut resumed = join_snapshot(&split_snapshot(&prefix)).expect("the snapshot can be read back");
        for record in &records[cut..] {
            resumed.apply(record);
        }

        prop_assert_eq!(&full, &resumed);
        for index in 0..5 {
            prop_assert_eq!(
                task_state_name(&full, index),
                naive_state(&records, index),
                "{}",
                index
            );
        }
    }
}

fn writer_with_one_record() -> JournalWriter<u32> {
    // Epoch 3, segment 8 next, no minimum interval between writes.
    let mut writer = JournalWriter::new(3, 8, 0);
    writer.append(JournalRecord::Cancelled { work: work(1) }, Some(5));
    writer
}

/// Guards against a commit with an unknown outcome. The reply to a write is lost, the repeated write
/// conflicts, and the stored batch is the writer's own.
#[test]
fn lost_reply_is_resolved_by_the_stored_batch() {
    let mut writer = writer_with_one_record();
    let write = writer.next_write(0).expect("a record is pending");
    let entry = StoreEntry {
        key: "key".to_owned(),
        value: write.value,
        revision: 1,
    };

    let result = writer.resolve_conflict(Some(&entry));

    assert!(matches!(result, CommitResult::Committed(entries) if entries[0].follow_up == Some(5)));
}

/// Guards against an owner that goes on after its replacement. A write conflicts with a batch that
/// a newer owner has stored.
#[test]
fn stored_batch_of_another_owner_deposes_the_owner() {
    let mut writer = writer_with_one_record();
    writer.next_write(0).expect("a record is pending");
    // The newer owner has epoch 4 and writes the same segment.
    let mut other = JournalWriter::<u32>::new(4, 8, 0);
    other.append(JournalRecord::Sealed { epoch: 4 }, None);
    let value = other.next_write(0).expect("a record is pending").value;

    let result = writer.resolve_conflict(Some(&StoreEntry {
        key: "key".to_owned(),
        value,
        revision: 1,
    }));

    assert!(matches!(result, CommitResult::Superseded));
}

/// Guards against a snapshot that exceeds the store's value limit when texts have multi-byte
/// characters.
#[test]
fn large_snapshot_is_split_into_storable_parts() {
    let mut state = JournalState::default();
    for index in 0..3000 {
        let mut work = accepted(index);
        work.payload = "é".repeat(500).into();
        state.apply(&JournalRecord::Accepted { work });
    }

    let parts = split_snapshot(&state);

    assert!(parts.len() > 1);
    assert!(parts.iter().all(|part| part.len() <= 1_048_576));
    assert_eq!(
        join_snapshot(&parts).expect("the parts form a snapshot"),
        state
    );
}
