//! HTTP API for callers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lagoonnotch_wire::caller::CellStatus;
use tokio::sync::watch;

use crate::admission::{RetryBudget, check_queue, team_for_key};
use crate::daemon::HostView;
use crate::dispatch::UpstreamClient;
use crate::document::WorkloadPolicy;
use crate::entry::http_server::FullResponse;
use crate::entry::quick_request::QuickRequest;
use crate::entry::request_ids::{ID_LIFETIME_S, derive_id, issue_id, issued_age_s};
use crate::entry::request_parts::{
    bool_header, header_text, idempotency_key, query_parameter, read_body,
};
use crate::entry::responses::{bytes_response, json_response, text_response};
use crate::entry::shard_router::ShardRouter;
use crate::event::EventCode;
use crate::metrics::HostMetrics;
use crate::model::{TeamName, WorkId, WorkloadName};
use crate::problem::{ProblemCode, ProblemReport};
use crate::settings::HostSettings;

/// Retry delay suggested by a host without a configuration, in milliseconds.
const NO_DOCUMENT_RETRY_MS: u64 = 500;

/// State shared by all requests of callers.
pub(crate) struct EntryContext {
    pub settings: Arc<HostSettings>,
    pub router: ShardRouter,
    pub upstream_client: UpstreamClient,
    pub retry_budget: RetryBudget,
    pub metrics: Arc<HostMetrics>,
    /// Becomes true when the host stops accepting new work.
    pub draining: watch::Receiver<bool>,
}

/// HTTP API for callers.
pub(crate) struct CallerApi {
    pub context: Arc<EntryContext>,
}

/// Identifier of a request, and whether only its home shard may run it.
struct RequestIdentity {
    work: WorkId,
    home_only: bool,
}

impl CallerApi {
    /// Handles an HTTP request.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> FullResponse {
        let metrics = Arc::clone(&self.context.metrics);
        match self.route(request).await {
            Ok(response) => {
                metrics.count_request("ok");
                response
            }
            Err(report) => {
                metrics.count_request(report.code.as_str());
                if report.code.status().is_server_error() {
                    EventCode::RequestFailed.log(&format!(
                        "{}: {}",
                        report.code.as_str(),
                        report.detail
                    ));
                }
                report.response()
            }
        }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<FullResponse, ProblemReport> {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect();
        match (request.method(), segments.as_slice()) {
            (&Method::GET, ["healthz"]) => Ok(text_response(StatusCode::OK, "ok\n")),
            (&Method::GET, ["readyz"]) => Ok(self.readiness()),
            (&Method::GET, ["metrics"]) => {
                Ok(text_response(StatusCode::OK, self.context.metrics.render()))
            }
            (&Method::GET, ["v1", "status"]) => Ok(self.status()),
            (&Method::POST, ["v1", "requests"]) => self.run_request(request).await,
            (&Method::POST, ["v1", "request-ids"]) => self.issue_ids(request).await,
            (&Method::POST, ["v1", "jobs"]) => self.submit_job(request).await,
            (&Method::GET, ["v1", "jobs", id]) => self.show_job(&request, id).await,
            (&Method::DELETE, ["v1", "jobs", id]) => self.cancel_job(&request, id).await,
            (&Method::GET, ["v1", "jobs", id, "answer"]) => self.job_answer(&request, id).await,
            (
                _,
                ["healthz" | "readyz" | "metrics"]
                | ["v1", "requests" | "request-ids" | "jobs" | "status", ..],
            ) => {
                let detail = format!("{} does not take {}", path, request.method());
                Err(ProblemReport::not_run(
                    ProblemCode::MethodNotAllowed,
                    detail,
                ))
            }
            _ => Err(ProblemReport::not_run(
                ProblemCode::NotFound,
                format!("there is nothing at {path}"),
            )),
        }
    }

    /// Returns the current view of the cell.
    pub(super) fn view(&self) -> Arc<HostView> {
        self.context.router.view()
    }

    /// Returns the team that a request's API key belongs to.
    ///
    /// A host without a configuration can't tell whether a key is valid.
    pub(super) fn team(&self, request: &Request<Incoming>) -> Result<TeamName, ProblemReport> {
        let view = self.view();
        if view.config.revision == 0 {
            let detail = "this host has no approved document yet";
            let report = ProblemReport::not_run(ProblemCode::ConfigStale, detail);
            return Err(report.retry_after(NO_DOCUMENT_RETRY_MS));
        }
        team_for_key(
            &view.config,
            header_text(request.headers(), "authorization"),
        )
    }

    /// Refuses new work while the host shuts down.
    pub(super) fn check_accepting(&self) -> Result<(), ProblemReport> {
        if *self.context.draining.borrow() {
            let report = ProblemReport::not_run(ProblemCode::ShuttingDown, "this host shuts down");
            return Err(report.retry_after(0));
        }
        Ok(())
    }

    /// Checks that a team may submit a workload, and returns the policy of the workload.
    pub(super) fn admit(
        &self,
        team: &TeamName,
        workload: &WorkloadName,
    ) -> Result<Arc<WorkloadPolicy>, ProblemReport> {
        let view = self.view();
        let Some(policy) = view.config.workloads.get(workload) else {
            let detail = format!("there is no workload {workload}");
            return Err(ProblemReport::not_run(ProblemCode::UnknownWorkload, detail));
        };
        check_queue(&view.config, team, policy, view.stale_ms)?;
        Ok(Arc::clone(policy))
    }

    fn readiness(&self) -> FullResponse {
        let ready = self.view().ready && !*self.context.draining.borrow();
        if ready {
            text_response(StatusCode::OK, "ready\n")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    fn status(&self) -> FullResponse {
        let view = self.view();
        let status = CellStatus {
            host: view.host.to_string(),
            document_revision: view.config.revision,
            members: view.members.clone(),
        };
        json_response(StatusCode::OK, &status)
    }

    async fn run_request(&self, request: Request<Incoming>) -> Result<FullResponse, ProblemReport> {
        self.check_accepting()?;
        let started = Instant::now();
        let team = self.team(&request)?;
        let Some(workload) = query_parameter(request.uri(), "workload").map(WorkloadName::from)
        else {
            let detail = "the parameter workload is missing";
            return Err(ProblemReport::not_run(
                ProblemCode::InvalidParameter,
                detail,
            ));
        };
        let policy = self.admit(&team, &workload)?;
        let non_idempotent =
            bool_header(request.headers(), "lagoonnotch-non-idempotent")? || !policy.idempotent;
        let identity = self.identify(&request, &team, non_idempotent)?;
        let time_limit = self.request_time_limit(&request)?;
        let body = read_body(request.into_body(), self.context.settings.limits.body_bytes).await?;
        let quick = QuickRequest {
            context: Arc::clone(&self.context),
            work: identity.work.clone(),
            team,
            workload,
            non_idempotent,
            home_only: identity.home_only,
            body,
            deadline: started + time_limit,
        };
        let answer = quick.run().await?;
        self.context
            .metrics
            .observe_request(started.elapsed().as_secs_f64());
        if answer.failed {
            let report = ProblemReport::done(ProblemCode::TaskFailed, "the task ran and failed");
            return Err(report.with_id(identity.work.as_str()));
        }
        let mut response = bytes_response(answer.body);
        if let Ok(value) = identity.work.as_str().parse() {
            response
                .headers_mut()
                .insert("lagoonnotch-request-id", value);
        }
        Ok(response)
    }

    /// Returns the identity of a request.
    ///
    /// A non-idempotent request needs an identifier whose home shard never changes, so it must have
    /// been issued by this system.
    fn identify(
        &self,
        request: &Request<Incoming>,
        team: &TeamName,
        non_idempotent: bool,
    ) -> Result<RequestIdentity, ProblemReport> {
        let view = self.view();
        let Some(key) = idempotency_key(request.headers())? else {
            let home = view
                .candidates()
                .into_iter()
                .next()
                .or_else(|| view.config.shards().next());
            let no_owner = || {
                ProblemReport::not_run(ProblemCode::NoOwner, "no shard is known yet")
                    .retry_after(500)
            };
            let work = issue_id(&home.ok_or_else(no_owner)?);
            return Ok(RequestIdentity {
                work,
                home_only: non_idempotent,
            });
        };
        let issued = WorkId::from(key);
        match issued_age_s(&view.config, &issued) {
            Some(age_s) if age_s > ID_LIFETIME_S => {
                let detail =
                    format!("the identifier was issued {age_s} s ago, of at most {ID_LIFETIME_S}");
                Err(ProblemReport::not_run(
                    ProblemCode::RequestIdExpired,
                    detail,
                ))
            }
            Some(_) => Ok(RequestIdentity {
                work: issued,
                home_only: true,
            }),
            None if non_idempotent => {
                let detail =
                    "a non-idempotent request needs an identifier from POST /v1/request-ids";
                Err(ProblemReport::not_run(
                    ProblemCode::RequestIdNotIssued,
                    detail,
                ))
            }
            None => {
                let work = derive_id(&view.config, team, key);
                let no_shard =
                    || ProblemReport::not_run(ProblemCode::NoOwner, "no shard is known yet");
                Ok(RequestIdentity {
                    work: work.ok_or_else(no_shard)?,
                    home_only: true,
                })
            }
        }
    }

    /// Returns the time limit of a request: its deadline header, capped by the settings.
    fn request_time_limit(&self, request: &Request<Incoming>) -> Result<Duration, ProblemReport> {
        let max_time = self.context.settings.limits.request_time;
        let Some(text) = header_text(request.headers(), "lagoonnotch-deadline-ms") else {
            return Ok(max_time);
        };
        let requested = text.parse().map(Duration::from_millis).map_err(|_| {
            let detail = format!("lagoonnotch-deadline-ms: found {text}, expected milliseconds");
            ProblemReport::not_run(ProblemCode::InvalidParameter, detail)
        })?;
        Ok(max_time.min(requested))
    }
}
