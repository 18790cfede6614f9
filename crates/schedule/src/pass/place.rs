//! Starts waiting tasks in the order of turns.

use std::cmp::Reverse;
use std::ops::Bound;
use std::time::Duration;

use bronzespoke_model::{id, job as model, resource, task};

use crate::message::Output;
use crate::pass::limit::RETRY_BUDGET;
use crate::scheduler::Scheduler;
use crate::{index, job, lane, run, table, timer};

/// Added to the score of a worker in a rack where the job failed before.
const AVOID_SCORE: f32 = 10.0;
/// Racks that one placement of a service tries before it takes any worker with room.
const RACKS_TRIED: usize = 8;
/// Workers of a rack that are compared; racks hold about eight.
const RACK_MEMBERS_COMPARED: usize = 32;
/// Jobs of one lane that are compared with a freed worker.
const JOBS_COMPARED: usize = 4;
/// Lanes whose turns are compared one by one; with more, one is soon found in the order of teams.
const LANES_COMPARED: usize = 4096;

/// Retry budget that a start earns, in thousandths: one retry for ten starts.
const RETRY_GAIN: u32 = 100;

/// What became of a lane's turn.
enum Turn {
    Started,
    OverLimit,
    NoRoom,
}

impl Scheduler {
    /// Starts what has room, up to the bound of a step.
    pub(crate) fn place(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.fill_holds(now, out);
        self.place_gangs(now, out);
        let mut left = self.placements;
        self.fill_dirty(now, &mut left, out);
        if !self.fresh.is_empty() {
            self.take_turns(now, &mut left, out);
        }
        self.placements = left;
        self.preempt(now, out);
        self.fill_holds(now, out);
        self.more |= !self.dirty.is_empty() || !self.fresh.is_empty();
    }

    /// Fills the workers on which room was freed.
    fn fill_dirty(&mut self, now: Duration, left: &mut u32, out: &mut Vec<Output>) {
        while let Some(&worker) = self.dirty.last() {
            if *left == 0 {
                self.more = true;
                return;
            }
            let known = self.workers.get(worker).is_some_and(|record| record.dirty);
            if known && self.fill_worker(now, worker, left, out) {
                continue;
            }
            self.dirty.pop();
            if let Some(record) = self.workers.get_mut(worker) {
                record.dirty = false;
            }
        }
    }

    /// Starts on a worker what is next in turn and fits. Returns whether more may fit.
    fn fill_worker(
        &mut self,
        now: Duration,
        worker: table::Worker,
        left: &mut u32,
        out: &mut Vec<Output>,
    ) -> bool {
        let record = &self.workers[worker];
        let reserved = record.hold.is_some_and(|hold| hold.ready > Duration::ZERO);
        if !record.usable() || (record.hold.is_some() && !reserved) {
            return false;
        }
        let Some(job) = self.next_fitting(now, worker) else {
            return false;
        };
        *left = left.saturating_sub(1);
        self.counts.placement_attempts += 1;
        // A service may find a better spread elsewhere.
        let record = &self.jobs[job];
        let stays = record.kind != model::Kind::Service || self.is_spread(record, worker);
        let chosen = if stays {
            worker
        } else {
            self.choose(job).unwrap_or(worker)
        };
        let task = self.take_waiting(job);
        self.start(now, job, task, chosen, out);
        true
    }

    /// Returns the job that is next in turn among those with room on a worker.
    fn next_fitting(&mut self, now: Duration, worker: table::Worker) -> Option<table::Job> {
        let free = self.workers[worker].free();
        let kind = self.workers[worker].capacity.accelerator;
        let mut fitting = std::mem::take(&mut self.fitting);
        fitting.clear();
        self.demand.below(kind, &free, &mut |class| fitting.push(class));
        let mut lanes = 0;
        for &class in &fitting {
            let class = &mut self.classes[class];
            class.full = false;
            lanes += class.lanes.len();
        }
        let found = if lanes <= LANES_COMPARED {
            self.first_of_lanes(now, worker, &fitting)
        } else {
            self.first_of_teams(now, worker, &free, kind)
        };
        self.fitting = fitting;
        found
    }

    /// Compares the turns of all lanes of some classes.
    fn first_of_lanes(
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
                let turn = (listed.tier, self.keys[table::Index::slot(listed.team)]);
                if best.is_some_and(|((first, _), _)| first < turn) {
                    continue;
                }
                let turn = (turn, self.entry(listed.lane).first);
                if best.is_some_and(|(first, _)| first <= turn) {
                    continue;
                }
                if self.config.rules.team_limit && !self.teams[listed.team].admits(&self.classes[class].size)
                {
                    self.hold_lane(listed.lane);
                    position -= 1;
                } else if let Some(job) = self.first_of_jobs(now, worker, listed.lane) {
                    best = Some((turn, job));
                }
            }
        }
        best.map(|(_, job)| job)
    }

    /// Goes through the teams in order of turn, for when many lanes fit.
    fn first_of_teams(
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
                let mut rest = self.order[tier].range((start, Bound::Unbounded));
                let next = rest.find(|(_, least)| least.fits(free)).map(|(key, _)| *key);
                let Some(key) = next else {
                    break;
                };
                if let Some(job) = self.first_of_team(now, key.1, tier, worker, free, kind) {
                    return Some(job);
                }
                from = Some(key);
            }
        }
        None
    }

    fn first_of_team(
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
                self.hold_lane(entry.lane);
            } else if let Some(job) = self.first_of_jobs(now, worker, entry.lane) {
                best = Some((entry.first, job));
            }
        }
        best.map(|(_, job)| job)
    }

    fn first_of_jobs(&self, now: Duration, worker: table::Worker, lane: table::Lane) -> Option<table::Job> {
        let jobs = self.lanes[lane].jobs.values().take(JOBS_COMPARED);
        jobs.copied().find(|job| self.accepts(now, worker, *job))
    }

    /// Tells whether a job's tasks may go to a worker on which they have room.
    fn accepts(&self, now: Duration, worker: table::Worker, index: table::Job) -> bool {
        let record = &self.workers[worker];
        let job = &self.jobs[index];
        if job.avoid().contains(&record.rack) && self.racks.len() > job.avoid().len() {
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

    /// Looks up the fresh lanes in the index, in order of turn.
    fn take_turns(&mut self, now: Duration, left: &mut u32, out: &mut Vec<Output>) {
        self.turns.clear();
        for lane in std::mem::take(&mut self.fresh) {
            if self.lanes.get(lane).is_some() && self.entry(lane).fresh {
                self.push_turn(lane);
            }
        }
        while let Some(Reverse(turn)) = self.turns.pop() {
            let lane = turn.3;
            if self.lanes.get(lane).is_none() {
                continue;
            }
            if *left == 0 {
                self.more = true;
                self.fresh.push(lane);
                continue;
            }
            if self.teams[self.lanes[lane].team].key == turn.1 {
                *left -= 1;
                self.take_turn(now, lane, out);
            } else {
                self.push_turn(lane);
            }
        }
    }

    fn push_turn(&mut self, lane: table::Lane) {
        let record = &self.lanes[lane];
        let key = self.teams[record.team].key;
        let first = self.entry(lane).first;
        self.turns.push(Reverse((record.tier, key, first, lane)));
    }

    fn take_turn(&mut self, now: Duration, lane: table::Lane, out: &mut Vec<Output>) {
        self.counts.placement_attempts += 1;
        match self.try_lane(now, lane, out) {
            Turn::Started => {
                if self.lanes.get(lane).is_some() {
                    self.push_turn(lane);
                }
            }
            Turn::OverLimit => self.hold_lane(lane),
            Turn::NoRoom => {
                let class = self.lanes[lane].class;
                self.classes[class].full = true;
                self.entry_mut(lane).fresh = false;
            }
        }
    }

    fn try_lane(&mut self, now: Duration, lane: table::Lane, out: &mut Vec<Output>) -> Turn {
        let record = &self.lanes[lane];
        let (_, &job) = record.jobs.first_key_value().expect("a lane is never empty");
        if self.config.rules.team_limit && !self.teams[record.team].admits(&self.jobs[job].size) {
            return Turn::OverLimit;
        }
        if self.classes[record.class].full {
            return Turn::NoRoom;
        }
        let Some(worker) = self.choose(job).or_else(|| self.backfill(now, job)) else {
            return Turn::NoRoom;
        };
        let task = self.take_waiting(job);
        self.start(now, job, task, worker, out);
        Turn::Started
    }

    fn choose(&self, index: table::Job) -> Option<table::Worker> {
        let job = &self.jobs[index];
        let query = index::Query {
            size: job.size,
            kind: job.accelerator,
        };
        if job.kind == model::Kind::Service
            && let Some(worker) = self.choose_spread(job, &query)
        {
            return Some(worker);
        }
        let avoid = job.avoid();
        self.free.search(&query, &mut |worker| {
            let mut score = self.fit_score(worker, &query)?;
            score += f32::from(
                job.spread
                    .get(self.workers[worker].rack as usize)
                    .copied()
                    .unwrap_or(0),
            );
            if avoid.contains(&self.workers[worker].rack) {
                score += AVOID_SCORE;
            }
            Some(score)
        })
    }

    /// Returns a worker in one of the racks that have the fewest tasks of a service.
    fn choose_spread(&self, job: &job::Record, query: &index::Query) -> Option<table::Worker> {
        let count = self.racks.len();
        let least = self.least_spread(job);
        let first = (job.sequence as usize).wrapping_add(job.runs.len());
        let avoid = job.avoid();
        (0..count)
            .map(|offset| (first + offset) % count)
            .filter(|rack| job.spread.get(*rack).copied().unwrap_or(0) == least)
            .filter(|rack| !avoid.contains(&(*rack as u32)))
            .take(RACKS_TRIED)
            .find_map(|rack| self.choose_in_rack(rack, query))
    }

    /// Returns the fewest tasks of a service on any rack.
    fn least_spread(&self, job: &job::Record) -> u16 {
        if job.spread.len() < self.racks.len() {
            return 0;
        }
        job.spread.iter().copied().min().unwrap_or(0)
    }

    /// Tells whether a worker's rack has the fewest tasks of a service.
    fn is_spread(&self, job: &job::Record, worker: table::Worker) -> bool {
        let rack = self.workers[worker].rack as usize;
        job.spread.get(rack).copied().unwrap_or(0) == self.least_spread(job)
    }

    fn choose_in_rack(&self, rack: usize, query: &index::Query) -> Option<table::Worker> {
        let mut best: Option<(f32, table::Worker)> = None;
        for &worker in self.racks[rack].members.iter().take(RACK_MEMBERS_COMPARED) {
            let record = &self.workers[worker];
            let suits = query.kind == 0 || query.kind == record.capacity.accelerator;
            if record.slot.is_none() || !suits {
                continue;
            }
            let Some(mut score) = self.fit_score(worker, query) else {
                continue;
            };
            if query.kind == 0 && record.capacity.accelerator != 0 {
                score += AVOID_SCORE;
            }
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, worker));
            }
        }
        best.map(|(_, worker)| worker)
    }

    /// Returns how much room a worker would have left, with a penalty for lopsided rooms; lower is tighter.
    fn fit_score(&self, worker: table::Worker, query: &index::Query) -> Option<f32> {
        let record = &self.workers[worker];
        let left = record.free().checked_sub(&query.size)?;
        let capacity = &record.capacity.amount;
        let share = |left: u32, all: u32| left as f32 / all.max(1) as f32;
        let cpu = share(left.cpu_milli, capacity.cpu_milli);
        let memory = share(left.memory_mib, capacity.memory_mib);
        let accelerators = share(left.accelerators, capacity.accelerators);
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
        self.count_work();
        self.counts.starts += 1;
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

    /// Enters a run with a new lease in all accounts; the caller brings the share of the team up to date.
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
        self.change_spread(job, rack, true);
        let account = &mut self.workers[worker];
        account.runs.push(run);
        account.used = account.used.saturating_add(&size);
        self.used = self.used.saturating_add(&size);
        self.relist(worker);
        let team = self.jobs[job].team;
        let record = &mut self.teams[team];
        let was = record.is_active();
        record.runs += 1;
        record.retries_milli = (record.retries_milli + RETRY_GAIN).min(RETRY_BUDGET);
        record.used = record.used.saturating_add(&size);
        self.track_active(team, was);
    }

    /// Counts a service's run on its rack.
    pub(crate) fn change_spread(&mut self, job: table::Job, rack: u32, added: bool) {
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

    /// Brings a worker's place in the index up to date.
    pub(crate) fn relist(&mut self, worker: table::Worker) {
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

    /// Makes a worker's freed room available.
    pub(crate) fn freed(&mut self, worker: table::Worker) {
        self.relist(worker);
        let record = &self.workers[worker];
        if record.hold.is_some() || record.slot.is_some() {
            self.gangs_dirty |= !self.gangs.is_empty();
        }
        if record.hold.is_some() {
            self.hold_ready.push(worker);
        }
        let queued = self.order.iter().any(|order| !order.is_empty());
        if queued && !record.dirty && record.usable() {
            self.workers[worker].dirty = true;
            self.dirty.push(worker);
        }
    }

    /// Tells whether a job's tasks may be stopped at little cost.
    pub(crate) fn is_checkpointable(&self, job: table::Job) -> bool {
        self.jobs[job].checkpoint && self.jobs[job].kind != model::Kind::Service
    }
}
