//! The daemon of an entry host.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use hyper::StatusCode;
use lagoonnotch_fleet::owner::OwnerSettings;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::control::{ControlActor, ControlHandle, HostView};
use crate::daemon::config_reader::ConfigReader;
use crate::daemon::store_relay::hedge_context;
use crate::daemon::work_report::report_work;
use crate::entry::{EntryRequest, EntryResponse, EntryService, OwnerNotifier};
use crate::event::{FleetEvent, set_host};
use crate::forward::{RenewalDelegate, RenewalForwarder};
use crate::http::{
    HttpRequest, HttpResponse, HttpServer, RequestHandler, ServerLimits, ServerPort, TrafficLimiter,
};
use crate::metrics::FleetMetrics;
use crate::ownership::OwnershipClaimer;
use crate::peer::{OpenPeers, PeerClients, PeerServer};
use crate::ports::PlatformPorts;
use crate::settings::FleetSettings;
use crate::store::{hedged_store, logged_store};

/// Limits of the caller server until the first configuration takes effect, and of the readiness and
/// metrics servers.
const INITIAL_LIMITS: ServerLimits = ServerLimits {
    max_body_bytes: 256 * 1024,
    max_header_bytes: 16 * 1024,
    receive_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Fraction of the grace period in which requests are still accepted; the load balancer stops
/// sending requests after two failed probes.
const SERVING_FRACTION: f64 = 0.5;

/// Time for responses in progress to finish after the connections begin to close.
const DRAIN_TIME: Duration = Duration::from_millis(700);

/// Translates between HTTP and the requests and responses of the platform's API.
#[derive(Clone)]
pub struct ApiCodec {
    /// Decodes a request.
    pub decode_request: Arc<dyn Fn(HttpRequest) -> EntryRequest + Send + Sync>,
    /// Encodes a response.
    pub encode_response: Arc<dyn Fn(&EntryResponse) -> HttpResponse + Send + Sync>,
}

/// A running host.
pub struct FleetDaemon {
    view: HostView,
    closing_sender: watch::Sender<bool>,
    grace: Duration,
}

impl FleetDaemon {
    /// Binds the host's addresses and starts its tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if an address other than the metrics address can't be bound.
    pub async fn start(
        settings: &FleetSettings,
        ports: PlatformPorts,
        codec: ApiCodec,
        readiness_path: &'static str,
        metrics_address: &str,
    ) -> Result<Self> {
        set_host(&settings.host);
        let callers = bind(&settings.caller_address).await?;
        let readiness = bind(&settings.readiness_address).await?;
        let peers = bind(&settings.peer_address()).await?;
        let view = HostView::default();
        view.record_possible_claim(now_ms());
        let ports = PlatformPorts {
            store: logged_store(&ports.store, view.revision_log()),
            ..ports
        };
        let metrics = Arc::new(FleetMetrics::default());
        let limiter = TrafficLimiter::new(settings.traffic_limits(), metrics.clone());
        tokio::spawn(limiter.clone().run());
        let clients = PeerClients::default();
        let context = hedge_context(&settings.peer_address(), &view, &clients);
        let hedged = PlatformPorts {
            store: hedged_store(&ports.store, &context),
            ..ports.clone()
        };
        let forwarder =
            RenewalForwarder::new(settings.host.clone(), settings.peer_address().into());
        let control = ControlActor::start(
            settings.host.clone(),
            owner_settings(settings),
            view.clone(),
            metrics.clone(),
            hedged.clone(),
            clients.clone(),
            forwarder,
        );
        let server = PeerServer {
            failure_domain: settings.failure_domain.clone(),
            control: control.clone(),
            store: ports.store.clone(),
            view: view.clone(),
            upstream: ports.upstream.clone(),
            delegate: RenewalDelegate::new(view.clone(), ports.upstream.clone(), clients.clone()),
            connections: OpenPeers::new(settings.peer_limits()),
        };
        tokio::spawn(server.serve(peers));
        let (limit_sender, limits) = watch::channel(INITIAL_LIMITS);
        let reader = ConfigReader {
            ports: ports.clone(),
            hedged: hedged.clone(),
            view: view.clone(),
            control: control.clone(),
            metrics: metrics.clone(),
            limits: limit_sender,
        };
        tokio::spawn(reader.run());
        let claimer = OwnershipClaimer::new(
            settings,
            &owner_settings(settings),
            ports,
            clients.clone(),
            view.clone(),
            control.clone(),
        );
        tokio::spawn(claimer.run());
        tokio::spawn(report_work(view.clone(), metrics.clone()));
        let (closing_sender, closing) = watch::channel(false);
        let service = entry_service(settings, &view, hedged, &control, clients, metrics.clone());
        let server = HttpServer {
            port: ServerPort::Callers,
            limits,
            handler: entry_handler(service, codec),
            closing,
            limiter: limiter.clone(),
        };
        tokio::spawn(server.serve(callers));
        serve_readiness(readiness, readiness_path, &view, limiter.clone());
        serve_metrics(metrics_address, metrics, limiter).await;
        FleetEvent::HostStarted.emit(json!({
            "failure_domain": settings.failure_domain,
            "callers": settings.caller_address,
            "peers": settings.peer_address(),
        }));
        Ok(Self {
            view,
            closing_sender,
            grace: Duration::from_secs_f64(settings.bounds.grace_s),
        })
    }

    /// Shuts down gracefully: fails the readiness probe first, so that the load balancer sends no
    /// more requests, and then closes the connections.
    pub async fn shut_down(self) {
        FleetEvent::HostStopping.emit(serde_json::Value::Null);
        self.view.set_stopping();
        sleep(self.grace.mul_f64(SERVING_FRACTION)).await;
        let _ = self.closing_sender.send(true);
        sleep(DRAIN_TIME).await;
        FleetEvent::HostStopped.emit(serde_json::Value::Null);
    }
}

async fn bind(address: &str) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("failed to bind {address}"))
}

/// Returns the owner's settings that follow from those of its host.
#[must_use]
pub fn owner_settings(settings: &FleetSettings) -> OwnerSettings {
    let defaults = OwnerSettings::default();
    OwnerSettings {
        task_lease_ms: defaults
            .task_lease_ms
            .min(settings.bounds.task_lease_max_ms),
        max_lease_ms: settings.bounds.task_lease_max_ms,
        report_interval_ms: settings.report_interval_ms,
        ..defaults
    }
}

fn entry_service(
    settings: &FleetSettings,
    view: &HostView,
    ports: PlatformPorts,
    control: &ControlHandle,
    clients: PeerClients,
    metrics: Arc<FleetMetrics>,
) -> EntryService {
    let notifier = OwnerNotifier::start(view.clone(), control.clone(), clients.clone());
    EntryService::new(
        view.clone(),
        ports,
        notifier,
        control.clone(),
        clients,
        metrics,
        settings.bounds.revoke_ms,
    )
    .with_unfinished_bound(settings.unfinished_bytes())
}

fn entry_handler(service: EntryService, codec: ApiCodec) -> RequestHandler {
    Arc::new(move |request| {
        let (service, codec) = (service.clone(), codec.clone());
        Box::pin(async move {
            let response = service.handle((codec.decode_request)(request)).await;
            (codec.encode_response)(&response)
        })
    })
}

fn serve_readiness(
    listener: TcpListener,
    path: &'static str,
    view: &HostView,
    limiter: TrafficLimiter,
) {
    let view = view.clone();
    let handler: RequestHandler = Arc::new(move |request| {
        let status = if request.path != path {
            StatusCode::NOT_FOUND
        } else if view.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Box::pin(std::future::ready(HttpResponse::empty(status)))
    });
    spawn_server(ServerPort::Readiness, listener, handler, limiter);
}

async fn serve_metrics(address: &str, metrics: Arc<FleetMetrics>, limiter: TrafficLimiter) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(target: "lagoonnotch", "failed to bind metrics address {address}: {error}");
            return;
        }
    };
    let handler: RequestHandler = Arc::new(move |_| {
        let response = HttpResponse {
            status: 200,
            body: Bytes::from(metrics.encode_text()),
            retry_after_s: None,
        };
        Box::pin(std::future::ready(response))
    });
    spawn_server(ServerPort::Metrics, listener, handler, limiter);
}

/// Serves until the process exits.
fn spawn_server(
    port: ServerPort,
    listener: TcpListener,
    handler: RequestHandler,
    limiter: TrafficLimiter,
) {
    tokio::spawn(async move {
        let (_limits, limits) = watch::channel(INITIAL_LIMITS);
        let (_closing_sender, closing) = watch::channel(false);
        let server = HttpServer {
            port,
            limits,
            handler,
            closing,
            limiter,
        };
        server.serve(listener).await;
    });
}
