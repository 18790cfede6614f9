//! Incremental reports of workers, and when reports are answered.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_control::{envelope, zone};
use bronzespoke_daemon::control::session;
use bronzespoke_gateway::control;
use bronzespoke_model::{id, job, resource, task, worker};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::sync::oneshot;
use yare::parameterized;

const WORKER: id::WorkerId = 7;
type PendingReply = oneshot::Receiver<Result<worker::Reply, control::Refusal>>;
type Runs = BTreeMap<id::Token, u32>;

fn running(token: id::Token, usage: u32) -> worker::Running {
    worker::Running {
        task: task::Ref {
            job: id::job(1, token),
            index: 0,
        },
        token,
        usage: resource::Amount::new(usage, 0, 0),
    }
}

fn ended(token: id::Token) -> worker::Ended {
    worker::Ended {
        task: running(token, 0).task,
        token,
        outcome: task::Outcome::Failed,
    }
}

fn report(sequence: u64, base: Option<u64>, runs: &[(id::Token, u32)], ends: &[id::Token]) -> worker::Report {
    worker::Report {
        worker: WORKER,
        incarnation: 1,
        sequence,
        base,
        running: runs
            .iter()
            .map(|(token, usage)| running(*token, *usage))
            .collect(),
        ended: ends.iter().copied().map(ended).collect(),
    }
}

/// Passes a report to the sessions; returns the runs that the scheduler sees, or the field that was refused.
fn submit(sessions: &mut session::Sessions, report: worker::Report) -> Result<Runs, String> {
    let (reply, mut answer) = oneshot::channel();
    match sessions.report(Duration::ZERO, report, reply) {
        Some(full) => {
            assert_eq!(full.base, None, "the scheduler gets full reports only");
            Ok(full
                .running
                .iter()
                .map(|run| (run.token, run.usage.cpu_milli))
                .collect())
        }
        None => match answer.try_recv() {
            Ok(Err(control::Refusal::Invalid { field, .. })) => Err(field),
            other => panic!("a report that is not accepted has to be refused, not {other:?}"),
        },
    }
}

fn refused(field: &str) -> Result<Runs, String> {
    Err(String::from(field))
}

/// Guards against applying a change to another state than the worker meant: a lost change that stays lost, one that
/// counts twice, or one that an older report reverts. Each would leave a run without accounting or without an end.
#[parameterized(
    lost = { vec![report(3, Some(1), &[(12, 5)], &[10])], vec![Ok(Runs::from([(11, 1), (12, 5)]))] },
    // The worker reverted the usage of run 11 after a report whose reply was lost.
    lost_answer = {
        vec![report(2, Some(1), &[(11, 9)], &[]), report(3, Some(1), &[(12, 5)], &[])],
        vec![Ok(Runs::from([(10, 1), (11, 9)])), Ok(Runs::from([(10, 1), (11, 1), (12, 5)]))],
    },
    duplicated = {
        vec![report(2, Some(1), &[], &[10]), report(2, Some(1), &[], &[10]), report(3, Some(2), &[], &[])],
        vec![Ok(Runs::from([(11, 1)])), refused("sequence"), Ok(Runs::from([(11, 1)]))],
    },
    reordered = {
        vec![report(3, Some(1), &[], &[10]), report(2, Some(1), &[(11, 9)], &[]), report(4, Some(3), &[], &[])],
        vec![Ok(Runs::from([(11, 1)])), refused("sequence"), Ok(Runs::from([(11, 1)]))],
    },
    stale_base = {
        vec![report(2, Some(1), &[], &[10]), report(3, Some(2), &[], &[]), report(4, Some(1), &[], &[])],
        vec![Ok(Runs::from([(11, 1)])), Ok(Runs::from([(11, 1)])), refused("base")],
    },
    base_never_taken = { vec![report(3, Some(2), &[], &[])], vec![refused("base")] },
    base_of_a_refused_report = {
        vec![report(3, Some(2), &[], &[]), report(4, Some(3), &[], &[]), report(5, None, &[(11, 2)], &[])],
        vec![refused("base"), refused("base"), Ok(Runs::from([(11, 2)]))],
    },
)]
fn changes_apply_to_their_base(reports: Vec<worker::Report>, expected: Vec<Result<Runs, String>>) {
    let mut sessions = session::Sessions::default();
    let first = submit(&mut sessions, report(1, None, &[(10, 1), (11, 1)], &[]));
    assert_eq!(first, Ok(Runs::from([(10, 1), (11, 1)])));
    let seen: Vec<_> = reports
        .into_iter()
        .map(|report| submit(&mut sessions, report))
        .collect();
    assert_eq!(seen, expected);
}

/// Guards against a leader that accepts an incremental report without knowing its base: all other runs of the worker
/// would count as missing and be started elsewhere while they still run.
#[test]
fn a_new_leader_requires_a_full_report() {
    let mut sessions = session::Sessions::default();
    assert!(submit(&mut sessions, report(1, None, &[(10, 1)], &[])).is_ok());
    let mut sessions = session::Sessions::default();
    assert_eq!(
        submit(&mut sessions, report(2, Some(1), &[], &[])),
        refused("base")
    );
    assert_eq!(
        submit(&mut sessions, report(3, Some(0), &[], &[])),
        refused("base")
    );
    let full = submit(&mut sessions, report(4, None, &[(10, 1)], &[]));
    assert_eq!(full, Ok(Runs::from([(10, 1)])));
}

/// Guards against a new incarnation of a worker that inherits the runs of the previous one.
#[test]
fn a_new_incarnation_shares_no_base_with_the_previous_one() {
    let mut sessions = session::Sessions::default();
    assert!(submit(&mut sessions, report(1, None, &[(10, 1)], &[])).is_ok());
    let later = worker::Report {
        incarnation: 2,
        ..report(2, Some(1), &[], &[])
    };
    assert_eq!(submit(&mut sessions, later), refused("base"));
}

/// Guards against incremental reports that together exceed the limit of a full report.
#[test]
fn changes_keep_the_limit_of_a_full_report() {
    let mut sessions = session::Sessions::default();
    let most = worker::MAX_TASKS_IN_REPORT as u64;
    let all: Vec<_> = (1..=most).map(|token| (token, 1)).collect();
    assert!(submit(&mut sessions, report(1, None, &all, &[])).is_ok());
    let more = report(2, Some(1), &[(most + 1, 1)], &[]);
    assert_eq!(submit(&mut sessions, more), refused("running"));
    let swapped = report(3, Some(1), &[(most + 1, 1)], &[1]);
    assert_eq!(
        submit(&mut sessions, swapped).map(|runs| runs.len()),
        Ok(most as usize)
    );
}

/// A worker that follows the protocol, for random histories.
#[derive(Default)]
struct Worker {
    sequence: u64,
    runs: Runs,
    next: id::Token,
    ends: Vec<(u64, id::Token)>,
    base: Option<(u64, Runs)>,
    /// Runs at each report.
    truth: BTreeMap<u64, Runs>,
}

impl Worker {
    fn change(&mut self, random: &mut SmallRng) {
        match random.random_range(0..3) {
            0 => {
                self.next += 1;
                self.runs.insert(self.next, random.random_range(0..3));
            }
            1 => {
                if let Some((token, _)) = self.runs.pop_first() {
                    self.ends.push((self.sequence + 1, token));
                }
            }
            _ => {
                if let Some(mut run) = self.runs.last_entry() {
                    run.insert(random.random_range(0..3));
                }
            }
        }
    }

    fn report(&mut self) -> worker::Report {
        self.sequence += 1;
        self.truth.insert(self.sequence, self.runs.clone());
        let empty = Runs::new();
        let known = self.base.as_ref().map_or(&empty, |(_, runs)| runs);
        let changed: Vec<_> = self
            .runs
            .iter()
            .filter(|(token, usage)| known.get(token) != Some(usage))
            .map(|(token, usage)| (*token, *usage))
            .collect();
        let ends: Vec<_> = self.ends.iter().map(|(_, token)| *token).collect();
        let base = self.base.as_ref().map(|(sequence, _)| *sequence);
        report(self.sequence, base, &changed, &ends)
    }

    fn answered(&mut self, sequence: u64, acknowledged: u64) {
        self.base = Some((sequence, self.truth[&sequence].clone()));
        self.ends.retain(|(sequence, _)| *sequence > acknowledged);
    }
}

/// Guards against any order of lost, duplicated and delayed reports, lost replies and changes of leader after which the
/// scheduler sees other runs than the worker had when it sent the report.
#[test]
fn random_histories_show_the_scheduler_what_the_worker_runs() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut worker = Worker::default();
        let mut sessions = session::Sessions::default();
        let mut delayed = Vec::new();
        let (mut taken, mut changes) = (0, 0);
        for _ in 0..200 {
            for _ in 0..random.random_range(0..3) {
                worker.change(&mut random);
            }
            let report = worker.report();
            let sequence = report.sequence;
            match random.random_range(0..10) {
                0 => continue,
                1 => {
                    delayed.push(report);
                    continue;
                }
                2 => delayed.push(report.clone()),
                3 => sessions = session::Sessions::default(),
                _ => {}
            }
            let change = report.base.is_some();
            match submit(&mut sessions, report) {
                Ok(seen) => {
                    assert_eq!(seen, worker.truth[&sequence], "seed {seed}, report {sequence}");
                    taken += 1;
                    changes += u32::from(change);
                    if random.random_range(0..5) > 0 {
                        let acknowledged = random.random_range(0..=sequence);
                        worker.answered(sequence, acknowledged);
                    }
                }
                Err(_) => worker.base = None,
            }
            if !delayed.is_empty() && random.random_range(0..2) == 0 {
                let late = delayed.swap_remove(random.random_range(0..delayed.len()));
                let sequence = late.sequence;
                if let Ok(seen) = submit(&mut sessions, late) {
                    assert_eq!(
                        seen, worker.truth[&sequence],
                        "seed {seed}, late report {sequence}"
                    );
                }
            }
        }
        assert!(
            taken > 50 && changes > 30,
            "seed {seed}: {taken} taken, {changes} changes"
        );
    }
}

/// A zone with one worker, and the sessions of its leader.
struct Zone {
    state: zone::State,
    sessions: session::Sessions,
    token: id::Token,
    sequence: u64,
}

impl Zone {
    fn new() -> Self {
        let mut zone = Self {
            state: zone::State::new(1),
            sessions: session::Sessions::default(),
            token: 0,
            sequence: 0,
        };
        zone.apply(zone::Command::Register(worker::Registration {
            worker: WORKER,
            incarnation: 1,
            rack: 1,
            capacity: resource::Capacity {
                amount: resource::Amount::new(64_000, 1_000, 0),
                accelerator: 0,
            },
        }));
        zone
    }

    fn apply(&mut self, command: zone::Command) -> zone::Outcome {
        let index = self.state.applied() + 1;
        let envelope = envelope::Envelope {
            id: None,
            at_ms: 1,
            command,
        };
        self.state.apply(index, &envelope)
    }

    fn start(&mut self, priority: job::Priority) -> (task::Ref, id::Token) {
        let spec = job::Spec {
            kind: job::Kind::Batch,
            priority,
            tasks: 1,
            size: resource::Amount::ZERO,
            accelerator: 0,
            run_time: Duration::ZERO,
            checkpoint: false,
            command: String::new(),
        };
        let submit = zone::Command::Submit {
            team: 1,
            submission: None,
            spec,
        };
        let zone::Outcome::Job(job) = self.apply(submit) else {
            panic!("the submission is in order");
        };
        self.token += 1;
        let (task, token) = (task::Ref { job, index: 0 }, self.token);
        let start = zone::Start {
            task,
            worker: WORKER,
            token,
        };
        assert_eq!(
            self.apply(zone::Command::Start(vec![start])),
            zone::Outcome::Started(Vec::new())
        );
        (task, token)
    }

    /// Sends a report at a given time, incremental to the previous report if `base` is set.
    fn report(
        &mut self,
        at: Duration,
        base: bool,
        runs: &[(task::Ref, id::Token)],
        ends: &[(task::Ref, id::Token)],
    ) -> PendingReply {
        let base = base.then_some(self.sequence);
        self.sequence += 1;
        let mut report = report(self.sequence, base, &[], &[]);
        report.running = runs
            .iter()
            .map(|(task, token)| worker::Running {
                task: *task,
                token: *token,
                usage: resource::Amount::ZERO,
            })
            .collect();
        report.ended = ends
            .iter()
            .map(|(task, token)| worker::Ended {
                task: *task,
                token: *token,
                outcome: task::Outcome::Failed,
            })
            .collect();
        let (reply, answer) = oneshot::channel();
        assert!(self.sessions.report(at, report, reply).is_some());
        self.respond(at);
        answer
    }

    fn respond(&mut self, at: Duration) {
        self.sessions.respond(at, WORKER, &self.state, &|_, _| true);
    }

    /// Advances the time as the control thread does, without an event for this worker.
    fn pass(&mut self, at: Duration) {
        self.sessions.respond_due(at, &self.state, &|_, _| true);
    }
}

fn directives(answer: &mut PendingReply) -> Option<Vec<id::Token>> {
    let reply = answer.try_recv().ok()?.expect("the report is in order");
    let token = |directive: &task::Directive| match directive {
        task::Directive::Start { token, .. }
        | task::Directive::Stop { token, .. }
        | task::Directive::Checkpoint { token, .. }
        | task::Directive::Throttle { token, .. } => *token,
    };
    let mut tokens: Vec<_> = reply.directives.iter().map(token).collect();
    tokens.sort_unstable();
    Some(tokens)
}

const MS: Duration = Duration::from_millis(1);

/// Guards against a separate reply for every start, which exceeds the control budget, and against starts that are
/// delayed for longer than the collection interval.
#[test]
fn starts_share_an_answer() {
    let mut zone = Zone::new();
    let first = zone.start(job::Priority::Normal);
    let mut answer = zone.report(MS, false, &[], &[]);
    assert_eq!(
        directives(&mut answer),
        Some(vec![1]),
        "nothing was answered shortly before"
    );
    let mut answer = zone.report(2 * MS, true, &[first], &[]);
    for token in [2, 3] {
        assert_eq!(zone.start(job::Priority::Normal).1, token);
        zone.respond(10 * MS);
        assert_eq!(directives(&mut answer), None);
    }
    zone.pass(session::COLLECT);
    assert_eq!(directives(&mut answer), None);
    zone.pass(MS + session::COLLECT);
    assert_eq!(directives(&mut answer), Some(vec![2, 3]));
}

/// Guards against urgent work that waits for the collection of other starts; it has to start within 1.6 s.
#[test]
fn urgent_starts_and_stops_do_not_wait() {
    let mut zone = Zone::new();
    let first = zone.start(job::Priority::Normal);
    let mut answer = zone.report(MS, false, &[], &[]);
    assert_eq!(directives(&mut answer), Some(vec![1]));
    let mut answer = zone.report(2 * MS, true, &[first], &[]);
    zone.start(job::Priority::Normal);
    zone.respond(3 * MS);
    assert_eq!(directives(&mut answer), None);
    let urgent = zone.start(job::Priority::Urgent);
    zone.respond(4 * MS);
    assert_eq!(
        directives(&mut answer),
        Some(vec![2, 3]),
        "the other start shares the answer"
    );
    let mut answer = zone.report(5 * MS, true, &[urgent], &[]);
    let (task, token) = first;
    zone.sessions
        .direct(WORKER, token, task::Directive::Stop { task, token });
    zone.respond(6 * MS);
    assert!(directives(&mut answer).is_some_and(|tokens| tokens.contains(&1)));
}

/// Guards against a lost reply that delays an urgent start until the end of the collection interval.
#[test]
fn an_urgent_start_is_repeated_immediately_after_a_lost_answer() {
    let mut zone = Zone::new();
    drop(zone.report(MS, false, &[], &[]));
    zone.pass(MS + session::HOLD);
    let late = MS + session::HOLD;
    let held = zone.report(late, true, &[], &[]);
    zone.start(job::Priority::Urgent);
    zone.respond(late);
    drop(held);
    // The worker replaced the report before the reply arrived, and names the same base again.
    zone.sequence += 1;
    let (reply, mut answer) = oneshot::channel();
    let again = report(zone.sequence, Some(1), &[], &[]);
    assert!(zone.sessions.report(late, again, reply).is_some());
    zone.respond(late);
    assert_eq!(directives(&mut answer), Some(vec![1]));
}

/// Guards against answering a worker that is slow to stop without a pause, which would make it report without a pause.
#[test]
fn a_sent_stop_is_repeated_with_pauses() {
    let mut zone = Zone::new();
    let run = zone.start(job::Priority::Normal);
    let mut answer = zone.report(MS, false, &[run], &[]);
    let (task, token) = run;
    zone.sessions
        .direct(WORKER, token, task::Directive::Stop { task, token });
    zone.respond(MS);
    assert_eq!(directives(&mut answer), Some(vec![1]));
    let mut answer = zone.report(2 * MS, true, &[], &[]);
    assert_eq!(directives(&mut answer), None);
    zone.pass(MS + session::COLLECT);
    assert_eq!(directives(&mut answer), Some(vec![1]));
}

/// Guards against an end that is never acknowledged, which the worker would resend with every report, and against
/// acknowledging an end before it is committed.
#[test]
fn an_end_is_acknowledged_once_it_is_committed() {
    let mut zone = Zone::new();
    let run = zone.start(job::Priority::Normal);
    let mut answer = zone.report(MS, false, &[run], &[]);
    assert_eq!(directives(&mut answer), None);
    let mut answer = zone.report(2 * MS, false, &[], &[run]);
    zone.pass(2 * MS + session::COLLECT);
    assert_eq!(directives(&mut answer), None, "the end is not committed");
    let (task, token) = run;
    let outcome = task::Outcome::Failed;
    zone.apply(zone::Command::End(vec![zone::End { task, token, outcome }]));
    zone.respond(3 * MS + session::COLLECT);
    let reply = answer
        .try_recv()
        .expect("the end is committed")
        .expect("in order");
    assert_eq!(reply.acknowledged, 2);
}
