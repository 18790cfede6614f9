//! Workers that come, drain, fall silent and go.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_workload::{advice, directive, worker as announced};

use super::{Dispatch, Event, Now, Output, directives, lost::Loss, schedule};
use crate::worker;

/// Margin on the lease of an earlier leader, for the time between its last decision and the arrival of the order.
const INHERITED_MARGIN: Duration = Duration::from_millis(500);
/// Time that a run of an earlier leader is expected to take on, of which only the placement is known.
const INHERITED_RUN_TIME: Duration = Duration::from_secs(2);

/// What an announcement asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Registration {
    /// It is known already.
    Known,
    /// It comes from a former life.
    Outdated,
    /// The command has to be committed before it is acknowledged.
    Propose(cell::Command),
}

impl Dispatch {
    /// Builds machines and runs from the replicated state.
    pub(super) fn inherit(&mut self, state: &cell::State, now: Now) {
        let lease = self.config.lease().max(super::LEASE);
        let until = now.steady + lease.div_f64(1.0 - worker::CLOCK_DRIFT) + INHERITED_MARGIN;
        for (index, registered) in state.workers() {
            let record = worker::Worker::new(
                registered.life.clone(),
                std::sync::Arc::clone(&registered.worker),
                registered.draining,
                now.steady,
                until,
            );
            self.workers.insert(*index, record);
        }
        for job in state.active() {
            self.inherit_runs(job, now.steady);
        }
        for (index, record) in &self.workers {
            self.outputs.push(Output::Event(Event::WorkerKnown {
                index: *index,
                worker: record.incarnation.name.clone(),
                inherited: record.runs.len(),
            }));
        }
        self.refresh_all(state);
        for job in state.active().filter(|job| job.is_final()) {
            self.stop_runs_of(job.key, now.steady);
        }
    }

    fn inherit_runs(&mut self, job: &cell::Job, now: Duration) {
        for (occurrence, progress) in job.occurrences.iter().enumerate() {
            for (step, entry) in progress.steps.iter().enumerate() {
                let spec = &job.submission.steps[step];
                for (index, task) in entry.tasks.iter().enumerate() {
                    let Some(worker) = task.placed else { continue };
                    let name = directive::Task {
                        job: job.key,
                        occurrence: occurrence as u32,
                        step: step as u16,
                        index: index as u32,
                    };
                    let run = worker::Run {
                        run: task.run,
                        size: counted_size(spec),
                        team: job.team.clone(),
                        phase: worker::Phase::Inherited,
                        since: now,
                        decided: now,
                        lease_end: Duration::ZERO,
                        expected_end: now + INHERITED_RUN_TIME,
                        gang: spec.gang,
                        run_time: spec.run_time,
                        progress: None,
                        stop: worker::Stop::NotRequested,
                        checkpoint: None,
                    };
                    self.usage.add(job.team.as_deref(), run.size);
                    if let Some(record) = self.workers.get_mut(&worker) {
                        record.add(name, run);
                    } else {
                        // The worker was removed, so its runs are over; only the record is missing.
                        self.usage.remove(job.team.as_deref(), run.size);
                        self.propose_lost(worker, vec![(name, task.run, None)]);
                    }
                }
            }
        }
    }

    /// Decides what an announcement changes.
    pub fn announce(
        &mut self,
        state: &cell::State,
        now: Duration,
        announcement: &announced::Announcement,
    ) -> Registration {
        let life = &announcement.incarnation;
        let draining = matches!(announcement.state, announced::State::Draining { .. });
        let departs_at = match announcement.state {
            announced::State::Draining { remaining } => remaining.map(|remaining| now + remaining),
            announced::State::Ready => None,
        };
        let known = state.workers().iter();
        let mut former = Vec::new();
        for (index, registered) in known {
            if registered.life == *life {
                let changed = (draining && !registered.draining)
                    || registered.worker.address != announcement.worker.address
                    || registered.worker.room != announcement.worker.room
                    || registered.worker.labels != announcement.worker.labels;
                if let Some(record) = self.workers.get_mut(index) {
                    record.draining |= draining;
                    record.departs_at = departs_at.or(record.departs_at);
                    if record.report_requested_at.is_none() && record.last_report_at.is_none() {
                        record.next_report_at = now;
                    }
                }
                let index = *index;
                self.move_from_draining(state, now, index);
                return if changed {
                    Registration::Propose(register(announcement, draining))
                } else {
                    Registration::Known
                };
            }
            let same_place = registered.worker.address == announcement.worker.address;
            if registered.life.name == life.name || same_place {
                if registered.life.born > life.born {
                    return Registration::Outdated;
                }
                former.push(*index);
            }
        }
        for index in former {
            self.end_incarnation(index, Loss::Replaced);
        }
        Registration::Propose(register(announcement, draining))
    }

    /// Takes the word of a worker that it ends now.
    pub fn leave(&mut self, state: &cell::State, name: &str) {
        if let Some((index, _)) = state.worker_named(name) {
            self.end_incarnation(index, Loss::Departed);
        }
    }

    /// Takes over lives that were registered or removed.
    pub(super) fn sync_workers(&mut self, state: &cell::State, now: Duration) {
        self.ended.retain(|index| state.workers().contains_key(index));
        for (index, registered) in state.workers() {
            if self.ended.contains(index) {
                continue;
            }
            let worker = std::sync::Arc::clone(&registered.worker);
            if let Some(record) = self.workers.get_mut(index) {
                record.announced = worker;
                record.draining |= registered.draining;
                continue;
            }
            let life = registered.life.clone();
            self.outputs.push(Output::Event(Event::WorkerKnown {
                index: *index,
                worker: life.name.clone(),
                inherited: 0,
            }));
            let starts = self.unacknowledged.outstanding(&life.name, now);
            let mut record = worker::Worker::new(life, worker, registered.draining, now, now);
            for start in starts {
                record.orphans.expect(&start);
            }
            self.workers.insert(*index, record);
        }
    }

    /// Marks the runs of a step as to be stopped.
    pub(super) fn stop_step(&mut self, step: advice::Step, run: directive::Run, now: Duration) {
        let (first, last) = (schedule::task_id(step, 0), schedule::task_id(step, u32::MAX));
        self.stop_range(first, last, run, now);
    }

    /// Marks runs up to a number in a range of tasks as to be stopped, and sends the orders.
    fn stop_range(
        &mut self,
        first: directive::Task,
        last: directive::Task,
        run: directive::Run,
        now: Duration,
    ) {
        for (index, record) in &mut self.workers {
            for (task, entry) in record.runs.range_mut(first..=last) {
                if entry.run > run || entry.stop != worker::Stop::NotRequested {
                    continue;
                }
                entry.stop = worker::Stop::Requested(None);
                if entry.phase != worker::Phase::Proposed {
                    entry.stop = worker::Stop::Requested(Some(now));
                    self.outputs.push(directives::stop(*index, *task, entry.run, now));
                }
            }
        }
    }

    /// Marks the runs of a job as to be stopped and drops what waits of it.
    pub(super) fn stop_job(
        &mut self,
        key: bronzespoke_workload::job::Key,
        now: Duration,
        state: &cell::State,
    ) {
        self.refresh_job(state, key);
        self.stop_runs_of(key, now);
    }

    fn stop_runs_of(&mut self, key: bronzespoke_workload::job::Key, now: Duration) {
        let first = directive::Task {
            job: key,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let last = directive::Task {
            job: key,
            occurrence: u32::MAX,
            step: u16::MAX,
            index: u32::MAX,
        };
        self.stop_range(first, last, directive::Run::MAX, now);
    }
}

/// What a task takes from the room of its worker.
pub(super) const fn counted_size(
    step: &bronzespoke_workload::job::Step,
) -> bronzespoke_model::resource::Amount {
    let mut size = step.size;
    if step.fills {
        size.cpu_milli = 0;
    }
    size
}

fn register(announcement: &announced::Announcement, draining: bool) -> cell::Command {
    cell::Command::Register {
        life: announcement.incarnation.clone(),
        worker: Box::new(announcement.worker.clone()),
        draining,
    }
}
