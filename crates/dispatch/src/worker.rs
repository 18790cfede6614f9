//! The leader's record of one incarnation of a worker.
//!
//! Invariant: `used` is the sum of the sizes of `runs`. A run is in `runs` from the proposal of its start until its
//! end is confirmed.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_workload::{directive, worker as announced};

use crate::{ends, orphan, progress};

/// Maximum relative difference between the rates of two monotonic clocks, as the platform states it.
pub const CLOCK_DRIFT: f64 = 0.02;
/// Number of consecutive failed starts and runs after which a worker gets no work for a while. Where 3% of the jobs
/// fail by themselves, two failures can be chance, while three consecutive ones have a probability of one in 37,000.
pub const SUSPECT_AFTER: u32 = 3;

/// Tolerance in the comparison of clocks: they are reported in whole milliseconds. A later incarnation starts at least
/// half a second after the previous one.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(20);

/// Minimum lease of a draining worker. The tasks of one that has left wait until its lease has expired, so that it is
/// shorter than that of other workers; it has to outlast the loss of a leader.
const DRAINING_LEASE: Duration = Duration::from_secs(3);

/// Bits of a fencing token below the term; a cell registers fewer incarnations of workers.
const INCARNATION_BITS: u32 = 24;

/// Phase of a run as far as the leader knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The start is proposed and not committed.
    Proposed,
    /// The start directive has been sent and not answered.
    Sent,
    /// The start directive was not acknowledged: the run may have started, or may still start before its lease ends.
    Unacknowledged,
    /// The run was placed by an earlier leader; the first report decides whether it exists.
    Inherited,
    /// The worker confirmed the run at this time.
    Running(Duration),
}

/// A run on the worker, or one whose start is under way.
#[derive(Debug, Clone)]
pub struct Run {
    /// Number of the run.
    pub run: directive::Run,
    /// Resources that it uses.
    pub size: resource::Amount,
    /// Team whose upper limit it counts against.
    pub team: Option<String>,
    /// Current phase.
    pub phase: Phase,
    /// Time at which the phase began.
    pub since: Duration,
    /// Time at which the start was decided.
    pub decided: Duration,
    /// End of the lease in the start directive, on the worker's clock.
    pub lease_end: Duration,
    /// Local time until which the start directive is repeated. The lease alone is no bound, since late answers set the estimate
    /// of the worker's clock back.
    pub repeat_until: Duration,
    /// Whether an answer to its start directive is outstanding.
    pub awaits_answer: bool,
    /// Expected end, in local time; `None` if it lasts until its job is cancelled.
    pub expected_end: Option<Duration>,
    /// Whether it is a member of a gang, which proceeds at the speed of its slowest member.
    pub gang: bool,
    /// Run time that was expected at the start.
    pub run_time: Duration,
    /// Progress according to the reports.
    pub progress: Option<progress::Progress>,
    /// Whether the run is to be stopped.
    pub stop: Stop,
    /// Newest checkpoint that was reported.
    pub checkpoint: Option<bytes::Bytes>,
}

impl Run {
    /// Returns the time at which the run is expected to end as seen at `now`; `None` if it lasts. One that is overdue is
    /// expected to take as long again.
    pub fn projected_end(&self, now: Duration) -> Option<Duration> {
        let expected = self.expected_end?;
        Some(expected.max(now + now.saturating_sub(expected)))
    }
}

/// State of the stop of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// The run is not to be stopped.
    NotRequested,
    /// The run is to be stopped; contains the time at which the stop was last sent.
    Requested(Option<Duration>),
    /// The worker acknowledged the stop at this time.
    Acknowledged(Duration),
}

/// Sample of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Time on the worker's clock.
    pub clock: Duration,
    /// Local time at which the answer arrived.
    pub at: Duration,
}

/// Record of one incarnation of a worker.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each property of a worker is independent"
)]
pub struct Worker {
    /// Name and start time of the incarnation.
    pub incarnation: announced::Incarnation,
    /// Part of the fencing token below the term; the index of the incarnation, or a higher one.
    pub fence: cell::WorkerIndex,
    /// Description that the worker announced.
    pub announced: Arc<announced::Worker>,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether its availability zone is evacuated, so that it gets no new tasks.
    pub evacuated: bool,
    /// Local time until which it is slow after its start.
    pub cold_until: Duration,
    /// Runs that are placed on it.
    pub runs: BTreeMap<directive::Task, Run>,
    /// Sum of the sizes of `runs`.
    pub used: resource::Amount,
    /// Runs that it has or may get although they should not be there.
    pub orphans: orphan::Orphans,
    /// Newest sample of its clock.
    pub sample: Option<Sample>,
    /// Whether directives to an earlier incarnation with its name may have reached it.
    pub succeeds: bool,
    /// Latest end of the lease that any directive may have given to it, on its clock.
    pub lease_end: Duration,
    /// Local time after which no lease that an earlier leader granted can be valid.
    pub inherited_until: Duration,
    /// Ends that it has reported.
    pub ends: ends::Ends,
    /// Number of proposals of ends that are not committed.
    pub proposals: u32,
    /// Time at which the outstanding report was requested.
    pub report_requested_at: Option<Duration>,
    /// Time at which the next report is to be requested.
    pub next_report_at: Duration,
    /// Whether the last request for a report was not answered.
    pub report_missed: bool,
    /// Time of an unverified announcement by which another incarnation has its name or its address, or of an unverified
    /// notice that it has left.
    pub claimed_at: Option<Duration>,
    /// Time of a notice that it has left, since which it has not answered.
    pub noticed_at: Option<Duration>,
    /// Earliest local time at which it leaves, if it is draining and has announced a time.
    pub departs_at: Option<Duration>,
    /// Time at which the last report arrived.
    pub last_report_at: Option<Duration>,
    /// Number of consecutive failures, counting each job once.
    pub failures: u32,
    /// Job of the newest failure.
    pub failed_job: Option<u64>,
    /// Time before which it gets no work.
    pub suspect_until: Duration,
    /// Number of consecutive suspicions.
    pub suspicions: u32,
}

impl Worker {
    /// Creates the record of a worker that has not reported yet.
    pub fn new(
        index: cell::WorkerIndex,
        registered: &cell::Registered,
        now: Duration,
        inherited_until: Duration,
    ) -> Self {
        Self {
            incarnation: registered.incarnation.clone(),
            fence: index,
            announced: Arc::clone(&registered.worker),
            draining: registered.draining,
            evacuated: false,
            cold_until: Duration::ZERO,
            runs: BTreeMap::new(),
            used: resource::Amount::ZERO,
            orphans: orphan::Orphans::default(),
            sample: None,
            succeeds: registered.succeeds,
            lease_end: Duration::ZERO,
            inherited_until,
            ends: ends::Ends::default(),
            proposals: 0,
            report_requested_at: None,
            next_report_at: now,
            report_missed: false,
            claimed_at: None,
            noticed_at: None,
            departs_at: None,
            last_report_at: None,
            failures: 0,
            failed_job: None,
            suspect_until: Duration::ZERO,
            suspicions: 0,
        }
    }

    /// Returns the fencing token of the directives to this incarnation in a term.
    ///
    /// It grows with the term and with each incarnation: a worker that returns under its name refuses directives to its
    /// earlier incarnation as soon as it has received one of its own.
    pub const fn fencing_token(&self, term: directive::Token) -> directive::Token {
        (term << INCARNATION_BITS) | self.fence as u64
    }

    /// Requests a report immediately, because an unverified message says that the worker is gone. Until it arrives, no
    /// lease is renewed: another incarnation with this name would receive it.
    pub fn verify_claim(&mut self, now: Duration) {
        // Messages may be repeated at any rate: the request that an earlier one has caused is not repeated with them.
        let is_asked = self.claimed_at.is_some() && self.report_requested_at.is_some();
        self.claimed_at = Some(now);
        if !is_asked {
            self.report_requested_at = None;
            self.next_report_at = now;
        }
    }

    /// Handles a report that was requested at a time: claims and notices from before it are refuted.
    pub fn refute_claims(&mut self, requested_at: Duration) {
        self.claimed_at = self.claimed_at.filter(|claimed_at| requested_at < *claimed_at);
        self.noticed_at = self.noticed_at.filter(|noticed_at| requested_at < *noticed_at);
    }

    /// Returns the duration to which a request for a report renews the lease; `longest` is that of a worker that is not
    /// draining.
    pub fn lease(&self, now: Duration, longest: Duration) -> Duration {
        if !self.draining {
            return longest;
        }
        let remaining = self.departs_at.unwrap_or_default().saturating_sub(now);
        remaining.max(DRAINING_LEASE).min(longest)
    }

    /// Returns whether it may be sent starts, as far as its own announcement and operators' orders are concerned.
    pub const fn accepts_starts(&self) -> bool {
        !self.draining && !self.evacuated
    }

    /// Returns whether it is slow because it has started recently.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns whether another incarnation with its name may receive its directives.
    pub const fn may_be_replaced(&self) -> bool {
        self.report_missed || self.claimed_at.is_some()
    }

    /// Returns the free resources.
    pub fn free(&self) -> resource::Amount {
        let used = add(self.used, self.orphans.used());
        self.announced.room.saturating_sub(&used)
    }

    /// Returns a lower bound of the worker's clock at a local time.
    pub fn clock(&self, now: Duration) -> Option<Duration> {
        let sample = self.sample?;
        let passed = now.saturating_sub(sample.at);
        Some(sample.clock + passed.mul_f64(1.0 - CLOCK_DRIFT))
    }

    /// Returns whether the clock in an answer belongs to a later incarnation, whose clock shows less. `sent` is the
    /// time at which the directive was sent.
    pub fn is_of_later_incarnation(&self, sent: Duration, clock: Duration) -> bool {
        let Some(sample) = self.sample else { return false };
        let earlier = sample.at.saturating_sub(sent);
        let then = self.clock(sent).unwrap_or_default().saturating_sub(earlier);
        clock + CLOCK_TOLERANCE < then
    }

    /// Handles the first report in a term, which shows that the worker has received a fencing token of this term and of
    /// its own incarnation.
    ///
    /// Until then, it may have carried out directives to an earlier incarnation with its name. The lease in them ends at
    /// a time on another clock, and is only bounded by `longest_lease`.
    pub fn first_report(&mut self, clock: Duration, longest_lease: Duration) {
        if self.succeeds {
            self.lease_end = self.lease_end.max(clock + longest_lease);
        }
    }

    /// Returns whether every lease that any leader granted has expired.
    pub fn leases_expired(&self, now: Duration) -> bool {
        now >= self.inherited_until && self.clock(now).is_none_or(|clock| clock > self.lease_end)
    }

    /// Adds a run, replacing an earlier run of the same task.
    pub fn add(&mut self, task: directive::Task, run: Run) {
        let size = run.size;
        if let Some(replaced) = self.runs.insert(task, run) {
            self.used = self.used.saturating_sub(&replaced.size);
        }
        self.used = add(self.used, size);
    }

    /// Removes a run of a task if it has the given number.
    pub fn remove(&mut self, task: directive::Task, run: directive::Run) -> Option<Run> {
        if self.runs.get(&task)?.run != run {
            return None;
        }
        let removed = self.runs.remove(&task)?;
        self.used = self.used.saturating_sub(&removed.size);
        Some(removed)
    }

    /// Records a failed run; several failures of one job count once.
    ///
    /// Returns whether the worker is suspected from now on.
    pub fn record_failure(&mut self, now: Duration, job: u64, pause: Duration) -> bool {
        if self.failed_job == Some(job) && self.failures > 0 {
            return false;
        }
        self.failed_job = Some(job);
        self.failures += 1;
        if self.failures < SUSPECT_AFTER {
            return false;
        }
        self.suspicions += 1;
        self.suspect_until = now + pause;
        // One more failure after the pause makes the worker suspected again.
        self.failures = SUSPECT_AFTER - 1;
        true
    }

    /// Records a stalled run: the worker gets no work for a while.
    pub fn record_stall(&mut self, now: Duration, pause: Duration) {
        self.suspicions += 1;
        self.suspect_until = self.suspect_until.max(now + pause);
    }

    /// Records a completed run.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.failed_job = None;
        self.suspicions = 0;
    }
}

/// Returns the sum of two amounts; each dimension saturates.
pub const fn add(left: resource::Amount, right: resource::Amount) -> resource::Amount {
    resource::Amount::new(
        left.cpu_milli.saturating_add(right.cpu_milli),
        left.memory_mib.saturating_add(right.memory_mib),
        left.accelerators.saturating_add(right.accelerators),
    )
}
