//! A small cell of real daemons for tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ed25519_dalek::SigningKey;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lagoonnotch::admission::key_digest;
use lagoonnotch::daemon::{HostDaemon, HostListeners};
use lagoonnotch::document::sign_document;
use lagoonnotch::settings::{HostSettings, RequestLimits};
use lagoonnotch_standin::{
    PlatformProfile, RunChecker, RunViolations, StandinPlatform, UpstreamGroup,
};
use lagoonnotch_wire::caller::{CellStatus, ProblemBody};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::time::sleep;

/// Number of polls before a test fails; far more than any test needs.
const MAX_POLLS: usize = 600;

/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub const KEY: &str = "key-of-team-one";
pub const OTHER_KEY: &str = "key-of-team-two";

/// A daemon on its own runtime, so that dropping it stops all its tasks at once, as a crash does.
pub struct TestHost {
    pub settings: HostSettings,
    daemon: Option<HostDaemon>,
    runtime: Option<Runtime>,
}

impl TestHost {
    /// Shuts the daemon down gracefully, and then stops its remaining tasks.
    pub async fn shut_down(mut self) {
        if let Some(daemon) = self.daemon.take() {
            daemon.shut_down().await;
        }
    }
}

impl Drop for TestHost {
    fn drop(&mut self) {
        drop(self.daemon.take());
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// The stand-in platform, and the hosts that share its store.
pub struct TestCell {
    pub platform: StandinPlatform,
    pub hosts: Vec<TestHost>,
    approver: SigningKey,
}

/// A response of the HTTP API.
pub struct TestResponse {
    pub status: StatusCode,
    pub body: Bytes,
}

impl TestResponse {
    pub fn parse<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {:?}", self.body))
    }

    pub fn code(&self) -> String {
        self.parse::<ProblemBody>().code
    }
}

impl TestCell {
    /// Starts hosts in the given failure domains, submits a first document, and waits until every
    /// host is ready and knows a shard owner of every failure domain.
    pub async fn start(domains: &[&str]) -> Self {
        let mut names: Vec<String> = domains.iter().map(|domain| (*domain).to_owned()).collect();
        names.dedup();
        let profile = PlatformProfile {
            domains: names.clone(),
            cpu_only: UpstreamGroup::new("plain", 3 * names.len(), 8, 16, 0),
            accelerated: UpstreamGroup::new("accelerated", 0, 8, 16, 2),
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = StandinPlatform::start(&profile, any_port)
            .await
            .expect("the stand-in platform starts");
        let approver = SigningKey::from_bytes(&[3; 32]);
        let mut cell = Self {
            platform,
            hosts: Vec::new(),
            approver,
        };
        for (index, domain) in domains.iter().enumerate() {
            cell.add_host(&format!("host-{index}"), domain).await;
        }
        cell.submit(&first_document(&names)).await;
        cell.wait_until_ready(names.len()).await;
        cell
    }

    pub async fn add_host(&mut self, name: &str, domain: &str) {
        let listeners = HostListeners {
            caller: listener().await,
            peer: listener().await,
            admin: listener().await,
        };
        let address =
            |listener: &TcpListener| listener.local_addr().expect("the listener is bound");
        let settings = HostSettings {
            host: name.into(),
            domain: domain.into(),
            caller_address: address(&listeners.caller),
            peer_address: address(&listeners.peer),
            admin_address: address(&listeners.admin),
            store_address: self.platform.store_address,
            seeds: self
                .hosts
                .iter()
                .map(|host| host.settings.peer_address)
                .collect(),
            approvers: vec![self.approver.verifying_key()],
            limits: RequestLimits {
                body_bytes: 10_000,
                drain_notice: Duration::from_millis(50),
                request_time: Duration::from_secs(20),
                ..RequestLimits::default()
            },
        };
        let runtime = Runtime::new().expect("a runtime can be started");
        let daemon_settings = settings.clone();
        let daemon = runtime.spawn(async move { HostDaemon::start(daemon_settings, listeners) });
        let daemon = daemon
            .await
            .expect("the start does not panic")
            .expect("the daemon starts");
        self.hosts.push(TestHost {
            settings,
            daemon: Some(daemon),
            runtime: Some(runtime),
        });
    }

    /// Submits a document and returns the response.
    pub async fn submit(&self, text: &str) -> TestResponse {
        let signed = sign_document(text, &self.approver);
        let body = serde_json::to_vec(&signed).expect("a signed document serializes to JSON");
        let admin = self.hosts[0].settings.admin_address;
        call(admin, Request::post("/v1/documents"), body).await
    }

    /// Returns whether every host reports that it is ready, and knows this number of shard owners.
    /// A host may learn of the owners before it has the document.
    pub async fn is_ready(&self, owner_count: usize) -> bool {
        for host in &self.hosts {
            let address = host.settings.caller_address;
            let readiness = call(address, Request::get("/readyz"), "").await;
            if readiness.status != StatusCode::OK || self.owner_count(host).await != owner_count {
                return false;
            }
        }
        true
    }

    /// Returns the number of shard owners that a host knows.
    pub async fn owner_count(&self, host: &TestHost) -> usize {
        let address = host.settings.caller_address;
        let response = call(address, Request::get("/v1/status"), "").await;
        let members = response.parse::<CellStatus>().members;
        members
            .iter()
            .filter(|member| member.owns.is_some())
            .count()
    }

    /// Waits until the first host knows a shard owner.
    pub async fn wait_until_owner_known(&self) {
        for _ in 0..MAX_POLLS {
            if self.owner_count(&self.hosts[0]).await > 0 {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("the host did not learn of an owner");
    }

    /// Waits until every host is ready and knows this number of shard owners.
    pub async fn wait_until_ready(&self, owner_count: usize) {
        for _ in 0..MAX_POLLS {
            if self.is_ready(owner_count).await {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("the cell did not become ready");
    }

    /// Calls a host with the key of the first team.
    pub async fn call(&self, host: usize, method: Method, path: &str, body: &str) -> TestResponse {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {KEY}"));
        call(
            self.hosts[host].settings.caller_address,
            request,
            body.to_owned(),
        )
        .await
    }

    /// Returns the violations in the runs that the upstreams recorded.
    pub fn violations(&self) -> RunViolations {
        RunChecker::new(&self.platform.hosts).check(&self.platform.records())
    }
}

/// Makes an HTTP call.
pub async fn call(
    address: SocketAddr,
    request: hyper::http::request::Builder,
    body: impl Into<Bytes>,
) -> TestResponse {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    exchange(&client, address, request, body)
        .await
        .expect("the host responds")
}

/// Makes an HTTP call that may fail.
pub async fn exchange(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    request: hyper::http::request::Builder,
    body: impl Into<Bytes>,
) -> Option<TestResponse> {
    let request = request
        .body(Full::new(body.into()))
        .expect("the request is well formed");
    let (mut parts, body) = request.into_parts();
    parts.uri = format!("http://{address}{}", parts.uri)
        .parse()
        .expect("the address is well formed");
    let response = client
        .request(Request::from_parts(parts, body))
        .await
        .ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some(TestResponse { status, body })
}

async fn listener() -> TcpListener {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .expect("a port is free")
}

fn first_document(domains: &[String]) -> String {
    let limit = json!({ "cpu_milli": 1_000_000, "memory_mib": 1_000_000 });
    let mut changes = Vec::new();
    let mut add = |section: String, value: Value| {
        changes.push(json!({ "section": section, "previous": 0, "value": value }));
    };
    for domain in domains {
        let value = json!({ "kind": "failure_domain", "in_service": true, "when_cut_off_s": 600 });
        add(format!("failure-domain/{domain}"), value);
    }
    for (team, key) in [("one", KEY), ("two", OTHER_KEY)] {
        add(
            format!("team/{team}"),
            json!({ "kind": "team", "share": 1, "limit": limit }),
        );
        add(
            format!("key/{team}"),
            json!({ "kind": "key", "team": team, "sha256": key_digest(key) }),
        );
    }
    add(
        "queue/open".to_owned(),
        json!({
            "kind": "queue", "open": true, "teams": [], "max_waiting": 100, "when_cut_off_s": 600
        }),
    );
    let size = json!({ "cpu_milli": 1000, "memory_mib": 1024 });
    for (name, class, idempotent) in [
        ("check", "urgent", true),
        ("posting", "urgent", false),
        ("batch", "batch", true),
        ("watch", "service", true),
    ] {
        add(
            format!("workload/{name}"),
            json!({
                "kind": "workload", "class": class, "queue": "open", "deadline_ms": 1000,
                "size": size, "idempotent": idempotent
            }),
        );
    }
    json!({ "document": "first", "changes": changes }).to_string()
}
