//! The daemons and stand-ins of a local cell.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ed25519_dalek::SigningKey;
use eyre::{Result, bail, eyre};
use hyper::Method;
use lagoonnotch::daemon::{HostDaemon, HostListeners};
use lagoonnotch::document::{parse_document, sign_document};
use lagoonnotch::settings::{HostSettings, RequestLimits};
use lagoonnotch_standin::{CellProfile, PlatformCell};
use lagoonnotch_wire::caller::CellStatus;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::api_client::{ApiCall, ApiClient};
use crate::commands::new_signing_key;

/// Number of entry hosts in each failure domain.
const HOSTS_PER_DOMAIN: usize = 2;

/// Longest time until the document is in force and every shard is owned.
const START_TIME: Duration = Duration::from_secs(15);

/// Time between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Time between failing the readiness check and refusing work.
const DRAIN_NOTICE: Duration = Duration::from_millis(100);

/// An entry host of the cell.
pub(super) struct LocalHost {
    pub name: String,
    pub caller: SocketAddr,
    pub admin: SocketAddr,
    daemon: HostDaemon,
}

/// A running cell.
pub(super) struct LocalCell {
    pub platform: PlatformCell,
    pub hosts: Vec<LocalHost>,
    approver: SigningKey,
}

impl LocalCell {
    /// Starts the stand-ins and the daemons on free ports.
    pub async fn start(profile: &CellProfile) -> Result<Self> {
        let platform = PlatformCell::start(profile, SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let approver = new_signing_key();
        let mut hosts: Vec<LocalHost> = Vec::new();
        let mut seeds = Vec::new();
        for domain in &profile.domains {
            for index in 0..HOSTS_PER_DOMAIN {
                let listeners = free_listeners().await?;
                let settings = HostSettings {
                    host: format!("{domain}-entry-{index}").into(),
                    domain: domain.as_str().into(),
                    caller_address: listeners.caller.local_addr()?,
                    peer_address: listeners.peer.local_addr()?,
                    admin_address: listeners.admin.local_addr()?,
                    store_address: platform.store_address,
                    seeds: seeds.clone(),
                    approvers: vec![approver.verifying_key()],
                    limits: RequestLimits {
                        drain_notice: DRAIN_NOTICE,
                        ..RequestLimits::default()
                    },
                };
                seeds.push(settings.peer_address);
                hosts.push(LocalHost::start(settings, listeners)?);
            }
        }
        Ok(Self {
            platform,
            hosts,
            approver,
        })
    }

    /// Signs a document and puts it into force.
    pub async fn submit_document(&self, text: &str) -> Result<()> {
        parse_document(text).map_err(|findings| eyre!("{findings}"))?;
        let signed = sign_document(text, &self.approver);
        let call = ApiCall::new(Method::POST, "/v1/documents").json(&signed);
        let result = ApiClient::new(self.hosts[0].admin).call(call).await;
        result.map_err(|problem| eyre!("{}: {}", problem.code, problem.detail))?;
        Ok(())
    }

    /// Waits until the document is in force on every host and every shard is owned.
    pub async fn wait_until_owned(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIME;
        while Instant::now() < deadline {
            if self.is_owned().await {
                return Ok(());
            }
            sleep(LOOK_PAUSE).await;
        }
        bail!(
            "not every shard was owned within {} s",
            START_TIME.as_secs()
        )
    }

    /// Shuts every host down gracefully.
    pub async fn shut_down(self) {
        for host in self.hosts {
            host.daemon.shut_down().await;
        }
    }

    async fn is_owned(&self) -> bool {
        let owners = self.hosts.len() / HOSTS_PER_DOMAIN;
        for host in &self.hosts {
            let answer = ApiClient::new(host.caller)
                .call(ApiCall::new(Method::GET, "/v1/status"))
                .await;
            let status = answer.and_then(|answer| answer.parse::<CellStatus>());
            let owned = status.is_ok_and(|status| {
                let owned = status
                    .members
                    .iter()
                    .filter(|member| member.owns.is_some())
                    .count();
                owned >= owners && status.document_revision > 0
            });
            if !owned {
                return false;
            }
        }
        true
    }
}

impl LocalHost {
    fn start(settings: HostSettings, listeners: HostListeners) -> Result<Self> {
        Ok(Self {
            name: settings.host.to_string(),
            caller: settings.caller_address,
            admin: settings.admin_address,
            daemon: HostDaemon::start(settings, listeners)?,
        })
    }
}

async fn free_listeners() -> Result<HostListeners> {
    Ok(HostListeners {
        caller: free_port().await?,
        peer: free_port().await?,
        admin: free_port().await?,
    })
}

async fn free_port() -> Result<TcpListener> {
    Ok(TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?)
}
