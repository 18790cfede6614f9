//! Gangs that do not fit, and the work beside them.

#[path = "restarts/leader.rs"]
#[expect(dead_code, reason = "the other tests use the rest")]
mod leader;

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_standin::fleet::load;
use bronzespoke_workload::{directive, job};
use bytes::Bytes;
use leader::Leader;
use yare::parameterized;

const LASTING: job::Key = 1;
const GANG: job::Key = 2;
const SMALL: job::Key = 3;
/// Interval between two reports of a worker.
const REPORT_INTERVAL_MS: u64 = 50;

/// A leader with workers of eight cores each, on which runs make steady progress and end in time.
struct Fleet {
    leader: Leader,
    /// Start, run time and number of the runs by worker and task.
    runs: BTreeMap<(cell::WorkerIndex, directive::Task), (Duration, Duration, directive::Run)>,
    /// Run time of the tasks of each job; longer than the stated one if the estimate is wrong.
    run_times: BTreeMap<job::Key, Duration>,
    started: BTreeMap<job::Key, u32>,
    ended: BTreeMap<cell::WorkerIndex, Vec<directive::Ended>>,
}

impl Fleet {
    fn new(workers: u16) -> Self {
        Self {
            leader: Leader::with_workers(workers),
            runs: BTreeMap::new(),
            run_times: BTreeMap::new(),
            started: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// Submits a job to a queue of a priority; its runs take `run_time`.
    fn submit(&mut self, key: job::Key, priority: u32, step: job::Step, run_time: Duration) {
        self.run_times.insert(key, run_time);
        let name = format!("priority-{priority}");
        let mut queue = load::queue(&name, priority, Duration::from_secs(3), 4.0, 2);
        queue.advice = None;
        self.leader.commit(&cell::Command::Submit {
            key,
            queue: Box::new(queue),
            team: None,
            submission: Box::new(job::Submission {
                spec: Bytes::new(),
                steps: vec![step],
                schedule: None,
            }),
        });
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / REPORT_INTERVAL_MS {
            for sent in self.leader.run(REPORT_INTERVAL_MS) {
                self.answer(&sent);
            }
        }
    }

    fn answer(&mut self, sent: &leader::Sent) {
        let now = self.leader.now.steady;
        let worker = sent.0;
        match &sent.1 {
            directive::Directive::Start { task, run, .. } => {
                let run_time = self.run_times[&task.job];
                self.runs.insert((worker, *task), (now, run_time, *run));
                *self.started.entry(task.job).or_default() += 1;
                self.leader.confirm(sent);
            }
            directive::Directive::Renew { .. } => {
                let report = self.report(worker, now);
                self.leader.answer(sent, Some(&directive::Answer::Report(report)));
            }
            _ => self.leader.confirm(sent),
        }
    }

    fn report(&mut self, worker: cell::WorkerIndex, now: Duration) -> directive::Report {
        let ended = self.ended.entry(worker).or_default();
        let mut running = Vec::new();
        self.runs.retain(|(on, task), (since, run_time, run)| {
            let elapsed = now.saturating_sub(*since);
            if *on != worker {
                return true;
            }
            if elapsed >= *run_time {
                ended.push(directive::Ended {
                    number: ended.len() as u64 + 1,
                    task: *task,
                    run: *run,
                    outcome: directive::Outcome::Done,
                    checkpoint: None,
                });
                return false;
            }
            running.push(directive::Running {
                task: *task,
                run: *run,
                checkpoint: None,
                percent: if task.job == LASTING {
                    100
                } else {
                    (elapsed.as_millis() * 100 / run_time.as_millis()) as u8
                },
                load: None,
            });
            true
        });
        directive::Report {
            clock: now,
            started_ms: Some(5),
            running,
            ended: ended.clone(),
            truncated: false,
        }
    }

    fn started(&self, key: job::Key) -> u32 {
        self.started.get(&key).copied().unwrap_or_default()
    }
}

fn step(tasks: u32, cpu_milli: u32, stated_ms: u64) -> job::Step {
    job::Step {
        tasks,
        size: resource::Amount::new(cpu_milli, 100, 0),
        run_time: Duration::from_millis(stated_ms),
        per_worker: 1,
        ..job::Step::default()
    }
}

fn gang(tasks: u32, cpu_milli: u32) -> job::Step {
    job::Step {
        gang: true,
        ..step(tasks, cpu_milli, 30_000)
    }
}

fn lasting(tasks: u32, cpu_milli: u32) -> job::Step {
    job::Step {
        lasting: true,
        ..step(tasks, cpu_milli, 1_000)
    }
}

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Guards against small jobs that wait for as long as a gang waits which fits only without tasks that last: half of the
/// fleet was free.
#[parameterized(
    same_leader = { false },
    new_leader = { true },
)]
fn a_gang_that_does_not_fit_beside_lasting_tasks_keeps_no_one_waiting(is_elected: bool) {
    let mut fleet = Fleet::new(4);
    fleet.submit(LASTING, 2, lasting(4, 3_700), secs(3_600));
    fleet.run(3_000);
    assert_eq!(fleet.started(LASTING), 4);
    if is_elected {
        fleet.leader.elect(2);
        fleet.run(500);
    }
    fleet.submit(GANG, 0, gang(4, 4_500), secs(5));
    fleet.run(2_000);
    fleet.submit(SMALL, 2, step(4, 500, 300), Duration::from_millis(300));
    fleet.run(1_000);
    assert_eq!(fleet.started(SMALL), 4);
    assert_eq!(fleet.started(GANG), 0);
}

/// Guards against small jobs that wait for a gang whose room is overdue: the runs in its way take much longer than stated,
/// and show no progress yet.
#[test]
fn an_overdue_run_does_not_keep_its_worker_reserved() {
    let mut fleet = Fleet::new(4);
    fleet.submit(LASTING, 2, step(4, 3_700, 1_000), secs(3_600));
    fleet.run(500);
    fleet.submit(GANG, 0, gang(4, 4_500), secs(5));
    fleet.run(3_000);
    fleet.submit(SMALL, 2, step(4, 500, 300), Duration::from_millis(300));
    fleet.run(1_000);
    assert_eq!(fleet.started(SMALL), 4);
}

/// Guards against long jobs that wait although half of the fleet is free and they fit beside the gang that the workers are
/// reserved for, and against ones that take its room.
#[test]
fn long_work_passes_a_waiting_gang_only_beside_it() {
    let mut fleet = Fleet::new(4);
    fleet.submit(LASTING, 2, step(4, 3_700, 20_000), secs(20));
    fleet.run(500);
    fleet.submit(GANG, 0, gang(2, 5_000), secs(5));
    fleet.run(500);
    // Beside the gang, three cores are free on the two reserved workers.
    let later = SMALL + 1;
    fleet.submit(SMALL, 2, step(4, 2_000, 60_000), secs(60));
    fleet.submit(later, 2, step(4, 2_000, 60_000), secs(60));
    fleet.run(1_000);
    assert_eq!((fleet.started(SMALL), fleet.started(later)), (4, 2));
    fleet.run(20_000);
    assert_eq!(fleet.started(GANG), 2);
}

/// Guards against one gang that reserves the complete fleet.
#[test]
fn a_gang_reserves_half_of_the_fleet_at_most() {
    let mut fleet = Fleet::new(4);
    fleet.submit(LASTING, 2, step(4, 4_000, 20_000), secs(20));
    fleet.run(500);
    fleet.submit(GANG, 0, gang(4, 8_000), secs(5));
    fleet.run(500);
    fleet.submit(SMALL, 2, step(4, 2_000, 60_000), secs(60));
    fleet.run(1_000);
    assert_eq!(fleet.started(SMALL), 2);
}
