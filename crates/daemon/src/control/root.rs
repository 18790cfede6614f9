//! The root state of this process, kept as a member of the root group or as a follower of a relay.

use std::{sync::Arc, time::Duration};

use bronzespoke_consensus::{feed, log as entries, message, replica};
use bronzespoke_control::{batch, envelope, root};
use bronzespoke_model::{event, id};

use crate::{
    control::{Inbox, Message, context, member, responder, snapshots},
    peer::wire,
};

/// Bytes of entries kept for followers.
const FEED_BYTES: usize = 1 << 20;

/// Time without contact to a leader after which a learner follows through a relay again. Heartbeats come every 100 ms.
const LEARNER_SILENCE: Duration = Duration::from_secs(5);

/// How this process receives the root state.
#[derive(Debug)]
enum Role {
    /// Member of the group.
    Member(Box<member::Member>),
    /// Follower of a relay.
    Follower(Box<feed::Follower>),
}

/// The root state of this process.
#[derive(Debug)]
pub struct Root {
    state: root::State,
    role: Role,
    source: feed::Source,
    batch: member::Batch<root::Command>,
    events: Vec<member::Event>,
    view: Arc<root::View>,
    relays: feed::Relays,
    seed: u64,
    /// When a leader of the group last sent something to this member.
    contact: Duration,
    inbox: Inbox,
    /// Whether a snapshot of the state is being encoded.
    encoding: bool,
    /// Whether a received snapshot is being decoded; later events wait until it is installed.
    installing: bool,
    /// Whether a received snapshot was installed since the view was last updated.
    installed: bool,
}

impl Root {
    /// Returns an empty state that follows a relay.
    pub fn follow(seed: u64, now: Duration, inbox: Inbox) -> Self {
        let state = root::State::new();
        let view = state.view();
        Self {
            state,
            role: follower(seed, now),
            source: feed::Source::new(FEED_BYTES),
            batch: member::Batch::default(),
            events: Vec::new(),
            view,
            relays: feed::Relays::default(),
            seed,
            contact: now,
            inbox,
            encoding: false,
            installing: false,
            installed: false,
        }
    }

    /// Turns a follower into a member. The state is kept, and entries that it already contains are ignored.
    pub fn promote(&mut self, now: Duration, member: member::Member) {
        if matches!(self.role, Role::Follower(_)) {
            self.role = Role::Member(Box::new(member));
            self.contact = now;
        }
    }

    /// Closes the replica of a member, which follows a relay from now on. The state is kept, so that it never goes
    /// backwards.
    pub fn close(&mut self, context: &context::Context) {
        if self.member().is_none() {
            return;
        }
        let role = std::mem::replace(&mut self.role, follower(self.seed, context.now()));
        if let Role::Member(member) = role {
            member.close(context);
        }
        self.source = feed::Source::new(FEED_BYTES);
    }

    /// Turns a member that the group has removed, or a learner without contact to a leader, into a follower again.
    /// Otherwise its state would remain stale permanently.
    fn leave_group(&mut self, now: Duration, me: id::VmId) {
        let Role::Member(member) = &self.role else {
            return;
        };
        let silent = || {
            now.saturating_sub(self.contact) >= LEARNER_SILENCE
                && !member.replica().status().membership.voters.contains(&me)
        };
        if !member.is_removed() && !silent() {
            return;
        }
        log::info!("root: This VM is no longer a member; following a relay.");
        self.role = follower(self.seed, now);
        self.source = feed::Source::new(FEED_BYTES);
    }

    /// Returns the replica, on a member.
    pub const fn member(&self) -> Option<&member::Member> {
        match &self.role {
            Role::Member(member) => Some(member),
            Role::Follower(_) => None,
        }
    }

    /// Returns whether this process leads the root group.
    pub fn leads(&self, now: Duration) -> bool {
        !self.installing && self.member().is_some_and(|member| member.leads(now))
    }

    /// Returns the state.
    pub const fn state(&self) -> &root::State {
        &self.state
    }

    /// Returns the view of the last applied index.
    pub const fn view(&self) -> &Arc<root::View> {
        &self.view
    }

    /// Returns whether this VM belongs to a cell. A replica exists only in a cell, even before its first command.
    pub fn cell_known(&self) -> bool {
        self.view.applied > 0 || self.member().is_some()
    }

    /// Returns the instant up to which the state is complete; `None` until a received snapshot is installed.
    pub fn freshness(&self, now: Duration) -> Option<Duration> {
        if self.installing {
            return None;
        }
        match &self.role {
            Role::Member(member) => member.replica().freshness(now),
            Role::Follower(follower) => follower.freshness(),
        }
    }

    /// Queues a command for the next entry.
    pub fn propose(&mut self, now: Duration, envelope: root::Envelope, responder: responder::Responder) {
        self.batch.push(now, envelope, responder, batch::Urgency::Prompt);
    }

    /// Returns the time at which the queued commands have to be proposed.
    pub const fn due(&self) -> Option<Duration> {
        self.batch.due()
    }

    /// Proposes the queued commands.
    pub fn flush(&mut self, context: &context::Context) {
        match &mut self.role {
            Role::Member(member) => member.propose_batch(context, &mut self.batch, &mut self.events),
            Role::Follower(_) => {
                for responder in self.batch.take(context.now()).1 {
                    responder.reply(context, wire::Reply::NotLeader);
                }
            }
        }
    }

    /// Passes an input to the replica, on a member.
    pub fn step(&mut self, context: &context::Context, input: replica::Input) {
        if let replica::Input::Receive { message, .. } = &input
            && matches!(
                message.body,
                message::Body::Append(_) | message::Body::Snapshot { .. }
            )
        {
            self.contact = context.now();
        }
        if let Role::Member(member) = &mut self.role {
            member.step(context, input, &mut self.events);
        }
    }

    /// Handles the result of a write.
    pub fn persisted(&mut self, context: &context::Context, done: &crate::disk::Done) {
        if let Role::Member(member) = &mut self.role {
            member.persisted(context, done, &mut self.events);
        }
    }

    /// Changes the membership of the root group, on its leader.
    pub fn change(
        &mut self,
        context: &context::Context,
        change: bronzespoke_consensus::membership::Change,
        responder: responder::Responder,
    ) {
        match &mut self.role {
            Role::Member(member) => member.change(context, change, responder, &mut self.events),
            Role::Follower(_) => responder.reply(context, wire::Reply::NotLeader),
        }
    }

    /// Handles timers.
    pub fn tick(&mut self, context: &context::Context) {
        self.leave_group(context.now(), context.me.id);
        if let Role::Member(member) = &mut self.role {
            member.step(context, replica::Input::Tick, &mut self.events);
            return;
        }
        let relay = self.choose_relay(context);
        self.follow_step(context, feed::Input::Relay { to: relay });
    }

    /// Responds to the request of a follower, on a member; a follower keeps no entries for others.
    pub fn serve_follower(&self, context: &context::Context, from: id::VmId, request: &feed::Request) {
        if self.member().is_none() {
            return;
        }
        let now = context.now();
        let response = self.source.respond(now, self.freshness(now), request);
        context.send(from, wire::Body::FeedResponse(response));
    }

    /// Handles the response of a relay.
    pub fn receive_feed(&mut self, context: &context::Context, from: id::VmId, response: feed::Response) {
        self.relays.record_response(context.now(), from, response.age);
        self.follow_step(context, feed::Input::Receive { from, response });
    }

    fn follow_step(&mut self, context: &context::Context, input: feed::Input) {
        let Role::Follower(follower) = &mut self.role else {
            return;
        };
        let mut outputs = Vec::new();
        follower.step(context.now(), input, &mut outputs);
        for output in outputs {
            match output {
                feed::Output::Send { to, request } => context.send(to, wire::Body::FeedRequest(request)),
                feed::Output::Apply(entry) => {
                    self.events.push(member::Event::Apply {
                        entry,
                        responders: Vec::new(),
                    });
                }
                feed::Output::Install(snapshot) => self.events.push(member::Event::Install(snapshot)),
                feed::Output::TimedOut { relay } => {
                    self.relays
                        .record_timeout(context.now(), relay, follower.freshness());
                }
            }
        }
    }

    /// Chooses a relay among the reachable members of the root group.
    fn choose_relay(&mut self, context: &context::Context) -> Option<id::VmId> {
        let place = context.me.place;
        let candidates = context
            .peers
            .values()
            .filter(|peer| peer.replicas.contains(&id::GroupId::Root) && context.is_alive(peer.vm.id))
            .map(|peer| feed::Candidate {
                vm: peer.vm.id,
                distance: place.distance(&peer.vm.place),
            });
        self.relays.select(context.now(), candidates)
    }

    /// Applies committed entries; returns whether the view was updated. Entries after a received snapshot wait until it
    /// is installed.
    pub fn apply(&mut self, context: &context::Context) -> bool {
        if self.installing || self.events.is_empty() && !std::mem::take(&mut self.installed) {
            return false;
        }
        let mut events = std::mem::take(&mut self.events).into_iter();
        for event in events.by_ref() {
            match event {
                member::Event::Apply { entry, responders } => self.apply_entry(context, &entry, responders),
                member::Event::Install(snapshot) => {
                    self.installing = true;
                    let data = snapshot.data.clone();
                    if matches!(self.role, Role::Member(_)) {
                        self.source.install(snapshot);
                    }
                    snapshots::offload(&self.inbox, move || {
                        let decoded = root::State::decode(&data).map(Box::new);
                        Message::RootSnapshot(snapshots::Done::Decoded(decoded))
                    });
                    break;
                }
            }
        }
        self.events.extend(events);
        self.begin_compaction();
        let before = self.view.version;
        self.view = self.state.view();
        if self.view.version != before {
            context.record(event::Kind::ConfigApplied {
                version: self.view.version,
            });
        }
        true
    }

    fn apply_entry(
        &mut self,
        context: &context::Context,
        entry: &entries::Entry,
        responders: Vec<responder::Responder>,
    ) {
        if matches!(self.role, Role::Member(_)) {
            self.source.push(entry);
        }
        let entries::Payload::Command(data) = &entry.payload else {
            return;
        };
        let envelopes = match envelope::decode::<root::Command>(data) {
            Ok(envelopes) => envelopes,
            Err(error) => {
                // Every replica skips the same entry, so their states remain equal.
                log::error!("root: Failed to decode entry {}: {error}", entry.position.index);
                return;
            }
        };
        let outcomes = self.state.apply_all(entry.position.index, &envelopes);
        for (envelope, outcome) in envelopes.iter().zip(&outcomes) {
            record(context, &envelope.command, outcome);
        }
        for (responder, outcome) in responders.into_iter().zip(outcomes) {
            responder.reply(context, wire::Reply::Root(outcome, entry.position.index));
        }
    }

    fn begin_compaction(&mut self) {
        let Role::Member(member) = &mut self.role else {
            return;
        };
        if self.installing || self.encoding || !member.is_snapshot_due() {
            return;
        }
        self.encoding = true;
        let index = member.begin_snapshot();
        let state = self.state.clone();
        snapshots::offload(&self.inbox, move || {
            let data = state.encode();
            Message::RootSnapshot(snapshots::Done::Encoded { index, data })
        });
    }

    /// Handles a snapshot that was encoded or decoded on another thread.
    pub fn snapshot_done(&mut self, context: &context::Context, done: snapshots::Done<root::State>) {
        match done {
            snapshots::Done::Encoded { index, data } => {
                self.encoding = false;
                log::debug!("root: Encoded a snapshot up to entry {index}.");
                if let Role::Member(member) = &mut self.role
                    && let Some(snapshot) = member.compact(context, index, data, &mut self.events)
                {
                    self.source.install(snapshot);
                }
            }
            snapshots::Done::Decoded(decoded) => {
                self.installing = false;
                self.installed = true;
                match decoded.and_then(|state| self.state.replace(*state)) {
                    Ok(previous) => {
                        log::info!("root: Installed a snapshot up to entry {}.", self.state.applied());
                        snapshots::discard(previous);
                    }
                    Err(error) => log::warn!("root: Failed to install a snapshot: {error}"),
                }
            }
        }
    }
}

/// Returns the role of a follower. The seed makes its request tokens differ from those of earlier incarnations.
fn follower(seed: u64, now: Duration) -> Role {
    let seed = seed ^ context::Context::wall_ms();
    Role::Follower(Box::new(feed::Follower::new(feed::Config::new(seed), now)))
}

/// Records accepted commands on the timeline.
fn record(context: &context::Context, command: &root::Command, outcome: &root::Outcome) {
    if !matches!(outcome, root::Outcome::Done) {
        return;
    }
    match command {
        root::Command::GrantKey { team, .. } => context.record(event::Kind::KeyGranted { team: *team }),
        root::Command::WithdrawKey { .. } => context.record(event::Kind::KeyWithdrawn { team: 0 }),
        _ => {}
    }
}
