//! What the leader knows about one life of a worker.
//!
//! Invariant: `used` is the sum of the sizes of `runs`; a run is in `runs` from the moment at which its start is
//! proposed until its end is known for certain.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use bronzespoke_model::resource;
use bronzespoke_workload::{directive, worker as announced};

use crate::{orphan, progress};

/// Largest difference between the rates of two steady clocks, as the platform states it.
pub const CLOCK_DRIFT: f64 = 0.02;
/// Failed starts and runs in a row after which a worker gets no work for a while. Two can be chance where 3% of the
/// jobs fail by themselves; three in a row are one in 37,000.
pub const SUSPECT_AFTER: u32 = 3;

/// Bits of a fencing token below the term; a cell sees fewer lives of workers.
const INCARNATION_BITS: u32 = 24;

/// Fencing token of the orders to one life of a worker.
///
/// It grows with the term, and with each life: a worker that returns under its name refuses what was meant for its
/// former life as soon as it has taken one order of its own.
pub const fn fencing_token(term: directive::Token, worker: u32) -> directive::Token {
    (term << INCARNATION_BITS) | worker as u64
}

/// What is known of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The start is proposed and not committed.
    Proposed,
    /// The order is under way.
    Sent,
    /// The order got no answer: the run may have started, or may still start before its lease ends.
    Unacknowledged,
    /// Placed by an earlier leader; the first report decides.
    Inherited,
    /// The worker has confirmed it, at this time.
    Running(Duration),
}

/// A run on the worker, or on its way there.
#[derive(Debug, Clone)]
pub struct Run {
    /// Number of the start.
    pub run: directive::Run,
    /// What it uses.
    pub size: resource::Amount,
    /// Team whose limit it counts against.
    pub team: Option<String>,
    /// What is known of it.
    pub phase: Phase,
    /// When the phase began.
    pub since: Duration,
    /// When the start was decided.
    pub decided: Duration,
    /// End of the lease that the start order named, on the worker's clock.
    pub lease_end: Duration,
    /// When it is expected to end, in local time.
    pub expected_end: Duration,
    /// Whether it is a member of a gang, whose slowest member decides.
    pub gang: bool,
    /// Run time that was expected at its start.
    pub run_time: Duration,
    /// Progress that reports have shown.
    pub progress: Option<progress::Progress>,
    /// Whether the run is to be stopped.
    pub stop: Stop,
    /// Newest stored progress that was seen.
    pub checkpoint: Option<bytes::Bytes>,
}

/// State of the wish to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// It may go on.
    NotRequested,
    /// It is to be stopped; the order was last sent at this time.
    Requested(Option<Duration>),
    /// The worker has answered the order to stop at this time.
    Acknowledged(Duration),
}

/// Sample of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// What the worker's clock showed.
    pub clock: Duration,
    /// Local time at which its answer had arrived.
    pub at: Duration,
}

/// One life of a worker.
#[derive(Debug)]
pub struct Worker {
    /// Life.
    pub incarnation: announced::Incarnation,
    /// What it is.
    pub announced: Arc<announced::Worker>,
    /// Whether it leaves.
    pub draining: bool,
    /// Runs on it.
    pub runs: BTreeMap<directive::Task, Run>,
    /// Sum of their sizes.
    pub used: resource::Amount,
    /// Runs that it has or may get without being meant to.
    pub orphans: orphan::Orphans,
    /// Newest sample of its clock.
    pub sample: Option<Sample>,
    /// Latest end of a lease that any order has named, on its clock.
    pub lease_end: Duration,
    /// Local time after which no lease of an earlier leader can be in force.
    pub inherited_until: Duration,
    /// Highest number of an end that was listed.
    pub listed_end: u64,
    /// Highest number of an end that is recorded.
    pub recorded_end: u64,
    /// Listed ends whose record is not committed yet: highest number of each proposal.
    pub proposed_ends: VecDeque<u64>,
    /// When the outstanding report was asked for.
    pub report_requested_at: Option<Duration>,
    /// When the next report is to be asked for.
    pub next_report_at: Duration,
    /// Whether the last question for a report had no answer.
    pub report_missed: bool,
    /// Earliest local time at which it goes, if it leaves and has said when.
    pub departs_at: Option<Duration>,
    /// When the last report came.
    pub last_report_at: Option<Duration>,
    /// Failures in a row, of distinct jobs.
    pub failures: u32,
    /// Job of the newest failure.
    pub failed_job: Option<u64>,
    /// No work before this time.
    pub suspect_until: Duration,
    /// How often it was suspected in a row.
    pub suspicions: u32,
}

/// Clocks are told in whole milliseconds, and a later life begins at least half a second after the one before.
const CLOCK_STEP: Duration = Duration::from_millis(20);

impl Worker {
    /// Returns a machine that has not reported yet.
    pub fn new(
        incarnation: announced::Incarnation,
        announced: Arc<announced::Worker>,
        draining: bool,
        now: Duration,
        inherited_until: Duration,
    ) -> Self {
        Self {
            incarnation,
            announced,
            draining,
            runs: BTreeMap::new(),
            used: resource::Amount::ZERO,
            orphans: orphan::Orphans::default(),
            sample: None,
            lease_end: Duration::ZERO,
            inherited_until,
            listed_end: 0,
            recorded_end: 0,
            proposed_ends: VecDeque::new(),
            report_requested_at: None,
            next_report_at: now,
            report_missed: false,
            departs_at: None,
            last_report_at: None,
            failures: 0,
            failed_job: None,
            suspect_until: Duration::ZERO,
            suspicions: 0,
        }
    }

    /// Room that is left.
    pub fn free(&self) -> resource::Amount {
        let used = add(self.used, self.orphans.used());
        self.announced.room.saturating_sub(&used)
    }

    /// Lower bound of the worker's clock at a local time.
    pub fn clock(&self, now: Duration) -> Option<Duration> {
        let sample = self.sample?;
        let passed = now.saturating_sub(sample.at);
        Some(sample.clock + passed.mul_f64(1.0 - CLOCK_DRIFT))
    }

    /// Tells whether a clock that an answer shows cannot be this life's: a life that began later shows less. `sent` is when
    /// the order was sent.
    pub fn is_of_later_incarnation(&self, sent: Duration, clock: Duration) -> bool {
        let Some(sample) = self.sample else { return false };
        let earlier = sample.at.saturating_sub(sent);
        let then = self.clock(sent).unwrap_or_default().saturating_sub(earlier);
        clock + CLOCK_STEP < then
    }

    /// Tells whether every lease that anyone granted has run out.
    pub fn leases_expired(&self, now: Duration) -> bool {
        now >= self.inherited_until && self.clock(now).is_none_or(|clock| clock > self.lease_end)
    }

    /// Adds a run.
    pub fn add(&mut self, task: directive::Task, run: Run) {
        let size = run.size;
        if let Some(former) = self.runs.insert(task, run) {
            self.used = self.used.saturating_sub(&former.size);
        }
        self.used = add(self.used, size);
    }

    /// Removes a run of a number.
    pub fn remove(&mut self, task: directive::Task, run: directive::Run) -> Option<Run> {
        if self.runs.get(&task)?.run != run {
            return None;
        }
        let removed = self.runs.remove(&task)?;
        self.used = self.used.saturating_sub(&removed.size);
        Some(removed)
    }

    /// Notes a run that failed; several failures of one job count once.
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
        // One more failure after the pause is enough.
        self.failures = SUSPECT_AFTER - 1;
        true
    }

    /// Notes that a run stands still: the worker gets no work for a while.
    pub fn record_stall(&mut self, now: Duration, pause: Duration) {
        self.suspicions += 1;
        self.suspect_until = self.suspect_until.max(now + pause);
    }

    /// Notes a run that is done.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.failed_job = None;
        self.suspicions = 0;
    }
}

/// Adds two amounts; sums that do not fit stay at the largest value.
pub const fn add(left: resource::Amount, right: resource::Amount) -> resource::Amount {
    resource::Amount::new(
        left.cpu_milli.saturating_add(right.cpu_milli),
        left.memory_mib.saturating_add(right.memory_mib),
        left.accelerators.saturating_add(right.accelerators),
    )
}
