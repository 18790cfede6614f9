//! Calls from the gateway: claims of request ids, jobs, targets and worker reports.

use std::{sync::Arc, time::Duration};

use bronzespoke_control::{request_id, zone};
use bronzespoke_gateway::control;
use bronzespoke_model::{id, worker};
use tokio::sync::oneshot;

use crate::{
    control::{Controller, Message, claims, context, requests, responder},
    peer::wire,
};

/// How long the outcome of a claim without a reply is requested; a grant that is never found out leaves the id in
/// progress.
const ABANDON_DEADLINE: Duration = Duration::from_mins(1);

impl Controller {
    /// Handles a call.
    pub(super) fn call(&mut self, call: control::Call) {
        match call {
            control::Call::Claim(claim, reply) => self.claim(&claim, reply),
            control::Call::Complete(_, number, completion, done) => {
                let done: claims::Done = Arc::new(done);
                self.complete(number, &completion, Some(&done));
            }
            control::Call::Submit(team, submission, spec, reply) => {
                self.submit(team, submission, spec, reply);
            }
            control::Call::Job(team, job, results, reply) => self.read_job(team, job, results, reply),
            control::Call::Cancel(team, job, reply) => self.cancel_job(team, job, reply),
            control::Call::Announce(announcement, reply) => {
                let result = self
                    .targets
                    .announce(&self.context, &mut self.gossip, announcement);
                self.targets_changed = true;
                drop(reply.send(result));
            }
            control::Call::Depart(target, incarnation, reply) => {
                self.targets
                    .depart(&self.context, &mut self.gossip, target, incarnation);
                self.targets_changed = true;
                drop(reply.send(Ok(())));
            }
            control::Call::Register(registration, reply) => self.register(registration, reply),
            control::Call::Report(report, reply) => self.report(report, reply),
            control::Call::Load(target, load) => self.publish_load(target, load),
            control::Call::Event(kind) => self.context.record(kind),
        }
    }

    fn publish_load(&mut self, target: id::TargetId, load: u32) {
        let now = self.context.now();
        let value = bronzespoke_gossip::Value::Load(load);
        if self
            .gossip
            .set(now, bronzespoke_gossip::Key::Load(target), value)
            .is_err()
        {
            log::debug!("targets: The load of target {target} is not published: the gossip table is full.");
        }
    }

    fn claim(&mut self, claim: &control::Claim, reply: oneshot::Sender<control::Claimed>) {
        let key = request_id::Key::new(claim.team, &claim.request);
        self.claim_key(key, claims::Waiter::Request(reply));
    }

    /// Claims a key at its owner zones, one after the other.
    pub(super) fn claim_key(&mut self, key: request_id::Key, waiter: claims::Waiter) {
        let zones = &self.root.view().zones;
        let Some(owners) = request_id::owners(key, zones, context::Context::wall_ms()) else {
            let message = String::from("no availability zone is known yet");
            self.deliver_claim(waiter, control::Claimed::NotRun(message));
            return;
        };
        let remaining = owners.second.into_iter().collect();
        let owner = owners.first;
        let command = 0;
        self.claim_at_owner(claims::Pending {
            key,
            remaining,
            owner,
            command,
            granted: Vec::new(),
            waiter,
        });
    }

    /// Delivers the outcome of a claim; a grant that nobody receives is released.
    fn deliver_claim(&mut self, waiter: claims::Waiter, claimed: control::Claimed) {
        let granted = match claimed {
            control::Claimed::Granted(number) => Some(number),
            _ => None,
        };
        match waiter {
            claims::Waiter::Request(reply) => {
                let abandoned = reply.send(claimed).is_err();
                if let Some(number) = granted.filter(|_| abandoned) {
                    self.complete(number, &control::Completion::NotRun, None);
                }
            }
            claims::Waiter::Submission(submission) => self.submission_claimed(*submission, claimed),
        }
    }

    fn claim_at_owner(&mut self, pending: claims::Pending) {
        let zone = pending.owner;
        // A VM without a data folder gets a new id at every start, so it has no earlier claims to end.
        if !self.context.me.durable || self.earlier_claims.has_ended(zone) {
            self.send_claim(pending);
            return;
        }
        if let Some(pending) = self.earlier_claims.wait(pending) {
            self.refuse_claim(pending, String::from("too many claims wait for the owner"));
        }
        self.end_earlier_claims(zone);
    }

    /// Ends the claims of earlier incarnations of this VM's process in a zone, unless that is done or in progress.
    pub(super) fn end_earlier_claims(&mut self, zone: id::AvailabilityZoneId) {
        let Some(id) = self.earlier_claims.begin(zone) else {
            return;
        };
        let command = zone::Command::HolderGone {
            holder: self.context.me.id,
            before: u64::MAX,
        };
        let mut envelope = zone::Envelope::new(context::Context::wall_ms(), command);
        envelope.id = Some(id);
        let inbox = self.inbox.clone();
        let then = Box::new(move |reply| {
            let ended = matches!(reply, wire::Reply::Zone(_));
            inbox.send(Message::EarlierClaimsEnded(zone, ended));
        });
        let request = wire::Request::Zone(envelope);
        self.dispatch(id::GroupId::Zone(zone), request, requests::DEADLINE, then);
    }

    /// Continues with the claims that waited until the claims of earlier incarnations were ended.
    pub(super) fn earlier_claims_ended(&mut self, zone: id::AvailabilityZoneId, ended: bool) {
        for pending in self.earlier_claims.answered(zone, ended) {
            if ended {
                self.send_claim(pending);
            } else {
                let reason = String::from("the owner of the request id did not answer");
                self.refuse_claim(pending, reason);
            }
        }
    }

    fn send_claim(&mut self, mut pending: claims::Pending) {
        pending.command = rand::random();
        let group = id::GroupId::Zone(pending.owner);
        let request = self.claim_command(&pending);
        let inbox = self.inbox.clone();
        let then = Box::new(move |reply| inbox.send(Message::Claimed(pending, reply)));
        self.dispatch(group, request, requests::DEADLINE, then);
    }

    fn claim_command(&self, pending: &claims::Pending) -> wire::Request {
        let command = zone::Command::Claim {
            key: pending.key,
            holder: self.context.me.id,
        };
        let mut envelope = zone::Envelope::new(context::Context::wall_ms(), command);
        envelope.id = Some(pending.command);
        wire::Request::Zone(envelope)
    }

    /// Finds out the outcome of a claim whose reply did not arrive in time, and releases it if it was granted.
    ///
    /// The command id identifies the same claim, so that the request id does not stay in progress without a holder.
    fn abandon(&mut self, pending: &claims::Pending) {
        let zone = pending.owner;
        let request = self.claim_command(pending);
        let inbox = self.inbox.clone();
        let then = Box::new(move |reply| {
            if let wire::Reply::Zone(zone::Outcome::Claim(zone::Claimed::Granted(number))) = reply {
                inbox.send(Message::Abandoned(zone, number));
            }
        });
        self.dispatch(id::GroupId::Zone(zone), request, ABANDON_DEADLINE, then);
    }

    /// Releases a claim whose caller is gone.
    pub(super) fn abandoned(&mut self, zone: id::AvailabilityZoneId, number: u64) {
        self.complete_at(zone, number, &control::Completion::NotRun, None);
    }

    /// Handles the reply of an owner to a claim.
    pub(super) fn claimed(&mut self, mut pending: claims::Pending, reply: wire::Reply) {
        let claimed = match reply {
            wire::Reply::Zone(zone::Outcome::Claim(claimed)) => claimed,
            wire::Reply::NotDone(reason) => return self.refuse_claim(pending, reason),
            _ => {
                self.abandon(&pending);
                let reason = String::from("the owner of the request id did not answer");
                return self.refuse_claim(pending, reason);
            }
        };
        match claimed {
            zone::Claimed::Granted(number) => {
                pending.granted.push((pending.owner, number));
                match pending.remaining.pop() {
                    Some(next) => {
                        pending.owner = next;
                        self.claim_at_owner(pending);
                    }
                    None => self.grant_claim(pending),
                }
            }
            zone::Claimed::InProgress => self.end_claim(pending, control::Claimed::InProgress),
            zone::Claimed::Answered(answer) => {
                self.end_claim(
                    pending,
                    control::Claimed::Answered(claims::stored_response(answer)),
                );
            }
            zone::Claimed::Unknown => self.end_claim(pending, control::Claimed::Unknown),
            zone::Claimed::Full => {
                let reason = String::from("the table of request ids is full");
                self.refuse_claim(pending, reason);
            }
        }
    }

    fn grant_claim(&mut self, pending: claims::Pending) {
        let number = self.claims.keep(pending.granted);
        self.deliver_claim(pending.waiter, control::Claimed::Granted(number));
    }

    fn refuse_claim(&mut self, pending: claims::Pending, reason: String) {
        self.end_claim(pending, control::Claimed::NotRun(reason));
    }

    /// Refuses a claim and releases what other owners granted; nothing was sent to a target yet.
    fn end_claim(&mut self, pending: claims::Pending, claimed: control::Claimed) {
        for (zone, number) in pending.granted {
            self.complete_at(zone, number, &control::Completion::NotRun, None);
        }
        self.deliver_claim(pending.waiter, claimed);
    }

    /// Records the end of a claim at its owners. `done` is dropped when all of them have recorded it, or after a
    /// time limit.
    pub(super) fn complete(
        &mut self,
        number: u64,
        completion: &control::Completion,
        done: Option<&claims::Done>,
    ) {
        for (zone, number) in self.claims.take(number) {
            self.complete_at(zone, number, completion, done.cloned());
        }
    }

    fn complete_at(
        &mut self,
        zone: id::AvailabilityZoneId,
        number: u64,
        completion: &control::Completion,
        done: Option<claims::Done>,
    ) {
        let completion = claims::completion(completion);
        let now = self.context.now();
        self.record_end(claims::End::new(now, (zone, number), completion, done));
    }

    fn record_end(&mut self, end: claims::End) {
        let group = id::GroupId::Zone(end.zone);
        let command = zone::Command::Complete {
            number: end.number,
            completion: end.completion.clone(),
        };
        let mut envelope = zone::Envelope::new(context::Context::wall_ms(), command);
        envelope.id = Some(end.command);
        let timeout = end.request_timeout(self.context.now());
        let inbox = self.inbox.clone();
        let then = Box::new(move |reply| {
            if !matches!(reply, wire::Reply::Zone(_)) {
                inbox.send(Message::Unrecorded(end));
            }
        });
        self.dispatch(group, wire::Request::Zone(envelope), timeout, then);
    }

    /// Queues the end of a claim for resending after its owner refused it or did not reply.
    pub(super) fn unrecorded(&mut self, end: claims::End) {
        self.ends.keep(self.context.now(), end);
    }

    /// Resends the ends of claims that are due.
    pub(super) fn record_ends(&mut self) {
        for end in self.ends.take_due(self.context.now()) {
            self.record_end(end);
        }
    }

    fn read_job(
        &mut self,
        team: id::TeamId,
        job: id::JobId,
        results: bool,
        reply: control::Reply<control::JobStatus>,
    ) {
        let request = wire::Request::Job {
            team: Some(team),
            job,
            results,
        };
        self.request_job(job, request, reply);
    }

    fn cancel_job(&mut self, team: id::TeamId, job: id::JobId, reply: control::Reply<control::JobStatus>) {
        let request = wire::Request::Cancel {
            team: Some(team),
            job,
        };
        self.request_job(job, request, reply);
    }

    fn request_job(
        &mut self,
        job: id::JobId,
        request: wire::Request,
        reply: control::Reply<control::JobStatus>,
    ) {
        let group = id::GroupId::Zone(id::job_zone(job));
        let then: responder::Callback = Box::new(move |response| {
            let result = match response {
                wire::Reply::Job(Some(job)) => Ok(status(job)),
                wire::Reply::Job(None) => Err(control::Refusal::NotFound),
                other => Err(refusal(other)),
            };
            drop(reply.send(result));
        });
        if !self.root.view().zones.contains_key(&id::job_zone(job)) {
            then(wire::Reply::Job(None));
            return;
        }
        self.dispatch(group, request, requests::DEADLINE, then);
    }

    fn register(&mut self, registration: worker::Registration, reply: control::Reply<()>) {
        let command = zone::Command::Register(registration);
        let then = Box::new(move |response| {
            let result = match response {
                wire::Reply::Zone(zone::Outcome::Refused(zone::Refusal::StaleIncarnation)) => {
                    Err(control::Refusal::Invalid {
                        field: String::from("incarnation"),
                        message: format!("{} is a former life of the worker", registration.incarnation),
                    })
                }
                wire::Reply::Zone(zone::Outcome::Done) => Ok(()),
                other => Err(refusal(other)),
            };
            drop(reply.send(result));
        });
        let group = id::GroupId::Zone(self.context.me.place.zone);
        self.command_zone(group, command, requests::DEADLINE, then);
    }

    fn report(&mut self, report: worker::Report, reply: control::Reply<worker::Reply>) {
        let own = self.context.me.place.zone;
        let now = self.context.now();
        if let (Some(scheduling), Some(zone)) = (&mut self.scheduling, self.zones.get_mut(&own))
            && zone.leads(now)
        {
            scheduling.report(&self.context, zone, report, reply);
            return;
        }
        let leader = self
            .leader(id::GroupId::Zone(own))
            .filter(|leader| *leader != self.context.me.id);
        let address = leader
            .and_then(|leader| self.context.peers.get(&leader))
            // A witness that leads temporarily accepts no worker reports.
            .filter(|peer| peer.vm.place.zone == own)
            .map(|peer| peer.vm.http);
        let refusal = match address {
            Some(address) => control::Refusal::Redirect(address),
            None => control::Refusal::Unavailable(String::from("the zone has no leader now")),
        };
        drop(reply.send(Err(refusal)));
    }

    /// Sends a zone command to the leader of its group to be committed.
    pub(super) fn command_zone(
        &mut self,
        group: id::GroupId,
        command: zone::Command,
        deadline: Duration,
        then: responder::Callback,
    ) {
        let mut envelope = zone::Envelope::new(context::Context::wall_ms(), command);
        envelope.id = Some(rand::random());
        self.dispatch(group, wire::Request::Zone(envelope), deadline, then);
    }
}

/// Converts an unexpected reply into a refusal for the caller.
pub(super) fn refusal(reply: wire::Reply) -> control::Refusal {
    match reply {
        wire::Reply::NotDone(reason) => control::Refusal::Unavailable(reason),
        wire::Reply::NotLeader => control::Refusal::Unavailable(String::from("the leader is changing")),
        wire::Reply::Zone(zone::Outcome::Refused(refusal)) => {
            control::Refusal::Unavailable(format!("refused: {refusal:?}"))
        }
        _ => control::Refusal::Unknown(String::from("the leader did not answer in time")),
    }
}

fn status(job: wire::Job) -> control::JobStatus {
    control::JobStatus {
        job: job.job,
        team: job.team,
        state: job.state,
        waiting: job.waiting,
        running: job.running,
        succeeded: job.succeeded,
        results: job.results,
    }
}
