//! Ends of runs and jobs, retries, and recovery of lost tasks.

use std::time::Duration;

use bronzespoke_model::{id, job as model, resource, task};
use rand::Rng;

use crate::job::Phase;
use crate::message::{Output, Reason};
use crate::scheduler::Scheduler;
use crate::{run, table, timer};

/// Interval at which an unconfirmed stop is repeated; workers report every 3 s.
const STOP_INTERVAL: Duration = Duration::from_secs(3);
/// Initial delay before a failed task is retried; doubles with every failure.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay before a failed task is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_mins(1);
/// A service task that ran at least this long is replaced without a delay when it ends.
const STABLE_RUN_TIME: Duration = Duration::from_mins(1);
/// A job may have one failed run per this many tasks in addition to the attempts of a single task.
const TASKS_PER_FAILURE: u32 = 4;
/// Maximum number of racks that a job avoids.
const AVOIDED_RACKS: usize = 3;
/// Cost of a retry in the unit of the team's retry budget, which is a thousandth of a retry.
const RETRY_COST: u32 = 1000;
/// Interval at which lost tasks are released.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Handles the reported end of a run. Duplicates and stale tokens are ignored.
    pub(crate) fn ended(
        &mut self,
        now: Duration,
        task: task::Ref,
        token: id::Token,
        outcome: task::Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(&run) = self.tokens.get(&token) else {
            return;
        };
        if self.task_of(run) == task {
            self.end_run(now, run, outcome, out);
        }
    }

    /// Returns the task of a run.
    pub(crate) fn task_of(&self, run: table::Run) -> task::Ref {
        let record = &self.runs[run];
        task::Ref {
            job: self.jobs[record.job].id,
            index: record.index,
        }
    }

    /// Ends a run that is known to use no resources any more.
    pub(crate) fn end_run(
        &mut self,
        now: Duration,
        run: table::Run,
        outcome: task::Outcome,
        out: &mut Vec<Output>,
    ) {
        self.charge_work();
        let task = self.task_of(run);
        let record = self.remove_run(now, run);
        let worker = self.workers[record.worker].id;
        let end = run::End::of(&outcome);
        self.observe_end(now, &record, end, out);
        let attempts = self.count_failure(&record, end);
        out.push(Output::Ended {
            task,
            worker,
            token: record.token,
            outcome,
            attempts,
        });
        self.capacity_freed(record.worker);
        self.resolve_task(now, &record, end, attempts, out);
    }

    /// Removes a run from all lists and accounts.
    fn remove_run(&mut self, now: Duration, run: table::Run) -> run::Record {
        let record = self.runs.remove(run);
        self.tokens.remove(&record.token);
        let list = &mut self.workers[record.worker].runs;
        list.swap_remove(record.in_worker as usize);
        if let Some(&moved) = list.get(record.in_worker as usize) {
            self.runs[moved].in_worker = record.in_worker;
        }
        let list = &mut self.jobs[record.job].runs;
        list.swap_remove(record.in_job as usize);
        if let Some(&moved) = list.get(record.in_job as usize) {
            self.runs[moved].in_job = record.in_job;
        }
        self.update_spread(record.job, record.rack, false);
        let team = self.jobs[record.job].team;
        let account = &mut self.teams[team];
        let was_active = account.is_active();
        account.runs -= 1;
        self.track_active(team, was_active);
        self.set_excess(record.worker);
        if !record.credited {
            self.credit(now, &record);
        }
        record
    }

    fn credit(&mut self, now: Duration, record: &run::Record) {
        let size = &record.size;
        let worker = &mut self.workers[record.worker];
        worker.used = subtract(&worker.used, size);
        self.used = subtract(&self.used, size);
        let team = self.jobs[record.job].team;
        let account = &mut self.teams[team];
        account.used = subtract(&account.used, size);
        if record.is_ending() {
            account.ending = subtract(&account.ending, size);
        }
        self.refresh_team(now, team);
        if self.teams[team].limited {
            self.unblock_lanes(team);
        }
    }

    fn count_failure(&mut self, record: &run::Record, end: run::End) -> u32 {
        let rack = self.workers[record.worker].rack;
        let probation =
            self.workers[record.worker].health.max_tasks.is_some() || self.is_rack_suspected(rack);
        let job = &mut self.jobs[record.job];
        if end != run::End::Failed {
            return job.attempts(record.index);
        }
        // Failures on a worker on probation or in a suspected rack are not evidence against the job.
        let attempts = job.add_attempts(record.index, u32::from(!probation));
        let history = job.failure_history.get_or_insert_default();
        // Consecutive failures on one rack may share a cause that is not the job, so they count as one.
        history.failures += u32::from(!probation && history.racks.last() != Some(&rack));
        history.racks.retain(|known| *known != rack);
        if history.racks.len() == AVOIDED_RACKS {
            history.racks.remove(0);
        }
        history.racks.push(rack);
        attempts
    }

    /// Decides whether the task is complete, retried or queued again, and whether its job ends.
    fn resolve_task(
        &mut self,
        now: Duration,
        record: &run::Record,
        end: run::End,
        attempts: u32,
        out: &mut Vec<Output>,
    ) {
        let index = record.job;
        let job = &self.jobs[index];
        if !job.is_active() {
            self.finish_if_idle(index, out);
            return;
        }
        let service = job.kind == model::Kind::Service;
        let immediate = service || job.priority == model::Priority::Urgent;
        match end {
            run::End::Succeeded if !service => self.succeed(index, out),
            run::End::Succeeded | run::End::Failed => {
                self.retry(now, record, attempts, out);
            }
            run::End::LeaseExpired if !immediate => self.queue_lost_task(now, record),
            run::End::Stopped if !record.is_ending() => {
                self.delay(now, index, record.index, MIN_RETRY_DELAY);
            }
            run::End::LeaseExpired | run::End::Stopped | run::End::Checkpointed => {
                self.add_waiting(index, record.index);
            }
        }
        if end != run::End::Succeeded {
            self.stop_gang(index);
        }
    }

    fn succeed(&mut self, index: table::Job, out: &mut Vec<Output>) {
        let job = &mut self.jobs[index];
        job.succeeded += 1;
        if job.succeeded == job.tasks {
            self.finish(index, model::State::Succeeded, out);
        } else if job.kind == model::Kind::Gang {
            self.enqueue(index);
        }
    }

    fn retry(&mut self, now: Duration, record: &run::Record, attempts: u32, out: &mut Vec<Output>) {
        let index = record.job;
        let job = &self.jobs[index];
        let service = job.kind == model::Kind::Service;
        if service && now.saturating_sub(record.started) >= STABLE_RUN_TIME {
            self.add_waiting(index, record.index);
            return;
        }
        let failures = job.failure_history.as_ref().map_or(0, |history| history.failures);
        let allowed = self.config.max_attempts + job.tasks / TASKS_PER_FAILURE;
        if !service && (attempts >= self.config.max_attempts || failures > allowed) {
            self.fail(index, out);
            return;
        }
        let team = &mut self.teams[job.team];
        let delay = if team.retries_milli >= RETRY_COST {
            team.retries_milli -= RETRY_COST;
            MIN_RETRY_DELAY * (1 << attempts.saturating_sub(1).min(6))
        } else {
            MAX_RETRY_DELAY
        };
        let jitter = self.random.random_range(0.5..1.0);
        self.delay(
            now,
            index,
            record.index,
            delay.min(MAX_RETRY_DELAY).mul_f64(jitter),
        );
    }

    fn delay(&mut self, now: Duration, index: table::Job, task: id::TaskIndex, delay: Duration) {
        let job = &mut self.jobs[index];
        job.delayed += 1;
        let event = timer::Event::Retry(index, job.id, task);
        self.timers.push(now + delay, event);
    }

    /// Makes a delayed task eligible to start.
    pub(crate) fn release_task(&mut self, index: table::Job, id: id::JobId, task: id::TaskIndex) {
        let Some(job) = self.jobs.get(index) else {
            return;
        };
        if job.id != id || !job.is_active() {
            return;
        }
        self.jobs[index].delayed -= 1;
        self.add_waiting(index, task);
    }

    /// Queues a task of a lost worker for rate-limited release.
    fn queue_lost_task(&mut self, now: Duration, record: &run::Record) {
        let job = &mut self.jobs[record.job];
        job.delayed += 1;
        if self.lost_tasks.is_empty() {
            self.timers
                .push(now.max(self.recovery_next), timer::Event::Recovery);
        }
        self.lost_tasks.push_back((record.job, job.id, record.index));
    }

    /// Releases lost tasks at the configured rate.
    pub(crate) fn release_lost(&mut self, now: Duration) {
        let per_second = f64::from(self.config.recovery_starts_per_second);
        let count = (per_second * RECOVERY_INTERVAL.as_secs_f64()).max(1.0) as usize;
        self.recovery_next = now + RECOVERY_INTERVAL;
        for _ in 0..count {
            let Some((job, id, task)) = self.lost_tasks.pop_front() else {
                return;
            };
            self.release_task(job, id, task);
        }
        if !self.lost_tasks.is_empty() {
            self.timers.push(now + RECOVERY_INTERVAL, timer::Event::Recovery);
        }
    }

    /// Cancels a job. The end of the job is emitted once its last run has ended.
    pub(crate) fn cancel(&mut self, id: id::JobId, out: &mut Vec<Output>) {
        let Some(&index) = self.job_ids.get(&id) else {
            return;
        };
        if self.jobs[index].phase == Phase::Cancelled {
            return;
        }
        self.jobs[index].phase = Phase::Cancelled;
        self.abort(index, Reason::Cancelled, out);
    }

    fn fail(&mut self, index: table::Job, out: &mut Vec<Output>) {
        self.jobs[index].phase = Phase::Failed;
        self.abort(index, Reason::Failed, out);
    }

    /// Drops the waiting tasks of a job and stops its runs.
    pub(crate) fn abort(&mut self, index: table::Job, reason: Reason, out: &mut Vec<Output>) {
        self.cancel_launch(index);
        self.drop_waiting(index);
        self.jobs[index].delayed = 0;
        self.release_holds(index);
        if self.jobs[index].runs.is_empty() {
            self.finish_if_idle(index, out);
        } else {
            self.stop_runs(index, reason);
        }
    }

    /// Finishes an aborted job if its last run has ended.
    pub(crate) fn finish_if_idle(&mut self, index: table::Job, out: &mut Vec<Output>) {
        let job = &self.jobs[index];
        if !job.runs.is_empty() {
            return;
        }
        let outcome = match job.phase {
            Phase::Active => return,
            Phase::Cancelled => model::State::Cancelled,
            Phase::Failed => model::State::Failed,
        };
        self.finish(index, outcome, out);
    }

    /// Removes a job and emits its final state.
    pub(crate) fn finish(&mut self, index: table::Job, outcome: model::State, out: &mut Vec<Output>) {
        self.dequeue(index);
        self.release_holds(index);
        let job = self.jobs.remove(index);
        self.job_ids.remove(&job.id);
        out.push(Output::JobEnded { job: job.id, outcome });
    }

    /// Instructs a worker to end a run. With a grace period, a task that supports checkpoints has that long to take
    /// one.
    pub(crate) fn stop(
        &mut self,
        now: Duration,
        run: table::Run,
        reason: Reason,
        grace: Option<Duration>,
        out: &mut Vec<Output>,
    ) {
        let checkpointable = self.is_checkpointable(self.runs[run].job);
        let record = &mut self.runs[run];
        if matches!(record.phase, run::Phase::Stopping(_)) {
            return;
        }
        let first = !record.is_ending();
        let (phase, wait) = match grace {
            Some(_) if !first => return,
            Some(grace) if checkpointable && record.confirmed => (run::Phase::Checkpointing(reason), grace),
            _ => (run::Phase::Stopping(reason), STOP_INTERVAL),
        };
        record.phase = phase;
        record.due = now + wait;
        let (token, size, job) = (record.token, record.size, record.job);
        self.timers.push(now + wait, timer::Event::Run(token));
        self.charge_work();
        if first {
            let team = self.jobs[job].team;
            let account = &mut self.teams[team];
            account.ending = account.ending.saturating_add(&size);
        }
        self.emit_stop(run, out);
        if !self.config.rules.count_stopping && !self.runs[run].credited {
            self.credit_early(now, run);
        }
    }

    /// Credits a run before its stop is confirmed. Tests use this violation of the rule `count_stopping` to show that
    /// their checks detect it.
    fn credit_early(&mut self, now: Duration, run: table::Run) {
        self.runs[run].credited = true;
        let record = run::Record { ..self.runs[run] };
        self.credit(now, &record);
        self.capacity_freed(record.worker);
    }

    fn emit_stop(&self, run: table::Run, out: &mut Vec<Output>) {
        let task = self.task_of(run);
        let record = &self.runs[run];
        let (worker, token) = (self.workers[record.worker].id, record.token);
        match record.phase {
            run::Phase::Starting | run::Phase::Running => {}
            run::Phase::Checkpointing(reason) => out.push(Output::Checkpoint {
                task,
                worker,
                token,
                reason,
            }),
            run::Phase::Stopping(reason) => out.push(Output::Stop {
                task,
                worker,
                token,
                reason,
            }),
        }
    }

    /// Handles a start or stop that no report has confirmed in time.
    pub(crate) fn run_due(&mut self, now: Duration, token: id::Token, out: &mut Vec<Output>) {
        let Some(&run) = self.tokens.get(&token) else {
            return;
        };
        let record = &mut self.runs[run];
        if now < record.due || record.earlier_incarnation {
            return;
        }
        match record.phase {
            run::Phase::Running => {}
            run::Phase::Starting => self.stop(now, run, Reason::NotStarted, None, out),
            run::Phase::Checkpointing(reason) => self.stop(now, run, reason, None, out),
            run::Phase::Stopping(_) => {
                record.due = now + STOP_INTERVAL;
                self.timers.push(now + STOP_INTERVAL, timer::Event::Run(token));
                self.emit_stop(run, out);
            }
        }
    }
}

fn subtract(from: &resource::Amount, size: &resource::Amount) -> resource::Amount {
    from.checked_sub(size)
        .expect("an account holds at least the sum of its runs")
}
