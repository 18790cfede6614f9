//! Queueing of jobs in lanes, and of lanes in classes and teams.
//!
//! Invariants: a job with tasks that may start is in exactly one lane or in the list of gangs; a team is in the order
//! of a tier, under its present key, if and only if it has lanes in the tier.

use std::collections::BTreeMap;
use std::time::Duration;

use bronzespoke_model::{id, job, resource};

use crate::lane::{Class, Entry, Lane, Listed, Tier};
use crate::scheduler::{Gang, Scheduler};
use crate::{lane, range, table};

impl Scheduler {
    /// Queues a job if it has waiting tasks and is not queued.
    pub(crate) fn enqueue(&mut self, index: table::Job) {
        let record = &self.jobs[index];
        let queued = record.lane.is_some() || !record.launch.is_empty();
        if !record.is_active() || record.waiting.is_empty() || queued {
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
        let lane = self.lane(index, tier);
        self.jobs[index].lane = Some(lane);
    }

    fn enqueue_gang(&mut self, index: table::Job) {
        let record = &self.jobs[index];
        if !record.runs.is_empty() || record.delayed > 0 {
            return;
        }
        self.gangs.entry(record.sequence).or_insert(Gang {
            job: index,
            cooldown_until: Duration::ZERO,
        });
        self.gangs_dirty = true;
    }

    /// Removes a job from its queue.
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
        match self.lanes[lane].jobs.first_key_value() {
            Some((&first, _)) => self.entry_mut(lane).first = first,
            None => self.remove_lane(lane),
        }
    }

    /// Adds a waiting task to a job and queues the job.
    pub(crate) fn add_waiting(&mut self, index: table::Job, task: id::TaskIndex) {
        self.add_waiting_unqueued(index, task);
        self.enqueue(index);
    }

    /// Adds a waiting task to a job without queueing the job.
    pub(crate) fn add_waiting_unqueued(&mut self, index: table::Job, task: id::TaskIndex) {
        let record = &mut self.jobs[index];
        record.waiting.insert(task);
        let team = record.team;
        self.change_waiting(team, 1);
    }

    /// Removes and returns the next waiting task of a job.
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

    /// Removes all waiting tasks of a job that will not start any more.
    pub(crate) fn drop_waiting(&mut self, index: table::Job) {
        self.dequeue(index);
        let record = &mut self.jobs[index];
        let count = i64::from(record.waiting.len());
        record.waiting = range::Set::default();
        let team = record.team;
        self.change_waiting(team, -count);
    }

    fn change_waiting(&mut self, team: table::Team, change: i64) {
        let record = &mut self.teams[team];
        let was_active = record.is_active();
        record.waiting = (i64::from(record.waiting) + change) as u32;
        self.track_active(team, was_active);
    }

    /// Updates the sum of the weights of active teams after a change of a team.
    pub(crate) fn track_active(&mut self, team: table::Team, was_active: bool) {
        let record = &self.teams[team];
        let weight = u64::from(record.weight);
        match (was_active, record.is_active()) {
            (false, true) => self.active_weight += weight,
            (true, false) => self.active_weight -= weight,
            _ => {}
        }
    }

    /// Adds a job to the lane of its requirements, which is created if necessary.
    fn lane(&mut self, index: table::Job, tier: Tier) -> table::Lane {
        let job = &self.jobs[index];
        let (team, sequence, size, accelerator) = (job.team, job.sequence, job.size, job.accelerator);
        if let Some(&lane) = self.lane_ids.get(&(team, tier, size, accelerator)) {
            self.lanes[lane].jobs.insert(sequence, index);
            let entry = self.entry_mut(lane);
            entry.first = entry.first.min(sequence);
            return lane;
        }
        let class = self.class(size, accelerator);
        let record = &mut self.teams[team];
        let list = &mut record.lanes[tier as usize];
        let lane = self.lanes.insert(Lane {
            team,
            tier,
            jobs: BTreeMap::from([(sequence, index)]),
            position: list.len(),
            class,
            listed: None,
        });
        self.lane_ids.insert((team, tier, size, accelerator), lane);
        list.push(Entry {
            size,
            accelerator,
            runnable: false,
            lane,
            first: sequence,
        });
        let single = list.len() == 1;
        let key = (record.key, team);
        let order = &mut self.team_order[tier as usize];
        if single {
            order.insert(key, size);
        } else if let Some(least) = order.get_mut(&key) {
            *least = min_amount(least, &size);
        }
        self.list_lane(lane);
        lane
    }

    fn class(&mut self, size: resource::Amount, accelerator: id::AcceleratorKind) -> table::Class {
        let class = *self.class_ids.entry((size, accelerator)).or_insert_with(|| {
            self.classes.insert(Class {
                size,
                accelerator,
                lanes: Vec::new(),
                references: 0,
                full: false,
                slot: None,
            })
        });
        self.classes[class].references += 1;
        class
    }

    /// Lists a lane in its class. The lane is runnable unless the class is known to have no room.
    fn list_lane(&mut self, lane: table::Lane) {
        let (index, team, tier) = (
            self.lanes[lane].class,
            self.lanes[lane].team,
            self.lanes[lane].tier,
        );
        let class = &mut self.classes[index];
        self.lanes[lane].listed = Some(class.lanes.len());
        class.lanes.push(Listed { lane, team, tier });
        if class.slot.is_none() {
            class.full = false;
            class.slot = Some(self.demand.insert(index, class.accelerator, &class.size));
        }
        if !class.full {
            self.entry_mut(lane).runnable = true;
            self.runnable.push(lane);
        }
    }

    /// Removes a lane from the list of its class, because it is removed or blocked.
    pub(crate) fn unlist_lane(&mut self, lane: table::Lane) {
        let Some(position) = self.lanes[lane].listed.take() else {
            return;
        };
        let class = &mut self.classes[self.lanes[lane].class];
        class.lanes.swap_remove(position);
        if let Some(&moved) = class.lanes.get(position) {
            self.lanes[moved.lane].listed = Some(position);
        }
        if !class.lanes.is_empty() {
            return;
        }
        if let Some(slot) = class.slot.take()
            && let Some((moved, slot)) = self.demand.remove(slot)
        {
            self.classes[moved].slot = Some(slot);
        }
    }

    /// Blocks a lane until its team has room for it within its allotment.
    pub(crate) fn block_lane(&mut self, lane: table::Lane) {
        let team = self.lanes[lane].team;
        self.teams[team].limited = true;
        self.entry_mut(lane).runnable = false;
        self.unlist_lane(lane);
    }

    fn remove_lane(&mut self, lane: table::Lane) {
        self.unlist_lane(lane);
        let record = self.lanes.remove(lane);
        let class = &mut self.classes[record.class];
        class.references -= 1;
        if class.references == 0 {
            self.class_ids.remove(&(class.size, class.accelerator));
            self.classes.remove(record.class);
        }
        let tier = record.tier as usize;
        let team = &mut self.teams[record.team];
        let entry = team.lanes[tier].swap_remove(record.position);
        if let Some(moved) = team.lanes[tier].get(record.position) {
            self.lanes[moved.lane].position = record.position;
        }
        self.lane_ids
            .remove(&(record.team, record.tier, entry.size, entry.accelerator));
        let key = (team.key, record.team);
        if team.lanes[tier].is_empty() {
            self.team_order[tier].remove(&key);
        } else if let Some(least) = self.team_order[tier].get_mut(&key) {
            let sizes = team.lanes[tier].iter().map(|entry| entry.size);
            if attains_bound(least, &entry.size) {
                *least = sizes
                    .reduce(|left, right| min_amount(&left, &right))
                    .unwrap_or_default();
            }
        }
    }

    /// Returns a lane's entry in the list of its team.
    pub(crate) fn entry(&self, lane: table::Lane) -> &Entry {
        let record = &self.lanes[lane];
        &self.teams[record.team].lanes[record.tier as usize][record.position]
    }

    /// Returns a mutable reference to a lane's entry in the list of its team.
    pub(crate) fn entry_mut(&mut self, lane: table::Lane) -> &mut Entry {
        let record = &self.lanes[lane];
        &mut self.teams[record.team].lanes[record.tier as usize][record.position]
    }

    /// Unblocks the lanes of a team that fit into its allotment again.
    pub(crate) fn unblock_lanes(&mut self, team: table::Team) {
        self.teams[team].limited = false;
        for tier in 0..lane::TIERS {
            for position in 0..self.teams[team].lanes[tier].len() {
                let entry = self.teams[team].lanes[tier][position];
                if self.lanes[entry.lane].listed.is_some() {
                    continue;
                }
                if !self.teams[team].admits(&entry.size) {
                    self.teams[team].limited = true;
                    continue;
                }
                self.list_lane(entry.lane);
            }
        }
    }

    /// Updates the position of a team in the order of each tier after a change of its key.
    pub(crate) fn update_team_order(&mut self, team: table::Team, old: u64) {
        let record = &self.teams[team];
        self.team_keys[table::Index::slot(team)] = record.key;
        if record.key == old {
            return;
        }
        for (order, lanes) in self.team_order.iter_mut().zip(&record.lanes) {
            if lanes.is_empty() {
                continue;
            }
            if let Some(least) = order.remove(&(old, team)) {
                order.insert((record.key, team), least);
            }
        }
    }
}

/// Returns the minimum of two amounts in each dimension.
pub(crate) fn min_amount(left: &resource::Amount, right: &resource::Amount) -> resource::Amount {
    resource::Amount {
        cpu_milli: left.cpu_milli.min(right.cpu_milli),
        memory_mib: left.memory_mib.min(right.memory_mib),
        accelerators: left.accelerators.min(right.accelerators),
    }
}

/// Returns whether a size equals the lower bound in at least one dimension.
fn attains_bound(least: &resource::Amount, size: &resource::Amount) -> bool {
    least.cpu_milli == size.cpu_milli
        || least.memory_mib == size.memory_mib
        || (least.accelerators == size.accelerators && size.accelerators > 0)
}
