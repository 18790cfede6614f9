//! A leader that commits commands at once, unless the test keeps them, and leaves the directives to the test.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_dispatch::{
    dispatch::{Config, Dispatch, Now, Output, Registration},
    recent,
};
use bronzespoke_model::resource;
use bronzespoke_standin::fleet::load;
use bronzespoke_workload::{directive, job, settings, worker};
use bytes::Bytes;

pub const KEY: job::Key = 7;
pub const TASK: directive::Task = directive::Task {
    job: KEY,
    occurrence: 0,
    step: 0,
    index: 0,
};

/// Resources of each worker.
const ROOM: resource::Amount = resource::Amount::new(8_000, 8_000, 0);

pub const fn at(millis: u64) -> Now {
    Now {
        steady: Duration::from_millis(millis),
        wall_ms: 1_700_000_000_000 + millis,
    }
}

/// Worker of a directive, the directive, and the time of its decision.
pub type Sent = (cell::WorkerIndex, directive::Directive, Duration);

/// A leader that commits commands at once, unless the test keeps them, and leaves the directives to the test.
pub struct Leader {
    pub state: cell::State,
    /// Starts that were applied to `state` recently.
    pub recent: recent::Starts,
    pub dispatch: Dispatch,
    pub now: Now,
    /// Selects the commands that are kept in `proposed`; all others are committed at once.
    pub keeps: fn(&cell::Command) -> bool,
    /// Proposed commands that are not committed.
    pub proposed: Vec<cell::Command>,
}

impl Leader {
    pub fn new() -> Self {
        let state = load::configured(load::queue("check", 0, Duration::from_millis(400), 1.5, 2));
        let dispatch = Dispatch::new(config(1), &state, &recent::Starts::new(Duration::ZERO), at(0));
        let now = at(0);
        Self {
            state,
            recent: recent::Starts::new(Duration::ZERO),
            dispatch,
            now,
            keeps: |_| false,
            proposed: Vec::new(),
        }
    }

    pub fn elect(&mut self, term: u64) {
        self.dispatch = Dispatch::new(config(term), &self.state, &self.recent, self.now);
    }

    pub fn announce(&mut self, number: u16, started_ms: u64) {
        self.announce_as(&format!("w-{number}"), number, started_ms);
    }

    /// Announces a worker with any name at the address of a worker.
    pub fn announce_as(&mut self, name: &str, at: u16, started_ms: u64) {
        let mut announcement = load::announcement(at, started_ms, ROOM);
        announcement.incarnation.name = String::from(name);
        self.receive(&announcement);
    }

    /// Announces that a worker is draining, as it does before a planned end.
    pub fn announce_draining(&mut self, number: u16, started_ms: u64) {
        let mut announcement = load::announcement(number, started_ms, ROOM);
        announcement.state = worker::State::Draining { remaining: None };
        self.receive(&announcement);
    }

    pub fn receive(&mut self, announcement: &worker::Announcement) {
        let steady = self.now.steady;
        if let Registration::Propose(command) = self.dispatch.announce(&self.state, steady, announcement) {
            self.commit(&command);
        }
    }

    /// Returns a leader with workers that have reported.
    pub fn with_workers(count: u16) -> Self {
        let mut leader = Self::new();
        for number in 0..count {
            leader.announce(number, 5);
        }
        for request in leader.run(30) {
            leader.report(&request, 5, Vec::new());
        }
        leader
    }

    /// Submits the task; returns its start, which is not answered yet, and the other directives.
    pub fn start_task(&mut self) -> (Sent, Vec<Sent>) {
        self.submit();
        let sent = self.run(30);
        let (starts, others): (Vec<_>, Vec<_>) = sent
            .into_iter()
            .partition(|(_, directive, _)| is_start(directive));
        let [start] = starts.try_into().expect("the task is started once");
        (start, others)
    }

    /// Answers a start or a stop: the directive was carried out.
    pub fn confirm(&mut self, sent: &Sent) {
        let clock = self.now.steady;
        self.answer(sent, Some(&directive::Answer::Done { clock }));
    }

    /// Passes the answer to a directive, or its absence, to the leader.
    pub fn answer(&mut self, (worker, directive, decided): &Sent, answer: Option<&directive::Answer>) {
        self.dispatch
            .answered(&self.state, self.now, *worker, directive, *decided, answer);
    }

    /// Returns a leader with two workers, the index of the one that runs the only task, and that of the other one.
    pub fn with_run() -> (Self, cell::WorkerIndex, cell::WorkerIndex) {
        let mut leader = Self::with_workers(2);
        let (start, others) = leader.start_task();
        leader.confirm(&start);
        let placed = start.0;
        for request in &others {
            leader.report_running(request, placed);
        }
        (leader, placed, 1 - placed)
    }

    /// Answers a request for a report as the worker at the address of `worker` with start time 5. The one at the address
    /// of `placed` runs the task.
    pub fn report_running(&mut self, request: &Sent, placed: cell::WorkerIndex) {
        let Some(record) = self.dispatch.workers().get(&request.0) else {
            return;
        };
        let names = [0, 1].map(|number| format!("w-{number}"));
        let address = record.announced.address;
        let answering = usize::from(address.port() - 1_000);
        let answer = if record.incarnation.name == names[answering] {
            directive::Answer::Report(directive::Report {
                clock: self.now.steady,
                started_ms: Some(5),
                running: if answering == placed as usize {
                    vec![running()]
                } else {
                    Vec::new()
                },
                ended: Vec::new(),
                truncated: false,
            })
        } else {
            directive::Answer::Refused {
                reason: directive::Refusal::OtherIncarnation,
                clock: None,
            }
        };
        self.answer(request, Some(&answer));
    }

    /// Advances the time by 50 ms while the task runs on `placed`, and checks that it is not started elsewhere.
    pub fn run_undisturbed(&mut self, placed: cell::WorkerIndex) {
        for request in self.run(50) {
            assert!(
                !is_start(&request.1),
                "the task runs elsewhere although its worker is at work: {request:?}"
            );
            self.report_running(&request, placed);
        }
    }

    pub fn submit(&mut self) {
        let step = job::Step {
            tasks: 1,
            size: resource::Amount::new(1_000, 100, 0),
            run_time: Duration::from_secs(1),
            ..job::Step::default()
        };
        self.submit_step(step);
    }

    /// Submits a job with one step.
    pub fn submit_step(&mut self, step: job::Step) {
        self.commit(&cell::Command::Submit {
            key: KEY,
            queue: Box::new(load::queue("check", 0, Duration::from_millis(400), 1.5, 2)),
            team: None,
            submission: Box::new(job::Submission {
                spec: Bytes::new(),
                steps: vec![step],
                schedule: None,
            }),
        });
    }

    pub fn propose(&mut self, command: cell::Command) {
        if (self.keeps)(&command) {
            self.proposed.push(command);
        } else {
            self.commit(&command);
        }
    }

    /// Rejects a command that was kept.
    pub fn reject(&mut self, command: &cell::Command) {
        self.dispatch.rejected(&self.state, self.now.steady, command);
    }

    pub fn commit(&mut self, command: &cell::Command) {
        self.recent.observe(self.now.steady, command);
        let outcome = self.state.apply(self.now.wall_ms, command.clone());
        self.dispatch.committed(&self.state, self.now, command, &outcome);
    }

    /// Advances the time and returns the directives that are sent.
    pub fn run(&mut self, millis: u64) -> Vec<Sent> {
        let mut directives = Vec::new();
        for _ in 0..millis {
            self.now = at(self.now.steady.as_millis() as u64 + 1);
            self.dispatch.tick(&self.state, self.now);
            for output in self.dispatch.take_outputs() {
                match output {
                    Output::Propose(command) => self.propose(command),
                    Output::Directive {
                        worker,
                        directive,
                        decided,
                    } => directives.push((worker, directive, decided)),
                    Output::Query(_) | Output::Event(_) => {}
                }
            }
        }
        directives
    }

    /// Returns the time until which the task stays placed while nothing answers, at most 20 s from now.
    pub fn placed_until(&mut self) -> Duration {
        let limit = self.now.steady + Duration::from_secs(20);
        while self.now.steady < limit && self.state.task(TASK).is_some_and(|task| task.placed.is_some()) {
            self.run(1);
        }
        self.now.steady
    }

    /// Answers a request for a report with one that lists no runs.
    pub fn report(&mut self, request: &Sent, started_ms: u64, ended: Vec<directive::Ended>) {
        self.report_ends(request, started_ms, ended, false);
    }

    /// Answers a request for a report with one that lists the first run of the task.
    pub fn report_run(&mut self, request: &Sent, started_ms: u64) {
        let report = directive::Report {
            clock: self.now.steady,
            started_ms: Some(started_ms),
            running: vec![running()],
            ..directive::Report::default()
        };
        self.answer(request, Some(&directive::Answer::Report(report)));
    }

    pub fn report_ends(
        &mut self,
        request: &Sent,
        started_ms: u64,
        ended: Vec<directive::Ended>,
        truncated: bool,
    ) {
        let answer = directive::Answer::Report(directive::Report {
            clock: self.now.steady,
            started_ms: Some(started_ms),
            running: Vec::new(),
            ended,
            truncated,
        });
        self.answer(request, Some(&answer));
    }
}

pub fn config(token: u64) -> Config {
    Config {
        token,
        bounds: settings::Bounds::default(),
        past_use: None,
    }
}

pub fn is_start(directive: &directive::Directive) -> bool {
    matches!(directive, directive::Directive::Start { .. })
}

/// Returns the row of the first run of the task in a report.
pub const fn running() -> directive::Running {
    directive::Running {
        task: TASK,
        run: 1,
        checkpoint: None,
        percent: 1,
        load: None,
    }
}

pub const fn is_end_command(command: &cell::Command) -> bool {
    matches!(command, cell::Command::End(_))
}

/// Returns the numbers of the runs that are started.
pub fn started_runs(sent: &[Sent]) -> Vec<directive::Run> {
    let runs = sent.iter().filter_map(|(_, directive, _)| match directive {
        directive::Directive::Start { run, .. } => Some(*run),
        _ => None,
    });
    runs.collect()
}

/// Returns the highest number that requests for reports acknowledge.
pub fn acknowledged(sent: &[Sent]) -> Option<u64> {
    let acknowledged = sent.iter().filter_map(|(_, directive, _)| match directive {
        directive::Directive::Renew { acknowledged, .. } => Some(*acknowledged),
        _ => None,
    });
    acknowledged.max()
}

pub const fn done(run: directive::Run) -> directive::Ended {
    directive::Ended {
        number: 1,
        task: TASK,
        run,
        outcome: directive::Outcome::Done,
        checkpoint: None,
    }
}
