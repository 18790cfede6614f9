//! Placement of waiting tasks in scheduling order: by tier, then by the fair-share key of the team, then by submission.

use std::cmp::Reverse;
use std::ops::Bound;
use std::time::Duration;

use bronzespoke_model::{id, job as model, resource, task};

use crate::message::Output;
use crate::pass::limit::RETRY_BUDGET;
use crate::scheduler::Scheduler;
use crate::{index, job, lane, run, table, timer};

/// Added to the score of a worker that should be chosen only if no other one has room, for example in a rack where the
/// job has failed.
const AVOID_PENALTY: f32 = 10.0;
/// Number of racks that the placement of a service task tries before it accepts any worker with room.
const RACKS_TRIED: usize = 8;
/// Number of workers that are compared in a rack; racks hold about eight workers.
const RACK_MEMBERS_COMPARED: usize = 32;
/// Number of jobs of one lane that are checked against a worker with freed capacity.
const JOBS_COMPARED: usize = 4;
/// Maximum number of lanes whose scheduling order is compared one by one. With more lanes, a search in the order of teams
/// finds one quickly.
const LANES_COMPARED: usize = 4096;

/// Retry budget that a start earns, in thousandths of a retry: one retry per ten starts.
const RETRY_GAIN: u32 = 100;

/// Outcome of an attempt to place a task of a lane.
enum Attempt {
    Started,
    OverLimit,
    NoRoom,
}

impl Scheduler {
    /// Starts waiting tasks that have room, within the placement budget.
    pub(crate) fn place(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.fill_holds(now, out);
        self.place_gangs(now, out);
        let mut budget = self.placement_budget;
        self.fill_dirty_workers(now, &mut budget, out);
        if !self.runnable.is_empty() {
            self.place_lanes(now, &mut budget, out);
        }
        self.placement_budget = budget;
        self.preempt(now, out);
        self.fill_holds(now, out);
        self.has_more |= !self.dirty.is_empty() || !self.runnable.is_empty();
    }

    /// Places tasks on the workers on which capacity was freed.
    fn fill_dirty_workers(&mut self, now: Duration, budget: &mut u32, out: &mut Vec<Output>) {
        while let Some(&worker) = self.dirty.last() {
            if *budget == 0 {
                self.has_more = true;
                return;
            }
            let known = self.workers.get(worker).is_some_and(|record| record.dirty);
            if known && self.fill_worker(now, worker, budget, out) {
                continue;
            }
            self.dirty.pop();
            if let Some(record) = self.workers.get_mut(worker) {
                record.dirty = false;
            }
        }
    }

    /// Places the first task in scheduling order that fits on a worker. Returns whether another one may fit.
    fn fill_worker(
        &mut self,
        now: Duration,
        worker: table::Worker,
        budget: &mut u32,
        out: &mut Vec<Output>,
    ) -> bool {
        let record = &self.workers[worker];
        let reserved = record.hold.is_some_and(|hold| hold.ready > Duration::ZERO);
        if !record.usable() || (record.hold.is_some() && !reserved) {
            return false;
        }
        let Some(job) = self.next_fitting_job(now, worker) else {
            return false;
        };
        *budget = budget.saturating_sub(1);
        self.counters.placement_attempts += 1;
        // Another rack may have fewer tasks of the service.
        let record = &self.jobs[job];
        let stays = record.kind != model::Kind::Service || self.is_on_min_spread_rack(record, worker);
        let chosen = if stays {
            worker
        } else {
            self.choose_worker(job).unwrap_or(worker)
        };
        let task = self.take_waiting(job);
        self.start(now, job, task, chosen, out);
        true
    }

    /// Returns the first job in scheduling order whose tasks fit on a worker.
    fn next_fitting_job(&mut self, now: Duration, worker: table::Worker) -> Option<table::Job> {
        let free = self.workers[worker].free();
        let kind = self.workers[worker].capacity.accelerator;
        let mut fitting = std::mem::take(&mut self.fitting);
        fitting.clear();
        self.demand
            .visit_fitting(kind, &free, &mut |class| fitting.push(class));
        let mut lanes = 0;
        for &class in &fitting {
            let class = &mut self.classes[class];
            class.full = false;
            lanes += class.lanes.len();
        }
        let found = if lanes <= LANES_COMPARED {
            self.best_of_lanes(now, worker, &fitting)
        } else {
            self.best_of_teams(now, worker, &free, kind)
        };
        self.fitting = fitting;
        found
    }

    /// Compares all listed lanes of the given classes and returns the first job in scheduling order.
    fn best_of_lanes(
        &mut self,
        now: Duration,
        worker: table::Worker,
        classes: &[table::Class],
    ) -> Option<table::Job> {
        let mut best = None;
        for &class in classes {
            let mut position = 0;
            while let Some(&listed) = self.classes[class].lanes.get(position) {
                position += 1;
                let rank = (listed.tier, self.team_keys[table::Index::slot(listed.team)]);
                if best.is_some_and(|((first, _), _)| first < rank) {
                    continue;
                }
                let rank = (rank, self.entry(listed.lane).first);
                if best.is_some_and(|(first, _)| first <= rank) {
                    continue;
                }
                if self.config.rules.team_limit && !self.teams[listed.team].admits(&self.classes[class].size)
                {
                    self.block_lane(listed.lane);
                    position -= 1;
                } else if let Some(job) = self.first_accepted(now, worker, listed.lane) {
                    best = Some((rank, job));
                }
            }
        }
        best.map(|(_, job)| job)
    }

    /// Searches the teams in fair-share order and returns the first job that fits, for use when many lanes fit.
    fn best_of_teams(
        &mut self,
        now: Duration,
        worker: table::Worker,
        free: &resource::Amount,
        kind: id::AcceleratorKind,
    ) -> Option<table::Job> {
        for tier in 0..lane::TIERS {
            let mut from = None;
            loop {
                let start = from.map_or(Bound::Unbounded, Bound::Excluded);
                let mut rest = self.team_order[tier].range((start, Bound::Unbounded));
                let next = rest.find(|(_, min)| min.fits(free)).map(|(key, _)| *key);
                let Some(key) = next else {
                    break;
                };
                if let Some(job) = self.best_of_team(now, key.1, tier, worker, free, kind) {
                    return Some(job);
                }
                from = Some(key);
            }
        }
        None
    }

    fn best_of_team(
        &mut self,
        now: Duration,
        team: table::Team,
        tier: usize,
        worker: table::Worker,
        free: &resource::Amount,
        kind: id::AcceleratorKind,
    ) -> Option<table::Job> {
        let mut best: Option<(u64, table::Job)> = None;
        for position in 0..self.teams[team].lanes[tier].len() {
            let entry = self.teams[team].lanes[tier][position];
            let fits = entry.size.fits(free) && (entry.accelerator == 0 || entry.accelerator == kind);
            if !fits || best.is_some_and(|(first, _)| entry.first > first) {
                continue;
            }
            if self.config.rules.team_limit && !self.teams[team].admits(&entry.size) {
                self.block_lane(entry.lane);
            } else if let Some(job) = self.first_accepted(now, worker, entry.lane) {
                best = Some((entry.first, job));
            }
        }
        best.map(|(_, job)| job)
    }

    fn first_accepted(&self, now: Duration, worker: table::Worker, lane: table::Lane) -> Option<table::Job> {
        let jobs = self.lanes[lane].jobs.values().take(JOBS_COMPARED);
        jobs.copied().find(|job| self.accepts(now, worker, *job))
    }

    /// Returns whether a job's tasks may be placed on a worker that has room for them.
    fn accepts(&self, now: Duration, worker: table::Worker, index: table::Job) -> bool {
        let record = &self.workers[worker];
        let job = &self.jobs[index];
        if job.avoided_racks().contains(&record.rack) && self.racks.len() > job.avoided_racks().len() {
            return false;
        }
        let Some(hold) = record.hold else {
            return true;
        };
        job.priority == model::Priority::Urgent
            || (now < hold.ready
                && job.kind != model::Kind::Service
                && (job.checkpoint || now + self.run_time(index) <= hold.ready))
    }

    /// Places tasks of the runnable lanes in scheduling order, on workers from the index of free capacity.
    fn place_lanes(&mut self, now: Duration, budget: &mut u32, out: &mut Vec<Output>) {
        self.ranked.clear();
        for lane in std::mem::take(&mut self.runnable) {
            if self.lanes.get(lane).is_some() && self.entry(lane).runnable {
                self.push_lane(lane);
            }
        }
        while let Some(Reverse(rank)) = self.ranked.pop() {
            let lane = rank.3;
            if self.lanes.get(lane).is_none() {
                continue;
            }
            if *budget == 0 {
                self.has_more = true;
                self.runnable.push(lane);
                continue;
            }
            if self.teams[self.lanes[lane].team].key == rank.1 {
                *budget -= 1;
                self.place_lane(now, lane, out);
            } else {
                self.push_lane(lane);
            }
        }
    }

    fn push_lane(&mut self, lane: table::Lane) {
        let record = &self.lanes[lane];
        let key = self.teams[record.team].key;
        let first = self.entry(lane).first;
        self.ranked.push(Reverse((record.tier, key, first, lane)));
    }

    fn place_lane(&mut self, now: Duration, lane: table::Lane, out: &mut Vec<Output>) {
        self.counters.placement_attempts += 1;
        match self.try_lane(now, lane, out) {
            Attempt::Started => {
                if self.lanes.get(lane).is_some() {
                    self.push_lane(lane);
                }
            }
            Attempt::OverLimit => self.block_lane(lane),
            Attempt::NoRoom => {
                let class = self.lanes[lane].class;
                self.classes[class].full = true;
                self.entry_mut(lane).runnable = false;
            }
        }
    }

    fn try_lane(&mut self, now: Duration, lane: table::Lane, out: &mut Vec<Output>) -> Attempt {
        let record = &self.lanes[lane];
        let (_, &job) = record.jobs.first_key_value().expect("a lane is never empty");
        if self.config.rules.team_limit && !self.teams[record.team].admits(&self.jobs[job].size) {
            return Attempt::OverLimit;
        }
        if self.classes[record.class].full {
            return Attempt::NoRoom;
        }
        let Some(worker) = self.choose_worker(job).or_else(|| self.backfill(now, job)) else {
            return Attempt::NoRoom;
        };
        let task = self.take_waiting(job);
        self.start(now, job, task, worker, out);
        Attempt::Started
    }

    fn choose_worker(&self, index: table::Job) -> Option<table::Worker> {
        let job = &self.jobs[index];
        let query = index::Query {
            size: job.size,
            kind: job.accelerator,
        };
        if job.kind == model::Kind::Service
            && let Some(worker) = self.choose_spread_worker(job, &query)
        {
            return Some(worker);
        }
        let avoid = job.avoided_racks();
        self.free.search(&query, &mut |worker| {
            let mut score = self.fit_score(worker, &query)?;
            score += f32::from(
                job.spread
                    .get(self.workers[worker].rack as usize)
                    .copied()
                    .unwrap_or(0),
            );
            if avoid.contains(&self.workers[worker].rack) {
                score += AVOID_PENALTY;
            }
            Some(score)
        })
    }

    /// Returns a worker in one of the racks with the fewest tasks of a service.
    fn choose_spread_worker(&self, job: &job::Record, query: &index::Query) -> Option<table::Worker> {
        let count = self.racks.len();
        let min = self.min_spread(job);
        let first = (job.sequence as usize).wrapping_add(job.runs.len());
        let avoid = job.avoided_racks();
        (0..count)
            .map(|offset| (first + offset) % count)
            .filter(|rack| job.spread.get(*rack).copied().unwrap_or(0) == min)
            .filter(|rack| !avoid.contains(&(*rack as u32)))
            .take(RACKS_TRIED)
            .find_map(|rack| self.choose_in_rack(rack, query))
    }

    /// Returns the fewest tasks of a service on any rack.
    fn min_spread(&self, job: &job::Record) -> u16 {
        if job.spread.len() < self.racks.len() {
            return 0;
        }
        job.spread.iter().copied().min().unwrap_or(0)
    }

    /// Returns whether no other rack has fewer tasks of a service than the rack of a worker.
    fn is_on_min_spread_rack(&self, job: &job::Record, worker: table::Worker) -> bool {
        let rack = self.workers[worker].rack as usize;
        job.spread.get(rack).copied().unwrap_or(0) == self.min_spread(job)
    }

    fn choose_in_rack(&self, rack: usize, query: &index::Query) -> Option<table::Worker> {
        let mut best: Option<(f32, table::Worker)> = None;
        for &worker in self.racks[rack].members.iter().take(RACK_MEMBERS_COMPARED) {
            let record = &self.workers[worker];
            let compatible = query.kind == 0 || query.kind == record.capacity.accelerator;
            if record.slot.is_none() || !compatible {
                continue;
            }
            let Some(mut score) = self.fit_score(worker, query) else {
                continue;
            };
            if query.kind == 0 && record.capacity.accelerator != 0 {
                score += AVOID_PENALTY;
            }
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, worker));
            }
        }
        best.map(|(_, worker)| worker)
    }

    /// Returns the share of its capacity that a worker would have free after a placement, with a penalty for an imbalance
    /// between processors and memory. Lower is tighter. Returns `None` if the task does not fit.
    fn fit_score(&self, worker: table::Worker, query: &index::Query) -> Option<f32> {
        let record = &self.workers[worker];
        let remaining = record.free().checked_sub(&query.size)?;
        let capacity = &record.capacity.amount;
        let share = |amount: u32, total: u32| amount as f32 / total.max(1) as f32;
        let cpu = share(remaining.cpu_milli, capacity.cpu_milli);
        let memory = share(remaining.memory_mib, capacity.memory_mib);
        let accelerators = share(remaining.accelerators, capacity.accelerators);
        Some(cpu + memory + accelerators + 0.5 * (cpu - memory).abs())
    }

    /// Debits the accounts and proposes a start.
    pub(crate) fn start(
        &mut self,
        now: Duration,
        job: table::Job,
        task: id::TaskIndex,
        worker: table::Worker,
        out: &mut Vec<Output>,
    ) {
        let token = self.next_token;
        self.next_token += 1;
        let granted = self.jobs[job].size;
        self.add_run(now, job, task, worker, token, granted);
        self.refresh_team(now, self.jobs[job].team);
        self.charge_work();
        self.counters.starts += 1;
        out.push(Output::Start {
            task: task::Ref {
                job: self.jobs[job].id,
                index: task,
            },
            worker: self.workers[worker].id,
            token,
            granted,
        });
    }

    /// Adds a run with a new lease to all lists and accounts. The caller updates the share of the team.
    pub(crate) fn add_run(
        &mut self,
        now: Duration,
        job: table::Job,
        index: id::TaskIndex,
        worker: table::Worker,
        token: id::Token,
        size: resource::Amount,
    ) {
        let rack = self.workers[worker].rack;
        let place = run::Place {
            job,
            index,
            worker,
            rack,
        };
        let due = now + self.config.lease;
        let mut record = run::Record::new(place, token, size, now, due);
        self.jobs[job].launched = true;
        self.timers.push(due, timer::Event::Run(token));
        record.in_worker = self.workers[worker].runs.len() as u32;
        record.in_job = self.jobs[job].runs.len() as u32;
        let run = self.runs.insert(record);
        self.tokens.insert(token, run);
        self.jobs[job].runs.push(run);
        self.update_spread(job, rack, true);
        let account = &mut self.workers[worker];
        account.runs.push(run);
        account.used = account.used.saturating_add(&size);
        self.used = self.used.saturating_add(&size);
        self.reindex(worker);
        let team = self.jobs[job].team;
        let record = &mut self.teams[team];
        let was_active = record.is_active();
        record.runs += 1;
        record.retries_milli = (record.retries_milli + RETRY_GAIN).min(RETRY_BUDGET);
        record.used = record.used.saturating_add(&size);
        self.track_active(team, was_active);
    }

    /// Updates the number of a service's runs on a rack.
    pub(crate) fn update_spread(&mut self, job: table::Job, rack: u32, added: bool) {
        let rack = rack as usize;
        let job = &mut self.jobs[job];
        if job.kind != model::Kind::Service {
            return;
        }
        if job.spread.len() <= rack {
            job.spread.resize(rack + 1, 0);
        }
        if added {
            job.spread[rack] += 1;
        } else {
            job.spread[rack] -= 1;
        }
    }

    /// Updates a worker's entry in the index of free capacity.
    pub(crate) fn reindex(&mut self, worker: table::Worker) {
        let record = &self.workers[worker];
        let (free, kind) = (record.free(), record.capacity.accelerator);
        let listed = record.usable() && record.hold.is_none();
        if let Some(slot) = record.slot {
            if listed && self.free.update(slot, kind, &free) {
                return;
            }
            if let Some((moved, slot)) = self.free.remove(slot) {
                self.workers[moved].slot = Some(slot);
            }
            self.workers[worker].slot = None;
        }
        if listed {
            self.workers[worker].slot = Some(self.free.insert(worker, kind, &free));
        }
    }

    /// Makes freed capacity of a worker available for holds, gangs and queued work.
    pub(crate) fn capacity_freed(&mut self, worker: table::Worker) {
        self.reindex(worker);
        let record = &self.workers[worker];
        if record.hold.is_some() || record.slot.is_some() {
            self.gangs_dirty |= !self.gangs.is_empty();
        }
        if record.hold.is_some() {
            self.holds_ready.push(worker);
        }
        let queued = self.team_order.iter().any(|order| !order.is_empty());
        if queued && !record.dirty && record.usable() {
            self.workers[worker].dirty = true;
            self.dirty.push(worker);
        }
    }

    /// Returns whether a job's tasks can be stopped with a checkpoint.
    pub(crate) fn is_checkpointable(&self, job: table::Job) -> bool {
        self.jobs[job].checkpoint && self.jobs[job].kind != model::Kind::Service
    }
}
