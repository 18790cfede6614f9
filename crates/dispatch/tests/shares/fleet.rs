//! A leader with workers that complete their runs, in simulated time, and callers of several teams.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_dispatch::{
    dispatch::{Config, Dispatch, Event, Now, Output, Registration},
    recent,
};
use bronzespoke_model::resource;
use bronzespoke_standin::fleet::load;
use bronzespoke_workload::{catalog, directive, job, settings};
use bytes::Bytes;

pub const EPOCH_MS: u64 = 1_700_000_000_000;
const STARTED_MS: u64 = 5;
/// Processors of a worker, in thousandths of a core.
pub const CPU: u32 = 16_000;
const MEMORY: u32 = 64_000;

/// A job with one step whose tasks all take the same time.
#[derive(Debug, Clone)]
pub struct Job {
    pub team: String,
    pub queue: catalog::Queue,
    pub tasks: u32,
    pub cpu: u32,
    pub run_time: Duration,
    pub gang: bool,
}

impl Job {
    pub fn objective(&self) -> Duration {
        self.run_time.mul_f64(self.queue.stretch) + self.queue.objective
    }
}

/// A queue of the fleet's pool.
pub fn queue(name: &str, priority: u32, stretch: f64, objective_ms: u64) -> catalog::Queue {
    load::queue(name, priority, Duration::from_millis(objective_ms), stretch, 3)
}

/// What became of the jobs of a team.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Served {
    pub submitted: u32,
    pub on_time: u32,
    /// Completed within three times the objective.
    pub useful: u32,
    pub completed: u32,
}

pub struct Fleet {
    pub state: cell::State,
    pub dispatch: Dispatch,
    pub millis: u64,
    /// Whether jobs are submitted with the name of their team. Without it, the order of the waiting work is that by
    /// slack alone.
    teams: bool,
    config: Config,
    wall_offset: i64,
    running: BTreeMap<cell::WorkerIndex, BTreeMap<directive::Task, (directive::Run, u64)>>,
    ended: HashMap<cell::WorkerIndex, Vec<directive::Ended>>,
    reports: Vec<(u64, cell::WorkerIndex, directive::Directive, Duration)>,
    jobs: HashMap<job::Key, (Job, u64)>,
    next: job::Key,
    /// Times from submission to the end of the job, by job.
    pub took: HashMap<job::Key, Duration>,
    pub events: Vec<Event>,
    pub learned: Vec<cell::Command>,
}

impl Fleet {
    pub fn new(workers: u16, weights: &[(&str, f64)], teams: bool) -> Self {
        Self::with_past_use(workers, weights, teams, None, &[])
    }

    /// A fleet that counts past use with a half-life; `recorded` is what earlier leaders have recorded, in millionths.
    pub fn with_past_use(
        workers: u16,
        weights: &[(&str, f64)],
        teams: bool,
        past_use: Option<Duration>,
        recorded: &[(&str, u64)],
    ) -> Self {
        let catalog = catalog::Catalog {
            version: 1,
            queues: vec![queue("urgent", 0, 1.5, 400)],
            pools: Vec::new(),
            teams: weights
                .iter()
                .map(|(name, weight)| catalog::Team {
                    name: String::from(*name),
                    keys: Vec::new(),
                    weight: *weight,
                    limit: resource::Amount::ZERO,
                })
                .collect(),
        };
        let mut state = cell::State::default();
        state.apply(
            1,
            cell::Command::Configure {
                catalog: Box::new(catalog),
                document: Bytes::new(),
            },
        );
        let config = Config {
            token: 1,
            bounds: settings::Bounds::default(),
            past_use,
        };
        let learn = |(team, share_micro): &(&str, u64)| {
            let share_micro = *share_micro;
            (String::from(*team), Some(cell::PastUse { share_micro }))
        };
        state.apply(
            1,
            cell::Command::Learn {
                speeds: Vec::new(),
                past_use: recorded.iter().map(learn).collect(),
            },
        );
        let mut fleet = Self {
            dispatch: Dispatch::new(config, &state, &recent::Starts::new(Duration::ZERO), at(0, 0)),
            state,
            millis: 0,
            teams,
            config,
            wall_offset: 0,
            running: BTreeMap::new(),
            ended: HashMap::new(),
            reports: Vec::new(),
            jobs: HashMap::new(),
            next: 1,
            took: HashMap::new(),
            events: Vec::new(),
            learned: Vec::new(),
        };
        for number in 0..workers {
            let room = resource::Amount::new(CPU, MEMORY, 0);
            let announcement = load::announcement(number, STARTED_MS, room);
            let now = fleet.now().steady;
            if let Registration::Propose(command) = fleet.dispatch.announce(&fleet.state, now, &announcement)
            {
                fleet.commit(&command);
            }
        }
        fleet.run(1_200);
        fleet
    }

    pub fn now(&self) -> Now {
        at(self.millis, self.wall_offset)
    }

    /// Replaces the leader by a new one, which has only the replicated state.
    pub fn elect(&mut self) {
        self.config.token += 1;
        self.dispatch = Dispatch::new(
            self.config,
            &self.state,
            &recent::Starts::new(Duration::ZERO),
            self.now(),
        );
        self.reports.clear();
    }

    /// Moves the wall clock.
    pub const fn jump(&mut self, millis: i64) {
        self.wall_offset += millis;
    }

    pub fn submit(&mut self, job: Job) -> job::Key {
        let key = self.next;
        self.next += 1;
        let step = job::Step {
            tasks: job.tasks,
            size: resource::Amount::new(job.cpu, 100, 0),
            run_time: job.run_time,
            gang: job.gang,
            ..job::Step::default()
        };
        let command = cell::Command::Submit {
            key,
            queue: Box::new(job.queue.clone()),
            team: self.teams.then(|| job.team.clone()),
            submission: Box::new(job::Submission {
                spec: Bytes::new(),
                steps: vec![step],
                schedule: None,
            }),
        };
        self.jobs.insert(key, (job, self.millis));
        self.commit(&command);
        key
    }

    fn commit(&mut self, command: &cell::Command) {
        let now = self.now();
        let outcome = self.state.apply(now.wall_ms, command.clone());
        if let cell::Outcome::Finished(keys) = &outcome {
            for key in keys {
                let submitted = self.jobs[key].1;
                self.took
                    .insert(*key, Duration::from_millis(self.millis - submitted));
            }
        }
        if matches!(command, cell::Command::Learn { .. }) {
            self.learned.push(command.clone());
        }
        self.dispatch.committed(&self.state, now, command, &outcome);
    }

    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.millis += 1;
            self.end_due();
            self.answer_reports();
            self.dispatch.tick(&self.state, self.now());
            for output in self.dispatch.take_outputs() {
                match output {
                    Output::Propose(command) => self.commit(&command),
                    Output::Directive {
                        worker,
                        directive,
                        decided,
                    } => self.direct(worker, directive, decided),
                    Output::Query(_) => {}
                    Output::Event(event) => self.events.push(event),
                }
            }
        }
    }

    /// Dominant share of the fleet's processors that the runs of a team's jobs use.
    pub fn share(&self, team: &str) -> f64 {
        let runs = self.running.values().flat_map(BTreeMap::keys);
        let jobs = runs.map(|task| &self.jobs[&task.job].0);
        let used: u32 = jobs.filter(|job| job.team == team).map(|job| job.cpu).sum();
        f64::from(used) / self.capacity()
    }

    pub fn capacity(&self) -> f64 {
        self.dispatch.workers().len() as f64 * f64::from(CPU)
    }

    pub fn used(&self) -> f64 {
        let runs = self.running.values().flat_map(BTreeMap::keys);
        let used: u32 = runs.map(|task| self.jobs[&task.job].0.cpu).sum();
        f64::from(used) / self.capacity()
    }

    /// Results of the jobs that `filter` selects by job and time of submission in milliseconds.
    pub fn served(&self, filter: impl Fn(&Job, u64) -> bool) -> Served {
        let mut served = Served::default();
        for (key, (job, submitted)) in &self.jobs {
            if !filter(job, *submitted) {
                continue;
            }
            served.submitted += 1;
            if let Some(took) = self.took.get(key) {
                served.completed += 1;
                served.on_time += u32::from(*took <= job.objective());
                served.useful += u32::from(*took <= job.objective() * 3);
            }
        }
        served
    }

    fn end_due(&mut self) {
        for (worker, running) in &mut self.running {
            let due: Vec<directive::Task> = running
                .iter()
                .filter(|(task, (_, since))| {
                    let run_time = self.jobs[&task.job].0.run_time.as_millis() as u64;
                    self.millis >= *since + run_time
                })
                .map(|(task, _)| *task)
                .collect();
            for task in due {
                let (run, _) = running.remove(&task).expect("it runs");
                let ended = self.ended.entry(*worker).or_default();
                let number = ended.last().map_or(1, |ended| ended.number + 1);
                ended.push(directive::Ended {
                    number,
                    task,
                    run,
                    outcome: directive::Outcome::Done,
                    checkpoint: None,
                });
            }
        }
    }

    fn answer_reports(&mut self) {
        let reports = std::mem::take(&mut self.reports);
        for (due, worker, directive, decided) in reports {
            let directive::Directive::Renew { acknowledged, .. } = &directive else {
                continue;
            };
            let ended = self.ended.entry(worker).or_default();
            let newest = ended.last().map_or(0, |ended| ended.number);
            if self.millis < due && newest <= *acknowledged {
                self.reports.push((due, worker, directive, decided));
                continue;
            }
            let reported: Vec<directive::Ended> = ended
                .iter()
                .filter(|ended| ended.number > *acknowledged)
                .cloned()
                .collect();
            let running = self.running.entry(worker).or_default();
            let answer = directive::Answer::Report(directive::Report {
                clock: Duration::from_millis(self.millis),
                started_ms: Some(STARTED_MS),
                running: running
                    .iter()
                    .map(|(task, (run, _))| directive::Running {
                        task: *task,
                        run: *run,
                        checkpoint: None,
                        percent: 1,
                        load: None,
                    })
                    .collect(),
                ended: reported,
                truncated: false,
            });
            let now = self.now();
            self.dispatch
                .answered(&self.state, now, worker, &directive, decided, Some(&answer));
        }
    }

    fn direct(&mut self, worker: cell::WorkerIndex, directive: directive::Directive, decided: Duration) {
        match &directive {
            directive::Directive::Renew { wait, .. } => {
                let due = self.millis + wait.as_millis() as u64;
                self.reports.push((due, worker, directive, decided));
                return;
            }
            directive::Directive::Start { task, run, .. } => {
                let running = self.running.entry(worker).or_default();
                running.insert(*task, (*run, self.millis));
                let sum: u32 = running.keys().map(|task| self.jobs[&task.job].0.cpu).sum();
                assert!(sum <= CPU, "worker {worker} runs {sum}");
            }
            _ => {}
        }
        let answer = directive::Answer::Done {
            clock: Duration::from_millis(self.millis),
        };
        let now = self.now();
        self.dispatch
            .answered(&self.state, now, worker, &directive, decided, Some(&answer));
    }
}

const fn at(millis: u64, wall_offset: i64) -> Now {
    Now {
        steady: Duration::from_millis(millis),
        wall_ms: (EPOCH_MS + millis).saturating_add_signed(wall_offset),
    }
}
