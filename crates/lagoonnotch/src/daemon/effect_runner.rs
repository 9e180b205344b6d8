//! Carries out the effects of shards on the traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;

use lagoonnotch_wire::store::StoreCall;
use tokio::runtime::Handle;

use crate::daemon::ControlHandle;
use crate::daemon::control::ShardMessage;
use crate::dispatch::UpstreamClient;
use crate::model::ShardName;
use crate::shard::{CallFault, CallId, ShardInput, UpstreamCall};
use crate::store::StoreClient;

/// Makes calls for the control thread and returns their results to it.
#[derive(Clone)]
pub(super) struct EffectRunner {
    pub traffic: Handle,
    pub control: ControlHandle,
    pub store: StoreClient,
    pub upstreams: UpstreamClient,
}

impl EffectRunner {
    /// Makes a store call.
    pub fn call_store(&self, shard: ShardName, call: CallId, request: StoreCall) {
        let runner = self.clone();
        self.traffic.spawn(async move {
            let result = runner.store.call(&request).await.map_err(|_| CallFault);
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

    /// Sets the peers that may relay store calls.
    pub fn set_relays(&self, relays: Vec<SocketAddr>) {
        self.store.set_relays(relays);
    }

    async fn deliver(&self, shard: ShardName, input: ShardInput) {
        let _ = self.control.send(ShardMessage { shard, input }).await;
    }
}
