//! Starts waiting tasks in the order of turns.

use std::cmp::Reverse;
use std::time::Duration;

use bronzespoke_model::{id, job, resource, task};

use smallvec::SmallVec;

use crate::lane::{Place, State};
use crate::message::Output;
use crate::pass::limit::RETRY_BUDGET;
use crate::scheduler::Scheduler;
use crate::{index, job as job_record, run, table, timer};

/// Added to the score of a worker in a rack where the job failed before.
const AVOID_SCORE: f32 = 10.0;
/// Racks that one placement of a service tries before it takes any worker with room.
const RACKS_TRIED: usize = 8;
/// Workers of a rack that are compared; racks hold about eight.
const RACK_MEMBERS_COMPARED: usize = 32;

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
        if !self.open.is_empty() {
            self.take_turns(now, out);
        }
        self.preempt(now, out);
        self.fill_holds(now, out);
    }

    fn take_turns(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.turns.clear();
        for position in 0..self.open.len() {
            let class = self.open[position];
            for lane in 0..self.classes[class].lanes.len() {
                let lane = self.classes[class].lanes[lane];
                self.push_turn(lane);
            }
        }
        let mut left = self.config.placements_per_step;
        while let Some(Reverse(turn)) = self.turns.pop() {
            if left == 0 {
                self.more = true;
                return;
            }
            left -= u32::from(self.take_turn(now, turn.3, turn.1, out));
        }
    }

    fn push_turn(&mut self, lane: table::Lane) {
        let record = &self.lanes[lane];
        let key = self.teams[record.team].key;
        let (&sequence, _) = record.jobs.first_key_value().expect("a lane is never empty");
        self.turns.push(Reverse((record.tier, key, sequence, lane)));
    }

    /// Returns whether a placement was tried.
    fn take_turn(&mut self, now: Duration, lane: table::Lane, key: u64, out: &mut Vec<Output>) -> bool {
        let Some(record) = self.lanes.get(lane) else {
            return false;
        };
        let class = record.class;
        let listed = matches!(record.place, Place::Class(_));
        if !listed || !matches!(self.classes[class].state, State::Open(_)) {
            return false;
        }
        if self.teams[record.team].key != key {
            self.push_turn(lane);
            return false;
        }
        self.counts.tries += 1;
        match self.try_lane(now, lane, out) {
            Turn::Started => {
                if self.lanes.get(lane).is_some() {
                    self.push_turn(lane);
                }
            }
            Turn::OverLimit => self.hold_lane(lane),
            Turn::NoRoom => self.block_class(class),
        }
        true
    }

    fn try_lane(&mut self, now: Duration, lane: table::Lane, out: &mut Vec<Output>) -> Turn {
        let record = &self.lanes[lane];
        let (_, &job) = record.jobs.first_key_value().expect("a lane is never empty");
        if self.config.rules.team_limit && !self.teams[record.team].admits(&self.jobs[job].size) {
            return Turn::OverLimit;
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
        if job.kind == job::Kind::Service
            && let Some(worker) = self.choose_spread(job, &query)
        {
            return Some(worker);
        }
        let avoid = job.avoid();
        self.free.search(&query, &mut |worker| {
            let mut score = self.fit_score(worker, &query)?;
            if avoid.contains(&self.workers[worker].rack) {
                score += AVOID_SCORE;
            }
            Some(score)
        })
    }

    /// Returns a worker in one of the racks that have the fewest tasks of a service.
    fn choose_spread(&self, job: &job_record::Record, query: &index::Query) -> Option<table::Worker> {
        let count = self.racks.len();
        let avoid = job.avoid();
        let mut tried = SmallVec::<[usize; RACKS_TRIED]>::new();
        while tried.len() < RACKS_TRIED.min(count) {
            let first = job.sequence as usize;
            let rack = (0..count)
                .map(|offset| (first + offset) % count)
                .filter(|rack| !tried.contains(rack))
                .min_by_key(|rack| {
                    let runs = job.spread.get(*rack).copied().unwrap_or(0);
                    (runs, avoid.contains(&(*rack as u32)))
                })?;
            tried.push(rack);
            if let Some(worker) = self.choose_in_rack(rack, query) {
                return Some(worker);
            }
        }
        None
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
        self.add_run(
            now,
            run::Record {
                job,
                index: task,
                worker,
                rack: self.workers[worker].rack,
                token,
                size: granted,
                started: now,
                phase: run::Phase::Starting,
                confirmed: false,
                former: false,
                seen: 0,
                due: now + self.config.lease,
                missing: 0,
                throttle: 1000,
                usage: resource::Amount::ZERO,
                peak: resource::Amount::ZERO,
                in_worker: 0,
                in_job: 0,
                credited: false,
            },
        );
        self.jobs[job].launched = true;
        self.counts.starts += 1;
        self.timers
            .push(now + self.config.lease, timer::Event::Run(token));
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

    /// Enters a run in all accounts.
    pub(crate) fn add_run(&mut self, now: Duration, mut record: run::Record) {
        let (job, worker, rack) = (record.job, record.worker, record.rack);
        let (token, size) = (record.token, record.size);
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
        self.refresh_team(now, team);
    }

    /// Counts a service's run on its rack.
    pub(crate) fn change_spread(&mut self, job: table::Job, rack: u32, added: bool) {
        let rack = rack as usize;
        let job = &mut self.jobs[job];
        if job.kind != job::Kind::Service {
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
            if listed && index::Free::stays(slot, kind, &free) {
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
        if let Some(hold) = record.hold {
            self.hold_ready.push(worker);
            // Work may be let onto a worker that is reserved for a gang.
            if hold.ready > Duration::ZERO && record.usable() {
                self.wake_classes(worker);
            }
        } else if record.slot.is_some() {
            self.wake_classes(worker);
        }
    }

    /// Tells whether a job's tasks may be stopped at little cost.
    pub(crate) fn is_checkpointable(&self, job: table::Job) -> bool {
        self.jobs[job].checkpoint && self.jobs[job].kind != job::Kind::Service
    }
}
