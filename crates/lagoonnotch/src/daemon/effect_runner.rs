//! Runs the effects of shard controllers on the traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonnotch_wire::store::StoreCall;
use tokio::runtime::Handle;

use crate::daemon::ControlHandle;
use crate::daemon::control_messages::ShardMessage;
use crate::dispatch::UpstreamClient;
use crate::entry::ShardRouter;
use crate::model::ShardName;
use crate::shard::{CallFailure, CallId, ShardCommand, ShardInput, UpstreamCall};
use crate::store::StoreClient;

/// Timeout of a command to the owner of another shard.
const SHARD_CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Makes calls on behalf of the control thread and sends it their results.
#[derive(Clone)]
pub(super) struct EffectRunner {
    pub traffic: Handle,
    pub control: ControlHandle,
    pub store: StoreClient,
    pub upstreams: UpstreamClient,
    pub router: ShardRouter,
}

impl EffectRunner {
    /// Makes a store call.
    pub fn call_store(&self, shard: ShardName, call: CallId, request: StoreCall) {
        let runner = self.clone();
        self.traffic.spawn(async move {
            let result = runner.store.call(&request).await.map_err(|_| CallFailure);
            runner
                .deliver(shard, ShardInput::Store { call, result })
                .await;
        });
    }

    /// Makes a call to an upstream.
    pub fn call_upstream(
        &self,
        shard: ShardName,
        call: CallId,
        address: Arc<str>,
        request: UpstreamCall,
    ) {
        let runner = self.clone();
        self.traffic.spawn(async move {
            let result = runner.upstreams.control(&address, request).await;
            runner
                .deliver(shard, ShardInput::Upstream { call, result })
                .await;
        });
    }

    /// Sends a command to the owner of another shard.
    pub fn call_shard(
        &self,
        shard: ShardName,
        call: CallId,
        target: ShardName,
        request: ShardCommand,
    ) {
        let runner = self.clone();
        self.traffic.spawn(async move {
            let reply = runner
                .router
                .send(&target, request, SHARD_CALL_TIMEOUT)
                .await;
            let result = reply.map_err(|_| CallFailure);
            runner
                .deliver(shard, ShardInput::Peer { call, result })
                .await;
        });
    }

    /// Sets the peers that may relay store calls.
    pub fn set_relays(&self, relays: Vec<SocketAddr>) {
        self.store.set_relays(relays);
    }

    async fn deliver(&self, shard: ShardName, input: ShardInput) {
        let _ = self.control.send(ShardMessage { shard, input }).await;
    }
}
