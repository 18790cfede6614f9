//! Configuration of a fleet: queues, pools of workers and teams.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    time::Duration,
};

use bronzespoke_model::resource;
use serde::{Deserialize, Serialize};

/// One complete version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version number chosen by the operator; the highest one takes effect.
    pub version: u64,
    /// Queues in the order of the operator's document.
    pub queues: Vec<Queue>,
    /// Pools that the queues refer to.
    pub pools: Vec<Pool>,
    /// Teams and their keys.
    pub teams: Vec<Team>,
}

/// A queue of jobs, selected by host and path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host that callers address, in lower case.
    pub host: String,
    /// Path prefix; of several matching queues, the one with the longest prefix is selected.
    pub prefix: String,
    /// Name of the pool whose workers run the jobs.
    pub pool: String,
    /// Maximum duration of a call.
    pub timeout: Duration,
    /// Constant part of a job's objective, independent of the amount of work.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task fails permanently.
    pub attempts: u32,
    /// Factor by which a job's critical path is multiplied for its objective.
    pub stretch: f64,
    /// Cost of eligibility queries; `None` if tasks start without a query.
    pub advice: Option<QueryCost>,
    /// Whether the queue accepts calls without a key.
    pub open: bool,
}

/// Cost of the query for which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QueryCost {
    /// Duration of a query, without the part for each worker.
    pub decision: Duration,
    /// Additional duration for each worker that the query names.
    pub per_worker: Duration,
    /// How long a ticket is valid.
    pub valid: Duration,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub name: String,
    /// Path of a worker's health check.
    pub health_path: String,
    /// Maximum number of connections that a worker accepts.
    pub connections: u32,
    /// Whether workers refuse a start that does not fit.
    pub guarded: bool,
    /// Whether the pool's machines are switched off.
    pub standby: bool,
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Keys that authenticate the team.
    pub keys: Vec<String>,
    /// Weight of the team's share when the fleet is full.
    pub weight: f64,
    /// Upper limit on the amount that the team's runs use; 0 in a dimension means no limit.
    pub limit: resource::Amount,
}

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A queue names a pool that the configuration does not define.
    UnknownPool(String, String),
    /// Two queues have the same host and path prefix.
    DuplicateRoute(String, String),
    /// A queue has a timeout of zero.
    NoTimeout(String),
    /// Two teams share a key.
    SharedKey(String, String),
    /// The weight of a team is not above 0.
    NoWeight(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownPool(queue, pool) => write!(f, "queue {queue} names the unknown pool {pool}"),
            Self::DuplicateRoute(first, second) => {
                write!(f, "queues {first} and {second} have the same host and prefix")
            }
            Self::NoTimeout(queue) => write!(f, "queue {queue} has a timeout of 0; at least 1 ms is needed"),
            Self::SharedKey(first, second) => write!(f, "teams {first} and {second} share a key"),
            Self::NoWeight(team) => write!(f, "team {team} has no weight; it must be above 0"),
        }
    }
}

impl Catalog {
    /// Checks the constraints that involve several fields.
    pub fn verify(&self) -> Result<(), Error> {
        self.verify_queues()?;
        self.verify_teams()
    }

    fn verify_queues(&self) -> Result<(), Error> {
        let pools: HashSet<_> = self.pools.iter().map(|pool| pool.name.as_str()).collect();
        let mut routes = HashMap::new();
        for queue in &self.queues {
            if !pools.contains(queue.pool.as_str()) {
                return Err(Error::UnknownPool(queue.name.clone(), queue.pool.clone()));
            }
            if queue.timeout.is_zero() {
                return Err(Error::NoTimeout(queue.name.clone()));
            }
            let route = (queue.host.as_str(), queue.prefix.as_str());
            if let Some(other) = routes.insert(route, queue) {
                return Err(Error::DuplicateRoute(other.name.clone(), queue.name.clone()));
            }
        }
        Ok(())
    }

    fn verify_teams(&self) -> Result<(), Error> {
        let mut owners: HashMap<&str, usize> = HashMap::new();
        for (index, team) in self.teams.iter().enumerate() {
            if team.weight.is_nan() || team.weight <= 0.0 {
                return Err(Error::NoWeight(team.name.clone()));
            }
            for key in &team.keys {
                let owner = *owners.entry(key).or_insert(index);
                if owner != index {
                    let other = &self.teams[owner];
                    return Err(Error::SharedKey(other.name.clone(), team.name.clone()));
                }
            }
        }
        Ok(())
    }

    /// Returns the queue with the longest prefix that matches a path on a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| queue.host == host && path.starts_with(queue.prefix.as_str());
        self.queues
            .iter()
            .filter(matches)
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns whether a pool is defined or a queue uses it.
    pub fn has_pool(&self, name: &str) -> bool {
        let defined = self.pools.iter().any(|pool| pool.name == name);
        defined || self.queues.iter().any(|queue| queue.pool == name)
    }

    /// Returns the queue with a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns the team that holds a key.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        self.teams
            .iter()
            .find(|team| team.keys.iter().any(|known| known == key))
    }

    /// Returns the team with a name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }
}
