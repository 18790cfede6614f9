//! Sessions of workers at the leader of their zone: reports, long polls and directives.
//!
//! Directives are derived from the committed state on every report, so a lost reply loses nothing: a start is repeated
//! until the worker reports the run, a stop until the worker no longer reports it.
//!
//! A report may be incremental: it then lists only changes since an answered report, its base. The session stores the
//! runs at the base and at the newest report, so that changes are applied to exactly the state the worker meant. A
//! report with another base is refused, and the worker sends a full report. The rest of the daemon sees full reports
//! only.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use bronzespoke_control::zone;
use bronzespoke_gateway::control;
use bronzespoke_model::{id, job, resource, task, worker};

/// Duration of the lease that an answered report renews, starting when the worker sent the report.
pub const LEASE: Duration = Duration::from_secs(10);
/// Minimum interval between replies to a worker without urgent directives, so that starts and acknowledgements share
/// one reply. Workers delay ends by the same time. An urgent start is not delayed, which leaves it 1 s of the 1.6 s
/// that it may take after an end.
pub const COLLECT: Duration = Duration::from_millis(500);
/// Maximum time that a report is held for directives. Less than a third of the lease, so that two lost reports do no
/// harm.
pub const HOLD: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Held {
    reply: control::Reply<worker::Reply>,
    since: Duration,
    /// When to reply, unless an urgent directive comes first; at most [`HOLD`] after `since`.
    due: Duration,
}

/// Runs of a worker, by token.
type Runs = BTreeMap<id::Token, worker::Running>;

/// Runs of a worker at a report that it may name as base.
#[derive(Debug)]
struct Base {
    sequence: u64,
    running: Runs,
}

/// Session of one worker.
#[derive(Debug, Default)]
struct Session {
    incarnation: id::Incarnation,
    sequence: u64,
    acknowledged: u64,
    /// Newest base that the worker has named; it never names an older one again.
    base: Option<Base>,
    /// Runs at the report `sequence`.
    running: Runs,
    ended: Vec<(task::Ref, id::Token)>,
    pending: HashMap<id::Token, task::Directive>,
    /// Runs for which the last reply contained directives.
    sent: HashSet<id::Token>,
    /// Sequence number of the report that was answered last.
    answered_sequence: u64,
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
    /// Handles a report; if it is accepted, returns it as a full report for the scheduler.
    ///
    /// A refused report changes nothing here, and the worker gets no lease with the refusal.
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

    /// Closes the session of a worker that is gone; a held report gets no reply.
    pub fn close(&mut self, worker: id::WorkerId) {
        self.sessions.remove(&worker);
    }

    /// Records the amount that a start grants.
    pub fn grant(&mut self, token: id::Token, granted: resource::Amount) {
        self.granted.insert(token, granted);
    }

    /// Removes the granted amount of a run that ended.
    pub fn forget(&mut self, token: id::Token) {
        self.granted.remove(&token);
    }

    /// Adds a directive, which is repeated until the worker no longer reports the run.
    pub fn direct(&mut self, worker: id::WorkerId, token: id::Token, directive: task::Directive) {
        let session = self.sessions.entry(worker).or_default();
        session.sent.remove(&token);
        session.pending.insert(token, directive);
    }

    /// Answers the held report of a worker if there are directives or acknowledgements due.
    ///
    /// `may_start` returns whether a worker may still start a run.
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
        session.answered_sequence = session.sequence;
        session.sent = directives.iter().map(token).collect();
        let response = worker::Reply {
            acknowledged: session.acknowledged,
            lease_ms: LEASE.as_millis() as u64,
            directives,
        };
        if let Some(held) = session.held.take() {
            // The worker may have abandoned this report; its next one gets the same directives.
            drop(held.reply.send(Ok(response)));
            // A throttle that stayed pending would cause an immediate reply to every report. The scheduler repeats it
            // if the worker does not follow it.
            session
                .pending
                .retain(|_, directive| !matches!(directive, task::Directive::Throttle { .. }));
        }
    }

    /// Answers every held report that is due.
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
    /// Applies a report, or refuses it without changing anything.
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
            Some(base) => self.runs_since(base, report)?,
        };
        if running.len() > worker::MAX_TASKS_IN_REPORT {
            let most = worker::MAX_TASKS_IN_REPORT;
            let message = format!("{} tasks run, at most {most} are allowed", running.len());
            return Err(invalid("running", message));
        }
        if report.base.is_some_and(|base| base < self.answered_sequence) {
            // The worker did not receive the last reply.
            self.sent.clear();
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

    /// Returns the runs at an incremental report, given its base.
    fn runs_since(&mut self, base: u64, report: &worker::Report) -> Result<Runs, control::Refusal> {
        // No report has the number 0, so a session without reports knows no base.
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

    /// Returns the time at which the held report has to be answered.
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
            // The capacity that an end frees is often used for the next run; its start then shares the reply with the
            // acknowledgement.
            return held.since + COLLECT;
        }
        held.since + HOLD
    }

    /// Returns whether a directive must be sent without delay. A directive that the last reply already contained is not
    /// urgent, because a worker that is slow to stop would otherwise report without a pause.
    fn is_urgent(&self, directive: &task::Directive, state: &zone::State) -> bool {
        let urgent = match directive {
            task::Directive::Start { task, .. } => state
                .job(task.job)
                .is_some_and(|job| job.spec.priority == job::Priority::Urgent),
            // These may free capacity for urgent work.
            task::Directive::Stop { .. } | task::Directive::Checkpoint { .. } => true,
            task::Directive::Throttle { .. } => false,
        };
        urgent && !self.sent.contains(&token(directive))
    }

    /// Returns whether the end of every run that the worker reported as ended is committed.
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
        // A run that the worker still reports is stopped even if the state has no record of it.
        self.pending.retain(|token, _| {
            !ended.contains(token) && (known.contains(token) || self.running.contains_key(token))
        });
        let mut directives: Vec<_> = self.pending.values().cloned().collect();
        for (task, run) in state.runs_of_worker(worker) {
            let token = run.token;
            let present = self.running.contains_key(&token)
                || ended.contains(&token)
                || self.pending.contains_key(&token);
            // A run that is ending, or that an earlier incarnation of the worker may still execute, must not be
            // started.
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
