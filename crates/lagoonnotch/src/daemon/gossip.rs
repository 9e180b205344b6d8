//! Sends heartbeats and fetches documents from peers that have newer ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use crate::daemon::control_messages::{BeatAnswerMessage, BeatMessage, DocumentsMessage};
use crate::daemon::{CellView, ControlHandle};
use crate::peer::{Heartbeat, PeerClients};

/// Sends a heartbeat to some peers again and again.
pub(super) async fn send_heartbeats(
    control: ControlHandle,
    peers: PeerClients,
    view: watch::Receiver<Arc<CellView>>,
    time: Duration,
) {
    let mut timer = interval(time);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let Ok(beat) = control.send(BeatMessage).await else {
            return;
        };
        for target in beat.targets {
            let exchange = HeartbeatExchange {
                control: control.clone(),
                peers: peers.clone(),
                address: target.address,
                sent_ms: beat.sent_ms,
                view: view.clone(),
            };
            tokio::spawn(exchange.run(beat.heartbeat.clone()));
        }
    }
}

/// One exchange with one peer.
struct HeartbeatExchange {
    control: ControlHandle,
    peers: PeerClients,
    address: SocketAddr,
    sent_ms: u64,
    view: watch::Receiver<Arc<CellView>>,
}

impl HeartbeatExchange {
    async fn run(self, heartbeat: Heartbeat) {
        let Ok(reply) = self.peers.exchange(self.address, heartbeat).await else {
            return;
        };
        let newest = reply.heartbeat.from.revision;
        let _ = self
            .control
            .send(BeatAnswerMessage {
                sent_ms: self.sent_ms,
                reply,
            })
            .await;
        let known = self.view.borrow().config.revision;
        if newest > known
            && let Ok(snapshot) = self.peers.documents_since(self.address, known).await
        {
            let _ = self.control.send(DocumentsMessage(snapshot)).await;
        }
    }
}
