//! Tasks of which an earlier start may still be carried out.
//!
//! A worker that refuses a start, or reports after the end of its lease, proves that its own incarnation does not carry
//! it out. The next incarnation has another clock and no fencing token, and carries out whatever arrives before its
//! first directive. A task is therefore not started on another worker while a transmission of an earlier start without
//! an answer may arrive, whatever has become of that run.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_workload::{directive, job};

use super::{
    Dispatch, Event, Output, event,
    schedule::{Reserved, Subject},
};
use crate::{orphan, share, worker};

impl Dispatch {
    /// Returns where an earlier start of a task may still be carried out.
    pub(super) fn late_start(&self, task: directive::Task, now: Duration) -> Option<&orphan::Late> {
        let inherited = self.inherited_starts.late(task, now);
        let own = self.unacknowledged.late(task, now);
        own.into_iter().chain(inherited).max_by_key(|late| late.until)
    }

    /// Returns the incarnation on which a task may start although an earlier start may still be carried out: the newest one
    /// with the name refuses the earlier start, and its end ends the new run too.
    ///
    /// Members of a gang wait, since they start together. A batch task does not return to a worker on which it has
    /// failed, so that one bad worker does not use up its attempts.
    pub(super) fn bound_worker(
        &self,
        spec: &job::Step,
        task: directive::Task,
        late: &orphan::Late,
    ) -> Option<cell::WorkerIndex> {
        let failed = self.failed_on.get(&task).into_iter().flatten();
        let mut failed = failed.filter_map(|index| self.workers.get(index));
        let has_failed = failed.any(|record| record.incarnation.name == late.worker);
        if spec.gang || (has_failed && !spec.lasting) {
            return None;
        }
        self.directory.newest(&late.worker)
    }

    /// Starts the tasks of a step that may start on one worker only, if it has room.
    pub(super) fn place_bound(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        reserved: &mut Reserved,
        starts: &mut Vec<cell::Start>,
    ) {
        if subject.bound.is_empty() {
            return;
        }
        for (index, worker) in &subject.bound {
            let team = subject.job.team.as_deref();
            if self.allowed(team, subject.size) == 0 {
                return;
            }
            let candidate = self.candidate(now, subject, reserved, *worker, true);
            if candidate.is_none_or(|candidate| candidate.slots == 0) {
                continue;
            }
            if let Some(cost) = &subject.queue.advice
                && !self.is_permitted(now, subject, *worker)
            {
                let named = self.named_worker(*worker).into_iter().collect();
                self.queries.enqueue(now, subject.id, cost, named);
                continue;
            }
            self.shares
                .note_started(team, &share::times(subject.size, 1), now, now + subject.run_time);
            let run = subject.progress.tasks[*index as usize].run + 1;
            reserved.take(*worker, &subject.size, subject.end(now));
            self.start(now, subject, *index, *worker, run, starts);
        }
        self.rooms.refresh(&self.workers);
    }

    fn is_permitted(&self, now: Duration, subject: &Subject<'_>, worker: cell::WorkerIndex) -> bool {
        let known = self.queries.eligibility(subject.id);
        known.is_some_and(|known| known.is_permitted(worker, now))
    }

    /// Logs that the task of an ended run waits because a start of it may still be carried out.
    pub(super) fn log_late_start(&mut self, now: Duration, end: &cell::End) {
        let Some(late) = self.late_start(end.task, now) else {
            return;
        };
        let uncertain = event::UncertainRun {
            task: end.task,
            run: end.run,
            worker: late.worker.clone(),
            index: end.worker,
            reason: "late_start",
            wait: late.until.saturating_sub(now),
        };
        self.outputs.push(Output::Event(Event::RunUncertain(uncertain)));
    }

    /// Records that a transmission of the start of a removed run has no answer yet.
    pub(super) fn record_outstanding(
        &mut self,
        worker: cell::WorkerIndex,
        task: directive::Task,
        removed: Option<&worker::Run>,
        now: Duration,
    ) {
        let Some(run) = removed.filter(|run| run.awaits_answer) else {
            return;
        };
        if let Some(record) = self.workers.get(&worker) {
            let start = orphan::Start {
                task,
                run: run.run,
                size: run.size,
                sent: now,
            };
            self.unacknowledged.record(&record.incarnation.name, start);
        }
    }
}
