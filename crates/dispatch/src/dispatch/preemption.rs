//! Preemption of runs in favour of urgent steps that do not fit.
//!
//! A pass records the steps of priority 0 that found no room, in the order of their ranks. After the pass, the leader
//! decides for each of them: it waits if enough room is expected while the objective allows it, and otherwise stops the
//! fewest runs of lower priorities on workers that may run the step. The freed capacity is held for the step.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_workload::{catalog, directive, eligibility};

use super::{
    Dispatch, Event, Now, Output,
    schedule::{Subject, is_usable},
    waiting,
};
use crate::{
    preempt::{self, Choice, Demand, Hold, Stoppable},
    rank, reserve,
    worker::{Phase, Stop, Worker},
};

/// Workers that are considered for a step.
const MAX_CONSIDERED: usize = 48;
/// Time from the end of a stopped run to the start on its capacity: two commits and the directives.
const START_TIME: Duration = Duration::from_millis(100);
/// Time that a stopped run needs until it continues: its restore and a new start. A run that ends sooner is not stopped.
const RESUME_TIME: Duration = Duration::from_millis(800);
/// A run without checkpoints is stopped only if it loses at most one part in this many of the work that it makes room for.
const WORTH_RATIO: u64 = 2;
/// Pause before a step for which nothing could be done is considered again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

impl Dispatch {
    /// Replaces the bound on the stops that may be under way in favour of urgent work; 0 turns preemption off.
    pub fn limit_preemptions(&mut self, limit: usize) {
        self.preemptions.set_limit(limit);
    }

    /// Returns the number of runs whose stop in favour of urgent work is under way.
    pub fn preemptions_under_way(&self) -> usize {
        self.preemptions.under_way()
    }

    /// Records that a step does not fit; [`Dispatch::preempt`] decides after the pass. Only steps of priority 0 preempt, and
    /// not those of a team beyond its share.
    pub(super) fn make_room(&mut self, now: Duration, subject: &Subject<'_>, _needed: u32) {
        let team = subject.job.team.as_deref();
        let is_urgent = subject.queue.priority == 0 && !subject.spec.gang && !subject.spec.lasting;
        if !is_urgent || self.preemptions.is_off() || self.shares.order(team) > 0 {
            return;
        }
        let open = subject.tasks.len() as u32;
        let tasks = open.min(self.allowed(team, subject.size));
        let demand = Demand {
            step: subject.id,
            tasks,
            size: subject.size,
            run_time: subject.run_time,
            pool: subject.queue.pool.clone(),
            label: subject.spec.label.clone(),
            per_worker: subject.spec.per_worker,
            advice: subject.queue.advice,
        };
        self.preemptions.demand(now, demand);
    }

    /// Makes room for the steps that the last pass could not place.
    pub(super) fn preempt(&mut self, state: &cell::State, now: Now) {
        let demands = self.preemptions.take_demands();
        let waiting = &self.waiting;
        self.preemptions
            .refresh(now.steady, &self.workers, |step| waiting.contains_key(&step));
        let has_lower = |catalog: &catalog::Catalog| catalog.queues.iter().any(|queue| queue.priority > 0);
        if demands.is_empty() || !self.limits.as_ref().is_some_and(|catalog| has_lower(catalog)) {
            return;
        }
        for demand in demands {
            self.preempt_for(state, now, demand);
        }
    }

    fn preempt_for(&mut self, state: &cell::State, now: Now, mut demand: Demand) {
        let held = self.preemptions.held_tasks(demand.step, &self.workers);
        demand.tasks = demand.tasks.saturating_sub(held);
        let slack = state
            .job(demand.step.job)
            .and_then(|job| self.slack(job, demand.step, now));
        let (Some(slack), true) = (slack, demand.tasks > 0) else {
            return;
        };
        let stop_time = self.config.bounds.stop;
        // Room that comes after the latest start gains nothing.
        let Some(patience) = slack.checked_sub(stop_time + START_TIME) else {
            self.preemptions.pause(demand.step, now.steady + RETRY_PAUSE);
            return;
        };
        let due = now.steady + patience.min(stop_time);
        let natural = self.choices(now, &demand, &|record, free, most| {
            let tasks = expected_room(record, free, &demand.size, most, now.steady, due);
            Some((Vec::new(), tasks))
        });
        self.hold_choices(now, &mut demand, natural, due);
        if demand.tasks == 0 {
            return;
        }
        let stops = self.choices(now, &demand, &|record, free, most| {
            let stoppable = self.stoppable(state, now, &demand, record);
            preempt::choose(free, &demand.size, most, stoppable)
        });
        let until = now.steady + stop_time * 2 + START_TIME;
        self.hold_choices(now, &mut demand, stops, until);
        if demand.tasks > 0 {
            self.preemptions.pause(demand.step, now.steady + RETRY_PAUSE);
        }
    }

    /// Returns the time until the latest start that meets the next goal of a job; `None` if it cannot meet any.
    fn slack(&self, job: &cell::Job, step: eligibility::Step, now: Now) -> Option<Duration> {
        let begun_ms = self.waiting.get(&step)?.begun_ms;
        let expected = |stated| self.estimates.expected(&job.queue.name, stated);
        let chain = job.submission.chain(expected);
        let remaining = waiting::remaining(&self.estimates, &job.queue.name, &job.submission, step.step);
        let rank = rank::compute(job, begun_ms, chain, remaining, now.wall_ms);
        let slack_ms = rank.latest_start.saturating_sub(now.wall_ms);
        (!rank.useless).then(|| Duration::from_millis(slack_ms))
    }

    /// Returns the choices of the workers that may run a step, the best first. `choose` gets the record of a worker, what is
    /// free there, and the number of tasks that it may run.
    fn choices(
        &self,
        now: Now,
        demand: &Demand,
        choose: &dyn Fn(&Worker, resource::Amount, u32) -> Option<(Vec<Stoppable>, u32)>,
    ) -> Vec<Choice> {
        let mut choices: Vec<Choice> = self
            .considered(now, demand)
            .into_iter()
            .filter_map(|(worker, most)| {
                let record = self.workers.get(&worker)?;
                let (stops, tasks) = choose(record, record.free(), most)?;
                (tasks > 0).then_some(Choice { worker, stops, tasks })
            })
            .collect();
        choices.sort_by_key(Choice::cost);
        choices
    }

    /// Returns the workers that may run a step and of which no capacity is held, with the number of tasks that each may
    /// run. Workers with a valid ticket come first.
    fn considered(&self, now: Now, demand: &Demand) -> Vec<(cell::WorkerIndex, u32)> {
        let known = self.queries.eligibility(demand.step);
        let until = now.steady + self.config.bounds.stop;
        let mut workers: Vec<cell::WorkerIndex> = match (demand.advice, known) {
            (None, _) => {
                let all = self.rooms.most_free(&demand.pool, 0);
                all.take(MAX_CONSIDERED).collect()
            }
            (Some(_), Some(known)) => known.eligible().collect(),
            (Some(_), None) => Vec::new(),
        };
        if let Some(known) = known.filter(|_| workers.len() > MAX_CONSIDERED) {
            workers.sort_by_key(|worker| !known.is_permitted(*worker, until));
            workers.truncate(MAX_CONSIDERED);
        }
        let usable = |worker: cell::WorkerIndex| {
            let record = self.workers.get(&worker)?;
            let suits = record.announced.pool == demand.pool
                && demand
                    .label
                    .as_ref()
                    .is_none_or(|label| record.announced.labels.contains(label))
                && is_usable(record, now.steady)
                && !self.preemptions.is_held(worker);
            let most = demand.slots(record);
            (suits && most > 0).then_some((worker, most))
        };
        workers.into_iter().filter_map(usable).collect()
    }

    /// Returns the runs of a worker that may be stopped for a step.
    fn stoppable(&self, state: &cell::State, now: Now, demand: &Demand, record: &Worker) -> Vec<Stoppable> {
        let stoppable = |(task, run): (&directive::Task, &crate::worker::Run)| {
            let Phase::Running(since) = run.phase else {
                return None;
            };
            let left = run.expected_end.saturating_sub(now.steady);
            let is_there = run.stop == Stop::NotRequested && run.run <= preempt::MAX_PREEMPTED_RUN;
            if !is_there || run.priority == 0 || run.gang || left <= RESUME_TIME {
                return None;
            }
            let job = state.job(task.job)?;
            let spec = job.submission.steps.get(usize::from(task.step))?;
            if spec.lasting || spec.copies {
                return None;
            }
            let stop_time = self.config.bounds.stop;
            let lost = if run.checkpoints {
                stop_time + RESUME_TIME
            } else {
                now.steady.saturating_sub(since) + stop_time
            };
            let loss = core_millis(run.size, lost);
            let gain = core_millis(demand.size, demand.run_time);
            if !run.checkpoints && loss.saturating_mul(WORTH_RATIO) > gain {
                return None;
            }
            Some(Stoppable {
                task: *task,
                run: run.run,
                size: run.size,
                loss,
                harms: self.is_harmed(job, *task, left, now),
            })
        };
        record.runs.iter().filter_map(stoppable).collect()
    }

    /// Returns whether a job misses its next goal if a run of it is stopped that needs `left` until its end.
    fn is_harmed(&self, job: &cell::Job, task: directive::Task, left: Duration, now: Now) -> bool {
        let queue = &job.queue.name;
        let expected = |stated| self.estimates.expected(queue, stated);
        let chain = job.submission.chain(expected);
        let from_start = waiting::remaining(&self.estimates, queue, &job.submission, task.step);
        let own = job
            .submission
            .steps
            .get(usize::from(task.step))
            .map_or(Duration::ZERO, |step| expected(step.run_time));
        let remaining = from_start.saturating_sub(own) + left;
        let schedule = job.submission.schedule;
        let begun_ms = schedule.map_or(job.submitted_ms, |schedule| schedule.due_ms(task.occurrence));
        let rank = rank::compute(job, begun_ms, chain, remaining, now.wall_ms);
        let delay = self.config.bounds.stop + RESUME_TIME;
        !rank.useless && now.wall_ms + delay.as_millis() as u64 > rank.latest_start
    }

    /// Stops the runs of the best choices until a step has room for its tasks, and holds the capacity until a time.
    fn hold_choices(&mut self, now: Now, demand: &mut Demand, choices: Vec<Choice>, until: Duration) {
        let mut lacking = Vec::new();
        for choice in choices {
            if demand.tasks == 0 {
                break;
            }
            if choice.stops.len() > self.preemptions.allowed(self.workers.len()) {
                continue;
            }
            let tasks = choice.tasks.min(demand.tasks);
            demand.tasks -= tasks;
            for stop in &choice.stops {
                self.stop_for(now.steady, demand.step, choice.worker, stop);
            }
            if !choice.stops.is_empty() {
                lacking.push(choice.worker);
            }
            let hold = Hold {
                step: demand.step,
                size: demand.size,
                tasks,
                since: now.steady,
                until,
                exclusive: !choice.stops.is_empty(),
                stops: choice.stops.iter().map(|stop| (stop.task, stop.run)).collect(),
            };
            self.preemptions.hold(choice.worker, hold);
        }
        self.renew_held_tickets(now.steady, demand, lacking);
    }

    /// Queries workers whose ticket expires before the stops there take effect.
    fn renew_held_tickets(&mut self, now: Duration, demand: &Demand, mut workers: Vec<cell::WorkerIndex>) {
        let until = now + self.config.bounds.stop + START_TIME;
        let known = self.queries.eligibility(demand.step);
        workers.retain(|worker| known.is_some_and(|known| !known.is_permitted(*worker, until)));
        let named = workers.into_iter().filter_map(|worker| self.named_worker(worker));
        let named: Vec<_> = named.collect();
        if let Some(cost) = demand.advice {
            self.queries.enqueue(now, demand.step, &cost, named);
        }
    }

    fn stop_for(
        &mut self,
        now: Duration,
        step: eligibility::Step,
        worker: cell::WorkerIndex,
        stop: &Stoppable,
    ) {
        let name = self.workers.get(&worker);
        self.outputs.push(Output::Event(Event::Preempted {
            task: stop.task,
            run: stop.run,
            worker: name
                .map(|record| record.incarnation.name.clone())
                .unwrap_or_default(),
            step,
            core_millis: stop.loss,
        }));
        self.stop_run(worker, stop.task, stop.run, now);
    }
}

/// Returns the number of tasks of a size that have room on a worker by `due` without a stop.
fn expected_room(
    record: &Worker,
    free: resource::Amount,
    size: &resource::Amount,
    most: u32,
    now: Duration,
    due: Duration,
) -> u32 {
    let openings = reserve::openings(record, free, size, most, now);
    openings.into_iter().filter(|at| *at <= due).count() as u32
}

/// Returns the processor time of an amount for a duration, in core-milliseconds.
fn core_millis(size: resource::Amount, time: Duration) -> u64 {
    (time.as_millis() as u64).saturating_mul(u64::from(size.cpu_milli)) / 1_000
}
