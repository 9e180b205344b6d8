//! Daemon of an entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use eyre::{Result, WrapErr};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use xtra::Mailbox;

use crate::admission::RetryBudget;
use crate::daemon::config_watch::{poll_upstream_list, watch_documents};
use crate::daemon::control_messages::{ReleaseQuery, ShutdownMessage, TickMessage};
use crate::daemon::effect_runner::EffectRunner;
use crate::daemon::gossip::send_heartbeats;
use crate::daemon::peer_server::PeerServer;
use crate::daemon::{ControlActor, ControlHandle, HostClock, HostView};
use crate::dispatch::UpstreamClient;
use crate::entry::{AdminApi, CallerApi, EntryContext, HttpServer, ServerLimits, ShardRouter};
use crate::event::EventCode;
use crate::metrics::HostMetrics;
use crate::peer::{GossipParameters, MemberRecord, MemberState, MemberTable, PeerClients};
use crate::settings::HostSettings;
use crate::store::StoreClient;

/// Maximum time that a shutdown waits for the release of the shards.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(6);

/// Interval between checks whether every shard has been released.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of open connections to the administration API.
const MAX_ADMIN_CONNECTIONS: usize = 64;

/// Listening sockets of a daemon.
#[derive(Debug)]
pub struct HostListeners {
    /// For callers.
    pub caller: TcpListener,
    /// For other entry hosts.
    pub peer: TcpListener,
    /// For operators.
    pub admin: TcpListener,
}

impl HostListeners {
    /// Binds the listen addresses of the settings.
    ///
    /// # Errors
    /// Fails when an address cannot be bound.
    pub async fn bind(settings: &HostSettings) -> Result<Self> {
        Ok(Self {
            caller: bind(settings.caller_address).await?,
            peer: bind(settings.peer_address).await?,
            admin: bind(settings.admin_address).await?,
        })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't listen on {address}"))
}

/// A running daemon; dropping it stops everything immediately, as a crash would.
#[derive(Debug)]
pub struct HostDaemon {
    settings: Arc<HostSettings>,
    control: ControlHandle,
    /// Servers for callers and operators, which complete open requests before they end.
    servers: JoinSet<()>,
    /// Tasks that run until the daemon is dropped.
    background_tasks: JoinSet<()>,
    draining: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    /// Stops the control thread when dropped.
    stop_control: Option<tokio::sync::oneshot::Sender<()>>,
    control_thread: Option<JoinHandle<()>>,
}

impl HostDaemon {
    /// Starts the daemon. Requests and calls run on the current runtime, and the control state has
    /// a thread of its own.
    ///
    /// # Errors
    /// Fails when the control thread cannot be started.
    pub fn start(settings: HostSettings, listeners: HostListeners) -> Result<Self> {
        let settings = Arc::new(settings);
        let clock = HostClock::new();
        let metrics = Arc::new(HostMetrics::new());
        let peers = PeerClients::default();
        let store = StoreClient::new(settings.store_address, peers.clone(), Arc::clone(&metrics));
        let (address, mailbox) = Mailbox::unbounded();
        let (view_sender, view) = watch::channel(Arc::new(empty_view(&settings)));
        let router = ShardRouter {
            control: address.clone(),
            peers: peers.clone(),
            view,
        };
        let runner = EffectRunner {
            router: router.clone(),
            runtime: Handle::current(),
            control: address.clone(),
            store: store.clone(),
            upstreams: UpstreamClient::new(),
        };
        let members = new_member_table(clock, &settings);
        let actor = ControlActor::new(
            clock,
            Arc::clone(&settings),
            members,
            runner,
            view_sender,
            Arc::clone(&metrics),
        );
        let (stop_control, stopped) = tokio::sync::oneshot::channel();
        let control_thread = spawn_control(actor, mailbox, stopped)?;
        let mut daemon = Self {
            settings,
            control: address,
            servers: JoinSet::new(),
            background_tasks: JoinSet::new(),
            draining: watch::channel(false).0,
            stop: watch::channel(false).0,
            stop_control: Some(stop_control),
            control_thread: Some(control_thread),
        };
        daemon.spawn_background_tasks(&store, &peers, &router);
        daemon.spawn_servers(listeners, &store, router, metrics);
        EventCode::DaemonStarted.log(&format!("host {}", daemon.settings.host));
        Ok(daemon)
    }

    /// Shuts down gracefully: fails the readiness check, rejects new work, completes open requests
    /// and releases the shards.
    pub async fn shut_down(mut self) {
        EventCode::ShutdownBegun.log(&format!("host {}", self.settings.host));
        self.draining.send_replace(true);
        sleep(self.settings.limits.drain_notice).await;
        self.stop.send_replace(true);
        while self.servers.join_next().await.is_some() {}
        let _ = self.control.send(ShutdownMessage).await;
        let release = async {
            while !self.control.send(ReleaseQuery).await.unwrap_or(true) {
                sleep(RELEASE_POLL_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, release).await;
        EventCode::ShutdownDone.log(&format!("host {}", self.settings.host));
    }

    fn spawn_background_tasks(
        &mut self,
        store: &StoreClient,
        peers: &PeerClients,
        router: &ShardRouter,
    ) {
        let heartbeat_interval = Duration::from_millis(GossipParameters::default().heartbeat_ms);
        self.background_tasks.spawn(run_ticks(self.control.clone()));
        self.background_tasks.spawn(send_heartbeats(
            self.control.clone(),
            peers.clone(),
            router.view.clone(),
            heartbeat_interval,
        ));
        self.background_tasks
            .spawn(watch_documents(self.control.clone(), store.clone()));
        self.background_tasks
            .spawn(poll_upstream_list(self.control.clone(), store.clone()));
    }

    fn spawn_servers(
        &mut self,
        listeners: HostListeners,
        store: &StoreClient,
        router: ShardRouter,
        metrics: Arc<HostMetrics>,
    ) {
        let peer_server = PeerServer {
            control: self.control.clone(),
            store: store.clone(),
        };
        self.background_tasks
            .spawn(peer_server.serve(listeners.peer));
        let admin = Arc::new(AdminApi {
            control: self.control.clone(),
            store: store.clone(),
            router: router.clone(),
        });
        let admin_server = self.http_server(listeners.admin, MAX_ADMIN_CONNECTIONS);
        self.servers
            .spawn(admin_server.serve(admin, AdminApi::handle));
        let context = Arc::new(EntryContext {
            settings: Arc::clone(&self.settings),
            router,
            upstream_client: UpstreamClient::new(),
            retry_budget: RetryBudget::new(),
            metrics,
            draining: self.draining.subscribe(),
        });
        let caller_server = self.http_server(listeners.caller, self.settings.limits.connections);
        self.servers
            .spawn(caller_server.serve(Arc::new(CallerApi { context }), CallerApi::handle));
    }

    fn http_server(&self, listener: TcpListener, connections: usize) -> HttpServer {
        let limits = ServerLimits {
            header_bytes: self.settings.limits.header_bytes,
            connections,
        };
        HttpServer {
            listener,
            limits,
            stop: self.stop.subscribe(),
        }
    }
}

impl Drop for HostDaemon {
    fn drop(&mut self) {
        drop(self.stop_control.take());
        if let Some(thread) = self.control_thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs the control actor on a separate thread until the sender of `stopped` is dropped.
fn spawn_control(
    actor: ControlActor,
    mailbox: Mailbox<ControlActor>,
    stopped: tokio::sync::oneshot::Receiver<()>,
) -> Result<JoinHandle<()>> {
    let runtime = Builder::new_current_thread().enable_time().build()?;
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = xtra::run(mailbox, actor) => {}
                    _ = stopped => {}
                }
            });
        })?;
    Ok(thread)
}

async fn run_ticks(control: ControlHandle) {
    while let Ok(interval) = control.send(TickMessage).await {
        sleep(interval).await;
    }
}

fn new_member_table(clock: HostClock, settings: &HostSettings) -> MemberTable {
    let local = MemberRecord {
        host: settings.host.clone(),
        incarnation: new_incarnation(),
        sequence: 0,
        domain: settings.domain.clone(),
        peer_address: settings.peer_address,
        state: MemberState::Live,
        revision: 0,
        watched_ms_ago: None,
        shards: Vec::new(),
    };
    MemberTable::new(
        clock.now_ms(),
        local,
        settings.seeds.clone(),
        GossipParameters::default(),
    )
}

/// Returns an incarnation number that increases with each start of the host.
fn new_incarnation() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(1, |time| {
        u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
    })
}

fn empty_view(settings: &HostSettings) -> HostView {
    HostView {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        config: Arc::default(),
        owners: std::collections::BTreeMap::new(),
        stale_ms: None,
        ready: false,
        members: Vec::new(),
    }
}
