//! Incarnations of workers that have ended, and the outcome of their runs.

use std::{collections::BTreeSet, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_workload::directive;
use bytes::Bytes;

use super::{Dispatch, Event, Output, TimerGroup};
use crate::{orphan, worker};

/// Time without a report after which a worker without runs is removed.
const RETIRE_AFTER: Duration = Duration::from_mins(1);

/// Reason for which the runs of a worker are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Loss {
    /// The worker did not report until its lease had expired.
    Lease,
    /// The worker gave notice that it leaves.
    Departed,
    /// Another incarnation answered a directive.
    OtherIncarnation,
    /// A later incarnation with the same name announced itself.
    Replaced,
    /// A worker with another name announced itself at the same address.
    AddressTaken,
    /// A later incarnation reported.
    Restarted,
    /// The worker has no runs and has not reported for a long time.
    Silent,
}

impl Loss {
    /// Returns whether the next incarnation with the same name may have carried out a start to this one.
    const fn has_successor(self) -> bool {
        matches!(self, Self::Replaced | Self::Restarted)
    }

    /// Returns the reason as it appears in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::Departed => "left",
            Self::OtherIncarnation => "other_life",
            Self::Replaced => "replaced",
            Self::AddressTaken => "address_taken",
            Self::Restarted => "restarted",
            Self::Silent => "silent",
        }
    }
}

/// A run of a lost worker whose start directive was not acknowledged. The directive may be carried out late, by the
/// next incarnation with the same name before that one has received its own fencing token; until then the task must
/// not run elsewhere.
#[derive(Debug)]
pub(super) struct Uncertain {
    worker: cell::WorkerIndex,
    name: String,
    task: directive::Task,
    run: directive::Run,
    checkpoint: Option<Bytes>,
    /// End of its lease on the worker's clock.
    lease_end: Duration,
    /// Local time from which it is known that the run does not exist.
    until: Duration,
}

impl Dispatch {
    /// Handles the end of an incarnation: its runs are lost, and it is removed.
    pub(super) fn end_incarnation(&mut self, index: cell::WorkerIndex, loss: Loss) {
        self.lose_runs(index, loss);
        self.slowness.remove_worker(index);
        self.rooms.touch(index);
        if self.workers.remove(&index).is_some() {
            self.ended.insert(index);
            self.retire(index);
        }
        self.dirty = true;
    }

    /// Proposes the removal of an ended incarnation, unless the outcome of one of its runs is unknown.
    fn retire(&mut self, index: cell::WorkerIndex) {
        let has_uncertain_run = self.uncertain.iter().any(|run| run.worker == index);
        if self.ended.contains(&index) && !has_uncertain_run {
            let command = cell::Command::Retire { worker: index };
            self.outputs.push(Output::Propose(command));
        }
    }

    /// Determines from a report which runs of lost workers did not start.
    ///
    /// A later incarnation that reports has received its own fencing token, and refuses directives to the previous one
    /// from then on. The same incarnation refuses a start once its lease has expired.
    pub(super) fn review_uncertain(
        &mut self,
        now: Duration,
        worker: cell::WorkerIndex,
        report: &directive::Report,
    ) {
        let Some(record) = self.workers.get(&worker) else {
            return;
        };
        for run in &mut self.uncertain {
            let is_refused = worker > run.worker || (worker == run.worker && report.clock > run.lease_end);
            if !is_refused || record.incarnation.name != run.name {
                continue;
            }
            let mut running = report.running.iter();
            let is_there = running.any(|running| running.task == run.task && running.run == run.run);
            run.until = if is_there {
                now + orphan::MAX_REPORT_AGE
            } else {
                now
            };
        }
    }

    /// Proposes the loss of runs that no incarnation can start any more.
    pub(super) fn expire_uncertain(&mut self, now: Duration) {
        let runs = std::mem::take(&mut self.uncertain);
        let (expired, open): (Vec<_>, Vec<_>) = runs.into_iter().partition(|run| now >= run.until);
        self.uncertain = open;
        for run in &expired {
            let lost = vec![(run.task, run.run, run.checkpoint.clone())];
            self.propose_lost(run.worker, lost);
        }
        let workers: BTreeSet<cell::WorkerIndex> = expired.iter().map(|run| run.worker).collect();
        for worker in workers {
            self.retire(worker);
        }
    }

    /// Handles the loss of all runs of a worker.
    pub(super) fn lose_runs(&mut self, index: cell::WorkerIndex, loss: Loss) {
        let Some(record) = self.workers.get_mut(&index) else {
            return;
        };
        let runs = std::mem::take(&mut record.runs);
        record.used = bronzespoke_model::resource::Amount::ZERO;
        self.rooms.touch(index);
        let name = record.incarnation.name.clone();
        let event = Event::WorkerUnusable {
            worker: name.clone(),
            reason: loss.name(),
            runs: runs.len(),
            silent: None,
        };
        self.outputs.push(Output::Event(event));
        let mut ends = Vec::new();
        for (task, run) in runs {
            let is_open = matches!(run.phase, worker::Phase::Sent | worker::Phase::Unacknowledged);
            let start = orphan::Start {
                task,
                run: run.run,
                size: run.size,
                sent: run.since,
            };
            if is_open {
                self.unacknowledged.record(&name, start);
            }
            // An unacknowledged start may reach the next incarnation although this one carried out a repeated start.
            // This is not waited for if a worker is lost because its lease expired: it would delay each of these tasks
            // by the 13 s of a late directive, and the worker is hardly ever back with its next incarnation by then.
            let newest = self.unacknowledged.newest(&name, task, run.run);
            // Only the leader that sent a start knows whether it was acknowledged.
            let is_inherited = run.phase == worker::Phase::Inherited && loss.has_successor();
            let newest = newest.or(is_inherited.then_some(start));
            if let Some(start) = newest.filter(|_| loss != Loss::Lease) {
                self.uncertain.push(Uncertain {
                    worker: index,
                    name: name.clone(),
                    task,
                    run: run.run,
                    checkpoint: run.checkpoint,
                    lease_end: run.lease_end,
                    until: start.expires_at(),
                });
            } else {
                ends.push((task, run.run, run.checkpoint));
            }
            self.usage.remove(run.team.as_deref(), run.size);
            self.proposed.remove(&task);
        }
        self.propose_lost(index, ends);
        self.dirty = true;
    }

    pub(super) fn propose_lost(
        &mut self,
        worker: cell::WorkerIndex,
        runs: Vec<(directive::Task, directive::Run, Option<Bytes>)>,
    ) {
        if runs.is_empty() {
            return;
        }
        let ends = runs
            .into_iter()
            .map(|(task, run, checkpoint)| cell::End {
                task,
                run,
                worker,
                outcome: directive::Outcome::Lost,
                checkpoint,
            })
            .collect();
        self.propose_ends(worker, ends);
    }

    /// Abandons the runs of workers whose lease has expired, and removes workers that have not reported for a long
    /// time.
    pub(super) fn expire_leases(&mut self, now: Duration, group: TimerGroup) {
        let expired: Vec<cell::WorkerIndex> = self
            .workers
            .iter()
            .filter(|(index, _)| group.contains(**index))
            .filter(|(_, record)| !record.runs.is_empty() && record.leases_expired(now))
            .filter(|(_, record)| {
                record
                    .runs
                    .values()
                    .any(|run| run.phase != worker::Phase::Proposed)
            })
            .map(|(index, _)| *index)
            .collect();
        for index in expired {
            self.lose_runs(index, Loss::Lease);
        }
        let silent: Vec<cell::WorkerIndex> = self
            .workers
            .iter()
            .filter(|(index, _)| group.contains(**index))
            .filter(|(_, record)| record.runs.is_empty() && record.proposed_ends.is_empty())
            .filter(|(_, record)| {
                now > record.last_report_at.unwrap_or(record.inherited_until) + RETIRE_AFTER
            })
            .map(|(index, _)| *index)
            .collect();
        for index in silent {
            self.end_incarnation(index, Loss::Silent);
        }
    }
}
