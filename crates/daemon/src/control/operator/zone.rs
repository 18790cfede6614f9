//! Queries about jobs, tasks, holdings and workers, answered by the leader of a zone.

use std::collections::BTreeMap;

use bronzespoke_control::{root, zone};
use bronzespoke_language::{
    answer::{self, Kind},
    parse, statement,
};
use bronzespoke_model::{id, job};
use bytes::Bytes;

use crate::control::Controller;

impl Controller {
    /// Answers a query about a zone that this VM leads, as JSON.
    pub(in crate::control) fn query_zone(&self, zone: id::AvailabilityZoneId, line: &str) -> Bytes {
        let answer = match (parse(line), self.zones.get(&zone)) {
            (Ok(statement::Statement::Query(query)), Some(group)) => {
                self.answer_zone(zone, &query, group.state())
            }
            _ => answer::Answer::error(answer::Code::Internal, "the query does not belong to this zone"),
        };
        serde_json::to_vec(&answer).map(Bytes::from).unwrap_or_default()
    }

    fn answer_zone(
        &self,
        zone: id::AvailabilityZoneId,
        query: &statement::Query,
        state: &zone::State,
    ) -> answer::Answer {
        match query {
            statement::Query::Tasks(filter) => answer::Answer::Table(self.tasks(zone, filter, state)),
            statement::Query::Jobs(filter) => answer::Answer::Table(self.jobs(zone, filter, state)),
            statement::Query::Holdings(filter) => answer::Answer::Table(self.holdings(zone, filter, state)),
            statement::Query::Workers(filter) => answer::Answer::Table(self.workers(zone, filter, state)),
            statement::Query::Why { job } => self.why(*job, state),
            _ => answer::Answer::error(answer::Code::Internal, "the query does not belong to a zone"),
        }
    }

    fn team_name(&self, team: id::TeamId) -> String {
        self.root
            .view()
            .teams
            .get(&team)
            .map_or_else(|| team.to_string(), |team| team.name.clone())
    }

    fn matches_team(&self, filter: &statement::Filter, team: id::TeamId) -> bool {
        filter
            .team
            .as_ref()
            .is_none_or(|wanted| *wanted == self.team_name(team))
    }

    fn tasks(
        &self,
        zone: id::AvailabilityZoneId,
        filter: &statement::Filter,
        state: &zone::State,
    ) -> answer::Table {
        let columns = [
            ("zone", Kind::Id),
            ("job", Kind::Text),
            ("task", Kind::Count),
            ("team", Kind::Text),
            ("state", Kind::Text),
            ("worker", Kind::Id),
            ("token", Kind::Id),
        ];
        let mut table = answer::Table::new("tasks", &columns);
        let matches = |wanted: statement::State| filter.state.is_none_or(|state| state == wanted);
        for (task, run) in state.runs() {
            let Some(job) = state.job(task.job) else {
                continue;
            };
            let chosen = matches(statement::State::Running)
                && filter.job.is_none_or(|job| job == task.job)
                && filter.worker.is_none_or(|worker| worker == run.worker)
                && self.matches_team(filter, job.team);
            if chosen {
                table.push(vec![
                    u32::from(zone).into(),
                    job_name(task.job).into(),
                    task.index.into(),
                    self.team_name(job.team).into(),
                    "running".into(),
                    run.worker.into(),
                    run.token.into(),
                ]);
            }
        }
        table
    }

    fn jobs(
        &self,
        zone: id::AvailabilityZoneId,
        filter: &statement::Filter,
        state: &zone::State,
    ) -> answer::Table {
        let columns = [
            ("zone", Kind::Id),
            ("job", Kind::Text),
            ("team", Kind::Text),
            ("kind", Kind::Text),
            ("state", Kind::Text),
            ("tasks", Kind::Count),
            ("running", Kind::Count),
            ("succeeded", Kind::Count),
        ];
        let mut table = answer::Table::new("jobs", &columns);
        for (id, job) in state.jobs() {
            let chosen = filter.job.is_none_or(|wanted| wanted == id)
                && filter.state.is_none_or(|wanted| matches_state(wanted, job.state))
                && self.matches_team(filter, job.team);
            if chosen {
                table.push(vec![
                    u32::from(zone).into(),
                    job_name(id).into(),
                    self.team_name(job.team).into(),
                    format!("{:?}", job.spec.kind).to_lowercase().into(),
                    state_name(job.state).into(),
                    job.spec.tasks.into(),
                    job.running.into(),
                    job.succeeded.into(),
                ]);
            }
        }
        table
    }

    fn holdings(
        &self,
        zone: id::AvailabilityZoneId,
        filter: &statement::Filter,
        state: &zone::State,
    ) -> answer::Table {
        let columns = [
            ("zone", Kind::Id),
            ("team", Kind::Text),
            ("cpu used", Kind::CpuMilli),
            ("cpu part", Kind::CpuMilli),
            ("memory used", Kind::MemoryMib),
            ("memory part", Kind::MemoryMib),
            ("accelerators used", Kind::Count),
            ("accelerators part", Kind::Count),
        ];
        let mut table = answer::Table::new("holdings", &columns);
        for (team, holding) in state
            .holdings()
            .iter()
            .filter(|(team, _)| self.matches_team(filter, *team))
        {
            let allotment = holding.allotment();
            table.push(vec![
                u32::from(zone).into(),
                self.team_name(team).into(),
                holding.used.cpu_milli.into(),
                allotment.cpu_milli.into(),
                holding.used.memory_mib.into(),
                allotment.memory_mib.into(),
                holding.used.accelerators.into(),
                allotment.accelerators.into(),
            ]);
        }
        table
    }

    fn workers(
        &self,
        zone: id::AvailabilityZoneId,
        filter: &statement::Filter,
        state: &zone::State,
    ) -> answer::Table {
        let columns = [
            ("zone", Kind::Id),
            ("worker", Kind::Id),
            ("rack", Kind::Id),
            ("cpu", Kind::CpuMilli),
            ("memory", Kind::MemoryMib),
            ("accelerators", Kind::Count),
            ("tasks", Kind::Count),
            ("state", Kind::Text),
        ];
        let mut table = answer::Table::new("workers", &columns);
        let mut tasks: BTreeMap<id::WorkerId, u32> = BTreeMap::new();
        for (_, run) in state.runs() {
            *tasks.entry(run.worker).or_default() += 1;
        }
        for (id, worker) in state.workers() {
            let draining = self.root.view().is_draining(root::Subject::Worker(id));
            let (name, worker_state) = if worker.gone {
                ("lost", statement::State::Lost)
            } else if draining {
                ("draining", statement::State::Draining)
            } else {
                ("ready", statement::State::Ready)
            };
            let chosen = filter.worker.is_none_or(|wanted| wanted == id)
                && filter.state.is_none_or(|state| state == worker_state);
            if chosen {
                let amount = worker.registration.capacity.amount;
                table.push(vec![
                    u32::from(zone).into(),
                    id.into(),
                    u32::from(worker.registration.rack).into(),
                    amount.cpu_milli.into(),
                    amount.memory_mib.into(),
                    amount.accelerators.into(),
                    tasks.get(&id).copied().unwrap_or_default().into(),
                    name.into(),
                ]);
            }
        }
        table
    }

    fn why(&self, job: id::JobId, state: &zone::State) -> answer::Answer {
        let Some(record) = state.job(job) else {
            return answer::Answer::error(
                answer::Code::NotFound,
                format!("there is no job {}", job_name(job)),
            );
        };
        if record.state.is_terminal() {
            let name = job_name(job);
            return answer::Answer::text(format!("Job {name} has ended: {}.", state_name(record.state)));
        }
        let Some(scheduling) = &self.scheduling else {
            return answer::Answer::error(answer::Code::Unavailable, "the scheduler of the zone is starting");
        };
        let explanation = scheduling.scheduler().explain(job);
        answer::Answer::text(format!(
            "Job {}: {:?}; {} tasks wait, {} run, {} succeeded, {} jobs of the team come first.",
            job_name(job),
            explanation.cause,
            explanation.waiting,
            explanation.running,
            explanation.succeeded,
            explanation.ahead,
        ))
    }
}

fn job_name(job: id::JobId) -> String {
    job.to_string()
}

fn state_name(state: job::State) -> String {
    match state {
        job::State::Waiting => String::from("waiting"),
        job::State::Running => String::from("running"),
        job::State::Succeeded => String::from("succeeded"),
        job::State::Failed => String::from("failed"),
        job::State::Cancelled => String::from("cancelled"),
        job::State::Impossible(reason) => format!("impossible ({reason:?})"),
    }
}

const fn matches_state(wanted: statement::State, state: job::State) -> bool {
    matches!(
        (wanted, state),
        (statement::State::Waiting, job::State::Waiting)
            | (statement::State::Running, job::State::Running)
            | (statement::State::Succeeded, job::State::Succeeded)
            | (statement::State::Failed, job::State::Failed)
            | (statement::State::Cancelled, job::State::Cancelled)
            | (statement::State::Impossible, job::State::Impossible(_))
    )
}
