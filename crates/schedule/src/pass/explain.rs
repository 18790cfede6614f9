//! Explanations and metrics for operators.

use std::time::Duration;

use bronzespoke_model::id;
use bronzespoke_share::level;

use crate::job::Phase;
use crate::message::{Cause, Explanation, Metrics};
use crate::scheduler::Scheduler;
use crate::table;

impl Scheduler {
    /// Returns why a job's waiting tasks do not start.
    pub fn explain(&self, job: id::JobId) -> Explanation {
        let Some(&index) = self.job_ids.get(&job) else {
            return Explanation {
                cause: Cause::Unknown,
                waiting: 0,
                running: 0,
                succeeded: 0,
                ahead: 0,
            };
        };
        let record = &self.jobs[index];
        let ahead = record
            .lane
            .map_or(0, |lane| self.lanes[lane].jobs.range(..record.sequence).count());
        Explanation {
            cause: self.cause(index),
            waiting: record.waiting.len() + record.delayed,
            running: record.runs.len() as u32,
            succeeded: record.succeeded,
            ahead: ahead as u32,
        }
    }

    fn cause(&self, index: table::Job) -> Cause {
        let job = &self.jobs[index];
        if job.phase != Phase::Active {
            return Cause::Cancelling;
        }
        if let Some(reason) = job.impossible {
            return Cause::Impossible(reason);
        }
        if job.waiting.is_empty() {
            return if job.delayed > 0 {
                Cause::Backoff
            } else {
                Cause::None
            };
        }
        if self.restored.is_none() {
            return Cause::Recovering;
        }
        if !job.holds.is_empty() {
            return Cause::Reserved;
        }
        let Some(lane) = job.lane else {
            return if self.teams[job.team].admits(&job.size) {
                Cause::NoRoom
            } else {
                Cause::TeamLimit
            };
        };
        if self.lanes[lane].listed.is_none() {
            Cause::TeamLimit
        } else if self.entry(lane).runnable {
            Cause::Turn
        } else if self.teams[job.team].admits(&job.size) {
            Cause::NoRoom
        } else {
            Cause::TeamLimit
        }
    }

    /// Returns the present gauges and counters.
    pub fn metrics(&self, _now: Duration) -> Metrics {
        let wide = |amount: bronzespoke_model::resource::Amount| {
            [
                u64::from(amount.cpu_milli),
                u64::from(amount.memory_mib),
                u64::from(amount.accelerators),
            ]
        };
        let mut waiting = 0;
        let mut distance = 0.0_f64;
        for (_, team) in self.teams.iter() {
            waiting += u64::from(team.waiting);
            if team.waiting > 0 && !team.limited {
                let fair = level::among(f64::from(team.weight), self.active_weight.max(1) as f64);
                distance = distance.max(fair - team.past.share());
            }
        }
        Metrics {
            workers: self.workers.len() as u32,
            probation: self.racks.iter().map(|rack| rack.probation).sum(),
            capacity: wide(self.total),
            used: wide(self.used),
            jobs: self.jobs.len() as u32,
            waiting,
            running: self.runs.len() as u32,
            starts: self.counters.starts,
            placement_attempts: self.counters.placement_attempts,
            workers_evaluated: self.counters.workers_evaluated,
            preempted: self.counters.preempted,
            lost_core_seconds: self.counters.lost_core_seconds,
            max_share_deficit: distance,
            recovery: self.recovery,
        }
    }
}
