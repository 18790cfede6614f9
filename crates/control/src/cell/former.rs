//! Reads snapshots in the first format, which stored the progress of every occurrence of a job.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use bronzespoke_model::id;
use bronzespoke_workload::{catalog, job, worker};
use bytes::Bytes;
use serde::Deserialize;

use super::{state, withdrawn};

/// State in the former format.
#[derive(Debug, Deserialize)]
pub(super) struct State {
    catalog: Option<Arc<catalog::Catalog>>,
    document: Bytes,
    workers: BTreeMap<state::WorkerIndex, Registered>,
    next_worker: state::WorkerIndex,
    jobs: BTreeMap<job::Key, Job>,
    active: BTreeSet<job::Key>,
    pending: BTreeMap<String, u64>,
    peers: BTreeMap<id::VmId, SocketAddr>,
}

#[derive(Debug, Deserialize)]
struct Registered {
    incarnation: worker::Incarnation,
    worker: Arc<worker::Worker>,
    draining: bool,
}

#[derive(Debug, Deserialize)]
struct Job {
    key: job::Key,
    queue: Arc<catalog::Queue>,
    team: Option<String>,
    submission: Arc<job::Submission>,
    submitted_ms: u64,
    finished_ms: u64,
    phase: job::Phase,
    occurrences: Vec<state::Occurrence>,
    placed: u32,
}

impl From<State> for state::State {
    fn from(former: State) -> Self {
        let jobs = former.jobs.into_iter();
        let workers = former.workers.into_iter();
        Self {
            catalog: former.catalog,
            document: former.document,
            workers: workers.map(|(index, worker)| (index, worker.into())).collect(),
            next_worker: former.next_worker,
            jobs: jobs.map(|(key, job)| (key, job.into())).collect(),
            active: former.active,
            pending: former.pending,
            peers: former.peers,
            zones: BTreeMap::new(),
            zone_orders: 0,
            speeds: BTreeMap::new(),
            past_use: BTreeMap::new(),
            withdrawn: withdrawn::Withdrawn::default(),
        }
    }
}

impl From<Registered> for state::Registered {
    fn from(former: Registered) -> Self {
        Self {
            incarnation: former.incarnation,
            worker: former.worker,
            draining: former.draining,
            // The former format doesn't say so; counting the longest lease is safe for every worker.
            succeeds: true,
        }
    }
}

impl From<Job> for state::Job {
    fn from(former: Job) -> Self {
        let has_begun = |occurrence: &state::Occurrence| {
            let mut tasks = occurrence.steps.iter().flat_map(|step| &step.tasks);
            tasks.any(|task| task.run > 0 || task.done)
        };
        let begun = match former.submission.schedule {
            None => former.occurrences.len(),
            Some(_) => former
                .occurrences
                .iter()
                .rposition(has_begun)
                .map_or(0, |last| last + 1),
        };
        let mut job = Self {
            key: former.key,
            queue: former.queue,
            team: former.team,
            submission: former.submission,
            submitted_ms: former.submitted_ms,
            finished_ms: former.finished_ms,
            phase: former.phase,
            begun: begun as u32,
            open: (0..).zip(former.occurrences.into_iter().take(begun)).collect(),
            placed: former.placed,
        };
        if !job.is_final() {
            job.open.retain(|_, occurrence| !occurrence.is_completed());
        }
        job
    }
}
