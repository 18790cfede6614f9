//! A small model of a cell: workers that run simulated tasks, a lossy network, and a checker.
//!
//! The checker does not rely on the state of the scheduler. It counts what the simulated workers run and what the
//! outputs have allocated.

pub mod check;
pub mod machine;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bronzespoke_model::{id, job, resource, task, team, worker};
use bronzespoke_schedule::message::{Progress, Restore};
use bronzespoke_schedule::{Config, Input, Output, Scheduler};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const LEASE: Duration = Duration::from_secs(10);

/// An action of a test on the cell.
#[derive(Debug, Clone)]
pub enum Action {
    Submit {
        team: id::TeamId,
        spec: job::Spec,
    },
    Cancel {
        nth: usize,
    },
    Drain {
        nth: usize,
        on: bool,
    },
    Allotment {
        team: id::TeamId,
        percent: u32,
    },
    /// Messages from and to the worker are lost for a time.
    Partition {
        nth: usize,
        seconds: u64,
    },
    /// The worker starts a new incarnation. Runs of the old one continue until its lease expires.
    Restart {
        nth: usize,
    },
    Kill {
        nth: usize,
    },
    Failover,
    Wait {
        millis: u64,
    },
}

#[derive(Debug, Clone)]
pub enum Message {
    Report {
        report: worker::Report,
        sent: Duration,
    },
    Directive {
        worker: id::WorkerId,
        incarnation: id::Incarnation,
        directive: Output,
    },
}

pub struct Job {
    pub team: id::TeamId,
    pub spec: job::Spec,
    pub cancelled: bool,
    pub tasks: Vec<Progress>,
}

pub struct Cell {
    pub now: Duration,
    pub random: SmallRng,
    pub config: Config,
    pub scheduler: Scheduler,
    pub machines: Vec<machine::Machine>,
    pub messages: BTreeMap<(Duration, u64), Message>,
    pub next_message: u64,
    pub jobs: BTreeMap<id::JobId, Job>,
    pub done: BTreeMap<id::JobId, job::State>,
    pub teams: BTreeMap<id::TeamId, (team::Quota, resource::Amount)>,
    pub next_job: id::JobId,
    pub next_token: id::Token,
    /// Workers that have registered or reported since the last change of leader.
    pub confirmed: BTreeSet<id::WorkerId>,
    pub checker: check::Checker,
    /// Whether a new leader is still restoring the committed state.
    pub restoring: bool,
    /// Percentage of messages that are lost, and also of those delivered late and of those sent twice.
    pub loss: u32,
}

pub fn spec(kind: job::Kind, tasks: u32, cpu: u32, seconds: u64) -> job::Spec {
    job::Spec {
        kind,
        priority: job::Priority::Normal,
        tasks,
        size: resource::Amount::new(cpu, cpu, 0),
        accelerator: 0,
        run_time: Duration::from_secs(seconds),
        checkpoint: false,
        command: String::new(),
    }
}

impl Cell {
    pub fn new(seed: u64, config: Config, workers: u64, loss: u32) -> Self {
        let now = Duration::from_secs(1000);
        let mut cell = Self {
            now,
            random: SmallRng::seed_from_u64(seed),
            scheduler: Scheduler::new(config.clone(), now),
            config,
            machines: Vec::new(),
            messages: BTreeMap::new(),
            next_message: 0,
            jobs: BTreeMap::new(),
            done: BTreeMap::new(),
            teams: BTreeMap::new(),
            next_job: 1,
            next_token: 1,
            confirmed: BTreeSet::new(),
            checker: check::Checker::default(),
            restoring: false,
            loss,
        };
        cell.step(Input::Restore(Restore::Done { next_token: 1 }));
        for id in 0..workers {
            let accelerator = u16::from(id % 3 == 2);
            let capacity = resource::Capacity {
                amount: resource::Amount::new(8_000, 8_000, if accelerator > 0 { 4 } else { 0 }),
                accelerator,
            };
            cell.add_machine(id, (id / 2) as id::RackId, capacity);
        }
        cell
    }

    pub fn add_machine(&mut self, id: id::WorkerId, rack: id::RackId, capacity: resource::Capacity) {
        let registration = worker::Registration {
            worker: id,
            incarnation: 1,
            rack,
            capacity,
        };
        self.machines.push(machine::Machine::new(registration, self.now));
        self.step(Input::Register(registration));
    }

    pub fn set_team(&mut self, team: id::TeamId, weight: u32, allotment: resource::Amount) {
        let limit = resource::Amount::new(1_000_000, 1_000_000, 1000);
        let quota = team::Quota {
            weight,
            limit,
            requests: 0,
        };
        self.teams.insert(team, (quota, allotment));
        self.step(Input::Team {
            team,
            quota,
            allotment,
        });
    }

    pub fn submit(&mut self, team: id::TeamId, spec: job::Spec) -> id::JobId {
        let job = self.next_job;
        self.next_job += 1;
        let tasks = vec![Progress::Waiting { attempts: 0 }; spec.tasks as usize];
        self.jobs.insert(
            job,
            Job {
                team,
                spec: spec.clone(),
                cancelled: false,
                tasks,
            },
        );
        self.step(Input::Submit { job, team, spec });
        job
    }

    pub fn cancel(&mut self, job: id::JobId) {
        if let Some(known) = self.jobs.get_mut(&job) {
            known.cancelled = true;
        }
        self.step(Input::Cancel { job });
    }

    pub fn apply(&mut self, action: &Action) {
        match action {
            Action::Submit { team, spec } => {
                self.submit(*team, spec.clone());
            }
            Action::Cancel { nth } => {
                let job = self.jobs.keys().nth(nth % self.jobs.len().max(1)).copied();
                if let Some(job) = job {
                    self.cancel(job);
                }
            }
            Action::Drain { nth, on } => {
                let worker = self.machines[nth % self.machines.len()].registration.worker;
                self.step(Input::Drain { worker, on: *on });
            }
            Action::Allotment { team, percent } => {
                let all = self.machines.len() as u32 * 80 * percent;
                self.set_team(*team, *team, resource::Amount::new(all, all, 40));
            }
            Action::Partition { nth, seconds } => {
                let nth = nth % self.machines.len();
                self.machines[nth].partitioned_until = self.now + Duration::from_secs(*seconds);
            }
            Action::Restart { nth } => {
                let nth = nth % self.machines.len();
                if self.machines[nth].alive {
                    let registration = self.machines[nth].restart(self.now);
                    self.step(Input::Register(registration));
                }
            }
            Action::Kill { nth } => {
                let nth = nth % self.machines.len();
                self.machines[nth].alive = false;
                self.machines[nth].running.clear();
            }
            Action::Failover => self.failover(),
            Action::Wait { millis } => self.run(Duration::from_millis(*millis)),
        }
    }

    /// Replaces the scheduler with one that is restored from the committed state.
    pub fn failover(&mut self) {
        self.scheduler = Scheduler::new(self.config.clone(), self.now);
        self.confirmed.clear();
        self.checker.reset_ending();
        self.restoring = true;
        for (&team, &(quota, allotment)) in &self.teams.clone() {
            self.step(Input::Team {
                team,
                quota,
                allotment,
            });
        }
        for position in 0..self.machines.len() {
            let registration = self.machines[position].registration;
            self.step(Input::Restore(Restore::Worker(registration)));
        }
        let jobs: Vec<_> = self
            .jobs
            .iter()
            .map(|(&job, known)| Restore::Job {
                job,
                team: known.team,
                spec: known.spec.clone(),
                cancelled: known.cancelled,
                tasks: known.tasks.clone(),
            })
            .collect();
        for job in jobs {
            self.step(Input::Restore(job));
        }
        let next_token = self.next_token;
        self.restoring = false;
        self.step(Input::Restore(Restore::Done { next_token }));
    }

    /// Advances time in steps of 100 ms.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + Duration::from_millis(100)).min(end);
            for position in 0..self.machines.len() {
                self.tick_machine(position);
            }
            while let Some(entry) = self.messages.first_entry()
                && entry.key().0 <= self.now
            {
                let message = entry.remove();
                self.deliver(message);
            }
            self.step(Input::Tick);
        }
    }

    fn tick_machine(&mut self, position: usize) {
        let now = self.now;
        let machine = &mut self.machines[position];
        machine.advance(now);
        if machine.alive && machine.lease_expired {
            let registration = machine.restart(now);
            self.step(Input::Register(registration));
        }
        let machine = &mut self.machines[position];
        if machine.alive && now >= machine.next_report {
            let report = machine.report(now);
            let partitioned = now < machine.partitioned_until;
            self.send(&Message::Report { report, sent: now }, partitioned);
        }
    }

    fn send(&mut self, message: &Message, partitioned: bool) {
        let copies = match self.random.random_range(0..100) {
            _ if partitioned => 0,
            roll if roll < self.loss => 0,
            roll if roll < 2 * self.loss => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = self.random.random_range(0..100) < self.loss;
            let max_delay_ms = if late { 9_000 } else { 50 };
            let at = self.now + Duration::from_millis(self.random.random_range(1..=max_delay_ms));
            self.messages.insert((at, self.next_message), message.clone());
            self.next_message += 1;
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report { report, sent } => {
                let Some(position) = self.position(report.worker) else {
                    return;
                };
                self.confirmed.insert(report.worker);
                let partitioned = self.now < self.machines[position].partitioned_until;
                let (incarnation, sequence) = (report.incarnation, report.sequence);
                self.step(Input::Report(report));
                let machine = &mut self.machines[position];
                if !partitioned && machine.registration.incarnation == incarnation {
                    machine.acknowledge(sent, sequence);
                }
            }
            Message::Directive {
                worker,
                incarnation,
                directive,
            } => {
                if let Some(position) = self.position(worker) {
                    self.machines[position].apply_directive(
                        self.now,
                        incarnation,
                        &directive,
                        &mut self.random,
                    );
                }
            }
        }
        self.checker.check_machines(self.now, &self.machines);
    }

    fn position(&self, worker: id::WorkerId) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.registration.worker == worker)
    }

    /// Processes one input, commits the outputs, sends the directives, and runs all checks.
    pub fn step(&mut self, input: Input) {
        if let Input::Register(registration) = &input {
            self.confirmed.insert(registration.worker);
        }
        let mut out = Vec::new();
        self.scheduler.step(self.now, input, &mut out);
        self.checker.step(
            self.now,
            &out,
            &self.jobs,
            &self.teams,
            &self.machines,
            &self.confirmed,
        );
        if let Err(text) = self.scheduler.verify() {
            self.checker.fail(format!("verify: {text}"));
        }
        for output in &out {
            self.commit(output);
        }
        if !self.restoring && self.scheduler.next_wake() > self.now {
            self.checker.check_gangs(self.now, &self.jobs);
        }
        for output in out {
            let worker = match &output {
                Output::Start { worker, .. }
                | Output::Stop { worker, .. }
                | Output::Checkpoint { worker, .. }
                | Output::Throttle { worker, .. } => *worker,
                _ => continue,
            };
            let Some(position) = self.position(worker) else {
                continue;
            };
            let machine = &self.machines[position];
            let incarnation = machine.registration.incarnation;
            let partitioned = self.now < machine.partitioned_until || !machine.alive;
            self.send(
                &Message::Directive {
                    worker,
                    incarnation,
                    directive: output,
                },
                partitioned,
            );
        }
    }

    fn commit(&mut self, output: &Output) {
        match output {
            Output::Start {
                task,
                worker,
                token,
                granted,
            } => {
                self.next_token = self.next_token.max(token + 1);
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    let attempts = match job.tasks[task.index as usize] {
                        Progress::Waiting { attempts } => attempts,
                        _ => 0,
                    };
                    job.tasks[task.index as usize] = Progress::Running {
                        worker: *worker,
                        token: *token,
                        granted: *granted,
                        attempts,
                    };
                }
            }
            Output::Ended {
                task,
                outcome,
                attempts,
                ..
            } => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    let service = job.spec.kind == job::Kind::Service;
                    let succeeded = matches!(outcome, task::Outcome::Succeeded(_)) && !service;
                    job.tasks[task.index as usize] = if succeeded {
                        Progress::Succeeded
                    } else {
                        Progress::Waiting { attempts: *attempts }
                    };
                }
            }
            Output::JobEnded { job, outcome } => {
                self.jobs.remove(job);
                self.done.insert(*job, *outcome);
            }
            Output::Impossible {
                job,
                reason,
                refused: true,
            } => {
                self.jobs.remove(job);
                self.done.insert(*job, job::State::Impossible(*reason));
            }
            _ => {}
        }
    }
}
