//! HTTP API for operators.

use std::sync::{Arc, OnceLock};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lagoonnotch_wire::DOCUMENT_SCHEMA;
use lagoonnotch_wire::caller::CellStatus;
use lagoonnotch_wire::document::{DocumentAccepted, SignedDocument};

use crate::daemon::ControlHandle;
use crate::document::parse_document;
use crate::entry::document_submit::{DocumentSubmitter, SubmitError};
use crate::entry::http_server::FullResponse;
use crate::entry::request_parts::read_body;
use crate::entry::responses::json_response;
use crate::entry::shard_router::ShardRouter;
use crate::event::EventCode;
use crate::finding::SchemaCheck;
use crate::problem::{ProblemCode, ProblemReport};
use crate::store::StoreClient;

/// Maximum size of a signed document, in bytes; it must fit into one value of the store.
const MAX_DOCUMENT_BYTES: usize = 900_000;

/// HTTP API for operators.
pub(crate) struct AdminApi {
    pub control: ControlHandle,
    pub store: StoreClient,
    pub router: ShardRouter,
}

impl AdminApi {
    /// Handles an HTTP request.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> FullResponse {
        let path = request.uri().path().to_owned();
        let result = match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/documents") => self.submit(request).await,
            (&Method::GET, "/v1/status") => Ok(self.status()),
            (&Method::GET, "/v1/config") => {
                Ok(json_response(StatusCode::OK, &*self.router.view().config))
            }
            _ => Err(ProblemReport::not_run(
                ProblemCode::NotFound,
                format!("there is nothing at {path}"),
            )),
        };
        result.unwrap_or_else(|report| report.response())
    }

    fn status(&self) -> FullResponse {
        let view = self.router.view();
        let status = CellStatus {
            host: view.host.to_string(),
            document_revision: view.config.revision,
            members: view.members.clone(),
        };
        json_response(StatusCode::OK, &status)
    }

    async fn submit(&self, request: Request<Incoming>) -> Result<FullResponse, ProblemReport> {
        static CHECK: OnceLock<SchemaCheck> = OnceLock::new();
        let check = CHECK.get_or_init(|| SchemaCheck::new(DOCUMENT_SCHEMA, "SignedDocument"));
        let body = read_body(request.into_body(), MAX_DOCUMENT_BYTES).await?;
        let invalid = |findings| ProblemReport::invalid(ProblemCode::DocumentInvalid, findings);
        let signed: SignedDocument = check.parse(&body).map_err(invalid)?;
        let document = parse_document(&signed.text).map_err(invalid)?.document;
        let submitter = DocumentSubmitter {
            control: &self.control,
            store: &self.store,
        };
        match submitter.submit(&signed).await {
            Ok(revision) => Ok(json_response(
                StatusCode::OK,
                &DocumentAccepted { document, revision },
            )),
            Err(error) => Err(submit_problem(&document, error)),
        }
    }
}

fn submit_problem(document: &str, error: SubmitError) -> ProblemReport {
    EventCode::DocumentRefused.log(&format!("{document}: {error:?}"));
    match error {
        SubmitError::Refused(findings) => {
            let conflict = findings
                .findings
                .iter()
                .any(|finding| finding.code == "section_changed");
            let code = if conflict {
                ProblemCode::DocumentConflict
            } else {
                ProblemCode::DocumentInvalid
            };
            ProblemReport::invalid(code, findings)
        }
        SubmitError::NotSent => {
            let detail = "the store does not answer; the document is not in force";
            ProblemReport::not_run(ProblemCode::StartsSuspended, detail).retry_after(1000)
        }
        SubmitError::Unknown => {
            let detail = "the store did not answer; submit the same document again to learn whether it is in force";
            ProblemReport::unknown(ProblemCode::OutcomeUnknown, detail).retry_after(1000)
        }
    }
}
