//! Submission of jobs, and detection of jobs that can never run.

use std::time::Duration;

use bronzespoke_model::{id, job as model};

use crate::amount::{multiply, slots};
use crate::message::Output;
use crate::scheduler::Scheduler;
use crate::{job, range, table, timer};

/// Number of jobs checked in one step. Checking 100,000 jobs in one step would take tens of milliseconds, and might emit
/// an output for each.
const JOBS_PER_CHECK: usize = 512;
/// Interval between the steps of one check.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Scheduler {
    /// Accepts a job, or rejects it if it can never run.
    pub(crate) fn submit(
        &mut self,
        now: Duration,
        id: id::JobId,
        team: id::TeamId,
        spec: &model::Spec,
        out: &mut Vec<Output>,
    ) {
        if self.job_ids.contains_key(&id) {
            return;
        }
        let team = self.team(now, team);
        let index = self.add_job(now, id, team, spec, range::Set::up_to(spec.tasks));
        if self.restored.is_some()
            && self.unconfirmed == 0
            && let Some(reason) = self.impossible(index)
        {
            self.drop_waiting(index);
            self.jobs.remove(index);
            self.job_ids.remove(&id);
            out.push(Output::Impossible {
                job: id,
                reason,
                refused: true,
            });
            return;
        }
        self.jobs[index].size = self.estimated_size(index);
        self.enqueue(index);
        if self.restored.is_some() && spec.kind == model::Kind::Gang {
            self.try_gang(now, index, out);
        }
    }

    /// Adds a job. The caller queues it.
    pub(crate) fn add_job(
        &mut self,
        now: Duration,
        id: id::JobId,
        team: table::Team,
        spec: &model::Spec,
        waiting: range::Set,
    ) -> table::Job {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let was_active = self.teams[team].is_active();
        self.teams[team].waiting += waiting.len();
        self.track_active(team, was_active);
        let index = self.jobs.insert(job::Record {
            id,
            team,
            kind: spec.kind,
            priority: spec.priority,
            size: spec.size,
            declared: spec.size,
            accelerator: spec.accelerator,
            checkpoint: spec.checkpoint,
            launched: false,
            phase: job::Phase::Active,
            tasks: spec.tasks,
            succeeded: 0,
            delayed: 0,
            run_time: spec.run_time,
            submitted: now,
            sequence,
            waiting,
            runs: Vec::new(),
            stop: None,
            launch: Vec::new(),
            spread: Vec::new(),
            lane: None,
            holds: Vec::new(),
            failure_history: None,
            impossible: None,
        });
        self.job_ids.insert(id, index);
        index
    }

    /// Returns the reason if a job can never run with the present fleet and limits.
    pub(crate) fn impossible(&self, index: table::Job) -> Option<model::Impossible> {
        let job = &self.jobs[index];
        let concurrent = match job.kind {
            model::Kind::Batch => 1,
            model::Kind::Service | model::Kind::Gang => job.tasks,
        };
        if !multiply(&job.size, concurrent).is_some_and(|sum| sum.fits(&self.teams[job.team].limit)) {
            return Some(model::Impossible::OverTeamLimit);
        }
        let mut kind_known = job.accelerator == 0;
        let mut total_slots = 0_u64;
        for (&(kind, amount), &count) in &self.capacities {
            if job.accelerator != 0 && kind != job.accelerator {
                continue;
            }
            kind_known = true;
            total_slots += u64::from(slots(&amount, &job.size)) * u64::from(count);
            if total_slots >= u64::from(concurrent) {
                return None;
            }
        }
        Some(match (kind_known, total_slots) {
            (false, _) => model::Impossible::NoSuchAccelerator,
            (true, 0) => model::Impossible::LargerThanAnyWorker,
            (true, _) => model::Impossible::LargerThanFleet,
        })
    }

    /// Starts a check of the waiting jobs after a change of the fleet or a limit.
    pub(crate) fn check_feasibility(&mut self, now: Duration) {
        self.feasibility_next = 0;
        self.timers.push(now, timer::Event::Feasibility);
    }

    /// Checks some of the jobs, emits changed results, and schedules the rest of the check.
    pub(crate) fn feasibility_due(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.feasibility_pending = false;
        if self.restored.is_none() || self.unconfirmed > 0 {
            return;
        }
        let end = self.jobs.slots().min(self.feasibility_next + JOBS_PER_CHECK);
        for slot in self.feasibility_next..end {
            let index: table::Job = table::Index::new(slot);
            let waiting = self.jobs.get(index).is_some_and(|job| !job.waiting.is_empty());
            if waiting {
                self.update_feasibility(index, out);
            }
        }
        self.feasibility_next = end;
        if end < self.jobs.slots() {
            self.timers.push(now + CHECK_INTERVAL, timer::Event::Feasibility);
        }
    }

    fn update_feasibility(&mut self, index: table::Job, out: &mut Vec<Output>) {
        let reason = self.impossible(index);
        let job = &mut self.jobs[index];
        if let Some(reason) = reason.filter(|_| reason != job.impossible) {
            out.push(Output::Impossible {
                job: job.id,
                reason,
                refused: false,
            });
        }
        job.impossible = reason;
    }
}
