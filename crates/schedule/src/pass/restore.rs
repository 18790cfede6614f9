//! Restoration from replicated state after a change of leader.

use std::time::Duration;

use bronzespoke_model::{id, job as model, resource, worker};

use crate::job::Phase;
use crate::message::{Output, Progress, Reason, Restore};
use crate::scheduler::Scheduler;
use crate::{range, table};

impl Scheduler {
    /// Handles one item of the replicated state.
    pub(crate) fn restore(&mut self, now: Duration, item: Restore, out: &mut Vec<Output>) {
        if self.restored.is_some() {
            return;
        }
        match item {
            Restore::Worker(registration) => {
                let confirmed = !self.config.rules.confirm_restored;
                self.register(now, &registration, confirmed, out);
            }
            Restore::Job {
                job,
                team,
                spec,
                cancelled,
                tasks,
            } => self.restore_job(now, job, team, &spec, cancelled, &tasks),
            Restore::Done { next_token } => self.restore_done(now, next_token, out),
        }
    }

    fn restore_job(
        &mut self,
        now: Duration,
        id: id::JobId,
        team: id::TeamId,
        spec: &model::Spec,
        cancelled: bool,
        tasks: &[Progress],
    ) {
        if self.job_ids.contains_key(&id) {
            return;
        }
        let team = self.team(now, team);
        let index = self.add_job(now, id, team, spec, range::Set::default());
        if cancelled {
            self.jobs[index].phase = Phase::Cancelled;
        }
        for (task, progress) in tasks.iter().enumerate() {
            self.restore_task(now, index, task as id::TaskIndex, progress);
        }
        self.refresh_team(now, team);
        if self.jobs[index].is_active() {
            self.enqueue(index);
        } else {
            self.drop_waiting(index);
            self.stop_runs(index, Reason::Cancelled);
        }
    }

    fn restore_task(&mut self, now: Duration, index: table::Job, task: id::TaskIndex, progress: &Progress) {
        let attempts = match *progress {
            Progress::Waiting { attempts } => {
                self.add_waiting_unqueued(index, task);
                attempts
            }
            Progress::Running {
                worker,
                token,
                granted,
                attempts,
            } => {
                self.restore_run(now, index, task, worker, token, granted);
                attempts
            }
            Progress::Succeeded => {
                self.jobs[index].succeeded += 1;
                0
            }
        };
        if attempts > 0 {
            self.jobs[index].add_attempts(task, attempts);
        }
    }

    fn restore_run(
        &mut self,
        now: Duration,
        job: table::Job,
        task: id::TaskIndex,
        worker: id::WorkerId,
        token: id::Token,
        granted: resource::Amount,
    ) {
        // A worker that is no longer in the replicated state may run the task until its lease expires, so it is added
        // without capacity.
        self.register(
            now,
            &worker::Registration {
                worker,
                incarnation: 0,
                rack: 0,
                capacity: resource::Capacity::default(),
            },
            false,
            &mut Vec::new(),
        );
        let worker = self.worker_ids[&worker];
        self.add_run(now, job, task, worker, token, granted);
    }

    fn restore_done(&mut self, now: Duration, next_token: id::Token, out: &mut Vec<Output>) {
        self.restored = Some(now);
        self.next_token = self.next_token.max(next_token);
        // The previous leader may just have used up the preemption rate of this second.
        let rate = self.config.preemptions_per_second as usize;
        self.preemptions.extend(std::iter::repeat_n(now, rate));
        let ids: Vec<_> = self.jobs.iter().map(|(index, _)| index).collect();
        for index in ids {
            let job = &self.jobs[index];
            if job.phase == Phase::Cancelled {
                continue;
            }
            if job.succeeded == job.tasks {
                self.finish(index, model::State::Succeeded, out);
            } else if job.kind == model::Kind::Gang && !job.waiting.is_empty() && !job.runs.is_empty() {
                // A task of the gang was lost before the change of leader.
                self.stop_gang(index);
            }
        }
        // An allotment may have been lowered just before the change of leader.
        if self.config.rules.team_limit {
            let teams: Vec<_> = self.teams.iter().map(|(team, _)| team).collect();
            for team in teams {
                self.shrink_team(team);
            }
        }
        self.check_recovered(now, out);
    }
}
