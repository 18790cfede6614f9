//! Forecasts of a leader, for the admission of jobs.

use std::{collections::HashMap, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_workload::{catalog, eligibility, job};

use super::{Dispatch, Now, Output, fleet, schedule, waiting};
use crate::{
    forecast::{self, Class, Cost, Demand, Errors, Pool},
    worker,
};

/// Maximum age of a survey. It reads all runs and waiting steps, which may cost no more than ten times per second.
const MAX_SURVEY_AGE: Duration = Duration::from_millis(100);
/// Number of jobs accepted since a survey after which the next one is made earlier.
const MANY_RECENT: usize = 64;
/// Maximum age of a survey when many jobs were accepted since.
const MAX_SURVEY_AGE_IN_BURST: Duration = Duration::from_millis(25);
/// A run that is overdue is expected to take this share of its time so far.
const OVERDUE_SHARE: f64 = 0.25;
/// Expected duration of a lasting task; beyond the horizon of the forecast.
const LASTING: Duration = Duration::from_hours(1);

/// A submission to be admitted.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Id of the job.
    pub key: job::Key,
    /// Queue that it is submitted to.
    pub queue: &'a catalog::Queue,
    /// Team that submits it.
    pub team: Option<&'a str>,
    /// Its steps.
    pub submission: &'a job::Submission,
}

/// Why a job is refused, and when its caller may return.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Late {
    /// Time from now to the optimistic end of the job.
    pub end: Duration,
    /// Time from now up to which the job is useful.
    pub useful: Duration,
    /// What the job would find.
    pub expectation: forecast::Expectation,
    /// Whether its team is within its share.
    pub within_share: bool,
    /// Whether it was refused before.
    pub refused_before: bool,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

impl Dispatch {
    /// Compares the starts of a scheduling pass with their forecasts.
    pub(super) fn update_forecast(&mut self) {
        let Some(Output::Propose(cell::Command::Start(starts))) = self.outputs.last() else {
            return;
        };
        for start in starts {
            let record = self.workers.get(&start.worker);
            let run = record.and_then(|record| record.runs.get(&start.task));
            if let Some(run) = run {
                self.forecast.started(run.decided, start.task.job);
            }
        }
    }

    /// Decides whether a job can still be useful. `is_submitting` tells whether a copy of the submission is being
    /// committed; such a job must not be refused.
    pub fn admit(
        &mut self,
        state: &cell::State,
        now: Now,
        request: &Request<'_>,
        is_submitting: impl FnOnce() -> bool,
    ) -> Result<(), Late> {
        let submission = request.submission;
        if submission.schedule.is_some() || submission.lasts() {
            return Ok(());
        }
        let (queue, key) = (request.queue, request.key);
        let expected = |stated| self.estimates.expected(&queue.name, stated);
        let (chain, first) = critical_path(submission, expected);
        let Some(spec) = submission.steps.get(first) else {
            return Ok(());
        };
        let begun_ms = self.forecast.first_refusal(key).unwrap_or(now.wall_ms);
        let useful_ms = forecast::useful_until(queue, begun_ms, chain);
        let latest_start = useful_ms.saturating_sub(chain.as_millis() as u64);
        let class = self.class(queue, request.team);
        let demand = Demand {
            class,
            // A caller that returns after its late goal is useless like a job that waits; all others are ahead of it.
            latest_start: if latest_start < now.wall_ms {
                u64::MAX
            } else {
                latest_start
            },
            size: fleet::counted_size(spec),
            tasks: spec.tasks,
            gang: spec.gang,
            run_time: expected(spec.run_time),
        };
        let mut found = forecast::Expectation::default();
        if !self.waiting.is_empty() || self.forecast.recent() > 0 {
            let max_age = if self.forecast.recent() < MANY_RECENT {
                MAX_SURVEY_AGE
            } else {
                MAX_SURVEY_AGE_IN_BURST
            };
            let age = self.forecast.age(now.steady);
            if age.is_none_or(|age| age >= max_age) {
                self.survey(state, now);
            }
            let expectation = self.forecast.expect(now.steady, &queue.pool, &demand);
            if let Some(expectation) = expectation.filter(forecast::Expectation::may_refuse) {
                found = expectation;
                let start = expectation.start;
                let end = forecast::optimistic_end(start, self.forecast.at_best(&queue.pool, chain));
                let useful = Duration::from_millis(useful_ms.saturating_sub(now.wall_ms));
                if end > useful && state.job(key).is_none() && !is_submitting() {
                    let refused_before = begun_ms < now.wall_ms;
                    return Err(Late {
                        end,
                        useful,
                        expectation,
                        within_share: class.within_share,
                        refused_before,
                        retry_after: self.forecast.refuse(
                            now.steady,
                            now.wall_ms,
                            key,
                            &queue.pool,
                            &demand,
                            start,
                        ),
                    });
                }
            }
        }
        self.forecast.accept(now.steady, key, &queue.pool, &demand, found);
        Ok(())
    }

    /// Returns how the starts of each tier differed from their forecasts.
    pub const fn forecast_errors(&self) -> [Errors; 2] {
        self.forecast.errors()
    }

    /// Returns the operations that forecasts have taken in this term.
    pub const fn forecast_cost(&self) -> Cost {
        self.forecast.cost()
    }

    fn class(&self, queue: &catalog::Queue, team: Option<&str>) -> Class {
        Class {
            tier: u8::from(queue.priority > 0),
            within_share: self.shares.order(team) == 0,
        }
    }

    /// Reads the capacity, the running and the waiting work of all pools.
    fn survey(&mut self, state: &cell::State, now: Now) {
        let mut pools: HashMap<String, Pool> = HashMap::new();
        let mut read = 0;
        for (index, record) in &self.workers {
            if !counts(record, now.steady) {
                continue;
            }
            let name = &record.announced.pool;
            let pool = match pools.get_mut(name) {
                Some(pool) => pool,
                None => pools.entry(name.clone()).or_default(),
            };
            pool.add_worker(record.announced.room, self.speeds.of(*index));
            for (task, run) in &record.runs {
                let job = state.job(task.job);
                let spec = job.and_then(|job| job.submission.steps.get(usize::from(task.step)));
                let remaining = if spec.is_some_and(|spec| spec.lasting) {
                    LASTING
                } else {
                    remaining_of(run, now.steady)
                };
                let within_share = self.shares.order(run.team.as_deref()) == 0;
                pool.add_run(run.size, remaining, within_share);
            }
            read += 1 + record.runs.len() as u64;
        }
        let mut waiting = self.useful_waiting(state, now);
        read += self.waiting.len() as u64;
        waiting.sort_unstable_by_key(|(id, demand, _)| (demand.latest_start, *id));
        let mut rooms: HashMap<&str, resource::Amount> = HashMap::new();
        for (_, demand, job) in &mut waiting {
            self.restrict_to_limit(demand, job.team.as_deref(), &mut rooms);
            if demand.tasks > 0
                && let Some(pool) = pools.get_mut(&job.queue.pool)
            {
                pool.add_waiting(demand);
            }
        }
        self.forecast
            .survey(now.steady, pools, read, |key| state.job(key).is_some());
    }

    /// Returns the waiting steps whose jobs can still be useful.
    fn useful_waiting<'a>(
        &self,
        state: &'a cell::State,
        now: Now,
    ) -> Vec<(eligibility::Step, Demand, &'a cell::Job)> {
        // Tasks whose start is proposed count as runs.
        let mut proposed: HashMap<eligibility::Step, u32> = HashMap::new();
        for task in &self.proposed {
            let step = eligibility::Step {
                job: task.job,
                occurrence: task.occurrence,
                step: task.step,
            };
            *proposed.entry(step).or_default() += 1;
        }
        let useful = |(id, entry): (&eligibility::Step, &waiting::Waiting)| {
            let job = state.job(id.job).filter(|_| entry.begun_ms <= now.wall_ms)?;
            let spec = job.submission.steps.get(usize::from(id.step))?;
            let open = job.open.get(&id.occurrence);
            let progress = open.and_then(|open| open.steps.get(usize::from(id.step)));
            let tasks = progress.map_or(spec.tasks, |step| step.remaining.saturating_sub(step.placed));
            let queue = &job.queue;
            let expected = |stated| self.estimates.expected(&queue.name, stated);
            let chain = job.submission.chain(expected);
            let remaining = waiting::remaining(&self.estimates, &queue.name, &job.submission, id.step);
            let useful_ms = forecast::useful_until(queue, entry.begun_ms, chain);
            let latest_start = useful_ms.saturating_sub(remaining.as_millis() as u64);
            let demand = Demand {
                class: self.class(queue, job.team.as_deref()),
                latest_start,
                size: fleet::counted_size(spec),
                tasks: tasks.saturating_sub(proposed.get(id).copied().unwrap_or_default()),
                gang: spec.gang,
                run_time: if spec.lasting {
                    LASTING
                } else {
                    expected(spec.run_time)
                },
            };
            (now.wall_ms <= latest_start).then_some((*id, demand, job))
        };
        self.waiting.iter().filter_map(useful).collect()
    }

    /// Removes the tasks that exceed the upper limit of their team. `rooms` is what remains of the limits.
    fn restrict_to_limit<'a>(
        &self,
        demand: &mut Demand,
        team: Option<&'a str>,
        rooms: &mut HashMap<&'a str, resource::Amount>,
    ) {
        let Some(team) = team else { return };
        let limit = self.limits.as_ref().and_then(|catalog| catalog.team(team));
        let Some(limit) = limit.map(|team| team.limit) else {
            return;
        };
        let used = self.usage.used_by(team);
        let dimension = |limit: u32, used: u32| match limit {
            0 => u32::MAX,
            _ => limit.saturating_sub(used),
        };
        let room = rooms.entry(team).or_insert_with(|| {
            resource::Amount::new(
                dimension(limit.cpu_milli, used.cpu_milli),
                dimension(limit.memory_mib, used.memory_mib),
                dimension(limit.accelerators, used.accelerators),
            )
        });
        let fitting = |room: u32, size: u32| room.checked_div(size).unwrap_or(u32::MAX);
        let allowed = fitting(room.cpu_milli, demand.size.cpu_milli)
            .min(fitting(room.memory_mib, demand.size.memory_mib))
            .min(fitting(room.accelerators, demand.size.accelerators));
        if demand.gang && allowed < demand.tasks {
            demand.tasks = 0;
        }
        demand.tasks = demand.tasks.min(allowed);
        let taken = |size: u32| size.saturating_mul(demand.tasks);
        let take = |limit: u32, room: u32, size: u32| match limit {
            0 => room,
            _ => room.saturating_sub(taken(size)),
        };
        *room = resource::Amount::new(
            take(limit.cpu_milli, room.cpu_milli, demand.size.cpu_milli),
            take(limit.memory_mib, room.memory_mib, demand.size.memory_mib),
            take(limit.accelerators, room.accelerators, demand.size.accelerators),
        );
    }
}

/// Returns whether the capacity of a worker counts. One that this leader has not heard yet counts: the workers of an
/// earlier leader report within seconds, and without them a new leader would refuse jobs for which there is room.
fn counts(record: &worker::Worker, now: Duration) -> bool {
    let is_unheard = record.last_report_at.is_none() && !record.draining && !record.evacuated;
    is_unheard || schedule::is_usable(record, now)
}

/// Returns the time that a run is expected to take from now on.
fn remaining_of(run: &worker::Run, now: Duration) -> Duration {
    let elapsed = now.saturating_sub(run.decided);
    run.expected_end
        .saturating_sub(now)
        .max(elapsed.mul_f64(OVERDUE_SHARE))
}

/// Returns the length of the critical path, and the index of the step that it begins with.
fn critical_path(submission: &job::Submission, expected: impl Fn(Duration) -> Duration) -> (Duration, usize) {
    let mut ends: Vec<(Duration, usize)> = Vec::with_capacity(submission.steps.len());
    for (index, step) in submission.steps.iter().enumerate() {
        let before = step.after.iter().map(|other| ends[usize::from(*other)]).max();
        let (ready, first) = before.unwrap_or((Duration::ZERO, index));
        ends.push((ready + expected(step.run_time), first));
    }
    ends.into_iter().max().unwrap_or_default()
}
