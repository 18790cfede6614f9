//! Which runs may be stopped in favour of an urgent step, on one full worker.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_dispatch::dispatch::{Config, Dispatch, Now, Output, Registration};
use bronzespoke_model::resource;
use bronzespoke_standin::fleet::load;
use bronzespoke_workload::{catalog, directive, job, settings};
use bytes::Bytes;
use yare::parameterized;

const fn at(millis: u64) -> Now {
    Now {
        steady: Duration::from_millis(millis),
        wall_ms: 1_700_000_000_000 + millis,
    }
}

/// A leader with one worker, which executes each start at once and never completes it.
struct Leader {
    state: cell::State,
    dispatch: Dispatch,
    millis: u64,
    running: Vec<directive::Running>,
    stops: Vec<directive::Task>,
}

impl Leader {
    fn new() -> Self {
        let queues = vec![
            load::queue("check", 0, Duration::from_millis(400), 1.5, 2),
            load::queue("audit", 2, Duration::from_secs(3), 4.0, 3),
        ];
        let catalog = catalog::Catalog {
            version: 1,
            queues,
            pools: Vec::new(),
            teams: Vec::new(),
        };
        let mut state = cell::State::default();
        let configure = cell::Command::Configure {
            catalog: Box::new(catalog),
            document: Bytes::new(),
        };
        state.apply(1, configure);
        let bounds = settings::Bounds {
            stop: Duration::from_millis(400),
            ..settings::Bounds::default()
        };
        let dispatch = Dispatch::new(
            Config {
                token: 1,
                bounds,
                past_use: None,
            },
            &state,
            at(0),
        );
        let mut leader = Self {
            state,
            dispatch,
            millis: 0,
            running: Vec::new(),
            stops: Vec::new(),
        };
        let announcement = load::announcement(0, 5, resource::Amount::new(8_000, 8_000, 0));
        let steady = at(0).steady;
        if let Registration::Propose(command) = leader.dispatch.announce(&leader.state, steady, &announcement)
        {
            leader.commit(&command);
        }
        leader.run(200);
        leader
    }

    fn commit(&mut self, command: &cell::Command) {
        let now = at(self.millis);
        let outcome = self.state.apply(now.wall_ms, command.clone());
        self.dispatch.committed(&self.state, now, command, &outcome);
    }

    fn submit(&mut self, key: job::Key, queue: usize, step: job::Step) {
        let queue = self.state.catalog().expect("configured").queues[queue].clone();
        let submission = job::Submission {
            spec: Bytes::from_static(b"work"),
            steps: vec![step],
            schedule: None,
        };
        self.commit(&cell::Command::Submit {
            key,
            queue: Box::new(queue),
            team: None,
            submission: Box::new(submission),
        });
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.millis += 1;
            self.dispatch.tick(&self.state, at(self.millis));
            for output in self.dispatch.take_outputs() {
                match output {
                    Output::Propose(command) => self.commit(&command),
                    Output::Directive {
                        worker,
                        directive,
                        decided,
                    } => self.direct(worker, &directive, decided),
                    Output::Query(_) | Output::Event(_) => {}
                }
            }
        }
    }

    fn direct(&mut self, worker: cell::WorkerIndex, directive: &directive::Directive, decided: Duration) {
        let now = at(self.millis);
        let mut answer = directive::Answer::Done { clock: now.steady };
        match directive {
            directive::Directive::Start { task, run, .. } => self.running.push(directive::Running {
                task: *task,
                run: *run,
                checkpoint: None,
                percent: 1,
                load: None,
            }),
            directive::Directive::Stop { task, .. } => self.stops.push(*task),
            directive::Directive::Renew { .. } => {
                answer = directive::Answer::Report(directive::Report {
                    clock: now.steady,
                    started_ms: Some(5),
                    running: self.running.clone(),
                    ..directive::Report::default()
                });
            }
            directive::Directive::Throttle { .. } => {}
        }
        self.dispatch
            .answered(&self.state, now, worker, directive, decided, Some(&answer));
    }
}

fn step(cpu: u32, run_time_ms: u64) -> job::Step {
    job::Step {
        tasks: 1,
        size: resource::Amount::new(cpu, 1_000, 0),
        run_time: Duration::from_millis(run_time_ms),
        ..job::Step::default()
    }
}

/// Guards against stops of work that loses more than an urgent step gains, or that must stay: the worker is full of two
/// runs of the given kind when an urgent step arrives.
#[parameterized(
    checkpoints = { job::Step { checkpoints: true, ..step(4_000, 60_000) }, 1, true },
    none = { step(4_000, 60_000), 1, false },
    lasting = { job::Step { checkpoints: true, lasting: true, allowed_absences: Some(1), ..step(4_000, 60_000) }, 1, false },
    copies = { job::Step { checkpoints: true, copies: true, ..step(4_000, 60_000) }, 1, false },
    gang = { job::Step { checkpoints: true, gang: true, ..step(4_000, 60_000) }, 1, false },
    soon_over = { job::Step { checkpoints: true, ..step(4_000, 1_500) }, 1, false },
    same_priority = { job::Step { checkpoints: true, ..step(4_000, 60_000) }, 0, false },
)]
fn only_work_that_loses_little_is_stopped(long: job::Step, queue: usize, stopped: bool) {
    let mut leader = Leader::new();
    leader.submit(1, queue, job::Step { tasks: 2, ..long });
    leader.run(900);
    assert_eq!(leader.running.len(), 2);
    leader.submit(2, 0, step(2_500, 800));
    leader.run(300);
    assert_eq!(leader.stops.len(), usize::from(stopped), "{:?}", leader.stops);
}
