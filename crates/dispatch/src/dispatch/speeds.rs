//! Speeds of workers in the decisions of a leader.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_workload::{catalog, eligibility, job};

use super::{
    Dispatch, Event, Now, Output,
    event::SpeedsLearned,
    fleet,
    report::step_of,
    schedule::{Subject, is_usable},
    waiting,
};
use crate::{
    pace::{Goal, Pace},
    place, rank,
    speed::{Observation, Range},
    worker,
};

/// Relative change of a speed from which it is recorded again.
const MIN_CHANGE: f64 = 0.05;
/// Maximum number of machines in one record.
const MAX_RECORDED: usize = 256;
/// Maximum recorded weight, in hundredths of a run.
const MAX_WEIGHT: f64 = 1e6;
/// Interval at which the age of the records of absent machines is updated, in seconds.
const AGE_STEP_S: u32 = 60;
/// Age after which the record of an absent machine is removed, in seconds.
const MAX_AGE_S: u32 = 3_600;
/// Maximum number of records of absent machines.
const MAX_ABSENT: usize = 1_024;
/// Minimum interval between two log lines about the speeds of the pools.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Relative change of the speeds of a pool from which they are logged again.
const MIN_REPORTED_CHANGE: f64 = 0.15;

impl Dispatch {
    /// Continues with the speeds that earlier leaders have recorded.
    pub(super) fn inherit_speeds(&mut self, state: &cell::State, now: Duration) {
        let workers: Vec<cell::WorkerIndex> = self.workers.keys().copied().collect();
        for worker in workers {
            self.inherit_speed(state, worker);
        }
        self.speeds.refresh(now);
    }

    /// Continues with the recorded speed of the machine of a worker.
    pub(super) fn inherit_speed(&mut self, state: &cell::State, worker: cell::WorkerIndex) {
        let Some(record) = self.workers.get(&worker) else {
            return;
        };
        if let Some(speed) = state.speeds().get(machine(record)) {
            let precision = f64::from(speed.weight) / 100.0;
            let factor = f64::from(speed.milli) / 1_000.0;
            self.speeds
                .inherit(worker, &record.announced.pool, factor, precision);
        }
    }

    /// Proposes the record of the speeds that have changed, so that the next leader and the next incarnation of a worker
    /// continue with them.
    fn record_speeds(&mut self, state: &cell::State, now: Duration) {
        if !self.speeds.take_record_due(now) {
            return;
        }
        let known = state.speeds();
        let mut present = BTreeSet::new();
        let mut changed = Vec::new();
        for (index, record) in &self.workers {
            let name = machine(record);
            present.insert(name);
            let recorded = known.get(name);
            let Some((speed, precision)) = self.speeds.learned(*index) else {
                // A record that stays would make a pool differ again for the next leader.
                let is_equal = self.speeds.is_known(*index);
                if recorded.is_some() && is_equal && self.speeds.range(&record.announced.pool).is_none() {
                    changed.push((String::from(name), None));
                }
                continue;
            };
            let learned = cell::Speed {
                milli: (speed * 1_000.0).round() as u32,
                weight: (precision * 100.0).min(MAX_WEIGHT) as u32,
                age_s: 0,
            };
            let is_current = recorded.is_some_and(|recorded| {
                let difference = f64::from(learned.milli.abs_diff(recorded.milli));
                recorded.age_s == 0 && difference <= f64::from(recorded.milli) * MIN_CHANGE
            });
            if !is_current {
                changed.push((String::from(name), Some(learned)));
            }
        }
        let absent = known.iter().filter(|(name, _)| !present.contains(name.as_str()));
        let is_aging = now >= self.speeds_aged_at + Duration::from_secs(AGE_STEP_S.into());
        let mut surplus = known.len().saturating_sub(present.len() + MAX_ABSENT);
        for (name, speed) in absent {
            let age_s = speed.age_s.saturating_add(AGE_STEP_S);
            if surplus > 0 || age_s > MAX_AGE_S {
                surplus = surplus.saturating_sub(1);
                changed.push((name.clone(), None));
            } else if is_aging {
                changed.push((name.clone(), Some(cell::Speed { age_s, ..*speed })));
            }
        }
        if is_aging {
            self.speeds_aged_at = now;
        }
        changed.truncate(MAX_RECORDED);
        if !changed.is_empty() {
            self.outputs.push(Output::Propose(cell::Command::Learn {
                speeds: changed,
                past_use: Vec::new(),
            }));
        }
    }

    /// Ignores differences between workers from now on, for comparisons of decisions.
    pub const fn ignore_speeds(&mut self) {
        self.speeds.ignore();
    }

    /// Returns the observed speed of a worker, for metrics and tests; 1 if it is not known or does not differ.
    pub fn speed(&self, worker: cell::WorkerIndex) -> f64 {
        self.speeds.of(worker)
    }

    /// Returns whether a worker is rated as slower than its own speed, for metrics and tests.
    pub fn is_slow(&self, worker: cell::WorkerIndex, now: Duration) -> bool {
        self.slow_factor(worker, now).is_some()
    }

    /// Returns the expected run time of a task of a step on its worker; a gang proceeds at the speed of its slowest member.
    pub(super) fn run_time_of(&self, worker: cell::WorkerIndex, subject: &Subject<'_>) -> Duration {
        let speed = if subject.spec.gang && subject.pace.is_some() {
            self.speeds.gang(subject.id)
        } else {
            self.speeds.of(worker)
        };
        subject.run_time.div_f64(speed)
    }

    /// Returns the factor by which a worker is slow in comparison with its own speed, if it is.
    pub(super) fn slow_factor(&self, worker: cell::WorkerIndex, now: Duration) -> Option<f64> {
        if self.speeds.is_known(worker) {
            self.slowness.factor(worker, now)
        } else {
            self.slowness.factor_of_unknown(worker, now)
        }
    }

    /// Learns from a completed run how long the tasks of its queue take, and how fast its worker is.
    pub(super) fn learn(
        &mut self,
        now: Duration,
        job: &cell::Job,
        end: &cell::End,
        step: &job::Step,
        actual: Duration,
    ) {
        let queue = &job.queue.name;
        if step.gang {
            // The run time of a member shows the speed of the slowest one.
            let nominal = actual.mul_f64(self.speeds.gang(step_of(end.task)));
            self.estimates.record(queue, step.run_time, nominal);
            return;
        }
        let expected = self.estimates.expected(queue, step.run_time);
        let nominal = actual.mul_f64(self.speeds.of(end.worker));
        self.estimates.record(queue, step.run_time, nominal);
        let Some(record) = self.workers.get(&end.worker) else {
            return;
        };
        // Tasks take longer away from their data and on idle processors only, and a fault is not a property of the machine.
        let near = step.near_rack.as_ref();
        let is_near = near.is_none_or(|rack| record.announced.labels.contains(rack));
        let is_slow = self.slow_factor(end.worker, now).is_some();
        if is_near && !is_slow && !step.fills && !step.lasting {
            self.speeds.observe(&Observation {
                worker: end.worker,
                pool: &record.announced.pool,
                queue,
                job: end.task.job,
                expected,
                actual,
            });
        }
    }

    /// Compares the speeds of workers, and the room on the fast ones.
    pub(super) fn refresh_speeds(&mut self, state: &cell::State, now: Duration) {
        if !self.speeds.refresh(now) {
            return;
        }
        self.record_speeds(state, now);
        self.report_speeds(now);
        let speeds = &self.speeds;
        self.kept.retain(|pool| speeds.range(pool).is_some());
        let mut rooms: BTreeMap<&str, f64> = BTreeMap::new();
        for (index, record) in &self.workers {
            let pool = record.announced.pool.as_str();
            let (Some(range), Some(size)) = (self.speeds.range(pool), self.kept.size(pool)) else {
                continue;
            };
            let room = rooms.entry(pool).or_default();
            if self.speeds.of(*index) < range.middle() || !is_usable(record, now) {
                continue;
            }
            let tasks = place::count(&record.free(), &size);
            *room += f64::from(tasks) * f64::from(size.cpu_milli);
        }
        for (pool, room) in rooms {
            self.kept.set_room(pool, room);
        }
    }

    /// Returns what a waiting step requires of the speed of its workers, if those of its pool differ.
    pub(super) fn pace_of_waiting(
        &self,
        state: &cell::State,
        now: Now,
        job: &cell::Job,
        id: eligibility::Step,
        times: &rank::Times,
    ) -> Option<Pace> {
        let queue = state.queue_of(job);
        self.speeds.range(&queue.pool)?;
        let begun_ms = self.waiting.get(&id)?.begun_ms;
        let elapsed = Duration::from_millis(now.wall_ms.saturating_sub(begun_ms));
        let spec = job.submission.steps.get(usize::from(id.step))?;
        // Like its times, the estimates of a job are those of the queue at its submission.
        self.pace(now.steady, &job.queue.name, &queue.pool, spec, times, elapsed)
    }

    /// Returns what a step of a submission requires of the speed of its workers, if those of its pool differ.
    pub(super) fn pace_of_submitted(
        &self,
        now: Duration,
        queue: &catalog::Queue,
        submission: &job::Submission,
        step: u16,
    ) -> Option<Pace> {
        self.speeds.range(&queue.pool)?;
        let spec = submission.steps.get(usize::from(step))?;
        let chain = submission.chain(|stated| self.estimates.expected(&queue.name, stated));
        let remaining = waiting::remaining(&self.estimates, &queue.name, submission, step);
        let times = rank::Times::new(queue, chain, remaining);
        self.pace(now, &queue.name, &queue.pool, spec, &times, Duration::ZERO)
    }

    fn pace(
        &self,
        now: Duration,
        queue: &str,
        pool: &str,
        spec: &job::Step,
        times: &rank::Times,
        elapsed: Duration,
    ) -> Option<Pace> {
        let range = self.speeds.range(pool)?;
        let goal = Goal {
            chain: times.chain,
            remaining: times.remaining,
            run_time: self.estimates.expected(queue, spec.run_time),
            elapsed,
            objective: Duration::from_millis(times.objective_ms),
            noise: self.estimates.noise(queue),
        };
        let mut pace = Pace::new(&goal, range);
        // Work that has waited until only fast workers end it in time is not held back any longer.
        if !pace.tight && pace.suffices(range.slowest) {
            let size = fleet::counted_size(spec);
            pace.fast_tasks = self.kept.tasks_beside(now, pool, &size);
            // A run that takes several times as long ends in time on a fast worker only, and a wide step has several such runs.
            pace.eager = !spec.gang && pace.fast_tasks > 0;
            if spec.gang && pace.fast_tasks < spec.tasks {
                pace.fast_tasks = 0;
            }
        }
        Some(pace)
    }

    /// Records the placement of a step's tasks in a pool whose workers differ in speed.
    pub(super) fn record_paced(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        placed: &[(u32, cell::WorkerIndex)],
    ) {
        let Some(pace) = subject.pace else { return };
        let pool = &subject.queue.pool;
        let speeds = placed.iter().map(|(_, worker)| self.speeds.of(*worker));
        let slowest = speeds.min_by(f64::total_cmp).unwrap_or(1.0);
        let Some(range) = self.speeds.range(pool) else {
            return;
        };
        if subject.spec.gang {
            self.speeds.set_gang(subject.id, slowest);
        }
        for (_, worker) in placed {
            if pace.tight {
                let run_time = subject.run_time.div_f64(range.fastest);
                self.kept.record(now, pool, &subject.size, run_time);
            }
            if self.speeds.of(*worker) >= pace.fast {
                self.kept.take(pool, &subject.size);
            }
        }
    }

    /// Logs the speeds of the pools whose workers differ, when they have changed.
    fn report_speeds(&mut self, now: Duration) {
        if now < self.speeds_reported_at + REPORT_INTERVAL {
            return;
        }
        let mut pools: BTreeMap<&str, usize> = BTreeMap::new();
        for (index, record) in &self.workers {
            if self.speeds.is_known(*index) {
                *pools.entry(&record.announced.pool).or_default() += 1;
            }
        }
        for (pool, workers) in pools {
            let range = self.speeds.range(pool);
            let reported = self.reported_speeds.get(pool).copied();
            let is_same = match (range, reported) {
                (Some(range), Some(reported)) => range.is_close(&reported, MIN_REPORTED_CHANGE),
                (None, None) => true,
                _ => false,
            };
            if is_same {
                continue;
            }
            self.speeds_reported_at = now;
            match range {
                Some(range) => self.reported_speeds.insert(String::from(pool), range),
                None => self.reported_speeds.remove(pool),
            };
            let range = range.unwrap_or(Range {
                slowest: 1.0,
                fastest: 1.0,
            });
            self.outputs
                .push(Output::Event(Event::SpeedsLearned(SpeedsLearned {
                    pool: String::from(pool),
                    workers,
                    slowest_milli: (range.slowest * 1_000.0) as u32,
                    fastest_milli: (range.fastest * 1_000.0) as u32,
                })));
        }
    }
}

/// Returns the name under which the speed of a worker's machine is recorded.
fn machine(record: &worker::Worker) -> &str {
    let machine = record.announced.machine.as_ref();
    machine.unwrap_or(&record.incarnation.name)
}
