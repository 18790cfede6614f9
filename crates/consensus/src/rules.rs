//! Switches for single safety rules, so that tests can show that their checks find a broken rule.

/// Safety rules. All are on outside tests.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each rule is switched off on its own"
)]
pub struct Rules {
    /// Only acknowledgements and votes of voters count.
    pub count_voters_only: bool,
    /// Entries are acknowledged after they are durable.
    pub acknowledge_after_sync: bool,
    /// A vote is made durable before it is given.
    pub persist_vote: bool,
    /// A leader commits entries of older terms only together with one of its own.
    pub commit_current_term_only: bool,
    /// No vote is given while the leader may hold its lease.
    pub reject_vote_under_lease: bool,
    /// A snapshot older than the applied state is not installed.
    pub reject_older_snapshot: bool,
    /// A vote is given only to a candidate whose log is at least as new.
    pub require_up_to_date_log: bool,
    /// The lease of a leader expires.
    pub expire_lease: bool,
    /// A membership change waits for the one before it.
    pub one_change_at_a_time: bool,
    /// A learner is promoted only when it has caught up.
    pub promote_caught_up: bool,
    /// An entry is applied only after the commit index is stored, if the settings ask for it.
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
