//! The two baselines: plain first fit over one queue, and a plain queue per team in rotation.
//!
//! Both know the declared sizes, place gangs whole, and try a failed task again up to four times. They know neither
//! shares, estimates, urgency nor the health of workers.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bronzespoke_model::{id, job, resource, task};
use bronzespoke_schedule::{Input, Output};

/// Queue entries that first fit looks at when the first does not fit.
const LOOKED_AT: usize = 64;
/// Runs of a task that may fail.
const ATTEMPTS: u32 = 4;

/// Tasks of one job that wait.
#[derive(Debug, Clone)]
struct Entry {
    job: id::JobId,
    tasks: Vec<id::TaskIndex>,
}

#[derive(Debug)]
struct Worker {
    id: id::WorkerId,
    free: resource::Amount,
    kind: id::AcceleratorKind,
    alive: bool,
}

/// A baseline.
#[derive(Debug)]
pub(super) struct Baseline {
    by_team: bool,
    workers: Vec<Worker>,
    jobs: HashMap<id::JobId, (id::TeamId, job::Spec)>,
    queues: BTreeMap<id::TeamId, VecDeque<Entry>>,
    running: BTreeMap<id::Token, (task::Ref, usize, resource::Amount)>,
    attempts: HashMap<task::Ref, u32>,
    /// Needs for which no worker has room, until room is freed; a shortcut that changes no decision.
    full: Vec<(resource::Amount, id::AcceleratorKind)>,
    next_token: id::Token,
    /// Team whose turn is next.
    turn: id::TeamId,
    pub(super) tries: u64,
}

impl Baseline {
    /// Returns a baseline with one queue, or with one for each team.
    pub(super) fn new(by_team: bool) -> Self {
        Self {
            by_team,
            workers: Vec::new(),
            jobs: HashMap::new(),
            queues: BTreeMap::new(),
            running: BTreeMap::new(),
            attempts: HashMap::new(),
            full: Vec::new(),
            next_token: 1,
            turn: 0,
            tries: 0,
        }
    }

    /// Takes an input of the scheduler.
    pub(super) fn step(&mut self, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Register(registration) => self.workers.push(Worker {
                id: registration.worker,
                free: registration.capacity.amount,
                kind: registration.capacity.accelerator,
                alive: true,
            }),
            Input::Submit { job, team, spec } => {
                let tasks = (0..spec.tasks).collect();
                self.jobs.insert(job, (team, spec));
                self.push(Entry { job, tasks });
            }
            Input::Cancel { job } => self.cancel(job, out),
            Input::Ended { task, token, outcome } => self.ended(task, token, &outcome),
            Input::WorkerGone { worker, .. } => self.lose(worker),
            _ => return,
        }
        self.place(out);
    }

    fn push(&mut self, entry: Entry) {
        let team = if self.by_team { self.jobs[&entry.job].0 } else { 0 };
        self.queues.entry(team).or_default().push_back(entry);
    }

    fn cancel(&mut self, job: id::JobId, out: &mut Vec<Output>) {
        self.jobs.remove(&job);
        for (&token, &(task, worker, _)) in self.running.iter().filter(|(_, run)| run.0.job == job) {
            out.push(Output::Stop {
                task,
                worker: self.workers[worker].id,
                token,
                reason: bronzespoke_schedule::message::Reason::Cancelled,
            });
        }
    }

    fn ended(&mut self, task: task::Ref, token: id::Token, outcome: &task::Outcome) {
        let Some((_, worker, size)) = self.running.remove(&token) else {
            return;
        };
        self.workers[worker].free = self.workers[worker].free.saturating_add(&size);
        self.full.clear();
        if *outcome == task::Outcome::Failed && self.jobs.contains_key(&task.job) {
            let attempts = self.attempts.entry(task).or_default();
            *attempts += 1;
            if *attempts < ATTEMPTS {
                self.push(Entry {
                    job: task.job,
                    tasks: vec![task.index],
                });
            }
        }
    }

    fn lose(&mut self, worker: id::WorkerId) {
        let Some(position) = self.workers.iter().position(|other| other.id == worker) else {
            return;
        };
        self.workers[position].alive = false;
        let lost: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| run.1 == position)
            .map(|(token, run)| (*token, run.0))
            .collect();
        for (token, task) in lost {
            self.running.remove(&token);
            if self.jobs.contains_key(&task.job) {
                self.push(Entry {
                    job: task.job,
                    tasks: vec![task.index],
                });
            }
        }
    }

    fn place(&mut self, out: &mut Vec<Output>) {
        while self.place_round(out) {}
    }

    /// Gives each queue one turn; returns whether anything started.
    fn place_round(&mut self, out: &mut Vec<Output>) -> bool {
        let teams: Vec<_> = self.queues.keys().copied().collect();
        let from = teams.partition_point(|team| *team <= self.turn);
        let mut started = false;
        for team in teams[from..].iter().chain(&teams[..from]) {
            if self.place_queue(*team, out) {
                self.turn = *team;
                started = true;
            }
        }
        started
    }

    fn place_queue(&mut self, team: id::TeamId, out: &mut Vec<Output>) -> bool {
        let looked_at = if self.by_team { 1 } else { LOOKED_AT };
        let mut position = 0;
        while position < looked_at {
            let Some(entry) = self
                .queues
                .get(&team)
                .and_then(|queue| queue.get(position))
                .cloned()
            else {
                if self.queues.get(&team).is_some_and(VecDeque::is_empty) {
                    self.queues.remove(&team);
                }
                return false;
            };
            let queue = self.queues.get_mut(&team).expect("the queue was found");
            let Some((_, spec)) = self.jobs.get(&entry.job) else {
                queue.remove(position);
                continue;
            };
            let (size, kind) = (spec.size, spec.accelerator);
            let count = if spec.kind == job::Kind::Gang {
                entry.tasks.len()
            } else {
                1
            };
            self.tries += 1;
            let known = self
                .full
                .iter()
                .any(|(full, other)| *other == kind && full.fits(&size));
            let rooms = if known {
                None
            } else {
                self.rooms(&size, kind, count)
            };
            let Some(rooms) = rooms else {
                if count == 1 && !known {
                    self.full.push((size, kind));
                }
                position += 1;
                continue;
            };
            for (room, index) in rooms.into_iter().zip(entry.tasks) {
                let task = task::Ref {
                    job: entry.job,
                    index,
                };
                self.start(task, room, &size, out);
            }
            let queue = self.queues.get_mut(&team).expect("the queue was found");
            queue[position].tasks.drain(..count);
            if queue[position].tasks.is_empty() {
                queue.remove(position);
            }
            return true;
        }
        false
    }

    fn rooms(&self, size: &resource::Amount, kind: id::AcceleratorKind, count: usize) -> Option<Vec<usize>> {
        let mut rooms = Vec::new();
        for (position, worker) in self.workers.iter().enumerate() {
            let mut free = worker.free;
            while worker.alive && size.fits(&free) && (kind == 0 || kind == worker.kind) {
                rooms.push(position);
                if rooms.len() == count {
                    return Some(rooms);
                }
                free = free.saturating_sub(size);
            }
        }
        None
    }

    fn start(&mut self, task: task::Ref, worker: usize, size: &resource::Amount, out: &mut Vec<Output>) {
        let token = self.next_token;
        self.next_token += 1;
        self.running.insert(token, (task, worker, *size));
        self.workers[worker].free = self.workers[worker].free.saturating_sub(size);
        out.push(Output::Start {
            task,
            worker: self.workers[worker].id,
            token,
            granted: *size,
        });
    }
}
