//! Publishes the control state to the threads that serve requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_wire::caller::MemberStatus;

use crate::daemon::{ControlActor, HostView, OwnerRoute, RouteTarget};
use crate::event::EventCode;
use crate::model::ShardName;
use crate::peer::MemberState;

impl ControlActor {
    /// Publishes a copy of the control state to the threads that serve requests.
    pub(super) fn publish(&mut self) {
        let now_ms = self.clock.now_ms();
        let config = Arc::clone(self.documents.config());
        let members =
            std::iter::once(self.local_status()).chain(self.members.members().map(|entry| {
                MemberStatus {
                    host: entry.record.host.to_string(),
                    failure_domain: entry.record.domain.to_string(),
                    heard_ms_ago: now_ms.saturating_sub(entry.heard_ms),
                    document_revision: entry.record.revision,
                    ready: entry.record.state == MemberState::Live,
                    owns: entry
                        .record
                        .shards
                        .first()
                        .map(|owned| owned.shard.to_string()),
                }
            }));
        let view = HostView {
            host: self.settings.host.clone(),
            domain: self.settings.domain.clone(),
            owners: self.owner_routes(),
            stale_ms: self
                .members
                .stale_since_ms(now_ms)
                .map(|since| now_ms.saturating_sub(since)),
            ready: config.revision > 0 && self.members.local_record().state == MemberState::Live,
            members: members.collect(),
            config,
        };
        self.log_staleness_change(view.stale_ms.is_some());
        self.view.send_replace(Arc::new(view));
    }

    fn local_status(&self) -> MemberStatus {
        let local = self.members.local_record();
        MemberStatus {
            host: local.host.to_string(),
            failure_domain: local.domain.to_string(),
            heard_ms_ago: 0,
            document_revision: local.revision,
            ready: local.state == MemberState::Live,
            owns: local.shards.first().map(|owned| owned.shard.to_string()),
        }
    }

    fn owner_routes(&self) -> BTreeMap<ShardName, OwnerRoute> {
        let mut routes: BTreeMap<ShardName, OwnerRoute> = BTreeMap::new();
        let others = self.members.members().flat_map(|entry| {
            let target = RouteTarget::Peer(entry.record.peer_address);
            entry
                .record
                .shards
                .iter()
                .map(move |owned| (owned, entry.record.host.clone(), target.clone()))
        });
        let local = self.members.local_record().shards.iter();
        let local = local.map(|owned| (owned, self.settings.host.clone(), RouteTarget::Local));
        for (owned, host, target) in others.chain(local) {
            let newer = routes
                .get(&owned.shard)
                .is_none_or(|route| route.epoch < owned.epoch);
            if newer {
                let summary = owned.summary.clone();
                routes.insert(
                    owned.shard.clone(),
                    OwnerRoute {
                        host,
                        epoch: owned.epoch,
                        target,
                        summary,
                    },
                );
            }
        }
        routes
    }

    fn log_staleness_change(&mut self, stale: bool) {
        if stale != self.stale {
            let code = if stale {
                EventCode::ConfigStale
            } else {
                EventCode::ConfigFresh
            };
            code.log(&format!("host {}", self.settings.host));
            self.stale = stale;
        }
    }
}
