//! A worker that takes orders, as the platform describes it.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_model::resource;
use bronzespoke_workload::directive::{self, Answer, Outcome, Refusal, Run, Task, Token};
use bytes::Bytes;

/// Ends that one report lists.
const ENDS_AT_ONCE: usize = 500;
/// Longest lease.
const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// Time that a stop takes.
const STOP: Duration = Duration::from_millis(200);
/// How long a member of a gang waits for the others.
const GANG_WAIT: Duration = Duration::from_secs(3);

/// A run on the worker.
#[derive(Debug, Clone)]
pub struct Active {
    /// Number of the start.
    pub run: Run,
    /// What it uses.
    pub size: resource::Amount,
    /// When it was started, in simulated time.
    pub started: Duration,
    /// When its work is done; `None` while a gang is not complete, and for work that stands still.
    pub done_at: Option<Duration>,
    /// When its stop is over.
    pub stopped_at: Option<Duration>,
    /// Whether it belongs to a gang that is not complete.
    pub awaits_gang: bool,
    /// Whether it fails instead of being done.
    pub fails: bool,
}

/// One life of a worker.
#[derive(Debug)]
pub struct Worker {
    /// Name.
    pub name: String,
    /// Start of the life in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// What it offers.
    pub capacity: resource::Amount,
    /// Simulated time at which its clock was zero.
    pub clock_zero: Duration,
    /// Rate of its clock; it may be 2% slow.
    pub clock_rate: f64,
    /// Factor on run times.
    pub slowness: f64,
    /// Whether everything that it starts fails.
    pub failing: bool,
    /// Runs.
    pub runs: BTreeMap<Task, Active>,
    /// Highest fencing token that it has seen.
    pub token: Token,
    lease_end: Duration,
    ended: Vec<directive::Ended>,
    next_end: u64,
    highest: HashMap<Task, Run>,
    ended_at: HashMap<u64, Duration>,
    lapsed_at: Option<Duration>,
}

impl Worker {
    /// Returns a life that runs nothing.
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
            failing: false,
            runs: BTreeMap::new(),
            token: 0,
            lease_end: Duration::ZERO,
            ended: Vec::new(),
            next_end: 1,
            highest: HashMap::new(),
            ended_at: HashMap::new(),
            lapsed_at: None,
        }
    }

    /// Its clock.
    pub fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.clock_zero).mul_f64(self.clock_rate)
    }

    /// What its runs use.
    pub fn used(&self) -> resource::Amount {
        let mut used = resource::Amount::ZERO;
        for run in self.runs.values() {
            used = used
                .checked_add(&run.size)
                .expect("runs of one worker do not overflow");
        }
        used
    }

    /// Takes an order; `Ok` with the run to begin when it is a start that was taken.
    pub fn execute(
        &mut self,
        now: Duration,
        token: Token,
        name: &str,
        order: &directive::Directive,
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
        match order {
            directive::Directive::Start {
                task, run, lease_end, ..
            } => self.start(clock, *task, *run, *lease_end),
            directive::Directive::Stop { task, run } => {
                let highest = self.highest.entry(*task).or_default();
                *highest = (*highest).max(*run);
                if let Some(active) = self.runs.get_mut(task).filter(|active| active.run <= *run) {
                    active.stopped_at.get_or_insert(now + STOP);
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
        self.lease_end = self.lease_end.max(end.min(clock + LONGEST_LEASE));
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

    /// Reports without renewing anything.
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
                    percent: 100,
                    load: None,
                })
                .collect(),
            ended: self.ended.iter().take(ENDS_AT_ONCE).cloned().collect(),
        }
    }

    /// Whether a report has ends to tell.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Ends up to a number with their times, as far as the lease has not run out since: whoever acknowledges those has
    /// taken note of them.
    pub fn ends_up_to(&self, acknowledged: u64) -> Vec<(directive::Ended, Duration)> {
        let mut noted = Vec::new();
        for ended in self.ended.iter().filter(|ended| ended.number <= acknowledged) {
            let at = self.ended_at.get(&ended.number).copied().unwrap_or_default();
            if self.lapsed_at.is_none_or(|lapsed| lapsed < at) {
                noted.push((ended.clone(), at));
            }
        }
        noted
    }

    /// Ends a run.
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

    /// Returns the runs that end by themselves up to now, and how.
    pub fn due(&mut self, now: Duration) -> Vec<(Task, Run, Outcome)> {
        let lapsed = self.clock(now) > self.lease_end;
        if lapsed {
            self.lapsed_at = Some(now);
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
            } else if lapsed {
                Outcome::Lapsed
            } else if active.awaits_gang && now >= active.started + GANG_WAIT {
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
