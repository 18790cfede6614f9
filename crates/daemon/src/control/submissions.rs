//! Submissions of jobs: choice of the home zone, and at most one job for each submission id.
//!
//! A submission without an id goes to the nearest zone in which it fits. One with an id first claims the id at its
//! owner zone, as a non-repeatable request does, so that a resend through any VM finds the first submission, whichever
//! zone accepted the job.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bronzespoke_control::{request_id, zone};
use bronzespoke_gateway::control;
use bronzespoke_gossip::{Key, Value};
use bronzespoke_model::{id, job, vm};
use bytes::Bytes;

use crate::{
    control::{Controller, Message, calls, claims, context, requests, search},
    peer::wire,
};

/// Prefix that separates submission ids from request ids of the same team.
const KEY_PREFIX: &str = "job ";

/// A submission in progress.
#[derive(Debug)]
pub struct Submission {
    team: id::TeamId,
    /// Key of the submission id, if the caller supplied one.
    key: Option<request_id::Key>,
    /// Number of the claim on the key.
    claim: Option<u64>,
    spec: job::Spec,
    /// Zones that have not been tried, the next one last.
    zones: Vec<id::AvailabilityZoneId>,
    reply: control::Reply<id::JobId>,
}

/// Reply to a submission, sent when it is dropped.
#[derive(Debug)]
struct PendingReply(Option<(control::Reply<id::JobId>, Result<id::JobId, control::Refusal>)>);

impl Drop for PendingReply {
    fn drop(&mut self) {
        if let Some((reply, result)) = self.0.take() {
            // The caller may have disconnected; the job is accepted regardless.
            drop(reply.send(result));
        }
    }
}

impl Controller {
    /// Handles a submission from the gateway.
    pub(super) fn submit(
        &mut self,
        team: id::TeamId,
        submission: Option<String>,
        spec: job::Spec,
        reply: control::Reply<id::JobId>,
    ) {
        if let Err(refusal) = self.check_spec(team, &spec) {
            drop(reply.send(Err(refusal)));
            return;
        }
        let key = submission.map(|text| request_id::Key::new(team, &format!("{KEY_PREFIX}{text}")));
        let zones = self.home_zones(&spec);
        let submission = Submission {
            team,
            key,
            claim: None,
            spec,
            zones,
            reply,
        };
        match key {
            Some(key) => self.claim_key(key, claims::Waiter::Submission(Box::new(submission))),
            None => self.try_next_zone(submission),
        }
    }

    /// Refuses a job that exceeds the upper limit of the team, whatever workers exist.
    fn check_spec(&self, team: id::TeamId, spec: &job::Spec) -> Result<(), control::Refusal> {
        let Some(team) = self.root.view().teams.get(&team) else {
            return Err(control::Refusal::NotFound);
        };
        let concurrent = if spec.kind == job::Kind::Gang {
            u64::from(spec.tasks)
        } else {
            1
        };
        let limit = &team.quota.limit;
        let within = |size: u32, limit: u32| u64::from(size) * concurrent <= u64::from(limit);
        let fits = within(spec.size.cpu_milli, limit.cpu_milli)
            && within(spec.size.memory_mib, limit.memory_mib)
            && within(spec.size.accelerators, limit.accelerators);
        if fits {
            Ok(())
        } else {
            Err(control::Refusal::Impossible(job::Impossible::OverTeamLimit))
        }
    }

    /// Handles the outcome of the claim on a submission id.
    pub(super) fn submission_claimed(&mut self, mut submission: Submission, claimed: control::Claimed) {
        let refusal = match claimed {
            control::Claimed::Granted(number) => {
                submission.claim = Some(number);
                self.try_next_zone(submission);
                return;
            }
            control::Claimed::Answered(answer) => match parse(&answer.body) {
                Some(job) => {
                    drop(submission.reply.send(Ok(job)));
                    return;
                }
                None => return self.find_submission(submission),
            },
            // The process that held the claim has failed; its job may be in any zone, or in none.
            control::Claimed::Unknown => return self.find_submission(submission),
            control::Claimed::InProgress => {
                control::Refusal::Unknown(String::from("the first submission with this id is in progress"))
            }
            control::Claimed::NotRun(reason) => control::Refusal::Unavailable(reason),
        };
        drop(submission.reply.send(Err(refusal)));
    }

    /// Searches all zones for the job of a submission whose first attempt was lost.
    fn find_submission(&mut self, submission: Submission) {
        let zones: Vec<_> = self.root.state().open_zones().collect();
        let Some(key) = submission.key else {
            return;
        };
        let search = search::Search::new(zones.len());
        let search = Arc::new(Mutex::new((search, Some(submission))));
        for zone in zones {
            let (search, inbox) = (Arc::clone(&search), self.inbox.clone());
            let then = Box::new(move |reply| {
                let mut search = search.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(found) = search.0.add(&reply)
                    && let Some(submission) = search.1.take()
                {
                    inbox.send(Message::Found(submission, found));
                }
            });
            let request = wire::Request::Submitted(key);
            self.dispatch(id::GroupId::Zone(zone), request, requests::DEADLINE, then);
        }
    }

    /// Handles the outcome of the search for a submission.
    ///
    /// If all zones replied and none has the job, the first attempt was lost before it reached a zone. Every resend
    /// then goes to the zone that owns the id, where the key ensures a single job.
    pub(super) fn found_submission(&mut self, mut submission: Submission, found: search::Found) {
        match found {
            search::Found::At(job) => drop(submission.reply.send(Ok(job))),
            search::Found::Unreachable => {
                let reason = String::from("the first submission with this id may have been accepted");
                drop(submission.reply.send(Err(control::Refusal::Unknown(reason))));
            }
            search::Found::Nowhere => {
                let zones = &self.root.view().zones;
                let owners = submission
                    .key
                    .and_then(|key| request_id::owners(key, zones, context::Context::wall_ms()));
                submission.zones = owners.into_iter().map(|owners| owners.first).collect();
                self.try_next_zone(submission);
            }
        }
    }

    /// Submits to the next zone, or refuses the submission if no zone is left.
    fn try_next_zone(&mut self, mut submission: Submission) {
        let Some(zone) = submission.zones.pop() else {
            let impossible = job::Impossible::LargerThanAnyWorker;
            self.end_submission(submission, Err(control::Refusal::Impossible(impossible)));
            return;
        };
        let command = zone::Command::Submit {
            team: submission.team,
            submission: submission.key,
            spec: submission.spec.clone(),
        };
        let inbox = self.inbox.clone();
        let then = Box::new(move |reply| inbox.send(Message::Submitted(submission, reply)));
        self.command_zone(id::GroupId::Zone(zone), command, requests::DEADLINE, then);
    }

    /// Handles the reply of a zone to a submission.
    pub(super) fn submitted(&mut self, submission: Submission, reply: wire::Reply) {
        let more = !submission.zones.is_empty();
        match reply {
            wire::Reply::Zone(zone::Outcome::Job(job)) => self.end_submission(submission, Ok(job)),
            // The zone did nothing, so the next zone may accept the job.
            wire::Reply::Impossible(_) | wire::Reply::NotDone(_) | wire::Reply::NotLeader if more => {
                self.try_next_zone(submission);
            }
            wire::Reply::Impossible(reason) => {
                self.end_submission(submission, Err(control::Refusal::Impossible(reason)));
            }
            other => self.end_submission(submission, Err(calls::refusal(other))),
        }
    }

    /// Records the end of a submission under its id, then replies to the caller: a resend after the reply must find the
    /// recorded end.
    fn end_submission(&mut self, submission: Submission, result: Result<id::JobId, control::Refusal>) {
        let completion = match &result {
            Ok(job) => control::Completion::Answered(control::StoredResponse {
                status: 202,
                content_type: String::from("text/plain"),
                body: Bytes::from(job.to_string()),
            }),
            Err(control::Refusal::Unknown(_)) => control::Completion::Unknown,
            Err(_) => control::Completion::NotRun,
        };
        let answer: claims::Done = Arc::new(PendingReply(Some((submission.reply, result))));
        if let Some(number) = submission.claim {
            self.complete(number, &completion, Some(&answer));
        }
    }

    /// Returns the zones in which a job may run, in reverse order of preference: the nearest zone with free capacity
    /// last.
    fn home_zones(&self, spec: &job::Spec) -> Vec<id::AvailabilityZoneId> {
        let now = self.context.now();
        let here = self.context.me.place;
        let view = self.root.view();
        let mut zones: Vec<_> = self
            .root
            .state()
            .open_zones()
            .map(|zone| {
                let region = view.zones.get(&zone).map_or(0, |record| record.region);
                let distance = here.distance(&vm::Place { region, zone });
                (!self.has_capacity(now, zone, spec), distance, zone)
            })
            .collect();
        zones.sort_unstable();
        zones.into_iter().rev().map(|(_, _, zone)| zone).collect()
    }

    fn has_capacity(&self, now: Duration, zone: id::AvailabilityZoneId, spec: &job::Spec) -> bool {
        let entry = self.gossip.get(Key::Capacity(zone), now);
        match entry.map(|entry| entry.value) {
            Some(Value::Capacity { free, workers, .. }) => *workers > 0 && spec.size.fits(free),
            _ => false,
        }
    }
}

fn parse(body: &[u8]) -> Option<id::JobId> {
    std::str::from_utf8(body).ok()?.parse().ok()
}

/// Returns why no worker of a zone can run a task of a job; `None` if one can, or if the zone has no workers yet.
pub(super) fn impossible(state: &zone::State, spec: &job::Spec) -> Option<job::Impossible> {
    let mut workers = state.workers().filter(|(_, worker)| !worker.gone).peekable();
    workers.peek()?;
    let needs_accelerator = spec.size.accelerators > 0;
    let mut kind_available = !needs_accelerator;
    for (_, worker) in workers {
        let capacity = &worker.registration.capacity;
        let kind_matches = !needs_accelerator || spec.accelerator == capacity.accelerator;
        kind_available |= kind_matches;
        if kind_matches && spec.size.fits(&capacity.amount) {
            return None;
        }
    }
    Some(if kind_available {
        job::Impossible::LargerThanAnyWorker
    } else {
        job::Impossible::NoSuchAccelerator
    })
}
