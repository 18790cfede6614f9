//! Scheduling pass: places the tasks of the waiting steps in the order of their ranks.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_workload::{catalog, directive, eligibility, job, worker as announced};

use super::{Dispatch, Event, Now, Output, fleet, waiting};
use crate::{
    place::{self, Candidate},
    query_queue, rank, reserve,
    worker::{self, Phase, Stop},
};

/// Maximum age of the last report of a worker that gets new work. Reports arrive a second apart, and what is placed on
/// a lost worker waits for the end of its lease.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_600);
/// Maximum number of starts in one command.
const MAX_STARTS_PER_COMMAND: usize = 256;
/// Minimum number of workers in a query about a step, if there are as many.
const MIN_QUERIED_WORKERS: usize = 60;
/// Number of workers in a query for each member of a gang. On a fleet at 80% utilization, a third of the workers may
/// run a gang, and a third of these have room for a member.
const QUERIED_PER_MEMBER: usize = 8;
/// A gang whose room is expected later than this queries further workers.
const LATE_GANG_DELAY: Duration = Duration::from_secs(1);
/// The tickets of the workers that are reserved for a gang are renewed this long before its room is expected; a query
/// takes about as long.
const TICKET_RENEWAL_LEAD: Duration = Duration::from_millis(900);
/// One worker in this many may be reserved for waiting gangs.
const RESERVED_RATIO: usize = 2;

/// Workers that are reserved for gangs in this pass, with the time at which each gang is expected to start.
#[derive(Debug, Default)]
struct Reserved {
    workers: HashMap<cell::WorkerIndex, Duration>,
    max: usize,
}

/// A usable worker in one pass.
#[derive(Debug)]
struct Slot<'a> {
    index: cell::WorkerIndex,
    worker: &'a announced::Worker,
    free: resource::Amount,
    /// Free processors at the start of the pass, in thousandths of a core; the slots are sorted by it.
    free_cpu: u32,
}

/// Properties of a step that a pass needs.
struct Subject<'a> {
    id: eligibility::Step,
    job: &'a cell::Job,
    queue: &'a catalog::Queue,
    spec: &'a job::Step,
    progress: &'a cell::Step,
    size: resource::Amount,
    tasks: Vec<u32>,
    tier: u8,
    run_time: Duration,
}

impl Dispatch {
    pub(super) fn schedule(&mut self, state: &cell::State, now: Now) {
        self.dirty = false;
        let ranked = self.ranked(state, now);
        let mut workers: Vec<_> = self.usable(now.steady);
        // A step scans the workers with the most free processors first and stops at the first one without enough.
        workers.sort_unstable_by_key(|(index, _, free)| (std::cmp::Reverse(free.cpu_milli), *index));
        let mut slots: Vec<Slot<'_>> = workers
            .iter()
            .map(|(index, worker, free)| Slot {
                index: *index,
                worker,
                free: *free,
                free_cpu: free.cpu_milli,
            })
            .collect();
        let mut reserved = Reserved {
            workers: HashMap::new(),
            max: slots.len() / RESERVED_RATIO,
        };
        let mut starts = Vec::new();
        let mut order = std::mem::take(&mut self.prefetched);
        for (rank, id) in ranked {
            order.push(id);
            if starts.len() >= MAX_STARTS_PER_COMMAND {
                self.dirty = true;
                continue;
            }
            if let Some(subject) = self.subject(state, id, rank.tier) {
                self.place(now.steady, &subject, &mut slots, &mut reserved, &mut starts);
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

    /// Returns the workers that the first query about a step names, those with the most room first.
    pub(super) fn query_candidates(
        &self,
        now: Duration,
        queue: &catalog::Queue,
        spec: &job::Step,
    ) -> Vec<(cell::WorkerIndex, String)> {
        let size = fleet::counted_size(spec);
        let fits = |record: &worker::Worker| {
            let label = spec.label.as_ref();
            record.announced.pool == queue.pool
                && size.fits(&record.announced.room)
                && label.is_none_or(|label| record.announced.labels.contains(label))
        };
        let mut workers: Vec<_> = self
            .workers
            .iter()
            .filter(|(index, record)| {
                let slow = self.slowness.factor(**index, now).is_some();
                !slow && is_usable(record, now) && fits(record)
            })
            .map(|(index, record)| {
                let free = record.free();
                ((place::count(&free, &size), free.cpu_milli), index, record)
            })
            .collect();
        workers.sort_by_key(|(room, _, _)| std::cmp::Reverse(*room));
        let named = workers.into_iter().take(query_size(spec));
        named
            .map(|(_, index, record)| (*index, record.incarnation.name.clone()))
            .collect()
    }

    /// Returns the workers that may get new work.
    fn usable(&self, now: Duration) -> Vec<(cell::WorkerIndex, Arc<announced::Worker>, resource::Amount)> {
        let usable = self.workers.iter().filter(|(_, record)| is_usable(record, now));
        usable
            .map(|(index, record)| (*index, Arc::clone(&record.announced), record.free()))
            .collect()
    }

    /// Returns the waiting steps that are due, in the order of their ranks.
    fn ranked(&self, state: &cell::State, now: Now) -> Vec<(rank::Rank, eligibility::Step)> {
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
            let rank = rank::compute(job, entry.begun_ms, chain, remaining, now.wall_ms);
            ranked.push((rank, *id));
        }
        ranked.sort_unstable();
        ranked
    }

    fn subject<'a>(&self, state: &'a cell::State, id: eligibility::Step, tier: u8) -> Option<Subject<'a>> {
        let job = state.job(id.job)?;
        let spec = job.submission.steps.get(usize::from(id.step))?;
        let progress = state.step(id.job, id.occurrence, id.step)?;
        let open = |(index, task): (usize, &cell::Task)| {
            let index = index as u32;
            let task_id = task_id(id, index);
            let open = !task.done && task.placed.is_none() && !self.proposed.contains(&task_id);
            open.then_some(index)
        };
        let tasks: Vec<u32> = progress.tasks.iter().enumerate().filter_map(open).collect();
        let is_incomplete_gang = spec.gang && tasks.len() < progress.remaining as usize;
        if tasks.is_empty() || is_incomplete_gang {
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
            tier,
            run_time: self.estimates.expected(&job.queue.name, spec.run_time),
        })
    }

    fn place(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        slots: &mut [Slot<'_>],
        reserved: &mut Reserved,
        starts: &mut Vec<cell::Start>,
    ) {
        let team = subject.job.team.as_deref();
        let allowed = self.allowed(subject, team);
        let requested = if subject.spec.gang {
            subject.tasks.len() as u32
        } else {
            allowed.min(subject.tasks.len() as u32)
        };
        if requested == 0 || requested > allowed {
            return;
        }
        let needed = if subject.spec.gang { requested } else { 1 };
        let mut candidates = self.candidates(now, subject, slots, reserved, true);
        if subject.spec.one_rack && subject.spec.gang {
            self.restrict_to_rack(&mut candidates, subject, requested);
        }
        if let Some(cost) = &subject.queue.advice {
            self.query_tickets(now, subject, cost, needed, &candidates, slots, reserved);
            let known = self.queries.eligibility(subject.id);
            candidates
                .retain(|candidate| known.is_some_and(|known| known.is_permitted(candidate.worker, now)));
        }
        if place::fitting(&candidates, &subject.size) < needed {
            if subject.spec.gang {
                self.reserve(now, subject, requested, slots, reserved);
            }
            return;
        }
        let tasks = &subject.tasks[..requested as usize];
        let avoid = self.avoided(subject);
        let placed = place::best_fit(&mut candidates, &subject.size, tasks, &avoid);
        if subject.spec.gang && placed.len() < tasks.len() {
            return;
        }
        let run = subject.progress.run;
        for (index, worker) in placed {
            let previous = subject.progress.tasks[index as usize].run;
            // Members of a gang share the number of their run.
            let run = if subject.spec.gang { run + 1 } else { previous + 1 };
            self.start(now, subject, index, worker, run, starts);
            if let Some(slot) = slots.iter_mut().find(|slot| slot.index == worker) {
                slot.free = slot.free.saturating_sub(&subject.size);
            }
        }
    }

    /// Returns the number of tasks that the team's upper limit allows.
    fn allowed(&self, subject: &Subject<'_>, team: Option<&str>) -> u32 {
        self.limits.as_ref().map_or(u32::MAX, |catalog| {
            self.usage.tasks_allowed(catalog, team, subject.size)
        })
    }

    /// Returns the workers that may run the step as far as is known; with `fitting`, only those that have room for a
    /// task now.
    fn candidates(
        &self,
        now: Duration,
        subject: &Subject<'_>,
        slots: &[Slot<'_>],
        reserved: &Reserved,
        fitting: bool,
    ) -> Vec<Candidate> {
        let known = self.queries.eligibility(subject.id);
        let mut candidates = Vec::new();
        for slot in slots {
            if fitting && slot.free_cpu < subject.size.cpu_milli {
                break;
            }
            if fitting && !subject.size.fits(&slot.free) {
                continue;
            }
            if slot.worker.pool != subject.queue.pool {
                continue;
            }
            let label = subject.spec.label.as_ref();
            if label.is_some_and(|label| !slot.worker.labels.contains(label)) {
                continue;
            }
            let reserved_until = reserved.workers.get(&slot.index);
            let delays_gang = reserved_until.is_some_and(|due| now + subject.run_time > *due);
            if subject.tier > 0 && delays_gang {
                continue;
            }
            if known.is_some_and(|known| known.is_denied(slot.index)) {
                continue;
            }
            let near = subject.spec.near_rack.as_ref();
            candidates.push(Candidate {
                worker: slot.index,
                free: slot.free,
                room: slot.worker.room,
                slots: self.slots(slot.index, subject),
                remote: near.is_some_and(|rack| !slot.worker.labels.contains(rack)),
                reserved: delays_gang,
            });
        }
        candidates
    }

    /// Queries missing tickets: for a new step, and for one that would fit if it had them.
    #[expect(
        clippy::too_many_arguments,
        reason = "all parts of one decision about one step"
    )]
    fn query_tickets(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        cost: &catalog::QueryCost,
        needed: u32,
        candidates: &[Candidate],
        slots: &[Slot<'_>],
        reserved: &Reserved,
    ) {
        let known = self.queries.eligibility(subject.id);
        if known.is_some_and(query_queue::Eligibility::is_outstanding) {
            return;
        }
        let missing: Vec<Candidate> = match known.filter(|known| known.is_known()) {
            None => self.candidates(now, subject, slots, reserved, false),
            Some(known) => {
                let permitted = |candidate: &&Candidate| known.is_permitted(candidate.worker, now);
                let usable: u32 = candidates
                    .iter()
                    .filter(permitted)
                    .map(|candidate| candidate.fitting(&subject.size))
                    .fold(0, u32::saturating_add);
                if usable >= needed || place::fitting(candidates, &subject.size) < needed {
                    return;
                }
                let missing = candidates.iter().filter(|candidate| !permitted(candidate));
                missing.cloned().collect()
            }
        };
        self.enqueue_query(now, subject, cost, missing);
    }

    /// Enqueues a query about workers, those with the most room first.
    fn enqueue_query(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        cost: &catalog::QueryCost,
        mut workers: Vec<Candidate>,
    ) {
        workers.sort_by_key(|candidate| {
            let room = (candidate.fitting(&subject.size), candidate.free.cpu_milli);
            std::cmp::Reverse(room)
        });
        let queried = workers.into_iter().take(query_size(subject.spec));
        let workers = queried
            .filter_map(|candidate| self.named_worker(candidate.worker))
            .collect();
        self.queries.enqueue(now, subject.id, cost, workers);
    }

    /// Returns the index and name of a worker, as queries need them.
    fn named_worker(&self, worker: cell::WorkerIndex) -> Option<(cell::WorkerIndex, String)> {
        let record = self.workers.get(&worker)?;
        Some((worker, record.incarnation.name.clone()))
    }

    /// Returns the number of further tasks of the step that a worker may run.
    fn slots(&self, worker: cell::WorkerIndex, subject: &Subject<'_>) -> u32 {
        if subject.spec.per_worker == 0 {
            return u32::MAX;
        }
        let Some(record) = self.workers.get(&worker) else {
            return 0;
        };
        let first = task_id(subject.id, 0);
        let last = task_id(subject.id, u32::MAX);
        let here = record.runs.range(first..=last).count() as u32;
        subject.spec.per_worker.saturating_sub(here)
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

    /// Reserves workers for a gang that does not fit yet: those on which room is expected first.
    fn reserve(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        requested: u32,
        slots: &[Slot<'_>],
        reserved: &mut Reserved,
    ) {
        let known = self.queries.eligibility(subject.id);
        let is_open = subject.queue.advice.is_some() && known.is_none_or(|known| !known.is_known());
        if reserved.workers.len() >= reserved.max || is_open {
            return;
        }
        if self.reservations.recent(subject.id, now).is_none() {
            let candidates = self.candidates(now, subject, slots, reserved, false);
            let (eligible, unknown): (Vec<_>, Vec<_>) = candidates
                .into_iter()
                .filter(|candidate| !candidate.reserved)
                .partition(|candidate| self.may_run(subject, candidate.worker));
            let openings = eligible
                .iter()
                .filter_map(|candidate| {
                    let record = self.workers.get(&candidate.worker)?;
                    let most = candidate.slots;
                    let times = reserve::openings(record, candidate.free, &subject.size, most, now);
                    Some((candidate.worker, times))
                })
                .collect();
            let choice = reserve::choose(openings, requested, now);
            let is_late = choice
                .as_ref()
                .is_none_or(|choice| choice.due > now + LATE_GANG_DELAY);
            match choice {
                Some(choice) => self.reservations.insert(subject.id, choice),
                None => self.reservations.remove(subject.id),
            }
            if let Some(cost) = subject.queue.advice.filter(|_| is_late) {
                self.enqueue_query(now, subject, &cost, unknown);
            }
        }
        if let Some(choice) = self.reservations.recent(subject.id, now) {
            for worker in &choice.workers {
                reserved.workers.entry(*worker).or_insert(choice.due);
            }
        }
        self.renew_tickets(now, subject);
    }

    /// Returns whether a worker is known to be eligible for the step, or no query is needed.
    fn may_run(&self, subject: &Subject<'_>, worker: cell::WorkerIndex) -> bool {
        let known = self.queries.eligibility(subject.id);
        subject.queue.advice.is_none() || known.is_some_and(|known| known.is_eligible(worker))
    }

    /// Renews the tickets of the workers that are reserved for a gang shortly before it starts.
    fn renew_tickets(&mut self, now: Duration, subject: &Subject<'_>) {
        let Some(cost) = subject.queue.advice else { return };
        let (Some(choice), Some(known)) = (
            self.reservations.recent(subject.id, now),
            self.queries.eligibility(subject.id),
        ) else {
            return;
        };
        if now + TICKET_RENEWAL_LEAD < choice.due || known.is_outstanding() {
            return;
        }
        let until = choice.due.max(now) + TICKET_RENEWAL_LEAD;
        let lacks = |worker: &&cell::WorkerIndex| !known.is_permitted(**worker, until);
        let lacking = choice.workers.iter().filter(lacks);
        let workers = lacking.filter_map(|worker| self.named_worker(*worker)).collect();
        self.queries.enqueue(now, subject.id, &cost, workers);
    }

    /// Returns the workers on which tasks of the step have failed.
    fn avoided(&self, subject: &Subject<'_>) -> BTreeMap<u32, Vec<cell::WorkerIndex>> {
        let failed = |index: &u32| {
            let workers = self.failed_on.get(&task_id(subject.id, *index))?;
            Some((*index, workers.clone()))
        };
        subject.tasks.iter().filter_map(failed).collect()
    }

    fn start(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        index: u32,
        worker: cell::WorkerIndex,
        run: directive::Run,
        starts: &mut Vec<cell::Start>,
    ) {
        let task = task_id(subject.id, index);
        let Some(record) = self.workers.get_mut(&worker) else {
            return;
        };
        self.outputs.push(Output::Event(Event::Placed {
            task,
            run,
            worker: record.incarnation.name.clone(),
            free_cpu: record.free().cpu_milli,
        }));
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
                expected_end: now + subject.run_time,
                gang: subject.spec.gang,
                run_time: subject.run_time,
                progress: None,
                stop: Stop::NotRequested,
                checkpoint: None,
            },
        );
        self.proposed.insert(task);
        starts.push(cell::Start { task, run, worker });
    }
}

/// Returns the maximum number of workers in a query about a step.
fn query_size(spec: &job::Step) -> usize {
    if spec.gang {
        MIN_QUERIED_WORKERS.max(spec.tasks as usize * QUERIED_PER_MEMBER)
    } else {
        MIN_QUERIED_WORKERS
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

/// Returns whether a worker may get new work.
fn is_usable(record: &worker::Worker, now: Duration) -> bool {
    let is_fresh = record
        .last_report_at
        .is_some_and(|reported| now < reported + MAX_REPORT_AGE);
    is_fresh && !record.draining && now >= record.suspect_until && record.sample.is_some()
}
