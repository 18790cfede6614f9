//! Sessions of workers at the leader of their zone: reports, long polls and directives.
//!
//! Directives are derived from the committed state on every report, so that a lost answer loses nothing: a start is
//! repeated until the worker reports the run, a stop until the worker no longer does.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use bronzespoke_control::zone;
use bronzespoke_gateway::control;
use bronzespoke_model::{id, resource, task, worker};

/// Lease that an answered report renews, counted from when the worker sent it.
pub const LEASE: Duration = Duration::from_secs(10);
/// Longest time that a report waits for directives. A third of the lease, so that two lost reports do no harm.
pub const HOLD: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Held {
    reply: control::Reply<worker::Reply>,
    until: Duration,
}

/// One worker's session.
#[derive(Debug, Default)]
struct Session {
    incarnation: id::Incarnation,
    sequence: u64,
    acknowledged: u64,
    running: HashSet<id::Token>,
    ended: Vec<(task::Ref, id::Token)>,
    pending: HashMap<id::Token, task::Directive>,
    held: Option<Held>,
}

/// Sessions of all workers of the zone.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: HashMap<id::WorkerId, Session>,
    granted: HashMap<id::Token, resource::Amount>,
}

impl Sessions {
    /// Takes a report; returns whether it is new and has to be given to the scheduler.
    pub fn report(
        &mut self,
        now: Duration,
        report: &worker::Report,
        reply: control::Reply<worker::Reply>,
    ) -> bool {
        let session = self.sessions.entry(report.worker).or_default();
        if session.incarnation != report.incarnation {
            *session = Session {
                incarnation: report.incarnation,
                ..Session::default()
            };
        }
        if report.sequence <= session.sequence {
            // The scheduler does not renew the lease for it, so the worker must not count it as a renewal either.
            drop(reply.send(Err(control::Refusal::Invalid {
                field: String::from("sequence"),
                message: format!(
                    "{} was sent before; a number above {} is allowed",
                    report.sequence, session.sequence
                ),
            })));
            return false;
        }
        session.sequence = report.sequence;
        session.running = report.running.iter().map(|running| running.token).collect();
        session.ended = report
            .ended
            .iter()
            .map(|ended| (ended.task, ended.token))
            .collect();
        session.held = Some(Held {
            reply,
            until: now + HOLD,
        });
        true
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
        self.sessions
            .entry(worker)
            .or_default()
            .pending
            .insert(token, directive);
    }

    /// Answers the held report of a worker when there is something to say.
    ///
    /// `may_start` tells whether a worker may still begin a run.
    pub fn settle(
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
        let Some(until) = session.held.as_ref().map(|held| held.until) else {
            return;
        };
        let recorded = session.recorded(state);
        let directives = session.directives(worker, state, granted, &|token| may_start(worker, token));
        let idle = directives.is_empty() && (session.ended.is_empty() || !recorded);
        if idle && now < until {
            return;
        }
        if recorded {
            session.acknowledged = session.sequence;
        }
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
    pub fn settle_all(
        &mut self,
        now: Duration,
        state: &zone::State,
        may_start: &dyn Fn(id::WorkerId, id::Token) -> bool,
    ) {
        let due: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.held.as_ref().is_some_and(|held| now >= held.until))
            .map(|(worker, _)| *worker)
            .collect();
        for worker in due {
            self.settle(now, worker, state, may_start);
        }
    }
}

impl Session {
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
            !ended.contains(token) && (known.contains(token) || self.running.contains(token))
        });
        let mut directives: Vec<_> = self.pending.values().cloned().collect();
        for (task, run) in state.runs_of_worker(worker) {
            let token = run.token;
            let present =
                self.running.contains(&token) || ended.contains(&token) || self.pending.contains_key(&token);
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
