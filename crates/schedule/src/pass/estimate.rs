//! Estimates of actual sizes and run times, and handling of runs that use more than they were granted.
//!
//! The measured usage of a run above its grant counts as used. A run that uses more processors than it declared is
//! throttled. The throttle is lifted when three consecutive reports show that the run stays below its limit, or that
//! its worker has room for everything that the run declared. It is sent again when three consecutive reports show that
//! it has no effect. Excess memory is tolerated while the worker has room for it; otherwise, the run with the largest
//! excess is checkpointed if it supports that, or else stopped. Later runs of the job are granted the observed
//! usage.

use std::time::Duration;

use bronzespoke_model::{job, resource};

use crate::estimate::Model;
use crate::message::{Output, Reason};
use crate::run::{Phase, UNTHROTTLED};
use crate::scheduler::Scheduler;
use crate::{run, table};

/// Factor on an observed usage above the grant when the grant is raised, in eighths.
const RAISE_EIGHTHS: u64 = 9;
/// Time that a run with excess memory has for its checkpoint.
const CHECKPOINT_GRACE: Duration = Duration::from_secs(2);
/// Share of the granted processors that a throttled run may use, in thousandths; 1000 would lift the throttle.
const THROTTLE_SHARE: u32 = 999;
/// Usage up to which a throttled run is considered to stay below its limit, in thousandths of the granted processors.
const LIFT_BELOW_MILLI: u64 = 900;
/// Number of consecutive reports after which a throttle is lifted or sent again.
const REPORTS_TO_CHANGE: u8 = 3;
/// An overdue run is expected to need its estimated run time divided by this number.
const OVERDUE_DIVISOR: u32 = 4;

impl Scheduler {
    /// Returns the estimated run time of a job's tasks.
    pub(crate) fn run_time(&self, index: table::Job) -> Duration {
        let job = &self.jobs[index];
        self.models
            .get(&(job.team, job.kind))
            .map_or(job.run_time, |model| model.time(job.run_time))
    }

    /// Returns when a run is expected to end.
    pub(crate) fn expected_end(&self, now: Duration, run: &run::Record) -> Duration {
        let time = self.run_time(run.job);
        let end = run.started + time;
        if end > now {
            end
        } else {
            now + time / OVERDUE_DIVISOR
        }
    }

    /// Returns the size to grant to a job's tasks.
    pub(crate) fn estimated_size(&self, index: table::Job) -> resource::Amount {
        let job = &self.jobs[index];
        if job.kind != job::Kind::Batch || !self.config.use_estimates {
            return job.size;
        }
        self.models
            .get(&(job.team, job.kind))
            .map_or(job.size, |model| model.size(&job.size))
    }

    /// Updates the estimates from a run that succeeded.
    pub(crate) fn update_model(&mut self, now: Duration, record: &run::Record, end: run::End) {
        let job = &self.jobs[record.job];
        let key = (job.team, job.kind);
        let (declared, run_time) = (job.declared, job.run_time);
        if !record.confirmed || end != run::End::Succeeded {
            return;
        }
        let model = self.models.entry(key).or_insert_with(|| Box::new(Model::new()));
        model.record_time(run_time, now.saturating_sub(record.started));
        model.record_size(&declared, &record.peak);
    }

    /// Handles the measured usage of a run.
    pub(crate) fn observe_usage(&mut self, run: table::Run, out: &mut Vec<Output>) {
        let record = &mut self.runs[run];
        let (usage, size) = (record.usage, record.size);
        record.peak = resource::Amount {
            cpu_milli: record.peak.cpu_milli.max(usage.cpu_milli),
            memory_mib: record.peak.memory_mib.max(usage.memory_mib),
            accelerators: record.peak.accelerators.max(usage.accelerators),
        };
        if record.phase != Phase::Running {
            return;
        }
        self.update_throttle(run, out);
        if !usage.fits(&size) {
            self.raise_size(run);
        }
    }

    /// Throttles a run that uses more processors than it declared, and lifts or repeats a throttle that is in effect.
    fn update_throttle(&mut self, run: table::Run, out: &mut Vec<Output>) {
        let record = &self.runs[run];
        let (usage, granted) = (record.usage.cpu_milli, record.size.cpu_milli);
        let throttled = record.throttle < UNTHROTTLED;
        let declared = self.jobs[record.job].declared.cpu_milli;
        let worker = &self.workers[record.worker];
        let above = usage > granted.max(declared);
        let ungranted = declared.saturating_sub(granted);
        let has_room = ungranted > 0 && worker.hold.is_none() && worker.free().cpu_milli >= ungranted;
        let may_lift =
            !above && (u64::from(usage) * 1000 <= u64::from(granted) * LIFT_BELOW_MILLI || has_room);
        let record = &mut self.runs[run];
        record.lift_reports = if throttled && may_lift {
            record.lift_reports + 1
        } else {
            0
        };
        record.excess_reports = if throttled && above {
            record.excess_reports + 1
        } else {
            0
        };
        if record.lift_reports == REPORTS_TO_CHANGE {
            self.emit_throttle(run, UNTHROTTLED, out);
        } else if (above && !throttled) || record.excess_reports == REPORTS_TO_CHANGE {
            self.emit_throttle(run, THROTTLE_SHARE, out);
        }
    }

    /// Limits a run to the processors that it was granted.
    pub(crate) fn throttle(&mut self, run: table::Run, out: &mut Vec<Output>) {
        self.emit_throttle(run, THROTTLE_SHARE, out);
    }

    fn emit_throttle(&mut self, run: table::Run, share_milli: u32, out: &mut Vec<Output>) {
        let task = self.task_of(run);
        let record = &mut self.runs[run];
        record.throttle = share_milli;
        record.lift_reports = 0;
        record.excess_reports = 0;
        out.push(Output::Throttle {
            task,
            worker: self.workers[record.worker].id,
            token: record.token,
            share_milli,
        });
    }

    /// Returns the amount that a throttle would free: the processors that a run uses above its grant.
    pub(crate) fn throttle_gain(&self, run: table::Run) -> resource::Amount {
        let record = &self.runs[run];
        if record.throttle < UNTHROTTLED || record.phase != Phase::Running {
            return resource::Amount::ZERO;
        }
        let excess = record.usage.cpu_milli.saturating_sub(record.size.cpu_milli);
        resource::Amount::new(excess, 0, 0)
    }

    /// Raises the size granted to later runs of a job to the observed usage, within the team's limit.
    fn raise_size(&mut self, run: table::Run) {
        let record = &self.runs[run];
        let (index, usage) = (record.job, record.usage);
        let job = &self.jobs[index];
        let memory = (u64::from(usage.memory_mib) * RAISE_EIGHTHS / 8) as u32;
        // The resources of a gang that is being launched are debited at the present size.
        if job.kind == job::Kind::Service || memory <= job.size.memory_mib || !job.launch.is_empty() {
            return;
        }
        let raised = resource::Amount {
            memory_mib: memory,
            ..job.size
        };
        let known = self
            .capacities
            .keys()
            .any(|(kind, amount)| raised.fits(amount) && (job.accelerator == 0 || job.accelerator == *kind));
        if !known || !raised.fits(&self.teams[job.team].limit) {
            return;
        }
        self.dequeue(index);
        self.jobs[index].size = raised;
        self.enqueue(index);
    }

    /// Ends the runs with the largest excess memory until the remaining runs of a worker fit.
    pub(crate) fn shed_excess(&mut self, now: Duration, worker: table::Worker, out: &mut Vec<Output>) {
        loop {
            let record = &self.workers[worker];
            let mut sum = resource::Amount::ZERO;
            let mut largest: Option<(u32, table::Run)> = None;
            for &run in &record.runs {
                let other = &self.runs[run];
                if other.is_ending() {
                    continue;
                }
                sum.memory_mib = sum
                    .memory_mib
                    .saturating_add(other.usage.memory_mib.max(other.size.memory_mib));
                let excess = other.usage.memory_mib.saturating_sub(other.size.memory_mib);
                if excess > 0 && largest.is_none_or(|(most, _)| excess > most) {
                    largest = Some((excess, run));
                }
            }
            let Some((_, run)) = largest else {
                return;
            };
            if sum.memory_mib <= record.capacity.amount.memory_mib {
                return;
            }
            self.stop(now, run, Reason::Overuse, Some(CHECKPOINT_GRACE), out);
        }
    }
}
