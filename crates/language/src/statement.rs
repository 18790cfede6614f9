//! Typed statements.

use bronzespoke_model::{config, id, resource, team};
use serde::{Deserialize, Serialize};

/// A statement, which is one line of the language.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Statement {
    /// Reads state; any process can answer it, and it can be repeated safely.
    Query(Query),
    /// Changes state; has a command id, so that it can be resent safely.
    Command(Command),
}

/// A statement that reads state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Query {
    /// `show tasks`: tasks and the workers that they run on.
    Tasks(Filter),
    /// `show jobs`: jobs and their states.
    Jobs(Filter),
    /// `show teams`: shares and upper limits.
    Teams,
    /// `show keys`: hashes of the granted keys.
    Keys(Filter),
    /// `show holdings`: resources in use by team and availability zone.
    Holdings(Filter),
    /// `show targets`: targets and their states.
    Targets(Filter),
    /// `show workers`: workers and their states.
    Workers(Filter),
    /// `show services`: services that requests can name.
    Services,
    /// `show queues`: open queues.
    Queues,
    /// `show config`: the accepted configuration and its version.
    Config,
    /// `show versions`: the configuration version in force in each availability zone and process.
    Versions,
    /// `show members`: members and leaders of the groups.
    Members,
    /// `show old-callers`: callers that still use the version-1 interface.
    OldCallers,
    /// `why job J`: the reason why a job waits or can never run.
    Why {
        /// Job to explain.
        job: id::JobId,
    },
}

/// Conditions of a `where` clause; all that are present must hold.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Filter {
    /// Name of the team.
    pub team: Option<String>,
    /// Name of the service.
    pub service: Option<String>,
    /// Id of the job.
    pub job: Option<id::JobId>,
    /// Id of the worker.
    pub worker: Option<id::WorkerId>,
    /// Id of the availability zone.
    pub zone: Option<id::AvailabilityZoneId>,
    /// State of the task, job, worker or target.
    pub state: Option<State>,
}

/// State of a task, job, worker or target in a filter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Task or job: not started.
    Waiting,
    /// Task or job: started.
    Running,
    /// Task: instructed to stop; the stop is not confirmed.
    Stopping,
    /// Job: every task succeeded.
    Succeeded,
    /// Job: the retry budget is exhausted.
    Failed,
    /// Job: cancelled by its team or an operator.
    Cancelled,
    /// Job: can never run as specified.
    Impossible,
    /// Worker or target: in use.
    Ready,
    /// Worker or target: accepts no new work.
    Draining,
    /// Worker or target: receives little work after many failures.
    Probation,
    /// Worker or target: out of contact.
    Lost,
}

/// A statement that changes state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// `create team`: creates a team.
    CreateTeam {
        /// Name, unique in the cell.
        name: String,
        /// Fair-share weight and limits.
        quota: team::Quota,
    },
    /// `set team`: changes the quota of a team.
    SetTeam {
        /// Name of the team.
        name: String,
        /// Fields of the quota to change.
        change: QuotaChange,
    },
    /// `grant key`: grants a key to a team.
    GrantKey {
        /// Name of the team.
        team: String,
        /// Hash of the key. Without it, the daemon generates a key and shows it once; keys are not stored, so a resent
        /// command does not show it again.
        hash: Option<team::KeyHash>,
    },
    /// `withdraw key`: withdraws a granted key.
    WithdrawKey {
        /// First lower-case hexadecimal digits of the hash; they must match exactly one key.
        prefix: String,
    },
    /// `create service`: creates a service.
    CreateService {
        /// Name, unique in the cell.
        name: String,
    },
    /// `create queue`: creates an open queue.
    CreateQueue {
        /// Name, unique in the cell.
        name: String,
        /// Name of the service that handles the requests.
        service: String,
        /// Maximum number of requests in flight, fleet-wide.
        requests: u32,
    },
    /// `drain`: stops new work from going to a node.
    Drain(Node),
    /// `undrain`: ends the drain of a node.
    Undrain(Node),
    /// `set config`: changes the configuration.
    SetConfig {
        /// Fields of the configuration to change.
        change: ConfigChange,
        /// Version that the change is based on; the command is refused if another version is in force.
        expect: id::ConfigVersion,
    },
    /// `cancel job`: cancels one job.
    CancelJob {
        /// Job to cancel.
        job: id::JobId,
    },
    /// `cancel jobs of team`: cancels all jobs of a team.
    CancelJobs {
        /// Name of the team.
        team: String,
    },
    /// `add member`: adds a voter to a group.
    AddMember {
        /// VM that becomes a voter.
        vm: id::VmId,
        /// Group that the VM joins.
        group: id::GroupId,
    },
    /// `remove member`: removes a voter from a group.
    RemoveMember {
        /// Voter to remove.
        vm: id::VmId,
        /// Group that the VM leaves.
        group: id::GroupId,
    },
    /// `declare zone lost`: declares an availability zone permanently lost.
    DeclareLost {
        /// Availability zone whose VMs and workers are no longer running.
        zone: id::AvailabilityZoneId,
    },
}

/// Subject of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Node {
    /// A worker, which runs tasks.
    Worker(id::WorkerId),
    /// A target, which handles requests.
    Target(id::TargetId),
    /// A VM that runs a daemon.
    Vm(id::VmId),
}

/// Changes to a team's quota; at least one is present.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct QuotaChange {
    /// New weight.
    pub weight: Option<u32>,
    /// New upper limit of processors, in thousandths of a core.
    pub cpu_milli: Option<u32>,
    /// New upper limit of memory, in MiB.
    pub memory_mib: Option<u32>,
    /// New upper limit of accelerators.
    pub accelerators: Option<u32>,
    /// New limit of requests in flight.
    pub requests: Option<u32>,
}

impl QuotaChange {
    /// Returns a change that sets every field to the value in `quota`.
    pub const fn all(quota: &team::Quota) -> Self {
        Self {
            weight: Some(quota.weight),
            cpu_milli: Some(quota.limit.cpu_milli),
            memory_mib: Some(quota.limit.memory_mib),
            accelerators: Some(quota.limit.accelerators),
            requests: Some(quota.requests),
        }
    }

    /// Returns the quota after the change.
    pub const fn apply(&self, quota: &team::Quota) -> team::Quota {
        team::Quota {
            weight: or(self.weight, quota.weight),
            limit: resource::Amount::new(
                or(self.cpu_milli, quota.limit.cpu_milli),
                or(self.memory_mib, quota.limit.memory_mib),
                or(self.accelerators, quota.limit.accelerators),
            ),
            requests: or(self.requests, quota.requests),
        }
    }
}

/// Changes to the configuration; at least one is present.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConfigChange {
    /// New maximum duration of a request, in milliseconds.
    pub request_deadline_ms: Option<u32>,
    /// New maximum size of a request body, in bytes.
    pub request_body_bytes: Option<u32>,
    /// New maximum of retries per hundred requests.
    pub retry_percent: Option<u32>,
    /// New maximum rate from one VM to targets in other regions, in bytes per second.
    pub remote_bytes_per_second: Option<u32>,
    /// Whether the version-1 interface is served.
    pub version_one: Option<bool>,
    /// New maximum of preemptions per second.
    pub preemptions_per_second: Option<u32>,
    /// New maximum of starts per second while lost work is rescheduled.
    pub recovery_starts_per_second: Option<u32>,
}

impl ConfigChange {
    /// Returns a change that sets every field to the value in `config`.
    pub const fn all(config: &config::Config) -> Self {
        Self {
            request_deadline_ms: Some(config.request_deadline_ms),
            request_body_bytes: Some(config.request_body_bytes),
            retry_percent: Some(config.retry_percent),
            remote_bytes_per_second: Some(config.remote_bytes_per_second),
            version_one: Some(config.version_one),
            preemptions_per_second: Some(config.preemptions_per_second),
            recovery_starts_per_second: Some(config.recovery_starts_per_second),
        }
    }

    /// Returns the configuration after the change.
    pub const fn apply(&self, config: &config::Config) -> config::Config {
        config::Config {
            request_deadline_ms: or(self.request_deadline_ms, config.request_deadline_ms),
            request_body_bytes: or(self.request_body_bytes, config.request_body_bytes),
            retry_percent: or(self.retry_percent, config.retry_percent),
            remote_bytes_per_second: or(self.remote_bytes_per_second, config.remote_bytes_per_second),
            version_one: match self.version_one {
                Some(on) => on,
                None => config.version_one,
            },
            preemptions_per_second: or(self.preemptions_per_second, config.preemptions_per_second),
            recovery_starts_per_second: or(
                self.recovery_starts_per_second,
                config.recovery_starts_per_second,
            ),
        }
    }
}

/// Const form of `Option::unwrap_or`.
const fn or(change: Option<u32>, current: u32) -> u32 {
    match change {
        Some(value) => value,
        None => current,
    }
}
