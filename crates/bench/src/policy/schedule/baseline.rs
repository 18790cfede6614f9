//! Two baselines: first fit over one queue, and one queue per team served in rotation.
//!
//! Both respect declared sizes, place gangs as a unit, and retry a task until its fourth failure. They ignore shares,
//! estimated run times, urgency and the health of workers.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bronzespoke_model::{id, job, resource, task};
use bronzespoke_schedule::{Input, Output};

/// Queue entries that first fit considers before it waits for resources.
const LOOKAHEAD: usize = 64;
/// Failures after which a task is not retried.
const MAX_FAILURES: u32 = 4;

/// Waiting tasks of one job.
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

/// Baseline scheduler.
#[derive(Debug)]
pub(super) struct Baseline {
    by_team: bool,
    workers: Vec<Worker>,
    jobs: HashMap<id::JobId, (id::TeamId, job::Spec)>,
    queues: BTreeMap<id::TeamId, VecDeque<Entry>>,
    running: BTreeMap<id::Token, (task::Ref, usize, resource::Amount)>,
    failures: HashMap<task::Ref, u32>,
    /// Sizes for which no worker has enough free resources, cleared when a run ends. Saves scans and changes no decision.
    full: Vec<(resource::Amount, id::AcceleratorKind)>,
    next_token: id::Token,
    /// Team that was served last; the rotation continues after it.
    last_served: id::TeamId,
    /// Placements tried so far, successful or not.
    pub(super) placement_attempts: u64,
}

impl Baseline {
    /// Creates a baseline with one queue, or with one queue for each team.
    pub(super) fn new(by_team: bool) -> Self {
        Self {
            by_team,
            workers: Vec::new(),
            jobs: HashMap::new(),
            queues: BTreeMap::new(),
            running: BTreeMap::new(),
            failures: HashMap::new(),
            full: Vec::new(),
            next_token: 1,
            last_served: 0,
            placement_attempts: 0,
        }
    }

    /// Handles an input of the scheduler, and places waiting tasks if the input may have changed what fits.
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
            Input::WorkerGone { worker, .. } => self.remove_worker(worker),
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
            let failures = self.failures.entry(task).or_default();
            *failures += 1;
            if *failures < MAX_FAILURES {
                self.push(Entry {
                    job: task.job,
                    tasks: vec![task.index],
                });
            }
        }
    }

    fn remove_worker(&mut self, worker: id::WorkerId) {
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

    /// Serves each queue once, and returns whether any task started.
    fn place_round(&mut self, out: &mut Vec<Output>) -> bool {
        let teams: Vec<_> = self.queues.keys().copied().collect();
        let from = teams.partition_point(|team| *team <= self.last_served);
        let mut started = false;
        for team in teams[from..].iter().chain(&teams[..from]) {
            if self.place_queue(*team, out) {
                self.last_served = *team;
                started = true;
            }
        }
        started
    }

    fn place_queue(&mut self, team: id::TeamId, out: &mut Vec<Output>) -> bool {
        let lookahead = if self.by_team { 1 } else { LOOKAHEAD };
        let mut position = 0;
        while position < lookahead {
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
            let queue = self.queues.get_mut(&team).expect("the queue was looked up above");
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
            self.placement_attempts += 1;
            let is_full = self
                .full
                .iter()
                .any(|(full, other)| *other == kind && full.fits(&size));
            let positions = if is_full {
                None
            } else {
                self.find_workers(&size, kind, count)
            };
            let Some(positions) = positions else {
                if count == 1 && !is_full {
                    self.full.push((size, kind));
                }
                position += 1;
                continue;
            };
            for (worker, index) in positions.into_iter().zip(entry.tasks) {
                let task = task::Ref {
                    job: entry.job,
                    index,
                };
                self.start(task, worker, &size, out);
            }
            let queue = self.queues.get_mut(&team).expect("the queue was looked up above");
            queue[position].tasks.drain(..count);
            if queue[position].tasks.is_empty() {
                queue.remove(position);
            }
            return true;
        }
        false
    }

    /// Returns positions of workers that can run `count` tasks of a size, the same position once per task.
    fn find_workers(
        &self,
        size: &resource::Amount,
        kind: id::AcceleratorKind,
        count: usize,
    ) -> Option<Vec<usize>> {
        let mut positions = Vec::new();
        for (position, worker) in self.workers.iter().enumerate() {
            let mut free = worker.free;
            while worker.alive && size.fits(&free) && (kind == 0 || kind == worker.kind) {
                positions.push(position);
                if positions.len() == count {
                    return Some(positions);
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
