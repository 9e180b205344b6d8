//! Questions to the policy service, spread over the hosts.
//!
//! The service takes one call at a time from each calling host, so each host has at most one
//! question. Long questions leave some hosts to short ones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Questions that take longer are long ones, in milliseconds.
pub(super) const LONG_QUESTION_MS: f64 = 100.0;

/// Answer of the policy service.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyDecision {
    /// Upstreams that may run the step, with their tickets.
    pub allowed: Vec<(Arc<str>, Arc<str>)>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// Outcome of a question.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// The service answered.
    Answered(PolicyDecision),
    /// No usable answer; the host that asked is not asked for a while.
    Failed,
}

/// A question about a step.
#[derive(Clone, Debug)]
pub(super) struct Question {
    pub submission: Arc<str>,
    pub occurrence: u32,
    pub step: u32,
    pub upstreams: Vec<Arc<str>>,
    /// How long tickets of the queue are valid, in milliseconds.
    pub valid_ms: u64,
}

/// A question that a host has asked.
#[derive(Clone, Debug)]
struct AskedQuestion {
    question: Question,
    host: Arc<str>,
    long: bool,
}

/// What a host does for the owner.
#[derive(Clone, Copy, Debug, Default)]
struct HostLoad {
    busy: bool,
    /// No question before this time.
    paused_until: u64,
    /// Number of its last question; the host that rested longest is asked first.
    last_ask: u64,
}

/// Spreads questions over hosts.
#[derive(Debug, Default)]
pub(super) struct AdviceDesk {
    last_ask: u64,
    /// Questions without an answer, by number; at most one of each host.
    asked: BTreeMap<u64, AskedQuestion>,
    hosts: BTreeMap<Arc<str>, HostLoad>,
}

impl AdviceDesk {
    /// Sets the hosts that may ask.
    pub fn set_query_hosts(&mut self, hosts: &BTreeSet<Arc<str>>) {
        self.hosts
            .retain(|host, load| load.busy || hosts.contains(host));
        for host in hosts {
            if !self.hosts.contains_key(host) {
                self.hosts.insert(host.clone(), HostLoad::default());
            }
        }
    }

    /// Tells whether a host is free for a question.
    pub fn has_host(&self, now: u64, long: bool) -> bool {
        self.free_host(now, long).is_some()
    }

    fn free_host(&self, now: u64, long: bool) -> Option<&Arc<str>> {
        let long_asked = self.asked.values().filter(|asked| asked.long).count();
        if long && long_asked >= (self.hosts.len() * 2 / 3).max(1) {
            return None;
        }
        self.hosts
            .iter()
            .filter(|(_, load)| !load.busy && load.paused_until <= now)
            .min_by_key(|(_, load)| load.last_ask)
            .map(|(host, _)| host)
    }

    /// Gives a question to a free host; returns its number and the host.
    pub fn ask(&mut self, now: u64, question: Question, long: bool) -> Option<(u64, Arc<str>)> {
        let host = self.free_host(now, long)?.clone();
        self.last_ask += 1;
        let ask = self.last_ask;
        if let Some(load) = self.hosts.get_mut(&host) {
            load.busy = true;
            load.last_ask = ask;
        }
        let asked = AskedQuestion {
            question,
            host: host.clone(),
            long,
        };
        self.asked.insert(ask, asked);
        Some((ask, host))
    }

    /// Ends a question; a host without an answer pauses.
    pub fn finish(&mut self, ask: u64, pause_until: Option<u64>) -> Option<Question> {
        let asked = self.asked.remove(&ask)?;
        if let Some(load) = self.hosts.get_mut(&asked.host) {
            load.busy = false;
            load.paused_until = pause_until.unwrap_or(load.paused_until);
        }
        Some(asked.question)
    }
}
