//! What teams may still start.
//!
//! A successor on the other side of a cut counts what the journal says of upstreams that it can't
//! reach. So an owner lets no team have much more running than the journal says, and nothing more
//! while the store does not answer.

use std::sync::Arc;

use crate::model::{ProgressRecord, ResourceSize, SubmissionRecord};
use crate::owner::OwnerMachine;

/// More than any team can use.
const UNLIMITED: u64 = u64::MAX / 4;

/// Age of an upstream's last answer up to which it counts as reachable, in milliseconds.
const REACHABLE_MS: u64 = 1500;

/// Part of a team's upper limit that may run without being journaled; the platform allows a tenth
/// above the limit.
const UNJOURNALED_PART: u64 = 12;

/// A run that the journal names.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct JournaledRun {
    pub upstream: Arc<str>,
    pub demand: ResourceSize,
}

/// Lists the runs that a record of progress names.
pub(super) fn journaled_runs(
    record: &SubmissionRecord,
    progress: &ProgressRecord,
) -> Vec<JournaledRun> {
    let demand_of = |step: u32| record.steps.get(step as usize).map(|step| step.demand);
    progress
        .runs
        .iter()
        .filter_map(|run| {
            Some(JournaledRun {
                upstream: run.upstream.clone(),
                demand: demand_of(run.step)?,
            })
        })
        .collect()
}

/// What a team may still start.
#[derive(Clone, Copy, Debug)]
pub(super) struct TeamRoom {
    /// What is left of its upper limit.
    room: ResourceSize,
    /// What the journal names beyond what runs.
    headroom: ResourceSize,
    /// What runs beyond what the journal names.
    unjournaled: ResourceSize,
    /// What may run beyond what the journal names; none while the store does not answer.
    slack: Option<ResourceSize>,
    /// Whether the team's runs were noted for the journal in this pass.
    pub is_noted: bool,
}

impl TeamRoom {
    const OPEN: Self = Self {
        room: ResourceSize::new(UNLIMITED, UNLIMITED, UNLIMITED),
        headroom: ResourceSize::new(UNLIMITED, UNLIMITED, UNLIMITED),
        unjournaled: ResourceSize::ZERO,
        slack: None,
        is_noted: false,
    };

    /// Returns the room for tasks; what starts together may always go ahead of the journal.
    pub fn for_unit(&self, unit: &ResourceSize) -> ResourceSize {
        let beyond = match self.slack {
            Some(slack) => slack.max(unit).saturating_sub(&self.unjournaled),
            None => ResourceSize::ZERO,
        };
        self.room.min(&(self.headroom + beyond))
    }

    /// Tells whether the journal, and not the upper limit, keeps a unit from starting.
    pub fn waits_for_journal(&self, unit: &ResourceSize) -> bool {
        self.slack.is_some() && unit.fits(&self.room) && !unit.fits(&self.for_unit(unit))
    }

    /// Takes a task into account that starts.
    pub fn take(&mut self, demand: &ResourceSize) {
        self.room = self.room.saturating_sub(demand);
        self.unjournaled += demand.saturating_sub(&self.headroom);
        self.headroom = self.headroom.saturating_sub(demand);
    }
}

impl OwnerMachine {
    /// Tells what a team may still start.
    pub(super) fn team_room(&self, now: u64, team: Option<&Arc<str>>) -> TeamRoom {
        let Some((team, policy)) = team.and_then(|team| Some((team, self.config.teams.get(team)?)))
        else {
            return TeamRoom::OPEN;
        };
        let limit = policy.upper_limit;
        if limit == ResourceSize::ZERO {
            return TeamRoom::OPEN;
        }
        let open = |limit: u64, amount: u64| if limit == 0 { UNLIMITED } else { amount };
        let bounded = |amount: ResourceSize| {
            ResourceSize::new(
                open(limit.cpu_milli, amount.cpu_milli),
                open(limit.memory_mib, amount.memory_mib),
                open(limit.accelerators, amount.accelerators),
            )
        };
        let running = self.usage_of(team);
        let (journaled, counted) = if self.unconfirmed {
            self.reachable_usage(now, team)
        } else {
            (
                self.journaled.get(team).copied().unwrap_or_default(),
                running,
            )
        };
        TeamRoom {
            room: bounded(limit.saturating_sub(&running)),
            headroom: bounded(journaled.saturating_sub(&counted)),
            unjournaled: counted.saturating_sub(&journaled),
            slack: (!self.unconfirmed).then(|| limit.divided(UNJOURNALED_PART)),
            is_noted: false,
        }
    }

    /// Sums what the journal names and what runs of a team at reachable upstreams.
    fn reachable_usage(&self, now: u64, team: &Arc<str>) -> (ResourceSize, ResourceSize) {
        let reachable = |id: &Arc<str>| {
            let entry = self.upstreams.get(id);
            entry.is_some_and(|entry| now.saturating_sub(entry.answered_at) <= REACHABLE_MS)
        };
        let of_team = |owner: Option<&Arc<str>>| owner == Some(team);
        let journaled = self
            .submissions
            .values()
            .filter(|entry| of_team(entry.record.team.as_ref()))
            .flat_map(|entry| &entry.journaled_runs)
            .filter(|run| reachable(&run.upstream))
            .fold(ResourceSize::ZERO, |sum, run| sum + run.demand);
        let running = self
            .upstreams
            .iter()
            .filter(|(id, _)| reachable(id))
            .flat_map(|(_, entry)| entry.runs.values())
            .filter(|run| of_team(run.team.as_ref()))
            .fold(ResourceSize::ZERO, |sum, run| sum + run.demand);
        (journaled, running)
    }

    /// Notes the runs that the journal names of a submission from now on.
    pub(super) fn set_journaled(&mut self, id: &Arc<str>, runs: Vec<JournaledRun>) {
        let Some(entry) = self.submissions.get_mut(id) else {
            return;
        };
        let before = std::mem::replace(&mut entry.journaled_runs, runs);
        let Some(team) = entry.record.team.clone() else {
            return;
        };
        let sum = |runs: &[JournaledRun]| {
            runs.iter()
                .fold(ResourceSize::ZERO, |sum, run| sum + run.demand)
        };
        let after = sum(&entry.journaled_runs);
        let usage = self.journaled.entry(team).or_default();
        *usage = usage.saturating_sub(&sum(&before)) + after;
    }

    /// Has the runs of a team journaled at once that the journal does not name.
    pub(super) fn journal_team(&mut self, team: &Arc<str>) {
        let behind: Vec<_> = self
            .active
            .iter()
            .filter(|id| {
                let entry = self.submissions.get(*id);
                entry.is_some_and(|entry| {
                    entry.record.team.as_ref() == Some(team)
                        && entry.booked_runs as usize != entry.journaled_runs.len()
                })
            })
            .cloned()
            .collect();
        for id in behind {
            self.note_change(&id, true);
        }
    }

    /// Notes that a record of progress may or may not be stored: what both agree on is journaled.
    pub(super) fn doubt_journaled(&mut self, id: &Arc<str>, progress: &ProgressRecord) {
        let Some(entry) = self.submissions.get(id) else {
            return;
        };
        let written = journaled_runs(&entry.record, progress);
        let mut runs = entry.journaled_runs.clone();
        runs.retain(|run| written.contains(run));
        self.set_journaled(id, runs);
    }
}
