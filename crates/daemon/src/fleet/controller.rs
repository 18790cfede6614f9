//! The actor on the control thread.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bronzespoke_consensus::{log as entries, membership, replica};
use bronzespoke_control::{cell, envelope};
use bronzespoke_dispatch::dispatch::{self, Dispatch};
use bronzespoke_model::{id, stamp};
use bronzespoke_workload::{call, settings};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{oneshot, watch};

use crate::{
    disk,
    fleet::{Message, calls, contact, member, orders, wire},
    identity, peer,
};

/// Longest time between two ticks.
const LONGEST_TICK: Duration = Duration::from_millis(50);
/// Shortest time between two ticks, which bounds the work of timers.
const SHORTEST_TICK: Duration = Duration::from_millis(2);
/// How long a command waits for others to share its log entry.
const COMMAND_DELAY: Duration = Duration::from_millis(2);
/// Time between two looks at which announcements are due.
const HELLO_CHECK: Duration = Duration::from_millis(50);
/// Pause before a replica whose disk failed is opened again.
const REOPEN_PAUSE: Duration = Duration::from_secs(2);

/// Who waits for the outcome of a command.
#[derive(Debug)]
pub enum Responder {
    /// Nobody.
    Nobody,
    /// A call of this daemon.
    Local(oneshot::Sender<call::Reply>),
    /// A call that another daemon passed on.
    Remote {
        /// That daemon.
        place: wire::Place,
        /// Its number of the call.
        number: u64,
    },
}

/// A command that waits for its proposal or its commit.
#[derive(Debug)]
pub struct Waiting {
    /// Command.
    pub command: cell::Command,
    /// Who waits.
    pub responder: Responder,
}

/// What the control thread starts from.
#[derive(Debug)]
pub struct Start {
    /// Settings.
    pub settings: settings::Settings,
    /// Links to other daemons.
    pub network: peer::Network,
    /// Orders and questions.
    pub orders: orders::Sender,
    /// Whether the balancer may send callers here.
    pub ready: watch::Sender<bool>,
    /// Start of the process.
    pub origin: Instant,
    /// Messages between members of the group, which go before all others.
    pub urgent: Urgent,
}

/// Frames that go before all other messages: a heartbeat that waits behind calls costs the leader its lease, just when
/// calls are many.
pub type Urgent = Arc<Mutex<VecDeque<peer::wire::Frame>>>;

/// The actor type; its state is the controller.
#[derive(Debug)]
pub struct Control;

/// Owner of all control state.
#[derive(Debug)]
pub struct Controller {
    pub(super) settings: settings::Settings,
    pub(super) me: wire::Place,
    pub(super) network: peer::Network,
    pub(super) orders: orders::Sender,
    pub(super) contact: contact::Contact,
    pub(super) calls: calls::Calls<oneshot::Sender<call::Reply>>,
    pub(super) member: Option<member::Member>,
    pub(super) state: cell::State,
    pub(super) dispatch: Option<Dispatch>,
    pub(super) batch: Vec<Waiting>,
    pub(super) batch_since: Option<Duration>,
    pub(super) proposed: HashMap<u64, Vec<Waiting>>,
    pub(super) events: VecDeque<member::Event>,
    pub(super) duties_at: Duration,
    pub(super) helpers_at: Duration,
    pub(super) leaving: bool,
    ready: watch::Sender<bool>,
    hello_at: Duration,
    reopen_at: Duration,
    origin: Instant,
    urgent: Urgent,
    tick_at: Option<Duration>,
    actor: ActorRef<Message>,
}

impl Actor for Control {
    type Msg = Message;
    type State = Controller;
    type Arguments = Start;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        args: Start,
    ) -> Result<Controller, ActorProcessingErr> {
        let mut controller = Controller::start(args, myself)?;
        controller.schedule_tick();
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
        if let Message::Tick(planned) = message
            && state.tick_at != Some(planned)
        {
            return Ok(());
        }
        state.handle_urgent();
        state.handle(message);
        state.advance();
        state.schedule_tick();
        Ok(())
    }
}

impl Controller {
    fn start(start: Start, actor: ActorRef<Message>) -> std::io::Result<Self> {
        let Start {
            settings,
            network,
            orders,
            ready,
            origin,
            urgent,
        } = start;
        let contact = contact::Contact::new(settings.peer, &settings.seeds);
        let vm = match &settings.data {
            Some(folder) => identity::load_or(folder, founder(&settings))?,
            None => identity::load(None)?,
        };
        let me = wire::Place {
            vm,
            peer: settings.peer,
        };
        let mut controller = Self {
            settings,
            me,
            network,
            orders,
            contact,
            calls: calls::Calls::default(),
            member: None,
            state: cell::State::default(),
            dispatch: None,
            batch: Vec::new(),
            batch_since: None,
            proposed: HashMap::new(),
            events: VecDeque::new(),
            duties_at: Duration::ZERO,
            helpers_at: Duration::ZERO,
            hello_at: Duration::ZERO,
            leaving: false,
            ready,
            reopen_at: Duration::ZERO,
            origin,
            urgent,
            tick_at: None,
            actor,
        };
        controller.open_member();
        Ok(controller)
    }

    /// Time since the start of the process, on the monotonic clock.
    pub(super) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Both clocks.
    pub(super) fn times(&self) -> dispatch::Now {
        dispatch::Now {
            steady: self.now(),
            wall_ms: wall_ms(),
        }
    }

    /// Sends a frame to a daemon.
    pub(super) fn send(&self, to: wire::Place, body: peer::wire::Body) {
        self.send_frame(to.peer, Some(to.vm), body);
    }

    pub(super) fn send_frame(
        &self,
        address: std::net::SocketAddr,
        to: Option<id::VmId>,
        body: peer::wire::Body,
    ) {
        let frame = peer::wire::Frame {
            from: self.me.vm,
            to,
            from_peer: self.me.peer,
            stamp: stamp::Stamp::default(),
            body,
        };
        self.network.send(address, &frame);
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Tick(_) => self.tick_at = None,
            Message::Frame(frame) => self.receive(frame),
            Message::Call {
                call,
                patience,
                responder,
            } => self.call(call, patience, responder),
            Message::Ordered {
                token,
                worker,
                order,
                sent,
                answer,
            } => self.ordered(token, worker, &order, sent, answer.as_ref()),
            Message::Advised {
                asker,
                number,
                answer,
            } => self.advised(asker, number, answer),
            Message::Disk(done) => self.persisted(&done),
            Message::Settings(settings) => self.reload(*settings),
            Message::Leave => self.leave(),
            // Urgent frames were taken before, and a stop ends the actor.
            Message::Urgent | Message::Stop => {}
        }
    }

    fn handle_urgent(&mut self) {
        let frames = std::mem::take(&mut *self.urgent.lock().unwrap_or_else(PoisonError::into_inner));
        for frame in frames {
            self.receive(frame);
        }
    }

    fn receive(&mut self, frame: peer::wire::Frame) {
        if frame.to.is_some_and(|to| to != self.me.vm) {
            return;
        }
        let now = self.now();
        let from = wire::Place {
            vm: frame.from,
            peer: frame.from_peer,
        };
        match frame.body {
            peer::wire::Body::Consensus(_, message) => {
                self.contact.heard(now, from, None);
                if let Some(member) = &mut self.member {
                    let input = replica::Input::Receive {
                        from: from.vm,
                        message,
                    };
                    member.step(now, input, &mut self.events);
                }
            }
            peer::wire::Body::Fleet(message) => self.receive_fleet(now, from, message),
            // Frames of another kind of cell; a wrong seed can lead here.
            _ => log::debug!("decision=drop_frame peer={} reason=kind", from.peer),
        }
    }

    fn receive_fleet(&mut self, now: Duration, from: wire::Place, message: wire::Message) {
        match message {
            wire::Message::Hello { durable } => {
                self.contact.heard(now, from, Some(durable));
                if self.settings.data.is_some() {
                    self.welcome(now, from);
                }
            }
            wire::Message::Welcome { leader, known } => {
                self.contact.heard(now, from, Some(true));
                self.contact.learn(&known);
                if let Some((term, place)) = leader {
                    self.note_leader(now, term, place);
                }
            }
            wire::Message::Ask { number, call } => {
                self.contact.heard(now, from, None);
                let responder = Responder::Remote { place: from, number };
                self.serve(*call, responder);
            }
            wire::Message::Reply { number, reply } => {
                self.contact.heard(now, from, None);
                if reply == call::Reply::NotLeader {
                    self.contact.deny_leader(from.vm);
                }
                if let Some((responder, reply)) = self.calls.reply(now, number, reply) {
                    answer(responder, reply);
                }
            }
            wire::Message::Question { number, question } => {
                self.contact.heard(now, from, None);
                self.orders.ask(from, number, question);
            }
            wire::Message::Eligibility { number, answer } => {
                self.contact.heard(now, from, None);
                if let Some(dispatch) = &mut self.dispatch {
                    dispatch.advised(now, number, &answer);
                }
            }
        }
    }

    pub(super) fn welcome(&self, now: Duration, to: wire::Place) {
        let leader = self.own_leader(now);
        let mut known = self.contact.durable();
        known.push(self.me);
        let message = wire::Message::Welcome { leader, known };
        self.send(to, peer::wire::Body::Fleet(message));
    }

    /// Leader that this member's replica knows, and its term.
    pub(super) fn own_leader(&self, now: Duration) -> Option<(u64, wire::Place)> {
        let replica = self.member.as_ref()?.replica();
        let leader = replica.leader()?;
        let term = replica.term();
        if leader == self.me.vm {
            let leads = self.dispatch.is_some() && self.holds_lease(now);
            return leads.then_some((term, self.me));
        }
        let peer = self.contact.address(leader)?;
        Some((term, wire::Place { vm: leader, peer }))
    }

    fn note_leader(&mut self, now: Duration, term: u64, place: wire::Place) {
        let before = self.contact.leader(now).map(|leader| leader.vm);
        self.contact.note_leader(now, term, place);
        if before != Some(place.vm) {
            log::info!("belief=leader vm={} peer={} term={term}", place.vm, place.peer);
        }
    }

    pub(super) fn holds_lease(&self, now: Duration) -> bool {
        self.member.as_ref().is_some_and(|member| member.holds_lease(now))
    }

    /// Does everything that time or the last message made due.
    fn advance(&mut self) {
        let now = self.now();
        self.say_hello(now);
        self.step_replica(now);
        self.propose_batch(now);
        self.take_events();
        self.follow_leadership();
        self.lead();
        self.propose_batch(now);
        self.take_events();
        self.pass_calls(now);
        self.look_after_members(now);
        self.reopen(now);
        self.publish_ready(now);
    }

    fn say_hello(&mut self, now: Duration) {
        if now < self.hello_at {
            return;
        }
        self.hello_at = now + HELLO_CHECK;
        let duty = self.contact.due(now);
        for address in duty.reset {
            self.network.reset(address);
        }
        let durable = self.settings.data.is_some();
        for address in duty.hello {
            let message = wire::Message::Hello { durable };
            self.send_frame(address, None, peer::wire::Body::Fleet(message));
        }
    }

    fn step_replica(&mut self, now: Duration) {
        if let Some(member) = &mut self.member
            && now >= member.replica().next_wake()
        {
            member.step(now, replica::Input::Tick, &mut self.events);
        }
    }

    /// Adds a command to the next log entry.
    pub(super) fn enqueue(&mut self, command: cell::Command, responder: Responder) {
        let now = self.now();
        self.batch_since.get_or_insert(now);
        self.batch.push(Waiting { command, responder });
    }

    fn propose_batch(&mut self, now: Duration) {
        let due = self.batch_since.is_some_and(|since| now >= since + COMMAND_DELAY);
        let Some(member) = &mut self.member else { return };
        if !due {
            return;
        }
        self.batch_since = None;
        let at_ms = wall_ms();
        let mut waiting = std::mem::take(&mut self.batch).into_iter();
        let commands: Vec<_> = waiting
            .as_slice()
            .iter()
            .map(|waiting| envelope::Envelope::new(at_ms, waiting.command.clone()))
            .collect();
        for (proposal, count) in member.propose(now, &commands, &mut self.events) {
            self.proposed
                .insert(proposal, waiting.by_ref().take(count).collect());
        }
    }

    fn persisted(&mut self, done: &disk::Done) {
        let now = self.now();
        if let Some(member) = &mut self.member {
            member.persisted(now, done, &mut self.events);
        }
    }

    fn take_events(&mut self) {
        let mut applied: Option<(Vec<envelope::Envelope<cell::Command>>, Vec<cell::Outcome>)> = None;
        while let Some(event) = self.events.pop_front() {
            match event {
                member::Event::Send(to, message) => self.send_consensus(to, message),
                member::Event::Apply(entry) => applied = self.apply(entry),
                member::Event::Committed { proposal, index } => {
                    let waiting = self.proposed.remove(&proposal).unwrap_or_default();
                    let outcomes = applied.take().map(|(_, outcomes)| outcomes).unwrap_or_default();
                    log::debug!(
                        "decision=commit proposal={proposal} index={index} commands={}",
                        waiting.len()
                    );
                    self.committed(waiting, outcomes);
                }
                member::Event::Rejected { proposal, never } => {
                    for waiting in self.proposed.remove(&proposal).unwrap_or_default() {
                        self.rejected(waiting, never);
                    }
                }
                member::Event::Install(snapshot) => match cell::State::decode(&snapshot.data) {
                    Ok(state) => self.state = state,
                    Err(error) => log::error!("belief=snapshot_unreadable reason=\"{error}\""),
                },
            }
        }
        let now = self.now();
        if let Some(member) = &mut self.member
            && member.wants_snapshot()
        {
            member.compact(now, &self.state, &mut self.events);
        }
    }

    fn send_consensus(&self, to: id::VmId, message: bronzespoke_consensus::message::Message) {
        let known = self.contact.address(to);
        let Some(peer) = known.or_else(|| self.state.peers().get(&to).copied()) else {
            return;
        };
        let body = peer::wire::Body::Consensus(member::GROUP, message);
        self.send(wire::Place { vm: to, peer }, body);
    }

    fn apply(
        &mut self,
        entry: entries::Entry,
    ) -> Option<(Vec<envelope::Envelope<cell::Command>>, Vec<cell::Outcome>)> {
        let entries::Payload::Command(data) = entry.payload else {
            return None;
        };
        let commands = match envelope::decode::<cell::Command>(&data) {
            Ok(commands) => commands,
            Err(error) => {
                // Every replica decodes the same bytes, so all of them skip the same entry.
                log::error!(
                    "belief=entry_unreadable index={} reason=\"{error}\"",
                    entry.position.index
                );
                return None;
            }
        };
        let mut outcomes = Vec::with_capacity(commands.len());
        for envelope in &commands {
            outcomes.push(self.state.apply(envelope.at_ms, envelope.command.clone()));
        }
        Some((commands, outcomes))
    }

    fn committed(&mut self, waiting: Vec<Waiting>, outcomes: Vec<cell::Outcome>) {
        let now = self.times();
        for (waiting, outcome) in waiting.into_iter().zip(outcomes) {
            if let Some(dispatch) = &mut self.dispatch {
                dispatch.committed(&self.state, now, &waiting.command, &outcome);
            }
            let reply = match outcome {
                cell::Outcome::NoJob => call::Reply::NoJob,
                _ => call::Reply::Done,
            };
            self.respond(waiting.responder, reply);
        }
    }

    fn rejected(&mut self, waiting: Waiting, never: bool) {
        if never && let Some(dispatch) = &mut self.dispatch {
            dispatch.refused(&self.state, &waiting.command);
        }
        let reply = if never {
            call::Reply::NotLeader
        } else {
            call::Reply::Unknown
        };
        self.respond(waiting.responder, reply);
    }

    /// Answers whoever waits.
    pub(super) fn respond(&mut self, responder: Responder, reply: call::Reply) {
        match responder {
            Responder::Nobody => {}
            Responder::Local(sender) => answer(sender, reply),
            Responder::Remote { place, number } => {
                // The asker sends a call of unknown fate again by itself.
                if reply != call::Reply::Unknown {
                    let message = wire::Message::Reply { number, reply };
                    self.send(place, peer::wire::Body::Fleet(message));
                }
            }
        }
    }

    fn call(&mut self, call: call::Call, patience: Duration, responder: oneshot::Sender<call::Reply>) {
        let now = self.now();
        if self.dispatch.is_some() {
            self.serve(call, Responder::Local(responder));
            return;
        }
        if let Err((responder, reply)) = self.calls.add(now, now + patience, call, responder) {
            answer(responder, reply);
        }
    }

    /// Passes calls to the leader and gives up those whose time is over.
    fn pass_calls(&mut self, now: Duration) {
        if let Some((term, place)) = self.own_leader(now) {
            self.note_leader(now, term, place);
        }
        let leader = self.contact.leader(now);
        if let Some(leader) = leader.filter(|leader| leader.vm != self.me.vm) {
            for (number, call) in self.calls.due(now, leader.vm) {
                let call = Box::new(call);
                let message = wire::Message::Ask { number, call };
                self.send(leader, peer::wire::Body::Fleet(message));
            }
        }
        for (responder, reply) in self.calls.expired(now, leader.is_some()) {
            answer(responder, reply);
        }
    }

    fn reload(&mut self, settings: settings::Settings) {
        log::info!("event=reload seeds={:?}", settings.seeds);
        self.contact.set_seeds(&settings.seeds);
        self.settings.seeds = settings.seeds;
    }

    fn leave(&mut self) {
        self.leaving = true;
        let now = self.now();
        if let Some(member) = &mut self.member {
            member.step(now, replica::Input::Transfer { to: None }, &mut self.events);
        }
    }

    fn publish_ready(&mut self, now: Duration) {
        let ready = !self.leaving && self.contact.leader(now).is_some();
        let changed = self.ready.send_if_modified(|published| {
            let changed = *published != ready;
            *published = ready;
            changed
        });
        if changed {
            log::info!("belief=ready ready={ready}");
        }
    }

    fn open_member(&mut self) {
        let Some(folder) = self.settings.data.clone() else {
            return;
        };
        let founders = founders(&self.settings);
        let found = (self.settings.found && founders.contains(&self.me.vm))
            .then(|| membership::Membership::of_voters(founders));
        let actor = self.actor.clone();
        let notify: disk::Notify = Box::new(move |done| {
            if actor.send_message(Message::Disk(done)).is_err() {
                log::debug!("event=late_write");
            }
        });
        let now = self.now();
        match member::Member::open(self.me.vm, &folder, found, notify, now) {
            Ok(member) => {
                self.member = Some(member);
                if self.settings.found {
                    self.locate_founders();
                }
            }
            Err(error) => {
                log::error!("belief=disk_failed reason=\"{error}\"");
                self.reopen_at = now + REOPEN_PAUSE;
            }
        }
    }

    /// Founders know each other's ids from their addresses.
    fn locate_founders(&mut self) {
        let places: Vec<_> = self
            .settings
            .seeds
            .iter()
            .map(|seed| wire::Place {
                vm: founder_id(*seed),
                peer: *seed,
            })
            .collect();
        self.contact.learn(&places);
    }

    fn reopen(&mut self, now: Duration) {
        if self.member.as_ref().is_some_and(member::Member::has_failed) {
            self.member = None;
            self.dispatch = None;
            self.state = cell::State::default();
            self.events.clear();
            self.reopen_at = now + REOPEN_PAUSE;
            for waiting in self
                .proposed
                .drain()
                .flat_map(|(_, waiting)| waiting)
                .collect::<Vec<_>>()
            {
                self.respond(waiting.responder, call::Reply::Unknown);
            }
        }
        let removed = |member: &member::Member| member.replica().role() == replica::Role::Removed;
        if self.member.as_ref().is_some_and(removed) && now >= self.reopen_at {
            self.reopen_at = now + REOPEN_PAUSE;
            self.join_anew();
        }
        if self.member.is_none() && self.settings.data.is_some() && now >= self.reopen_at {
            self.open_member();
        }
    }

    /// Returns to the group under a new id after the group has removed this member.
    fn join_anew(&mut self) {
        let Some(folder) = self.settings.data.clone() else {
            return;
        };
        self.member = None;
        self.dispatch = None;
        self.state = cell::State::default();
        self.events.clear();
        // The disk thread ends with the member; its lock goes with it.
        let renewed = member::Member::discard(&folder).and_then(|()| identity::renew(&folder));
        match renewed {
            Ok(vm) => {
                log::info!("event=join_anew former={} vm={vm}", self.me.vm);
                self.me.vm = vm;
                self.settings.found = false;
            }
            Err(error) => log::error!("belief=disk_failed reason=\"{error}\""),
        }
    }

    fn schedule_tick(&mut self) {
        let now = self.now();
        let mut wake = now + LONGEST_TICK;
        if let Some(member) = &self.member {
            wake = wake.min(member.replica().next_wake());
        }
        if let Some(since) = self.batch_since {
            wake = wake.min(since + COMMAND_DELAY);
        }
        if let Some(dispatch) = &self.dispatch {
            wake = wake.min(dispatch.next_wake());
        }
        let wake = wake.max(now + SHORTEST_TICK);
        if self.tick_at.is_none_or(|planned| wake + SHORTEST_TICK < planned) {
            self.tick_at = Some(wake);
            // The handle of the timer task is not needed; the timer ends by itself.
            drop(
                self.actor
                    .send_after(wake.saturating_sub(now), move || Message::Tick(wake)),
            );
        }
    }
}

/// Sends a reply to a connection; a caller that has left takes none.
pub(super) fn answer(responder: oneshot::Sender<call::Reply>, reply: call::Reply) {
    if let Err(reply) = responder.send(reply) {
        log::debug!("decision=drop_reply reason=caller_gone reply={reply:?}");
    }
}

/// Wall time in milliseconds since the Unix epoch.
pub(super) fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// Ids of the founders, known to all of them before they have met. Drawn ids have 32 bits, so these are none of them.
fn founders(settings: &settings::Settings) -> Vec<id::VmId> {
    settings.seeds.iter().map(|seed| founder_id(*seed)).collect()
}

fn founder(settings: &settings::Settings) -> Option<id::VmId> {
    let me = founder_id(settings.peer);
    (settings.found && founders(settings).contains(&me)).then_some(me)
}

fn founder_id(address: std::net::SocketAddr) -> id::VmId {
    const FOUNDER: id::VmId = 1 << 48;
    let address = match address.ip() {
        std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
        std::net::IpAddr::V6(ip) => u128::from(ip) as u64 & 0xffff_ffff,
    };
    FOUNDER | address
}
