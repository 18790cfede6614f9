//! Statements as typed values.

use bronzespoke_model::{config, id, resource, team};
use serde::{Deserialize, Serialize};

/// One line of the language.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Statement {
    /// Reads state; may be answered by any process and repeated freely.
    Query(Query),
    /// Changes state; carries a command id so that a resend is safe.
    Command(Command),
}

/// A question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Query {
    /// `show tasks`: what runs where.
    Tasks(Filter),
    /// `show jobs`.
    Jobs(Filter),
    /// `show teams`: shares and upper limits.
    Teams,
    /// `show keys`: hashes of the granted keys.
    Keys(Filter),
    /// `show holdings`: who holds what, by team and availability zone.
    Holdings(Filter),
    /// `show targets`.
    Targets(Filter),
    /// `show workers`.
    Workers(Filter),
    /// `show services`.
    Services,
    /// `show queues`: open queues.
    Queues,
    /// `show config`: the accepted configuration and its version.
    Config,
    /// `show versions`: the configuration version in force in each availability zone and process.
    Versions,
    /// `show members`: members and leaders of the groups.
    Members,
    /// `show old-callers`: who still uses the version-1 interface.
    OldCallers,
    /// `why job J`: why a job waits or can never run.
    Why {
        /// The job.
        job: id::JobId,
    },
}

/// Conditions of a `where` part; all that are present must hold.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Filter {
    /// Name of the team.
    pub team: Option<String>,
    /// Name of the service.
    pub service: Option<String>,
    /// Job.
    pub job: Option<id::JobId>,
    /// Worker.
    pub worker: Option<id::WorkerId>,
    /// Availability zone.
    pub zone: Option<id::AvailabilityZoneId>,
    /// State.
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
    /// Task: told to stop, not confirmed.
    Stopping,
    /// Job: every task succeeded.
    Succeeded,
    /// Job: the retry budget is spent.
    Failed,
    /// Job: cancelled.
    Cancelled,
    /// Job: can never run as it is.
    Impossible,
    /// Worker or target: in use.
    Ready,
    /// Worker or target: takes no new work.
    Draining,
    /// Worker or target: takes a little work after many failures.
    Probation,
    /// Worker or target: out of contact.
    Lost,
}

/// A change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// `create team`.
    CreateTeam {
        /// Name, unique in the cell.
        name: String,
        /// Share and upper limits.
        quota: team::Quota,
    },
    /// `set team`.
    SetTeam {
        /// Name of the team.
        name: String,
        /// What changes.
        change: QuotaChange,
    },
    /// `grant key`.
    GrantKey {
        /// Name of the team.
        team: String,
        /// Hash of the key; without it, the daemon generates a key and shows it once. Keys are not stored, so a resend
        /// cannot show it again.
        hash: Option<team::KeyHash>,
    },
    /// `withdraw key`.
    WithdrawKey {
        /// First lower-case hexadecimal digits of the hash; must match one key only.
        prefix: String,
    },
    /// `create service`.
    CreateService {
        /// Name, unique in the cell.
        name: String,
    },
    /// `create queue`.
    CreateQueue {
        /// Name, unique in the cell.
        name: String,
        /// Name of the service that answers.
        service: String,
        /// Requests that may be in flight fleet-wide.
        requests: u32,
    },
    /// `drain`: no new work.
    Drain(Node),
    /// `undrain`: takes new work again.
    Undrain(Node),
    /// `set config`.
    SetConfig {
        /// What changes.
        change: ConfigChange,
        /// Version that the change starts from; the command is refused when another version is in force.
        expect: id::ConfigVersion,
    },
    /// `cancel job`.
    CancelJob {
        /// The job.
        job: id::JobId,
    },
    /// `cancel jobs of team`.
    CancelJobs {
        /// Name of the team.
        team: String,
    },
    /// `add member`.
    AddMember {
        /// VM that becomes a voter.
        vm: id::VmId,
        /// Group.
        group: id::GroupId,
    },
    /// `remove member`.
    RemoveMember {
        /// Voter that leaves.
        vm: id::VmId,
        /// Group.
        group: id::GroupId,
    },
    /// `declare zone lost`.
    DeclareLost {
        /// Availability zone whose VMs and workers are physically gone.
        zone: id::AvailabilityZoneId,
    },
}

/// What a drain applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Node {
    /// A worker.
    Worker(id::WorkerId),
    /// A target.
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
    /// New longest time of a request, in milliseconds.
    pub request_deadline_ms: Option<u32>,
    /// New largest request body, in bytes.
    pub request_body_bytes: Option<u32>,
    /// New retries per hundred requests.
    pub retry_percent: Option<u32>,
    /// New bytes per second from one VM to targets in other regions.
    pub remote_bytes_per_second: Option<u32>,
    /// Whether the version-1 interface is served.
    pub version_one: Option<bool>,
    /// New bound on stops per second for urgent work.
    pub preemptions_per_second: Option<u32>,
    /// New bound on starts per second after a loss.
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

const fn or(change: Option<u32>, current: u32) -> u32 {
    match change {
        Some(value) => value,
        None => current,
    }
}
