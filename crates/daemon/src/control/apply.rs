//! Work after each message: applies committed entries, publishes views and proposes batches.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bronzespoke_gateway::control as gateway;
use bronzespoke_model::event;

use crate::control::{Controller, Listing, scheduling};

/// Maximum number of apply rounds per message; the rest is done with the next message.
const MAX_ROUNDS: usize = 16;

impl Controller {
    /// Applies what was committed until there is nothing more to apply, then proposes, publishes and replies.
    pub(super) fn advance(&mut self) {
        let now = self.context.now();
        for _ in 0..MAX_ROUNDS {
            let progressed = self.apply_root() | self.apply_zones() | self.update_scheduling(now);
            if !progressed {
                break;
            }
        }
        self.flush(now);
        self.publish_freshness(now);
        self.publish_targets(now);
        let own = self.context.me.place.zone;
        if let (Some(scheduling), Some(zone)) = (&mut self.scheduling, self.zones.get(&own)) {
            scheduling.respond(now, zone);
        }
        self.check_leadership(now);
        self.check_effects(now);
        self.check_leaving(now);
    }

    fn apply_root(&mut self) -> bool {
        if !self.root.apply(&self.context) {
            return false;
        }
        let view = Arc::clone(self.root.view());
        let now = self.context.now();
        let members: Vec<_> = view.vms.values().map(|vm| (vm.id, vm.place)).collect();
        self.gossip.set_members(now, &members);
        self.publish_view();
        let own = self.context.me.place.zone;
        if let (Some(scheduling), Some(zone)) = (&mut self.scheduling, self.zones.get_mut(&own)) {
            scheduling.follow_view(&self.context, zone, &view);
        }
        self.targets_changed = true;
        true
    }

    fn apply_zones(&mut self) -> bool {
        let own = self.context.me.place.zone;
        let view = Arc::clone(self.root.view());
        let mut progressed = false;
        for (id, zone) in &mut self.zones {
            let applied = zone.apply(&self.context);
            if applied.is_empty() {
                continue;
            }
            progressed = true;
            if let Some(scheduling) = self.scheduling.as_mut().filter(|_| *id == own) {
                scheduling.applied(&self.context, zone, &view, applied);
            }
        }
        progressed
    }

    /// Starts the scheduler when this VM becomes leader of its zone, and drops it when leadership is lost.
    fn update_scheduling(&mut self, now: Duration) -> bool {
        let own = self.context.me.place.zone;
        let Some(zone) = self.zones.get_mut(&own) else {
            return false;
        };
        let leads = zone.may_schedule(now);
        if leads == self.scheduling.is_some() {
            return false;
        }
        if !leads {
            zone.discard_proposals();
        }
        self.scheduling = leads.then(|| {
            let view = Arc::clone(self.root.view());
            scheduling::Scheduling::restore(&self.context, self.settings.random_seed, zone, &view)
        });
        leads
    }

    /// Proposes the commands that are due.
    fn flush(&mut self, now: Duration) {
        let is_due = |due: Option<Duration>| due.is_some_and(|due| due <= now);
        let mut flushed = false;
        if is_due(self.root.due()) {
            self.root.flush(&self.context);
            flushed = true;
        }
        for zone in self.zones.values_mut().filter(|zone| is_due(zone.due())) {
            zone.flush(&self.context);
            flushed = true;
        }
        if flushed {
            self.apply_root();
            self.apply_zones();
        }
    }

    fn publish_view(&mut self) {
        let root = self.root.view();
        let view = gateway::View {
            version: root.version,
            config: root.config.clone(),
            keys: root.keys.iter().map(|(hash, team)| (*hash, *team)).collect(),
            teams: root
                .teams
                .iter()
                .map(|(id, team)| (*id, Arc::clone(team)))
                .collect(),
            services: root
                .services
                .iter()
                .map(|(name, service)| (name.clone(), service.clone()))
                .collect(),
            queues: root
                .queues
                .iter()
                .map(|(name, queue)| (name.clone(), queue.clone()))
                .collect::<HashMap<_, _>>(),
            entries: root.vms.values().cloned().collect(),
        };
        self.published.view.send_replace(Arc::new(view));
    }

    fn publish_freshness(&mut self, now: Duration) {
        if let Some(freshness) = self.root.freshness(now) {
            self.published.freshness.advance(freshness);
        }
        let fresh = self.published.freshness.is_fresh();
        self.caught_up |= fresh;
        if fresh != self.fresh {
            self.fresh = fresh;
            self.context.record(if fresh {
                event::Kind::ViewFresh
            } else {
                event::Kind::ViewStale
            });
        }
        let ready = self.is_ready();
        self.published
            .ready
            .send_if_modified(|current| std::mem::replace(current, ready) != ready);
    }

    /// Returns whether the VM accepts requests. It is ready once its view was fresh, so that a restart never serves an
    /// older configuration, and it stays ready when its view becomes stale, because open queues continue.
    pub(super) fn is_ready(&self) -> bool {
        let view = self.root.view();
        let drained = view.is_draining(bronzespoke_control::root::Subject::Vm(self.context.me.id));
        self.caught_up && self.listing == Listing::Listed && !drained && self.leaving.is_none()
    }

    fn publish_targets(&mut self, now: Duration) {
        if std::mem::take(&mut self.targets_changed) {
            self.targets.publish(now, &self.gossip, self.root.view());
        }
    }

    fn check_leaving(&mut self, now: Duration) {
        // The lease ends as soon as the transfer is requested; the request is known to have arrived only once this VM
        // has lost leadership.
        let me = self.context.me.id;
        let leads = self.replicas().any(|(_, member)| member.leader(me) == Some(me));
        let finished = self.leaving.as_ref().is_some_and(|(_, deadline)| {
            !leads && self.requests.is_empty() && self.ends.is_empty() || now >= *deadline
        });
        if finished && let Some((reply, _)) = self.leaving.take() {
            self.listing = Listing::Unlisted;
            // The receiver may have given up.
            let _gone = reply.send(());
        }
    }
}
