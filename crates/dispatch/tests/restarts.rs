//! A worker that restarts under its name while its leader changes, directive by directive.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_dispatch::dispatch::{Config, Dispatch, Now, Output, Registration};
use bronzespoke_model::resource;
use bronzespoke_standin::fleet::load;
use bronzespoke_workload::{directive, job, settings, worker};
use bytes::Bytes;
use yare::parameterized;

const KEY: job::Key = 7;
const TASK: directive::Task = directive::Task {
    job: KEY,
    occurrence: 0,
    step: 0,
    index: 0,
};

const fn at(millis: u64) -> Now {
    Now {
        steady: Duration::from_millis(millis),
        wall_ms: 1_700_000_000_000 + millis,
    }
}

/// Worker of a directive, the directive, and the time of its decision.
type Sent = (cell::WorkerIndex, directive::Directive, Duration);

/// A leader that commits each command at once and leaves the directives to the test.
struct Leader {
    state: cell::State,
    dispatch: Dispatch,
    now: Now,
    /// Proposed starts that are not committed; `None` if starts are committed at once.
    proposed: Option<Vec<cell::Command>>,
}

impl Leader {
    fn new() -> Self {
        let state = load::configured(load::queue("check", 0, Duration::from_millis(400), 1.5, 2));
        let dispatch = Dispatch::new(config(1), &state, at(0));
        let now = at(0);
        Self {
            state,
            dispatch,
            now,
            proposed: None,
        }
    }

    fn elect(&mut self, term: u64) {
        self.dispatch = Dispatch::new(config(term), &self.state, self.now);
    }

    fn announce(&mut self, number: u16, started_ms: u64) {
        self.announce_as(&format!("w-{number}"), number, started_ms);
    }

    /// Announces a worker with any name at the address of a worker.
    fn announce_as(&mut self, name: &str, at: u16, started_ms: u64) {
        let room = resource::Amount::new(8_000, 8_000, 0);
        let mut announcement = load::announcement(at, started_ms, room);
        announcement.incarnation.name = String::from(name);
        let steady = self.now.steady;
        if let Registration::Propose(command) = self.dispatch.announce(&self.state, steady, &announcement) {
            self.commit(&command);
        }
    }

    /// Returns a leader with two workers, the index of the one that runs the only task, and that of the other one.
    fn with_run() -> (Self, cell::WorkerIndex, cell::WorkerIndex) {
        let mut leader = Self::new();
        for number in 0..2 {
            leader.announce(number, 5);
        }
        for request in leader.run(30) {
            leader.report(&request, 5, Vec::new());
        }
        leader.submit();
        let sent = leader.run(30);
        let start = sent.iter().find(|(_, directive, _)| is_start(directive));
        let (placed, start, decided) = start.expect("the task is started").clone();
        let done = directive::Answer::Done {
            clock: leader.now.steady,
        };
        leader
            .dispatch
            .answered(&leader.state, leader.now, placed, &start, decided, Some(&done));
        for request in sent.iter().filter(|(_, directive, _)| !is_start(directive)) {
            leader.report_running(request, placed);
        }
        (leader, placed, 1 - placed)
    }

    /// Answers a request for a report as the worker at the address of `worker` with start time 5. The one at the address
    /// of `placed` runs the task.
    fn report_running(&mut self, request: &Sent, placed: cell::WorkerIndex) {
        let (worker, directive, decided) = request;
        let Some(record) = self.dispatch.workers().get(worker) else {
            return;
        };
        let names = [0, 1].map(|number| format!("w-{number}"));
        let address = record.announced.address;
        let answering = usize::from(address.port() - 1_000);
        let answer = if record.incarnation.name == names[answering] {
            let running = directive::Running {
                task: TASK,
                run: 1,
                checkpoint: None,
                percent: 1,
                load: None,
            };
            directive::Answer::Report(directive::Report {
                clock: self.now.steady,
                started_ms: Some(5),
                running: if answering == placed as usize {
                    vec![running]
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
        self.dispatch
            .answered(&self.state, self.now, *worker, directive, *decided, Some(&answer));
    }

    fn submit(&mut self) {
        let step = job::Step {
            tasks: 1,
            size: resource::Amount::new(1_000, 100, 0),
            run_time: Duration::from_secs(1),
            ..job::Step::default()
        };
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

    fn propose(&mut self, command: cell::Command) {
        match (&command, &mut self.proposed) {
            (cell::Command::Start(_), Some(proposed)) => proposed.push(command),
            _ => self.commit(&command),
        }
    }

    fn commit(&mut self, command: &cell::Command) {
        let outcome = self.state.apply(self.now.wall_ms, command.clone());
        self.dispatch.committed(&self.state, self.now, command, &outcome);
    }

    /// Advances the time and returns the directives that are sent.
    fn run(&mut self, millis: u64) -> Vec<Sent> {
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
    fn placed_until(&mut self) -> Duration {
        let limit = self.now.steady + Duration::from_secs(20);
        while self.now.steady < limit && self.state.task(TASK).is_some_and(|task| task.placed.is_some()) {
            self.run(1);
        }
        self.now.steady
    }

    /// Answers a request for a report with one that lists no runs.
    fn report(&mut self, request: &Sent, started_ms: u64, ended: Vec<directive::Ended>) {
        self.report_ends(request, started_ms, ended, false);
    }

    fn report_ends(
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
        let (worker, directive, decided) = request;
        self.dispatch
            .answered(&self.state, self.now, *worker, directive, *decided, Some(&answer));
    }
}

fn config(token: u64) -> Config {
    Config {
        token,
        bounds: settings::Bounds::default(),
    }
}

fn is_start(directive: &directive::Directive) -> bool {
    matches!(directive, directive::Directive::Start { .. })
}

const fn done(run: directive::Run) -> directive::Ended {
    directive::Ended {
        number: 1,
        task: TASK,
        run,
        outcome: directive::Outcome::Done,
        checkpoint: None,
    }
}

/// Guards against a task that runs twice: the worker restarted under its name and completed a resent start; the next
/// request for a report acknowledged that end with the number of an end of its earlier incarnation.
#[test]
fn a_request_after_a_missed_report_acknowledges_nothing() {
    let mut leader = Leader::new();
    leader.announce(0, 5);
    let first = leader.run(30).remove(0);
    leader.report(&first, 5, Vec::new());
    leader.submit();
    let sent = leader.run(30);
    assert!(
        sent.iter().any(|(_, directive, _)| is_start(directive)),
        "{sent:?}"
    );
    let request = sent.iter().find(|(_, directive, _)| !is_start(directive));
    leader.report(request.expect("a report is requested"), 5, vec![done(1)]);
    let acknowledged = |directives: &[Sent]| {
        directives.iter().find_map(|(_, directive, _)| match directive {
            directive::Directive::Renew { acknowledged, .. } => Some(*acknowledged),
            _ => None,
        })
    };
    let requests = leader.run(400);
    assert_eq!(acknowledged(&requests), Some(1), "{requests:?}");
    // No answer arrives.
    let requests = leader.run(3_000);
    assert_eq!(acknowledged(&requests), Some(0), "{requests:?}");
}

/// Guards against a task that runs twice: a new leader does not know which starts its predecessor resent, and the next
/// incarnation of the worker may have carried one out.
#[test]
fn a_new_leader_waits_for_the_report_of_a_restarted_worker() {
    let mut leader = Leader::new();
    for number in 0..2 {
        leader.announce(number, 5);
    }
    for request in leader.run(30) {
        leader.report(&request, 5, Vec::new());
    }
    leader.submit();
    let sent = leader.run(30);
    let start = sent.iter().find(|(_, directive, _)| is_start(directive));
    let (placed, ..) = *start.expect("the task is started");
    leader.elect(2);
    leader.announce(placed as u16, 9);
    let requests = leader.run(30);
    let (own, others): (Vec<_>, Vec<_>) = requests
        .into_iter()
        .partition(|(worker, ..)| *worker != 1 - placed);
    for request in &others {
        leader.report(request, 5, Vec::new());
    }
    let early = leader.run(200);
    let started = early.iter().any(|(_, directive, _)| is_start(directive));
    assert!(
        !started,
        "the task runs elsewhere before the worker has reported: {early:?}"
    );
    leader.report(
        own.last().expect("the next incarnation is asked"),
        9,
        vec![done(1)],
    );
    let later = leader.run(500);
    let started = later.iter().any(|(_, directive, _)| is_start(directive));
    assert!(!started, "the task runs again after it was done: {later:?}");
    let task = leader.state.task(TASK).expect("the job is retained");
    assert!(task.done && task.placed.is_none(), "{task:?}");
}

/// Guards against a task that waits for its worker although the next incarnation has shown that it does not run there.
#[test]
fn the_report_of_a_restarted_worker_frees_its_tasks() {
    let mut leader = Leader::new();
    leader.announce(0, 5);
    for request in leader.run(30) {
        leader.report(&request, 5, Vec::new());
    }
    leader.submit();
    leader.run(30);
    leader.elect(2);
    leader.announce(0, 9);
    let request = leader.run(30).pop().expect("the next incarnation is asked");
    leader.report(&request, 9, Vec::new());
    let later = leader.run(200);
    let started = later.iter().any(|(_, directive, _)| is_start(directive));
    assert!(started, "{later:?}");
}

/// Guards against a task that runs twice: an announcement by another sender, at the address or under the name of a worker
/// at work, was taken for proof that the worker's runs had ended.
#[parameterized(
    address = { "log-shipper-1", 1_000 },
    address_without_start_time = { "log-shipper-1", 0 },
    name = { "placed", 1_000 },
)]
fn an_announcement_by_another_sender_ends_no_run(name: &str, started_ms: u64) {
    let (mut leader, placed, _) = Leader::with_run();
    let own_name = format!("w-{placed}");
    let name = if name == "placed" { &own_name } else { name };
    let mut sent = Vec::new();
    // The other sender repeats its heartbeats.
    for _ in 0..6 {
        leader.announce_as(name, placed as u16, started_ms);
        for _ in 0..30 {
            let requests = leader.run(50);
            for request in &requests {
                leader.report_running(request, placed);
            }
            sent.extend(requests);
        }
    }
    let started = sent.iter().any(|(_, directive, _)| is_start(directive));
    assert!(!started, "the task runs elsewhere although its worker is at work");
    let record = leader.dispatch.workers().get(&placed);
    let record = record.expect("the worker is registered");
    assert!(record.runs.contains_key(&TASK), "{record:?}");
    // The lease has to be renewed in time, too.
    let lease_left = record.lease_end.saturating_sub(leader.now.steady);
    assert!(
        lease_left > Duration::from_secs(3),
        "the lease lasts {lease_left:?} more"
    );
    assert_eq!(
        leader.dispatch.workers().len(),
        2,
        "{:?}",
        leader.dispatch.workers()
    );
}

/// Guards against a worker that refuses its directives as fenced: it has received the higher fencing token of an
/// incarnation that a false announcement had claimed.
#[test]
fn a_false_claim_of_a_name_does_not_fence_its_worker() {
    let (mut leader, placed, _) = Leader::with_run();
    let token = |leader: &Leader, worker: cell::WorkerIndex| {
        let record = leader.dispatch.workers().get(&worker);
        record.expect("the worker is registered").fencing_token(1)
    };
    let own = token(&leader, placed);
    leader.announce(placed as u16, 1_000);
    let requests = leader.run(30);
    let claimed = requests.iter().map(|(worker, ..)| *worker).max();
    let claimed = token(&leader, claimed.expect("the claimed incarnation is asked"));
    assert!(claimed > own, "{claimed} {own}");
    for request in &requests {
        leader.report_running(request, placed);
    }
    assert_eq!(token(&leader, placed), claimed);
}

/// Guards against a crashed worker whose tasks wait for its lease although another worker answers at its address or under
/// its name.
#[parameterized(
    address = { "w-9" },
    name = { "placed" },
)]
fn the_tasks_of_a_replaced_worker_move_with_the_first_answer(name: &str) {
    let (mut leader, placed, _) = Leader::with_run();
    let own_name = format!("w-{placed}");
    let name = if name == "placed" { &own_name } else { name };
    leader.announce_as(name, placed as u16, 1_000);
    let requests = leader.run(30);
    let asked = requests.iter().filter(|(worker, ..)| *worker == 2);
    let request = asked.last().expect("the next incarnation is asked").clone();
    leader.report(&request, 1_000, Vec::new());
    let later = leader.run(50);
    let started = later.iter().any(|(_, directive, _)| is_start(directive));
    assert!(started, "{later:?}");
}

/// Guards against tasks that run twice: the lease of a worker was counted from the directives to its own incarnation, and
/// directives to the earlier one with its name, with a time on another clock, had given it the longest one.
#[test]
fn the_lease_of_a_next_incarnation_counts_directives_to_the_earlier_one() {
    let mut leader = Leader::new();
    leader.announce(0, 5);
    for request in leader.run(30) {
        leader.report(&request, 5, Vec::new());
    }
    leader.announce(0, 9);
    let request = leader.run(30).pop().expect("the next incarnation is asked");
    leader.report(&request, 9, Vec::new());
    let reported_at = leader.now.steady;
    leader.submit();
    let sent = leader.run(30);
    let start = sent.iter().find(|(_, directive, _)| is_start(directive));
    let (worker, start, decided) = start.expect("the task is started").clone();
    let done = directive::Answer::Done {
        clock: leader.now.steady,
    };
    leader
        .dispatch
        .answered(&leader.state, leader.now, worker, &start, decided, Some(&done));
    let placed_until = leader.placed_until();
    let longest = settings::Bounds::default().longest_lease;
    assert!(placed_until >= reported_at + longest, "{placed_until:?}");
    assert!(
        placed_until < reported_at + longest.mul_f64(1.05),
        "{placed_until:?}"
    );
}

/// Guards against tasks that run twice after a change of leader: the new leader does not know which directives to an
/// earlier incarnation have reached its successor. Others must not wait longer for it.
#[parameterized(
    next_incarnation = { true, 10_000 },
    first_incarnation = { false, 6_000 },
)]
fn a_new_leader_counts_the_longest_lease_of_a_next_incarnation(is_next: bool, lease_ms: u64) {
    let mut leader = Leader::new();
    let mut started_ms = 5;
    leader.announce(0, started_ms);
    if is_next {
        for request in leader.run(30) {
            leader.report(&request, started_ms, Vec::new());
        }
        started_ms = 9;
        leader.announce(0, started_ms);
    }
    let request = leader.run(30).pop().expect("the worker is asked");
    leader.report(&request, started_ms, Vec::new());
    leader.submit();
    leader.run(30);
    leader.elect(2);
    let elected_at = leader.now.steady;
    let placed_until = leader.placed_until();
    let lease = Duration::from_millis(lease_ms);
    assert!(placed_until >= elected_at + lease, "{placed_until:?}");
    assert!(
        placed_until < elected_at + lease.mul_f64(1.05) + Duration::from_millis(500),
        "{placed_until:?}"
    );
}

/// Guards against a task that runs again after it was done: its end was among those that a report left out, and its
/// absence from the report was taken for a loss.
#[parameterized(
    same_leader = { false },
    new_leader = { true },
)]
fn a_run_that_a_truncated_report_leaves_out_is_not_lost(is_new: bool) {
    let (mut leader, placed, _) = Leader::with_run();
    if is_new {
        leader.elect(2);
    }
    let mut starts = 0;
    for round in 0..20 {
        for request in leader.run(50) {
            let is_own = request.0 == placed;
            let ended = if is_own && round >= 10 {
                vec![done(1)]
            } else {
                Vec::new()
            };
            starts += usize::from(is_start(&request.1));
            leader.report_ends(&request, 5, ended, is_own && round < 10);
        }
    }
    assert_eq!(starts, 0);
    let task = leader.state.task(TASK).expect("the job is retained");
    assert!(task.done && task.placed.is_none(), "{task:?}");
}

/// Guards against a task that runs again after it was done by the next incarnation of its worker, which had carried out a
/// start to the earlier one: the report that showed its end was truncated.
#[test]
fn an_uncertain_run_that_a_truncated_report_leaves_out_is_not_lost() {
    let (mut leader, placed, _) = Leader::with_run();
    leader.elect(2);
    leader.announce(placed as u16, 9);
    let mut starts = 0;
    for round in 0..20 {
        for request in leader.run(50) {
            starts += usize::from(is_start(&request.1));
            if request.0 == 1 - placed {
                leader.report(&request, 5, Vec::new());
                continue;
            }
            let ended = if round >= 10 { vec![done(1)] } else { Vec::new() };
            leader.report_ends(&request, 9, ended, round < 10);
        }
    }
    assert_eq!(starts, 0);
    let task = leader.state.task(TASK).expect("the job is retained");
    assert!(task.done, "{task:?}");
}

/// Guards against tasks that run twice: a late notice of departure of an earlier incarnation ended the next one, which
/// was at work.
#[test]
fn a_late_notice_of_departure_ends_no_run() {
    let (mut leader, placed, _) = Leader::with_run();
    leader.dispatch.leave(leader.now.steady, &format!("w-{placed}"));
    let mut starts = 0;
    for _ in 0..200 {
        for request in leader.run(50) {
            starts += usize::from(is_start(&request.1));
            leader.report_running(&request, placed);
        }
    }
    assert_eq!(
        starts, 0,
        "the task runs elsewhere although its worker is at work"
    );
    assert!(
        leader.dispatch.workers()[&placed].claimed_at.is_none(),
        "the worker gets no work"
    );
}

/// Guards against tasks that wait for the lease of a worker that has announced its departure and left.
#[test]
fn the_tasks_of_a_worker_that_has_left_move_at_once() {
    let (mut leader, placed, _) = Leader::with_run();
    let room = resource::Amount::new(8_000, 8_000, 0);
    let mut announcement = load::announcement(placed as u16, 5, room);
    announcement.state = worker::State::Draining {
        remaining: Some(Duration::from_mins(1)),
    };
    let steady = leader.now.steady;
    leader.dispatch.announce(&leader.state, steady, &announcement);
    leader.dispatch.leave(steady, &format!("w-{placed}"));
    let sent = leader.run(50);
    let start = sent.iter().find(|(_, directive, _)| is_start(directive));
    assert_eq!(start.map(|(worker, ..)| *worker), Some(1 - placed), "{sent:?}");
}

/// Guards against a task that runs twice: the next incarnation of its worker had taken a start to the earlier one, reported
/// the run and was cut off, and the run was given up before the lease of that incarnation had ended.
#[test]
fn a_run_on_the_next_incarnation_is_kept_until_its_lease_ends() {
    let (mut leader, placed, _) = Leader::with_run();
    leader.elect(2);
    leader.announce(placed as u16, 9);
    let requests = leader.run(30);
    let request = requests.iter().find(|(worker, ..)| *worker == 2);
    let request = request.expect("the next incarnation is asked");
    let running = directive::Running {
        task: TASK,
        run: 1,
        checkpoint: None,
        percent: 1,
        load: None,
    };
    let answer = directive::Answer::Report(directive::Report {
        clock: leader.now.steady,
        started_ms: Some(9),
        running: vec![running],
        ..directive::Report::default()
    });
    let (worker, directive, decided) = request;
    leader.dispatch.answered(
        &leader.state,
        leader.now,
        *worker,
        directive,
        *decided,
        Some(&answer),
    );
    let reported_at = leader.now.steady;
    let placed_until = leader.placed_until();
    let longest = settings::Bounds::default().longest_lease;
    assert!(placed_until >= reported_at + longest, "{placed_until:?}");
    assert!(
        placed_until < reported_at + longest.mul_f64(1.05),
        "{placed_until:?}"
    );
}

/// Guards against a task that runs twice: a start without an answer was carried out by the next incarnation of its worker
/// after the lease of the earlier one had expired and the task had been started elsewhere.
#[test]
fn an_unacknowledged_start_outlasts_the_lease_of_its_worker() {
    let mut leader = Leader::new();
    leader.announce(0, 5);
    for request in leader.run(30) {
        leader.report(&request, 5, Vec::new());
    }
    leader.submit();
    let sent = leader.run(30);
    let start = sent.iter().find(|(_, directive, _)| is_start(directive));
    let (worker, start, decided) = start.expect("the task is started").clone();
    leader
        .dispatch
        .answered(&leader.state, leader.now, worker, &start, decided, None);
    let sent_at = leader.now.steady;
    let placed_until = leader.placed_until();
    // The platform carries a directive out within 12 s or not at all.
    assert!(
        placed_until >= sent_at + Duration::from_secs(12),
        "{placed_until:?}"
    );
    assert!(
        placed_until < sent_at + Duration::from_secs(14),
        "{placed_until:?}"
    );
}

/// Guards against a worker that gets more than it has room for: its worker was lost while a start was proposed and not
/// committed, and a second start with the same run number was proposed. When that one was rejected, the run of the first
/// was forgotten while it was at work.
#[test]
fn a_task_whose_start_is_proposed_is_not_proposed_again() {
    let mut leader = Leader::new();
    for number in 0..2 {
        leader.announce(number, 5);
    }
    for request in leader.run(30) {
        leader.report(&request, 5, Vec::new());
    }
    leader.proposed = Some(Vec::new());
    leader.submit();
    leader.run(30);
    let proposed = leader.proposed.clone().unwrap_or_default();
    let [cell::Command::Start(starts)] = proposed.as_slice() else {
        panic!("one start is proposed: {proposed:?}");
    };
    let placed = starts[0].worker;
    leader.announce(placed as u16, 9);
    let requests = leader.run(30);
    let request = requests.iter().find(|(worker, ..)| *worker == 2);
    leader.report(request.expect("the next incarnation is asked"), 9, Vec::new());
    leader.run(100);
    let proposals = leader.proposed.take().unwrap_or_default();
    assert_eq!(proposals.len(), 1, "{proposals:?}");
    // The commit shows that the first start was not sent, and the task is placed again.
    leader.commit(&proposed[0]);
    let sent = leader.run(100);
    let runs = sent.iter().filter_map(|(_, directive, _)| match directive {
        directive::Directive::Start { run, .. } => Some(*run),
        _ => None,
    });
    assert_eq!(runs.collect::<Vec<_>>(), [2]);
}

/// Guards against ends that are acknowledged unseen, and leases that the next incarnation receives: an answer of the earlier
/// one, requested before the next one announced itself, was taken for a sign that the earlier one was still there.
#[test]
fn an_answer_from_before_a_claim_renews_nothing() {
    let (mut leader, placed, _) = Leader::with_run();
    let before = leader.run(400);
    let request = before.iter().find(|(worker, ..)| *worker == placed);
    let request = request.expect("a report is requested").clone();
    leader.announce(placed as u16, 9);
    for (worker, directive, decided) in leader.run(30) {
        leader
            .dispatch
            .answered(&leader.state, leader.now, worker, &directive, decided, None);
    }
    leader.report_running(&request, placed);
    for (worker, directive, _) in leader.run(1_000) {
        let directive::Directive::Renew {
            lease_end,
            acknowledged,
            ..
        } = directive
        else {
            continue;
        };
        assert!(
            worker != placed || (lease_end, acknowledged) == (None, 0),
            "{lease_end:?} {acknowledged}"
        );
    }
}
