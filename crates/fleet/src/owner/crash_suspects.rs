//! Tasks that may crash their upstreams.
//!
//! The load: a task that crashes each upstream that starts it loses its neighbours' work with every
//! attempt, and takes one upstream after the other if it is started again like any other. The runs
//! on a crashed upstream are suspects. The suspects of a submission run again together on an
//! upstream of their own, so that a second crash tells which submission causes it and harms no
//! other; after that they run one at a time. Only crashes of upstreams that are known to have
//! started the task prove anything, because an order may not have arrived before the crash. Crashes
//! of several upstreams at about the same time usually have a common cause; a first crash of that
//! kind makes no suspects.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use crate::model::{CrashRecord, CrashScope, RenewReply, TaskName};
use crate::owner::submission_entry::{SubmissionEntry, TaskEntry, TaskPhase};
use crate::owner::upstream_entry::{RunPhase, UpstreamEntry};
use crate::owner::{CrashReport, OwnerEffect, OwnerMachine};

/// Number of crashes that the upstreams must have confirmed before a task is given up.
const MIN_CONFIRMED_CRASHES: usize = 2;

/// Number of crashes after which a task is given up although other submissions were running beside
/// it.
const MAX_SHARED_CRASHES: usize = 3;

/// Number of crashes after which a task is given up although they are not confirmed.
const MAX_CRASHES: usize = 5;

/// Number of upstreams that must end at about the same time for a common cause to be assumed.
const WIDESPREAD_UPSTREAMS: usize = 3;

/// Maximum time between the ends of upstreams that have a common cause, in milliseconds.
const WIDESPREAD_WINDOW_MS: u64 = 1000;

/// Time for which crashes are remembered to find a common cause, in milliseconds. A crash is
/// noticed when the upstream is back.
const CRASH_MEMORY_MS: u64 = 20_000;

/// Time for which suspects run apart, in milliseconds.
pub(super) const ISOLATION_MS: u64 = 2000;

/// Time for which a suspect waits for an upstream without runs, in milliseconds. After that it
/// shares one, unless two upstreams have crashed under it.
const ISOLATION_WAIT_MS: u64 = 500;

/// Value of `ISOLATION_WAIT_MS` after two crashes.
const REPEATED_ISOLATION_WAIT_MS: u64 = 5000;

/// A run that was present, or may have been, when its upstream ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct CrashVictim {
    pub name: TaskName,
    pub attempt: u32,
    /// Whether the upstream is known to have started the run.
    pub confirmed: bool,
}

/// How the suspects of a submission hold up its tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SuspectPhase {
    /// There are none, or all have been running for a while.
    None,
    /// Suspects wait to run apart; the other tasks start after them.
    Waiting,
    /// Suspects run apart; all other tasks wait.
    Isolated,
}

/// Recent crashes: when the upstream stopped to respond, and its identifier.
pub(super) type CrashHistory = VecDeque<(u64, Arc<str>)>;

impl TaskEntry {
    /// Returns whether the task may have crashed an upstream and has not completed since.
    pub fn is_suspect(&self) -> bool {
        let is_specific = |crash: &CrashRecord| crash.scope != CrashScope::Widespread;
        self.phase != TaskPhase::Done
            && (self.crashes.len() > 1 || self.crashes.iter().any(is_specific))
    }

    /// Returns whether the task has crashed so many upstreams that it must not start again.
    fn must_be_given_up(&self) -> bool {
        let confirmed = self.confirmed_crashes();
        let last_alone = self
            .crashes
            .last()
            .is_some_and(|crash| crash.scope == CrashScope::Alone);
        let is_guilty = last_alone || self.crashes.len() >= MAX_SHARED_CRASHES;
        (confirmed >= MIN_CONFIRMED_CRASHES && is_guilty) || self.crashes.len() >= MAX_CRASHES
    }

    /// Returns the number of crashes of upstreams that are known to have started the task.
    pub fn confirmed_crashes(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.confirmed).count()
    }

    /// Returns how long the task waits for an upstream without runs, in milliseconds.
    pub fn isolation_wait_ms(&self) -> u64 {
        if self.crashes.len() > 1 {
            REPEATED_ISOLATION_WAIT_MS
        } else {
            ISOLATION_WAIT_MS
        }
    }
}

impl SubmissionEntry {
    /// Returns how the suspects hold up the submission's tasks.
    pub fn suspect_phase(&self, now: u64) -> SuspectPhase {
        if !self.has_crashes {
            return SuspectPhase::None;
        }
        let any_in = |phase| {
            let mut tasks = self.tasks();
            tasks.any(|task| task.phase == phase && task.is_suspect())
        };
        if now < self.isolated_until && any_in(TaskPhase::Placed) {
            SuspectPhase::Isolated
        } else if any_in(TaskPhase::Waiting) {
            SuspectPhase::Waiting
        } else {
            SuspectPhase::None
        }
    }

    fn tasks(&self) -> impl Iterator<Item = &TaskEntry> {
        let steps = self.occurrences.iter().flat_map(|found| &found.steps);
        steps.flat_map(|step| &step.tasks)
    }
}

impl UpstreamEntry {
    /// Returns the runs that a crash ended.
    pub fn crash_victims(&self) -> Vec<CrashVictim> {
        self.runs
            .iter()
            .filter(|(_, run)| run.phase != RunPhase::Planned)
            .map(|(name, run)| CrashVictim {
                name: name.clone(),
                attempt: run.attempt,
                confirmed: run.confirmed_at.is_some_and(|at| at > 0),
            })
            .collect()
    }

    /// Takes the runs of an upstream that has ended; none if it had reported that it leaves.
    pub fn take_ended_victims(&mut self) -> Vec<CrashVictim> {
        let ended = self.runs_incarnation.take();
        let victims = self.all_victims();
        if ended.is_some() && ended == self.drained_incarnation {
            return Vec::new();
        }
        victims
    }

    fn all_victims(&mut self) -> Vec<CrashVictim> {
        let mut victims = self.crash_victims();
        victims.append(&mut self.expired_runs);
        victims
    }

    /// Takes the runs of the previous incarnation if this reply is the first of another one.
    /// Runs that the reply lists were started by the new incarnation. An upstream that has reported
    /// that it leaves has not crashed.
    pub fn take_crash_victims(&mut self, reply: &RenewReply) -> Vec<CrashVictim> {
        let previous = self.runs_incarnation.replace(reply.incarnation_unix_ms);
        let has_restarted = previous.is_some_and(|found| found != reply.incarnation_unix_ms);
        if !has_restarted {
            self.expired_runs.clear();
            return Vec::new();
        }
        let mut victims = self.all_victims();
        if previous == self.drained_incarnation {
            victims.clear();
        }
        let listed = |victim: &CrashVictim| {
            let name = victim.name.to_string();
            reply.running.iter().any(|run| *run.task == *name)
                || reply.finished.iter().any(|run| *run.task == *name)
        };
        victims.retain(|victim| !listed(victim));
        victims
    }
}

impl OwnerMachine {
    /// Records a crash of an upstream that stopped to respond at `fell_at`, and gives up the
    /// submissions that have caused too many.
    pub(super) fn record_crash(
        &mut self,
        now: u64,
        fell_at: u64,
        upstream: &Arc<str>,
        victims: &[CrashVictim],
    ) {
        let is_widespread = self.is_widespread(fell_at, upstream);
        self.crashes.push_back((fell_at, upstream.clone()));
        let expired = |(at, _): &(u64, Arc<str>)| at + CRASH_MEMORY_MS < now;
        while self.crashes.front().is_some_and(expired) {
            self.crashes.pop_front();
        }
        let Some(first) = victims.first() else {
            return;
        };
        let is_alone = victims
            .iter()
            .all(|victim| victim.name.submission == first.name.submission);
        let scope = match (is_widespread, is_alone) {
            (true, _) => CrashScope::Widespread,
            (false, true) => CrashScope::Alone,
            (false, false) => CrashScope::Shared,
        };
        let mut report = CrashReport {
            upstream: upstream.clone(),
            scope,
            tasks: Vec::new(),
            given_up: Vec::new(),
        };
        for victim in victims {
            report.tasks.push(victim.name.clone());
            self.record_victim(upstream, victim, scope);
        }
        for victim in victims {
            if let Some(upstreams) = self.give_up(now, &victim.name) {
                report.given_up.push((victim.name.clone(), upstreams));
            }
        }
        self.effects.push(OwnerEffect::ReportCrash(report));
    }

    /// Returns whether several upstreams have stopped to respond at about the same time.
    fn is_widespread(&self, fell_at: u64, upstream: &Arc<str>) -> bool {
        let near = |at: u64| at.abs_diff(fell_at) <= WIDESPREAD_WINDOW_MS;
        let crashed = self.crashes.iter().filter(|(at, _)| near(*at)).count();
        let silent = self.upstreams.iter().filter(|(id, entry)| {
            let had_runs = !entry.runs.is_empty() || !entry.expired_runs.is_empty();
            *id != upstream && had_runs && entry.silent_since.is_some_and(near)
        });
        1 + crashed + silent.count() >= WIDESPREAD_UPSTREAMS
    }

    fn record_victim(&mut self, upstream: &Arc<str>, victim: &CrashVictim, scope: CrashScope) {
        let active = self.active.contains(&victim.name.submission);
        let Some(task) = self.task_mut(&victim.name).filter(|_| active) else {
            return;
        };
        let known = |crash: &CrashRecord| crash.attempt == victim.attempt;
        if task.phase == TaskPhase::Done || task.crashes.iter().any(known) {
            return;
        }
        // After an earlier crash the task may be the cause although other upstreams ended as well. That
        // it ran alone proves nothing then: they may have ended together for another reason.
        let scope = match scope {
            CrashScope::Widespread if !task.crashes.is_empty() => CrashScope::Shared,
            scope => scope,
        };
        task.crashes.push(CrashRecord {
            attempt: victim.attempt,
            upstream: upstream.clone(),
            confirmed: victim.confirmed,
            scope,
        });
        if let Some(entry) = self.submissions.get_mut(&victim.name.submission) {
            entry.has_crashes = true;
        }
        self.record_change(&victim.name.submission, false);
        self.ready.mark_changed(&victim.name.submission);
    }

    /// Fails the submission of a task that has crashed too many upstreams; returns these.
    fn give_up(&mut self, now: u64, name: &TaskName) -> Option<Vec<Arc<str>>> {
        let active = self.active.contains(&name.submission);
        let task = self.task_mut(name).filter(|_| active)?;
        if !task.must_be_given_up() {
            return None;
        }
        let crashed = task.crashes.iter().map(|crash| crash.upstream.clone());
        let upstreams = crashed.collect();
        let id = name.submission.clone();
        self.end_submission(now, &id, crate::model::SubmissionState::Failed);
        Some(upstreams)
    }

    /// Returns whether a run of the submission is on an upstream that does not respond, so that it
    /// may turn out to have crashed.
    pub(super) fn has_silent_run(&self, submission: &SubmissionEntry) -> bool {
        let mut upstreams = submission.tasks().filter_map(|task| task.upstream.as_ref());
        upstreams.any(|id| {
            let entry = self.upstreams.get(id);
            entry.is_some_and(|entry| entry.silent_since.is_some())
        })
    }

    /// Keeps the suspects on a silent upstream apart until it is known whether it has crashed.
    pub(super) fn extend_isolation(&mut self, now: u64, upstream: &Arc<str>) {
        let entry = self.upstreams.get(upstream);
        let Some(entry) = entry.filter(|entry| entry.isolated_until > 0) else {
            return;
        };
        let submissions = entry.runs.keys().map(|name| name.submission.clone());
        let submissions: BTreeSet<_> = submissions.collect();
        for submission in submissions {
            self.isolate(now, upstream, &submission);
        }
    }

    /// Reserves an upstream for the suspects of a submission that are planned there.
    pub(super) fn isolate(&mut self, now: u64, upstream: &Arc<str>, submission: &Arc<str>) {
        let until = now + ISOLATION_MS;
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.isolated_until = until;
        }
        if let Some(entry) = self.submissions.get_mut(submission) {
            entry.isolated_until = until;
        }
        self.isolation_ends_at = until;
    }
}
