//! The configuration built from all accepted documents.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_wire::document::{ApprovedDocument, SectionChange, SectionValue};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::document::{DomainPolicy, KeyGrant, QueuePolicy, TeamPolicy, WorkClass, WorkloadPolicy};
use crate::finding::{Finding, FindingList};
use crate::model::{DomainName, ResourceSize, ShardName, TeamName, WorkloadName};

/// The configuration at a revision of the document log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ApprovedConfig {
    /// Number of documents applied so far; on a host it never decreases.
    pub revision: u64,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Arc<TeamPolicy>>,
    /// API keys by section name.
    pub keys: BTreeMap<Arc<str>, Arc<KeyGrant>>,
    /// Queues by name.
    pub queues: BTreeMap<Arc<str>, Arc<QueuePolicy>>,
    /// Failure domains by name.
    pub domains: BTreeMap<DomainName, Arc<DomainPolicy>>,
    /// Workload policies by name.
    pub workloads: BTreeMap<WorkloadName, Arc<WorkloadPolicy>>,
    /// Revision at which each section last changed.
    pub section_revisions: BTreeMap<Arc<str>, u64>,
}

impl ApprovedConfig {
    /// Returns the configuration after applying another document.
    ///
    /// # Errors
    /// Returns a finding for each section that changed since the document was written, and for each
    /// reference to a missing section.
    pub fn apply(&self, document: &ApprovedDocument) -> Result<Self, FindingList> {
        let mut list = FindingList::default();
        self.check_previous(document, &mut list);
        self.check_shards(document, &mut list);
        let mut next = self.clone();
        next.revision += 1;
        for change in &document.changes {
            next.apply_change(change);
        }
        next.check_references(document, &mut list);
        list.into_result(next)
    }

    /// Returns the names of all shards.
    pub fn shards(&self) -> impl Iterator<Item = ShardName> + '_ {
        self.domains
            .keys()
            .flat_map(|domain| self.domain_shards(domain))
    }

    /// Returns the names of the shards of one failure domain.
    #[must_use]
    pub fn domain_shards(&self, domain: &DomainName) -> Vec<ShardName> {
        let count = self.domains.get(domain).map_or(0, |policy| policy.shards);
        (0..count)
            .map(|index| ShardName::from(format!("{domain}.{index}")))
            .collect()
    }

    /// Returns the shard that an upstream of a failure domain belongs to.
    ///
    /// Rendezvous hashing distributes the upstreams evenly over the shards.
    #[must_use]
    pub fn upstream_shard(&self, domain: &DomainName, upstream: &str) -> Option<ShardName> {
        self.domain_shards(domain)
            .into_iter()
            .max_by_key(|shard| rendezvous_weight(shard.as_str(), upstream))
    }

    /// Returns whether tasks may start in a failure domain.
    #[must_use]
    pub fn in_service(&self, domain: &DomainName) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|policy| policy.in_service)
    }

    fn check_previous(&self, document: &ApprovedDocument, list: &mut FindingList) {
        for (index, change) in document.changes.iter().enumerate() {
            let current = self
                .section_revisions
                .get(change.section.as_str())
                .copied()
                .unwrap_or(0);
            if current != change.previous {
                let place = format!("/changes/{index}/previous");
                let found = format!("{} for {}", change.previous, change.section);
                let expected = format!("{current}, the section's present revision");
                list.push(Finding::new("section_changed", place, found, expected));
            }
        }
    }

    /// Adds a finding for each failure domain whose shard count would change.
    fn check_shards(&self, document: &ApprovedDocument, list: &mut FindingList) {
        for (index, change) in document.changes.iter().enumerate() {
            let name = change
                .section
                .strip_prefix("failure-domain/")
                .unwrap_or_default();
            let Some(present) = self.domains.get(name) else {
                continue;
            };
            let shards = match &change.value {
                Some(SectionValue::FailureDomain { shards, .. }) => *shards,
                _ => 0,
            };
            if shards != present.shards {
                let place = format!("/changes/{index}/value/shards");
                let expected = format!("{}, which is fixed", present.shards);
                list.push(Finding::new(
                    "shards_fixed",
                    place,
                    shards.to_string(),
                    expected,
                ));
            }
        }
    }

    fn apply_change(&mut self, change: &SectionChange) {
        let section: Arc<str> = Arc::from(change.section.as_str());
        let name = section
            .split_once('/')
            .map_or("", |(_, name)| name)
            .to_owned();
        self.section_revisions
            .insert(Arc::clone(&section), self.revision);
        match &change.value {
            Some(value) => self.insert_section(&name, value),
            None => self.remove_section(&section, &name),
        }
    }

    fn insert_section(&mut self, name: &str, value: &SectionValue) {
        match value.clone() {
            SectionValue::Team { limit, share } => {
                let policy = TeamPolicy {
                    share,
                    limit: ResourceSize::from(limit),
                };
                self.teams.insert(TeamName::from(name), Arc::new(policy));
            }
            SectionValue::Key { sha256, team } => {
                let grant = KeyGrant {
                    team: TeamName::from(team),
                    sha256: Arc::from(sha256),
                };
                self.keys.insert(Arc::from(name), Arc::new(grant));
            }
            SectionValue::Queue {
                max_waiting,
                open,
                teams,
                when_cut_off_s,
            } => {
                let teams = teams.into_iter().map(TeamName::from).collect();
                let policy = QueuePolicy {
                    open,
                    teams,
                    max_waiting,
                    when_cut_off_s,
                };
                self.queues.insert(Arc::from(name), Arc::new(policy));
            }
            SectionValue::FailureDomain {
                in_service,
                shards,
                when_cut_off_s,
            } => {
                let policy = DomainPolicy {
                    in_service,
                    shards,
                    when_cut_off_s,
                };
                self.domains
                    .insert(DomainName::from(name), Arc::new(policy));
            }
            SectionValue::Workload {
                class,
                deadline_ms,
                idempotent,
                max_attempts,
                preemptible,
                queue,
                size,
            } => {
                let policy = WorkloadPolicy {
                    class: WorkClass::from(class),
                    queue: Arc::from(queue),
                    deadline_ms,
                    size: ResourceSize::from(size),
                    idempotent,
                    preemptible,
                    max_attempts,
                };
                self.workloads
                    .insert(WorkloadName::from(name), Arc::new(policy));
            }
        }
    }

    fn remove_section(&mut self, section: &str, name: &str) {
        match section.split('/').next().unwrap_or_default() {
            "team" => drop(self.teams.remove(name)),
            "key" => drop(self.keys.remove(name)),
            "queue" => drop(self.queues.remove(name)),
            "failure-domain" => drop(self.domains.remove(name)),
            _ => drop(self.workloads.remove(name)),
        }
    }

    /// Adds a finding for each reference to a missing section, and for each key granted twice.
    fn check_references(&self, document: &ApprovedDocument, list: &mut FindingList) {
        for (place, team) in self.team_references() {
            if !self.teams.contains_key(&team) {
                let place = section_place(document, &place);
                list.push(Finding::new(
                    "unknown_team",
                    place,
                    team.to_string(),
                    "a team that exists",
                ));
            }
        }
        for (name, policy) in &self.workloads {
            if !self.queues.contains_key(&policy.queue) {
                let place = section_place(document, &format!("workload/{name}"));
                list.push(Finding::new(
                    "unknown_queue",
                    place,
                    &*policy.queue,
                    "a queue that exists",
                ));
            }
        }
        let mut digests = BTreeMap::new();
        for (name, grant) in &self.keys {
            if let Some(other) = digests.insert(&grant.sha256, name) {
                let place = section_place(document, &format!("key/{name}"));
                let found = format!("the key of key/{other}");
                list.push(Finding::new(
                    "key_twice",
                    place,
                    found,
                    "each key granted once",
                ));
            }
        }
    }

    /// Returns each reference to a team, with the name of the referring section.
    fn team_references(&self) -> Vec<(String, TeamName)> {
        let keys = self
            .keys
            .iter()
            .map(|(name, grant)| (format!("key/{name}"), grant.team.clone()));
        let queues = self.queues.iter().flat_map(|(name, policy)| {
            policy
                .teams
                .iter()
                .map(move |team| (format!("queue/{name}"), team.clone()))
        });
        keys.chain(queues).collect()
    }
}

/// Returns the rendezvous hashing weight of a candidate for a key; the candidate with the largest
/// weight owns the key.
#[must_use]
pub fn rendezvous_weight(candidate: &str, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64(candidate.as_bytes()))
}

/// Returns the JSON pointer to a section's change, or the section's name if the document does not
/// change it.
fn section_place(document: &ApprovedDocument, section: &str) -> String {
    let index = document
        .changes
        .iter()
        .position(|change| change.section == section);
    index.map_or_else(|| section.to_owned(), |index| format!("/changes/{index}"))
}
