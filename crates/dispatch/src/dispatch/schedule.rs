//! Scheduling pass: places the tasks of the waiting steps in the order of their ranks.

use std::{
    borrow::Cow,
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_workload::{catalog, directive, eligibility, job};

use super::{Dispatch, Event, Now, Output, candidate::is_unknown, fleet, waiting};
use crate::{
    pace::Pace,
    place::{self, Candidate},
    rank, reserve, share,
    worker::{self, Phase, Stop},
};

/// Maximum age of the last report of a worker that gets new work. Reports arrive a second apart, and what is placed on
/// a lost worker waits for the end of its lease.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_600);
/// Maximum number of starts in one command.
const MAX_STARTS_PER_COMMAND: usize = 256;
/// One worker in this many may be reserved for waiting gangs.
const RESERVED_RATIO: usize = 2;

/// Workers that are reserved for gangs in this pass.
#[derive(Debug, Default)]
pub(super) struct Reserved {
    pub(super) workers: HashMap<cell::WorkerIndex, reserve::Hold>,
    pub(super) max: usize,
}

impl Reserved {
    /// Subtracts a placed task from what its worker can take beside a gang.
    pub(super) fn take(&mut self, worker: cell::WorkerIndex, size: &resource::Amount, end: Option<Duration>) {
        if let Some(hold) = self.workers.get_mut(&worker) {
            hold.take(size, end);
        }
    }
}

/// Waiting steps by rank.
type Ranked = BinaryHeap<Reverse<(rank::Rank, eligibility::Step)>>;

/// Properties of a step that a pass needs.
pub(super) struct Subject<'a> {
    pub(super) id: eligibility::Step,
    pub(super) job: &'a cell::Job,
    pub(super) queue: &'a catalog::Queue,
    pub(super) spec: &'a job::Step,
    pub(super) progress: Cow<'a, cell::Step>,
    pub(super) size: resource::Amount,
    pub(super) tasks: Vec<u32>,
    /// Tasks that may start on one worker only.
    pub(super) bound: Vec<(u32, cell::WorkerIndex)>,
    pub(super) tier: u8,
    pub(super) run_time: Duration,
    /// Requirements on the speed of workers, if those of the pool differ.
    pub(super) pace: Option<Pace>,
}

impl Subject<'_> {
    /// Returns when a task that starts now is expected to end; `None` if it lasts.
    pub(super) fn end(&self, now: Duration) -> Option<Duration> {
        (!self.spec.lasting).then_some(now + self.run_time)
    }
}

impl Dispatch {
    pub(super) fn schedule(&mut self, state: &cell::State, now: Now) {
        self.dirty = false;
        self.work.passes += 1;
        self.rooms.refresh(&self.workers);
        self.update_shares(state, now);
        let mut ranked = self.ranked(state, now);
        if self.config.past_use.is_some() {
            let steps: Vec<_> = ranked.iter().map(|Reverse(step)| *step).collect();
            self.report_moved(state, now.steady, &steps);
        }
        let mut reserved = Reserved {
            workers: HashMap::new(),
            max: self.workers.len() / RESERVED_RATIO,
        };
        let mut starts = Vec::new();
        let mut order = std::mem::take(&mut self.prefetched);
        while let Some((rank, id)) = self.next_ranked(state, &mut ranked) {
            order.push(id);
            if starts.len() >= MAX_STARTS_PER_COMMAND {
                self.dirty = true;
                continue;
            }
            self.work.steps += 1;
            if self.awaits_eligibility(state, id) {
                continue;
            }
            if let Some(subject) = self.subject(state, now, id, &rank) {
                self.place(now.steady, &subject, &mut reserved, &mut starts);
                self.place_bound(now.steady, &subject, &mut reserved, &mut starts);
            }
        }
        if !starts.is_empty() {
            self.outputs.push(Output::Propose(cell::Command::Start(starts)));
        }
        let mut assignments = Vec::new();
        self.queries.assign(now.steady, &order, &mut assignments);
        for assignment in assignments {
            self.outputs.push(Output::Event(Event::QuerySent {
                step: assignment.query.step,
                workers: assignment.query.workers.len(),
            }));
            self.outputs.push(Output::Query(assignment));
        }
    }

    /// Returns whether nothing can be decided about a step before the first answer about its workers.
    fn awaits_eligibility(&self, state: &cell::State, id: eligibility::Step) -> bool {
        let has_advice = state
            .job(id.job)
            .is_some_and(|job| state.queue_of(job).advice.is_some());
        let known = self.queries.eligibility(id);
        has_advice && known.is_some_and(|known| known.is_outstanding() && !known.is_known())
    }

    /// Returns the waiting steps that are due, the one with the lowest rank first.
    fn ranked(&self, state: &cell::State, now: Now) -> Ranked {
        let mut ranked = Vec::with_capacity(self.waiting.len());
        for (id, entry) in &self.waiting {
            if entry.begun_ms > now.wall_ms {
                continue;
            }
            let Some(job) = state.job(id.job) else { continue };
            let queue = &job.queue.name;
            let expected = |stated| self.estimates.expected(queue, stated);
            let chain = job.submission.chain(expected);
            let remaining = waiting::remaining(&self.estimates, queue, &job.submission, id.step);
            let mut rank = rank::compute(job, entry.begun_ms, chain, remaining, now.wall_ms);
            rank.is_deferrable = rank.may_be_deferred(entry.begun_ms, now.wall_ms);
            if rank.is_deferrable {
                rank.share = self.shares.order_of_job(job);
                if self.config.past_use.is_some() {
                    let portion = self.shares.past_excess(job.team.as_deref());
                    rank.shift(portion);
                }
            }
            ranked.push(Reverse((rank, *id)));
        }
        // The conversion takes linear time.
        ranked.into()
    }

    /// Removes the step with the lowest rank. The starts of the pass itself may take a team beyond its share: much
    /// capacity may become free at once, and the steps that follow are then placed after those of other teams.
    fn next_ranked(
        &mut self,
        state: &cell::State,
        ranked: &mut Ranked,
    ) -> Option<(rank::Rank, eligibility::Step)> {
        while let Some(Reverse((rank, id))) = ranked.pop() {
            let job = state.job(id.job);
            // A step that its share may not defer has position 0, as those within their share have.
            let share = match job {
                Some(job) if rank.is_deferrable => self.shares.revise(job, rank.share),
                _ => rank.share,
            };
            if share <= rank.share {
                return Some((rank, id));
            }
            ranked.push(Reverse((rank::Rank { share, ..rank }, id)));
        }
        None
    }

    fn subject<'a>(
        &self,
        state: &'a cell::State,
        now: Now,
        id: eligibility::Step,
        rank: &rank::Rank,
    ) -> Option<Subject<'a>> {
        let job = state.job(id.job)?;
        let spec = job.submission.steps.get(usize::from(id.step))?;
        let progress = job.progress(id.occurrence, id.step)?;
        let mut tasks = Vec::new();
        let mut bound = Vec::new();
        for (index, task) in progress.tasks.iter().enumerate() {
            let index = index as u32;
            let task_id = task_id(id, index);
            let open = !task.done && task.placed.is_none() && !self.proposed.contains(&task_id);
            if !open || self.has_orphan(task_id, now.steady) {
                continue;
            }
            match self.late_start(task_id, now.steady) {
                None => tasks.push(index),
                Some(late) => bound.extend(
                    self.bound_worker(spec, task_id, late)
                        .map(|worker| (index, worker)),
                ),
            }
        }
        let is_incomplete_gang = spec.gang && tasks.len() < progress.remaining as usize;
        if (tasks.is_empty() && bound.is_empty()) || is_incomplete_gang {
            return None;
        }
        Some(Subject {
            id,
            job,
            queue: state.queue_of(job),
            spec,
            progress,
            size: fleet::counted_size(spec),
            tasks,
            bound,
            tier: rank.tier,
            run_time: self.estimates.expected(&job.queue.name, spec.run_time),
            pace: self.pace_of_waiting(state, now, job, id, &rank.times),
        })
    }

    fn place(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        reserved: &mut Reserved,
        starts: &mut Vec<cell::Start>,
    ) {
        let allowed = self.allowed(subject.job.team.as_deref(), subject.size);
        let requested = if subject.spec.gang {
            subject.tasks.len() as u32
        } else {
            allowed.min(subject.tasks.len() as u32)
        };
        if requested == 0 || requested > allowed {
            return;
        }
        let needed = if subject.spec.gang { requested } else { 1 };
        let mut candidates = self.usable(now, subject, requested, needed, reserved);
        if place::fitting(&candidates, &subject.size) < needed {
            if subject.spec.gang {
                self.reserve(now, subject, requested, reserved);
            }
            return;
        }
        let tasks = &subject.tasks[..requested as usize];
        let avoid = self.avoided(subject);
        let pace = subject.pace.as_ref();
        let placed = place::by_pace(&mut candidates, &subject.size, tasks, &avoid, pace);
        if subject.spec.gang && placed.len() < tasks.len() {
            return;
        }
        self.record_paced(now, subject, &placed);
        let amount = share::times(subject.size, placed.len() as u32);
        let team = subject.job.team.as_deref();
        self.shares
            .note_started(team, &amount, now, now + subject.run_time);
        let run = subject.progress.run;
        for (index, worker) in placed {
            let previous = subject.progress.tasks[index as usize].run;
            // Members of a gang share the number of their run.
            let run = if subject.spec.gang { run + 1 } else { previous + 1 };
            reserved.take(worker, &subject.size, subject.end(now));
            self.start(now, subject, index, worker, run, starts);
        }
        self.rooms.refresh(&self.workers);
    }

    /// Returns the workers on which tasks of the step may start now, and queries further ones if they do not suffice.
    fn usable(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        requested: u32,
        needed: u32,
        reserved: &Reserved,
    ) -> Vec<Candidate> {
        let wants_rack = subject.spec.one_rack && subject.spec.gang;
        let Some(cost) = &subject.queue.advice else {
            let mut candidates = self.possible(now, subject, requested, reserved);
            if wants_rack {
                self.restrict_to_rack(&mut candidates, subject, requested);
            }
            return candidates;
        };
        if is_unknown(self.queries.eligibility(subject.id)) {
            let workers = self.query_candidates(now, subject.queue, subject.spec, subject.pace.as_ref());
            self.queries.enqueue(now, subject.id, cost, workers);
            return Vec::new();
        }
        if wants_rack {
            return self.permitted_in_rack(now, subject, cost, requested, reserved);
        }
        let candidates = self.permitted(now, subject, reserved);
        let room = place::fitting(&candidates, &subject.size);
        if room < needed {
            self.query_further(now, subject, cost, needed, room, reserved);
        }
        candidates
    }

    /// Returns the workers in the chosen rack for which the gang holds valid tickets, and queries the others there.
    fn permitted_in_rack(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        cost: &catalog::QueryCost,
        requested: u32,
        reserved: &Reserved,
    ) -> Vec<Candidate> {
        let mut candidates = self.possible(now, subject, requested, reserved);
        self.restrict_to_rack(&mut candidates, subject, requested);
        let Some(known) = self.queries.eligibility(subject.id) else {
            return Vec::new();
        };
        let (permitted, missing): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|candidate| known.is_permitted(candidate.worker, now));
        let room = place::fitting(&permitted, &subject.size);
        let total = room.saturating_add(place::fitting(&missing, &subject.size));
        if room < requested && total >= requested && !known.is_outstanding() {
            self.enqueue_query(now, subject, cost, missing);
        }
        permitted
    }

    /// Restricts the candidates to one rack, if one has room for all tasks.
    fn restrict_to_rack(&self, candidates: &mut Vec<Candidate>, subject: &Subject<'_>, requested: u32) {
        let mut racks: HashMap<&str, u32> = HashMap::new();
        let rack_of = |worker: cell::WorkerIndex| {
            let record = self.workers.get(&worker);
            record.map_or("", |record| record.announced.rack.as_str())
        };
        for candidate in candidates.iter() {
            let sum = racks.entry(rack_of(candidate.worker)).or_default();
            *sum = sum.saturating_add(candidate.fitting(&subject.size));
        }
        let fitting = racks.into_iter().filter(|(_, fitting)| *fitting >= requested);
        // The rack with the least remaining room is chosen.
        if let Some((rack, _)) = fitting.min_by_key(|(rack, fitting)| (*fitting, *rack)) {
            let rack = String::from(rack);
            candidates.retain(|candidate| rack_of(candidate.worker) == rack);
        }
    }

    /// Returns the workers on which tasks of the step have failed.
    fn avoided(&self, subject: &Subject<'_>) -> BTreeMap<u32, Vec<cell::WorkerIndex>> {
        let failed = |index: &u32| {
            let workers = self.failed_on.get(&task_id(subject.id, *index))?;
            Some((*index, workers.clone()))
        };
        subject.tasks.iter().filter_map(failed).collect()
    }

    pub(super) fn start(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        index: u32,
        worker: cell::WorkerIndex,
        run: directive::Run,
        starts: &mut Vec<cell::Start>,
    ) {
        let task = task_id(subject.id, index);
        let run_time = self.run_time_of(worker, subject);
        let Some(record) = self.workers.get_mut(&worker) else {
            return;
        };
        self.outputs.push(Output::Event(Event::Placed {
            task,
            run,
            worker: record.incarnation.name.clone(),
            free_cpu: record.free().cpu_milli,
        }));
        if subject.job.phase == job::Phase::Queued {
            self.unconfirmed.insert(subject.job.key);
        }
        self.usage.add(subject.job.team.as_deref(), subject.size);
        record.add(
            task,
            worker::Run {
                run,
                size: subject.size,
                team: subject.job.team.clone(),
                phase: Phase::Proposed,
                since: now,
                decided: now,
                lease_end: Duration::ZERO,
                repeat_until: Duration::ZERO,
                awaits_answer: false,
                expected_end: (!subject.spec.lasting).then_some(now + run_time),
                gang: subject.spec.gang,
                run_time,
                progress: None,
                stop: Stop::NotRequested,
                checkpoint: None,
            },
        );
        self.rooms.touch(worker);
        self.proposed.insert(task);
        starts.push(cell::Start { task, run, worker });
    }
}

/// Returns the id of a task of a step.
pub(super) const fn task_id(step: eligibility::Step, index: u32) -> directive::Task {
    directive::Task {
        job: step.job,
        occurrence: step.occurrence,
        step: step.step,
        index,
    }
}

/// Returns whether a worker has reported recently.
pub(super) fn has_fresh_report(record: &worker::Worker, now: Duration) -> bool {
    record
        .last_report_at
        .is_some_and(|reported| now < reported + MAX_REPORT_AGE)
}

/// Returns whether a worker may get new work.
pub(super) fn is_usable(record: &worker::Worker, now: Duration) -> bool {
    let is_fresh = has_fresh_report(record, now);
    is_fresh
        && !record.draining
        && !record.evacuated
        && record.claimed_at.is_none()
        && now >= record.suspect_until
        && record.sample.is_some()
}
