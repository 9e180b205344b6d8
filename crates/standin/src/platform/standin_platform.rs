//! The stand-in platform of one deployment, in one process.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Result;
use lagoonnotch_wire::upstream::{HostEntry, HostState};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::platform::PlatformProfile;
use crate::platform::profile::UpstreamGroup;
use crate::{MonotonicClock, RunRecord, StoreServer, UpstreamServer};

/// Number of upstreams per rack.
const RACK_SIZE: usize = 4;

/// The running stand-ins of a deployment, which stop when it is dropped.
#[derive(Debug)]
pub struct StandinPlatform {
    /// Address of the store and the host list.
    pub store_address: SocketAddr,
    /// Server of the store and the host list.
    pub store: Arc<StoreServer>,
    /// Servers of the upstreams.
    pub upstreams: Vec<Arc<UpstreamServer>>,
    /// The upstreams as in the platform's host list.
    pub hosts: Vec<HostEntry>,
    clock: MonotonicClock,
    tasks: JoinSet<()>,
}

impl StandinPlatform {
    /// Starts the stand-ins of a deployment.
    ///
    /// The upstreams listen on free ports of the store's IP address.
    ///
    /// # Errors
    /// Returns an error if an address can't be bound.
    pub async fn start(profile: &PlatformProfile, store_address: SocketAddr) -> Result<Self> {
        let clock = MonotonicClock::new();
        let mut tasks = JoinSet::new();
        let mut upstreams = Vec::new();
        let mut hosts = Vec::new();
        for group in [&profile.cpu_only, &profile.accelerated] {
            for index in 0..group.count {
                let listener = TcpListener::bind((store_address.ip(), 0)).await?;
                let entry = host_entry(profile, group, index, listener.local_addr()?);
                let server = UpstreamServer::new(entry.name.clone(), clock);
                tasks.spawn(Arc::clone(&server).serve(listener));
                upstreams.push(server);
                hosts.push(entry);
            }
        }
        let listener = TcpListener::bind(store_address).await?;
        let store_address = listener.local_addr()?;
        let store = StoreServer::new(hosts.clone());
        tasks.spawn(Arc::clone(&store).serve(listener));
        Ok(Self {
            store_address,
            store,
            upstreams,
            hosts,
            clock,
            tasks,
        })
    }

    /// Returns all runs of all upstreams.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        self.upstreams
            .iter()
            .flat_map(|upstream| upstream.records())
            .collect()
    }

    /// Returns the clock that run records are timed by.
    #[must_use]
    pub fn clock(&self) -> MonotonicClock {
        self.clock
    }

    /// Serves until the future is dropped.
    pub async fn wait(mut self) {
        while self.tasks.join_next().await.is_some() {}
    }
}

fn host_entry(
    profile: &PlatformProfile,
    group: &UpstreamGroup,
    index: usize,
    address: SocketAddr,
) -> HostEntry {
    let domain = &profile.domains[index % profile.domains.len()];
    let rack = index / profile.domains.len() / RACK_SIZE;
    HostEntry {
        name: format!("{}-{index:02}", group.prefix),
        address: address.to_string(),
        failure_domain: domain.clone(),
        rack: format!("{domain}-{}-{rack}", group.prefix),
        state: HostState::Live,
        capacity: group.capacity.clone(),
    }
}
