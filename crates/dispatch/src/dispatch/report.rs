//! Handling of workers' reports: active runs and ends.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_workload::{directive, eligibility};

use super::{Dispatch, Event, Now, Output, proof::Proof};
use crate::{
    progress,
    worker::{self, Phase, Stop},
};

/// Pause of a worker that fails what it starts; doubled with each further suspicion.
const SUSPECT_PAUSE: Duration = Duration::from_secs(2);
/// Maximum pause of a suspected worker.
const MAX_PAUSE: Duration = Duration::from_secs(16);
/// Pause of a worker on which runs stall; doubled with each further time.
const STALL_PAUSE: Duration = Duration::from_secs(2);
/// Factor by which a run has to end sooner elsewhere to be moved; projections are rough.
const MIN_MOVE_GAIN: f64 = 1.3;
/// Duration of a move: the stop, a new eligibility query and the start.
const MOVE_COST: Duration = Duration::from_millis(800);
/// Maximum delay of a request for a report that waits for the record of ends, so that leases are renewed.
const RECORD_WAIT: Duration = Duration::from_millis(300);
/// Pause before ends whose record was rejected are proposed again.
const REJECTED_PAUSE: Duration = Duration::from_millis(300);

impl Dispatch {
    pub(super) fn handle_report(
        &mut self,
        state: &cell::State,
        now: Now,
        worker: cell::WorkerIndex,
        sent: Duration,
        report: &directive::Report,
    ) {
        let Some(record) = self.workers.get_mut(&worker) else {
            return;
        };
        if let Some(proof) = Proof::report(record, report) {
            self.end_incarnation(worker, proof, now.steady);
            return;
        }
        record.report_missed = false;
        if let Some(noticed_at) = record.noticed_at.filter(|noticed_at| sent >= *noticed_at) {
            self.outputs.push(Output::Event(Event::DepartureRefuted {
                index: worker,
                worker: record.incarnation.name.clone(),
                runs: report.running.len(),
                after: now.steady.saturating_sub(noticed_at),
            }));
        }
        record.refute_claims(sent);
        let first = record.last_report_at.is_none();
        record.last_report_at = Some(record.last_report_at.unwrap_or_default().max(now.steady));
        if first {
            record.first_report(report.clock, self.config.bounds.longest_lease);
            self.dirty = true;
            self.inherit_speed(state, worker);
            self.end_replaced(worker, report, now.steady);
        }
        self.review_uncertain(now.steady, worker, report);
        self.handle_ends(state, now.steady, worker, report);
        self.reconcile_runs(state, now.steady, worker, sent, report);
        self.refresh_speeds(state, now.steady);
        self.stop_stalled(state, now.steady, worker);
        self.move_from_slow(state, now.steady, worker);
        self.move_from_draining(now.steady, worker);
        if let Some(record) = self.workers.get_mut(&worker) {
            record.next_report_at = if record.proposals == 0 {
                now.steady
            } else {
                now.steady + RECORD_WAIT
            };
        }
        self.renew_lease(worker, now.steady);
    }

    /// Handles the ends that were not reported before and proposes their record.
    fn handle_ends(
        &mut self,
        state: &cell::State,
        now: Duration,
        worker: cell::WorkerIndex,
        report: &directive::Report,
    ) {
        let Some(record) = self.workers.get_mut(&worker) else {
            return;
        };
        let mut numbered = Vec::new();
        for ended in report
            .ended
            .iter()
            .filter(|ended| record.ends.is_new(ended.number))
        {
            let end = cell::End {
                task: ended.task,
                run: ended.run,
                worker,
                outcome: ended.outcome,
                checkpoint: ended.checkpoint.clone(),
            };
            numbered.push((ended.number, end));
        }
        for (number, end) in &numbered {
            record.ends.add(*number, end.clone());
        }
        for (number, end) in &numbered {
            self.handle_end(state, now, *number, end);
        }
        if !numbered.is_empty() {
            self.propose_ends(worker, numbered.into_iter().map(|(_, end)| end).collect());
        }
    }

    fn handle_end(&mut self, state: &cell::State, now: Duration, number: u64, end: &cell::End) {
        self.unconfirmed.remove(&end.task.job);
        self.log_end(end, Some(number), "reported");
        let removed = self.drop_run(end.worker, end.task, end.run);
        self.inherited_starts.confirm(end.task);
        self.record_outstanding(end.worker, end.task, removed.as_ref(), now);
        if end.outcome == directive::Outcome::Done {
            self.record_run_time(state, now, end, removed.as_ref());
        }
        let stop_requested = removed.is_some_and(|run| run.stop != Stop::NotRequested);
        let Some(record) = self.workers.get_mut(&end.worker) else {
            return;
        };
        match end.outcome {
            directive::Outcome::Done => record.record_success(),
            directive::Outcome::Failed if !stop_requested => {
                self.failed_on.entry(end.task).or_default().push(end.worker);
                let pause = SUSPECT_PAUSE * 2_u32.saturating_pow(record.suspicions);
                let pause = pause.min(MAX_PAUSE);
                if record.record_failure(now, end.task.job, pause) {
                    let event = Event::WorkerUnusable {
                        worker: record.incarnation.name.clone(),
                        reason: "failures",
                        runs: record.runs.len(),
                        silent: None,
                    };
                    self.outputs.push(Output::Event(event));
                }
            }
            _ => {}
        }
        let gang = state.spec(end.task).is_some_and(|step| step.gang);
        if gang && end.outcome != directive::Outcome::Done {
            self.stop_step(step_of(end.task), end.run, now);
        }
    }

    /// Records the run time of a completed run in the estimates of its queue.
    fn record_run_time(
        &mut self,
        state: &cell::State,
        now: Duration,
        end: &cell::End,
        run: Option<&worker::Run>,
    ) {
        let (Some(run), Some(job)) = (run, state.job(end.task.job)) else {
            return;
        };
        let (Phase::Running(since), Some(step)) =
            (run.phase, job.submission.steps.get(usize::from(end.task.step)))
        else {
            return;
        };
        // A resumed run has completed a part of its work before.
        if run.run == 1 {
            let actual = now.saturating_sub(since);
            self.learn(now, job, end, step, actual);
        }
    }

    /// Proposes the record of ends of one worker.
    pub(super) fn propose_ends(&mut self, worker: cell::WorkerIndex, ends: Vec<cell::End>) {
        if let Some(record) = self.workers.get_mut(&worker) {
            record.proposals += 1;
        }
        self.outputs.push(Output::Propose(cell::Command::End(ends)));
    }

    /// Compares the reported runs with the expected ones: confirms runs, proposes the end of missing ones and finds
    /// orphans.
    fn reconcile_runs(
        &mut self,
        state: &cell::State,
        now: Duration,
        worker: cell::WorkerIndex,
        sent: Duration,
        report: &directive::Report,
    ) {
        let Some(record) = self.workers.get_mut(&worker) else {
            return;
        };
        let running: HashMap<directive::Task, &directive::Running> = report
            .running
            .iter()
            .map(|running| (running.task, running))
            .collect();
        let mut ended = Vec::new();
        for (task, run) in &mut record.runs {
            if let Some(found) = running.get(task).filter(|found| found.run == run.run) {
                if !matches!(run.phase, Phase::Running(_)) {
                    if run.phase == Phase::Inherited {
                        self.inherited_starts.confirm(*task);
                    }
                    self.unconfirmed.remove(&task.job);
                    run.phase = Phase::Running(now);
                    run.since = now;
                }
                if found.checkpoint.is_some() {
                    run.checkpoint.clone_from(&found.checkpoint);
                }
                observe(run, now, found.percent);
                continue;
            }
            let has_ended = match (run.phase, run.stop) {
                // Its end may be among those that the report leaves out.
                _ if report.truncated => false,
                (Phase::Proposed, _) => false,
                // The worker refuses directives of an earlier leader once it has received one of this leader.
                (Phase::Inherited, _) => true,
                (_, Stop::Acknowledged(at)) if sent > at => true,
                (Phase::Running(since), _) => sent > since,
                (Phase::Unacknowledged | Phase::Sent, _) => report.clock > run.lease_end,
            };
            if has_ended {
                let outcome = match run.phase {
                    Phase::Running(_) if run.stop == Stop::NotRequested => directive::Outcome::Lost,
                    Phase::Running(_) => directive::Outcome::Stopped,
                    _ => directive::Outcome::NeverStarted,
                };
                ended.push(cell::End {
                    task: *task,
                    run: run.run,
                    worker,
                    outcome,
                    checkpoint: run.checkpoint.clone(),
                });
            }
        }
        let orphans: Vec<_> = report
            .running
            .iter()
            .filter(|running| {
                let known = record.runs.get(&running.task);
                known.is_none_or(|known| known.run != running.run)
            })
            .map(|running| {
                let size = size_of(state, running.task).unwrap_or(record.announced.room);
                ((running.task, running.run), size)
            })
            .collect();
        let before: Vec<_> = record.orphans.listed().collect();
        record.orphans.observe(now, sent, &orphans);
        for (task, _) in &before {
            self.orphaned.remove(&(*task, worker));
        }
        for (task, run) in record.orphans.listed() {
            self.orphaned.insert((task, worker));
            if before.contains(&(task, run)) {
                continue;
            }
            self.outputs.push(Output::Event(Event::Orphan {
                task,
                run,
                worker: record.incarnation.name.clone(),
                placed: record.runs.get(&task).map(|placed| placed.run),
            }));
        }
        self.rooms.touch(worker);
        for end in ended {
            let removed = self.drop_run(worker, end.task, end.run);
            self.record_outstanding(worker, end.task, removed.as_ref(), now);
            self.propose_derived(vec![end], "not_listed");
        }
    }

    /// Stops stalled runs, so that they continue elsewhere.
    fn stop_stalled(&mut self, state: &cell::State, now: Duration, worker: cell::WorkerIndex) {
        let Some(record) = self.workers.get_mut(&worker) else {
            return;
        };
        let stalled: Vec<(directive::Task, directive::Run)> = record
            .runs
            .iter()
            .filter(|(_, run)| run.stop == Stop::NotRequested && is_stalled(run, now))
            .filter(|(task, _)| may_stall(state, **task))
            .map(|(task, run)| (*task, run.run))
            .collect();
        if stalled.is_empty() {
            return;
        }
        let pause = STALL_PAUSE * 2_u32.saturating_pow(record.suspicions.min(3));
        record.record_stall(now, pause.min(MAX_PAUSE));
        let event = Event::WorkerUnusable {
            worker: record.incarnation.name.clone(),
            reason: "stalled",
            runs: record.runs.len(),
            silent: None,
        };
        self.outputs.push(Output::Event(event));
        for (task, run) in stalled {
            self.failed_on.entry(task).or_default().push(worker);
            self.stop_run(worker, task, run, now);
        }
    }

    /// Rates a worker by the progress of its runs. If it is slow, stops the runs that would end sooner if they were
    /// started again elsewhere.
    fn move_from_slow(&mut self, state: &cell::State, now: Duration, worker: cell::WorkerIndex) {
        let Some(record) = self.workers.get(&worker) else {
            return;
        };
        let mut totals = BTreeMap::new();
        for (task, run) in record.runs.iter().filter(|(_, run)| !run.gang) {
            if let Some(total) = run.progress.and_then(|progress| progress.total()) {
                totals.insert(step_of(*task), total.mul_f64(self.speeds.of(worker)));
            }
        }
        self.slowness.observe(now, worker, &totals);
        let Some(factor) = self.slow_factor(worker, now) else {
            return;
        };
        let mut moved = Vec::new();
        for (task, run) in record.runs.iter().filter(|(_, run)| !run.gang) {
            let step = state.spec(*task);
            let (Some(step), Some(progress)) = (step, run.progress) else {
                continue;
            };
            let stays = run.stop != Stop::NotRequested || step.lasting;
            if !stays && is_sooner_elsewhere(&progress, factor, step.checkpoints, now) {
                moved.push((*task, run.run));
            }
        }
        if moved.is_empty() {
            return;
        }
        let event = Event::WorkerUnusable {
            worker: record.incarnation.name.clone(),
            reason: "slow",
            runs: record.runs.len(),
            silent: None,
        };
        self.outputs.push(Output::Event(event));
        for (task, run) in moved {
            self.failed_on.entry(task).or_default().push(worker);
            self.stop_run(worker, task, run, now);
        }
    }

    /// Stops runs that are not expected to end before their worker leaves, so that they continue elsewhere immediately
    /// and with their newest progress.
    pub(super) fn move_from_draining(&mut self, now: Duration, worker: cell::WorkerIndex) {
        let Some(record) = self.workers.get(&worker) else {
            return;
        };
        let Some(departs_at) = record.departs_at else {
            return;
        };
        let mut moved = Vec::new();
        for (task, run) in &record.runs {
            let ends_in_time = run.expected_end.is_some_and(|end| end <= departs_at);
            let is_there = matches!(run.phase, Phase::Running(_));
            if is_there && run.stop == Stop::NotRequested && !ends_in_time {
                moved.push((*task, run.run, run.gang));
            }
        }
        if moved.is_empty() {
            return;
        }
        self.outputs.push(Output::Event(Event::WorkerUnusable {
            worker: record.incarnation.name.clone(),
            reason: "leaves",
            runs: record.runs.len(),
            silent: None,
        }));
        for (task, run, gang) in moved {
            if gang {
                self.stop_step(step_of(task), run, now);
            } else {
                self.stop_run(worker, task, run, now);
            }
        }
    }

    /// Handles ends that are recorded: acknowledges them and updates the steps that depend on them.
    pub(super) fn ends_recorded(&mut self, state: &cell::State, now: Now, ends: &[cell::End]) {
        // All ends in one command are of the same worker.
        let worker = ends.first().map(|end| end.worker);
        if let Some(record) = worker.and_then(|worker| self.workers.get_mut(&worker)) {
            record.proposals = record.proposals.saturating_sub(1);
            let before = record.ends.recorded();
            record.ends.commit(ends);
            record.next_report_at = record.next_report_at.min(now.steady);
            let through = record.ends.recorded();
            if through > before {
                self.outputs.push(Output::Event(Event::EndsRecorded {
                    index: ends[0].worker,
                    worker: record.incarnation.name.clone(),
                    through,
                }));
            }
        }
        self.forget_reported(ends);
        let mut last = None;
        for end in ends {
            if end.outcome == directive::Outcome::Done {
                self.stop_later_runs(state, now.steady, end);
            } else {
                self.log_late_start(now.steady, end);
                self.abandon_gang(state, now.steady, end);
            }
            if last != Some(end.task.job) {
                self.refresh_job(state, end.task.job);
                last = Some(end.task.job);
            }
            let job = state.job(end.task.job);
            if job.is_none_or(cell::Job::is_final) {
                self.forget_failures(end.task.job, 0..=u32::MAX);
            }
            if let Some(job) = job
                && end.task.occurrence < job.begun
                && !job.open.contains_key(&end.task.occurrence)
            {
                self.forget_occurrence(job, end.task.occurrence);
            }
            if job.is_some_and(|job| job.is_final() && job.placed > 0) {
                self.stop_job(end.task.job, now.steady, state);
            }
        }
        if let Some(worker) = worker {
            self.renew_lease(worker, now.steady);
        }
    }

    /// Stops runs of a task that were started after a run that turned out to be complete.
    fn stop_later_runs(&mut self, state: &cell::State, now: Duration, end: &cell::End) {
        let placed = state
            .task(end.task)
            .and_then(|task| Some((task.placed?, task.run)));
        let Some((worker, run)) = placed.filter(|(_, run)| *run > end.run) else {
            return;
        };
        let step = state.spec(end.task);
        if step.is_some_and(|step| step.gang) {
            self.stop_step(step_of(end.task), run, now);
        } else {
            self.stop_run(worker, end.task, run, now);
        }
    }

    /// Stops the other members of a gang that has lost one.
    fn abandon_gang(&mut self, state: &cell::State, now: Duration, end: &cell::End) {
        let step = state.spec(end.task);
        if step.is_some_and(|step| step.gang) {
            self.stop_step(step_of(end.task), end.run, now);
        }
    }

    /// Handles ends whose record was rejected. They are proposed again after a pause: their runs are no longer counted, and
    /// a worker that has reported some of them may be gone before it repeats them.
    pub(super) fn ends_rejected(&mut self, now: Duration, ends: &[cell::End]) {
        let Some(first) = ends.first() else { return };
        self.outputs.push(Output::Event(Event::EndsRejected {
            index: first.worker,
            ends: ends.len(),
        }));
        let due = now + REJECTED_PAUSE;
        self.rejected_ends.push_back((due, Vec::from(ends)));
    }

    /// Proposes ends again whose record was rejected.
    pub(super) fn repeat_rejected_ends(&mut self, now: Duration) {
        while let Some((_, ends)) = self.rejected_ends.pop_front_if(|(due, _)| now >= *due) {
            self.outputs.push(Output::Propose(cell::Command::End(ends)));
        }
    }
}

/// Returns the resources that a task counts with; `None` if its job was removed.
fn size_of(state: &cell::State, task: directive::Task) -> Option<resource::Amount> {
    state.spec(task).map(super::fleet::counted_size)
}

fn observe(run: &mut worker::Run, now: Duration, percent: u8) {
    match &mut run.progress {
        Some(progress) => progress.observe(now, percent),
        None => run.progress = Some(progress::Progress::new(now, percent)),
    }
    // The progress of a lasting run says nothing about its end.
    if run.expected_end.is_some()
        && let Some(end) = run.progress.and_then(|progress| progress.end())
    {
        run.expected_end = Some(end);
    }
}

/// Returns whether a run on a worker that is slow by `factor` would end sooner if it were stopped and started again
/// elsewhere.
fn is_sooner_elsewhere(progress: &progress::Progress, factor: f64, checkpoints: bool, now: Duration) -> bool {
    let (Some(end), Some(total)) = (progress.end(), progress.total()) else {
        return false;
    };
    let here = end.saturating_sub(now);
    let completed = if checkpoints {
        f64::from(progress.percent()) / 100.0
    } else {
        0.0
    };
    let elsewhere = total.mul_f64((1.0 - completed) / factor);
    here > elsewhere.mul_f64(MIN_MOVE_GAIN) + MOVE_COST
}

fn is_stalled(run: &worker::Run, now: Duration) -> bool {
    run.progress
        .is_some_and(|progress| progress.is_stalled(now, run.run_time))
}

/// Returns whether the progress of a task is meaningful: that of a lasting task is not, and a gang may wait for a
/// member.
fn may_stall(state: &cell::State, task: directive::Task) -> bool {
    let step = state.spec(task);
    step.is_some_and(|step| !step.lasting && !step.gang)
}

pub(super) const fn step_of(task: directive::Task) -> eligibility::Step {
    eligibility::Step {
        job: task.job,
        occurrence: task.occurrence,
        step: task.step,
    }
}
