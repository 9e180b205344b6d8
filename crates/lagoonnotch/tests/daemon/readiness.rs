//! Readiness of hosts that start.

use hyper::{Method, Request, StatusCode};
use lagoonnotch::peer::{Heartbeat, MemberRecord, MemberState, OwnedShard, PeerClients};
use lagoonnotch::shard::ShardSummary;
use lagoonnotch_standin::StoreFaults;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};

use crate::cell::{TestCell, TestHost, call};

/// A heartbeat of a host that owns the shard of its failure domain and has the first document.
fn owner_heartbeat(owner: &TestHost, peer_address: std::net::SocketAddr) -> Heartbeat {
    let shard = OwnedShard {
        shard: format!("{}.0", owner.settings.domain).into(),
        epoch: 1,
        summary: ShardSummary::default(),
    };
    Heartbeat {
        from: MemberRecord {
            host: owner.settings.host.clone(),
            incarnation: 0,
            sequence: 1,
            domain: owner.settings.domain.clone(),
            peer_address,
            state: MemberState::Live,
            revision: 1,
            watched_ms_ago: Some(0),
            shards: vec![shard],
        },
        known: Vec::new(),
    }
}

/// Forwards connections to a host, until the task is dropped.
async fn forward(listener: TcpListener, host: std::net::SocketAddr) {
    while let Ok((mut incoming, _)) = listener.accept().await {
        tokio::spawn(async move {
            if let Ok(mut outgoing) = TcpStream::connect(host).await {
                let _ = copy_bidirectional(&mut incoming, &mut outgoing).await;
            }
        });
    }
}

/// Guards against a host that counts as ready once it knows an owner, although no document has
/// reached it and it refuses every request.
#[tokio::test(flavor = "multi_thread")]
async fn host_without_a_document_is_not_ready_although_it_knows_the_owner() {
    let mut cell = TestCell::start(&["d1"]).await;
    let owner = cell.hosts.remove(0);
    let gate = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let gate_address = gate.local_addr().expect("the listener is bound");
    let store_faults = |down| StoreFaults {
        down,
        ..StoreFaults::default()
    };
    cell.platform.store.set_faults(store_faults(true));
    cell.add_host("late", "d1").await;
    let late = cell.hosts[0].settings.clone();
    let heartbeat = owner_heartbeat(&owner, gate_address);
    let reply = PeerClients::default()
        .exchange(late.peer_address, heartbeat)
        .await;
    reply.expect("the host replies");

    cell.wait_until_owner_known().await;
    let ready_without = cell.is_ready(1).await;
    let readiness = call(late.caller_address, Request::get("/readyz"), "").await;
    let refused = cell
        .call(0, Method::POST, "/v1/requests?workload=check", "")
        .await;
    cell.platform.store.set_faults(store_faults(false));
    let forwarding = tokio::spawn(forward(gate, owner.settings.peer_address));
    cell.wait_until_ready(1).await;
    let accepted = cell
        .call(0, Method::POST, "/v1/requests?workload=check", "")
        .await;

    assert!(!ready_without);
    assert_eq!(readiness.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.code(), "config_stale");
    assert_eq!(accepted.status, StatusCode::OK);
    forwarding.abort();
}
