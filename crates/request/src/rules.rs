//! Switches for single rules, with which tests check that they detect a violation of each rule.

/// Rules that the decisions follow; a daemon always enforces all of them.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each rule is switched on its own")]
pub struct Rules {
    /// A non-repeatable request is retried only if no attempt can have run it.
    pub retry_only_when_not_run: bool,
    /// Retries and hedges are charged to the budget of their flow.
    pub retry_budget: bool,
    /// At most half of the targets of a service are ejected at the same time.
    pub ejection_bound: bool,
    /// A departing target is not picked.
    pub skip_departing: bool,
    /// A VM stays within its allotment of a target's connections.
    pub connection_allotment: bool,
    /// The queues have a maximum length.
    pub queue_bound: bool,
    /// The next request comes from the queue with the lowest virtual time.
    pub fair_queues: bool,
    /// An owner stays within its limit of requests in flight.
    pub team_limit: bool,
    /// Traffic to other regions stays within its budget.
    pub remote_budget: bool,
    /// The retry decision takes all attempts of a request into account, not only the last.
    pub keep_run_history: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            retry_only_when_not_run: true,
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
