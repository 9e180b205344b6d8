//! Entry host daemons and stand-in platform of a local cell.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ed25519_dalek::SigningKey;
use eyre::{Result, bail, eyre};
use hyper::Method;
use lagoonnotch::daemon::{HostDaemon, HostListeners};
use lagoonnotch::document::{parse_document, sign_document};
use lagoonnotch::settings::{HostSettings, RequestLimits};
use lagoonnotch_standin::{PlatformProfile, StandinPlatform};
use lagoonnotch_wire::caller::CellStatus;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::api_client::{ApiCall, ApiClient};
use crate::commands::new_signing_key;

/// Number of entry hosts in each failure domain.
const HOSTS_PER_DOMAIN: usize = 2;

/// Time limit until the document is in force on every host and every failure domain has a shard
/// owner.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two status checks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between failing the readiness check and refusing requests at a shutdown.
const DRAIN_NOTICE: Duration = Duration::from_millis(100);

/// An entry host of the cell, run in this process.
pub(super) struct LocalHost {
    pub name: String,
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    daemon: HostDaemon,
}

/// A running cell.
pub(super) struct LocalCell {
    pub platform: StandinPlatform,
    pub hosts: Vec<LocalHost>,
    approver: SigningKey,
}

impl LocalCell {
    /// Starts the stand-in platform and the entry hosts on free ports.
    pub async fn start(profile: &PlatformProfile) -> Result<Self> {
        let platform =
            StandinPlatform::start(profile, SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let approver = new_signing_key();
        let mut hosts: Vec<LocalHost> = Vec::new();
        let mut seeds = Vec::new();
        for domain in &profile.domains {
            for index in 0..HOSTS_PER_DOMAIN {
                let listeners = bind_listeners().await?;
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

    /// Signs a document and submits it.
    pub async fn submit_document(&self, text: &str) -> Result<()> {
        parse_document(text).map_err(|findings| eyre!("{findings}"))?;
        let signed = sign_document(text, &self.approver);
        let call = ApiCall::new(Method::POST, "/v1/documents").json(&signed);
        let result = ApiClient::new(self.hosts[0].admin_address).call(call).await;
        result.map_err(|problem| eyre!("{}: {}", problem.code, problem.detail))?;
        Ok(())
    }

    /// Waits until a document is in force on every host and every failure domain has a shard owner.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if self.is_ready().await {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        bail!(
            "a document was not in force on every host, or a failure domain had no shard owner, within {} s",
            START_TIMEOUT.as_secs()
        )
    }

    /// Shuts down all hosts gracefully, one after another.
    pub async fn shut_down(self) {
        for host in self.hosts {
            host.daemon.shut_down().await;
        }
    }

    async fn is_ready(&self) -> bool {
        // The sample documents define one shard per failure domain.
        let expected_owners = self.hosts.len() / HOSTS_PER_DOMAIN;
        for host in &self.hosts {
            let response = ApiClient::new(host.caller_address)
                .call(ApiCall::new(Method::GET, "/v1/status"))
                .await;
            let status = response.and_then(|response| response.parse::<CellStatus>());
            let ready = status.is_ok_and(|status| {
                let owners = status
                    .members
                    .iter()
                    .filter(|member| member.owns.is_some())
                    .count();
                owners >= expected_owners && status.document_revision > 0
            });
            if !ready {
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
            caller_address: settings.caller_address,
            admin_address: settings.admin_address,
            daemon: HostDaemon::start(settings, listeners)?,
        })
    }
}

async fn bind_listeners() -> Result<HostListeners> {
    Ok(HostListeners {
        caller: bind_free_port().await?,
        peer: bind_free_port().await?,
        admin: bind_free_port().await?,
    })
}

async fn bind_free_port() -> Result<TcpListener> {
    Ok(TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?)
}
