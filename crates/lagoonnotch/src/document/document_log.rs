//! A host's copy of the document log.

use std::collections::VecDeque;
use std::sync::Arc;

use ed25519_dalek::VerifyingKey;
use lagoonnotch_wire::document::SignedDocument;
use serde::{Deserialize, Serialize};

use crate::document::{ApprovedConfig, parse_document, verify_document};
use crate::finding::{Finding, FindingList};

/// Number of recent documents kept, for peers that lag behind and to recognize repeated
/// submissions.
const MAX_KEPT_DOCUMENTS: usize = 512;

/// A document at its position in the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoggedDocument {
    /// Position in the log, from 1.
    pub revision: u64,
    /// The signed document.
    pub signed: SignedDocument,
}

/// The part of the log that a lagging host receives from a peer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LogUpdate {
    /// A full configuration, if the peer no longer keeps the missing documents.
    pub config: Option<ApprovedConfig>,
    /// The following documents, in log order.
    pub documents: Vec<LoggedDocument>,
}

/// The configuration in force and the most recent documents that it was built from.
#[derive(Clone, Debug)]
pub struct DocumentLog {
    approvers: Vec<VerifyingKey>,
    /// Its revision never decreases.
    config: Arc<ApprovedConfig>,
    /// Consecutive recent documents; the last has the revision of the configuration.
    recent: VecDeque<LoggedDocument>,
}

impl DocumentLog {
    /// Creates an empty log that accepts documents signed by the given approvers.
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

    /// Returns the configuration that would result from applying a document.
    ///
    /// # Errors
    /// Returns all findings about the signature, the text and conflicts with other documents.
    pub fn preview(&self, signed: &SignedDocument) -> Result<ApprovedConfig, FindingList> {
        verify_document(signed, &self.approvers).map_err(single_finding)?;
        let document = parse_document(&signed.text)?;
        self.config.apply(&document)
    }

    /// Applies the next document of the log, and returns whether the configuration changed.
    ///
    /// Skips a document that is not the next revision. An invalid or conflicting document in the
    /// log takes up its revision without changing anything else, so that all hosts agree.
    pub fn apply(&mut self, logged: &LoggedDocument) -> bool {
        if logged.revision != self.config.revision + 1 {
            return false;
        }
        let next = self.preview(&logged.signed).unwrap_or_else(|_| {
            let mut unchanged = ApprovedConfig::clone(&self.config);
            unchanged.revision = logged.revision;
            unchanged
        });
        self.config = Arc::new(next);
        self.recent.push_back(logged.clone());
        if self.recent.len() > MAX_KEPT_DOCUMENTS {
            self.recent.pop_front();
        }
        true
    }

    /// Applies an update from a peer, and returns whether the configuration changed.
    pub fn merge(&mut self, update: &LogUpdate) -> bool {
        let mut changed = false;
        if let Some(config) = &update.config
            && config.revision > self.config.revision
        {
            self.config = Arc::new(config.clone());
            self.recent.clear();
            changed = true;
        }
        for logged in &update.documents {
            changed |= self.apply(logged);
        }
        changed
    }

    /// Returns the update that brings a host from the given revision to the current one.
    #[must_use]
    pub fn update_since(&self, revision: u64) -> LogUpdate {
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

    /// Returns the log entry of a signed document, if it is still kept.
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
