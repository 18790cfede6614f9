//! Evidence that an incarnation of a worker, or its lease, has ended.
//!
//! A task runs twice if the end of its run is assumed and not proved. Runs are therefore recorded as lost only with a
//! [`Proof`], and each of its constructors checks the evidence. Announcements and notices are claims: they may come from
//! anybody and arrive late. They are reasons to ask a worker, and prove nothing about another one.

use std::time::Duration;

use bronzespoke_workload::directive;

use crate::worker;

/// Time without a report after which a worker without runs is removed.
const RETIRE_AFTER: Duration = Duration::from_mins(1);

/// Evidence of the end of an incarnation, or of the lease of all its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Proof {
    evidence: Evidence,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    Lease,
    Departed,
    OtherIncarnation,
    Restarted,
    AddressTaken,
    Silent,
}

impl Proof {
    /// Every lease that any leader may have granted has expired on the worker's clock.
    pub(super) fn lease(record: &worker::Worker, now: Duration) -> Option<Self> {
        record.leases_expired(now).then_some(Evidence::Lease.into())
    }

    /// A draining worker has not answered since a notice of its departure arrived, and its lease has expired.
    ///
    /// The notice alone proves nothing, even if the worker is draining: it names no incarnation, may be a late one of
    /// an earlier incarnation, and is sent before the worker ends.
    pub(super) fn departure(record: &worker::Worker, now: Duration) -> Option<Self> {
        let has_left = record.draining && record.noticed_at.is_some() && record.leases_expired(now);
        has_left.then_some(Evidence::Departed.into())
    }

    /// The worker at its address refused a directive because it has another name.
    pub(super) fn refusal(refusal: directive::Refusal) -> Option<Self> {
        (refusal == directive::Refusal::OtherIncarnation).then_some(Evidence::OtherIncarnation.into())
    }

    /// Another incarnation with its name has answered a directive that was sent after it registered.
    pub(super) fn report(record: &worker::Worker, report: &directive::Report) -> Option<Self> {
        let stated = record.incarnation.started_ms;
        let is_other = report
            .started_ms
            .is_some_and(|started_ms| stated != 0 && started_ms != stated);
        is_other.then_some(Evidence::Restarted.into())
    }

    /// An incarnation that registered later has reported under its own identity, at the address or under the name of
    /// an earlier one.
    pub(super) fn successor(
        earlier: &worker::Worker,
        later: &worker::Worker,
        report: &directive::Report,
    ) -> Option<Self> {
        if earlier.incarnation.name != later.incarnation.name {
            let same_address = earlier.announced.address == later.announced.address;
            return same_address.then_some(Evidence::AddressTaken.into());
        }
        // Both answer to the same name, so that only the start time shows which of them has reported.
        let is_later = report.started_ms == Some(later.incarnation.started_ms);
        is_later.then_some(Evidence::Restarted.into())
    }

    /// The worker has no runs and has not reported for a long time.
    pub(super) fn silence(record: &worker::Worker, now: Duration) -> Option<Self> {
        let is_idle = record.runs.is_empty() && record.proposals == 0;
        let is_silent = now > record.last_report_at.unwrap_or(record.inherited_until) + RETIRE_AFTER;
        (is_idle && is_silent).then_some(Evidence::Silent.into())
    }

    /// Returns whether directives to the incarnation may still be carried out by the next one with its name.
    pub(super) fn leaves_directives(self) -> bool {
        self.evidence != Evidence::Silent
    }

    /// Returns whether the next incarnation with the same name may be at the address. A worker with another name refuses the
    /// directives to this one.
    pub(super) const fn may_have_successor(self) -> bool {
        !matches!(self.evidence, Evidence::OtherIncarnation | Evidence::AddressTaken)
    }

    /// Returns whether the next incarnation with the same name has answered.
    pub(super) fn has_successor(self) -> bool {
        self.evidence == Evidence::Restarted
    }

    /// Returns the evidence as it appears in logs.
    pub(super) const fn name(self) -> &'static str {
        match self.evidence {
            Evidence::Lease => "lease",
            Evidence::Departed => "left",
            Evidence::OtherIncarnation => "other_life",
            Evidence::Restarted => "restarted",
            Evidence::AddressTaken => "address_taken",
            Evidence::Silent => "silent",
        }
    }
}

impl From<Evidence> for Proof {
    fn from(evidence: Evidence) -> Self {
        Self { evidence }
    }
}
