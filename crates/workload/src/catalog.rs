//! The configuration of a fleet: queues, pools of workers and teams.

use std::{collections::HashSet, fmt, time::Duration};

use bronzespoke_model::resource;
use serde::{Deserialize, Serialize};

/// One version of the configuration, complete.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version chosen by the operator; the highest one counts.
    pub version: u64,
    /// Queues in the order of the operator's document.
    pub queues: Vec<Queue>,
    /// Pools of workers.
    pub pools: Vec<Pool>,
    /// Teams and their keys.
    pub teams: Vec<Team>,
}

/// A queue of jobs, selected by host and path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Path prefix; the longest one that fits a path selects the queue.
    pub prefix: String,
    /// Pool whose workers run the jobs.
    pub pool: String,
    /// Longest time that a call may take.
    pub timeout: Duration,
    /// Part of a job's objective that does not depend on its work.
    pub objective: Duration,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task has failed for good.
    pub attempts: u32,
    /// Factor between the longest chain of work of a job and its objective.
    pub stretch: f64,
    /// Eligibility service that has to be asked before a start.
    pub advice: Option<Advice>,
    /// Whether calls need no key.
    pub open: bool,
}

/// Cost of asking which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// Time of one question.
    pub decision: Duration,
    /// Further time for each worker that the question names.
    pub per_worker: Duration,
    /// How long a ticket may be used.
    pub valid: Duration,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Path that answers whether a worker is healthy.
    pub health_path: String,
    /// Connections that a worker accepts.
    pub connections: u32,
    /// Whether workers refuse a start that does not fit.
    pub guarded: bool,
    /// Whether the pool's machines are switched off.
    pub standby: bool,
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Keys that act for the team.
    pub keys: Vec<String>,
    /// Share when the fleet is full.
    pub weight: f64,
    /// Upper limit on what the team runs; 0 in a dimension means no limit.
    pub limit: resource::Amount,
}

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A queue names a pool that the configuration does not have.
    UnknownPool(String, String),
    /// Two queues have the same host and prefix.
    SamePlace(String, String),
    /// A queue has a timeout of zero.
    NoTimeout(String),
    /// Two teams share a key.
    SharedKey(String, String),
    /// A team has no weight.
    NoWeight(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownPool(queue, pool) => write!(f, "queue {queue} names the unknown pool {pool}"),
            Self::SamePlace(first, second) => {
                write!(f, "queues {first} and {second} have the same host and prefix")
            }
            Self::NoTimeout(queue) => write!(f, "queue {queue} has a timeout of 0; at least 1 ms is needed"),
            Self::SharedKey(first, second) => write!(f, "teams {first} and {second} share a key"),
            Self::NoWeight(team) => write!(f, "team {team} has no weight; it must be above 0"),
        }
    }
}

impl Catalog {
    /// Checks what a single field cannot show.
    pub fn verify(&self) -> Result<(), Error> {
        self.verify_queues()?;
        self.verify_teams()
    }

    fn verify_queues(&self) -> Result<(), Error> {
        let pools: HashSet<_> = self.pools.iter().map(|pool| pool.name.as_str()).collect();
        for (index, queue) in self.queues.iter().enumerate() {
            if !pools.contains(queue.pool.as_str()) {
                return Err(Error::UnknownPool(queue.name.clone(), queue.pool.clone()));
            }
            if queue.timeout.is_zero() {
                return Err(Error::NoTimeout(queue.name.clone()));
            }
            let same = |other: &&Queue| other.host == queue.host && other.prefix == queue.prefix;
            if let Some(other) = self.queues[..index].iter().find(same) {
                return Err(Error::SamePlace(other.name.clone(), queue.name.clone()));
            }
        }
        Ok(())
    }

    fn verify_teams(&self) -> Result<(), Error> {
        for (index, team) in self.teams.iter().enumerate() {
            if team.weight.is_nan() || team.weight <= 0.0 {
                return Err(Error::NoWeight(team.name.clone()));
            }
            let shares = |other: &&Team| other.keys.iter().any(|key| team.keys.contains(key));
            if let Some(other) = self.teams[..index].iter().find(shares) {
                return Err(Error::SharedKey(other.name.clone(), team.name.clone()));
            }
        }
        Ok(())
    }

    /// Returns the queue with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |queue: &&Queue| queue.host == host && path.starts_with(queue.prefix.as_str());
        self.queues
            .iter()
            .filter(fits)
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue of a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns the team that holds a key.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        self.teams
            .iter()
            .find(|team| team.keys.iter().any(|known| known == key))
    }

    /// Returns the team of a name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }
}
