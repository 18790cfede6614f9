//! One zone group in this process: its replica and its state.

use std::time::Duration;

use bronzespoke_consensus::{log as entries, membership, replica};
use bronzespoke_control::{envelope, zone};
use bronzespoke_model::id;

use crate::{
    control::{context, member, responder},
    disk,
    peer::wire,
};

/// A zone group.
#[derive(Debug)]
pub struct Zone {
    member: member::Member,
    state: zone::State,
    batch: Vec<zone::Envelope>,
    responders: Vec<responder::Responder>,
    events: Vec<member::Event>,
    /// When a scheduler may run again after the log refused its commands.
    resume_at: Duration,
}

/// Pause of a scheduler whose commands the log refused; the log needs time to take commands again.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// A command that was applied, with its outcome.
pub type Applied = (zone::Command, zone::Outcome);

impl Zone {
    /// Returns the group of an availability zone with an opened replica.
    pub fn new(zone: id::AvailabilityZoneId, member: member::Member) -> Self {
        Self {
            member,
            state: zone::State::new(zone),
            batch: Vec::new(),
            responders: Vec::new(),
            events: Vec::new(),
            resume_at: Duration::ZERO,
        }
    }

    /// Tells whether a scheduler may run here. It may not when the log refused one of its commands: its view then
    /// differs from the state, so that it has to be built again.
    pub fn may_schedule(&mut self, now: Duration) -> bool {
        if self.member.take_refused() {
            self.resume_at = now + REFUSED_PAUSE;
        }
        now >= self.resume_at && self.leads(now)
    }

    /// Drops the commands that nobody waits for, and waits for those that are in the log, so that no command of a
    /// former scheduler changes the state after the next one was built from it.
    pub fn settle(&mut self) {
        let batch = std::mem::take(&mut self.batch).into_iter();
        let responders = std::mem::take(&mut self.responders).into_iter();
        let awaited =
            |(_, responder): &(_, responder::Responder)| !matches!(responder, responder::Responder::Nobody);
        (self.batch, self.responders) = batch.zip(responders).filter(awaited).unzip();
        self.member.settle();
    }

    /// Ends the replica; commands that were not proposed are not done.
    pub fn close(self, context: &context::Context) {
        for responder in self.responders {
            responder.answer(context, wire::Reply::NotLeader);
        }
        for event in self.events {
            if let member::Event::Apply { responders, .. } = event {
                for responder in responders {
                    responder.answer(context, wire::Reply::Unknown);
                }
            }
        }
        self.member.close(context);
    }

    /// Returns the state.
    pub const fn state(&self) -> &zone::State {
        &self.state
    }

    /// Returns the replica.
    pub const fn member(&self) -> &member::Member {
        &self.member
    }

    /// Tells whether this process leads the group.
    pub fn leads(&self, now: Duration) -> bool {
        self.member.leads(now)
    }

    /// Takes a command for the next entry of a leader.
    pub fn propose(&mut self, command: zone::Command) {
        let envelope = zone::Envelope::new(context::Context::wall_ms(), command);
        self.propose_envelope(envelope, responder::Responder::Nobody);
    }

    /// Takes a command that somebody waits for.
    pub fn propose_envelope(&mut self, envelope: zone::Envelope, responder: responder::Responder) {
        self.batch.push(envelope);
        self.responders.push(responder);
    }

    /// Tells whether commands wait to be proposed.
    pub const fn has_batch(&self) -> bool {
        !self.batch.is_empty()
    }

    /// Proposes what was taken.
    pub fn flush(&mut self, context: &context::Context) {
        if self.batch.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        let responders = std::mem::take(&mut self.responders);
        self.member
            .propose_batch(context, &batch, responders, &mut self.events);
    }

    /// Feeds an input to the replica.
    pub fn step(&mut self, context: &context::Context, input: replica::Input) {
        self.member.step(context, input, &mut self.events);
    }

    /// Handles the result of a write.
    pub fn persisted(&mut self, context: &context::Context, done: &disk::Done) {
        self.member.persisted(context, done, &mut self.events);
    }

    /// Changes the members, on the leader.
    pub fn change(
        &mut self,
        context: &context::Context,
        change: membership::Change,
        responder: responder::Responder,
    ) {
        self.member.change(context, change, responder, &mut self.events);
    }

    /// Applies what was committed and returns it.
    pub fn apply(&mut self, context: &context::Context) -> Vec<Applied> {
        let mut applied = Vec::new();
        for event in std::mem::take(&mut self.events) {
            match event {
                member::Event::Apply { entry, responders } => {
                    self.apply_entry(context, &entry, responders, &mut applied);
                }
                member::Event::Install(snapshot) => {
                    if let Err(error) = self.state.install(&snapshot.data) {
                        log::warn!("zone: A snapshot was not installed: {error}");
                    }
                }
            }
        }
        let state = &self.state;
        self.member.compact(context, &|| state.encode(), &mut self.events);
        applied
    }

    fn apply_entry(
        &mut self,
        context: &context::Context,
        entry: &entries::Entry,
        responders: Vec<responder::Responder>,
        applied: &mut Vec<Applied>,
    ) {
        let entries::Payload::Command(data) = &entry.payload else {
            return;
        };
        let envelopes = match envelope::decode::<zone::Command>(data) {
            Ok(envelopes) => envelopes,
            Err(error) => {
                // Every replica skips the same entry, so the states stay equal.
                log::error!("zone: Entry {} was not decoded: {error}", entry.position.index);
                return;
            }
        };
        let outcomes = self.state.apply_all(entry.position.index, &envelopes);
        for (responder, outcome) in responders.into_iter().zip(outcomes.iter().cloned()) {
            responder.answer(context, wire::Reply::Zone(outcome));
        }
        applied.extend(
            envelopes
                .into_iter()
                .map(|envelope| envelope.command)
                .zip(outcomes),
        );
    }
}
