//! Sends heartbeats, and fetches newer documents from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use crate::daemon::control_messages::{DocumentsMessage, HeartbeatReplyMessage, HeartbeatTick};
use crate::daemon::{ControlHandle, HostView};
use crate::peer::{Heartbeat, PeerClients};

/// Sends heartbeats to peers periodically.
pub(super) async fn send_heartbeats(
    control: ControlHandle,
    peers: PeerClients,
    view: watch::Receiver<Arc<HostView>>,
    period: Duration,
) {
    let mut timer = interval(period);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let Ok(outgoing) = control.send(HeartbeatTick).await else {
            return;
        };
        for target in outgoing.targets {
            let exchange = HeartbeatExchange {
                control: control.clone(),
                peers: peers.clone(),
                address: target.address,
                sent_ms: outgoing.sent_ms,
                view: view.clone(),
            };
            tokio::spawn(exchange.run(outgoing.heartbeat.clone()));
        }
    }
}

/// A heartbeat exchange with one peer.
struct HeartbeatExchange {
    control: ControlHandle,
    peers: PeerClients,
    address: SocketAddr,
    sent_ms: u64,
    view: watch::Receiver<Arc<HostView>>,
}

impl HeartbeatExchange {
    async fn run(self, heartbeat: Heartbeat) {
        let Ok(reply) = self.peers.exchange(self.address, heartbeat).await else {
            return;
        };
        let peer_revision = reply.heartbeat.from.revision;
        let _ = self
            .control
            .send(HeartbeatReplyMessage {
                sent_ms: self.sent_ms,
                reply,
            })
            .await;
        let local_revision = self.view.borrow().config.revision;
        if peer_revision > local_revision
            && let Ok(update) = self
                .peers
                .documents_since(self.address, local_revision)
                .await
        {
            let _ = self.control.send(DocumentsMessage(update)).await;
        }
    }
}
