//! Targets that announce themselves to this VM, and the view of all targets for the gateway.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use bronzespoke_control::root;
use bronzespoke_gateway::control;
use bronzespoke_gossip::{Gossip, Key, Value};
use bronzespoke_model::{event, id, target};
use tokio::sync::watch;

use crate::control::context;

/// Interval at which a target has to renew its announcement.
pub const RENEWAL: Duration = Duration::from_secs(2);
/// Time after which an announcement without renewal is withdrawn; tolerates two lost renewals.
const EXPIRY: Duration = Duration::from_secs(6);
/// Maximum number of targets announced at one VM.
const MAX_ANNOUNCED: usize = 4096;

#[derive(Debug)]
struct Announced {
    incarnation: id::Incarnation,
    renewed: Duration,
}

/// Targets announced at this VM, and the published view of all targets.
#[derive(Debug)]
pub struct Targets {
    announced: HashMap<id::TargetId, Announced>,
    seen: HashSet<id::TargetId>,
    published: watch::Sender<Arc<control::Targets>>,
}

impl Targets {
    /// Returns an empty table that publishes to the gateway.
    pub fn new(published: watch::Sender<Arc<control::Targets>>) -> Self {
        Self {
            announced: HashMap::new(),
            seen: HashSet::new(),
            published,
        }
    }

    /// Handles an announcement or a renewal; returns the time after which to renew it.
    pub fn announce(
        &mut self,
        context: &context::Context,
        gossip: &mut Gossip,
        announcement: target::Announcement,
    ) -> Result<Duration, control::Refusal> {
        let now = context.now();
        let target = announcement.target;
        let incarnation = announcement.incarnation;
        self.check(gossip, now, &announcement)?;
        let value = Value::Target {
            announcement,
            place: context.me.place,
        };
        if gossip.set(now, Key::Target(target), value).is_err() {
            return Err(invalid(
                "incarnation",
                format!("{incarnation} has departed; a larger number is allowed"),
            ));
        }
        let known = self.announced.insert(
            target,
            Announced {
                incarnation,
                renewed: now,
            },
        );
        if known.is_none_or(|known| known.incarnation != incarnation) {
            context.record(event::Kind::TargetAnnounced { target });
        }
        Ok(RENEWAL)
    }

    fn check(
        &self,
        gossip: &Gossip,
        now: Duration,
        announcement: &target::Announcement,
    ) -> Result<(), control::Refusal> {
        if !self.announced.contains_key(&announcement.target) && self.announced.len() >= MAX_ANNOUNCED {
            return Err(control::Refusal::Unavailable(String::from(
                "too many targets are announced at this VM",
            )));
        }
        let Some(entry) = gossip.get(Key::Target(announcement.target), now) else {
            return Ok(());
        };
        let Value::Target {
            announcement: known, ..
        } = entry.value
        else {
            return Ok(());
        };
        if known.incarnation > announcement.incarnation {
            let message = format!(
                "{} is a former life; at least {} is allowed",
                announcement.incarnation, known.incarnation
            );
            return Err(invalid("incarnation", message));
        }
        let taken = known.incarnation == announcement.incarnation
            && known.address != announcement.address
            && entry.age < EXPIRY;
        if taken {
            let message = format!(
                "target {} is announced from {}",
                announcement.target, known.address
            );
            return Err(invalid("target", message));
        }
        Ok(())
    }

    /// Handles a departure; the target gets no new requests from any VM that gossip reaches.
    pub fn depart(
        &mut self,
        context: &context::Context,
        gossip: &mut Gossip,
        target: id::TargetId,
        incarnation: id::Incarnation,
    ) {
        self.announced.remove(&target);
        if gossip.set_departing(context.now(), target, incarnation).is_ok() {
            context.record(event::Kind::TargetDeparting { target });
        }
    }

    /// Withdraws announcements that were not renewed.
    pub fn expire(&mut self, context: &context::Context, gossip: &mut Gossip) {
        let now = context.now();
        let expired: Vec<_> = self
            .announced
            .iter()
            .filter(|(_, announced)| now.saturating_sub(announced.renewed) >= EXPIRY)
            .map(|(target, _)| *target)
            .collect();
        for target in expired {
            self.announced.remove(&target);
            gossip.remove(now, Key::Target(target));
            gossip.remove(now, Key::Load(target));
            context.record(event::Kind::TargetLost { target });
        }
    }

    /// Publishes the usable targets to the gateway if they changed.
    pub fn publish(&mut self, now: Duration, gossip: &Gossip, view: &root::View) {
        let mut usable = gossip.targets(now);
        for status in &mut usable {
            status.departing |= view.is_draining(root::Subject::Target(status.announcement.target));
        }
        self.seen = usable.iter().map(|status| status.announcement.target).collect();
        self.published.send_if_modified(|current| {
            let changed = current.usable != usable;
            if changed {
                *current = Arc::new(control::Targets { usable });
            }
            changed
        });
    }

    /// Returns the last published targets.
    pub fn usable(&self) -> Arc<control::Targets> {
        Arc::clone(&self.published.borrow())
    }
}

fn invalid(field: &str, message: String) -> control::Refusal {
    control::Refusal::Invalid {
        field: String::from(field),
        message,
    }
}
