//! Registration, draining and removal of workers.

use std::{ops::RangeInclusive, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_workload::{directive, eligibility, worker as announced};

use super::{Dispatch, Event, Now, Output, directives, schedule};
use crate::{orphan, recent, worker};

/// Margin on the lease of an earlier leader, for the time between its last decision and the arrival of the directive.
const INHERITED_MARGIN: Duration = Duration::from_millis(500);
/// Expected remaining time of a run that an earlier leader placed, of which only the placement is known.
const INHERITED_RUN_TIME: Duration = Duration::from_secs(2);

/// Consequence of an announcement.
#[derive(Debug, Clone, PartialEq)]
pub enum Registration {
    /// The incarnation is registered and unchanged.
    Known,
    /// The announcement comes from an earlier incarnation.
    Outdated,
    /// The announcement names another address than the one at which the incarnation is registered, so that its sender is
    /// another one.
    OtherAddress,
    /// The configuration has no such pool, so that the announcement describes no worker.
    UnknownPool,
    /// The command has to be committed before the announcement is acknowledged.
    Propose(cell::Command),
}

impl Dispatch {
    /// Creates the records of workers and runs from the replicated state.
    pub(super) fn inherit(&mut self, state: &cell::State, recent: &recent::Starts, now: Now) {
        let until = |lease: Duration| {
            let lease = lease.max(super::LEASE);
            now.steady + lease.div_f64(1.0 - worker::CLOCK_DRIFT) + INHERITED_MARGIN
        };
        for (index, registered) in state.workers() {
            // A lease in a directive to an earlier incarnation ends at a time on another clock.
            let until = if registered.succeeds {
                until(self.config.bounds.longest_lease)
            } else {
                until(self.config.lease())
            };
            let mut record = worker::Worker::new(*index, registered, now.steady, until);
            record.evacuated = state.is_evacuated(&registered.worker.zone);
            self.workers.insert(*index, record);
            self.rooms.touch(*index);
            self.directory.insert(*index, registered);
        }
        let sent = recent.sent(now.steady);
        for job in state.active() {
            self.inherit_runs(job, &sent, now.steady);
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

    fn inherit_runs(&mut self, job: &cell::Job, sent: &recent::Sent, now: Duration) {
        for (occurrence, progress) in &job.open {
            for (step, entry) in progress.steps.iter().enumerate() {
                let spec = &job.submission.steps[step];
                for (index, task) in entry.tasks.iter().enumerate() {
                    let name = directive::Task {
                        job: job.key,
                        occurrence: *occurrence,
                        step: step as u16,
                        index: index as u32,
                    };
                    let Some(worker) = task.placed else {
                        if task.run > 0 && !task.done {
                            self.inherit_late(name, task.run, counted_size(spec), sent, now);
                        }
                        continue;
                    };
                    let run = worker::Run {
                        run: task.run,
                        size: counted_size(spec),
                        team: job.team.clone(),
                        phase: worker::Phase::Inherited,
                        since: now,
                        decided: now,
                        lease_end: Duration::ZERO,
                        repeat_until: Duration::ZERO,
                        awaits_answer: false,
                        expected_end: (!spec.lasting).then_some(now + INHERITED_RUN_TIME),
                        gang: spec.gang,
                        run_time: spec.run_time,
                        progress: None,
                        stop: worker::Stop::NotRequested,
                        checkpoint: None,
                    };
                    self.usage.add(job.team.as_deref(), run.size);
                    let is_replaced = self.is_replaced(worker);
                    if let Some(record) = self.workers.get_mut(&worker) {
                        // The former leader may not have had an answer. A next incarnation that is registered may have the
                        // run already.
                        let latest = if is_replaced {
                            now
                        } else {
                            sent.latest(name, run.run)
                        };
                        let start = orphan::Start {
                            task: name,
                            run: run.run,
                            size: run.size,
                            sent: latest,
                        };
                        if now < start.expires_at() {
                            self.inherited_starts.record(&record.incarnation.name, start);
                        }
                        record.add(name, run);
                    } else {
                        // The worker was removed, so its runs have ended; only their record is missing.
                        self.usage.remove(job.team.as_deref(), run.size);
                        self.propose_lost(worker, vec![(name, task.run, None)], "removed");
                    }
                }
            }
        }
    }

    /// Treats the newest start of a task that is not placed as unacknowledged: the record of its end does not say whether
    /// the former leader had an answer to each transmission.
    fn inherit_late(
        &mut self,
        task: directive::Task,
        run: directive::Run,
        size: resource::Amount,
        sent: &recent::Sent,
        now: Duration,
    ) {
        let start = orphan::Start {
            task,
            run,
            size,
            sent: sent.latest(task, run),
        };
        if now < start.expires_at() {
            let worker = sent
                .worker(task, run)
                .and_then(|worker| self.workers.get(&worker));
            let name = worker.map_or("", |record| record.incarnation.name.as_str());
            self.inherited_starts.record(name, start);
        }
    }

    /// Returns whether a later incarnation with the name of a worker is registered.
    fn is_replaced(&self, worker: cell::WorkerIndex) -> bool {
        let Some(record) = self.workers.get(&worker) else {
            return false;
        };
        let incarnation = &record.incarnation;
        let known = self.directory.find(&incarnation.name, record.announced.address);
        known.range(worker + 1..).any(|later| {
            let later = self.workers.get(later);
            later.is_some_and(|later| later.incarnation.name == incarnation.name)
        })
    }

    /// Handles an announcement and returns its consequence.
    ///
    /// An announcement under the name or at the address of another incarnation ends nothing: the workers concerned are
    /// asked, and their answers show which of them exists.
    pub fn announce(
        &mut self,
        state: &cell::State,
        now: Duration,
        announcement: &announced::Announcement,
    ) -> Registration {
        let incarnation = &announcement.incarnation;
        let cold_until = now.saturating_add(announcement.cold);
        let draining = matches!(announcement.state, announced::State::Draining { .. });
        let departs_at = match announcement.state {
            announced::State::Draining { remaining } => remaining.map(|remaining| now + remaining),
            announced::State::Ready => None,
        };
        let mut claimed = Vec::new();
        for index in self
            .directory
            .find(&incarnation.name, announcement.worker.address)
        {
            let Some(registered) = state.workers().get(&index) else {
                continue;
            };
            if registered.incarnation == *incarnation {
                // An incarnation keeps its address. Without a start time, a later one of the name may be meant.
                let has_moved = registered.worker.address != announcement.worker.address;
                if has_moved && incarnation.started_ms != 0 {
                    return Registration::OtherAddress;
                }
                let changed = (draining && !registered.draining)
                    || has_moved
                    || registered.worker.room != announcement.worker.room
                    || registered.worker.labels != announcement.worker.labels;
                if let Some(record) = self.workers.get_mut(&index) {
                    record.draining |= draining;
                    record.departs_at = departs_at.or(record.departs_at);
                    record.cold_until = cold_until;
                    if record.report_requested_at.is_none() && record.last_report_at.is_none() {
                        record.next_report_at = now;
                    }
                }
                self.move_from_draining(now, index);
                return if changed {
                    Registration::Propose(register(announcement, draining))
                } else {
                    Registration::Known
                };
            }
            let Some(record) = self.workers.get(&index) else {
                continue;
            };
            let is_earlier = registered.incarnation.started_ms > incarnation.started_ms;
            if is_earlier && schedule::has_fresh_report(record, now) {
                return Registration::Outdated;
            }
            claimed.push(index);
        }
        let catalog = state.catalog();
        if catalog.is_some_and(|catalog| !catalog.has_pool(&announcement.worker.pool)) {
            return Registration::UnknownPool;
        }
        for index in claimed {
            self.verify_claim(index, now);
        }
        self.record_cold(now, announcement);
        Registration::Propose(register(announcement, draining))
    }

    /// Handles the notice of a worker that it leaves now.
    ///
    /// It names no incarnation and may arrive late, and its sender may work on until it is acknowledged. All incarnations
    /// with the name are therefore asked: a report of the next one, or the end of the lease, shows that one has ended.
    pub fn leave(&mut self, now: Duration, name: &str) {
        let named = self.workers.iter_mut();
        let named = named.filter(|(_, record)| record.incarnation.name == name);
        let mut asked = Vec::new();
        for (index, record) in named {
            record.noticed_at = Some(now);
            self.outputs.push(Output::Event(Event::DepartureNoticed {
                index: *index,
                worker: String::from(name),
                started_ms: record.incarnation.started_ms,
                draining: record.draining,
                runs: record.runs.len(),
                silent: record.last_report_at.map(|reported| now.saturating_sub(reported)),
            }));
            asked.push(*index);
        }
        for index in asked {
            self.verify_claim(index, now);
        }
    }

    /// Asks a worker whether it is still there, because an unverified message says that it is gone.
    fn verify_claim(&mut self, index: cell::WorkerIndex, now: Duration) {
        if let Some(record) = self.workers.get_mut(&index) {
            record.verify_claim(now);
        }
        self.renew_lease(index, now);
    }

    /// Handles the committed registration of an incarnation: adds its worker, or updates it.
    pub(super) fn registered(
        &mut self,
        state: &cell::State,
        now: Duration,
        incarnation: &announced::Incarnation,
    ) {
        // The newest incarnation of a name is found first.
        let mut registered = state.workers().iter().rev();
        let Some((index, registered)) =
            registered.find(|(_, registered)| registered.incarnation == *incarnation)
        else {
            return;
        };
        let index = *index;
        self.directory.insert(index, registered);
        if self.ended.contains_key(&index) {
            return;
        }
        self.rooms.touch(index);
        if let Some(record) = self.workers.get_mut(&index) {
            record.announced = std::sync::Arc::clone(&registered.worker);
            record.draining |= registered.draining;
            self.mark_worker(state, index);
            return;
        }
        self.outputs.push(Output::Event(Event::WorkerKnown {
            index,
            worker: incarnation.name.clone(),
            inherited: 0,
        }));
        let starts = self.unacknowledged.outstanding(&incarnation.name, now);
        let mut record = worker::Worker::new(index, registered, now, now);
        record.evacuated = state.is_evacuated(&registered.worker.zone);
        record.cold_until = self.take_cold(incarnation);
        for start in starts {
            record.orphans.expect(&start);
        }
        self.workers.insert(index, record);
        // The tasks of an incarnation that this one has replaced wait for its answer. All others are asked in the turns
        // of their timers, so that the reports of a fleet that registers at once are spread.
        let address = registered.worker.address;
        let known = self.directory.find(&incarnation.name, address);
        if known
            .iter()
            .any(|other| *other != index && self.workers.contains_key(other))
        {
            self.renew_lease(index, now);
        }
    }

    /// Handles the committed removal of an incarnation.
    pub(super) fn retired(&mut self, index: cell::WorkerIndex) {
        self.ended.remove(&index);
        self.directory.remove(index);
    }

    /// Stops the runs of a step up to a number.
    pub(super) fn stop_step(&mut self, step: eligibility::Step, run: directive::Run, now: Duration) {
        let (first, last) = (schedule::task_id(step, 0), schedule::task_id(step, u32::MAX));
        self.stop_runs_in(first..=last, run, now);
    }

    /// Stops the runs up to a number in a range of tasks.
    fn stop_runs_in(&mut self, tasks: RangeInclusive<directive::Task>, run: directive::Run, now: Duration) {
        for (index, record) in &mut self.workers {
            for (task, entry) in record.runs.range_mut(tasks.clone()) {
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

    /// Stops the runs of a job and removes its waiting steps.
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
        self.stop_runs_in(super::tasks_of(key, 0..=u32::MAX), directive::Run::MAX, now);
    }
}

/// Returns the resources that a task of a step counts with; the processors of one that uses only idle processors do
/// not count.
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
        incarnation: announcement.incarnation.clone(),
        worker: Box::new(announcement.worker.clone()),
        draining,
    }
}
