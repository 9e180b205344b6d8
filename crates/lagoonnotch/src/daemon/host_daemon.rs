//! One entry host's daemon.

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
use crate::daemon::config_watch::{poll_hosts, watch_documents};
use crate::daemon::control_messages::{ReleasedQuestion, ShutdownMessage, TickMessage};
use crate::daemon::effect_runner::EffectRunner;
use crate::daemon::gossip::send_heartbeats;
use crate::daemon::peer_server::PeerServer;
use crate::daemon::{CellView, ControlActor, ControlHandle, HostClock};
use crate::dispatch::UpstreamClient;
use crate::entry::{AdminApi, CallerApi, EntryContext, HttpServer, ServerLimits, ShardRouter};
use crate::event::EventCode;
use crate::metrics::HostMetrics;
use crate::peer::{GossipParameters, MemberRecord, MemberState, MemberTable, PeerClients};
use crate::settings::HostSettings;
use crate::store::StoreClient;

/// Longest time that a shutdown waits for the hand-over of the shards.
const RELEASE_TIME: Duration = Duration::from_secs(6);

/// Time between two looks at the hand-over.
const RELEASE_PAUSE: Duration = Duration::from_millis(20);

/// Most open connections of operators.
const ADMIN_CONNECTIONS: usize = 64;

/// The sockets of a daemon.
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
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// Fails when an address can't be bound.
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

/// A running daemon; dropping it stops everything at once, as a crash would.
#[derive(Debug)]
pub struct HostDaemon {
    settings: Arc<HostSettings>,
    control: ControlHandle,
    /// Servers for callers and operators, which finish their open requests.
    servers: JoinSet<()>,
    /// Loops that run until the end.
    loops: JoinSet<()>,
    closing: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    /// Ends the control thread when it is dropped.
    stop_control: Option<tokio::sync::oneshot::Sender<()>>,
    control_thread: Option<JoinHandle<()>>,
}

impl HostDaemon {
    /// Starts the daemon on the present runtime, which carries the traffic, and a control thread
    /// of its own.
    ///
    /// # Errors
    /// Fails when the control thread can't be started.
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
            traffic: Handle::current(),
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
            loops: JoinSet::new(),
            closing: watch::channel(false).0,
            stop: watch::channel(false).0,
            stop_control: Some(stop_control),
            control_thread: Some(control_thread),
        };
        daemon.spawn_loops(&store, &peers, &router);
        daemon.spawn_servers(listeners, &store, router, metrics);
        EventCode::DaemonStarted.log(&format!("host {}", daemon.settings.host));
        Ok(daemon)
    }

    /// Shuts down gracefully: fails the readiness check, takes no new work, finishes the open
    /// requests and hands the shards over.
    pub async fn shut_down(mut self) {
        EventCode::ShutdownBegun.log(&format!("host {}", self.settings.host));
        self.closing.send_replace(true);
        sleep(self.settings.limits.drain_notice).await;
        self.stop.send_replace(true);
        while self.servers.join_next().await.is_some() {}
        let _ = self.control.send(ShutdownMessage).await;
        let release = async {
            while !self.control.send(ReleasedQuestion).await.unwrap_or(true) {
                sleep(RELEASE_PAUSE).await;
            }
        };
        let _ = tokio::time::timeout(RELEASE_TIME, release).await;
        EventCode::ShutdownDone.log(&format!("host {}", self.settings.host));
    }

    fn spawn_loops(&mut self, store: &StoreClient, peers: &PeerClients, router: &ShardRouter) {
        let beat = Duration::from_millis(GossipParameters::default().heartbeat_ms);
        self.loops.spawn(tick(self.control.clone()));
        self.loops.spawn(send_heartbeats(
            self.control.clone(),
            peers.clone(),
            router.view.clone(),
            beat,
        ));
        self.loops
            .spawn(watch_documents(self.control.clone(), store.clone()));
        self.loops
            .spawn(poll_hosts(self.control.clone(), store.clone()));
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
        self.loops.spawn(peer_server.serve(listeners.peer));
        let admin = Arc::new(AdminApi {
            control: self.control.clone(),
            store: store.clone(),
            router: router.clone(),
        });
        let admin_server = self.server(listeners.admin, ADMIN_CONNECTIONS);
        self.servers
            .spawn(admin_server.serve(admin, AdminApi::answer));
        let context = Arc::new(EntryContext {
            settings: Arc::clone(&self.settings),
            router,
            upstreams: UpstreamClient::new(),
            retries: RetryBudget::new(),
            metrics,
            closing: self.closing.subscribe(),
        });
        let caller_server = self.server(listeners.caller, self.settings.limits.connections);
        self.servers
            .spawn(caller_server.serve(Arc::new(CallerApi { context }), CallerApi::answer));
    }

    fn server(&self, listener: TcpListener, connections: usize) -> HttpServer {
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

/// Runs the control actor on a thread of its own until the sender is dropped.
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

async fn tick(control: ControlHandle) {
    while let Ok(time) = control.send(TickMessage).await {
        sleep(time).await;
    }
}

fn new_member_table(clock: HostClock, settings: &HostSettings) -> MemberTable {
    let me = MemberRecord {
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
        me,
        settings.seeds.clone(),
        GossipParameters::default(),
    )
}

/// Returns a number that is larger for a later run of the same host.
fn new_incarnation() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(1, |time| {
        u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
    })
}

fn empty_view(settings: &HostSettings) -> CellView {
    CellView {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        config: Arc::default(),
        owners: std::collections::BTreeMap::new(),
        stale_ms: None,
        ready: false,
        members: Vec::new(),
    }
}
