//! The log of accepted documents as one host knows it.

use std::collections::VecDeque;
use std::sync::Arc;

use ed25519_dalek::VerifyingKey;
use lagoonnotch_wire::document::SignedDocument;
use serde::{Deserialize, Serialize};

use crate::document::{ApprovedConfig, parse_document, verify_document};
use crate::finding::{Finding, FindingList};

/// Number of past documents that are kept for peers.
const KEPT_DOCUMENTS: usize = 512;

/// A document at its place in the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoggedDocument {
    /// Place in the log, from 1.
    pub revision: u64,
    /// The signed document.
    pub signed: SignedDocument,
}

/// What a host that lags behind gets from a peer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LogUpdate {
    /// A whole configuration, when the missing documents are no longer kept.
    pub config: Option<ApprovedConfig>,
    /// The documents that follow, in order.
    pub documents: Vec<LoggedDocument>,
}

/// The configuration in force and the documents that led to it.
#[derive(Clone, Debug)]
pub struct DocumentLog {
    approvers: Vec<VerifyingKey>,
    /// Its revision never falls.
    config: Arc<ApprovedConfig>,
    /// The newest documents without a gap; the last has the revision of the configuration.
    recent: VecDeque<LoggedDocument>,
}

impl DocumentLog {
    /// Makes an empty ledger that accepts documents signed by the given approvers.
    #[must_use]
    pub fn new(approvers: Vec<VerifyingKey>) -> Self {
        Self {
            approvers,
            config: Arc::default(),
            recent: VecDeque::new(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> &Arc<ApprovedConfig> {
        &self.config
    }

    /// Returns the configuration that would be in force after the document.
    ///
    /// # Errors
    /// Returns every finding: of the signature, the text and conflicts with other documents.
    pub fn preview(&self, signed: &SignedDocument) -> Result<ApprovedConfig, FindingList> {
        verify_document(signed, &self.approvers).map_err(single_finding)?;
        let document = parse_document(&signed.text)?;
        self.config.apply(&document)
    }

    /// Applies the next document of the log; returns whether the configuration changed.
    ///
    /// A document that is older than the configuration or leaves a gap is passed over. A document
    /// of the log that does not apply keeps its place and changes nothing, on every host alike.
    pub fn apply(&mut self, logged: &LoggedDocument) -> bool {
        if logged.revision != self.config.revision + 1 {
            return false;
        }
        let next = self.preview(&logged.signed).unwrap_or_else(|_| {
            let mut same = ApprovedConfig::clone(&self.config);
            same.revision = logged.revision;
            same
        });
        self.config = Arc::new(next);
        self.recent.push_back(logged.clone());
        if self.recent.len() > KEPT_DOCUMENTS {
            self.recent.pop_front();
        }
        true
    }

    /// Applies what a peer sent; returns whether the configuration changed.
    pub fn merge(&mut self, snapshot: &LogUpdate) -> bool {
        let mut changed = false;
        if let Some(config) = &snapshot.config
            && config.revision > self.config.revision
        {
            self.config = Arc::new(config.clone());
            self.recent.clear();
            changed = true;
        }
        for logged in &snapshot.documents {
            changed |= self.apply(logged);
        }
        changed
    }

    /// Returns what a host at the given revision lacks.
    #[must_use]
    pub fn since(&self, revision: u64) -> LogUpdate {
        if revision >= self.config.revision {
            return LogUpdate {
                config: None,
                documents: Vec::new(),
            };
        }
        let first = self
            .recent
            .front()
            .map_or(u64::MAX, |logged| logged.revision);
        if first > revision + 1 {
            return LogUpdate {
                config: Some(ApprovedConfig::clone(&self.config)),
                documents: Vec::new(),
            };
        }
        let documents = self
            .recent
            .iter()
            .filter(|logged| logged.revision > revision)
            .cloned()
            .collect();
        LogUpdate {
            config: None,
            documents,
        }
    }

    /// Returns the log's entry of a signed document, if it is still kept.
    #[must_use]
    pub fn find(&self, signed: &SignedDocument) -> Option<&LoggedDocument> {
        self.recent.iter().find(|logged| logged.signed == *signed)
    }
}

fn single_finding(finding: Finding) -> FindingList {
    FindingList {
        findings: vec![finding],
    }
}
