//! The actor on the control thread, which owns all state of the daemon.

use std::{collections::VecDeque, time::Duration};

use bronzespoke_clock as clock;
use bronzespoke_consensus::replica;
use bronzespoke_control::cell;
use bronzespoke_dispatch::{
    dispatch::{self, Dispatch},
    lane::Lane,
    recent,
};
use bronzespoke_model::{id, stamp};
use bronzespoke_workload::{call, settings};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{oneshot, watch};

use crate::{
    control::context,
    disk,
    fleet::{
        Message, calls,
        commands::{Commands, Responder},
        discovery, inbox, member, metric, relay, replication, sender, wire,
    },
    identity, peer,
};

/// Interval at which the gauges of the daemon are updated.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time between two ticks.
const MAX_TICK: Duration = Duration::from_millis(50);
/// Minimum time between two ticks; limits the work that timers cause.
const MIN_TICK: Duration = Duration::from_millis(2);
/// Messages that are handled before timers, commits and replies are.
const MESSAGES_PER_ADVANCE: usize = 32;

/// Arguments with which the control thread starts.
#[derive(Debug)]
pub struct Start {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// Half-life of the teams' past use; `None` if it is not counted.
    pub past_use: Option<Duration>,
    /// Links to other daemons.
    pub network: peer::Network,
    /// Sends directives and eligibility queries.
    pub sender: sender::Sender,
    /// Whether the balancer may send callers here.
    pub ready: watch::Sender<bool>,
    /// Start of the process, from which all times are counted.
    pub origin: clock::Origin,
    /// Messages that wait for the control thread.
    pub inbox: inbox::Inbox,
}

/// Actor of the control thread; its state is the controller.
#[derive(Debug)]
pub struct Control;

/// All control state of the daemon.
#[derive(Debug)]
pub struct Controller {
    pub(super) settings: settings::Settings,
    pub(super) past_use: Option<Duration>,
    pub(super) me: wire::Endpoint,
    pub(super) network: peer::Network,
    pub(super) sender: sender::Sender,
    pub(super) discovery: discovery::Discovery,
    pub(super) calls: calls::Calls<oneshot::Sender<call::Reply>>,
    pub(super) member: Option<member::Member>,
    /// Disk of the replica that was closed last.
    pub(super) closing: Option<disk::Closing>,
    /// Whether the group has removed this member, which then rejoins under a new id.
    pub(super) is_removed: bool,
    /// Number of the replica that was opened last.
    pub(super) members_opened: u64,
    pub(super) state: cell::State,
    /// Starts that were applied to `state` recently.
    pub(super) recent: recent::Starts,
    pub(super) dispatch: Option<Dispatch>,
    pub(super) relays: relay::Relays,
    pub(super) relay_answers: relay::Answers,
    pub(super) commands: Commands,
    pub(super) events: VecDeque<member::Event>,
    pub(super) membership_at: Duration,
    pub(super) proxies_at: Duration,
    pub(super) leaving: bool,
    pub(super) ready: watch::Sender<bool>,
    pub(super) hello_at: Duration,
    metrics_at: Duration,
    suspensions: clock::Monitor,
    /// How long the newest submission or query of a job waited for this thread.
    pub(super) lag: Duration,
    pub(super) reopen_at: Duration,
    pub(super) origin: clock::Origin,
    inbox: inbox::Inbox,
    load: inbox::Load,
    pub(super) tick_at: Option<Duration>,
    pub(super) actor: ActorRef<Message>,
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
        let inbox = args.inbox.clone();
        let mut controller = Controller::start(args, myself.clone())?;
        controller.schedule_tick();
        inbox.attach(myself);
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
        state.report_suspension();
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
            past_use,
            network,
            sender,
            ready,
            origin,
            inbox,
        } = start;
        let discovery = discovery::Discovery::new(settings.peer, &settings.seeds);
        let vm = match &settings.data {
            Some(folder) => identity::load_or(folder, replication::founder(&settings))?,
            None => identity::load(None)?,
        };
        let me = wire::Endpoint {
            vm,
            peer: settings.peer,
        };
        let mut controller = Self {
            settings,
            past_use,
            me,
            network,
            sender,
            discovery,
            calls: calls::Calls::default(),
            member: None,
            closing: None,
            is_removed: false,
            members_opened: 0,
            state: cell::State::default(),
            recent: recent::Starts::new(Duration::ZERO),
            dispatch: None,
            relays: relay::Relays::default(),
            relay_answers: relay::Answers::default(),
            commands: Commands::default(),
            events: VecDeque::new(),
            membership_at: Duration::ZERO,
            proxies_at: Duration::ZERO,
            hello_at: Duration::ZERO,
            metrics_at: Duration::ZERO,
            suspensions: clock::Monitor::start(),
            lag: Duration::ZERO,
            leaving: false,
            ready,
            reopen_at: Duration::ZERO,
            origin,
            inbox,
            load: inbox::Load::default(),
            tick_at: None,
            actor,
        };
        controller.open_member();
        Ok(controller)
    }

    /// Returns the time since the start of the process, including suspensions of the VM.
    pub(super) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn report_suspension(&mut self) {
        if let Some(length) = self.suspensions.suspension() {
            log::warn!("belief=suspended for_ms={}", length.as_millis());
        }
    }

    /// Returns the time of the monotonic and of the wall clock.
    pub(super) fn times(&self) -> dispatch::Now {
        dispatch::Now {
            steady: self.now(),
            wall_ms: context::Context::wall_ms(),
        }
    }

    /// Sends a frame to a daemon, which drops it if its incarnation is another one.
    pub(super) fn send(&self, to: wire::Endpoint, body: peer::wire::Body) {
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

    /// Handles messages that wait in the inbox, up to a number, since timers and commits wait meanwhile.
    fn handle_waiting(&mut self) {
        for _ in 0..MESSAGES_PER_ADVANCE {
            let Some(waited) = self.inbox.pop() else { return };
            let begun = self.now();
            let lag = begun.saturating_sub(waited.since);
            if waited.lane == Lane::Work {
                self.lag = lag;
            }
            match waited.message {
                inbox::Traffic::Frame(frame) => self.receive(*frame),
                inbox::Traffic::Message(message) => self.handle(*message),
            }
            let took = self.now().saturating_sub(begun);
            self.load.record(waited.lane, lag, took);
        }
        self.inbox.wake();
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Tick(_) => self.tick_at = None,
            Message::Wake => self.handle_waiting(),
            Message::Call {
                call,
                timeout,
                responder,
            } => self.call(call, timeout, responder),
            Message::DirectiveAnswered {
                origin,
                directive,
                answer,
            } => self.directive_answered(origin, &directive, answer),
            Message::QueryAnswered {
                requester,
                number,
                answer,
            } => self.query_answered(requester, number, answer),
            Message::Persisted(number, done) => self.persisted(number, &done),
            Message::Settings(settings) => self.reload(*settings),
            Message::TransferLeadership => self.transfer_leadership(),
            // The actor has ended.
            Message::Stop => {}
        }
    }

    pub(super) fn holds_lease(&self, now: Duration) -> bool {
        self.member.as_ref().is_some_and(|member| member.holds_lease(now))
    }

    /// Performs all work that became due by the passage of time or by the last message.
    fn advance(&mut self) {
        let now = self.now();
        self.send_hello(now);
        self.step_replica(now);
        self.propose_batch(now);
        self.take_events();
        self.update_leadership();
        self.run_dispatch();
        self.propose_batch(now);
        self.take_events();
        self.send_answers(now);
        self.forward_calls(now);
        self.reconcile_membership(now);
        self.reopen(now);
        self.publish_ready(now);
        self.publish_state(now);
    }

    /// Sends a reply to the receiver of an outcome.
    pub(super) fn respond(&mut self, responder: Responder, reply: call::Reply) {
        match responder {
            Responder::Discard => {}
            Responder::Local(sender) => answer(sender, reply),
            Responder::Remote { endpoint, number } => {
                // The daemon that forwarded a call of unknown outcome resends it by itself.
                if reply != call::Reply::Unknown {
                    let message = wire::Message::Reply { number, reply };
                    self.send(endpoint, peer::wire::Body::Fleet(message));
                }
            }
        }
    }

    fn call(&mut self, call: call::Call, timeout: Duration, responder: oneshot::Sender<call::Reply>) {
        let now = self.now();
        if self.dispatch.is_some() {
            let call = self.stamped(call);
            self.serve(call, Responder::Local(responder));
            return;
        }
        if let call::Call::Leave { name } = &call {
            log::info!("decision=forward_departure worker={name}");
        }
        if let Err((responder, reply)) = self.calls.add(now, now + timeout, call, responder) {
            answer(responder, reply);
        }
    }

    /// Forwards calls to the leader and replies to those that have expired.
    fn forward_calls(&mut self, now: Duration) {
        if let Some((term, endpoint)) = self.own_leader(now) {
            self.record_leader(now, term, endpoint);
        }
        let leader = self.discovery.leader(now);
        self.calls.drop_abandoned(oneshot::Sender::is_closed);
        if let Some(leader) = leader.filter(|leader| leader.vm != self.me.vm) {
            for (number, call) in self.calls.due(now, leader.vm) {
                let call = Box::new(self.stamped(call));
                let message = wire::Message::Request { number, call };
                self.send(leader, peer::wire::Body::Fleet(message));
            }
        }
        for (responder, reply) in self.calls.expired(now, leader.is_some()) {
            answer(responder, reply);
        }
    }

    fn reload(&mut self, settings: settings::Settings) {
        log::info!("event=reload seeds={:?}", settings.seeds);
        self.discovery.set_seeds(&settings.seeds);
        self.settings.seeds = settings.seeds;
    }

    fn transfer_leadership(&mut self) {
        self.leaving = true;
        let now = self.now();
        if let Some(member) = &mut self.member {
            member.step(
                now,
                replica::Input::TransferLeadership { to: None },
                &mut self.events,
            );
        }
    }

    fn publish_ready(&mut self, now: Duration) {
        let ready = !self.leaving && self.discovery.leader(now).is_some();
        let changed = self.ready.send_if_modified(|published| {
            let changed = *published != ready;
            *published = ready;
            changed
        });
        if changed {
            log::info!("belief=ready ready={ready}");
        }
    }

    fn publish_state(&mut self, now: Duration) {
        if now >= self.metrics_at {
            self.metrics_at = now + METRICS_INTERVAL;
            metric::state(self.dispatch.is_some(), self.calls.len(), self.lag);
            if self.member.is_some() {
                metric::evacuated_zones(self.state.evacuated().count());
            }
            metric::lanes(&std::mem::take(&mut self.load), &self.inbox.lengths());
        }
    }

    fn schedule_tick(&mut self) {
        let now = self.now();
        let mut wake = now + MAX_TICK;
        if let Some(member) = &self.member {
            wake = wake.min(member.replica().next_wake());
        }
        if let Some(due) = self.commands.due() {
            wake = wake.min(due);
        }
        if let Some(dispatch) = &self.dispatch {
            wake = wake.min(dispatch.next_wake());
        }
        if let Some(due) = self.relay_answers.due() {
            wake = wake.min(due);
        }
        let wake = wake.max(now + MIN_TICK);
        if self.tick_at.is_none_or(|planned| wake + MIN_TICK < planned) {
            self.tick_at = Some(wake);
            // The handle of the timer task is not needed: the timer ends by itself.
            drop(
                self.actor
                    .send_after(wake.saturating_sub(now), move || Message::Tick(wake)),
            );
        }
    }
}

/// Sends a reply to a connection; it is dropped if the caller has disconnected.
pub(super) fn answer(responder: oneshot::Sender<call::Reply>, reply: call::Reply) {
    if let Err(reply) = responder.send(reply) {
        log::debug!("decision=drop_reply reason=caller_gone reply={reply:?}");
    }
}
