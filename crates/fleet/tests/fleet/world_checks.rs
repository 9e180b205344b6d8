//! What must never be seen in a world.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_fleet::model::{ResourceSize, TaskName};
use lagoonnotch_fleet::owner::{RenewOrder, StartOrder};

use crate::world::World;

impl World {
    /// Notes the ends that this renewal acknowledged.
    pub(crate) fn note_acks(&mut self, order: &RenewOrder) {
        let acked: Vec<_> = self
            .progress
            .iter()
            .flat_map(|(id, progress)| {
                progress.steps.iter().flat_map(move |step| {
                    step.done.iter().map(move |index| TaskName {
                        submission: id.clone(),
                        occurrence: step.occurrence,
                        step: step.step,
                        index: *index,
                    })
                })
            })
            .collect();
        if order.ack_number > 0 {
            self.noted_done.extend(acked);
        }
    }

    /// Finds starts of tasks whose end `done` was taken note of, or whose submission has ended.
    pub(crate) fn note_start(&mut self, order: &StartOrder) {
        if self.noted_done.contains(&order.task) {
            self.findings
                .push(format!("{} started after it was done", order.task));
        }
        let progress = self.progress.get(&order.task.submission);
        if progress.is_some_and(|progress| progress.state.is_final()) {
            self.findings.push(format!(
                "{} started after its submission had ended",
                order.task
            ));
        }
        let (record, _) = &self.submissions[&order.task.submission];
        for earlier in &record.steps[order.task.step as usize].after {
            let count = record.steps[*earlier as usize].count;
            let waiting = self.upstreams.values().any(|upstream| {
                upstream.runs.keys().any(|name| {
                    name.submission == order.task.submission
                        && name.step == *earlier
                        && name.index < count
                })
            });
            if waiting {
                self.findings.push(format!(
                    "{} started before step {earlier} was done",
                    order.task
                ));
            }
        }
    }

    pub(crate) fn check_doubles(&mut self) {
        let mut seen: BTreeMap<&TaskName, &Arc<str>> = BTreeMap::new();
        for (id, upstream) in &self.upstreams {
            for name in upstream.runs.keys() {
                if let Some(other) = seen.insert(name, id) {
                    self.findings
                        .push(format!("{name} runs on {other} and {id} at {}", self.now));
                }
            }
        }
    }

    /// Returns what runs at all upstreams together.
    pub(crate) fn running(&self) -> ResourceSize {
        self.upstreams
            .values()
            .flat_map(|upstream| upstream.runs.values())
            .fold(ResourceSize::ZERO, |sum, run| sum + run.size)
    }

    /// Finds upstreams that were over their capacity.
    pub fn check_capacity(&mut self) {
        for upstream in self.upstreams.values() {
            if !upstream.peak.fits(&upstream.capacity) {
                self.findings
                    .push(format!("{} ran {:?}", upstream.id, upstream.peak));
            }
        }
    }
}
