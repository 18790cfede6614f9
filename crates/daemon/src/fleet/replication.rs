//! The cell's group in this process: proposals, commits and the life of the replica.

use std::time::Duration;

use bronzespoke_consensus::{log as entries, membership, replica};
use bronzespoke_control::{cell, envelope};
use bronzespoke_model::id;
use bronzespoke_workload::{call, settings};

use crate::{
    control::context,
    disk,
    fleet::{
        Message,
        controller::{COMMAND_DELAY, Controller, Responder, Waiting},
        member, wire,
    },
    identity, peer,
};

/// Pause before a replica whose disk failed is opened again.
const REOPEN_PAUSE: Duration = Duration::from_secs(2);

impl Controller {
    pub(super) fn step_replica(&mut self, now: Duration) {
        if let Some(member) = &mut self.member
            && now >= member.replica().next_wake()
        {
            member.step(now, replica::Input::Tick, &mut self.events);
        }
    }

    /// Whether a submission of a job is on its way to the log.
    pub(super) fn is_submitting(&self, key: bronzespoke_workload::job::Key) -> bool {
        let under_way = self.proposed.values().flatten().chain(&self.batch);
        let mut submissions = under_way.filter_map(|waiting| match &waiting.command {
            cell::Command::Submit { key, .. } => Some(*key),
            _ => None,
        });
        submissions.any(|other| other == key)
    }

    /// Adds a command to the next log entry.
    pub(super) fn enqueue(&mut self, command: cell::Command, responder: Responder) {
        let now = self.now();
        self.batch_since.get_or_insert(now);
        self.batch.push(Waiting { command, responder });
    }

    pub(super) fn propose_batch(&mut self, now: Duration) {
        let due = self.batch_since.is_some_and(|since| now >= since + COMMAND_DELAY);
        let Some(member) = &mut self.member else { return };
        if !due {
            return;
        }
        self.batch_since = None;
        let at_ms = context::Context::wall_ms();
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

    pub(super) fn persisted(&mut self, done: &disk::Done) {
        let now = self.now();
        if let Some(member) = &mut self.member {
            member.persisted(now, done, &mut self.events);
        }
    }

    pub(super) fn take_events(&mut self) {
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

    pub(super) fn send_consensus(&self, to: id::VmId, message: bronzespoke_consensus::message::Message) {
        let known = self.contact.address(to);
        let Some(peer) = known.or_else(|| self.state.peers().get(&to).copied()) else {
            return;
        };
        let body = peer::wire::Body::Consensus(member::GROUP, message);
        self.send(wire::Place { vm: to, peer }, body);
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
        for envelope in &commands {
            outcomes.push(self.state.apply(envelope.at_ms, envelope.command.clone()));
        }
        Some((commands, outcomes))
    }

    pub(super) fn committed(&mut self, waiting: Vec<Waiting>, outcomes: Vec<cell::Outcome>) {
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

    pub(super) fn rejected(&mut self, waiting: Waiting, never: bool) {
        if never && let Some(dispatch) = &mut self.dispatch {
            dispatch.rejected(&self.state, &waiting.command);
        }
        let reply = if never {
            call::Reply::NotLeader
        } else {
            call::Reply::Unknown
        };
        self.respond(waiting.responder, reply);
    }

    pub(super) fn open_member(&mut self) {
        let Some(folder) = self.settings.data.clone() else {
            return;
        };
        let founders = founders(&self.settings);
        let found = (self.settings.found && founders.contains(&self.me.vm))
            .then(|| membership::Membership::from_voters(founders));
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
    pub(super) fn locate_founders(&mut self) {
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

    pub(super) fn reopen(&mut self, now: Duration) {
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
    pub(super) fn join_anew(&mut self) {
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
}

/// Ids of the founders, known to all of them before they have met. Drawn ids have 32 bits, so these are none of them.
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
