//! Incarnations of workers that have ended, and the outcome of their runs.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_workload::directive;
use bytes::Bytes;

use super::{Dispatch, Event, Output, TimerGroup, event, proof::Proof};
use crate::{orphan, worker};

/// Pause before the removal of an ended incarnation is proposed again.
const RETIRE_RETRY: Duration = Duration::from_secs(2);

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
    /// Local time from which its directive is not carried out any more.
    until: Duration,
    /// Incarnation whose report lists the run, or may have left its end out.
    found_at: Option<cell::WorkerIndex>,
    /// Whether a report lists its end, whose record is proposed.
    is_reported: bool,
}

impl Dispatch {
    /// Handles the end of an incarnation: its runs are lost, and it is removed.
    ///
    /// It stays registered while directives to it may still be carried out, so that the next incarnation with its name
    /// is known to succeed it, by this leader and later ones.
    pub(super) fn end_incarnation(&mut self, index: cell::WorkerIndex, proof: Proof, now: Duration) {
        self.lose_runs(index, proof, now);
        self.slowness.remove_worker(index);
        self.speeds.remove(index);
        self.rooms.touch(index);
        if let Some(record) = self.workers.remove(&index) {
            if !proof.may_have_successor() {
                self.inherited_starts.forget_worker(&record.incarnation.name);
            }
            for (task, _) in record.orphans.listed() {
                self.orphaned.remove(&(task, index));
            }
            self.raise_fences(&record);
            let keep = if proof.leaves_directives() {
                orphan::MAX_DELAY
            } else {
                Duration::ZERO
            };
            self.ended.insert(index, now + keep);
        }
        self.dirty = true;
    }

    /// Raises the fencing tokens of the other incarnations with the name of an ended one.
    ///
    /// An announcement under a worker's name may be false. The worker has then received the higher token of an
    /// incarnation that does not exist, and refuses directives with its own.
    fn raise_fences(&mut self, ended: &worker::Worker) {
        let named = self
            .directory
            .find(&ended.incarnation.name, ended.announced.address);
        for index in named {
            if let Some(record) = self.workers.get_mut(&index)
                && record.incarnation.name == ended.incarnation.name
            {
                record.fence = record.fence.max(ended.fence);
            }
        }
    }

    /// Ends the incarnations that a worker has replaced, as its first report proves.
    pub(super) fn end_replaced(
        &mut self,
        worker: cell::WorkerIndex,
        report: &directive::Report,
        now: Duration,
    ) {
        let Some(record) = self.workers.get(&worker) else {
            return;
        };
        let known = self
            .directory
            .find(&record.incarnation.name, record.announced.address);
        let mut replaced = Vec::new();
        for index in known.range(..worker) {
            let earlier = self.workers.get(index);
            if let Some(proof) = earlier.and_then(|earlier| Proof::successor(earlier, record, report)) {
                replaced.push((*index, proof));
            }
        }
        for (index, proof) in replaced {
            self.end_incarnation(index, proof, now);
        }
    }

    /// Proposes the removal of the ended incarnations that need not be registered any longer, unless the outcome of one
    /// of their runs is unknown. A proposal without outcome is repeated.
    pub(super) fn retire_ended(&mut self, now: Duration) {
        for (index, due) in &mut self.ended {
            let has_uncertain_run = self.uncertain.iter().any(|run| run.worker == *index);
            if now >= *due && !has_uncertain_run {
                *due = now + RETIRE_RETRY;
                let command = cell::Command::Retire { worker: *index };
                self.outputs.push(Output::Propose(command));
            }
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
            if worker < run.worker || record.incarnation.name != run.name {
                continue;
            }
            let mut ended = report.ended.iter();
            run.is_reported = ended.any(|ended| ended.task == run.task && ended.run == run.run);
            let is_refused = worker > run.worker || report.clock > run.lease_end;
            if !is_refused {
                continue;
            }
            let mut running = report.running.iter();
            let is_there = running.any(|running| running.task == run.task && running.run == run.run);
            if is_there || report.truncated {
                run.found_at = Some(worker);
            } else {
                run.found_at = None;
                run.until = now;
            }
        }
    }

    /// Proposes the loss of runs that no incarnation can start any more.
    pub(super) fn expire_uncertain(&mut self, now: Duration) {
        let runs = std::mem::take(&mut self.uncertain);
        let is_over = |run: &Uncertain| match run.found_at.and_then(|found_at| self.workers.get(&found_at)) {
            Some(record) => Proof::lease(record, now).is_some(),
            // The incarnation with the run has ended, or none is known to have it.
            None => run.found_at.is_some() || now >= run.until,
        };
        let (expired, open): (Vec<_>, Vec<_>) =
            runs.into_iter().partition(|run| !run.is_reported && is_over(run));
        self.uncertain = open;
        for run in &expired {
            let lost = vec![(run.task, run.run, run.checkpoint.clone())];
            self.propose_lost(run.worker, lost, "uncertain_over");
        }
    }

    /// Returns whether a run of a task that is not placed may be at work: a worker has reported it, and its lease is valid.
    pub(super) fn has_orphan(&self, task: directive::Task, now: Duration) -> bool {
        let first = (task, cell::WorkerIndex::MIN);
        let mut listed = self.orphaned.range(first..=(task, cell::WorkerIndex::MAX));
        listed.any(|(_, worker)| {
            let record = self.workers.get(worker);
            record.is_some_and(|record| !record.leases_expired(now))
        })
    }

    /// Removes the runs whose reported end is recorded.
    pub(super) fn forget_reported(&mut self, ends: &[cell::End]) {
        self.uncertain.retain(|run| {
            let mut recorded = ends.iter();
            !run.is_reported || !recorded.any(|end| end.task == run.task && end.run == run.run)
        });
    }

    /// Handles the loss of all runs of a worker.
    pub(super) fn lose_runs(&mut self, index: cell::WorkerIndex, proof: Proof, now: Duration) {
        let Some(record) = self.workers.get_mut(&index) else {
            return;
        };
        let runs = std::mem::take(&mut record.runs);
        record.used = bronzespoke_model::resource::Amount::ZERO;
        self.rooms.touch(index);
        let name = record.incarnation.name.clone();
        let event = Event::WorkerUnusable {
            worker: name.clone(),
            reason: proof.name(),
            runs: runs.len(),
            silent: record.last_report_at.map(|reported| now.saturating_sub(reported)),
        };
        self.outputs.push(Output::Event(event));
        let mut ends = Vec::new();
        for (task, run) in runs {
            let is_open = run.awaits_answer || run.phase == worker::Phase::Unacknowledged;
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
            let own = self.unacknowledged.newest(&name, task, run.run);
            let inherited = if run.phase == worker::Phase::Inherited && proof.has_successor() {
                // The next incarnation has answered, and may have carried out the start before any leader registered it.
                Some(orphan::Start { sent: now, ..start })
            } else {
                let newest = self.inherited_starts.newest(&name, task, run.run);
                newest.filter(|start| proof.may_have_successor() && now < start.expires_at())
            };
            let newest = own.or(inherited);
            if let Some(start) = newest {
                self.outputs
                    .push(Output::Event(Event::RunUncertain(event::UncertainRun {
                        task,
                        run: run.run,
                        worker: name.clone(),
                        index,
                        reason: proof.name(),
                        wait: start.expires_at().saturating_sub(now),
                    })));
                self.uncertain.push(Uncertain {
                    worker: index,
                    name: name.clone(),
                    task,
                    run: run.run,
                    checkpoint: run.checkpoint,
                    lease_end: run.lease_end,
                    until: start.expires_at(),
                    found_at: None,
                    is_reported: false,
                });
            } else {
                ends.push((task, run.run, run.checkpoint));
            }
            self.usage.remove(run.team.as_deref(), run.size);
        }
        self.propose_lost(index, ends, proof.name());
        self.dirty = true;
    }

    pub(super) fn propose_lost(
        &mut self,
        worker: cell::WorkerIndex,
        runs: Vec<(directive::Task, directive::Run, Option<Bytes>)>,
        reason: &'static str,
    ) {
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
        self.propose_derived(ends, reason);
    }

    /// Abandons the runs of workers whose lease has expired, and removes workers that have left, or have not reported
    /// for a long time.
    pub(super) fn expire_leases(&mut self, now: Duration, group: TimerGroup) {
        let has_sent_runs = |record: &worker::Worker| {
            let mut runs = record.runs.values();
            runs.any(|run| run.phase != worker::Phase::Proposed)
        };
        let ended: Vec<(cell::WorkerIndex, Proof)> = self
            .workers
            .iter()
            .filter(|(index, _)| group.contains(**index))
            .filter_map(|(index, record)| {
                let proof = Proof::departure(record, now).or_else(|| Proof::silence(record, now));
                Some((*index, proof?))
            })
            .collect();
        for (index, proof) in ended {
            self.end_incarnation(index, proof, now);
        }
        let expired: Vec<(cell::WorkerIndex, Proof)> = self
            .workers
            .iter()
            .filter(|(index, record)| group.contains(**index) && has_sent_runs(record))
            .filter_map(|(index, record)| Some((*index, Proof::lease(record, now)?)))
            .collect();
        for (index, proof) in expired {
            self.lose_runs(index, proof, now);
        }
    }
}
