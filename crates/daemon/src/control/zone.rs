//! A zone group in this process: its replica and its state.

use std::time::Duration;

use bronzespoke_consensus::{log as entries, membership, replica};
use bronzespoke_control::{batch, envelope, zone};
use bronzespoke_model::{id, job};

use crate::{
    control::{Inbox, Message, context, member, responder, snapshots},
    disk,
    peer::wire,
};

/// Replica and state of a zone group.
#[derive(Debug)]
pub struct Zone {
    member: member::Member,
    state: zone::State,
    batch: member::Batch<zone::Command>,
    events: Vec<member::Event>,
    inbox: Inbox,
    /// Whether a snapshot of the state is being encoded.
    encoding: bool,
    /// Whether a received snapshot is being decoded; later events wait until it is installed.
    installing: bool,
    /// When a scheduler may run again after one of its commands was refused.
    resume_at: Duration,
}

/// Pause of a scheduler after one of its commands was refused, until the log is likely to accept commands again.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// A command that was applied, with its outcome.
pub type Applied = (zone::Command, zone::Outcome);

impl Zone {
    /// Returns the group of an availability zone, with an empty state and an opened replica.
    pub fn new(zone: id::AvailabilityZoneId, member: member::Member, inbox: Inbox) -> Self {
        Self {
            member,
            state: zone::State::new(zone),
            batch: member::Batch::default(),
            events: Vec::new(),
            inbox,
            encoding: false,
            installing: false,
            resume_at: Duration::ZERO,
        }
    }

    /// Returns whether a scheduler may run here. After one of its commands was refused it may not, because its view
    /// differs from the state and it has to be rebuilt.
    pub fn may_schedule(&mut self, now: Duration) -> bool {
        if self.member.take_refused() {
            self.resume_at = now + REFUSED_PAUSE;
        }
        now >= self.resume_at && self.leads(now)
    }

    /// Discards queued commands without a receiver, and defers leading until those in the log are applied, so that no
    /// command of a dropped scheduler changes the state after its successor was built from it.
    pub fn discard_proposals(&mut self) {
        self.batch
            .retain(|responder| !matches!(responder, responder::Responder::Discard));
        self.member.defer_leading();
    }

    /// Closes the replica; queued commands that were not proposed are rejected.
    pub fn close(self, context: &context::Context) {
        let mut batch = self.batch;
        for responder in batch.take(context.now()).1 {
            responder.reply(context, wire::Reply::NotLeader);
        }
        for event in self.events {
            if let member::Event::Apply { responders, .. } = event {
                for responder in responders {
                    responder.reply(context, wire::Reply::Unknown);
                }
            }
        }
        self.member.close(context);
    }

    /// Returns the applied state.
    pub const fn state(&self) -> &zone::State {
        &self.state
    }

    /// Returns the replica.
    pub const fn member(&self) -> &member::Member {
        &self.member
    }

    /// Returns whether this process leads the group.
    pub fn leads(&self, now: Duration) -> bool {
        !self.installing && self.member.leads(now)
    }

    /// Queues a command without a receiver.
    pub fn propose(&mut self, now: Duration, command: zone::Command) {
        let urgency = self.urgency(&command);
        let envelope = zone::Envelope::new(context::Context::wall_ms(), command);
        self.batch
            .push(now, envelope, responder::Responder::Discard, urgency);
    }

    /// Queues a command whose outcome is sent to `responder`.
    pub fn propose_envelope(
        &mut self,
        now: Duration,
        envelope: zone::Envelope,
        responder: responder::Responder,
    ) {
        self.batch.push(now, envelope, responder, batch::Urgency::Prompt);
    }

    /// Returns the urgency of a command: commands for urgent jobs are not delayed for batching.
    fn urgency(&self, command: &zone::Command) -> batch::Urgency {
        let urgent = |job: id::JobId| {
            let job = self.state.job(job);
            job.is_some_and(|job| job.spec.priority == job::Priority::Urgent)
        };
        let prompt = match command {
            zone::Command::Start(starts) => starts.iter().any(|start| urgent(start.task.job)),
            zone::Command::End(ends) => ends.iter().any(|end| urgent(end.task.job)),
            zone::Command::Finish { job, .. } => urgent(*job),
            _ => false,
        };
        if prompt {
            batch::Urgency::Prompt
        } else {
            batch::Urgency::Routine
        }
    }

    /// Returns the time at which the queued commands have to be proposed.
    pub const fn due(&self) -> Option<Duration> {
        self.batch.due()
    }

    /// Proposes the queued commands.
    pub fn flush(&mut self, context: &context::Context) {
        self.member
            .propose_batch(context, &mut self.batch, &mut self.events);
    }

    /// Passes an input to the replica.
    pub fn step(&mut self, context: &context::Context, input: replica::Input) {
        self.member.step(context, input, &mut self.events);
    }

    /// Handles the result of a write.
    pub fn persisted(&mut self, context: &context::Context, done: &disk::Done) {
        self.member.persisted(context, done, &mut self.events);
    }

    /// Changes the membership of the group, on its leader.
    pub fn change(
        &mut self,
        context: &context::Context,
        change: membership::Change,
        responder: responder::Responder,
    ) {
        self.member.change(context, change, responder, &mut self.events);
    }

    /// Applies committed entries and returns their commands. Entries after a received snapshot wait until it is
    /// installed.
    pub fn apply(&mut self, context: &context::Context) -> Vec<Applied> {
        let mut applied = Vec::new();
        if self.installing {
            return applied;
        }
        let mut events = std::mem::take(&mut self.events).into_iter();
        while let Some(event) = events.next() {
            match event {
                member::Event::Apply { entry, responders } => {
                    self.apply_entry(context, &entry, responders, &mut applied);
                }
                member::Event::Install(snapshot) => {
                    self.installing = true;
                    self.events = events.collect();
                    let (id, number) = (self.state.zone(), self.member.number());
                    snapshots::offload(&self.inbox, move || {
                        let decoded = zone::State::decode(&snapshot.data).map(Box::new);
                        Message::ZoneSnapshot(id, number, snapshots::Done::Decoded(decoded))
                    });
                    return applied;
                }
            }
        }
        if self.member.is_snapshot_due() && !self.encoding {
            self.encoding = true;
            let (index, number) = (self.member.begin_snapshot(), self.member.number());
            let state = self.state.clone();
            snapshots::offload(&self.inbox, move || {
                let data = state.encode();
                let done = snapshots::Done::Encoded { index, data };
                Message::ZoneSnapshot(state.zone(), number, done)
            });
        }
        applied
    }

    /// Handles a snapshot that was encoded or decoded on another thread.
    pub fn snapshot_done(&mut self, context: &context::Context, done: snapshots::Done<zone::State>) {
        match done {
            snapshots::Done::Encoded { index, data } => {
                self.encoding = false;
                log::debug!("zone: Encoded a snapshot up to entry {index}.");
                self.member.compact(context, index, data, &mut self.events);
            }
            snapshots::Done::Decoded(decoded) => {
                self.installing = false;
                match decoded.and_then(|state| self.state.replace(*state)) {
                    Ok(previous) => {
                        log::info!("zone: Installed a snapshot up to entry {}.", self.state.applied());
                        snapshots::discard(previous);
                    }
                    Err(error) => log::warn!("zone: Failed to install a snapshot: {error}"),
                }
            }
        }
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
                // Every replica skips the same entry, so their states remain equal.
                log::error!("zone: Failed to decode entry {}: {error}", entry.position.index);
                return;
            }
        };
        let outcomes = self.state.apply_all(entry.position.index, &envelopes);
        for (responder, outcome) in responders.into_iter().zip(outcomes.iter().cloned()) {
            responder.reply(context, wire::Reply::Zone(outcome));
        }
        applied.extend(
            envelopes
                .into_iter()
                .map(|envelope| envelope.command)
                .zip(outcomes),
        );
    }
}
