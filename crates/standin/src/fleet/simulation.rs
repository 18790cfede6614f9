//! Drives the leader's decisions against workers, callers and faults in simulated time, and checks the promises from what
//! the workers see.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_dispatch::{
    desk,
    dispatch::{self, Dispatch, Output, Registration},
};
use bronzespoke_model::{id, resource};
use bronzespoke_workload::{advice, catalog, job, order, settings, worker as announced};
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
    pub room: resource::Amount,
    /// VMs that may ask the eligibility service.
    pub helpers: usize,
    /// Kinds of requests.
    pub kinds: Vec<load::Kind>,
    /// Teams and their upper limits.
    pub teams: Vec<(String, resource::Amount)>,
    /// How long jobs are submitted.
    pub length: Duration,
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
    pub cuts: f64,
    /// Share of orders whose answer is lost.
    pub lost_answers: f64,
    /// Share of orders that are carried out 2 to 12 s late and not answered.
    pub late_orders: f64,
    /// Changes of leader.
    pub elections: f64,
    /// Share of jobs that are cancelled after a while.
    pub cancels: f64,
    /// Workers that fail all that they start for some seconds.
    pub failing: f64,
}

/// What came of one kind of request.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Jobs that were submitted.
    pub submitted: usize,
    /// Completed, or failed when hopeless, within the objective.
    pub in_time: usize,
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
    pub kinds: Vec<Tally>,
    /// Broken promises, each a sentence.
    pub broken: Vec<String>,
    /// Starts on workers.
    pub starts: usize,
    /// Core-milliseconds of work that did not count.
    pub wasted: u64,
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
    Answer(u64, Option<order::Answer>),
    Advised(u64, advice::Answer),
    Announce(usize),
    Cancel(job::Key),
    Crash,
    Return(usize),
    Cut,
    Heal(usize),
    Fail,
    Recover(usize),
    Depose,
    Elect,
    Tick,
}

#[derive(Debug)]
struct Sent {
    term: u64,
    worker: cell::WorkerIndex,
    order: order::Order,
    decided: Duration,
    target: usize,
    born: u64,
}

#[derive(Debug)]
struct Place {
    worker: Option<worker::Worker>,
    cut: bool,
    waiting: Vec<u64>,
    lives: u64,
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
    helpers: Vec<id::VmId>,
    helper_free: HashMap<id::VmId, Duration>,
    jobs: HashMap<job::Key, load::Job>,
    submitted: HashMap<job::Key, Duration>,
    finished: HashSet<job::Key>,
    cancelled: HashMap<job::Key, Duration>,
    done: HashSet<order::Task>,
    noted: HashSet<order::Task>,
    /// Failed runs that were taken note of, with the time at which each ended.
    failures: HashMap<order::Task, BTreeMap<order::Run, Duration>>,
    /// Times at which the runs of a task began.
    begun: HashMap<order::Task, Vec<Duration>>,
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
            helpers: (1..=plan.helpers as u64).collect(),
            helper_free: HashMap::new(),
            jobs: HashMap::new(),
            submitted: HashMap::new(),
            finished: HashSet::new(),
            cancelled: HashMap::new(),
            done: HashSet::new(),
            noted: HashSet::new(),
            failures: HashMap::new(),
            begun: HashMap::new(),
            report: Report {
                kinds: vec![Tally::default(); plan.kinds.len()],
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
        let end = self.plan.length + drain;
        self.at(TICK, Event::Tick);
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = self.now.max(at);
            if self.now > end || (self.now > self.plan.length && self.finished.len() == self.submitted.len())
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
            self.report.broken.push(fault);
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
                waiting: Vec::new(),
                lives: 0,
            });
            self.give_life(index);
        }
    }

    fn give_life(&mut self, index: usize) {
        let rate = self.rng.random_range(0.981..1.0);
        let place = &mut self.places[index];
        place.lives += 1;
        let born = EPOCH_MS + self.now.as_millis() as u64 + place.lives;
        let name = format!("w-{index}-{}", place.lives);
        place.worker = Some(worker::Worker::new(name, born, self.plan.room, self.now, rate));
        self.at(Duration::from_millis(3), Event::Announce(index));
    }

    fn plan_load(&mut self) {
        let end = self.plan.length;
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

    fn plan_faults(&mut self) {
        let faults = self.plan.faults;
        let rates: [(f64, fn() -> Event); 4] = [
            (faults.crashes, || Event::Crash),
            (faults.cuts, || Event::Cut),
            (faults.elections, || Event::Depose),
            (faults.failing, || Event::Fail),
        ];
        for (rate, event) in rates {
            let count = (rate * self.plan.length.as_secs_f64()).round() as usize;
            for _ in 0..count {
                let at = self.plan.length.mul_f64(self.rng.random());
                self.at(at, event());
            }
        }
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
                    dispatch.advised(self.now, number, &answer);
                }
            }
            Event::Announce(index) => self.announce(index),
            Event::Cancel(key) => self.cancel(key),
            Event::Crash => self.crash(),
            Event::Return(index) => self.give_life(index),
            Event::Cut => self.cut(),
            Event::Heal(index) => self.places[index].cut = false,
            Event::Fail => self.fail(),
            Event::Recover(index) => {
                if let Some(worker) = &mut self.places[index].worker {
                    worker.failing = false;
                }
            }
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
        dispatch.set_helpers(&self.helpers);
        self.dispatch = Some(dispatch);
        for index in 0..self.places.len() {
            self.at(Duration::from_millis(3), Event::Announce(index));
        }
    }

    fn depose(&mut self) {
        if self.dispatch.take().is_none() {
            return;
        }
        self.term += 1;
        // What was proposed may or may not be committed, in order.
        let keep = self.rng.random_range(0..=self.proposals.len());
        let proposals = std::mem::take(&mut self.proposals);
        for (_, (_, command)) in proposals.into_iter().take(keep) {
            self.apply(command);
        }
        self.at(ELECTION, Event::Elect);
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
                Output::Order {
                    worker,
                    order,
                    decided,
                } => self.send(worker, order, decided),
                Output::Ask(ask) => self.ask(&ask),
                Output::Event(event) => self.trace(&event),
            }
        }
    }

    fn propose(&mut self, command: cell::Command) {
        self.next_proposal += 1;
        self.proposals.insert(self.next_proposal, (self.term, command));
        self.at(COMMIT, Event::Commit(self.next_proposal));
    }

    fn commit(&mut self, proposal: u64) {
        let Some((_, command)) = self.proposals.remove(&proposal) else {
            return;
        };
        let outcome = self.apply(command.clone());
        let now = self.times();
        if let Some(dispatch) = &mut self.dispatch {
            dispatch.committed(&self.state, now, &command, &outcome);
        }
    }

    fn apply(&mut self, command: cell::Command) -> cell::Outcome {
        let ends = match &command {
            cell::Command::End(ends) => ends.clone(),
            _ => Vec::new(),
        };
        let outcome = self.state.apply(self.times().wall_ms, command);
        for end in ends {
            self.note_job(end.task.job);
        }
        outcome
    }

    /// Notes the final state of a job the first time.
    fn note_job(&mut self, key: job::Key) {
        let Some(job) = self.state.job(key) else { return };
        if !job.is_final() || !self.finished.insert(key) {
            return;
        }
        let phase = job.phase;
        if self.cancelled.contains_key(&key) {
            return;
        }
        let load = &self.jobs[&key];
        let tally = &mut self.report.kinds[load.kind];
        let queue = &self.plan.kinds[load.kind].queue;
        let took = self.now.saturating_sub(self.submitted[&key]);
        let objective = load.chain.mul_f64(queue.stretch) + queue.objective;
        tally.times.push(took.as_millis() as u64);
        if phase == job::Phase::Failed && !load.hopeless {
            tally.failed += 1;
        } else if took <= objective {
            tally.in_time += 1;
        } else if took <= objective * 3 {
            tally.late += 1;
        }
    }

    fn submit(&mut self, kind: usize) {
        if self.dispatch.is_none() {
            return;
        }
        let names: Vec<String> = self.plan.teams.iter().map(|(name, _)| name.clone()).collect();
        let mut job = load::draw(&mut self.rng, &self.plan.kinds, kind, &names);
        while !self.is_feasible(&job) {
            job = load::draw(&mut self.rng, &self.plan.kinds, kind, &names);
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
            let cpu = self.plan.room.cpu_milli / step.size.cpu_milli.max(1);
            let memory = self.plan.room.memory_mib / step.size.memory_mib.max(1);
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

    fn announce(&mut self, index: usize) {
        let (Some(worker), Some(dispatch)) = (&self.places[index].worker, &mut self.dispatch) else {
            return;
        };
        if self.places[index].cut {
            return;
        }
        let announcement = announced::Announcement {
            life: announced::Life {
                name: worker.name.clone(),
                born: worker.born,
            },
            sequence: 1,
            worker: announced::Worker {
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
                pool: String::from("fleet"),
                zone: String::from("zone"),
                kind: String::from("a"),
                rack: format!("r{}", index / 8),
                labels: vec![String::from("a"), format!("r{}", index / 8)],
                room: worker.room,
                machine: None,
            },
            state: announced::State::Ready,
            cold: Duration::ZERO,
        };
        if let Registration::Propose(command) = dispatch.announce(&self.state, self.now, &announcement) {
            self.propose(command);
        }
    }

    fn send(&mut self, worker: cell::WorkerIndex, order: order::Order, decided: Duration) {
        let Some(registered) = self.state.workers().get(&worker) else {
            return;
        };
        let target = usize::from(registered.worker.address.port() - 1_000);
        let sent = Sent {
            term: self.term,
            worker,
            order,
            decided,
            target,
            born: registered.life.born,
        };
        let number = self.next_order;
        self.next_order += 1;
        let timeout = match &sent.order {
            order::Order::Renew { wait, .. } => ORDER_TIMEOUT + *wait,
            _ => ORDER_TIMEOUT,
        };
        self.sent.insert(number, sent);
        let late = self.rng.random_bool(self.plan.faults.late_orders);
        if late {
            let delay = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.at(delay, Event::Late(number));
        } else {
            let latency = self.latency();
            self.at(latency, Event::Deliver(number));
        }
        self.at(timeout, Event::Answer(number, None));
    }

    fn deliver(&mut self, number: u64, answered: bool) {
        let Some(sent) = self.sent.get(&number) else {
            return;
        };
        let target = sent.target;
        let order = sent.order.clone();
        let place = &mut self.places[target];
        if place.cut {
            return;
        }
        let Some(worker) = &mut place.worker else { return };
        if let order::Order::Renew { acknowledged, .. } = &order {
            let noted = worker.noted_up_to(*acknowledged);
            self.note_ends(noted);
        }
        self.take(number, answered);
    }

    /// Has a worker carry an order out.
    fn take(&mut self, number: u64, answered: bool) {
        let Some(sent) = self.sent.get(&number) else {
            return;
        };
        let (target, born, term, order) = (sent.target, sent.born, sent.term, sent.order.clone());
        let Some(worker) = &mut self.places[target].worker else {
            return;
        };
        let (answer, started) = worker.take(self.now, term, born, &order);
        let waits = matches!(&order, order::Order::Renew { wait, .. } if !wait.is_zero());
        let has_ends = worker.has_ends();
        if let Some((task, run)) = started {
            self.begin(target, task, run);
        }
        if !answered || self.rng.random_bool(self.plan.faults.lost_answers) {
            return;
        }
        if waits && !has_ends && matches!(answer, order::Answer::Report(_)) {
            self.places[target].waiting.push(number);
            return;
        }
        let latency = self.latency();
        self.at(latency, Event::Answer(number, Some(answer)));
    }

    /// Answers the reports that wait for an end at a worker.
    fn release_reports(&mut self, index: usize) {
        let now = self.now;
        let place = &mut self.places[index];
        let Some(worker) = &place.worker else { return };
        let has_ends = worker.has_ends();
        let report = order::Answer::Report(worker.report(worker.clock(now)));
        let sent = &self.sent;
        let due = |number: &u64| {
            let wait = Duration::from_secs(1);
            has_ends || sent.get(number).is_none_or(|sent| now >= sent.decided + wait)
        };
        let (due, waiting): (Vec<u64>, Vec<u64>) = place.waiting.drain(..).partition(due);
        place.waiting = waiting;
        if place.cut {
            return;
        }
        for number in due {
            let latency = self.latency();
            self.at(latency, Event::Answer(number, Some(report.clone())));
        }
    }

    fn answer(&mut self, number: u64, answer: Option<&order::Answer>) {
        let Some(sent) = self.sent.get(&number) else {
            return;
        };
        if answer.is_none()
            && matches!(
                &sent.order,
                order::Order::Start { .. } | order::Order::Stop { .. }
            )
        {
            // Kept for an order that is carried out late.
        } else if answer.is_some() && self.places[sent.target].cut {
            return;
        }
        if let Some(dispatch) = self
            .dispatch
            .as_mut()
            .filter(|dispatch| dispatch.token() == sent.term)
        {
            let now = dispatch::Now {
                steady: self.now,
                wall_ms: EPOCH_MS + self.now.as_millis() as u64,
            };
            let (worker, order, decided) = (sent.worker, sent.order.clone(), sent.decided);
            dispatch.answered(&self.state, now, worker, &order, decided, answer);
        }
        if answer.is_some() {
            self.sent.remove(&number);
        }
    }

    fn ask(&mut self, ask: &desk::Ask) {
        let key = ask.question.step.job;
        let Some(job) = self.jobs.get(&key) else { return };
        let kind = &self.plan.kinds[job.kind];
        let Some(cost) = kind.queue.advice else { return };
        let step = ask.question.step.step;
        let workers = ask.question.workers.iter().filter(|name| {
            let index = name.split('-').nth(1).and_then(|index| index.parse().ok());
            index.is_some_and(|index| is_eligible(key, step, index, kind))
        });
        let answer = advice::Answer::Eligible {
            workers: workers
                .map(|name| (name.clone(), Bytes::from_static(b"ticket")))
                .collect(),
            valid: None,
        };
        let took = cost.decision + cost.per_worker * ask.question.workers.len() as u32;
        let free = self.helper_free.entry(ask.helper).or_default();
        *free = (*free).max(self.now) + took;
        let delay = free.saturating_sub(self.now) + LATENCY * 2;
        self.at(delay, Event::Advised(ask.number, answer));
    }

    fn crash(&mut self) {
        let index = self.rng.random_range(0..self.places.len());
        if let Some(worker) = self.places[index].worker.take() {
            for (task, active) in worker.runs {
                self.waste(&active);
                if self.is_gang(task) {
                    self.break_gang(task, active.run);
                }
            }
            self.places[index].waiting.clear();
            let delay = Duration::from_millis(self.rng.random_range(500..6_000));
            self.at(delay, Event::Return(index));
        }
    }

    fn cut(&mut self) {
        let index = self.rng.random_range(0..self.places.len());
        self.places[index].cut = true;
        let delay = Duration::from_millis(self.rng.random_range(1_000..14_000));
        self.at(delay, Event::Heal(index));
    }

    fn fail(&mut self) {
        let index = self.rng.random_range(0..self.places.len());
        if let Some(worker) = &mut self.places[index].worker {
            worker.failing = true;
        }
        let delay = Duration::from_millis(self.rng.random_range(2_000..7_000));
        self.at(delay, Event::Recover(index));
    }

    fn is_gang(&self, task: order::Task) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| job.submission.steps[usize::from(task.step)].gang)
    }

    fn waste(&mut self, active: &worker::Active) {
        let took = self.now.saturating_sub(active.started);
        self.report.wasted += took.as_millis() as u64 * u64::from(active.size.cpu_milli) / 1_000;
    }

    fn trace(&mut self, event: &dispatch::Event) {
        let Some(key) = self.plan.trace else { return };
        let text = event.to_string();
        if text.contains(&format!("{key:016x}")) || text.starts_with("belief") {
            self.report.trace.push(format!("{:?} {text}", self.now));
        }
    }

    fn break_promise(&mut self, what: &str) {
        self.report.broken.push(format!("{:?}: {what}", self.now));
    }

    /// Checks a start and lets it run.
    fn begin(&mut self, index: usize, task: order::Task, run: order::Run) {
        self.report.starts += 1;
        self.check_start(index, task, run);
        let job = &self.jobs[&task.job];
        let spec = &job.submission.steps[usize::from(task.step)];
        let (size, gang, hopeless) = (spec.size, spec.gang, job.hopeless);
        let run_time = load::run_time(job, task);
        let now = self.now;
        let Some(worker) = &mut self.places[index].worker else {
            return;
        };
        let took = run_time.mul_f64(worker.slowness);
        let fails = worker.failing || hopeless;
        let active = worker::Active {
            run,
            size,
            started: now,
            done_at: (!gang).then_some(now + if fails { took / 4 } else { took }),
            stopped_at: None,
            alone: gang,
            fails,
        };
        worker.runs.insert(task, active);
        let (room, used) = (worker.room, worker.used());
        let name = worker.name.clone();
        if !used.fits(&room) {
            self.break_promise(&format!("{name} runs {used:?} in {room:?}"));
        }
        if gang {
            self.complete_gang(task, run);
        }
    }

    fn check_start(&mut self, index: usize, task: order::Task, run: order::Run) {
        let mut elsewhere = Vec::new();
        for (other, place) in self.places.iter().enumerate() {
            let Some(worker) = &place.worker else { continue };
            let twice = worker
                .runs
                .get(&task)
                .is_some_and(|active| active.run != run || other != index);
            if twice {
                elsewhere.push(worker.name.clone());
            }
        }
        for name in elsewhere {
            self.break_promise(&format!("{task} run {run} starts while it runs on {name}"));
        }
        if self.noted.contains(&task) {
            self.break_promise(&format!("{task} run {run} starts after its end was noted"));
        }
        let Some(job) = self.jobs.get(&task.job) else {
            self.break_promise(&format!("{task} was never submitted"));
            return;
        };
        let spec = &job.submission.steps[usize::from(task.step)];
        for before in spec.after.clone() {
            let tasks = job.submission.steps[usize::from(before)].tasks;
            let open = (0..tasks).find(|index| {
                let other = order::Task {
                    step: before,
                    index: *index,
                    ..task
                };
                !self.done.contains(&other)
            });
            if let Some(open) = open {
                self.break_promise(&format!(
                    "{task} starts before task {open} of step {before} is done"
                ));
                return;
            }
        }
        let key = failure_key(task, spec.gang);
        self.begun.entry(key).or_default().push(self.now);
        self.check_attempts(key);
        let limit_ms = Duration::from_secs(3);
        let cancelled = self.cancelled.get(&task.job).copied();
        if cancelled.is_some_and(|at| self.now > at + limit_ms) && self.plan.faults.late_orders == 0.0 {
            self.break_promise(&format!("{task} starts after its job was cancelled"));
        }
        self.check_limit(task);
    }

    /// Checks that no run of a task began after its last attempt had failed.
    fn check_attempts(&mut self, key: order::Task) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let attempts = self.plan.kinds[job.kind].queue.attempts as usize;
        let (Some(failures), Some(begun)) = (self.failures.get(&key), self.begun.get(&key)) else {
            return;
        };
        let late = begun
            .iter()
            .any(|begun| failures.values().filter(|ended| *ended < begun).count() >= attempts);
        if late {
            self.break_promise(&format!("{key} starts after {attempts} failures"));
        }
    }

    fn note_ends(&mut self, noted: Vec<(order::Ended, Duration)>) {
        for (ended, at) in noted {
            match ended.outcome {
                order::Outcome::Done => {
                    self.noted.insert(ended.task);
                }
                order::Outcome::Failed => {
                    let key = failure_key(ended.task, self.is_gang(ended.task));
                    self.failures.entry(key).or_default().insert(ended.run, at);
                    self.check_attempts(key);
                }
                _ => {}
            }
        }
    }

    fn check_limit(&mut self, task: order::Task) {
        let team = self.jobs[&task.job].team.clone();
        let limit = self.plan.teams.iter().find(|(name, _)| *name == team);
        let Some((_, limit)) = limit.cloned() else { return };
        let mut used = 0_u64;
        for worker in self.places.iter().filter_map(|place| place.worker.as_ref()) {
            for (other, active) in &worker.runs {
                if self.jobs.get(&other.job).is_some_and(|job| job.team == team) {
                    used += u64::from(active.size.cpu_milli);
                }
            }
        }
        if limit.cpu_milli > 0 && used > u64::from(limit.cpu_milli) * 11 / 10 {
            self.break_promise(&format!("{team} runs {used} thousandths of a core"));
        }
    }

    /// Lets a gang work when all of its members are there.
    fn complete_gang(&mut self, task: order::Task, run: order::Run) {
        let job = &self.jobs[&task.job];
        let tasks = job.submission.steps[usize::from(task.step)].tasks;
        let longest = (0..tasks)
            .map(|index| load::run_time(job, order::Task { index, ..task }))
            .max()
            .unwrap_or_default();
        let mut present = 0;
        let mut slowest = 1.0_f64;
        for worker in self.places.iter().filter_map(|place| place.worker.as_ref()) {
            let members = worker.runs.iter().filter(|(other, active)| {
                same_step(**other, task) && active.run == run && active.stopped_at.is_none()
            });
            let count = members.count() as u32;
            present += count;
            if count > 0 {
                slowest = slowest.max(worker.slowness);
            }
        }
        if present < tasks {
            return;
        }
        let done_at = self.now + longest.mul_f64(slowest);
        for worker in self.places.iter_mut().filter_map(|place| place.worker.as_mut()) {
            for (other, active) in &mut worker.runs {
                if same_step(*other, task) && active.run == run {
                    active.alone = false;
                    active.done_at = Some(done_at);
                }
            }
        }
    }

    /// Ends what is due on a worker.
    fn work_ends(&mut self, index: usize) {
        let now = self.now;
        let due = match &mut self.places[index].worker {
            Some(worker) => worker.due(now),
            None => return,
        };
        for (task, run, outcome) in due {
            self.end(index, task, run, outcome);
        }
        self.release_reports(index);
    }

    fn end(&mut self, index: usize, task: order::Task, run: order::Run, outcome: order::Outcome) {
        let now = self.now;
        let Some(worker) = &mut self.places[index].worker else {
            return;
        };
        let Some(active) = worker.runs.get(&task).cloned() else {
            return;
        };
        worker.end(now, task, outcome);
        let gang = self.jobs[&task.job].submission.steps[usize::from(task.step)].gang;
        match outcome {
            // The end of one member stands for the whole gang.
            order::Outcome::Done if gang => {
                let tasks = self.jobs[&task.job].submission.steps[usize::from(task.step)].tasks;
                let members = (0..tasks).map(|index| order::Task { index, ..task });
                self.done.extend(members);
            }
            order::Outcome::Done => {
                self.done.insert(task);
            }
            _ => self.waste(&active),
        }
        if gang && outcome != order::Outcome::Done {
            self.break_gang(task, run);
        }
    }

    fn break_gang(&mut self, task: order::Task, run: order::Run) {
        let now = self.now;
        let mut broken = Vec::new();
        for (index, place) in self.places.iter().enumerate() {
            let Some(worker) = &place.worker else { continue };
            for (other, active) in &worker.runs {
                if same_step(*other, task) && active.run == run && !active.alone {
                    broken.push((index, *other, active.clone()));
                }
            }
        }
        for (index, other, active) in broken {
            if let Some(worker) = &mut self.places[index].worker {
                worker.end(now, other, order::Outcome::Broken);
            }
            self.waste(&active);
        }
    }
}

/// Eligibility does not change: it follows from the step and the place of the worker.
fn is_eligible(key: job::Key, step: u16, worker: usize, kind: &load::Kind) -> bool {
    let mut rng = SmallRng::seed_from_u64(key ^ (u64::from(step) << 32) ^ worker as u64);
    rng.random_bool(kind.eligible)
}

const fn same_step(left: order::Task, right: order::Task) -> bool {
    left.job == right.job && left.occurrence == right.occurrence && left.step == right.step
}

/// A gang counts its failures together.
const fn failure_key(task: order::Task, gang: bool) -> order::Task {
    if gang {
        order::Task { index: 0, ..task }
    } else {
        task
    }
}
