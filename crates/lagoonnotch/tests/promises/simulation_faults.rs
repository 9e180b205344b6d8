//! Faults and configuration changes of a simulation.

use std::sync::Arc;

use lagoonnotch::document::ApprovedConfig;
use lagoonnotch::model::DomainName;
use lagoonnotch::peer::MemberState;
use lagoonnotch::shard::{OwnershipPhase, ShardInput};
use rand::RngExt;

use crate::scenario::{Fault, FaultKind};
use crate::scenario_config::{lower_limit, restore_limit, return_domain, take_domain_out};
use crate::simulation::{BlockedPeriod, Event, MAX_CONFIG_DELAY_MS, Simulation, TICK_INTERVAL_MS};

impl Simulation {
    pub(crate) fn begin_fault(&mut self, index: usize) {
        let Fault {
            duration_ms, kind, ..
        } = self.scenario.faults[index].clone();
        self.active_faults[index] = true;
        self.trace_line(&format!("{kind:?} for {duration_ms} ms"));
        let now_ms = self.now_ms;
        match kind {
            FaultKind::Crash(host) => self.hosts[host].alive = false,
            FaultKind::Pause(host) => self.hosts[host].paused_until_ms = now_ms + duration_ms,
            FaultKind::Restart(host) if self.hosts[host].alive => {
                self.hosts[host].members.local_record_mut().state = MemberState::Leaving;
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
            FaultKind::DomainOut => self.change_config(take_domain_out),
            FaultKind::LimitLowered => self.change_config(lower_limit),
            _ => {}
        }
    }

    pub(crate) fn end_fault(&mut self, index: usize) {
        let kind = self.scenario.faults[index].kind.clone();
        self.active_faults[index] = false;
        let same_fault_active = self.has_active_fault(|other| {
            std::mem::discriminant(other) == std::mem::discriminant(&kind)
        });
        match kind {
            FaultKind::Crash(host) => self.restart_host(host),
            FaultKind::Restart(host) => {
                if !self.hosts[host].alive
                    || self.hosts[host].controller.phase() == OwnershipPhase::Stopped
                {
                    self.restart_host(host);
                } else {
                    self.push(TICK_INTERVAL_MS, Event::FaultEnds(index));
                }
            }
            FaultKind::UpstreamDown(upstream) => self.upstreams[upstream].down = false,
            FaultKind::Leaving(upstream) => self.cancel_leaving(upstream),
            FaultKind::DomainOut if !same_fault_active => self.change_config(return_domain),
            FaultKind::LimitLowered if !same_fault_active => self.change_config(restore_limit),
            _ => {}
        }
    }

    /// Restarts a host with a new incarnation.
    pub(crate) fn restart_host(&mut self, host: usize) {
        self.hosts[host] = self.new_host(host);
        self.initialize_host(host);
    }

    pub(crate) fn cancel_leaving(&mut self, upstream: usize) {
        let until_ms = self.now_ms;
        let upstream = &mut self.upstreams[upstream];
        if let Some(from_ms) = upstream.leaving_since_ms.take() {
            let upstreams = vec![upstream.entry.name.clone()];
            self.blocked_periods.push(BlockedPeriod {
                upstreams,
                from_ms,
                until_ms,
            });
        }
    }

    /// Applies a configuration change on every host within the guaranteed time.
    pub(crate) fn change_config(&mut self, change: fn(&mut ApprovedConfig)) {
        let was_out = !self.config.in_service(&DomainName::from("d1"));
        let mut config = ApprovedConfig::clone(&self.config);
        config.revision += 1;
        change(&mut config);
        let is_out = !config.in_service(&DomainName::from("d1"));
        self.config = Arc::new(config);
        self.record_domain_change(was_out, is_out);
        for host in 0..self.hosts.len() {
            let delay = self.random.random_range(1..MAX_CONFIG_DELAY_MS);
            let config = Arc::clone(&self.config);
            self.push(delay, Event::ConfigArrives(host, config));
        }
    }

    pub(crate) fn record_domain_change(&mut self, was_out: bool, is_out: bool) {
        if !was_out && is_out {
            let domain_upstreams = self
                .upstreams
                .iter()
                .filter(|upstream| upstream.entry.failure_domain == "d1");
            let upstreams = domain_upstreams
                .map(|upstream| upstream.entry.name.clone())
                .collect();
            self.blocked_periods.push(BlockedPeriod {
                upstreams,
                from_ms: self.now_ms,
                until_ms: u64::MAX,
            });
        } else if was_out && !is_out {
            let now_ms = self.now_ms;
            let open = self
                .blocked_periods
                .iter_mut()
                .filter(|period| period.until_ms == u64::MAX);
            open.for_each(|period| period.until_ms = now_ms);
        }
    }
}
