//! Switches for single rules, so that a test can show that it notices when one is broken.

/// Rules of the decisions; all are on in a daemon.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each rule is switched on its own")]
pub struct Rules {
    /// A non-repeatable request is sent again only when it certainly did not run.
    pub repeat_only_when_not_run: bool,
    /// Retries take from the budget.
    pub retry_budget: bool,
    /// At most half of the targets of a service are ejected.
    pub ejection_bound: bool,
    /// A departing target is not picked.
    pub skip_departing: bool,
    /// A VM keeps to its part of a target's connections.
    pub connection_allotment: bool,
    /// Queues are bounded.
    pub queue_bound: bool,
    /// The next request comes from the team that is furthest below its share.
    pub fair_queues: bool,
    /// A team keeps to its limit of requests in flight.
    pub team_limit: bool,
    /// Bytes to other regions stay within the budget.
    pub remote_budget: bool,
    /// What is known about a run is kept over all attempts of a request.
    pub keep_run_history: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            repeat_only_when_not_run: true,
            retry_budget: true,
            ejection_bound: true,
            skip_departing: true,
            connection_allotment: true,
            queue_bound: true,
            fair_queues: true,
            team_limit: true,
            remote_budget: true,
            keep_run_history: true,
        }
    }
}
