//! Submission of documents to the store's document log.

use lagoonnotch_wire::document::SignedDocument;
use lagoonnotch_wire::store::{StoreCall, StoreReply};

use crate::daemon::{ControlHandle, PreviewMessage, PreviewOutcome, log_key, read_log};
use crate::finding::FindingList;
use crate::store::StoreClient;

/// Maximum number of tries to append a document. A try fails if another document takes the revision
/// or the reply is lost.
const MAX_TRIES: u32 = 100;

/// Why the submission of a document did not succeed.
#[derive(Clone, Debug)]
pub(super) enum SubmitError {
    /// The document is invalid or conflicts with another; it is not in force.
    Refused(FindingList),
    /// The store did not respond before the document was sent; it is not in force.
    NotSent,
    /// The store did not respond after the document was sent; it may be in force, now or later.
    Unknown,
}

/// Appends documents to the document log.
pub(super) struct DocumentSubmitter<'a> {
    pub control: &'a ControlHandle,
    pub store: &'a StoreClient,
}

impl DocumentSubmitter<'_> {
    /// Submits a document and returns its revision.
    ///
    /// Submitting the same document again returns the same revision, as long as this host still
    /// keeps the document.
    ///
    /// # Errors
    /// Fails when the document is refused, or when the store does not respond.
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
                Ok(PreviewOutcome::Applied(revision)) => return Ok(revision),
                Ok(PreviewOutcome::Applicable(revision)) => revision,
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

    /// Writes the document to the log at a revision, and returns whether it may have been stored.
    async fn append(&self, signed: &SignedDocument, revision: u64) -> bool {
        let value = serde_json::to_string(signed).expect("signed document serializes to JSON");
        let call = StoreCall::Put {
            key: log_key(revision),
            value,
            expect: 0,
            lease: None,
        };
        !matches!(
            self.store.call(&call).await,
            Ok(StoreReply::Conflict { .. })
        )
    }
}
