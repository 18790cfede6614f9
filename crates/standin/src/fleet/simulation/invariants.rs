//! Checks of the invariants, from the point of view of the workers.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use bronzespoke_dispatch::dispatch;
use bronzespoke_workload::{directive, job};

use super::{Simulation, failure_key, zone_of};

/// Time from the record of an evacuation after which no task starts in the zone, as the platform states it.
const EVACUATION_MS: u64 = 5_000;

impl Simulation {
    pub(super) fn trace_event(&mut self, event: &dispatch::Event) {
        match event {
            dispatch::Event::Placed { .. } => {
                let mut hasher = DefaultHasher::new();
                (self.report.decisions, event.to_string()).hash(&mut hasher);
                self.report.decisions = hasher.finish();
            }
            dispatch::Event::WorkerUnusable { worker, reason, .. } if *reason == "slow" => {
                let index = worker.split('-').nth(1).and_then(|index| index.parse().ok());
                self.report.slow.extend(index.map(|index| (self.now, index)));
            }
            _ => {}
        }
        let Some(key) = self.plan.trace else { return };
        let text = event.to_string();
        if text.contains(&format!("{key:016x}")) || text.starts_with("belief") {
            self.report.trace.push(format!("{:?} {text}", self.now));
        }
    }

    /// Adds a violated invariant to the report.
    pub(super) fn record_violation(&mut self, description: &str) {
        self.report
            .violations
            .push(format!("{:?}: {description}", self.now));
    }

    /// Checks a start: the task must not run elsewhere or be done, earlier steps must be done, and the attempts, a
    /// cancellation and the team's upper limit must be respected.
    pub(super) fn check_start(&mut self, index: usize, task: directive::Task, run: directive::Run) {
        let mut elsewhere = Vec::new();
        for (other, host) in self.hosts.iter().enumerate() {
            let Some(worker) = &host.worker else { continue };
            let runs_here = worker
                .runs
                .get(&task)
                .is_some_and(|active| active.run != run || other != index);
            if runs_here {
                elsewhere.push(worker.name.clone());
            }
        }
        for name in elsewhere {
            self.record_violation(&format!("{task} run {run} starts while it runs on {name}"));
        }
        self.check_zone(index, task, run);
        if self.acknowledged.contains(&task) {
            self.record_violation(&format!("{task} run {run} starts after its end was acknowledged"));
        }
        let Some(job) = self.jobs.get(&task.job) else {
            self.record_violation(&format!("{task} was never submitted"));
            return;
        };
        let spec = &job.submission.steps[usize::from(task.step)];
        for before in spec.after.clone() {
            let tasks = job.submission.steps[usize::from(before)].tasks;
            let open = (0..tasks).find(|index| {
                let other = directive::Task {
                    step: before,
                    index: *index,
                    ..task
                };
                !self.done.contains(&other)
            });
            if let Some(open) = open {
                self.record_violation(&format!(
                    "{task} starts before task {open} of step {before} is done"
                ));
                return;
            }
        }
        let key = failure_key(task, spec.gang);
        self.run_starts.entry(key).or_default().push(self.now);
        self.check_attempts(key);
        let grace = Duration::from_secs(3);
        let cancelled = self.cancelled.get(&task.job).copied();
        if cancelled.is_some_and(|at| self.now > at + grace) && self.plan.faults.late_directives == 0.0 {
            self.record_violation(&format!("{task} starts after its job was cancelled"));
        }
        self.check_limit(task);
    }

    /// Checks that the zone of a host is not evacuated, except for the time that the platform allows.
    fn check_zone(&mut self, index: usize, task: directive::Task, run: directive::Run) {
        let zone = zone_of(index);
        let wall_ms = self.dispatch_now().wall_ms;
        let is_in_force = |(name, since): (&str, u64)| name == zone && wall_ms > since + EVACUATION_MS;
        if self.state.evacuated().any(is_in_force) {
            self.record_violation(&format!("{task} run {run} starts in {zone}, which is evacuated"));
        }
    }

    /// Checks that no run of a task started after its last attempt had failed.
    pub(super) fn check_attempts(&mut self, key: directive::Task) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let attempts = self.plan.kinds[job.kind].queue.attempts as usize;
        let (Some(failures), Some(run_starts)) = (self.failures.get(&key), self.run_starts.get(&key)) else {
            return;
        };
        let late = run_starts
            .iter()
            .any(|start| failures.values().filter(|ended| *ended < start).count() >= attempts);
        if late {
            self.record_violation(&format!("{key} starts after {attempts} failures"));
        }
    }

    pub(super) fn record_ends(&mut self, acknowledged: Vec<(directive::Ended, Duration)>) {
        for (ended, at) in acknowledged {
            match ended.outcome {
                directive::Outcome::Done => {
                    self.acknowledged.insert(ended.task);
                }
                directive::Outcome::Failed => {
                    let key = failure_key(ended.task, self.is_gang(ended.task));
                    self.failures.entry(key).or_default().insert(ended.run, at);
                    self.check_attempts(key);
                }
                _ => {}
            }
        }
    }

    pub(super) fn check_limit(&mut self, task: directive::Task) {
        let team = self.jobs[&task.job].team.clone();
        let limit = self.plan.teams.iter().find(|(name, _)| *name == team);
        let Some((_, limit)) = limit.cloned() else { return };
        let mut used = 0_u64;
        for worker in self.hosts.iter().filter_map(|host| host.worker.as_ref()) {
            for (other, active) in &worker.runs {
                if self.jobs.get(&other.job).is_some_and(|job| job.team == team) {
                    used += u64::from(active.size.cpu_milli);
                }
            }
        }
        if limit.cpu_milli > 0 && used > u64::from(limit.cpu_milli) * 11 / 10 {
            self.record_violation(&format!("{team} runs {used} thousandths of a core"));
        }
    }

    /// Counts a job when it reaches a terminal state.
    pub(super) fn record_job_end(&mut self, key: job::Key) {
        let Some(job) = self.state.job(key) else { return };
        if !job.is_final() || !self.finished.insert(key) {
            return;
        }
        let phase = job.phase;
        if self.cancelled.contains_key(&key) {
            return;
        }
        let load = &self.jobs[&key];
        let counters = &mut self.report.kinds[load.kind];
        let queue = &self.plan.kinds[load.kind].queue;
        let took = self.now.saturating_sub(self.submitted[&key]);
        let objective = load.critical_path.mul_f64(queue.stretch) + queue.objective;
        counters.times.push(took.as_millis() as u64);
        if phase == job::Phase::Failed && !load.always_fails {
            counters.failed += 1;
        } else if took <= objective {
            counters.on_time += 1;
            let second = self.submitted[&key].as_secs();
            self.report.seconds.entry(second).or_default().1 += 1;
        } else if took <= objective * 3 {
            counters.late += 1;
        }
    }
}
