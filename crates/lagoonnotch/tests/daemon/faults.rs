//! Shutdowns, crashes and store outages with the real daemon.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lagoonnotch_standin::StoreFaults;
use lagoonnotch_wire::caller::{JobAccepted, JobState, JobStatus};
use tokio::task::JoinSet;

use crate::cell::{KEY, TestCell, exchange};

const OPEN_REQUESTS: usize = 20;

/// Sends slow requests to a host, and returns the tasks that await their statuses.
fn open_requests(cell: &TestCell, host: usize) -> JoinSet<Option<StatusCode>> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let address = cell.hosts[host].settings.caller_address;
    let mut requests = JoinSet::new();
    for _ in 0..OPEN_REQUESTS {
        let client = client.clone();
        let request = Request::post("/v1/requests?workload=check")
            .header("authorization", format!("Bearer {KEY}"));
        requests.spawn(async move {
            let response = exchange(&client, address, request, "run-ms=400").await;
            response.map(|response| response.status)
        });
    }
    requests
}

async fn wait_for_runs(cell: &TestCell, count: usize) {
    while cell.platform.records().len() < count {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

/// Guards against requests that fail when one of two hosts shuts down while both have slow requests
/// open.
#[tokio::test(flavor = "multi_thread")]
async fn promise_graceful_shutdown_interrupts_no_request() {
    let mut cell = TestCell::start(&["d1", "d1"]).await;
    let mut requests = JoinSet::new();
    for host in 0..2 {
        let mut opened = open_requests(&cell, host);
        requests.spawn(async move {
            let mut statuses = Vec::new();
            while let Some(status) = opened.join_next().await {
                statuses.push(status.expect("the request does not panic"));
            }
            statuses
        });
    }
    wait_for_runs(&cell, OPEN_REQUESTS).await;

    cell.hosts.remove(0).shut_down().await;

    while let Some(statuses) = requests.join_next().await {
        let statuses = statuses.expect("the requests do not panic");
        assert_eq!(statuses, vec![Some(StatusCode::OK); OPEN_REQUESTS]);
    }
    assert!(cell.violations().is_clean());
}

/// Guards against the loss of an accepted job when the host that owns its shard crashes.
#[tokio::test(flavor = "multi_thread")]
async fn job_survives_the_crash_of_its_owner() {
    let mut cell = TestCell::start(&["d1", "d1"]).await;
    let body = "{\"workload\":\"batch\",\"tasks\":3,\"payload\":\"run-ms=300\"}";
    let accepted: JobAccepted = cell.call(1, Method::POST, "/v1/jobs", body).await.parse();

    drop(cell.hosts.remove(0));

    let mut state = JobState::Waiting;
    for _ in 0..600 {
        let response = cell
            .call(0, Method::GET, &format!("/v1/jobs/{}", accepted.id), "")
            .await;
        if response.status == StatusCode::OK {
            state = response.parse::<JobStatus>().state;
        }
        if state == JobState::Finished {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert_eq!(state, JobState::Finished);
    assert!(cell.violations().is_clean());
}

/// Guards against quick requests that fail during a store outage, although they need no store
/// write. A job can't be accepted durably; the outcome of its submission is unknown, because the
/// job may still be written.
#[tokio::test(flavor = "multi_thread")]
async fn quick_requests_succeed_while_the_store_is_down() {
    let cell = TestCell::start(&["d1", "d1"]).await;
    cell.platform.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    // Longer than the store lease, so that owners rely on peer promises.
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;

    let quick = cell
        .call(0, Method::POST, "/v1/requests?workload=check", "hello")
        .await;
    let job = cell
        .call(0, Method::POST, "/v1/jobs", "{\"workload\":\"batch\"}")
        .await;

    assert_eq!(quick.status, StatusCode::OK);
    assert_eq!(job.code(), "outcome_unknown");
}
