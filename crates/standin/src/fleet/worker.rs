//! Model of a worker that executes the leader's directives.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_model::resource;
use bronzespoke_workload::directive::{self, Answer, Outcome, Refusal, Run, Task, Token};
use bytes::Bytes;

/// Maximum number of ended runs in one report.
const MAX_ENDS_PER_REPORT: usize = 500;
/// Maximum duration of a lease.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// Time from a stop directive to the end of the run.
const STOP_DURATION: Duration = Duration::from_millis(200);
/// Time for which a member of a gang waits for the other members.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);

/// An active run on a worker.
#[derive(Debug, Clone)]
pub struct Active {
    /// Number of the start.
    pub run: Run,
    /// Resources that the run uses.
    pub size: resource::Amount,
    /// Simulated time of the start.
    pub started: Duration,
    /// Simulated time at which the work is done; `None` while the gang is incomplete, and for work that stalls.
    pub done_at: Option<Duration>,
    /// Simulated time at which a requested stop takes effect; `None` if no stop is requested.
    pub stopped_at: Option<Duration>,
    /// Whether the run waits for the other members of its gang.
    pub awaits_gang: bool,
    /// Whether the run fails instead of succeeding.
    pub fails: bool,
}

/// An incarnation of a worker.
#[derive(Debug)]
pub struct Worker {
    /// Name of the worker; directives to another name are refused.
    pub name: String,
    /// Start time of the incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Resources that the worker offers.
    pub capacity: resource::Amount,
    /// Simulated time at which the worker's clock was zero.
    pub clock_zero: Duration,
    /// Rate of the worker's clock relative to simulated time; the clock may be 2% slow.
    pub clock_rate: f64,
    /// Factor by which run times are multiplied.
    pub slowness: f64,
    /// Whether reports show the progress of runs; otherwise, each run is reported as complete.
    pub reports_progress: bool,
    /// Whether every run that starts on the worker fails.
    pub failing: bool,
    /// Active runs by task.
    pub runs: BTreeMap<Task, Active>,
    /// Highest fencing token received; directives with a lower token are refused.
    pub token: Token,
    lease_end: Duration,
    ended: Vec<directive::Ended>,
    next_end: u64,
    /// Highest run of each task that ended or was stopped.
    highest: HashMap<Task, Run>,
    /// Simulated time of each end, by its number.
    ended_at: HashMap<u64, Duration>,
    lease_expired_at: Option<Duration>,
}

impl Worker {
    /// Returns an incarnation without runs.
    pub fn new(
        name: String,
        started_ms: u64,
        capacity: resource::Amount,
        now: Duration,
        clock_rate: f64,
    ) -> Self {
        Self {
            name,
            started_ms,
            capacity,
            clock_zero: now,
            clock_rate,
            slowness: 1.0,
            reports_progress: false,
            failing: false,
            runs: BTreeMap::new(),
            token: 0,
            lease_end: Duration::ZERO,
            ended: Vec::new(),
            next_end: 1,
            highest: HashMap::new(),
            ended_at: HashMap::new(),
            lease_expired_at: None,
        }
    }

    /// Returns the reading of the worker's clock.
    pub fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.clock_zero).mul_f64(self.clock_rate)
    }

    /// Returns the resources that the runs use.
    pub fn used(&self) -> resource::Amount {
        let mut used = resource::Amount::ZERO;
        for run in self.runs.values() {
            used = used
                .checked_add(&run.size)
                .expect("runs of one worker do not overflow");
        }
        used
    }

    /// Executes a directive. Returns the answer, and the run to start if the directive is an accepted start.
    pub fn execute(
        &mut self,
        now: Duration,
        token: Token,
        name: &str,
        directive: &directive::Directive,
    ) -> (Answer, Option<(Task, Run)>) {
        let clock = self.clock(now);
        if name != self.name {
            let refused = Answer::Refused {
                reason: Refusal::OtherIncarnation,
                clock: None,
            };
            return (refused, None);
        }
        if token < self.token {
            return (refuse(Refusal::Fenced, clock), None);
        }
        self.token = token;
        match directive {
            directive::Directive::Start {
                task, run, lease_end, ..
            } => self.start(clock, *task, *run, *lease_end),
            directive::Directive::Stop { task, run } => {
                let highest = self.highest.entry(*task).or_default();
                *highest = (*highest).max(*run);
                if let Some(active) = self.runs.get_mut(task).filter(|active| active.run <= *run) {
                    active.stopped_at.get_or_insert(now + STOP_DURATION);
                }
                (Answer::Done { clock }, None)
            }
            directive::Directive::Renew {
                lease_end,
                acknowledged,
                ..
            } => {
                if let Some(end) = lease_end {
                    self.extend(clock, *end);
                }
                self.ended.retain(|ended| ended.number > *acknowledged);
                (Answer::Report(self.report(clock)), None)
            }
            directive::Directive::Throttle { .. } => (Answer::Done { clock }, None),
        }
    }

    fn extend(&mut self, clock: Duration, end: Duration) {
        self.lease_end = self.lease_end.max(end.min(clock + MAX_LEASE));
    }

    fn start(
        &mut self,
        clock: Duration,
        task: Task,
        run: Run,
        lease_end: Duration,
    ) -> (Answer, Option<(Task, Run)>) {
        if self.runs.get(&task).is_some_and(|active| active.run == run) {
            return (Answer::Done { clock }, None);
        }
        if self.highest.get(&task).is_some_and(|highest| run <= *highest) {
            self.extend(clock, lease_end);
            return (refuse(Refusal::Outdated, clock), None);
        }
        if lease_end <= clock {
            return (refuse(Refusal::Late, clock), None);
        }
        self.extend(clock, lease_end);
        (Answer::Done { clock }, Some((task, run)))
    }

    /// Returns a report, without renewing the lease.
    pub fn report(&self, clock: Duration) -> directive::Report {
        directive::Report {
            clock,
            started_ms: Some(self.started_ms),
            running: self
                .runs
                .iter()
                .map(|(task, active)| directive::Running {
                    task: *task,
                    run: active.run,
                    checkpoint: None,
                    percent: self.percent(active, clock),
                    load: None,
                })
                .collect(),
            ended: self.ended.iter().take(MAX_ENDS_PER_REPORT).cloned().collect(),
            truncated: self.ended.len() >= MAX_ENDS_PER_REPORT,
        }
    }

    /// Returns the completed share of a run.
    fn percent(&self, active: &Active, clock: Duration) -> u8 {
        if !self.reports_progress {
            return 100;
        }
        let now = self.clock_zero + clock.div_f64(self.clock_rate);
        let Some(done_at) = active.done_at else { return 0 };
        let total = done_at.saturating_sub(active.started).as_secs_f64();
        let passed = now.saturating_sub(active.started).as_secs_f64();
        (passed / total.max(0.001) * 100.0).min(100.0) as u8
    }

    /// Returns whether the next report contains ended runs.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns the ends up to a number, with their times, except those before the latest expiry of the lease. Whoever
    /// acknowledges an end has recorded it, unless the lease has expired since.
    pub fn ends_up_to(&self, acknowledged: u64) -> Vec<(directive::Ended, Duration)> {
        let mut ends = Vec::new();
        for ended in self.ended.iter().filter(|ended| ended.number <= acknowledged) {
            let at = self.ended_at.get(&ended.number).copied().unwrap_or_default();
            if self.lease_expired_at.is_none_or(|expired| expired < at) {
                ends.push((ended.clone(), at));
            }
        }
        ends
    }

    /// Ends the run of a task, if there is one, and queues the end for the next report.
    pub fn end(&mut self, now: Duration, task: Task, outcome: Outcome) {
        let Some(active) = self.runs.remove(&task) else {
            return;
        };
        let highest = self.highest.entry(task).or_default();
        *highest = (*highest).max(active.run);
        self.ended.push(directive::Ended {
            number: self.next_end,
            task,
            run: active.run,
            outcome,
            checkpoint: None::<Bytes>,
        });
        self.ended_at.insert(self.next_end, now);
        self.next_end += 1;
    }

    /// Returns the runs that are due to end by `now`, with their outcomes.
    pub fn due(&mut self, now: Duration) -> Vec<(Task, Run, Outcome)> {
        let expired = self.clock(now) > self.lease_end;
        if expired {
            self.lease_expired_at = Some(now);
        }
        let mut due = Vec::new();
        for (task, active) in &self.runs {
            let outcome = if active.stopped_at.is_some_and(|at| now >= at) {
                Outcome::Stopped
            } else if active.done_at.is_some_and(|at| now >= at) {
                if active.fails {
                    Outcome::Failed
                } else {
                    Outcome::Done
                }
            } else if expired {
                Outcome::Lapsed
            } else if active.awaits_gang && now >= active.started + GANG_TIMEOUT {
                Outcome::Alone
            } else {
                continue;
            };
            due.push((*task, active.run, outcome));
        }
        due
    }
}

const fn refuse(reason: Refusal, clock: Duration) -> Answer {
    Answer::Refused {
        reason,
        clock: Some(clock),
    }
}
