//! Drives the leader's decisions against workers, callers and faults in simulated time, and checks the promises from what
//! the workers see.

mod check;
mod faults;
mod wire;
mod work;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_dispatch::dispatch::{self, Dispatch, Output};
use bronzespoke_model::{id, resource};
use bronzespoke_workload::{catalog, directive, eligibility, job, settings};
use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::fleet::{load, worker};

/// Wall time at the start of a run, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Time between two steps of the leader without any event.
const TICK: Duration = Duration::from_millis(5);
/// One way to a worker.
const LATENCY: Duration = Duration::from_millis(2);
/// Longest further delay of a message.
const JITTER: Duration = Duration::from_millis(10);
/// Time until a proposal is committed.
const COMMIT: Duration = Duration::from_millis(8);
/// Time after which an order counts as unanswered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time from the start of a worker to its first announcement, in milliseconds.
const LONGEST_ANNOUNCEMENT_MS: u64 = 500;
/// Time without a leader between two terms.
const ELECTION: Duration = Duration::from_millis(1_200);

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Workers.
    pub workers: usize,
    /// Room of each worker.
    pub capacity: resource::Amount,
    /// VMs that may ask the eligibility service.
    pub proxies: usize,
    /// Kinds of requests.
    pub kinds: Vec<load::Kind>,
    /// Teams and their upper limits.
    pub teams: Vec<(String, resource::Amount)>,
    /// How long jobs are submitted.
    pub duration: Duration,
    /// Bursts: kind, begin, length and factor.
    pub bursts: Vec<(usize, Duration, Duration, f64)>,
    /// Faults.
    pub faults: Faults,
    /// Job whose decisions are kept in the report.
    pub trace: Option<job::Key>,
}

/// Faults of a run; rates are per second over the whole fleet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Crashes of workers; they return as a new life.
    pub crashes: f64,
    /// Workers that are cut off for some seconds.
    pub partitions: f64,
    /// Share of orders whose answer is lost.
    pub lost_answers: f64,
    /// Share of orders that are carried out 2 to 12 s late and not answered.
    pub late_directives: f64,
    /// Changes of leader.
    pub leader_changes: f64,
    /// Share of jobs that are cancelled after a while.
    pub cancels: f64,
    /// Workers that fail all that they start for some seconds.
    pub failing: f64,
    /// Workers that are lost for good without a word.
    pub losses: f64,
    /// Workers that announce that they leave, and are gone two seconds later.
    pub departures: f64,
    /// Whether a worker returns under its former name, so that orders to its former life reach it.
    pub reuse_names: bool,
}

/// What came of one kind of request.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Jobs that were submitted.
    pub submitted: usize,
    /// Completed, or failed when hopeless, within the objective.
    pub on_time: usize,
    /// The same within three times the objective.
    pub late: usize,
    /// Failed without being hopeless.
    pub failed: usize,
    /// Times from submission to the end, in milliseconds, of the jobs that ended.
    pub times: Vec<u64>,
}

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// By kind.
    pub kinds: Vec<Counters>,
    /// Broken promises, each a sentence.
    pub violations: Vec<String>,
    /// Starts on workers.
    pub starts: usize,
    /// Core-milliseconds of work that did not count.
    pub wasted_core_ms: u64,
    /// Jobs without a final state at the end.
    pub unfinished: Vec<job::Key>,
    /// Decisions about the traced job, and what became of the workers meanwhile.
    pub trace: Vec<String>,
}

#[derive(Debug)]
enum Event {
    Submit(usize),
    Commit(u64),
    Deliver(u64),
    Late(u64),
    Answer(u64, Option<directive::Answer>),
    Advised(u64, eligibility::Answer),
    Announce(usize),
    Cancel(job::Key),
    Crash,
    Return(usize),
    Cut,
    Heal(usize),
    Fail,
    Recover(usize),
    Lose,
    Leave,
    Gone(usize),
    Depose,
    Elect,
    Tick,
}

#[derive(Debug)]
struct Sent {
    term: u64,
    worker: cell::WorkerIndex,
    order: directive::Directive,
    decided: Duration,
    target: usize,
    name: String,
}

#[derive(Debug)]
struct Place {
    worker: Option<worker::Worker>,
    cut: bool,
    gone_at: Option<Duration>,
    waiting: Vec<u64>,
    incarnations: u64,
}

/// One run.
#[derive(Debug)]
pub struct Simulation {
    plan: Plan,
    rng: SmallRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    bodies: HashMap<u64, Event>,
    next_event: u64,
    state: cell::State,
    dispatch: Option<Dispatch>,
    term: u64,
    proposals: BTreeMap<u64, (u64, cell::Command)>,
    next_proposal: u64,
    sent: HashMap<u64, Sent>,
    next_order: u64,
    places: Vec<Place>,
    proxies: Vec<id::VmId>,
    proxy_free: HashMap<id::VmId, Duration>,
    jobs: HashMap<job::Key, load::Job>,
    submitted: HashMap<job::Key, Duration>,
    finished: HashSet<job::Key>,
    cancelled: HashMap<job::Key, Duration>,
    done: HashSet<directive::Task>,
    noted: HashSet<directive::Task>,
    /// Failed runs that were taken note of, with the time at which each ended.
    failures: HashMap<directive::Task, BTreeMap<directive::Run, Duration>>,
    /// Times at which the runs of a task began.
    begun: HashMap<directive::Task, Vec<Duration>>,
    report: Report,
}

impl Simulation {
    /// Sets up a run.
    pub fn new(plan: Plan) -> Self {
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next_event: 0,
            state: cell::State::default(),
            dispatch: None,
            term: 1,
            proposals: BTreeMap::new(),
            next_proposal: 0,
            sent: HashMap::new(),
            next_order: 0,
            places: Vec::new(),
            proxies: (1..=plan.proxies as u64).collect(),
            proxy_free: HashMap::new(),
            jobs: HashMap::new(),
            submitted: HashMap::new(),
            finished: HashSet::new(),
            cancelled: HashMap::new(),
            done: HashSet::new(),
            noted: HashSet::new(),
            failures: HashMap::new(),
            begun: HashMap::new(),
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

    /// Runs to the end: until `drain` after the last submission, or until every job has a final state.
    pub fn run(mut self, drain: Duration) -> Report {
        let end = self.plan.duration + drain;
        self.at(TICK, Event::Tick);
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = self.now.max(at);
            if self.now > end
                || (self.now > self.plan.duration && self.finished.len() == self.submitted.len())
            {
                break;
            }
            if let Some(event) = self.bodies.remove(&number) {
                self.handle(event);
                self.lead();
            }
        }
        self.close()
    }

    fn close(mut self) -> Report {
        if let Err(fault) = self.state.verify() {
            self.report.violations.push(fault);
        }
        let open = self.submitted.keys().filter(|key| !self.finished.contains(key));
        self.report.unfinished = open.copied().collect();
        self.report
    }

    fn at(&mut self, delay: Duration, event: Event) {
        let number = self.next_event;
        self.next_event += 1;
        self.events.push(Reverse((self.now + delay, number)));
        self.bodies.insert(number, event);
    }

    fn latency(&mut self) -> Duration {
        LATENCY + JITTER.mul_f64(self.rng.random::<f64>().powi(3))
    }

    fn times(&self) -> dispatch::Now {
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
            self.places.push(Place {
                worker: None,
                cut: false,
                gone_at: None,
                waiting: Vec::new(),
                incarnations: 0,
            });
            self.start_incarnation(index);
        }
    }

    fn start_incarnation(&mut self, index: usize) {
        let rate = self.rng.random_range(0.981..1.0);
        let place = &mut self.places[index];
        place.incarnations += 1;
        let started_ms = EPOCH_MS + self.now.as_millis() as u64 + place.incarnations;
        let life = if self.plan.faults.reuse_names {
            1
        } else {
            place.incarnations
        };
        let name = format!("w-{index}-{life}");
        place.worker = Some(worker::Worker::new(
            name,
            started_ms,
            self.plan.capacity,
            self.now,
            rate,
        ));
        // A restarted worker that keeps its name gets repeated orders to its former life before it is heard of. A late order
        // that comes in this time is beyond anyone's power, so that the two faults are not combined.
        let faults = self.plan.faults;
        let silent = if faults.reuse_names && faults.late_directives == 0.0 {
            self.rng.random_range(3..LONGEST_ANNOUNCEMENT_MS)
        } else {
            3
        };
        self.at(Duration::from_millis(silent), Event::Announce(index));
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
                self.at(at, Event::Submit(kind));
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
            Event::Late(number) => self.deliver(number, false),
            Event::Answer(number, answer) => self.answer(number, answer.as_ref()),
            Event::Advised(number, answer) => {
                if let Some(dispatch) = &mut self.dispatch {
                    dispatch.query_answered(self.now, number, &answer);
                }
            }
            Event::Announce(index) => self.announce(index),
            Event::Cancel(key) => self.cancel(key),
            Event::Crash => self.crash(),
            Event::Return(index) => self.start_incarnation(index),
            Event::Cut => self.cut(),
            Event::Heal(index) => self.places[index].cut = false,
            Event::Fail => self.fail(),
            Event::Recover(index) => {
                if let Some(worker) = &mut self.places[index].worker {
                    worker.failing = false;
                }
            }
            Event::Lose => {
                let index = self.rng.random_range(0..self.places.len());
                self.lose(index);
            }
            Event::Leave => self.leave(),
            Event::Gone(index) => self.lose(index),
            Event::Depose => self.depose(),
            Event::Elect => self.elect(),
            Event::Tick => {
                for index in 0..self.places.len() {
                    self.work_ends(index);
                }
                self.at(TICK, Event::Tick);
            }
        }
    }

    fn elect(&mut self) {
        let config = dispatch::Config {
            token: self.term,
            bounds: settings::Bounds::default(),
        };
        let mut dispatch = Dispatch::new(config, &self.state, self.times());
        dispatch.set_proxies(&self.proxies);
        self.dispatch = Some(dispatch);
        for index in 0..self.places.len() {
            self.at(Duration::from_millis(3), Event::Announce(index));
        }
    }

    fn lead(&mut self) {
        let now = self.times();
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
                Output::Query(ask) => self.ask(&ask),
                Output::Event(event) => self.trace(&event),
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
        let key = job.key;
        self.report.kinds[kind].submitted += 1;
        self.submitted.insert(key, self.now);
        let command = cell::Command::Submit {
            key,
            queue: Box::new(self.plan.kinds[kind].queue.clone()),
            team: Some(job.team.clone()),
            submission: Box::new(job.submission.clone()),
        };
        self.jobs.insert(key, job);
        self.next_proposal += 1;
        // A submission without an answer is repeated until it is taken, so that it survives a change of leader.
        let outcome = self.apply(command.clone());
        let now = self.times();
        if let Some(dispatch) = &mut self.dispatch {
            dispatch.committed(&self.state, now, &command, &outcome);
        }
        if self.rng.random_bool(self.plan.faults.cancels) {
            let delay = Duration::from_millis(self.rng.random_range(50..4_000));
            self.at(delay, Event::Cancel(key));
        }
    }

    /// Whether the eligible workers together have room for each gang.
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

/// Eligibility does not change: it follows from the step and the place of the worker.
fn is_eligible(key: job::Key, step: u16, worker: usize, kind: &load::Kind) -> bool {
    let mut rng = SmallRng::seed_from_u64(key ^ (u64::from(step) << 32) ^ worker as u64);
    rng.random_bool(kind.eligible_share)
}

const fn same_step(left: directive::Task, right: directive::Task) -> bool {
    left.job == right.job && left.occurrence == right.occurrence && left.step == right.step
}

/// A gang counts its failures together.
const fn failure_key(task: directive::Task, gang: bool) -> directive::Task {
    if gang {
        directive::Task { index: 0, ..task }
    } else {
        task
    }
}
