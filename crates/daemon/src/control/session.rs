//! Sessions of workers at the leader of their zone: reports, long polls and directives.
//!
//! Directives are derived from the committed state on every report, so that a lost answer loses nothing: a start is
//! repeated until the worker reports the run, a stop until the worker no longer does.
//!
//! A report may name only what changed since a report that was answered, its base. What runs at the base is kept beside
//! what runs at the newest report, so that a change is applied to exactly the state that the worker meant; a change of
//! anything else is refused, and the worker sends a full report. The rest of the daemon sees full reports only.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use bronzespoke_control::zone;
use bronzespoke_gateway::control;
use bronzespoke_model::{id, job, resource, task, worker};

/// Lease that an answered report renews, counted from when the worker sent it.
pub const LEASE: Duration = Duration::from_secs(10);
/// Shortest time between two answers to a worker when neither is urgent, so that starts and acknowledgements share one.
/// Workers keep ends back for as long; an urgent start does not wait, so that it has 1 s left of its 1.6 s after an end.
pub const COLLECT: Duration = Duration::from_millis(500);
/// Longest time that a report waits for directives. A third of the lease, so that two lost reports do no harm.
pub const HOLD: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Held {
    reply: control::Reply<worker::Reply>,
    since: Duration,
    /// When to answer, unless something urgent comes first; at most [`HOLD`] after `since`.
    due: Duration,
}

/// What a worker runs.
type Runs = BTreeMap<id::Token, worker::Running>;

/// What a worker ran at a report that it may name as a base.
#[derive(Debug)]
struct Base {
    sequence: u64,
    running: Runs,
}

/// One worker's session.
#[derive(Debug, Default)]
struct Session {
    incarnation: id::Incarnation,
    sequence: u64,
    acknowledged: u64,
    /// Newest base that the worker named; it names no older one again.
    base: Option<Base>,
    /// What runs at `sequence`.
    running: Runs,
    ended: Vec<(task::Ref, id::Token)>,
    pending: HashMap<id::Token, task::Directive>,
    /// Runs that the last answer had directives for.
    told: HashSet<id::Token>,
    /// Report that the last answer was for.
    told_at: u64,
    answered: Option<Duration>,
    held: Option<Held>,
}

/// Sessions of all workers of the zone.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: HashMap<id::WorkerId, Session>,
    granted: HashMap<id::Token, resource::Amount>,
}

impl Sessions {
    /// Takes a report; returns it in full for the scheduler when it is new.
    ///
    /// A refused report renews nothing, neither here nor at the worker, which gets no lease with the refusal.
    pub fn report(
        &mut self,
        now: Duration,
        report: worker::Report,
        reply: control::Reply<worker::Reply>,
    ) -> Option<worker::Report> {
        let session = self.sessions.entry(report.worker).or_default();
        if session.incarnation != report.incarnation {
            *session = Session {
                incarnation: report.incarnation,
                ..Session::default()
            };
        }
        match session.take(&report) {
            Ok(()) => {}
            Err(refusal) => {
                drop(reply.send(Err(refusal)));
                return None;
            }
        }
        session.held = Some(Held {
            reply,
            since: now,
            due: now + HOLD,
        });
        Some(worker::Report {
            base: None,
            running: session.running.values().copied().collect(),
            ..report
        })
    }

    /// Closes the session of a worker that is out of use; a held report ends without an answer.
    pub fn close(&mut self, worker: id::WorkerId) {
        self.sessions.remove(&worker);
    }

    /// Notes the amount that a start grants.
    pub fn grant(&mut self, token: id::Token, granted: resource::Amount) {
        self.granted.insert(token, granted);
    }

    /// Forgets a run that ended.
    pub fn forget(&mut self, token: id::Token) {
        self.granted.remove(&token);
    }

    /// Keeps a directive until the worker no longer reports the run.
    pub fn direct(&mut self, worker: id::WorkerId, token: id::Token, directive: task::Directive) {
        let session = self.sessions.entry(worker).or_default();
        session.told.remove(&token);
        session.pending.insert(token, directive);
    }

    /// Answers the held report of a worker when there is something to say.
    ///
    /// `may_start` tells whether a worker may still begin a run.
    pub fn respond(
        &mut self,
        now: Duration,
        worker: id::WorkerId,
        state: &zone::State,
        may_start: &dyn Fn(id::WorkerId, id::Token) -> bool,
    ) {
        let granted = &self.granted;
        let Some(session) = self.sessions.get_mut(&worker) else {
            return;
        };
        if session.held.is_none() {
            return;
        }
        let recorded = session.recorded(state);
        let directives = session.directives(worker, state, granted, &|token| may_start(worker, token));
        let due = session.due(now, recorded, &directives, state);
        if let Some(held) = &mut session.held {
            held.due = due.min(held.since + HOLD);
            if now < held.due {
                return;
            }
        }
        if recorded {
            session.acknowledged = session.sequence;
        }
        session.answered = Some(now);
        session.told_at = session.sequence;
        session.told = directives.iter().map(token).collect();
        let answer = worker::Reply {
            acknowledged: session.acknowledged,
            lease_ms: LEASE.as_millis() as u64,
            directives,
        };
        if let Some(held) = session.held.take() {
            // The worker may have given up on this report; its next one gets the same directives.
            drop(held.reply.send(Ok(answer)));
            // A throttle that stayed would answer every report at once; the scheduler tells it again when it does
            // not hold.
            session
                .pending
                .retain(|_, directive| !matches!(directive, task::Directive::Throttle { .. }));
        }
    }

    /// Answers every held report that has something to say or has waited long enough.
    pub fn respond_due(
        &mut self,
        now: Duration,
        state: &zone::State,
        may_start: &dyn Fn(id::WorkerId, id::Token) -> bool,
    ) {
        let due: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.held.as_ref().is_some_and(|held| now >= held.due))
            .map(|(worker, _)| *worker)
            .collect();
        for worker in due {
            self.respond(now, worker, state, may_start);
        }
    }
}

impl Session {
    /// Takes what a report says, or refuses it and keeps everything as it was.
    fn take(&mut self, report: &worker::Report) -> Result<(), control::Refusal> {
        if report.sequence <= self.sequence {
            let message = format!(
                "{} was sent before; a number above {} is allowed",
                report.sequence, self.sequence
            );
            return Err(invalid("sequence", message));
        }
        let running = match report.base {
            None => by_token(&report.running),
            Some(base) => self.changed(base, report)?,
        };
        if running.len() > worker::MAX_TASKS_IN_REPORT {
            let most = worker::MAX_TASKS_IN_REPORT;
            let message = format!("{} tasks run, at most {most} are allowed", running.len());
            return Err(invalid("running", message));
        }
        if report.base.is_some_and(|base| base < self.told_at) {
            // The last answer did not arrive.
            self.told.clear();
        }
        self.sequence = report.sequence;
        self.running = running;
        self.ended = report
            .ended
            .iter()
            .map(|ended| (ended.task, ended.token))
            .collect();
        Ok(())
    }

    /// Returns what runs after a change of what ran at `base`.
    fn changed(&mut self, base: u64, report: &worker::Report) -> Result<Runs, control::Refusal> {
        // No report has the number 0, so a session without any report knows no base.
        if base > 0 && base == self.sequence {
            self.base = Some(Base {
                sequence: base,
                running: self.running.clone(),
            });
        }
        let Some(known) = self.base.as_ref().filter(|known| known.sequence == base) else {
            let message = format!("report {base} is not known here; a full report without a base is allowed");
            return Err(invalid("base", message));
        };
        let mut running = known.running.clone();
        running.extend(by_token(&report.running));
        for ended in &report.ended {
            running.remove(&ended.token);
        }
        Ok(running)
    }

    /// Time at which the held report has to be answered, given what there is to say.
    fn due(
        &self,
        now: Duration,
        recorded: bool,
        directives: &[task::Directive],
        state: &zone::State,
    ) -> Duration {
        let Some(held) = &self.held else {
            return now;
        };
        if directives
            .iter()
            .any(|directive| self.is_urgent(directive, state))
        {
            return now;
        }
        if !directives.is_empty() {
            return self.answered.map_or(now, |answered| answered + COLLECT);
        }
        if recorded && !self.ended.is_empty() {
            // The room that an end leaves is often given to the next run, whose start then takes the
            // acknowledgement along.
            return held.since + COLLECT;
        }
        held.since + HOLD
    }

    /// Tells whether a directive must not wait for others. One that the last answer had waits, because a worker that
    /// is slow to stop would otherwise report without a pause.
    fn is_urgent(&self, directive: &task::Directive, state: &zone::State) -> bool {
        let urgent = match directive {
            task::Directive::Start { task, .. } => state
                .job(task.job)
                .is_some_and(|job| job.spec.priority == job::Priority::Urgent),
            // They may make room for urgent work.
            task::Directive::Stop { .. } | task::Directive::Checkpoint { .. } => true,
            task::Directive::Throttle { .. } => false,
        };
        urgent && !self.told.contains(&token(directive))
    }

    /// Tells whether the end of every run that the worker reported is committed.
    fn recorded(&self, state: &zone::State) -> bool {
        self.ended
            .iter()
            .all(|(task, token)| state.run(*task).is_none_or(|run| run.token != *token))
    }

    fn directives(
        &mut self,
        worker: id::WorkerId,
        state: &zone::State,
        granted: &HashMap<id::Token, resource::Amount>,
        may_start: &dyn Fn(id::Token) -> bool,
    ) -> Vec<task::Directive> {
        let ended: HashSet<id::Token> = self.ended.iter().map(|(_, token)| *token).collect();
        let known: HashSet<id::Token> = state.runs_of_worker(worker).map(|(_, run)| run.token).collect();
        // A run that the worker still reports is stopped even when the state has no record of it.
        self.pending.retain(|token, _| {
            !ended.contains(token) && (known.contains(token) || self.running.contains_key(token))
        });
        let mut directives: Vec<_> = self.pending.values().cloned().collect();
        for (task, run) in state.runs_of_worker(worker) {
            let token = run.token;
            let present = self.running.contains_key(&token)
                || ended.contains(&token)
                || self.pending.contains_key(&token);
            // A run that ends, or that a former life of the worker may still run, must not begin here.
            if present || run.incarnation != self.incarnation || !may_start(token) {
                continue;
            }
            let Some(job) = state.job(task.job) else {
                continue;
            };
            directives.push(task::Directive::Start {
                task,
                token,
                granted: granted.get(&token).copied().unwrap_or(job.spec.size),
                command: job.spec.command.clone(),
            });
        }
        directives
    }
}

fn by_token(running: &[worker::Running]) -> Runs {
    running.iter().map(|running| (running.token, *running)).collect()
}

const fn token(directive: &task::Directive) -> id::Token {
    match directive {
        task::Directive::Start { token, .. }
        | task::Directive::Stop { token, .. }
        | task::Directive::Checkpoint { token, .. }
        | task::Directive::Throttle { token, .. } => *token,
    }
}

fn invalid(field: &str, message: String) -> control::Refusal {
    control::Refusal::Invalid {
        field: String::from(field),
        message,
    }
}
