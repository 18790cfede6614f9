//! The actor on the control thread.

use std::{sync::Arc, time::Duration};

use bronzespoke_consensus::replica;
use bronzespoke_gateway::control as gateway;
use bronzespoke_gossip as gossip;
use bronzespoke_model::{id, vm};
use ractor::{Actor, ActorProcessingErr, ActorRef};

use crate::{
    control::{
        Controller, Inbox, Listing, Message, Published, claims, context, requests, responder, root, targets,
        zone,
    },
    disk, settings,
};

/// Maximum interval between ticks.
const MAX_TICK: Duration = Duration::from_millis(100);
/// Minimum interval between ticks, which bounds the cost of timers.
const MIN_TICK: Duration = Duration::from_millis(1);
/// Time limit for the transfer of leadership at shutdown.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Arguments of the control thread.
#[derive(Debug)]
pub struct Start {
    /// Settings of the daemon.
    pub settings: settings::Settings,
    /// Clock, timeline and network.
    pub context: context::Context,
    /// Channels for the views that the gateway reads.
    pub published: Published,
    /// Channel for the targets that the gateway may use.
    pub targets: tokio::sync::watch::Sender<Arc<gateway::Targets>>,
}

/// The actor; its state is the [`Controller`].
#[derive(Debug)]
pub struct Control;

impl Actor for Control {
    type Msg = Message;
    type State = Controller;
    type Arguments = Start;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        args: Start,
    ) -> Result<Controller, ActorProcessingErr> {
        let controller = Controller::start(args, Inbox::new(myself))?;
        controller.inbox.send(Message::Tick);
        Ok(controller)
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut Controller,
    ) -> Result<(), ActorProcessingErr> {
        if matches!(message, Message::Stop) {
            myself.stop(None);
            return Ok(());
        }
        state.handle(message);
        state.advance();
        state.schedule_tick();
        Ok(())
    }
}

impl Controller {
    fn start(start: Start, inbox: Inbox) -> Result<Self, bronzespoke_storage::Error> {
        let Start {
            settings,
            context,
            published,
            targets,
        } = start;
        let now = context.now();
        let seed = settings.random_seed;
        let config = gossip::Config {
            id: context.me.id,
            place: context.me.place,
            incarnation: context.incarnation,
            seed,
        };
        let mut controller = Self {
            root: root::Root::follow(seed, now, inbox.clone()),
            gossip: gossip::Gossip::new(config, now),
            targets: targets::Targets::new(targets),
            zones: std::collections::BTreeMap::new(),
            known: std::collections::BTreeSet::new(),
            requests: requests::Requests::default(),
            claims: claims::Claims::default(),
            ends: claims::Ends::default(),
            earlier_claims: claims::EarlierClaims::default(),
            closed: std::collections::BTreeMap::new(),
            opened: 0,
            reopen_at: std::collections::BTreeMap::new(),
            scheduling: None,
            targets_changed: false,
            listing: Listing::Unlisted,
            fresh: false,
            caught_up: false,
            hello_at: now,
            enlist_at: now,
            maintenance_at: now,
            tick_at: None,
            leaving: None,
            reporter: None,
            demand: None,
            led: Vec::new(),
            pending_effects: Vec::new(),
            context,
            settings,
            inbox,
            published,
        };
        controller.open_stored()?;
        Ok(controller)
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Frame(frame, permit) => {
                self.frame(*frame);
                drop(permit);
            }
            Message::Call(call, permit) => {
                self.call(call);
                drop(permit);
            }
            Message::Operator(line, command, reply) => self.operator(&line, command, reply),
            Message::Directory(reply) => drop(reply.send(self.directory())),
            Message::Persisted(number, done) => self.persisted(number, &done),
            Message::Claimed(pending, reply) => self.claimed(pending, reply),
            Message::Abandoned(zone, number) => self.abandoned(zone, number),
            Message::Unrecorded(end) => self.unrecorded(end),
            Message::EarlierClaimsEnded(zone, ended) => self.earlier_claims_ended(zone, ended),
            Message::Submitted(submission, reply) => self.submitted(submission, reply),
            Message::Found(submission, found) => self.found_submission(submission, found),
            Message::Replied(number, reply) => self.requests.receive(&self.context, number, reply),
            Message::AwaitEffect(pending) => self.pending_effects.push(pending),
            Message::RootSnapshot(done) => self.root.snapshot_done(&self.context, done),
            Message::ZoneSnapshot(zone, number, done) => {
                // Drop the result if the replica was reopened meanwhile: it has a new state.
                let zone = self.zones.get_mut(&zone);
                if let Some(zone) = zone.filter(|zone| zone.member().number() == number) {
                    zone.snapshot_done(&self.context, done);
                }
            }
            Message::Tick => self.tick(),
            Message::TransferLeadership(reply) => {
                self.leaving = Some((reply, self.context.now() + TRANSFER_TIMEOUT));
                self.transfer_leadership();
            }
            Message::Stop => {}
        }
    }

    fn directory(&self) -> Vec<vm::Vm> {
        self.root.view().vms.values().cloned().collect()
    }

    fn persisted(&mut self, number: u64, done: &disk::Done) {
        let mut replicas = self.replicas();
        if !replicas.any(|(group, member)| group == done.group && member.number() == number) {
            // The result belongs to a replica that was closed; its successor numbers its writes independently.
            return;
        }
        drop(replicas);
        match done.group {
            id::GroupId::Root => self.root.persisted(&self.context, done),
            id::GroupId::Zone(zone) => {
                if let Some(zone) = self.zones.get_mut(&zone) {
                    zone.persisted(&self.context, done);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = self.context.now();
        if self.tick_at.is_some_and(|at| at <= now) {
            self.tick_at = None;
        }
        self.root.tick(&self.context);
        for zone in self.zones.values_mut() {
            if zone.member().replica().next_wake() <= now {
                zone.step(&self.context, replica::Input::Tick);
            }
        }
        if now >= self.hello_at {
            self.announce();
        }
        self.enlist();
        if now >= self.maintenance_at {
            self.run_maintenance();
        }
        self.gossip_tick(now);
        self.request_tick();
        self.record_ends();
        let own = self.context.me.place.zone;
        if let (Some(scheduling), Some(zone)) = (&mut self.scheduling, self.zones.get_mut(&own)) {
            let view = Arc::clone(self.root.view());
            scheduling.tick(&self.context, zone, &view);
        }
    }

    fn gossip_tick(&mut self, now: Duration) {
        if self.gossip.next_wake() <= now {
            let mut messages = Vec::new();
            self.gossip.tick(now, &mut messages);
            for (to, message) in messages {
                self.context.send(to, crate::peer::wire::Body::Gossip(message));
            }
            self.targets_changed = true;
        }
    }

    fn request_tick(&mut self) {
        let mut requests = std::mem::take(&mut self.requests);
        let own = requests.tick(&self.context, &|group| self.leader(group));
        // Callbacks only send messages, so no request was opened meanwhile.
        self.requests = requests;
        for requests::Own {
            number,
            group,
            request,
        } in own
        {
            let inbox = self.inbox.clone();
            let then = Box::new(move |reply| inbox.send(Message::Replied(number, reply)));
            self.serve(group, request, responder::Responder::Local(then));
        }
    }

    /// Schedules a tick for the next timer unless an earlier one is already scheduled.
    fn schedule_tick(&mut self) {
        let now = self.context.now();
        let mut next = now + MAX_TICK;
        next = next
            .min(self.hello_at)
            .min(self.maintenance_at)
            .min(self.gossip.next_wake());
        if let Some(member) = self.root.member() {
            next = next.min(member.replica().next_wake());
        }
        for zone in self.zones.values() {
            next = next.min(zone.member().replica().next_wake());
        }
        if let Some(scheduling) = &self.scheduling {
            next = next.min(scheduling.next_wake());
        }
        let due = self.zones.values().filter_map(zone::Zone::due);
        if let Some(due) = due.chain(self.root.due()).min() {
            next = next.min(due);
        }
        let next = next.max(now + MIN_TICK);
        if self.tick_at.is_none_or(|at| next + MIN_TICK < at) {
            self.tick_at = Some(next);
            self.inbox.tick_after(next.saturating_sub(now));
        }
    }
}
