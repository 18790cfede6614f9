//! Restores the committed state of a zone into a new scheduler.
//!
//! The restoration is spread over several ticks, so that the leader of a large zone continues to send heartbeats. Each
//! worker and job is read when its turn comes and includes changes committed before that; a change committed later
//! reaches the scheduler as usual.

use std::collections::VecDeque;

use bronzespoke_control::zone as state;
use bronzespoke_model::{id, task, worker};
use bronzespoke_schedule::message;

/// Maximum number of workers and tasks restored per tick; a job is never split.
const RESTORED_PER_TICK: usize = 1024;

/// Workers and jobs that are still to be restored.
#[derive(Debug)]
pub struct Restoration {
    workers: VecDeque<id::WorkerId>,
    jobs: VecDeque<id::JobId>,
}

impl Restoration {
    /// Returns a restoration of the complete state.
    pub fn new(state: &state::State) -> Self {
        Self {
            workers: state.workers().map(|(id, _)| id).collect(),
            jobs: state.jobs().map(|(id, _)| id).collect(),
        }
    }

    /// Adds a job that was committed during the restoration.
    pub fn add(&mut self, job: id::JobId) {
        self.jobs.push_back(job);
    }

    /// Returns the next inputs in the order that the scheduler requires; the last one of all is
    /// [`message::Restore::Done`].
    pub fn take(&mut self, state: &state::State) -> Vec<message::Restore> {
        let mut inputs = Vec::new();
        let mut remaining = RESTORED_PER_TICK;
        while remaining > 0
            && let Some(id) = self.workers.pop_front()
        {
            remaining -= 1;
            inputs.extend(restored_worker(state, id));
        }
        while remaining > 0
            && let Some(id) = self.jobs.pop_front()
        {
            remaining -= 1;
            if let Some(input) = restored_job(state, id) {
                let tasks = state.job(id).map_or(0, |record| record.spec.tasks);
                remaining = remaining.saturating_sub(tasks as usize);
                inputs.push(input);
            }
        }
        if remaining > 0 {
            inputs.push(message::Restore::Done {
                next_token: state.next_token(),
            });
        }
        inputs
    }
}

fn restored_worker(state: &state::State, id: id::WorkerId) -> Option<message::Restore> {
    let worker = state.worker(id).filter(|worker| !worker.gone)?;
    let incarnation = oldest_incarnation(state, id, worker.registration.incarnation);
    Some(message::Restore::Worker(worker::Registration {
        incarnation,
        ..worker.registration
    }))
}

fn restored_job(state: &state::State, job: id::JobId) -> Option<message::Restore> {
    let record = state.job(job)?;
    // Runs of a job in a terminal state hold their leases until their ends are committed.
    if record.state.is_terminal() && record.running == 0 {
        return None;
    }
    let tasks = (0..record.spec.tasks).map(|index| progress(state, record, task::Ref { job, index }));
    Some(message::Restore::Job {
        job,
        team: record.team,
        spec: record.spec.clone(),
        cancelled: record.state.is_terminal(),
        tasks: tasks.collect(),
    })
}

/// Returns the oldest incarnation of a worker that has runs, or the latest one if there are no runs.
fn oldest_incarnation(
    state: &state::State,
    worker: id::WorkerId,
    latest: id::Incarnation,
) -> id::Incarnation {
    let incarnations = state.runs_of_worker(worker).map(|(_, run)| run.incarnation);
    incarnations.min().unwrap_or(latest)
}

/// Returns the registrations of the latest incarnations of all workers.
pub fn registrations(state: &state::State) -> Vec<worker::Registration> {
    let workers = state.workers().filter(|(_, worker)| !worker.gone);
    workers.map(|(_, worker)| worker.registration).collect()
}

fn progress(state: &state::State, record: &state::Job, task: task::Ref) -> message::Progress {
    if record.is_done(task.index) {
        return message::Progress::Succeeded;
    }
    let attempts = state.attempts(task);
    match state.run(task) {
        Some(run) => message::Progress::Running {
            worker: run.worker,
            token: run.token,
            granted: record.spec.size,
            attempts,
        },
        None => message::Progress::Waiting { attempts },
    }
}
