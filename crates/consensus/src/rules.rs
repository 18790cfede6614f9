//! Switches for individual safety rules. Tests turn one off to verify that their checks detect the violation.

/// Safety rules of a replica. All are enabled outside tests.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each rule can be disabled independently"
)]
pub struct Rules {
    /// Quorums count only the acknowledgements and votes of voters, not those of learners.
    pub count_voters_only: bool,
    /// Entries are acknowledged only after they are durable.
    pub acknowledge_after_sync: bool,
    /// A vote is made durable before it is sent.
    pub persist_vote: bool,
    /// A leader commits entries of earlier terms only together with an entry of its current term.
    pub commit_current_term_only: bool,
    /// Votes are denied while the leader may still hold its lease.
    pub reject_vote_under_lease: bool,
    /// A snapshot older than the applied state is not installed.
    pub reject_older_snapshot: bool,
    /// A vote is granted only to a candidate whose log is at least as up to date.
    pub require_up_to_date_log: bool,
    /// A leader's lease expires when no majority renews it.
    pub expire_lease: bool,
    /// A membership change is rejected until the previous one is committed.
    pub one_change_at_a_time: bool,
    /// A learner is promoted only after it has caught up.
    pub promote_caught_up: bool,
    /// With `Config::store_commit`, an entry is applied only after its commit index is durable.
    pub store_commit: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            count_voters_only: true,
            acknowledge_after_sync: true,
            persist_vote: true,
            commit_current_term_only: true,
            reject_vote_under_lease: true,
            reject_older_snapshot: true,
            require_up_to_date_log: true,
            expire_lease: true,
            one_change_at_a_time: true,
            promote_caught_up: true,
            store_commit: true,
        }
    }
}
