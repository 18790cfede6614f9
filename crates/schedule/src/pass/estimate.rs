//! Learns real sizes and run times, and deals with runs that use more than they were granted.
//!
//! The rule for a run above its grant: what it uses is counted as used. Processors above the declared ones are
//! throttled. The throttle is lifted when three reports in a row show that the run no longer presses against it, or
//! that its worker has room for all that the run declared; it is told again when three reports in a row show that it
//! does not hold. Memory is tolerated while the worker has room for it; otherwise the run with the largest excess is
//! checkpointed when it can be, or stopped. The job's next runs are granted what was seen.

use std::time::Duration;

use bronzespoke_model::{job, resource};

use crate::estimate::Model;
use crate::message::{Output, Reason};
use crate::run::{LIFTED, Phase};
use crate::scheduler::Scheduler;
use crate::{run, table};

/// Margin on a size that was seen to be too small, in eighths.
const SEEN_EIGHTHS: u64 = 9;
/// Time to checkpoint for a run that uses too much.
const GRACE: Duration = Duration::from_secs(2);
/// Share of the granted processors that a throttled run may use, in thousandths; 1000 would lift the throttle.
const THROTTLED: u32 = 999;
/// Use of the granted processors up to which a run does not press against its throttle, in thousandths.
const CALM: u64 = 900;
/// Reports in a row that change a throttle.
const REPORTS: u8 = 3;
/// Part of the expected run time that an overdue run is expected to need still.
const OVERDUE: u32 = 4;

impl Scheduler {
    /// Returns the run time to plan with for a job's tasks.
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
        if end > now { end } else { now + time / OVERDUE }
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

    /// Learns from a run that ended.
    pub(crate) fn learn(&mut self, now: Duration, record: &run::Record, end: run::End) {
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

    /// Follows the measured use of a run.
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
        self.follow_throttle(run, out);
        if !usage.fits(&size) {
            self.raise_size(run);
        }
    }

    /// Throttles a run that uses more processors than it declared, and follows a throttle that is in force.
    fn follow_throttle(&mut self, run: table::Run, out: &mut Vec<Output>) {
        let record = &self.runs[run];
        let (usage, granted) = (record.usage.cpu_milli, record.size.cpu_milli);
        let throttled = record.throttle < LIFTED;
        let declared = self.jobs[record.job].declared.cpu_milli;
        let worker = &self.workers[record.worker];
        let above = usage > granted.max(declared);
        let more = declared.saturating_sub(granted);
        let room = more > 0 && worker.hold.is_none() && worker.free().cpu_milli >= more;
        let calm = !above && (u64::from(usage) * 1000 <= u64::from(granted) * CALM || room);
        let record = &mut self.runs[run];
        record.calm = if throttled && calm { record.calm + 1 } else { 0 };
        record.defiant = if throttled && above { record.defiant + 1 } else { 0 };
        if record.calm == REPORTS {
            self.tell_throttle(run, LIFTED, out);
        } else if (above && !throttled) || record.defiant == REPORTS {
            self.tell_throttle(run, THROTTLED, out);
        }
    }

    /// Holds a run to the processors that it was granted.
    pub(crate) fn throttle(&mut self, run: table::Run, out: &mut Vec<Output>) {
        self.tell_throttle(run, THROTTLED, out);
    }

    fn tell_throttle(&mut self, run: table::Run, share_milli: u32, out: &mut Vec<Output>) {
        let task = self.task_of(run);
        let record = &mut self.runs[run];
        record.throttle = share_milli;
        record.calm = 0;
        record.defiant = 0;
        out.push(Output::Throttle {
            task,
            worker: self.workers[record.worker].id,
            token: record.token,
            share_milli,
        });
    }

    /// Returns the processors that a throttle would give back: what a run uses above its grant.
    pub(crate) fn throttled_room(&self, run: table::Run) -> resource::Amount {
        let record = &self.runs[run];
        if record.throttle < LIFTED || record.phase != Phase::Running {
            return resource::Amount::ZERO;
        }
        let excess = record.usage.cpu_milli.saturating_sub(record.size.cpu_milli);
        resource::Amount::new(excess, 0, 0)
    }

    /// Grants a job's next runs what one of its runs was seen to use, within the team's limit.
    fn raise_size(&mut self, run: table::Run) {
        let record = &self.runs[run];
        let (index, usage) = (record.job, record.usage);
        let job = &self.jobs[index];
        let memory = (u64::from(usage.memory_mib) * SEEN_EIGHTHS / 8) as u32;
        // The room of a gang that is being started is debited at its present size.
        if job.kind == job::Kind::Service || memory <= job.size.memory_mib || !job.launch.is_empty() {
            return;
        }
        let raised = resource::Amount {
            memory_mib: memory,
            ..job.size
        };
        let known = self
            .shapes
            .keys()
            .any(|(kind, amount)| raised.fits(amount) && (job.accelerator == 0 || job.accelerator == *kind));
        if !known || !raised.fits(&self.teams[job.team].limit) {
            return;
        }
        self.dequeue(index);
        self.jobs[index].size = raised;
        self.enqueue(index);
    }

    /// Ends the runs with the largest excess until the rest of a worker's runs fits.
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
            self.stop(now, run, Reason::Overuse, Some(GRACE), out);
        }
    }
}
