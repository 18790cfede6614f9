//! Checker of the scheduler's outputs and of the simulated workers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bronzespoke_model::{id, job, resource, task, team};
use bronzespoke_schedule::Output;
use bronzespoke_schedule::message::{Progress, Reason};

use super::{Job, machine};

/// A lease allocated by a start that has not ended.
#[derive(Debug, Clone)]
struct Lease {
    task: task::Ref,
    team: id::TeamId,
    worker: id::WorkerId,
    granted: resource::Amount,
    ending: bool,
}

#[derive(Debug, Default)]
pub struct Checker {
    /// Description of the first violation of a rule.
    pub violation: Option<String>,
    leases: BTreeMap<id::Token, Lease>,
    preemptions: VecDeque<Duration>,
    pub max_preemption_rate: Option<usize>,
    pub starts: BTreeMap<id::JobId, u32>,
    /// Teams whose protected share is checked, with that share.
    pub protected_shares: BTreeMap<id::TeamId, f64>,
}

fn sum<'a>(amounts: impl Iterator<Item = &'a resource::Amount>) -> resource::Amount {
    amounts.fold(resource::Amount::ZERO, |sum, amount| sum.saturating_add(amount))
}

impl Checker {
    pub fn fail(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    /// Checks that no worker runs more than its capacity and that no task runs twice.
    pub fn check_machines(&mut self, now: Duration, machines: &[machine::Machine]) {
        let mut places: BTreeMap<task::Ref, id::WorkerId> = BTreeMap::new();
        for machine in machines {
            let worker = machine.registration.worker;
            let used = sum(machine.running.values().map(|process| &process.granted));
            if !used.fits(&machine.registration.capacity.amount) {
                self.fail(format!("{now:?}: worker {worker} runs {used:?}"));
            }
            for process in machine.running.values() {
                if let Some(other) = places.insert(process.task, worker) {
                    self.fail(format!(
                        "{now:?}: {:?} runs on {other} and {worker}",
                        process.task
                    ));
                }
            }
        }
    }

    #[allow(clippy::too_many_arguments, reason = "the checker sees the whole cell")]
    pub fn step(
        &mut self,
        now: Duration,
        out: &[Output],
        jobs: &BTreeMap<id::JobId, Job>,
        teams: &BTreeMap<id::TeamId, (team::Quota, resource::Amount)>,
        machines: &[machine::Machine],
        confirmed: &BTreeSet<id::WorkerId>,
    ) {
        for output in out {
            match output {
                Output::Start {
                    task,
                    worker,
                    token,
                    granted,
                } => {
                    let Some(job) = jobs.get(&task.job) else {
                        self.fail(format!("{now:?}: start of a job that has ended, {task:?}"));
                        continue;
                    };
                    if job.cancelled {
                        self.fail(format!("{now:?}: start of a cancelled job, {task:?}"));
                    }
                    if !confirmed.contains(worker) {
                        self.fail(format!("{now:?}: start on {worker}, which is not confirmed"));
                    }
                    self.start(now, *task, job, *worker, *token, granted, teams, machines);
                }
                Output::Stop { token, reason, .. } | Output::Checkpoint { token, reason, .. } => {
                    self.stop(now, *token, *reason, jobs, machines);
                }
                Output::Ended { token, .. } if self.leases.remove(token).is_none() => {
                    self.fail(format!("{now:?}: token {token} ended twice"));
                }
                Output::JobEnded {
                    job,
                    outcome: job::State::Succeeded,
                } => self.succeeded(*job, jobs, out),
                _ => {}
            }
        }
        self.check_machines(now, machines);
    }

    /// Checks that no task of a gang waits while another one runs. Holds whenever the scheduler has no pending work.
    pub fn check_gangs(&mut self, now: Duration, jobs: &BTreeMap<id::JobId, Job>) {
        let mut running: BTreeMap<id::JobId, (usize, bool)> = BTreeMap::new();
        for lease in self.leases.values() {
            let entry = running.entry(lease.task.job).or_default();
            entry.0 += 1;
            entry.1 |= !lease.ending;
        }
        // If a single task is stopped for urgent work, the others are stopped once it has ended.
        for (id, (count, _)) in running.into_iter().filter(|(_, (_, runs))| *runs) {
            let Some(job) = jobs.get(&id).filter(|job| job.spec.kind == job::Kind::Gang) else {
                continue;
            };
            let succeeded = |task: &&Progress| **task == Progress::Succeeded;
            let done = job.tasks.iter().filter(succeeded).count();
            if count + done != job.tasks.len() {
                self.fail(format!("{now:?}: gang {id} runs {count} tasks, {done} succeeded"));
            }
        }
    }

    /// Marks all leases as running, since a new leader does not know which runs the previous one has stopped.
    pub fn reset_ending(&mut self) {
        for lease in self.leases.values_mut() {
            lease.ending = false;
        }
    }

    #[allow(clippy::too_many_arguments, reason = "the checker sees the whole cell")]
    fn start(
        &mut self,
        now: Duration,
        task: task::Ref,
        job: &Job,
        worker: id::WorkerId,
        token: id::Token,
        granted: &resource::Amount,
        teams: &BTreeMap<id::TeamId, (team::Quota, resource::Amount)>,
        machines: &[machine::Machine],
    ) {
        *self.starts.entry(task.job).or_default() += 1;
        if self.leases.values().any(|lease| lease.task == task) {
            self.fail(format!("{now:?}: {task:?} is started while it holds a lease"));
        }
        let lease = Lease {
            task,
            team: job.team,
            worker,
            granted: *granted,
            ending: false,
        };
        self.leases.insert(token, lease);
        let on_worker = self.leases.values().filter(|lease| lease.worker == worker);
        let used = sum(on_worker.map(|lease| &lease.granted));
        let machine = machines
            .iter()
            .find(|machine| machine.registration.worker == worker);
        let capacity = machine.map_or_else(Default::default, |machine| machine.registration.capacity);
        if !used.fits(&capacity.amount) {
            self.fail(format!("{now:?}: worker {worker} is allocated {used:?}"));
        }
        if job.spec.accelerator != 0 && job.spec.accelerator != capacity.accelerator {
            self.fail(format!("{now:?}: {task:?} has the wrong accelerator kind"));
        }
        let used = self.team_usage(job.team, false);
        if !used.fits(&teams[&job.team].1) {
            self.fail(format!("{now:?}: team {} is allocated {used:?}", job.team));
        }
    }

    fn team_usage(&self, team: id::TeamId, without_ending: bool) -> resource::Amount {
        let leases = self.leases.values().filter(|lease| lease.team == team);
        sum(leases
            .filter(|lease| !(without_ending && lease.ending))
            .map(|lease| &lease.granted))
    }

    fn stop(
        &mut self,
        now: Duration,
        token: id::Token,
        reason: Reason,
        jobs: &BTreeMap<id::JobId, Job>,
        machines: &[machine::Machine],
    ) {
        let Some(lease) = self.leases.get_mut(&token) else {
            return;
        };
        if std::mem::replace(&mut lease.ending, true) {
            return;
        }
        let (job, team) = (lease.task.job, lease.team);
        if reason == Reason::Drained && jobs[&job].spec.kind == job::Kind::Service {
            let up = self
                .leases
                .values()
                .filter(|lease| lease.task.job == job && !lease.ending);
            if up.count() as u32 + 1 < jobs[&job].spec.tasks {
                self.fail(format!("{now:?}: a drain takes down a second task of {job}"));
            }
        }
        if reason != Reason::Preempted {
            return;
        }
        self.preemptions.push_back(now);
        while self
            .preemptions
            .front()
            .is_some_and(|at| *at + Duration::from_secs(1) <= now)
        {
            self.preemptions.pop_front();
        }
        if self
            .max_preemption_rate
            .is_some_and(|rate| self.preemptions.len() > rate)
        {
            self.fail(format!(
                "{now:?}: {} preemptions in a second",
                self.preemptions.len()
            ));
        }
        if let Some(&share) = self.protected_shares.get(&team) {
            let alive = machines.iter().filter(|machine| machine.alive);
            let total = sum(alive.map(|machine| &machine.registration.capacity.amount));
            let remaining = self.team_usage(team, true).dominant_share(&total);
            if remaining < share - 1e-9 {
                self.fail(format!(
                    "{now:?}: team {team} is reduced to {remaining}, below {share}"
                ));
            }
        }
    }

    /// Returns the tasks of a job that have not succeeded after a step.
    fn unfinished(id: id::JobId, jobs: &BTreeMap<id::JobId, Job>, out: &[Output]) -> BTreeSet<usize> {
        let job = &jobs[&id];
        let mut remaining: BTreeSet<usize> = (0..job.tasks.len()).collect();
        remaining.retain(|index| job.tasks[*index] != Progress::Succeeded);
        for output in out {
            if let Output::Ended { task, outcome, .. } = output
                && task.job == id
                && matches!(outcome, task::Outcome::Succeeded(_))
            {
                remaining.remove(&(task.index as usize));
            }
        }
        remaining
    }

    /// Checks that a job succeeds only if every task has succeeded.
    fn succeeded(&mut self, id: id::JobId, jobs: &BTreeMap<id::JobId, Job>, out: &[Output]) {
        let remaining = Self::unfinished(id, jobs, out);
        if !remaining.is_empty() || jobs[&id].cancelled {
            self.fail(format!("job {id} is reported as succeeded without {remaining:?}"));
        }
    }

    /// Returns whether the leases of a team exceed an amount.
    pub fn exceeds_allotment(&self, team: id::TeamId, allotment: &resource::Amount) -> bool {
        !self.team_usage(team, false).fits(allotment)
    }

    /// Returns the worker of each lease of a job.
    pub fn places(&self, job: id::JobId) -> Vec<id::WorkerId> {
        let leases = self.leases.values().filter(|lease| lease.task.job == job);
        leases.map(|lease| lease.worker).collect()
    }
}
