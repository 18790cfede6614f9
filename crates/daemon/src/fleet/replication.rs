//! The cell's consensus group in this process: proposals, commits, and opening and closing of the replica.

use std::time::Duration;

use bronzespoke_consensus::{log as entries, membership, replica};
use bronzespoke_control::{cell, envelope};
use bronzespoke_dispatch::recent;
use bronzespoke_model::id;
use bronzespoke_workload::{call, settings};

use crate::{
    control::context,
    disk,
    fleet::{
        Message,
        commands::{Pending, Responder},
        controller::Controller,
        leader::refused,
        member, submissions, wire,
    },
    identity, peer,
};

/// Pause before a replica whose disk failed is reopened.
const REOPEN_PAUSE: Duration = Duration::from_secs(2);

impl Controller {
    pub(super) fn step_replica(&mut self, now: Duration) {
        if let Some(member) = &mut self.member
            && now >= member.replica().next_wake()
        {
            member.step(now, replica::Input::Tick, &mut self.events);
        }
    }

    /// Adds a command to the next log entry.
    pub(super) fn enqueue(&mut self, command: cell::Command, responder: Responder) {
        let now = self.now();
        self.commands.add(now, command, responder);
    }

    pub(super) fn propose_batch(&mut self, now: Duration) {
        let is_due = self.commands.due().is_some_and(|due| now >= due);
        let Some(member) = &mut self.member else { return };
        if !is_due {
            return;
        }
        let at_ms = context::Context::wall_ms();
        let mut pending = self.commands.take_batch().into_iter();
        let commands: Vec<_> = pending
            .as_slice()
            .iter()
            .map(|pending| envelope::Envelope::new(at_ms, pending.command.clone()))
            .collect();
        for (proposal, count) in member.propose(now, &commands, &mut self.events) {
            self.commands
                .propose(proposal, pending.by_ref().take(count).collect());
        }
    }

    pub(super) fn persisted(&mut self, number: u64, done: &disk::Done) {
        let now = self.now();
        if let Some(member) = &mut self.member {
            member.persisted(now, number, done, &mut self.events);
        }
    }

    pub(super) fn take_events(&mut self) {
        let mut applied: Option<(Vec<envelope::Envelope<cell::Command>>, Vec<cell::Outcome>)> = None;
        while let Some(event) = self.events.pop_front() {
            match event {
                member::Event::Send(to, message) => self.send_consensus(to, message),
                member::Event::Apply(entry) => applied = self.apply(entry),
                member::Event::Committed { proposal, index } => {
                    let pending = self.commands.take_proposal(proposal);
                    let outcomes = applied.take().map(|(_, outcomes)| outcomes).unwrap_or_default();
                    log::debug!(
                        "decision=commit proposal={proposal} index={index} commands={}",
                        pending.len()
                    );
                    self.committed(pending, outcomes);
                }
                member::Event::Rejected { proposal, never } => {
                    for pending in self.commands.take_proposal(proposal) {
                        self.rejected(pending, never);
                    }
                }
                member::Event::Install(snapshot) => match cell::State::decode(&snapshot.data) {
                    Ok(state) => {
                        self.state = state;
                        self.recent = recent::Starts::new(self.now());
                    }
                    Err(error) => log::error!("belief=snapshot_unreadable reason=\"{error}\""),
                },
            }
        }
        let now = self.now();
        if let Some(member) = &mut self.member
            && member.is_snapshot_due()
        {
            member.compact(now, &self.state, &mut self.events);
        }
    }

    pub(super) fn send_consensus(&self, to: id::VmId, message: bronzespoke_consensus::message::Message) {
        let known = self.discovery.address(to);
        let Some(peer) = known.or_else(|| self.state.peers().get(&to).copied()) else {
            return;
        };
        let body = peer::wire::Body::Consensus(member::GROUP, message);
        self.send(wire::Endpoint { vm: to, peer }, body);
    }

    pub(super) fn apply(
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
        let now = self.now();
        for envelope in &commands {
            self.recent.observe(now, &envelope.command);
            outcomes.push(self.state.apply(envelope.at_ms, envelope.command.clone()));
        }
        Some((commands, outcomes))
    }

    pub(super) fn committed(&mut self, pending: Vec<Pending>, outcomes: Vec<cell::Outcome>) {
        let now = self.times();
        for (pending, outcome) in pending.into_iter().zip(outcomes) {
            if let Some(dispatch) = &mut self.dispatch {
                dispatch.committed(&self.state, now, &pending.command, &outcome);
            }
            if let cell::Command::Configure { catalog, .. } = &pending.command {
                self.trace_configuration("configured", Some(catalog.version), &pending.responder);
            }
            if let cell::Command::Evacuate { zone, active, .. } = &pending.command {
                self.zone_ordered(zone, *active, &outcome, pending.responder);
                continue;
            }
            let reply = match outcome {
                cell::Outcome::NoJob => call::Reply::NoJob,
                cell::Outcome::Withdrawn(wait_ms) => submissions::withdrawn(wait_ms),
                cell::Outcome::Full => refused(call::Refusal::Overload, submissions::OVERLOAD_RETRY),
                _ => call::Reply::Done,
            };
            self.respond(pending.responder, reply);
        }
    }

    pub(super) fn rejected(&mut self, pending: Pending, never: bool) {
        let now = self.now();
        if never && let Some(dispatch) = &mut self.dispatch {
            dispatch.rejected(&self.state, now, &pending.command);
        }
        let reply = if never {
            call::Reply::NotLeader
        } else {
            call::Reply::Unknown
        };
        self.respond(pending.responder, reply);
    }

    pub(super) fn open_member(&mut self) {
        let Some(folder) = self.settings.data.clone() else {
            return;
        };
        let founders = founders(&self.settings);
        let bootstrap = (self.settings.found && founders.contains(&self.me.vm))
            .then(|| membership::Membership::from_voters(founders));
        self.members_opened += 1;
        let number = self.members_opened;
        let actor = self.actor.clone();
        let notify: disk::Notify = Box::new(move |done| {
            if actor.send_message(Message::Persisted(number, done)).is_err() {
                log::debug!("event=late_write");
            }
        });
        let now = self.now();
        match member::Member::open(number, self.me.vm, &folder, bootstrap, notify, now) {
            Ok(member) => {
                self.member = Some(member);
                self.recent = recent::Starts::new(now);
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

    /// Records the endpoints of the founders, whose ids follow from their addresses.
    pub(super) fn locate_founders(&mut self) {
        let endpoints: Vec<_> = self
            .settings
            .seeds
            .iter()
            .map(|seed| wire::Endpoint {
                vm: founder_id(*seed),
                peer: *seed,
            })
            .collect();
        self.discovery.add_endpoints(&endpoints);
    }

    /// Closes a replica whose disk failed or which was removed, and opens it again after a pause.
    pub(super) fn reopen(&mut self, now: Duration) {
        let member = self.member.as_ref();
        let has_failed = member.is_some_and(member::Member::has_failed);
        let is_removed = member.is_some_and(|member| member.replica().role() == replica::Role::Removed);
        if has_failed {
            self.reopen_at = now + REOPEN_PAUSE;
        }
        if has_failed || (is_removed && now >= self.reopen_at) {
            self.is_removed |= is_removed;
            self.close_member();
        }
        let is_closing = self.closing.as_ref().is_some_and(|closing| !closing.has_ended());
        if self.member.is_some() || is_closing || now < self.reopen_at {
            return;
        }
        if self.is_removed {
            self.rejoin(now);
        }
        if !self.is_removed {
            self.open_member();
        }
    }

    fn close_member(&mut self) {
        self.closing = self.member.take().map(member::Member::close);
        self.dispatch = None;
        self.state = cell::State::default();
        self.events.clear();
        for pending in self.commands.take_batch() {
            self.respond(pending.responder, call::Reply::NotLeader);
        }
        for pending in self.commands.take_proposals() {
            self.respond(pending.responder, call::Reply::Unknown);
        }
    }

    /// Deletes the state of a member that its group has removed, and draws a new id under which it joins again.
    fn rejoin(&mut self, now: Duration) {
        let Some(folder) = self.settings.data.clone() else {
            return;
        };
        match member::Member::discard(&folder).and_then(|()| identity::renew(&folder)) {
            Ok(vm) => {
                log::info!("event=join_anew former={} vm={vm}", self.me.vm);
                self.me.vm = vm;
                self.settings.found = false;
                self.is_removed = false;
            }
            Err(error) => {
                log::error!("belief=disk_failed reason=\"{error}\"");
                self.reopen_at = now + REOPEN_PAUSE;
            }
        }
    }
}

/// Returns the ids of the founders, which follow from their addresses, so that all founders know them before any
/// contact. Random ids have 32 bits and cannot collide with them.
pub(super) fn founders(settings: &settings::Settings) -> Vec<id::VmId> {
    settings.seeds.iter().map(|seed| founder_id(*seed)).collect()
}

pub(super) fn founder(settings: &settings::Settings) -> Option<id::VmId> {
    let me = founder_id(settings.peer);
    (settings.found && founders(settings).contains(&me)).then_some(me)
}

pub(super) fn founder_id(address: std::net::SocketAddr) -> id::VmId {
    const FOUNDER: id::VmId = 1 << 48;
    let address = match address.ip() {
        std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
        std::net::IpAddr::V6(ip) => u128::from(ip) as u64 & 0xffff_ffff,
    };
    FOUNDER | address
}
