//! Handling of answers with a wrong task, attempt, length or digest.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use lagoonnotch::dispatch::{AttemptAnswer, AttemptError, UpstreamClient};
use lagoonnotch::document::encode_hex;
use lagoonnotch::shard::AttemptTicket;
use lagoonnotch_wire::upstream::{ResourceSize, StartTicket};
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;

const BODY: &[u8] = b"the whole answer";

/// An answer with the metadata that the fake upstream sends with it.
#[derive(Clone)]
struct FakeAnswer {
    task: &'static str,
    attempt: u64,
    length: usize,
    digest: String,
    body: &'static [u8],
}

fn valid_answer() -> FakeAnswer {
    FakeAnswer {
        task: "home~work/0",
        attempt: 7,
        length: BODY.len(),
        digest: encode_hex(&Sha256::digest(BODY)),
        body: BODY,
    }
}

async fn serve(answer: FakeAnswer) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            let service = service_fn(move |_| {
                let response = Response::builder()
                    .header("lagoonnotch-task", answer.task)
                    .header("lagoonnotch-attempt", answer.attempt)
                    .header("lagoonnotch-outcome", "completed")
                    .header("lagoonnotch-length", answer.length)
                    .header("lagoonnotch-digest", &answer.digest)
                    .body(Full::new(Bytes::from_static(answer.body)));
                async move { Ok::<_, Infallible>(response.expect("the response is well formed")) }
            });
            tokio::spawn(async move {
                let builder = Builder::new(TokioExecutor::new());
                let _ = builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    address
}

async fn run_with(answer: FakeAnswer) -> Result<AttemptAnswer, AttemptError> {
    let address = serve(answer).await;
    let ticket = StartTicket {
        attempt: 7,
        epoch: 1,
        fence: 1,
        incarnation: "first".to_owned(),
        lease_ms: 1000,
        shard: "home".to_owned(),
        size: ResourceSize {
            accelerators: 0,
            cpu_milli: 1,
            memory_mib: 1,
        },
        task: "home~work/0".to_owned(),
        team: "team".to_owned(),
    };
    let ticket = AttemptTicket {
        address: address.to_string().into(),
        ticket,
        started: false,
    };
    UpstreamClient::new()
        .run(&ticket, Bytes::new(), Duration::from_secs(10))
        .await
}

/// Guards against a valid answer that is refused or altered on its way.
#[tokio::test]
async fn promise_complete_answer_reaches_its_caller() {
    let answer = run_with(valid_answer()).await;

    assert_eq!(
        answer,
        Ok(AttemptAnswer {
            failed: false,
            body: Bytes::from_static(BODY)
        })
    );
}

/// Guards against an answer that is delivered to the wrong caller, when an upstream returns the
/// answer of another task or of an earlier attempt.
#[tokio::test]
async fn promise_answer_of_another_attempt_is_rejected() {
    let other_task = run_with(FakeAnswer {
        task: "home~other/0",
        ..valid_answer()
    })
    .await;
    let earlier_attempt = run_with(FakeAnswer {
        attempt: 6,
        ..valid_answer()
    })
    .await;

    assert_eq!(other_task, Err(AttemptError::Unknown));
    assert_eq!(earlier_attempt, Err(AttemptError::Unknown));
}

/// Guards against a truncated or altered answer, which differs from its length or digest header.
#[tokio::test]
async fn promise_corrupted_answer_is_rejected() {
    let truncated = run_with(FakeAnswer {
        body: b"the whole",
        ..valid_answer()
    })
    .await;
    let altered = run_with(FakeAnswer {
        body: b"the whole ANSWER",
        ..valid_answer()
    })
    .await;
    let wrong_length = run_with(FakeAnswer {
        length: 1,
        ..valid_answer()
    })
    .await;

    assert_eq!(truncated, Err(AttemptError::Unknown));
    assert_eq!(altered, Err(AttemptError::Unknown));
    assert_eq!(wrong_length, Err(AttemptError::Unknown));
}
