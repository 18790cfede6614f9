//! Directives to workers (starts, stops and lease renewals) and their answers.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_workload::directive;
use bytes::Bytes;

use super::{Dispatch, Event, Now, Output, START_LEASE, TimerGroup, event, proof::Proof, report};
use crate::{
    orphan,
    worker::{self, Phase, Stop},
};

/// Maximum time for which a worker may hold a report back while no run ends. It renews leases often enough and costs
/// one call per second and worker.
const REPORT_WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed report.
const REPORT_RETRY: Duration = Duration::from_millis(500);
/// Time beyond its wait after which an outstanding report is given up.
const REPORT_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// Pause before an unacknowledged stop is sent again.
const STOP_RETRY: Duration = Duration::from_millis(500);
/// Pause before an unacknowledged start is sent again.
const START_RETRY: Duration = Duration::from_millis(300);
/// Pause of a worker that a start did not reach, or that did not answer one. Its reports show within about this time
/// whether it is reachable.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);
/// Pause of a worker that refused work as unhealthy.
const UNHEALTHY_PAUSE: Duration = Duration::from_secs(1);

impl Dispatch {
    /// Sends the directives of starts that are recorded.
    pub(super) fn send_starts(
        &mut self,
        state: &cell::State,
        now: Now,
        starts: &[cell::Start],
        accepted: &[bool],
    ) {
        for (start, accepted) in starts.iter().zip(accepted) {
            self.proposed.remove(&start.task);
            if !accepted {
                self.drop_run(start.worker, start.task, start.run);
                self.refresh_job(state, start.task.job);
                continue;
            }
            self.refresh_job(state, start.task.job);
            self.send_start(state, now.steady, start);
        }
    }

    fn send_start(&mut self, state: &cell::State, now: Duration, start: &cell::Start) {
        if self.prepare_start(now, start) {
            self.push_start(state, now, start.worker, start.task);
            return;
        }
        let record = self.workers.get(&start.worker);
        let reason = if record.is_some_and(|record| record.evacuated) {
            "evacuated"
        } else {
            "not_sent"
        };
        self.drop_run(start.worker, start.task, start.run);
        self.propose_never_started(start.worker, start.task, start.run, reason);
    }

    /// Assigns a lease to a recorded start; returns `false` if it must not be sent any more.
    fn prepare_start(&mut self, now: Duration, start: &cell::Start) -> bool {
        let lease = START_LEASE.min(self.config.lease());
        let Some(record) = self.workers.get_mut(&start.worker) else {
            // Its incarnation has ended in the meantime.
            return false;
        };
        let clock = record.clock(now).filter(|_| record.accepts_starts());
        let run = record.runs.get_mut(&start.task);
        let (Some(clock), Some(run)) = (clock, run.filter(|run| run.stop == Stop::NotRequested)) else {
            return false;
        };
        run.lease_end = clock + lease;
        run.repeat_until = now + lease;
        run.phase = Phase::Sent;
        run.since = now;
        record.lease_end = record.lease_end.max(run.lease_end);
        true
    }

    fn push_start(
        &mut self,
        state: &cell::State,
        now: Duration,
        worker: cell::WorkerIndex,
        task: directive::Task,
    ) {
        let (Some(record), Some(job)) = (self.workers.get_mut(&worker), state.job(task.job)) else {
            return;
        };
        let Some(run) = record.runs.get_mut(&task) else {
            return;
        };
        run.awaits_answer = true;
        let known = self.queries.eligibility(report::step_of(task));
        let ticket = known.and_then(|known| known.ticket(worker, now).cloned());
        let directive = directive::Directive::Start {
            task,
            run: run.run,
            spec: job.submission.spec.clone(),
            lease_end: run.lease_end,
            checkpoint: checkpoint(state, job, task),
            ticket,
        };
        self.outputs.push(Output::Directive {
            worker,
            directive,
            decided: now,
        });
    }

    /// Sends unacknowledged starts again while their lease is valid; a worker treats a repeated start as the same
    /// one. In an evacuated zone a start that did not arrive must not take effect through a repetition.
    pub(super) fn resend_starts(&mut self, state: &cell::State, now: Duration, group: TimerGroup) {
        let mut due = Vec::new();
        for (index, record) in self
            .workers
            .iter_mut()
            .filter(|(index, record)| group.contains(**index) && !record.evacuated)
        {
            let Some(clock) = record.clock(now) else { continue };
            for (task, run) in &mut record.runs {
                let waits = run.phase == Phase::Unacknowledged && run.stop == Stop::NotRequested;
                let is_valid = clock + START_RETRY < run.lease_end && now < run.repeat_until;
                if waits && now >= run.since + START_RETRY && is_valid {
                    run.phase = Phase::Sent;
                    run.since = now;
                    due.push((*index, *task));
                }
            }
        }
        for (index, task) in due {
            self.push_start(state, now, index, task);
        }
    }

    /// Stops one run.
    pub(super) fn stop_run(
        &mut self,
        worker: cell::WorkerIndex,
        task: directive::Task,
        run: directive::Run,
        now: Duration,
    ) {
        let record = self.workers.get_mut(&worker);
        let entry = record.and_then(|record| record.runs.get_mut(&task));
        let Some(entry) = entry.filter(|entry| entry.run == run && entry.stop == Stop::NotRequested) else {
            return;
        };
        entry.stop = Stop::Requested(Some(now));
        self.outputs.push(stop(worker, task, run, now));
    }

    /// Sends the stops that are due.
    pub(super) fn resend_stops(&mut self, now: Duration, group: TimerGroup) {
        for (index, record) in self
            .workers
            .iter_mut()
            .filter(|(index, _)| group.contains(**index))
        {
            for (task, run) in &mut record.runs {
                let due = match run.stop {
                    Stop::Requested(sent) => sent.is_none_or(|sent| now >= sent + STOP_RETRY),
                    Stop::NotRequested | Stop::Acknowledged(_) => false,
                };
                if due && run.phase != Phase::Proposed {
                    run.stop = Stop::Requested(Some(now));
                    self.outputs.push(stop(*index, *task, run.run, now));
                }
            }
            for (task, run) in record.orphans.due_stops(now) {
                self.outputs.push(stop(*index, task, run, now));
            }
        }
    }

    /// Requests the reports that are due; each request renews the lease.
    pub(super) fn renew_leases(&mut self, now: Duration, group: TimerGroup) {
        let lease = self.config.lease();
        for (index, record) in self
            .workers
            .iter_mut()
            .filter(|(index, _)| group.contains(**index))
        {
            self.outputs.extend(renewal(*index, record, lease, now));
        }
    }

    /// Requests the report of one worker if it is due.
    pub(super) fn renew_lease(&mut self, worker: cell::WorkerIndex, now: Duration) {
        let lease = self.config.lease();
        if let Some(record) = self.workers.get_mut(&worker) {
            self.outputs.extend(renewal(worker, record, lease, now));
        }
    }

    /// Handles a worker's answer to a directive, or its absence. `sent` is the time at which the directive was
    /// decided.
    pub fn answered(
        &mut self,
        state: &cell::State,
        now: Now,
        worker: cell::WorkerIndex,
        directive: &directive::Directive,
        sent: Duration,
        answer: Option<&directive::Answer>,
    ) {
        let answer = answer.filter(|answer| !self.is_of_later_incarnation(worker, sent, answer));
        self.record_clock(worker, now.steady, answer);
        if let Some(directive::Answer::Refused { reason, .. }) = answer
            && let Some(proof) = Proof::refusal(*reason)
        {
            self.end_incarnation(worker, proof, now.steady);
            return;
        }
        if let Some(directive::Answer::Refused {
            reason: directive::Refusal::Fenced,
            ..
        }) = answer
        {
            let name = self
                .workers
                .get(&worker)
                .map(|record| record.incarnation.name.clone());
            self.outputs.push(Output::Event(Event::Fenced {
                worker: name.unwrap_or_default(),
            }));
        }
        match directive {
            directive::Directive::Start { task, run, .. } => {
                self.start_answered(now.steady, worker, *task, *run, answer);
            }
            directive::Directive::Stop { task, run } => {
                self.stop_answered(now.steady, worker, *task, *run, answer);
            }
            directive::Directive::Renew { .. } => self.report_answered(state, now, worker, sent, answer),
            directive::Directive::Throttle { .. } => {}
        }
    }

    /// Returns whether a start or stop was answered by a later incarnation with the same name. The directive then has
    /// no effect on the incarnation for which it was meant, and the later one is detected by its announcement or
    /// report.
    fn is_of_later_incarnation(
        &self,
        worker: cell::WorkerIndex,
        sent: Duration,
        answer: &directive::Answer,
    ) -> bool {
        let directive::Answer::Done { clock } = answer else {
            return false;
        };
        let record = self.workers.get(&worker);
        record.is_some_and(|record| record.is_of_later_incarnation(sent, *clock))
    }

    fn record_clock(&mut self, worker: cell::WorkerIndex, now: Duration, answer: Option<&directive::Answer>) {
        let clock = match answer {
            Some(directive::Answer::Done { clock }) => Some(*clock),
            Some(directive::Answer::Report(report)) => Some(report.clock),
            Some(directive::Answer::Refused { clock, .. }) => *clock,
            _ => None,
        };
        let (Some(clock), Some(record)) = (clock, self.workers.get_mut(&worker)) else {
            return;
        };
        // Answers may arrive out of order; the clock itself never goes back.
        if record.sample.is_none_or(|known| clock >= known.clock) {
            record.sample = Some(worker::Sample { clock, at: now });
        }
    }

    fn start_answered(
        &mut self,
        now: Duration,
        worker: cell::WorkerIndex,
        task: directive::Task,
        run: directive::Run,
        answer: Option<&directive::Answer>,
    ) {
        let Some(record) = self.workers.get_mut(&worker) else {
            return;
        };
        let name = record.incarnation.name.clone();
        let Some(entry) = record.runs.get_mut(&task).filter(|entry| entry.run == run) else {
            return;
        };
        entry.awaits_answer = false;
        let after = now.saturating_sub(entry.decided);
        // An earlier directive of this start was not acknowledged and may have reached the worker.
        let maybe_sent = self.unacknowledged.newest(&name, task, run).is_some();
        let refusal = match answer {
            Some(directive::Answer::Done { .. }) => {
                if entry.phase == Phase::Sent || entry.phase == Phase::Unacknowledged {
                    entry.phase = Phase::Running(now);
                    entry.since = now;
                }
                self.unconfirmed.remove(&task.job);
                self.log_start(task, run, name, "started", after);
                return;
            }
            Some(directive::Answer::Refused { reason, .. }) => *reason,
            Some(directive::Answer::NotSent) => {
                let is_certain = entry.phase == Phase::Sent && !maybe_sent;
                if entry.phase == Phase::Sent {
                    entry.phase = Phase::Unacknowledged;
                }
                record.suspect_until = record.suspect_until.max(now + UNREACHABLE_PAUSE);
                self.log_start(task, run, name, "not_sent", after);
                if is_certain {
                    self.drop_run(worker, task, run);
                    self.propose_never_started(worker, task, run, "not_sent");
                }
                return;
            }
            _ => {
                let start = orphan::Start {
                    task,
                    run,
                    size: entry.size,
                    sent: now,
                };
                self.unacknowledged.record(&name, start);
                if entry.phase == Phase::Sent {
                    entry.phase = Phase::Unacknowledged;
                    entry.since = now;
                }
                record.suspect_until = record.suspect_until.max(now + UNREACHABLE_PAUSE);
                self.log_start(task, run, name, "none", after);
                return;
            }
        };
        let answer = match refusal {
            // Another leader decides from now on; this one is informed by its replication group.
            directive::Refusal::Fenced | directive::Refusal::OtherIncarnation => return,
            directive::Refusal::Outdated => "outdated",
            directive::Refusal::Late => "late",
            directive::Refusal::Room => "room",
            directive::Refusal::Ticket => "ticket",
            directive::Refusal::Unhealthy => "unhealthy",
            directive::Refusal::Malformed => "malformed",
        };
        if refusal == directive::Refusal::Unhealthy {
            record.suspect_until = record.suspect_until.max(now + UNHEALTHY_PAUSE);
        }
        if refusal == directive::Refusal::Outdated && matches!(entry.phase, Phase::Running(_)) {
            return;
        }
        // An earlier start without an answer may still be carried out, unless its lease has expired as well.
        let is_open =
            maybe_sent && !matches!(refusal, directive::Refusal::Late | directive::Refusal::Outdated);
        if is_open && entry.phase == Phase::Sent {
            entry.phase = Phase::Unacknowledged;
        }
        self.log_start(task, run, name, answer, after);
        if refusal == directive::Refusal::Ticket {
            self.queries.invalidate_ticket(report::step_of(task), worker);
        }
        if refusal == directive::Refusal::Outdated {
            // The run existed and has ended, or was stopped before it started; the report shows which.
            if let Some(entry) = self
                .workers
                .get_mut(&worker)
                .and_then(|record| record.runs.get_mut(&task))
            {
                entry.phase = Phase::Running(now);
            }
            return;
        }
        if is_open {
            return;
        }
        self.drop_run(worker, task, run);
        self.propose_never_started(worker, task, run, answer);
    }

    fn log_start(
        &mut self,
        task: directive::Task,
        run: directive::Run,
        worker: String,
        answer: &'static str,
        after: Duration,
    ) {
        self.outputs.push(Output::Event(Event::StartAnswered {
            task,
            run,
            worker,
            answer,
            after,
        }));
    }

    fn stop_answered(
        &mut self,
        now: Duration,
        worker: cell::WorkerIndex,
        task: directive::Task,
        run: directive::Run,
        answer: Option<&directive::Answer>,
    ) {
        let Some(record) = self.workers.get_mut(&worker) else {
            return;
        };
        let known = record.runs.get_mut(&task).filter(|entry| entry.run == run);
        let Some(entry) = known else {
            if matches!(answer, Some(directive::Answer::Done { .. })) {
                record.orphans.stop_acknowledged(now, task, run);
                self.dirty = true;
            }
            return;
        };
        // A run that has ended needs no stop; its end is reported.
        let acknowledged = matches!(
            answer,
            Some(
                directive::Answer::Done { .. }
                    | directive::Answer::Refused {
                        reason: directive::Refusal::Outdated,
                        ..
                    }
            )
        );
        if acknowledged {
            entry.stop = Stop::Acknowledged(now);
        }
    }

    /// Proposes the end of a run whose start was certainly not carried out.
    pub(super) fn propose_never_started(
        &mut self,
        worker: cell::WorkerIndex,
        task: directive::Task,
        run: directive::Run,
        reason: &'static str,
    ) {
        let end = cell::End {
            task,
            run,
            worker,
            outcome: directive::Outcome::NeverStarted,
            checkpoint: None,
        };
        self.propose_derived(vec![end], reason);
    }

    /// Proposes and logs ends of one worker that this leader derives, because the worker doesn't report them.
    pub(super) fn propose_derived(&mut self, ends: Vec<cell::End>, reason: &'static str) {
        let Some(first) = ends.first() else { return };
        let worker = first.worker;
        for end in &ends {
            self.log_end(end, None, reason);
        }
        self.propose_ends(worker, ends);
    }

    pub(super) fn log_end(&mut self, end: &cell::End, number: Option<u64>, reason: &'static str) {
        let record = self.workers.get(&end.worker);
        let ended = event::Ended {
            task: end.task,
            run: end.run,
            index: end.worker,
            worker: record
                .map(|record| record.incarnation.name.clone())
                .unwrap_or_default(),
            outcome: end.outcome,
            number,
            reason,
        };
        self.outputs.push(Output::Event(Event::Ended(ended)));
    }

    fn report_answered(
        &mut self,
        state: &cell::State,
        now: Now,
        worker: cell::WorkerIndex,
        sent: Duration,
        answer: Option<&directive::Answer>,
    ) {
        let Some(record) = self.workers.get_mut(&worker) else {
            return;
        };
        if record.report_requested_at == Some(sent) {
            record.report_requested_at = None;
            record.next_report_at = now.steady + REPORT_RETRY;
            record.report_missed |= !matches!(answer, Some(directive::Answer::Report(_)));
        }
        if let Some(directive::Answer::Report(report)) = answer {
            self.handle_report(state, now, worker, sent, report);
        }
    }
}

/// Returns the output that stops a run.
pub(super) const fn stop(
    worker: cell::WorkerIndex,
    task: directive::Task,
    run: directive::Run,
    now: Duration,
) -> Output {
    Output::Directive {
        worker,
        directive: directive::Directive::Stop { task, run },
        decided: now,
    }
}

fn renewal(
    worker: cell::WorkerIndex,
    record: &mut worker::Worker,
    lease: Duration,
    now: Duration,
) -> Option<Output> {
    let waits = match record.report_requested_at {
        Some(requested_at) => now < requested_at + REPORT_WAIT + REPORT_TIMEOUT_MARGIN,
        None => now < record.next_report_at,
    };
    if waits {
        return None;
    }
    record.report_missed |= record.report_requested_at.is_some();
    record.report_requested_at = Some(now);
    // A worker that has not answered keeps its current lease. Its runs have certainly ended only when the latest lease
    // that it may have received has expired, and if each request extended that lease, this would never happen.
    let clock = record.clock(now).filter(|_| !record.may_be_replaced());
    let lease = record.lease(now, lease);
    let lease_end = clock.map(|clock| clock + lease);
    if let Some(end) = lease_end {
        record.lease_end = record.lease_end.max(end);
    }
    // A report that renews no lease has to arrive immediately, so that the next one does.
    let wait = if lease_end.is_some() {
        REPORT_WAIT
    } else {
        Duration::ZERO
    };
    // The worker may have restarted under its name, and it then counts its ends anew. Its report shows whether it has;
    // until then an acknowledgement could concern an end that no leader has seen.
    let acknowledged = if record.may_be_replaced() {
        0
    } else {
        record.ends.recorded()
    };
    let directive = directive::Directive::Renew {
        lease_end,
        acknowledged,
        wait,
    };
    Some(Output::Directive {
        worker,
        directive,
        decided: now,
    })
}

/// Returns the checkpoint that a start resumes from.
fn checkpoint(state: &cell::State, job: &cell::Job, task: directive::Task) -> Option<Bytes> {
    let spec = job.submission.steps.get(usize::from(task.step))?;
    if !spec.checkpoints {
        return None;
    }
    if spec.gang {
        return state
            .step(task.job, task.occurrence, task.step)?
            .checkpoint
            .clone();
    }
    state.task(task)?.checkpoint.clone()
}
