//! Application of commands. A command that does not match the state has no effect; none returns an error.

use std::{collections::BTreeMap, sync::Arc};

use bronzespoke_workload::{catalog, directive, job, worker};
use bytes::Bytes;

use super::{
    command::{Command, End, Outcome, Start},
    state::{Job, Occurrence, Registered, State, ZoneOrder},
};

/// Maximum number of zones whose newest order is remembered. Beyond it, the oldest withdrawal is forgotten, so that late
/// copies of the order before it are not recognized any more; an evacuation is never forgotten.
const MAX_ZONE_ORDERS: usize = 1_024;

impl State {
    /// Applies a command that was proposed at wall time `at_ms`, in milliseconds since the Unix epoch.
    pub fn apply(&mut self, at_ms: u64, command: Command) -> Outcome {
        match command {
            Command::Configure { catalog, document } => self.configure(*catalog, document),
            Command::Submit {
                key,
                queue,
                team,
                submission,
            } => {
                let job = Job::new(key, Arc::new(*queue), team, Arc::new(*submission), at_ms);
                self.submit(job, at_ms)
            }
            Command::Cancel { key } => self.cancel(key, at_ms),
            Command::Withdraw { key, team, keep_ms } => self.withdraw(key, team, keep_ms, at_ms),
            Command::Register {
                incarnation,
                worker,
                draining,
            } => self.register(incarnation, *worker, draining),
            Command::Retire { worker } => {
                self.workers.remove(&worker);
                Outcome::Done
            }
            Command::Start(starts) => {
                Outcome::Started(starts.into_iter().map(|start| self.start(start)).collect())
            }
            Command::End(ends) => self.end_all(ends, at_ms),
            Command::Forget(keys) => self.forget(&keys),
            Command::Locate { vm, peer } => {
                self.peers.retain(|_, known| *known != peer);
                self.peers.insert(vm, peer);
                Outcome::Done
            }
            Command::Evacuate { zone, active, seen } => self.order_zone(zone, active, seen, at_ms),
            Command::Learn { speeds, past_use } => {
                record(&mut self.speeds, speeds);
                record(&mut self.past_use, past_use);
                Outcome::Done
            }
        }
    }

    fn configure(&mut self, catalog: catalog::Catalog, document: Bytes) -> Outcome {
        let current = self.catalog.as_ref().map(|current| current.version);
        if current.is_none_or(|current| catalog.version > current) {
            self.catalog = Some(Arc::new(catalog));
            self.document = document;
        }
        Outcome::Done
    }

    fn submit(&mut self, job: Job, at_ms: u64) -> Outcome {
        if self.jobs.contains_key(&job.key) {
            return Outcome::Done;
        }
        if let Some(wait_ms) = self.withdrawn_for(at_ms, job.key, job.team.as_deref()) {
            return Outcome::Withdrawn(wait_ms);
        }
        *self.pending.entry(job.queue.name.clone()).or_default() += 1;
        self.active.insert(job.key);
        self.jobs.insert(job.key, job);
        Outcome::Done
    }

    fn cancel(&mut self, key: job::Key, at_ms: u64) -> Outcome {
        let Some(job) = self.jobs.get(&key) else {
            return Outcome::NoJob;
        };
        if !job.is_final() {
            self.finish(key, job::Phase::Cancelled, at_ms);
        }
        Outcome::Done
    }

    fn withdraw(&mut self, key: job::Key, team: Option<String>, keep_ms: u64, at_ms: u64) -> Outcome {
        if let Some(job) = self.jobs.get(&key) {
            return if job.is_visible(team.as_deref()) {
                self.cancel(key, at_ms)
            } else {
                Outcome::NoJob
            };
        }
        if self.withdrawn.record(at_ms, key, team, keep_ms) {
            Outcome::NoJob
        } else {
            Outcome::Full
        }
    }

    fn register(
        &mut self,
        incarnation: worker::Incarnation,
        worker: worker::Worker,
        draining: bool,
    ) -> Outcome {
        let mut known = self.workers.values_mut();
        if let Some(registered) = known.find(|registered| registered.incarnation == incarnation) {
            registered.worker = Arc::new(worker);
            // Draining is permanent; a delayed announcement may still report the worker as ready.
            registered.draining |= draining;
            return Outcome::Done;
        }
        let mut known = self.workers.values();
        let succeeds = known.any(|registered| registered.incarnation.name == incarnation.name);
        let index = self.next_worker;
        self.next_worker += 1;
        let worker = Arc::new(worker);
        self.workers.insert(
            index,
            Registered {
                incarnation,
                worker,
                draining,
                succeeds,
            },
        );
        Outcome::Done
    }

    fn start(&mut self, start: Start) -> bool {
        let Start { task, run, worker } = start;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        if job.is_final() {
            return false;
        }
        let first = job.phase == job::Phase::Queued;
        if task.occurrence >= job.begun {
            if !job.may_begin(task.occurrence) {
                return false;
            }
            job.begin(task.occurrence);
        }
        let Some(step) = step_mut(job, task) else {
            return false;
        };
        let Some(entry) = step.tasks.get_mut(task.index as usize) else {
            return false;
        };
        if entry.done || entry.placed.is_some() || run <= entry.run {
            return false;
        }
        entry.run = run;
        entry.placed = Some(worker);
        step.run = step.run.max(run);
        step.placed += 1;
        job.placed += 1;
        if first {
            job.phase = job::Phase::Running;
            let queue = job.queue.name.clone();
            self.decrement_pending(&queue);
        }
        true
    }

    fn end_all(&mut self, ends: Vec<End>, at_ms: u64) -> Outcome {
        let mut finished = Vec::new();
        for end in ends {
            let key = end.task.job;
            self.end(end, at_ms);
            let is_final = self.jobs.get(&key).is_some_and(Job::is_final);
            if is_final && finished.last() != Some(&key) {
                finished.push(key);
            }
        }
        Outcome::Finished(finished)
    }

    fn end(&mut self, end: End, at_ms: u64) {
        let End {
            task,
            run,
            outcome,
            checkpoint,
            ..
        } = end;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let submission = Arc::clone(&job.submission);
        let Some(spec) = submission.steps.get(usize::from(task.step)) else {
            return;
        };
        let Some(step) = step_mut(job, task) else {
            return;
        };
        let Some(entry) = step.tasks.get_mut(task.index as usize) else {
            return;
        };
        // Run numbers are never reused. The worker is not compared: a later incarnation of it may have received the
        // resent start and report the end.
        let current = entry.placed.is_some() && entry.run == run;
        // A run that was recorded as ended may still report its real outcome. A success counts, and the later run is
        // stopped; a failure counts as an attempt.
        let late = matches!(outcome, directive::Outcome::Done | directive::Outcome::Failed) && !spec.lasting;
        if !current && !late {
            return;
        }
        if current {
            entry.placed = None;
        }
        if checkpoint.is_some() {
            entry.checkpoint.clone_from(&checkpoint);
        }
        if spec.gang && checkpoint.is_some() {
            step.checkpoint = checkpoint;
        }
        if current {
            step.placed -= 1;
        }
        let failed = match outcome {
            // A lasting task is restarted whatever its outcome.
            _ if spec.lasting => false,
            directive::Outcome::Done => {
                record_done(step, task.index, spec.gang);
                false
            }
            directive::Outcome::Failed => record_failure(step, task.index, run, spec.gang),
            _ => false,
        };
        if current {
            job.placed -= 1;
        }
        self.update_phase(task.job, failed, at_ms);
        self.drop_completed(task);
    }

    /// Drops the progress of a task's occurrence if it is completed and others are still to come. The last one is
    /// retained with the job.
    fn drop_completed(&mut self, task: directive::Task) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let occurrence = job.open.get(&task.occurrence);
        if !job.is_final() && occurrence.is_some_and(Occurrence::is_completed) {
            job.open.remove(&task.occurrence);
        }
    }

    /// Moves a job to its final phase when all steps are done or a task has no attempts left, and removes it from the
    /// active jobs once it has no runs.
    fn update_phase(&mut self, key: job::Key, failed: bool, at_ms: u64) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if !job.is_final() {
            let attempts = self.queue_of(job).attempts.max(1);
            if failed && has_failed(job, attempts) {
                self.finish(key, job::Phase::Failed, at_ms);
            } else if is_done(job) {
                self.finish(key, job::Phase::Completed, at_ms);
            }
        }
        let job = &self.jobs[&key];
        if job.is_final() && job.placed == 0 {
            self.active.remove(&key);
        }
    }

    fn finish(&mut self, key: job::Key, phase: job::Phase, at_ms: u64) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let before = std::mem::replace(&mut job.phase, phase);
        job.finished_ms = at_ms.max(1);
        let idle = job.placed == 0;
        let queue = job.queue.name.clone();
        if before == job::Phase::Queued {
            self.decrement_pending(&queue);
        }
        if idle {
            self.active.remove(&key);
        }
    }

    fn decrement_pending(&mut self, queue: &str) {
        if let Some(count) = self.pending.get_mut(queue) {
            *count -= 1;
            if *count == 0 {
                self.pending.remove(queue);
            }
        }
    }

    /// Records an order about an availability zone, unless it is a late copy.
    fn order_zone(&mut self, zone: String, active: bool, seen: Option<u64>, at_ms: u64) -> Outcome {
        let current = self.zones.get(&zone).copied();
        let since = current.and_then(|order| order.evacuated_ms);
        let is_late = current
            .zip(seen)
            .is_some_and(|(current, seen)| seen < current.number);
        if is_late {
            // A copy of the order in force is acknowledged again, but does not count as a new one.
            return if active == since.is_some() {
                Outcome::Done
            } else {
                Outcome::Outdated
            };
        }
        self.zone_orders += 1;
        let order = ZoneOrder {
            number: self.zone_orders,
            evacuated_ms: active.then(|| since.unwrap_or(at_ms)),
        };
        self.zones.insert(zone, order);
        if self.zones.len() > MAX_ZONE_ORDERS {
            let withdrawn = self
                .zones
                .iter()
                .filter(|(_, order)| order.evacuated_ms.is_none());
            let oldest = withdrawn.min_by_key(|(_, order)| order.number);
            if let Some(oldest) = oldest.map(|(zone, _)| zone.clone()) {
                self.zones.remove(&oldest);
            }
        }
        Outcome::Done
    }

    fn forget(&mut self, keys: &[job::Key]) -> Outcome {
        for key in keys {
            let removable = |job: &Job| job.is_final() && job.placed == 0;
            if self.jobs.get(key).is_some_and(removable) {
                self.jobs.remove(key);
                self.active.remove(key);
            }
        }
        Outcome::Done
    }
}

/// Replaces the entries that are given and removes those without a value.
fn record<V>(entries: &mut BTreeMap<String, V>, changes: Vec<(String, Option<V>)>) {
    for (name, value) in changes {
        match value {
            Some(value) => {
                entries.insert(name, value);
            }
            None => {
                entries.remove(&name);
            }
        }
    }
}

fn step_mut(job: &mut Job, task: directive::Task) -> Option<&mut super::state::Step> {
    let occurrence = job.open.get_mut(&task.occurrence)?;
    occurrence.steps.get_mut(usize::from(task.step))
}

/// Marks a task as done. The success of one member completes the whole gang.
fn record_done(step: &mut super::state::Step, index: u32, gang: bool) {
    let members = if gang {
        0..step.tasks.len()
    } else {
        index as usize..index as usize + 1
    };
    for entry in &mut step.tasks[members] {
        if !entry.done {
            entry.done = true;
            entry.checkpoint = None;
            step.remaining -= 1;
        }
    }
}

/// Counts a failed run and returns whether it had not been counted before. A gang counts each run once.
fn record_failure(step: &mut super::state::Step, index: u32, run: directive::Run, gang: bool) -> bool {
    let entry = &mut step.tasks[index as usize];
    if entry.done {
        return false;
    }
    if !gang {
        // The end of a run may be reported again to a new leader.
        let counts = run > entry.failed_run;
        entry.failed_run = entry.failed_run.max(run);
        entry.failures += u32::from(counts);
        return counts;
    }
    if step.failed_run >= run {
        return false;
    }
    step.failed_run = run;
    step.failures += 1;
    true
}

fn has_failed(job: &Job, attempts: u32) -> bool {
    let steps = job.open.values().flat_map(|occurrence| &occurrence.steps);
    let mut counts = steps.flat_map(|step| {
        let tasks = step.tasks.iter().map(|task| task.failures);
        tasks.chain([step.failures])
    });
    counts.any(|failures| failures >= attempts)
}

fn is_done(job: &Job) -> bool {
    job.begun == job.submission.occurrences() && job.open.values().all(Occurrence::is_done)
}
