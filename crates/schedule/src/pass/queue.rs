//! Moves jobs, lanes and classes between the queues.
//!
//! Invariants: a job with tasks that may start stands in exactly one lane, or among the gangs; a lane is listed
//! by its class or held by its team; a class with listed lanes is open or blocked.

use std::time::Duration;

use bronzespoke_model::{id, job};

use crate::lane::{Class, Lane, Place, State, Tier};
use crate::scheduler::{Gang, Scheduler};
use crate::table;

impl Scheduler {
    /// Puts a job that has tasks to start into its queue.
    pub(crate) fn enqueue(&mut self, index: table::Job) {
        let record = &self.jobs[index];
        if !record.is_active() || record.waiting.is_empty() || record.lane.is_some() {
            return;
        }
        if record.priority == job::Priority::Urgent {
            self.urgent.insert(record.sequence, index);
        }
        if record.kind == job::Kind::Gang {
            self.enqueue_gang(index);
            return;
        }
        let tier = match (record.priority, record.kind, record.launched) {
            (job::Priority::Urgent, _, _) => Tier::Urgent,
            (_, job::Kind::Service, true) => Tier::Replacement,
            _ => Tier::Normal,
        };
        let (team, sequence) = (record.team, record.sequence);
        let class = self.class(index);
        let lane = self.lane(team, class, tier);
        self.lanes[lane].jobs.insert(sequence, index);
        self.jobs[index].lane = Some(lane);
    }

    fn enqueue_gang(&mut self, index: table::Job) {
        let record = &self.jobs[index];
        if !record.runs.is_empty() || record.delayed > 0 {
            return;
        }
        self.gangs.entry(record.sequence).or_insert(Gang {
            job: index,
            cool_until: Duration::ZERO,
        });
        self.gangs_dirty = true;
    }

    /// Takes a job out of its queue.
    pub(crate) fn dequeue(&mut self, index: table::Job) {
        let record = &mut self.jobs[index];
        let sequence = record.sequence;
        self.urgent.remove(&sequence);
        if record.kind == job::Kind::Gang {
            self.gangs.remove(&sequence);
        }
        let Some(lane) = record.lane.take() else {
            return;
        };
        self.lanes[lane].jobs.remove(&sequence);
        if self.lanes[lane].jobs.is_empty() {
            self.remove_lane(lane);
        }
    }

    /// Makes a task of a job wait.
    pub(crate) fn add_waiting(&mut self, index: table::Job, task: id::TaskIndex) {
        self.add_waiting_quietly(index, task);
        self.enqueue(index);
    }

    /// Makes a task of a job wait without queueing the job.
    pub(crate) fn add_waiting_quietly(&mut self, index: table::Job, task: id::TaskIndex) {
        let record = &mut self.jobs[index];
        record.waiting.insert(task);
        let team = record.team;
        self.change_waiting(team, 1);
    }

    /// Takes the next waiting task of a job.
    pub(crate) fn take_waiting(&mut self, index: table::Job) -> id::TaskIndex {
        let record = &mut self.jobs[index];
        let task = record.waiting.pop().expect("a queued job has waiting tasks");
        let team = record.team;
        if record.waiting.is_empty() {
            self.dequeue(index);
        }
        self.change_waiting(team, -1);
        task
    }

    /// Forgets the waiting tasks of a job that will start no more.
    pub(crate) fn drop_waiting(&mut self, index: table::Job) {
        self.dequeue(index);
        let record = &mut self.jobs[index];
        let count = i64::from(record.waiting.len());
        record.waiting = crate::range::Set::default();
        let team = record.team;
        self.change_waiting(team, -count);
    }

    fn change_waiting(&mut self, team: table::Team, change: i64) {
        let record = &mut self.teams[team];
        let was = record.is_active();
        record.waiting = (i64::from(record.waiting) + change) as u32;
        self.track_active(team, was);
    }

    /// Keeps the sum of the weights of active teams.
    pub(crate) fn track_active(&mut self, team: table::Team, was: bool) {
        let record = &self.teams[team];
        let weight = u64::from(record.weight);
        match (was, record.is_active()) {
            (false, true) => self.active_weight += weight,
            (true, false) => self.active_weight -= weight,
            _ => {}
        }
    }

    fn class(&mut self, index: table::Job) -> table::Class {
        let record = &self.jobs[index];
        let (size, accelerator) = (record.size, record.accelerator);
        *self.class_ids.entry((size, accelerator)).or_insert_with(|| {
            self.classes.insert(Class {
                size,
                accelerator,
                lanes: Vec::new(),
                state: State::Idle,
                references: 0,
            })
        })
    }

    fn lane(&mut self, team: table::Team, class: table::Class, tier: Tier) -> table::Lane {
        if let Some(&lane) = self.lane_ids.get(&(team, class, tier)) {
            return lane;
        }
        let lane = self.lanes.insert(Lane {
            team,
            class,
            tier,
            jobs: std::collections::BTreeMap::new(),
            place: Place::Class(usize::MAX),
        });
        self.lane_ids.insert((team, class, tier), lane);
        self.classes[class].references += 1;
        self.list_lane(lane);
        lane
    }

    fn remove_lane(&mut self, lane: table::Lane) {
        self.unlist_lane(lane);
        let record = self.lanes.remove(lane);
        self.lane_ids.remove(&(record.team, record.class, record.tier));
        let class = &mut self.classes[record.class];
        class.references -= 1;
        if class.references == 0 {
            let key = (class.size, class.accelerator);
            self.class_ids.remove(&key);
            self.classes.remove(record.class);
        }
    }

    /// Lists a lane in its class; an idle class becomes open.
    pub(crate) fn list_lane(&mut self, lane: table::Lane) {
        let index = self.lanes[lane].class;
        let class = &mut self.classes[index];
        self.lanes[lane].place = Place::Class(class.lanes.len());
        class.lanes.push(lane);
        if class.state == State::Idle {
            class.state = State::Open(self.open.len());
            self.open.push(index);
        }
    }

    /// Takes a lane out of the list of its class or team.
    pub(crate) fn unlist_lane(&mut self, lane: table::Lane) {
        let (class, team) = (self.lanes[lane].class, self.lanes[lane].team);
        match self.lanes[lane].place {
            Place::Class(position) => {
                let list = &mut self.classes[class].lanes;
                list.swap_remove(position);
                if let Some(&moved) = list.get(position) {
                    self.lanes[moved].place = Place::Class(position);
                }
                if self.classes[class].lanes.is_empty() {
                    self.unlist_class(class);
                }
            }
            Place::Team(position) => {
                let list = &mut self.teams[team].held;
                list.swap_remove(position);
                if let Some(&moved) = list.get(position) {
                    self.lanes[moved].place = Place::Team(position);
                }
            }
        }
    }

    /// Keeps a lane back until its team is further below its part.
    pub(crate) fn hold_lane(&mut self, lane: table::Lane) {
        self.unlist_lane(lane);
        let team = self.lanes[lane].team;
        let held = &mut self.teams[team].held;
        self.lanes[lane].place = Place::Team(held.len());
        held.push(lane);
    }

    /// Returns lanes to their classes when their team may run more.
    pub(crate) fn release_lanes(&mut self, team: table::Team) {
        let mut position = 0;
        while let Some(&lane) = self.teams[team].held.get(position) {
            let size = self.classes[self.lanes[lane].class].size;
            if self.teams[team].admits(&size) {
                self.unlist_lane(lane);
                self.list_lane(lane);
            } else {
                position += 1;
            }
        }
    }

    fn unlist_class(&mut self, class: table::Class) {
        match self.classes[class].state {
            State::Idle => {}
            State::Open(position) => {
                self.open.swap_remove(position);
                if let Some(&moved) = self.open.get(position) {
                    self.classes[moved].state = State::Open(position);
                }
            }
            State::Blocked(position) => {
                self.blocked.swap_remove(position);
                if let Some(&(moved, _, _)) = self.blocked.get(position) {
                    self.classes[moved].state = State::Blocked(position);
                }
            }
        }
        self.classes[class].state = State::Idle;
    }

    /// Records that no worker has room for a class.
    pub(crate) fn block_class(&mut self, class: table::Class) {
        self.unlist_class(class);
        let record = &mut self.classes[class];
        record.state = State::Blocked(self.blocked.len());
        self.blocked.push((class, record.size, record.accelerator));
    }

    /// Opens the blocked classes for which a worker has room.
    pub(crate) fn wake_classes(&mut self, worker: table::Worker) {
        let free = self.workers[worker].free();
        let kind = self.workers[worker].capacity.accelerator;
        let mut position = 0;
        while let Some(&(class, size, accelerator)) = self.blocked.get(position) {
            if size.fits(&free) && (accelerator == 0 || accelerator == kind) {
                self.unlist_class(class);
                self.classes[class].state = State::Open(self.open.len());
                self.open.push(class);
            } else {
                position += 1;
            }
        }
    }
}
