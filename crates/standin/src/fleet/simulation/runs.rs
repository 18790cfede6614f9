//! Runs on the workers: starts, completion of gangs, and ends.

use std::time::Duration;

use bronzespoke_workload::directive;
use rand::Rng;

use super::{Event, Simulation, same_step};
use crate::fleet::{load, worker};

impl Simulation {
    /// Checks the invariants for a start, then starts the run.
    pub(super) fn start_run(&mut self, index: usize, task: directive::Task, run: directive::Run) {
        self.report.starts += 1;
        self.check_start(index, task, run);
        let job = &self.jobs[&task.job];
        let spec = &job.submission.steps[usize::from(task.step)];
        let (size, gang, always_fails) = (spec.size, spec.gang, job.always_fails);
        let run_time = load::run_time(job, task);
        let now = self.now;
        let slowness = self.slowness(index);
        let (share, factor) = self.plan.variation.tail;
        let tail = if share > 0.0 && self.rng.random_bool(share) {
            factor
        } else {
            1.0
        };
        let Some(worker) = &mut self.hosts[index].worker else {
            return;
        };
        worker.slowness = slowness;
        let duration = run_time.mul_f64(worker.slowness * tail);
        let fails = worker.failing || always_fails;
        let active = worker::Active {
            run,
            size,
            started: now,
            done_at: (!gang).then_some(now + if fails { duration / 4 } else { duration }),
            stopped_at: None,
            awaits_gang: gang,
            fails,
        };
        worker.runs.insert(task, active);
        let (capacity, used) = (worker.capacity, worker.used());
        let name = worker.name.clone();
        if !used.fits(&capacity) {
            self.record_violation(&format!("{name} runs {used:?} with {capacity:?}"));
        }
        if gang {
            self.start_complete_gang(task, run);
        }
    }

    pub(super) fn is_gang(&self, task: directive::Task) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| job.submission.steps[usize::from(task.step)].gang)
    }

    /// Adds the work of a run that did not succeed to the report.
    pub(super) fn count_wasted_work(&mut self, active: &worker::Active) {
        let took = self.now.saturating_sub(active.started);
        self.report.wasted_core_ms += took.as_millis() as u64 * u64::from(active.size.cpu_milli) / 1_000;
    }

    /// Starts the work of a gang once all of its members have started.
    pub(super) fn start_complete_gang(&mut self, task: directive::Task, run: directive::Run) {
        let job = &self.jobs[&task.job];
        let tasks = job.submission.steps[usize::from(task.step)].tasks;
        let longest = (0..tasks)
            .map(|index| load::run_time(job, directive::Task { index, ..task }))
            .max()
            .unwrap_or_default();
        let mut present = 0;
        let mut slowest = 1.0_f64;
        for worker in self.hosts.iter().filter_map(|host| host.worker.as_ref()) {
            let members = worker.runs.iter().filter(|(other, active)| {
                same_step(**other, task) && active.run == run && active.stopped_at.is_none()
            });
            let count = members.count() as u32;
            present += count;
            if count > 0 {
                slowest = slowest.max(worker.slowness);
            }
        }
        if present < tasks {
            return;
        }
        let done_at = self.now + longest.mul_f64(slowest);
        for worker in self.hosts.iter_mut().filter_map(|host| host.worker.as_mut()) {
            for (other, active) in &mut worker.runs {
                if same_step(*other, task) && active.run == run {
                    active.awaits_gang = false;
                    active.done_at = Some(done_at);
                }
            }
        }
    }

    /// Ends the runs on a worker that are due.
    pub(super) fn end_due_runs(&mut self, index: usize) {
        let now = self.now;
        let due = match &mut self.hosts[index].worker {
            Some(worker) => worker.due(now),
            None => return,
        };
        for (task, run, outcome) in due {
            self.end(index, task, run, outcome);
        }
        self.answer_waiting_reports(index);
    }

    /// Sends the reports of a worker that were delayed until a run ends or the wait is over.
    pub(super) fn answer_waiting_reports(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let Some(worker) = host.worker.as_ref().filter(|_| !host.waiting_reports.is_empty()) else {
            return;
        };
        let has_ends = worker.has_ends();
        let report = directive::Answer::Report(worker.report(worker.clock(now)));
        let sent = &self.sent;
        let due = |number: &u64| {
            let wait = Duration::from_secs(1);
            has_ends || sent.get(number).is_none_or(|sent| now >= sent.decided + wait)
        };
        let (due, waiting): (Vec<u64>, Vec<u64>) = host.waiting_reports.drain(..).partition(due);
        host.waiting_reports = waiting;
        if host.disconnected {
            return;
        }
        for number in due {
            let latency = self.latency();
            self.schedule(latency, Event::Answer(number, Some(report.clone())));
        }
    }

    pub(super) fn end(
        &mut self,
        index: usize,
        task: directive::Task,
        run: directive::Run,
        outcome: directive::Outcome,
    ) {
        let now = self.now;
        let Some(worker) = &mut self.hosts[index].worker else {
            return;
        };
        let Some(active) = worker.runs.get(&task).cloned() else {
            return;
        };
        worker.end(now, task, outcome);
        let gang = self.jobs[&task.job].submission.steps[usize::from(task.step)].gang;
        match outcome {
            // The success of one member implies the success of the gang.
            directive::Outcome::Done if gang => {
                let tasks = self.jobs[&task.job].submission.steps[usize::from(task.step)].tasks;
                let members = (0..tasks).map(|index| directive::Task { index, ..task });
                self.done.extend(members);
            }
            directive::Outcome::Done => {
                self.done.insert(task);
            }
            _ => self.count_wasted_work(&active),
        }
        if gang && outcome != directive::Outcome::Done {
            self.break_gang(task, run);
        }
    }

    /// Ends the runs of the other members of a gang.
    pub(super) fn break_gang(&mut self, task: directive::Task, run: directive::Run) {
        let now = self.now;
        let mut broken = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let Some(worker) = &host.worker else { continue };
            for (other, active) in &worker.runs {
                if same_step(*other, task) && active.run == run && !active.awaits_gang {
                    broken.push((index, *other, active.clone()));
                }
            }
        }
        for (index, other, active) in broken {
            if let Some(worker) = &mut self.hosts[index].worker {
                worker.end(now, other, directive::Outcome::Broken);
            }
            self.count_wasted_work(&active);
        }
    }
}
