//! Guarantees about ownership, recovery, limits and placement.

use std::collections::{BTreeMap, BTreeSet};

use lagoonnotch_standin::{RunChecker, RunRecord, RunViolations};
use lagoonnotch_wire::caller::JobState;
use lagoonnotch_wire::upstream::{FinishOutcome, ResourceSize};
use proptest::prelude::*;

use crate::caller_work::{CallerOutcome, CallerWork};
use crate::scenario::{
    FaultKind, Scenario, config, isolated_owner_scenarios, scenarios, scenarios_with,
};
use crate::scenario_config::{TEAM_CORES, cores};
use crate::simulation::Simulation;

/// Time within which a change by the operators or the platform must take effect, in milliseconds.
const MAX_REACTION_MS: u64 = 5000;

/// Returns the violations in the upstreams' run records.
pub(crate) fn violations(simulation: &Simulation) -> RunViolations {
    let mut checker = RunChecker::new(&simulation.host_entries());
    let limit: ResourceSize = cores(TEAM_CORES).into();
    checker.limits = ["team-0", "team-1"]
        .map(|team| (team.to_owned(), limit.clone()))
        .into();
    let single = simulation
        .works
        .values()
        .filter(|work| !work.plan.idempotent);
    checker.at_most_once = single.map(|work| work.id.to_string()).collect();
    checker.check(&simulation.records())
}

fn runs_of<'a>(records: &'a [RunRecord], work: &CallerWork) -> Vec<&'a RunRecord> {
    let prefix = format!("{}/", work.id);
    records
        .iter()
        .filter(|record| record.task.starts_with(&prefix))
        .collect()
}

/// Returns the jobs whose runs do not match the outcome that their callers know, with that outcome.
pub(crate) fn lost_jobs(simulation: &Simulation) -> BTreeMap<String, String> {
    let records = simulation.records();
    let jobs = simulation.works.values().filter(|work| !work.plan.quick);
    let lost = jobs.filter_map(|work| {
        let runs = runs_of(&records, work);
        let completed: BTreeSet<&str> = runs
            .iter()
            .filter(|run| run.outcome == Some(FinishOutcome::Completed))
            .map(|run| run.task.as_str())
            .collect();
        let all_completed = completed.len() == work.plan.tasks as usize;
        let unknown = work
            .status
            .as_ref()
            .is_some_and(|status| status.state == JobState::Unknown);
        let accounted_for = match &work.outcome {
            CallerOutcome::Ended(JobState::Finished) => all_completed,
            CallerOutcome::Ended(JobState::Cancelled) => work.cancelled,
            CallerOutcome::Accepted => unknown && !work.plan.idempotent,
            CallerOutcome::NotRun => runs.is_empty(),
            // An earlier submission got no reply, so the job may exist; the caller knows that.
            CallerOutcome::Unknown => true,
            _ => false,
        };
        let seen = format!("{:?}, {:?}, {:?}", work.plan, work.outcome, work.status);
        (!accounted_for).then(|| (work.id.to_string(), seen))
    });
    lost.collect()
}

proptest! {
    #![proptest_config(config())]

    /// Guards against capacity that is reserved twice, such as when a new owner does not know about
    /// tasks that the previous owner started.
    #[test]
    fn promise_no_upstream_is_overcommitted(scenario in scenarios()) {
        let simulation = Simulation::run(&scenario);
        prop_assert!(violations(&simulation).overcommitted.is_empty(), "{:#?}", simulation.records());
    }

    /// Guards against a second attempt that starts while the first still runs, such as at an
    /// upstream that the owner cannot reach.
    #[test]
    fn promise_no_task_runs_in_two_places(scenario in scenarios()) {
        let simulation = Simulation::run(&scenario);
        let doubled: Vec<String> = violations(&simulation).doubled.into_iter().collect();
        prop_assert!(doubled.is_empty(), "{doubled:?}\n{}", simulation.trace_of(&doubled));
    }

    /// Guards against a retry of non-idempotent work whose first attempt ran, or may have run,
    /// before a fault.
    #[test]
    fn promise_non_idempotent_runs_at_most_once(scenario in scenarios()) {
        let scenario = Scenario { works: scenario.works.into_iter().map(|mut work| {
            work.idempotent = false;
            work
        }).collect(), ..scenario };
        let simulation = Simulation::run(&scenario);
        let records = simulation.records();
        for work in simulation.works.values() {
            let runs = runs_of(&records, work);
            let tasks: BTreeSet<&str> = runs.iter().map(|run| run.task.as_str()).collect();
            prop_assert_eq!(tasks.len(), runs.len(), "{:?}", runs);
        }
    }

    /// Guards against shards that together run more than a team's limit because they do not see
    /// each other's usage.
    #[test]
    fn promise_no_team_exceeds_its_limit(scenario in scenarios()) {
        let simulation = Simulation::run(&scenario);
        prop_assert!(violations(&simulation).beyond_limit.is_empty(), "{:?}", violations(&simulation).beyond_limit);
    }

    /// Guards against starts in a failure domain that the operators took out of service, such as by
    /// an owner that was paused meanwhile.
    #[test]
    fn promise_out_of_service_domain_starts_nothing(scenario in scenarios_with(
        prop_oneof![
            Just(FaultKind::DomainOut),
            (0..3_usize).prop_map(FaultKind::Crash),
            (0..3_usize).prop_map(FaultKind::Pause),
            Just(FaultKind::StoreDown),
        ].boxed(), 6)
    ) {
        let simulation = Simulation::run(&scenario);
        assert_blocked_periods(&simulation)?;
    }

    /// Guards against starts at an upstream that the platform lists as leaving, such as after a
    /// change of the owner.
    #[test]
    fn promise_leaving_upstream_gets_no_work(scenario in scenarios_with(
        prop_oneof![
            (0..4_usize).prop_map(FaultKind::Leaving),
            (0..3_usize).prop_map(FaultKind::Crash),
            (0..3_usize).prop_map(FaultKind::Pause),
        ].boxed(), 6)
    ) {
        let simulation = Simulation::run(&scenario);
        assert_blocked_periods(&simulation)?;
    }

    /// Guards against telling a caller that its work did not run although an attempt started, such
    /// as after a lost reply.
    #[test]
    fn promise_not_run_means_no_attempt_ran(scenario in scenarios()) {
        let simulation = Simulation::run(&scenario);
        let records = simulation.records();
        for work in simulation.works.values().filter(|work| work.outcome == CallerOutcome::NotRun) {
            let runs = runs_of(&records, work);
            prop_assert!(runs.is_empty(), "{:?} {runs:?}", work);
        }
    }

    /// Guards against an answer to a caller whose work never completed at an upstream.
    #[test]
    fn promise_answer_requires_a_completed_run(scenario in scenarios()) {
        let simulation = Simulation::run(&scenario);
        let records = simulation.records();
        for work in simulation.works.values().filter(|work| work.outcome == CallerOutcome::Answered) {
            let completed = runs_of(&records, work).iter()
                .any(|run| run.outcome == Some(FinishOutcome::Completed));
            prop_assert!(completed, "{:?}", work);
        }
    }

    /// Guards against double runs when an owner cannot reach the store and its peers, while its
    /// successor cannot reach an upstream on which tasks still run.
    #[test]
    fn promise_isolated_owner_breaks_no_guarantee(scenario in isolated_owner_scenarios()) {
        let simulation = Simulation::run(&scenario);
        let violations = violations(&simulation);
        let doubled: Vec<String> = violations.doubled.iter().cloned().collect();
        prop_assert!(violations.is_clean(), "{violations:?}\n{}", simulation.trace_of(&doubled));
    }

    /// Guards against a job that both shards run, or neither, when it moves to another shard while
    /// hosts fail or messages are lost.
    #[test]
    fn promise_handed_over_job_is_neither_lost_nor_run_twice(scenario in scenarios_with(
        prop_oneof![
            3 => Just(FaultKind::DomainOut),
            1 => (0..3_usize).prop_map(FaultKind::Crash),
            1 => (0..3_usize).prop_map(FaultKind::Pause),
            1 => Just(FaultKind::StoreDown),
            1 => (0..2_usize).prop_map(|host| FaultKind::PeerCut(host, 2)),
        ].boxed(), 6)
    ) {
        let simulation = Simulation::run(&scenario);
        let violations = violations(&simulation);
        let mut names: Vec<String> = lost_jobs(&simulation).into_keys().collect();
        names.extend(violations.doubled.iter().cloned());
        prop_assert!(names.is_empty() && violations.is_clean(), "{names:?} {violations:?}\n{}", simulation.trace_of(&names));
    }

    /// Guards against an accepted job that a new owner does not know, or that no owner ever
    /// finishes.
    #[test]
    fn promise_no_accepted_job_is_lost(scenario in scenarios()) {
        let simulation = Simulation::run(&scenario);
        let lost = lost_jobs(&simulation);
        let names: Vec<String> = lost.keys().cloned().collect();
        prop_assert!(lost.is_empty(), "{lost:#?}\n{}", simulation.trace_of(&names));
    }
}

fn assert_blocked_periods(simulation: &Simulation) -> Result<(), TestCaseError> {
    for record in simulation.records() {
        let started = record.started_ms;
        let period = simulation.blocked_periods.iter().find(|period| {
            let effective_ms = period.from_ms + MAX_REACTION_MS;
            period.upstreams.contains(&record.upstream)
                && (effective_ms..period.until_ms).contains(&started)
        });
        prop_assert!(period.is_none(), "{record:?} started in {period:?}");
    }
    Ok(())
}
