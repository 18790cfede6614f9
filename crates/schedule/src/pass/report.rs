//! Handling of worker reports.

use std::time::Duration;

use bronzespoke_model::{resource, task, worker as model};

use crate::message::{Output, Reason};
use crate::run::Phase;
use crate::scheduler::Scheduler;
use crate::table;

/// Number of consecutive reports without a confirmed run after which the run counts as ended.
const MAX_MISSED_REPORTS: u8 = 2;

impl Scheduler {
    /// Handles a report: renews the lease, ends runs and updates usage.
    pub(crate) fn report(&mut self, now: Duration, report: model::Report, out: &mut Vec<Output>) {
        let Some(&worker) = self.worker_ids.get(&report.worker) else {
            return;
        };
        let rules = self.config.rules;
        let expiry = if rules.await_lease_expiry {
            self.config.lease_expiry()
        } else {
            self.config.lease / 2
        };
        let record = &mut self.workers[worker];
        if report.incarnation != record.incarnation && rules.fence_incarnation {
            return;
        }
        if report.sequence <= record.sequence && rules.fence_sequence {
            return;
        }
        record.sequence = report.sequence;
        record.lease_until = now + expiry;
        record.last_report = Some(now);
        if !record.confirmed {
            record.confirmed = true;
            self.confirm_worker(now, out);
            self.capacity_freed(worker);
        }
        for ended in report.ended {
            self.ended(now, ended.task, ended.token, ended.outcome, out);
        }
        for running in &report.running {
            self.record_running(worker, report.sequence, running, out);
        }
        self.end_missing(now, worker, report.sequence, out);
        self.set_excess(worker);
        if !self.workers[worker].excess.is_zero() {
            self.shed_excess(now, worker, out);
        }
        self.capacity_freed(worker);
    }

    fn record_running(
        &mut self,
        worker: table::Worker,
        sequence: u64,
        running: &model::Running,
        out: &mut Vec<Output>,
    ) {
        let known = self.tokens.get(&running.token).copied().filter(|run| {
            let record = &self.runs[*run];
            record.worker == worker && !record.earlier_incarnation && self.task_of(*run) == running.task
        });
        let Some(run) = known else {
            out.push(Output::Stop {
                task: running.task,
                worker: self.workers[worker].id,
                token: running.token,
                reason: Reason::Unknown,
            });
            return;
        };
        let record = &mut self.runs[run];
        record.confirmed = true;
        record.missed_reports = 0;
        record.last_sequence = sequence;
        record.usage = running.usage;
        if record.phase == Phase::Starting {
            record.phase = Phase::Running;
        }
        self.observe_usage(run, out);
    }

    fn end_missing(&mut self, now: Duration, worker: table::Worker, sequence: u64, out: &mut Vec<Output>) {
        let mut position = 0;
        while let Some(&run) = self.workers[worker].runs.get(position) {
            position += 1;
            let record = &mut self.runs[run];
            if record.earlier_incarnation || !record.confirmed || record.last_sequence == sequence {
                continue;
            }
            record.missed_reports += 1;
            if record.missed_reports >= MAX_MISSED_REPORTS {
                self.end_run(now, run, task::Outcome::LeaseExpired, out);
                position -= 1;
            }
        }
    }

    /// Updates the usage above their grants of a worker's runs, which is not available to other tasks.
    pub(crate) fn set_excess(&mut self, worker: table::Worker) {
        let mut excess = resource::Amount::ZERO;
        for &run in &self.workers[worker].runs {
            let record = &self.runs[run];
            excess = excess.saturating_add(&record.usage.saturating_sub(&record.size));
        }
        self.workers[worker].excess = excess;
    }
}
