//! The scheduler of a zone, on the leader of its group.
//!
//! The scheduler only proposes starts and ends; they take effect when they are committed in the log of the zone. When
//! leadership is lost, scheduler and sessions are dropped, and the next leader rebuilds them from the committed state,
//! over several ticks. Until that is done it refuses worker reports, because it could not match them with known runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bronzespoke_control::{escrow, root, zone as state};
use bronzespoke_gateway::control;
use bronzespoke_model::{config, event, id, job, resource, task, team, worker};
use bronzespoke_schedule::{self as schedule, message};

use crate::control::{context, restoration, session, zone};

/// The scheduler and the sessions of the workers.
#[derive(Debug)]
pub struct Scheduling {
    scheduler: schedule::Scheduler,
    sessions: session::Sessions,
    /// Restoration of the committed state, until it is complete.
    restoration: Option<restoration::Restoration>,
    outputs: Vec<schedule::Output>,
    touched: BTreeSet<id::WorkerId>,
    drained: BTreeSet<id::WorkerId>,
    teams: BTreeMap<id::TeamId, (team::Quota, resource::Amount)>,
    config: config::Config,
}

impl Scheduling {
    /// Returns a scheduler that begins to restore the committed state.
    pub fn restore(context: &context::Context, seed: u64, zone: &mut zone::Zone, view: &root::View) -> Self {
        let now = context.now();
        let config = schedule::Config {
            seed,
            ..schedule::Config::default()
        };
        let mut scheduling = Self {
            scheduler: schedule::Scheduler::new(config, now),
            sessions: session::Sessions::default(),
            restoration: Some(restoration::Restoration::new(zone.state())),
            outputs: Vec::new(),
            touched: BTreeSet::new(),
            drained: BTreeSet::new(),
            teams: BTreeMap::new(),
            config: config::Config::default(),
        };
        // Teams have to be known before their jobs.
        scheduling.follow_teams(context, zone, view);
        scheduling.continue_restoration(context, zone, view);
        scheduling
    }

    /// Passes the next part of the committed state to the scheduler.
    fn continue_restoration(&mut self, context: &context::Context, zone: &mut zone::Zone, view: &root::View) {
        let Some(restoration) = &mut self.restoration else {
            return;
        };
        let inputs = restoration.take(zone.state());
        let done = matches!(inputs.last(), Some(message::Restore::Done { .. }));
        for input in inputs {
            self.feed(context, zone, schedule::Input::Restore(input));
        }
        if !done {
            return;
        }
        self.restoration = None;
        // Register workers without runs, and new incarnations of workers whose earlier incarnation still has runs, so
        // that the scheduler waits for its lease. The scheduler ignores registrations that it already knows.
        for registration in restoration::registrations(zone.state()) {
            self.feed(context, zone, schedule::Input::Register(registration));
        }
        // Drains have to follow the workers, because the scheduler ignores drains of unknown workers.
        self.follow_view(context, zone, view);
    }

    /// Passes one input to the scheduler and processes its outputs.
    pub fn feed(&mut self, context: &context::Context, zone: &mut zone::Zone, input: schedule::Input) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.scheduler.step(context.now(), input, &mut outputs);
        self.process_outputs(context, zone, &mut outputs);
        self.outputs = outputs;
    }

    fn process_outputs(
        &mut self,
        context: &context::Context,
        zone: &mut zone::Zone,
        outputs: &mut Vec<schedule::Output>,
    ) {
        let mut starts = Vec::new();
        let mut ends = Vec::new();
        for output in outputs.drain(..) {
            match output {
                schedule::Output::Start {
                    task,
                    worker,
                    token,
                    granted,
                } => {
                    propose_ends(context, zone, &mut ends);
                    self.sessions.grant(token, granted);
                    starts.push(state::Start { task, worker, token });
                }
                schedule::Output::Ended {
                    task,
                    token,
                    outcome,
                    attempts,
                    ..
                } => {
                    propose_starts(context, zone, &mut starts);
                    // A result may be long, so it gets a command of its own.
                    let has_result = matches!(outcome, task::Outcome::Succeeded(_));
                    if has_result {
                        propose_ends(context, zone, &mut ends);
                    }
                    ends.push(state::End { task, token, outcome });
                    let counted = attempts > zone.state().attempts(task);
                    if has_result || counted {
                        propose_ends(context, zone, &mut ends);
                    }
                    if counted {
                        zone.propose(context.now(), state::Command::Attempts { task, attempts });
                    }
                }
                // Flush first, so that ends, later starts of the same task and the end of its job keep their order.
                output => {
                    propose_starts(context, zone, &mut starts);
                    propose_ends(context, zone, &mut ends);
                    self.process_output(context, zone, &output);
                }
            }
        }
        propose_starts(context, zone, &mut starts);
        propose_ends(context, zone, &mut ends);
    }

    fn process_output(
        &mut self,
        context: &context::Context,
        zone: &mut zone::Zone,
        output: &schedule::Output,
    ) {
        match *output {
            // Collected and proposed by the caller.
            schedule::Output::Start { .. } | schedule::Output::Ended { .. } => {}
            schedule::Output::Stop {
                task,
                worker,
                token,
                reason,
            } => {
                record_preemption(context, reason, task, worker);
                self.direct(worker, token, task::Directive::Stop { task, token });
            }
            schedule::Output::Checkpoint {
                task,
                worker,
                token,
                reason,
            } => {
                record_preemption(context, reason, task, worker);
                self.direct(worker, token, task::Directive::Checkpoint { task, token });
            }
            schedule::Output::Throttle {
                task,
                worker,
                token,
                share_milli,
            } => {
                self.direct(
                    worker,
                    token,
                    task::Directive::Throttle {
                        task,
                        token,
                        share_milli,
                    },
                );
            }
            schedule::Output::Impossible { job, reason, refused } => {
                log::info!("schedule: Job {job:x} cannot run at present: {reason:?}.");
                if refused {
                    let state = job::State::Impossible(reason);
                    zone.propose(context.now(), state::Command::Finish { job, state });
                }
            }
            schedule::Output::JobEnded { job, outcome } => {
                zone.propose(context.now(), state::Command::Finish { job, state: outcome });
            }
            schedule::Output::WorkerLost { worker } => {
                log::warn!("schedule: Worker {worker} is lost.");
                context.record(event::Kind::WorkerLost { worker });
                if let Some(known) = zone.state().worker(worker) {
                    let incarnation = known.registration.incarnation;
                    zone.propose(context.now(), state::Command::WorkerGone { worker, incarnation });
                }
            }
            schedule::Output::WorkerHealth { worker, max_tasks } => match max_tasks {
                Some(tasks) => log::warn!("schedule: Worker {worker} is limited to {tasks} tasks."),
                None => log::info!("schedule: Worker {worker} is no longer limited."),
            },
            schedule::Output::Recovered { duration } => {
                log::info!(
                    "schedule: All workers confirmed their runs after {} ms.",
                    duration.as_millis()
                );
            }
        }
    }

    fn direct(&mut self, worker: id::WorkerId, token: id::Token, directive: task::Directive) {
        self.sessions.direct(worker, token, directive);
        self.touched.insert(worker);
    }

    /// Handles committed commands.
    pub fn applied(
        &mut self,
        context: &context::Context,
        zone: &mut zone::Zone,
        view: &root::View,
        applied: Vec<zone::Applied>,
    ) {
        for (command, outcome) in applied {
            match (command, outcome) {
                (state::Command::Start(starts), state::Outcome::Started(refused)) => {
                    self.started(context, zone, &starts, &refused);
                }
                (state::Command::End(ends), state::Outcome::Ended { succeeded, .. }) => {
                    self.ended(context, zone, &ends, &succeeded);
                }
                (state::Command::Submit { .. }, state::Outcome::Job(job)) => {
                    self.submitted(context, zone, job);
                }
                (state::Command::Cancel { job }, state::Outcome::Done) => {
                    self.feed(context, zone, schedule::Input::Cancel { job });
                }
                (state::Command::Register(registration), state::Outcome::Done) => {
                    context.record(event::Kind::WorkerRegistered {
                        worker: registration.worker,
                    });
                    // During a restoration, its last step registers all workers.
                    if self.restoration.is_none() {
                        self.feed(context, zone, schedule::Input::Register(registration));
                    }
                }
                // A success was already recorded with the end of the last task.
                (state::Command::Finish { job, state }, state::Outcome::Done)
                    if state != job::State::Succeeded =>
                {
                    record_job_end(context, zone, job, state);
                }
                (state::Command::WorkerGone { worker, .. }, state::Outcome::Done) => {
                    self.sessions.close(worker);
                }
                (state::Command::Granted(_) | state::Command::Release(_), _) => {
                    self.follow_view(context, zone, view);
                }
                _ => {}
            }
        }
    }

    fn started(
        &mut self,
        context: &context::Context,
        zone: &mut zone::Zone,
        starts: &[state::Start],
        refused: &[(u32, state::Refusal)],
    ) {
        for (number, start) in starts.iter().enumerate() {
            let state::Start { task, worker, token } = *start;
            let refusal = refused.iter().find(|(refused, _)| *refused as usize == number);
            if let Some((_, refusal)) = refusal {
                log::warn!(
                    "schedule: The start of task {} of job {:x} was refused: {refusal:?}.",
                    task.index,
                    task.job
                );
                let outcome = task::Outcome::Stopped;
                self.feed(context, zone, schedule::Input::Ended { task, token, outcome });
                continue;
            }
            context.record(event::Kind::TaskStarted { task, worker, token });
            self.touched.insert(worker);
        }
    }

    fn ended(
        &mut self,
        context: &context::Context,
        zone: &zone::Zone,
        ends: &[state::End],
        jobs: &[id::JobId],
    ) {
        for end in ends {
            self.sessions.forget(end.token);
            let succeeded = matches!(end.outcome, task::Outcome::Succeeded(_));
            context.record(event::Kind::TaskEnded {
                task: end.task,
                token: end.token,
                succeeded,
            });
        }
        for job in jobs {
            record_job_end(context, zone, *job, job::State::Succeeded);
        }
    }

    fn submitted(&mut self, context: &context::Context, zone: &mut zone::Zone, job: id::JobId) {
        let Some(record) = zone.state().job(job).filter(|record| !record.state.is_terminal()) else {
            return;
        };
        let (team, spec) = (record.team, record.spec.clone());
        context.record(event::Kind::JobAccepted { job, team });
        if let Some(restoration) = &mut self.restoration {
            restoration.add(job);
            return;
        }
        self.feed(context, zone, schedule::Input::Submit { job, team, spec });
    }

    /// Passes changed quotas, allotments, drains and rates to the scheduler.
    pub fn follow_view(&mut self, context: &context::Context, zone: &mut zone::Zone, view: &root::View) {
        self.follow_teams(context, zone, view);
        if self.restoration.is_some() {
            return;
        }
        self.follow_drains(context, zone, view);
        if self.config != view.config {
            self.config = view.config.clone();
            let input = schedule::Input::Rates {
                preemptions_per_second: self.config.preemptions_per_second,
                recovery_starts_per_second: self.config.recovery_starts_per_second,
            };
            self.feed(context, zone, input);
        }
    }

    fn follow_teams(&mut self, context: &context::Context, zone: &mut zone::Zone, view: &root::View) {
        for team in view.teams.values() {
            let allotment = usable_allotment(zone, view, team);
            let current = (team.quota, allotment);
            if self.teams.insert(team.id, current) != Some(current) {
                let input = schedule::Input::Team {
                    team: team.id,
                    quota: team.quota,
                    allotment,
                };
                self.feed(context, zone, input);
            }
        }
    }

    fn follow_drains(&mut self, context: &context::Context, zone: &mut zone::Zone, view: &root::View) {
        let drained: BTreeSet<id::WorkerId> = view
            .drains
            .iter()
            .filter_map(|subject| match subject {
                root::Subject::Worker(worker) => Some(*worker),
                root::Subject::Target(_) | root::Subject::Vm(_) => None,
            })
            .filter(|worker| zone.state().worker(*worker).is_some())
            .collect();
        let changed: Vec<_> = drained.symmetric_difference(&self.drained).copied().collect();
        for worker in changed {
            let on = drained.contains(&worker);
            self.feed(context, zone, schedule::Input::Drain { worker, on });
        }
        self.drained = drained;
    }

    /// Handles the report of a worker.
    pub fn report(
        &mut self,
        context: &context::Context,
        zone: &mut zone::Zone,
        report: worker::Report,
        reply: control::Reply<worker::Reply>,
    ) {
        let known = zone
            .state()
            .worker(report.worker)
            .is_some_and(|known| !known.gone && known.registration.incarnation == report.incarnation);
        if !known {
            drop(reply.send(Err(control::Refusal::NotFound)));
            return;
        }
        if self.restoration.is_some() {
            let reason = String::from("the new leader of the zone takes over its state");
            drop(reply.send(Err(control::Refusal::Unavailable(reason))));
            return;
        }
        let worker = report.worker;
        if let Some(report) = self.sessions.report(context.now(), report, reply) {
            self.feed(context, zone, schedule::Input::Report(report));
        }
        self.touched.insert(worker);
    }

    /// Handles timers, and continues the restoration.
    pub fn tick(&mut self, context: &context::Context, zone: &mut zone::Zone, view: &root::View) {
        if self.restoration.is_some() {
            self.continue_restoration(context, zone, view);
        } else if self.scheduler.next_wake() <= context.now() {
            self.feed(context, zone, schedule::Input::Tick);
        }
    }

    /// Answers held reports of workers with new directives, and reports that have been held long enough.
    pub fn respond(&mut self, now: Duration, zone: &zone::Zone) {
        let scheduler = &self.scheduler;
        let may_start = |worker, token| scheduler.may_start(worker, token);
        for worker in std::mem::take(&mut self.touched) {
            self.sessions.respond(now, worker, zone.state(), &may_start);
        }
        self.sessions.respond_due(now, zone.state(), &may_start);
    }

    /// Returns the time at which the next tick is due.
    pub fn next_wake(&self) -> Duration {
        if self.restoration.is_some() {
            return Duration::ZERO;
        }
        self.scheduler.next_wake()
    }

    /// Returns the scheduler, for reads.
    pub const fn scheduler(&self) -> &schedule::Scheduler {
        &self.scheduler
    }
}

/// Returns what the tasks of a team may use in this zone: the allotment that the zone holds, capped at its target while
/// all allotments together exceed a lowered limit. Targets that merely shift between zones stop no running task.
fn usable_allotment(zone: &zone::Zone, view: &root::View, team: &team::Team) -> resource::Amount {
    let allotment = zone.state().holdings().get(team.id).allotment();
    let allotments = view.allotments.get(&team.id);
    let outstanding = allotments.into_iter().flat_map(|zones| zones.values());
    let all = outstanding.fold(escrow::Total::ZERO, |all, zone| {
        all.saturating_add(&zone.outstanding())
    });
    if all.fits(&team.quota.limit.into()) {
        return allotment.amount();
    }
    let target = view
        .allotment(team.id, zone.state().zone())
        .unwrap_or_default()
        .target;
    allotment.min(&target.into()).amount()
}

fn propose_starts(context: &context::Context, zone: &mut zone::Zone, starts: &mut Vec<state::Start>) {
    if !starts.is_empty() {
        zone.propose(context.now(), state::Command::Start(std::mem::take(starts)));
    }
}

fn propose_ends(context: &context::Context, zone: &mut zone::Zone, ends: &mut Vec<state::End>) {
    if !ends.is_empty() {
        zone.propose(context.now(), state::Command::End(std::mem::take(ends)));
    }
}

fn record_preemption(
    context: &context::Context,
    reason: message::Reason,
    task: task::Ref,
    worker: id::WorkerId,
) {
    if reason == message::Reason::Preempted {
        context.record(event::Kind::TaskPreempted { task, worker });
    }
}

fn record_job_end(context: &context::Context, zone: &zone::Zone, job: id::JobId, state: job::State) {
    let team = zone.state().job(job).map_or(0, |record| record.team);
    context.record(event::Kind::JobEnded { job, team, state });
}
