//! Acceptance of documents into the store's log.

use lagoonnotch_wire::document::SignedDocument;
use lagoonnotch_wire::store::{StoreCall, StoreReply};

use crate::daemon::{ControlHandle, PreviewMessage, PreviewOutcome, log_key, read_log};
use crate::finding::FindingList;
use crate::store::StoreClient;

/// Most tries to get a document into the log while others come first or answers are lost.
const MAX_TRIES: u32 = 100;

/// Why a document is not known to be in force.
#[derive(Clone, Debug)]
pub(super) enum SubmitError {
    /// The document has faults or conflicts; it is not in force.
    Refused(FindingList),
    /// The store did not answer before the document was sent to it; it is not in force.
    NotSent,
    /// The store did not answer; the document may come into force.
    Unknown,
}

/// Submits documents.
pub(super) struct DocumentSubmitter<'a> {
    pub control: &'a ControlHandle,
    pub store: &'a StoreClient,
}

impl DocumentSubmitter<'_> {
    /// Puts a document into force and returns its revision.
    ///
    /// Submitting a document again returns the same revision.
    ///
    /// # Errors
    /// Fails when the document is refused, or when the store does not answer.
    pub async fn submit(&self, signed: &SignedDocument) -> Result<u64, SubmitError> {
        let mut sent = false;
        for _ in 0..MAX_TRIES {
            if read_log(self.control, self.store).await.is_err() {
                return Err(if sent {
                    SubmitError::Unknown
                } else {
                    SubmitError::NotSent
                });
            }
            let revision = match self.control.send(PreviewMessage(signed.clone())).await {
                Ok(PreviewOutcome::InForce(revision)) => return Ok(revision),
                Ok(PreviewOutcome::Next(revision)) => revision,
                Ok(PreviewOutcome::Refused(findings)) => {
                    return Err(SubmitError::Refused(findings));
                }
                Err(_) => return Err(SubmitError::NotSent),
            };
            sent |= self.append(signed, revision).await;
        }
        Err(if sent {
            SubmitError::Unknown
        } else {
            SubmitError::NotSent
        })
    }

    /// Writes the document at its place in the log; returns whether it may stand there.
    async fn append(&self, signed: &SignedDocument, revision: u64) -> bool {
        let value = serde_json::to_string(signed).expect("document has a JSON form");
        let request = StoreCall::Put {
            key: log_key(revision),
            value,
            expect: 0,
            lease: None,
        };
        !matches!(
            self.store.call(&request).await,
            Ok(StoreReply::Conflict { .. })
        )
    }
}
