//! Promises of ownership, recovery, limits and placement.

use std::collections::{BTreeMap, BTreeSet};

use lagoonnotch_standin::{RunChecker, RunRecord, RunViolations};
use lagoonnotch_wire::caller::JobState;
use lagoonnotch_wire::upstream::{FinishOutcome, ResourceSize};
use proptest::prelude::*;

use crate::cell_config::{TEAM_CORES, cores};
use crate::entry_model::{CallerKnows, CallerWork};
use crate::history::{FaultKind, History, config, cut_off_histories, histories, histories_of};
use crate::world::World;

/// Time after which a change that the operators or the platform made must be obeyed, in milliseconds.
const OBEYED_MS: u64 = 5000;

pub(crate) fn verdict(world: &World) -> RunViolations {
    let mut judge = RunChecker::new(&world.host_entries());
    let limit: ResourceSize = cores(TEAM_CORES).into();
    judge.limits = ["team-0", "team-1"]
        .map(|team| (team.to_owned(), limit.clone()))
        .into();
    let single = world.works.values().filter(|work| !work.plan.idempotent);
    judge.at_most_once = single.map(|work| work.id.to_string()).collect();
    judge.check(&world.records())
}

fn runs_of<'a>(records: &'a [RunRecord], work: &CallerWork) -> Vec<&'a RunRecord> {
    let prefix = format!("{}/", work.id);
    records
        .iter()
        .filter(|record| record.task.starts_with(&prefix))
        .collect()
}

/// Returns the accepted jobs that neither ended well nor are truly unknown.
pub(crate) fn lost_jobs(world: &World) -> BTreeMap<String, String> {
    let records = world.records();
    let accepted = world.works.values().filter(|work| !work.plan.quick);
    let lost = accepted.filter_map(|work| {
        let runs = runs_of(&records, work);
        let completed: BTreeSet<&str> = runs
            .iter()
            .filter(|run| run.outcome == Some(FinishOutcome::Completed))
            .map(|run| run.task.as_str())
            .collect();
        let whole = completed.len() == work.plan.tasks as usize;
        let unknown = work
            .status
            .as_ref()
            .is_some_and(|status| status.state == JobState::Unknown);
        let fine = match &work.knows {
            CallerKnows::Ended(JobState::Finished) => whole,
            CallerKnows::Ended(JobState::Cancelled) => work.cancelled,
            CallerKnows::Accepted => unknown && !work.plan.idempotent,
            CallerKnows::NotRun => runs.is_empty(),
            // An earlier submission got no answer, and the caller was told so.
            CallerKnows::Unknown => true,
            _ => false,
        };
        let seen = format!("{:?}, {:?}, {:?}", work.plan, work.knows, work.status);
        (!fine).then(|| (work.id.to_string(), seen))
    });
    lost.collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn promise_no_host_is_overcommitted(history in histories()) {
        let world = World::run(&history);
        prop_assert!(verdict(&world).overcommitted.is_empty(), "{:#?}", world.records());
    }

    #[test]
    fn promise_no_task_runs_in_two_places(history in histories()) {
        let world = World::run(&history);
        let doubled: Vec<String> = verdict(&world).doubled.into_iter().collect();
        prop_assert!(doubled.is_empty(), "{doubled:?}\n{}", world.story(&doubled));
    }

    #[test]
    fn promise_non_idempotent_runs_at_most_once(history in histories()) {
        let history = History { works: history.works.into_iter().map(|mut work| {
            work.idempotent = false;
            work
        }).collect(), ..history };
        let world = World::run(&history);
        let records = world.records();
        for work in world.works.values() {
            let runs = runs_of(&records, work);
            let tasks: BTreeSet<&str> = runs.iter().map(|run| run.task.as_str()).collect();
            prop_assert_eq!(tasks.len(), runs.len(), "{:?}", runs);
        }
    }

    #[test]
    fn promise_no_team_beyond_its_limit(history in histories()) {
        let world = World::run(&history);
        prop_assert!(verdict(&world).beyond_limit.is_empty(), "{:?}", verdict(&world).beyond_limit);
    }

    #[test]
    fn promise_domain_out_starts_nothing(history in histories_of(
        prop_oneof![
            Just(FaultKind::DomainOut),
            (0..3_usize).prop_map(FaultKind::Crash),
            (0..3_usize).prop_map(FaultKind::Pause),
            Just(FaultKind::StoreDown),
        ].boxed(), 6)
    ) {
        let world = World::run(&history);
        assert_closed_times(&world)?;
    }

    #[test]
    fn promise_leaving_upstream_gets_no_work(history in histories_of(
        prop_oneof![
            (0..4_usize).prop_map(FaultKind::Leaving),
            (0..3_usize).prop_map(FaultKind::Crash),
            (0..3_usize).prop_map(FaultKind::Pause),
        ].boxed(), 6)
    ) {
        let world = World::run(&history);
        assert_closed_times(&world)?;
    }

    #[test]
    fn promise_not_run_is_true(history in histories()) {
        let world = World::run(&history);
        let records = world.records();
        for work in world.works.values().filter(|work| work.knows == CallerKnows::NotRun) {
            let runs = runs_of(&records, work);
            prop_assert!(runs.is_empty(), "{:?} {runs:?}", work);
        }
    }

    #[test]
    fn promise_answers_are_of_runs(history in histories()) {
        let world = World::run(&history);
        let records = world.records();
        for work in world.works.values().filter(|work| work.knows == CallerKnows::Answered) {
            let completed = runs_of(&records, work).iter()
                .any(|run| run.outcome == Some(FinishOutcome::Completed));
            prop_assert!(completed, "{:?}", work);
        }
    }

    #[test]
    fn promise_owner_that_is_cut_off_does_no_harm(history in cut_off_histories()) {
        let world = World::run(&history);
        let verdict = verdict(&world);
        let doubled: Vec<String> = verdict.doubled.iter().cloned().collect();
        prop_assert!(verdict.is_clean(), "{verdict:?}\n{}", world.story(&doubled));
    }

    #[test]
    fn promise_handed_over_job_is_neither_lost_nor_doubled(history in histories_of(
        prop_oneof![
            3 => Just(FaultKind::DomainOut),
            1 => (0..3_usize).prop_map(FaultKind::Crash),
            1 => (0..3_usize).prop_map(FaultKind::Pause),
            1 => Just(FaultKind::StoreDown),
            1 => (0..2_usize).prop_map(|host| FaultKind::PeerCut(host, 2)),
        ].boxed(), 6)
    ) {
        let world = World::run(&history);
        let verdict = verdict(&world);
        let mut names: Vec<String> = lost_jobs(&world).into_keys().collect();
        names.extend(verdict.doubled.iter().cloned());
        prop_assert!(names.is_empty() && verdict.is_clean(), "{names:?} {verdict:?}\n{}", world.story(&names));
    }

    #[test]
    fn promise_no_accepted_job_is_lost(history in histories()) {
        let world = World::run(&history);
        let lost = lost_jobs(&world);
        let names: Vec<String> = lost.keys().cloned().collect();
        prop_assert!(lost.is_empty(), "{lost:#?}\n{}", world.story(&names));
    }
}

fn assert_closed_times(world: &World) -> Result<(), TestCaseError> {
    for record in world.records() {
        let started = record.started_ms;
        let closed = world.closed.iter().find(|closed| {
            let obeyed = closed.from_ms + OBEYED_MS;
            closed.upstreams.contains(&record.upstream)
                && (obeyed..closed.until_ms).contains(&started)
        });
        prop_assert!(closed.is_none(), "{record:?} started in {closed:?}");
    }
    Ok(())
}
