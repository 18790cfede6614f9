//! Discrete-event simulation of the leader with workers, callers and faults, in simulated time. The scheduler's
//! invariants are checked from the point of view of the workers.

mod faults;
mod invariants;
mod leader;
mod runs;
mod variation;
mod wire;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_dispatch::{
    dispatch::{self, Dispatch, Output},
    recent, work,
};
use bronzespoke_model::{id, resource};
use bronzespoke_workload::{catalog, directive, eligibility, job, settings};
use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub use leader::Costs;
pub use variation::Variation;

use crate::fleet::{load, worker};

/// Wall time at the start of a run, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Interval at which the workers and the leader are stepped, in addition to other events.
const TICK: Duration = Duration::from_millis(5);
/// Largest fleet in which the leader's tables are verified at each tick.
const MAX_VERIFIED_WORKERS: usize = 64;
/// Minimum one-way latency of a message.
const LATENCY: Duration = Duration::from_millis(2);
/// Maximum additional latency of a message.
const JITTER: Duration = Duration::from_millis(10);
/// Time from a proposal to its commit.
const COMMIT_LATENCY: Duration = Duration::from_millis(8);
/// Time after which a directive is unacknowledged.
const DIRECTIVE_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum time from the start of a worker to its first announcement, in milliseconds.
const MAX_ANNOUNCEMENT_DELAY_MS: u64 = 500;
/// Number of availability zones.
const ZONES: usize = 3;
/// Time without a leader between two terms.
const ELECTION_DELAY: Duration = Duration::from_millis(1_200);
/// Time after which the platform no longer executes a directive.
const MAX_DIRECTIVE_DELAY: Duration = Duration::from_secs(12);
/// Maximum number of directives that wait in the accept queue of a host.
const MAX_ACCEPT_QUEUE: usize = 128;

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of workers.
    pub workers: usize,
    /// Resources of each worker.
    pub capacity: resource::Amount,
    /// Number of VMs that can query the eligibility service.
    pub proxies: usize,
    /// Kinds of requests that are submitted.
    pub kinds: Vec<load::Kind>,
    /// Teams and their upper limits.
    pub teams: Vec<(String, resource::Amount)>,
    /// Time during which jobs are submitted.
    pub duration: Duration,
    /// Bursts of submissions: index of the kind, start, duration, and factor on the rate.
    pub bursts: Vec<(usize, Duration, Duration, f64)>,
    /// Faults to inject.
    pub faults: Faults,
    /// Differences between the workers and between the runs.
    pub variation: Variation,
    /// Processor time of the leader; `None` if its work takes no time.
    pub costs: Option<Costs>,
    /// Job for which the report contains a trace of the decisions.
    pub trace: Option<job::Key>,
}

/// Faults to inject. Rates are per second over the entire fleet; shares are probabilities.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Rate of worker crashes; a crashed worker restarts within 6 s as a new incarnation.
    pub crashes: f64,
    /// Whether a crashed worker restarts within 12 s instead.
    pub long_absences: bool,
    /// Rate at which a worker is disconnected for some seconds.
    pub partitions: f64,
    /// Share of directives whose answer is lost.
    pub lost_answers: f64,
    /// Share of directives that are executed 2 to 12 s late and not answered.
    pub late_directives: f64,
    /// Rate of leader changes.
    pub leader_changes: f64,
    /// Share of leader changes that are planned: the next leader takes over within 60 ms.
    pub planned_changes: f64,
    /// Share of jobs that are cancelled after submission.
    pub cancels: f64,
    /// Rate at which all new runs on a worker start to fail for some seconds.
    pub failing: f64,
    /// Rate of workers that are lost permanently without notice.
    pub losses: f64,
    /// Rate of workers that announce their departure and are gone two seconds later.
    pub departures: f64,
    /// Rate of planned restarts under the same name: the worker drains, sends a notice that may be held up or repeated,
    /// works on until it is acknowledged, or for some seconds, and starts again.
    pub restarts: f64,
    /// Rate of orders to evacuate an availability zone; each is withdrawn some seconds later.
    pub evacuations: f64,
    /// Whether a restarted worker keeps its name, so that directives to its earlier incarnation reach it.
    pub reuse_names: bool,
    /// Whether directives to a host without a worker wait in its accept queue. The next incarnation executes them in their
    /// order before its first announcement, and does not answer. Otherwise, the connections are refused.
    pub accept_queue: bool,
}

/// Results of one kind of request.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Number of submitted jobs.
    pub submitted: usize,
    /// Jobs that reached the expected state within the objective: completed, or failed if their tasks always fail.
    pub on_time: usize,
    /// Jobs that reached the expected state later, but within three times the objective.
    pub late: usize,
    /// Jobs that failed although their tasks do not always fail.
    pub failed: usize,
    /// Times from submission to the end of the jobs that ended, in milliseconds.
    pub times: Vec<u64>,
}

/// Results of a simulation.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Results by kind of request.
    pub kinds: Vec<Counters>,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
    /// Times at which the leader moved runs off a worker because it is slow, with the number of the worker.
    pub slow: Vec<(Duration, usize)>,
    /// Times at which the leader first rated a worker in `Variation::slowed` as slow while it was, by its number.
    pub found: BTreeMap<usize, Duration>,
    /// Speeds of the workers that the last leader has observed, by the number of the worker.
    pub speeds: BTreeMap<usize, f64>,
    /// Speeds that each leader knew at its election, by the number of the worker, with the time of the election.
    pub inherited: Vec<(Duration, BTreeMap<usize, f64>)>,
    /// Digest of all placements in their order.
    pub decisions: u64,
    /// Submissions that the leader refused because they had waited too long.
    pub refused: usize,
    /// Number of submitted jobs, and of those that ended within their objective, by the second of the submission.
    pub seconds: BTreeMap<u64, (usize, usize)>,
    /// Work of the scheduling passes of the last leader.
    pub work: work::Work,
    /// Number of runs that started on workers.
    pub starts: usize,
    /// Work of runs that were lost, stopped or failed, in core-milliseconds.
    pub wasted_core_ms: u64,
    /// Jobs that are not in a terminal state at the end.
    pub unfinished: Vec<job::Key>,
    /// Decisions about the traced job, and changes in the leader's beliefs.
    pub trace: Vec<String>,
}

#[derive(Debug)]
enum Event {
    Submit(usize),
    Commit(u64),
    Deliver(u64),
    DeliverLate(u64),
    Answer(u64, Option<directive::Answer>),
    QueryAnswered(u64, eligibility::Answer),
    Announce(usize),
    Cancel(job::Key),
    Crash,
    Restart(usize),
    Disconnect,
    Reconnect(usize),
    StartFailing,
    StopFailing(usize),
    Lose,
    Depart,
    Departed(usize),
    Drain,
    Notify(usize, u64),
    Notice(String),
    Leave(usize, u64),
    LoseLeader,
    Elect,
    Evacuate,
    Readmit(String),
    LeaderFree,
    Tick,
}

/// A directive that was sent to a worker.
#[derive(Debug)]
struct SentDirective {
    term: u64,
    fence: directive::Token,
    worker: cell::WorkerIndex,
    directive: directive::Directive,
    decided: Duration,
    target: usize,
    name: String,
}

/// A host with at most one running incarnation of a worker.
#[derive(Debug)]
struct Host {
    worker: Option<worker::Worker>,
    disconnected: bool,
    departs_at: Option<Duration>,
    /// Whether the worker is draining before a planned restart.
    draining: bool,
    /// Numbers of the directives that wait for the next incarnation.
    accept_queue: Vec<u64>,
    /// Numbers of the directives whose report is delayed until a run ends.
    waiting_reports: Vec<u64>,
    incarnations: u64,
}

/// State of a simulation.
#[derive(Debug)]
pub struct Simulation {
    plan: Plan,
    rng: SmallRng,
    now: Duration,
    /// Times and numbers of the scheduled events.
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Scheduled events by number.
    scheduled: HashMap<u64, Event>,
    next_event: u64,
    state: cell::State,
    /// Starts that were applied to `state` recently.
    recent: recent::Starts,
    dispatch: Option<Dispatch>,
    term: u64,
    /// Proposals that are not committed, with the term of each.
    proposals: BTreeMap<u64, (u64, cell::Command)>,
    next_proposal: u64,
    sent: HashMap<u64, SentDirective>,
    next_directive: u64,
    hosts: Vec<Host>,
    proxies: Vec<id::VmId>,
    /// Time at which each proxy has completed its queries.
    proxy_free: HashMap<id::VmId, Duration>,
    jobs: HashMap<job::Key, load::Job>,
    submitted: HashMap<job::Key, Duration>,
    finished: HashSet<job::Key>,
    cancelled: HashMap<job::Key, Duration>,
    processor: leader::Processor,
    /// Tasks that succeeded on a worker.
    done: HashSet<directive::Task>,
    /// Tasks whose success the leader has acknowledged.
    acknowledged: HashSet<directive::Task>,
    /// Failed runs that the leader has acknowledged, with the time of each end.
    failures: HashMap<directive::Task, BTreeMap<directive::Run, Duration>>,
    /// Start times of the runs of each task.
    run_starts: HashMap<directive::Task, Vec<Duration>>,
    report: Report,
}

impl Simulation {
    /// Prepares a simulation.
    pub fn new(plan: Plan) -> Self {
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            scheduled: HashMap::new(),
            next_event: 0,
            state: cell::State::default(),
            recent: recent::Starts::new(Duration::ZERO),
            dispatch: None,
            term: 1,
            proposals: BTreeMap::new(),
            next_proposal: 0,
            sent: HashMap::new(),
            next_directive: 0,
            hosts: Vec::new(),
            proxies: (1..=plan.proxies as u64).collect(),
            proxy_free: HashMap::new(),
            jobs: HashMap::new(),
            submitted: HashMap::new(),
            finished: HashSet::new(),
            cancelled: HashMap::new(),
            processor: leader::Processor::default(),
            done: HashSet::new(),
            acknowledged: HashSet::new(),
            failures: HashMap::new(),
            run_starts: HashMap::new(),
            report: Report {
                kinds: vec![Counters::default(); plan.kinds.len()],
                ..Report::default()
            },
            plan,
        };
        simulation.configure();
        simulation.set_up_workers();
        simulation.elect();
        simulation.plan_load();
        simulation.plan_faults();
        simulation
    }

    /// Runs the simulation until every job is in a terminal state, or until `drain` after the last submission.
    pub fn run(mut self, drain: Duration) -> Report {
        let end = self.plan.duration + drain;
        self.schedule(TICK, Event::Tick);
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = self.now.max(at);
            if self.now > end
                || (self.now > self.plan.duration && self.finished.len() == self.submitted.len())
            {
                break;
            }
            if let Some(event) = self.scheduled.remove(&number) {
                self.receive(event);
            }
        }
        self.into_report()
    }

    fn into_report(mut self) -> Report {
        if let Err(violation) = self.state.verify() {
            self.report.violations.push(violation);
        }
        self.verify_tables();
        self.report.work = self.dispatch.as_ref().map(Dispatch::work).unwrap_or_default();
        if let Some(dispatch) = &self.dispatch {
            self.report.speeds = variation::speeds(dispatch);
        }
        let unfinished = self.submitted.keys().filter(|key| !self.finished.contains(key));
        self.report.unfinished = unfinished.copied().collect();
        self.report
    }

    /// Compares the leader's derived tables with those that they are derived from.
    fn verify_tables(&mut self) {
        let verified = self.dispatch.as_mut().map_or(Ok(()), Dispatch::verify);
        if let Err(difference) = verified {
            self.record_violation(&difference);
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        let number = self.next_event;
        self.next_event += 1;
        self.events.push(Reverse((self.now + delay, number)));
        self.scheduled.insert(number, event);
    }

    fn latency(&mut self) -> Duration {
        LATENCY + JITTER.mul_f64(self.rng.random::<f64>().powi(3))
    }

    fn dispatch_now(&self) -> dispatch::Now {
        dispatch::Now {
            steady: self.now,
            wall_ms: EPOCH_MS + self.now.as_millis() as u64,
        }
    }

    fn configure(&mut self) {
        let teams = self.plan.teams.iter().map(|(name, limit)| catalog::Team {
            name: name.clone(),
            keys: vec![name.clone()],
            weight: 1.0,
            limit: *limit,
        });
        let catalog = catalog::Catalog {
            version: 1,
            queues: self.plan.kinds.iter().map(|kind| kind.queue.clone()).collect(),
            pools: vec![catalog::Pool {
                name: String::from("fleet"),
                health_path: String::new(),
                connections: 64,
                guarded: false,
                standby: false,
            }],
            teams: teams.collect(),
        };
        let command = cell::Command::Configure {
            catalog: Box::new(catalog),
            document: Bytes::new(),
        };
        self.state.apply(EPOCH_MS, command);
    }

    fn set_up_workers(&mut self) {
        for index in 0..self.plan.workers {
            self.hosts.push(Host {
                worker: None,
                disconnected: false,
                departs_at: None,
                draining: false,
                accept_queue: Vec::new(),
                waiting_reports: Vec::new(),
                incarnations: 0,
            });
            self.start_incarnation(index);
        }
    }

    fn start_incarnation(&mut self, index: usize) {
        let rate = self.rng.random_range(0.981..1.0);
        let slowness = self.slowness(index);
        let progress = self.plan.variation.progress;
        let host = &mut self.hosts[index];
        host.incarnations += 1;
        host.draining = false;
        let started_ms = EPOCH_MS + self.now.as_millis() as u64 + host.incarnations;
        let incarnation = if self.plan.faults.reuse_names {
            1
        } else {
            host.incarnations
        };
        let name = format!("w-{index}-{incarnation}");
        let mut worker = worker::Worker::new(name, started_ms, self.plan.capacity, self.now, rate);
        worker.slowness = slowness;
        worker.reports_progress = progress;
        host.worker = Some(worker);
        for number in std::mem::take(&mut host.accept_queue) {
            let sent = self.sent.get(&number);
            if sent.is_some_and(|sent| self.now <= sent.decided + MAX_DIRECTIVE_DELAY) {
                self.execute(number, false);
            }
        }
        // A restarted worker that keeps its name receives repeated directives to its earlier incarnation until its first
        // announcement. The leader cannot detect a late directive that arrives in this time, so the two faults are not
        // combined.
        let faults = self.plan.faults;
        let delay_ms = if faults.reuse_names && faults.late_directives == 0.0 {
            self.rng.random_range(3..MAX_ANNOUNCEMENT_DELAY_MS)
        } else {
            3
        };
        self.schedule(Duration::from_millis(delay_ms), Event::Announce(index));
    }

    fn plan_load(&mut self) {
        let end = self.plan.duration;
        for kind in 0..self.plan.kinds.len() {
            let mut at = Duration::ZERO;
            loop {
                let rate = self.rate(kind, at);
                let gap = -self.rng.random_range(1e-9_f64..1.0).ln() / rate;
                at += Duration::from_secs_f64(gap.min(1e6));
                if at >= end {
                    break;
                }
                self.schedule(at, Event::Submit(kind));
            }
        }
    }

    fn rate(&self, kind: usize, at: Duration) -> f64 {
        let mut rate = self.plan.kinds[kind].rate;
        for (burst, begin, length, factor) in &self.plan.bursts {
            if *burst == kind && at >= *begin && at < *begin + *length {
                rate *= factor;
            }
        }
        rate
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(kind) => self.submit(kind),
            Event::Commit(proposal) => self.commit(proposal),
            Event::Deliver(number) => self.deliver(number, true),
            Event::DeliverLate(number) => self.deliver(number, false),
            Event::Answer(number, answer) => self.answer(number, answer.as_ref()),
            Event::QueryAnswered(number, answer) => {
                if let Some(dispatch) = &mut self.dispatch {
                    dispatch.query_answered(self.now, number, &answer);
                }
            }
            Event::Announce(index) => self.announce(index),
            Event::Cancel(key) => self.cancel(key),
            Event::Crash => self.crash(),
            Event::Restart(index) => self.start_incarnation(index),
            Event::Disconnect => self.disconnect(),
            Event::Reconnect(index) => self.hosts[index].disconnected = false,
            Event::StartFailing => self.start_failing(),
            Event::StopFailing(index) => {
                if let Some(worker) = &mut self.hosts[index].worker {
                    worker.failing = false;
                }
            }
            Event::Lose => {
                let index = self.rng.random_range(0..self.hosts.len());
                self.stop_worker(index);
            }
            Event::Depart => self.announce_departure(),
            Event::Departed(index) => self.stop_worker(index),
            Event::Drain => self.drain(),
            Event::Notify(index, incarnation) => self.notify(index, incarnation),
            Event::Notice(name) => self.notice(name),
            Event::Leave(index, incarnation) => self.leave(index, incarnation),
            Event::LoseLeader => self.lose_leader(),
            Event::Elect => self.elect(),
            Event::Evacuate => self.evacuate(),
            Event::Readmit(zone) => self.readmit(zone),
            // Handled where it is received.
            Event::LeaderFree => {}
            Event::Tick => {
                for index in 0..self.hosts.len() {
                    self.end_due_runs(index);
                }
                self.find_slowed();
                if self.hosts.len() <= MAX_VERIFIED_WORKERS {
                    self.verify_tables();
                }
                self.schedule(TICK, Event::Tick);
            }
        }
    }

    fn elect(&mut self) {
        let config = dispatch::Config {
            token: self.term,
            bounds: settings::Bounds::default(),
            past_use: None,
        };
        let mut dispatch = Dispatch::new(config, &self.state, &self.recent, self.dispatch_now());
        dispatch.set_proxies(&self.proxies);
        if self.plan.variation.ignore_speeds {
            dispatch.ignore_speeds();
        }
        let inherited = (self.now, variation::speeds(&dispatch));
        self.report.inherited.push(inherited);
        self.dispatch = Some(dispatch);
        for index in 0..self.hosts.len() {
            self.schedule(Duration::from_millis(3), Event::Announce(index));
        }
    }

    fn step_leader(&mut self) {
        let now = self.dispatch_now();
        let Some(dispatch) = &mut self.dispatch else {
            return;
        };
        dispatch.tick(&self.state, now);
        for output in dispatch.take_outputs() {
            match output {
                Output::Propose(command) => self.propose(command),
                Output::Directive {
                    worker,
                    directive,
                    decided,
                } => self.send(worker, directive, decided),
                Output::Query(assignment) => self.send_query(&assignment),
                Output::Event(event) => self.trace_event(&event),
            }
        }
    }

    fn submit(&mut self, kind: usize) {
        if self.dispatch.is_none() {
            return;
        }
        let names: Vec<String> = self.plan.teams.iter().map(|(name, _)| name.clone()).collect();
        let mut job = load::generate(&mut self.rng, &self.plan.kinds, kind, &names);
        while !self.is_feasible(&job) {
            job = load::generate(&mut self.rng, &self.plan.kinds, kind, &names);
        }
        self.vary(&mut job);
        let key = job.key;
        self.report.kinds[kind].submitted += 1;
        self.report.seconds.entry(self.now.as_secs()).or_default().0 += 1;
        self.submitted.insert(key, self.now);
        let command = cell::Command::Submit {
            key,
            queue: Box::new(self.plan.kinds[kind].queue.clone()),
            team: Some(job.team.clone()),
            submission: Box::new(job.submission.clone()),
        };
        self.jobs.insert(key, job);
        self.next_proposal += 1;
        // A submission without a reply is repeated until it is accepted, so that it survives a change of leader.
        let outcome = self.apply(command.clone());
        let now = self.dispatch_now();
        if let Some(dispatch) = &mut self.dispatch {
            dispatch.committed(&self.state, now, &command, &outcome);
        }
        if self.rng.random_bool(self.plan.faults.cancels) {
            let delay = Duration::from_millis(self.rng.random_range(50..4_000));
            self.schedule(delay, Event::Cancel(key));
        }
    }

    /// Returns whether the eligible workers together have enough resources for each gang of a job.
    fn is_feasible(&self, job: &load::Job) -> bool {
        let kind = &self.plan.kinds[job.kind];
        let steps = job.submission.steps.iter().enumerate();
        let mut gangs = steps.filter(|(_, step)| step.gang);
        gangs.all(|(index, step)| {
            let eligible = (0..self.plan.workers)
                .filter(|worker| is_eligible(job.key, index as u16, *worker, kind))
                .count() as u32;
            let cpu = self.plan.capacity.cpu_milli / step.size.cpu_milli.max(1);
            let memory = self.plan.capacity.memory_mib / step.size.memory_mib.max(1);
            eligible * cpu.min(memory) >= step.tasks
        })
    }

    fn cancel(&mut self, key: job::Key) {
        if self.dispatch.is_none() || self.finished.contains(&key) {
            return;
        }
        self.cancelled.insert(key, self.now);
        self.finished.insert(key);
        self.propose(cell::Command::Cancel { key });
    }
}

/// Returns whether a worker is eligible for a step. The result is a function of its arguments, so it does not change
/// during a simulation.
fn is_eligible(key: job::Key, step: u16, worker: usize, kind: &load::Kind) -> bool {
    let mut rng = SmallRng::seed_from_u64(key ^ (u64::from(step) << 32) ^ worker as u64);
    rng.random_bool(kind.eligible_share)
}

/// Returns the availability zone of a host.
fn zone_of(host: usize) -> String {
    format!("zone-{}", host % ZONES)
}

/// Returns whether two tasks belong to the same step of the same occurrence.
const fn same_step(left: directive::Task, right: directive::Task) -> bool {
    left.job == right.job && left.occurrence == right.occurrence && left.step == right.step
}

/// Returns the task under which failures are counted; the members of a gang are counted together.
const fn failure_key(task: directive::Task, gang: bool) -> directive::Task {
    if gang {
        directive::Task { index: 0, ..task }
    } else {
        task
    }
}
