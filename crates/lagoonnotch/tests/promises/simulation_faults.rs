//! Faults and changes of a world.

use std::sync::Arc;

use lagoonnotch::document::ApprovedConfig;
use lagoonnotch::model::DomainName;
use lagoonnotch::peer::MemberState;
use lagoonnotch::shard::{OwnershipPhase, ShardInput};
use rand::RngExt;

use crate::cell_config::{set_in, set_lower, set_out, set_whole};
use crate::history::{Fault, FaultKind};
use crate::world::{CONFIG_DELAY_MS, ClosedTime, Event, TICK_MS, World};

impl World {
    pub(crate) fn fault_begins(&mut self, index: usize) {
        let Fault { for_ms, kind, .. } = self.history.faults[index].clone();
        self.active[index] = true;
        self.note(&format!("{kind:?} for {for_ms} ms"));
        let now_ms = self.now_ms;
        match kind {
            FaultKind::Crash(host) => self.hosts[host].alive = false,
            FaultKind::Pause(host) => self.hosts[host].paused_until_ms = now_ms + for_ms,
            FaultKind::Restart(host) if self.hosts[host].alive => {
                self.hosts[host].members.me_mut().state = MemberState::Leaving;
                self.step(host, ShardInput::Shutdown);
            }
            FaultKind::UpstreamRestart(upstream) => self.upstreams[upstream].model.restart(now_ms),
            FaultKind::UpstreamDown(upstream) => {
                self.upstreams[upstream].model.restart(now_ms);
                self.upstreams[upstream].down = true;
            }
            FaultKind::Leaving(upstream) => {
                self.upstreams[upstream].leaving_since_ms = Some(now_ms);
            }
            FaultKind::DomainOut => self.change_config(set_out),
            FaultKind::LimitLowered => self.change_config(set_lower),
            _ => {}
        }
    }

    pub(crate) fn fault_ends(&mut self, index: usize) {
        let kind = self.history.faults[index].kind.clone();
        self.active[index] = false;
        let still =
            self.is_cut(|other| std::mem::discriminant(other) == std::mem::discriminant(&kind));
        match kind {
            FaultKind::Crash(host) => self.replace(host),
            FaultKind::Restart(host) => {
                if !self.hosts[host].alive
                    || self.hosts[host].machine.phase() == OwnershipPhase::Stopped
                {
                    self.replace(host);
                } else {
                    self.push(TICK_MS, Event::FaultEnds(index));
                }
            }
            FaultKind::UpstreamDown(upstream) => self.upstreams[upstream].down = false,
            FaultKind::Leaving(upstream) => self.upstream_stays(upstream),
            FaultKind::DomainOut if !still => self.change_config(set_in),
            FaultKind::LimitLowered if !still => self.change_config(set_whole),
            _ => {}
        }
    }

    /// Starts a new run of a host.
    pub(crate) fn replace(&mut self, host: usize) {
        self.hosts[host] = self.new_host(host);
        self.welcome(host);
    }

    pub(crate) fn upstream_stays(&mut self, upstream: usize) {
        let until_ms = self.now_ms;
        let upstream = &mut self.upstreams[upstream];
        if let Some(from_ms) = upstream.leaving_since_ms.take() {
            let upstreams = vec![upstream.entry.name.clone()];
            self.closed.push(ClosedTime {
                upstreams,
                from_ms,
                until_ms,
            });
        }
    }

    /// Puts a changed configuration into force on every host within the promised time.
    pub(crate) fn change_config(&mut self, change: fn(&mut ApprovedConfig)) {
        let was_out = !self.config.in_service(&DomainName::from("d1"));
        let mut config = ApprovedConfig::clone(&self.config);
        config.revision += 1;
        change(&mut config);
        let is_out = !config.in_service(&DomainName::from("d1"));
        self.config = Arc::new(config);
        self.note_domain(was_out, is_out);
        for host in 0..self.hosts.len() {
            let delay = self.random.random_range(1..CONFIG_DELAY_MS);
            let config = Arc::clone(&self.config);
            self.push(delay, Event::ConfigArrives(host, config));
        }
    }

    pub(crate) fn note_domain(&mut self, was_out: bool, is_out: bool) {
        if !was_out && is_out {
            let near = self
                .upstreams
                .iter()
                .filter(|upstream| upstream.entry.failure_domain == "d1");
            let upstreams = near.map(|upstream| upstream.entry.name.clone()).collect();
            self.closed.push(ClosedTime {
                upstreams,
                from_ms: self.now_ms,
                until_ms: u64::MAX,
            });
        } else if was_out && !is_out {
            let now_ms = self.now_ms;
            let open = self
                .closed
                .iter_mut()
                .filter(|closed| closed.until_ms == u64::MAX);
            open.for_each(|closed| closed.until_ms = now_ms);
        }
    }
}
