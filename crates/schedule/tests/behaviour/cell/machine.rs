//! A simulated worker.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bronzespoke_model::{id, resource, task, worker};
use bronzespoke_schedule::Output;
use rand::Rng;
use rand::rngs::SmallRng;

use super::LEASE;

/// A running task, from the point of view of the worker.
#[derive(Debug, Clone)]
pub struct Process {
    pub task: task::Ref,
    pub granted: resource::Amount,
    pub ends_at: Duration,
    pub stop_at: Option<(Duration, task::Outcome)>,
    /// End of the lease of an earlier incarnation, set for the runs that it left behind.
    pub orphan_until: Option<Duration>,
}

#[derive(Debug)]
pub struct Machine {
    pub registration: worker::Registration,
    pub alive: bool,
    pub partitioned_until: Duration,
    pub running: BTreeMap<id::Token, Process>,
    /// Ended tasks with the sequence number of the first report that includes them.
    pub ended: Vec<(u64, worker::Ended)>,
    refused: BTreeSet<id::Token>,
    pub sequence: u64,
    pub next_report: Duration,
    pub lease_until: Duration,
    /// Whether the lease has expired, so that the worker must register again.
    pub lease_expired: bool,
    /// Whether every task fails on this worker.
    pub faulty: bool,
    /// Maximum run time of a task, in milliseconds.
    pub max_run_time_ms: u64,
}

impl Machine {
    pub fn new(registration: worker::Registration, now: Duration) -> Self {
        Self {
            registration,
            alive: true,
            partitioned_until: Duration::ZERO,
            running: BTreeMap::new(),
            ended: Vec::new(),
            refused: BTreeSet::new(),
            sequence: 0,
            next_report: now + Duration::from_millis(500),
            lease_until: now + LEASE,
            lease_expired: false,
            faulty: false,
            max_run_time_ms: 20_000,
        }
    }

    pub fn restart(&mut self, now: Duration) -> worker::Registration {
        let until = self.lease_until;
        for process in self.running.values_mut() {
            process.orphan_until.get_or_insert(until);
        }
        self.registration.incarnation += 1;
        self.ended.clear();
        self.refused.clear();
        self.sequence = 0;
        self.next_report = now;
        self.lease_until = now + LEASE;
        self.lease_expired = false;
        self.registration
    }

    pub fn advance(&mut self, now: Duration) {
        if now >= self.lease_until {
            self.running.retain(|_, process| process.orphan_until.is_some());
            self.lease_expired = true;
        }
        let sequence = self.sequence + 1;
        let faulty = self.faulty;
        let ended = &mut self.ended;
        self.running.retain(|token, process| {
            if let Some(until) = process.orphan_until {
                return now < until;
            }
            let stop = process.stop_at.clone().filter(|(at, _)| *at <= now);
            let outcome = match stop {
                Some((_, outcome)) => outcome,
                None if process.ends_at > now => return true,
                None if faulty => task::Outcome::Failed,
                None => task::Outcome::Succeeded(String::new()),
            };
            ended.push((
                sequence,
                worker::Ended {
                    task: process.task,
                    token: *token,
                    outcome,
                },
            ));
            false
        });
    }

    pub fn report(&mut self, now: Duration) -> worker::Report {
        self.sequence += 1;
        self.next_report = now + Duration::from_secs(3);
        worker::Report {
            worker: self.registration.worker,
            incarnation: self.registration.incarnation,
            sequence: self.sequence,
            base: None,
            running: self
                .running
                .iter()
                .filter(|(_, process)| process.orphan_until.is_none())
                .map(|(token, process)| worker::Running {
                    task: process.task,
                    token: *token,
                    usage: process.granted,
                })
                .collect(),
            ended: self.ended.iter().map(|(_, ended)| ended.clone()).collect(),
        }
    }

    pub fn acknowledge(&mut self, sent: Duration, sequence: u64) {
        self.lease_until = self.lease_until.max(sent + LEASE);
        self.ended.retain(|(first, _)| *first > sequence);
    }

    pub fn apply_directive(
        &mut self,
        now: Duration,
        incarnation: id::Incarnation,
        directive: &Output,
        random: &mut SmallRng,
    ) {
        if !self.alive || incarnation != self.registration.incarnation {
            return;
        }
        match directive {
            Output::Start {
                task, token, granted, ..
            } => {
                let duplicate = self.running.contains_key(token) || !self.refused.insert(*token);
                if duplicate || now >= self.lease_until {
                    return;
                }
                let min_run_time_ms = if self.faulty { 100 } else { 500 };
                let run_time_ms =
                    random.random_range(min_run_time_ms..=self.max_run_time_ms.max(min_run_time_ms));
                self.running.insert(
                    *token,
                    Process {
                        task: *task,
                        granted: *granted,
                        ends_at: now
                            + Duration::from_millis(if self.faulty { min_run_time_ms } else { run_time_ms }),
                        stop_at: None,
                        orphan_until: None,
                    },
                );
            }
            Output::Stop { task, token, .. } => self.stop(now, *task, *token, task::Outcome::Stopped, random),
            Output::Checkpoint { task, token, .. } => {
                self.stop(now, *task, *token, task::Outcome::Checkpointed, random);
            }
            _ => {}
        }
        // The next report confirms the directive, so it is sent early.
        self.next_report = self.next_report.min(now + Duration::from_millis(100));
    }

    fn stop(
        &mut self,
        now: Duration,
        task: task::Ref,
        token: id::Token,
        outcome: task::Outcome,
        random: &mut SmallRng,
    ) {
        self.refused.insert(token);
        if let Some(process) = self.running.get_mut(&token) {
            let delay = Duration::from_millis(random.random_range(0..400));
            process.stop_at.get_or_insert((now + delay, outcome));
        } else if !self.ended.iter().any(|(_, ended)| ended.token == token) {
            let ended = worker::Ended {
                task,
                token,
                outcome: task::Outcome::Stopped,
            };
            self.ended.push((self.sequence + 1, ended));
        }
    }
}
