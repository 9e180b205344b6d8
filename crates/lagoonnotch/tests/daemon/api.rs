//! HTTP API for callers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lagoonnotch_wire::caller::{JobAccepted, JobState, JobStatus, RequestIds};

use crate::cell::{KEY, OTHER_KEY, TestCell, call, exchange};

async fn wait_for_state(cell: &TestCell, id: &str, state: JobState) {
    for _ in 0..200 {
        let status: JobStatus = cell
            .call(0, Method::GET, &format!("/v1/jobs/{id}"), "")
            .await
            .parse();
        if status.state == state {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("job {id} did not reach state {state}");
}

/// Guards against changed statuses or codes, on which callers depend.
#[tokio::test(flavor = "multi_thread")]
async fn requests_get_an_answer_or_a_stable_error_code() {
    let cell = TestCell::start(&["d1"]).await;
    let address = cell.hosts[0].settings.caller_address;
    let with_key = |key: &str, path: &str| {
        Request::post(path).header("authorization", format!("Bearer {key}"))
    };

    let response = cell
        .call(0, Method::POST, "/v1/requests?workload=check", "hello")
        .await;
    let no_key = call(address, Request::post("/v1/requests?workload=check"), "").await;
    let wrong_key = call(
        address,
        with_key("wrong", "/v1/requests?workload=check"),
        "",
    )
    .await;
    let no_workload = cell.call(0, Method::POST, "/v1/requests", "").await;
    let unknown = cell
        .call(0, Method::POST, "/v1/requests?workload=none", "")
        .await;
    let large = cell
        .call(
            0,
            Method::POST,
            "/v1/requests?workload=check",
            &"x".repeat(20_000),
        )
        .await;
    let method = cell.call(0, Method::GET, "/v1/requests", "").await;
    let path = cell.call(0, Method::GET, "/v2", "").await;
    let failed = cell
        .call(0, Method::POST, "/v1/requests?workload=check", "fail")
        .await;
    let ready = call(address, Request::get("/readyz"), "").await;
    let metrics = call(address, Request::get("/metrics"), "").await;

    assert_eq!(
        (response.status, &response.body[..]),
        (StatusCode::OK, &b"answer to hello"[..])
    );
    assert_eq!(
        (no_key.status, no_key.code().as_str()),
        (StatusCode::UNAUTHORIZED, "missing_key")
    );
    assert_eq!(
        (wrong_key.status, wrong_key.code().as_str()),
        (StatusCode::UNAUTHORIZED, "unknown_key")
    );
    assert_eq!(
        (no_workload.status, no_workload.code().as_str()),
        (StatusCode::BAD_REQUEST, "invalid_parameter")
    );
    assert_eq!(
        (unknown.status, unknown.code().as_str()),
        (StatusCode::NOT_FOUND, "unknown_workload")
    );
    assert_eq!(
        (large.status, large.code().as_str()),
        (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large")
    );
    assert_eq!(method.code(), "method_not_allowed");
    assert_eq!(path.code(), "not_found");
    assert_eq!(failed.code(), "task_failed");
    assert_eq!(ready.status, StatusCode::OK);
    assert!(String::from_utf8_lossy(&metrics.body).contains("lagoonnotch_store_calls_total"));
}

#[tokio::test(flavor = "multi_thread")]
async fn http2_is_served_on_the_same_port() {
    let cell = TestCell::start(&["d1"]).await;
    let mut builder = Client::builder(TokioExecutor::new());
    let client: Client<HttpConnector, Full<Bytes>> = builder.http2_only(true).build_http();
    let request = Request::post("/v1/requests?workload=check")
        .header("authorization", format!("Bearer {KEY}"));

    let response = exchange(
        &client,
        cell.hosts[0].settings.caller_address,
        request,
        "hello",
    )
    .await;

    assert_eq!(
        response.map(|response| response.status),
        Some(StatusCode::OK)
    );
}

/// Guards against a second run of a non-idempotent request when the caller repeats it.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_needs_an_issued_identifier_and_runs_once() {
    let cell = TestCell::start(&["d1"]).await;
    let address = cell.hosts[0].settings.caller_address;
    let request = |id: &str| {
        let builder = Request::post("/v1/requests?workload=posting");
        builder
            .header("authorization", format!("Bearer {KEY}"))
            .header("idempotency-key", id)
    };
    let ids: RequestIds = cell
        .call(0, Method::POST, "/v1/request-ids", "{\"count\":2}")
        .await
        .parse();

    let own_key = call(address, request("my-own-key"), "").await;
    let first = call(address, request(&ids.ids[0]), "once").await;
    let again = call(address, request(&ids.ids[0]), "once").await;

    assert_eq!(own_key.code(), "request_id_not_issued");
    assert_eq!(
        (first.status, again.status),
        (StatusCode::OK, StatusCode::OK)
    );
    assert_eq!(first.body, again.body);
    let runs = cell
        .platform
        .records()
        .into_iter()
        .filter(|run| run.task.starts_with(&ids.ids[0]))
        .count();
    assert_eq!(runs, 1);
}

/// Guards against jobs that another team can read, and against answers of tasks that do not exist.
/// Also tests that all schema findings of a submission are reported, and that a job too large for
/// every upstream is refused.
#[tokio::test(flavor = "multi_thread")]
async fn job_is_shown_answered_and_cancelled_by_its_own_team_only() {
    let cell = TestCell::start(&["d1"]).await;
    let body = "{\"workload\":\"batch\",\"tasks\":2,\"payload\":\"run-ms=20\"}";
    let accepted: JobAccepted = cell.call(0, Method::POST, "/v1/jobs", body).await.parse();
    let watch = "{\"workload\":\"watch\",\"payload\":\"run-ms=forever\"}";
    let service: JobAccepted = cell.call(0, Method::POST, "/v1/jobs", watch).await.parse();
    wait_for_state(&cell, &accepted.id, JobState::Finished).await;
    wait_for_state(&cell, &service.id, JobState::Running).await;
    let address = cell.hosts[0].settings.caller_address;

    let path = format!("/v1/jobs/{}", accepted.id);
    let response = cell
        .call(0, Method::GET, &format!("{path}/answer?task=1"), "")
        .await;
    let missing_task = cell
        .call(0, Method::GET, &format!("{path}/answer?task=2"), "")
        .await;
    let other_team =
        Request::get(path.as_str()).header("authorization", format!("Bearer {OTHER_KEY}"));
    let other_team = call(address, other_team, "").await;
    let wrong_team = cell
        .call(
            0,
            Method::POST,
            "/v1/jobs",
            "{\"workload\":\"batch\",\"team\":\"two\"}",
        )
        .await;
    let wrong_body = cell
        .call(
            0,
            Method::POST,
            "/v1/jobs",
            "{\"workload\":7,\"color\":\"red\"}",
        )
        .await;
    let impossible = "{\"workload\":\"batch\",\"size\":{\"cpu_milli\":99000,\"memory_mib\":1}}";
    let impossible = cell.call(0, Method::POST, "/v1/jobs", impossible).await;
    cell.call(0, Method::DELETE, &format!("/v1/jobs/{}", service.id), "")
        .await;
    wait_for_state(&cell, &service.id, JobState::Cancelled).await;

    assert_eq!(&response.body[..], b"answer to run-ms=20");
    assert_eq!(missing_task.code(), "unknown_work");
    assert_eq!(other_team.code(), "unknown_work");
    assert_eq!(
        (wrong_team.status, wrong_team.code().as_str()),
        (StatusCode::FORBIDDEN, "other_team")
    );
    let problem: lagoonnotch_wire::caller::ProblemBody = wrong_body.parse();
    let places: Vec<&str> = problem
        .findings
        .iter()
        .map(|finding| finding.place.as_str())
        .collect();
    assert_eq!(
        (problem.code.as_str(), places.len()),
        ("invalid_body", 2),
        "{places:?}"
    );
    assert_eq!(impossible.code(), "impossible");
    assert!(cell.violations().is_clean());
}

/// Guards against a second job when a caller repeats a submission whose reply was lost.
#[tokio::test(flavor = "multi_thread")]
async fn same_idempotency_key_gives_the_same_job() {
    let cell = TestCell::start(&["d1"]).await;
    let address = cell.hosts[0].settings.caller_address;
    let submit = || {
        let builder = Request::post("/v1/jobs").header("authorization", format!("Bearer {KEY}"));
        call(
            address,
            builder.header("idempotency-key", "my-job"),
            "{\"workload\":\"batch\"}",
        )
    };

    let first: JobAccepted = submit().await.parse();
    let again: JobAccepted = submit().await.parse();

    assert_eq!(first.id, again.id);
}

/// Guards against valid keys being refused as unknown by a new host that can't read the document
/// log yet.
#[tokio::test(flavor = "multi_thread")]
async fn host_without_a_document_does_not_reject_keys() {
    let mut cell = TestCell::start(&["d1"]).await;
    cell.platform
        .store
        .set_faults(lagoonnotch_standin::StoreFaults {
            down: true,
            ..Default::default()
        });
    // Keeps the other hosts running, but not as seeds of the new host.
    let configured_hosts = std::mem::take(&mut cell.hosts);
    cell.add_host("unconfigured", "d1").await;

    let response = cell
        .call(0, Method::POST, "/v1/requests?workload=check", "")
        .await;

    assert_eq!(
        (response.status, response.code().as_str()),
        (StatusCode::SERVICE_UNAVAILABLE, "config_stale")
    );
    drop(configured_hosts);
}
