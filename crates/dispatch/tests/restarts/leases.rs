//! The time at which a lease is surely over, and a start is not carried out any more.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_dispatch::recent;
use bronzespoke_model::resource;
use bronzespoke_workload::{directive, job, settings};
use yare::parameterized;

use super::leader::{self, Leader};

/// The platform carries a directive out within this time or not at all.
const LONGEST_DELAY: Duration = Duration::from_secs(12);
/// Time after which no start can be carried out any more: it is repeated for 3 s.
const START_WINDOW: Duration = LONGEST_DELAY.saturating_add(Duration::from_secs(5));

/// Checks that the task stays placed for the longest lease from a time on, and not for much longer.
fn assert_kept_for_the_longest_lease(leader: &mut Leader, from: Duration) {
    let placed_until = leader.placed_until();
    let longest = settings::Bounds::default().longest_lease;
    assert!(placed_until >= from + longest, "{placed_until:?}");
    assert!(placed_until < from + longest.mul_f64(1.05), "{placed_until:?}");
}

/// Checks that the task stays placed for the longest delay of a directive from a time on, and not for much longer.
fn assert_kept_for_the_longest_delay(leader: &mut Leader, from: Duration) {
    let placed_until = leader.placed_until();
    assert!(placed_until >= from + LONGEST_DELAY, "{placed_until:?}");
    assert!(
        placed_until < from + LONGEST_DELAY + Duration::from_secs(2),
        "{placed_until:?}"
    );
}

/// Guards against tasks that run twice: the lease of a worker was counted from the directives to its own incarnation, and
/// directives to the earlier one with its name, with a time on another clock, had given it the longest one.
#[test]
fn the_lease_of_a_next_incarnation_counts_directives_to_the_earlier_one() {
    let mut leader = Leader::with_workers(1);
    leader.announce(0, 9);
    let request = leader.run(30).pop().expect("the next incarnation is asked");
    leader.report(&request, 9, Vec::new());
    let reported_at = leader.now.steady;
    let (start, _) = leader.start_task();
    leader.confirm(&start);
    assert_kept_for_the_longest_lease(&mut leader, reported_at);
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
    let (start, _) = leader.start_task();
    leader.confirm(&start);
    run_until_no_start_is_under_way(&mut leader, started_ms);
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

/// Lets the only worker run the task until neither its start nor a repetition of it can be carried out any more.
fn run_until_no_start_is_under_way(leader: &mut Leader, started_ms: u64) {
    let until = leader.now.steady + START_WINDOW;
    while leader.now.steady < until {
        for request in leader.run(50) {
            leader.report_run(&request, started_ms);
        }
    }
}

/// Guards against a task that runs twice: a start without an answer was carried out by the next incarnation of its worker
/// after a new leader, which did not know that the answer was missing, had started the task elsewhere.
#[parameterized(
    not_reported = { false },
    reported = { true },
)]
fn a_start_of_the_former_leader_outlasts_the_lease_of_its_worker(is_reported: bool) {
    let mut leader = Leader::with_workers(1);
    let (start, _) = leader.start_task();
    leader.answer(&start, None);
    leader.elect(2);
    let elected_at = leader.now.steady;
    if is_reported {
        for request in leader.run(30) {
            leader.report_run(&request, 5);
        }
    }
    assert_kept_for_the_longest_delay(&mut leader, elected_at);
}

/// Guards against a task that runs twice: the new leader had been restored from a snapshot, and took a start that it had
/// not applied itself for an old one.
#[test]
fn a_restored_replica_does_not_know_how_old_a_start_is() {
    let mut leader = Leader::with_workers(1);
    let (start, _) = leader.start_task();
    leader.confirm(&start);
    run_until_no_start_is_under_way(&mut leader, 5);
    leader.recent = recent::Starts::new(leader.now.steady);
    leader.elect(2);
    let elected_at = leader.now.steady;
    assert_kept_for_the_longest_delay(&mut leader, elected_at);
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
    let answer = directive::Answer::Report(directive::Report {
        clock: leader.now.steady,
        started_ms: Some(9),
        running: vec![leader::running()],
        ..directive::Report::default()
    });
    leader.answer(request, Some(&answer));
    let reported_at = leader.now.steady;
    assert_kept_for_the_longest_lease(&mut leader, reported_at);
}

/// Guards against a task that runs twice: a start without an answer was carried out by the next incarnation of its worker
/// after the lease of the earlier one had expired and the task had been started elsewhere.
#[test]
fn an_unacknowledged_start_outlasts_the_lease_of_its_worker() {
    let mut leader = Leader::with_workers(1);
    let (start, _) = leader.start_task();
    leader.answer(&start, None);
    let sent_at = leader.now.steady;
    assert_kept_for_the_longest_delay(&mut leader, sent_at);
}

/// Guards against a task that runs twice: late answers had set the leader's estimate of the worker's clock back, so that it
/// repeated a start for longer than the next leader assumed.
#[test]
fn a_start_repeated_after_late_answers_outlasts_the_lease_of_its_worker() {
    /// Time from the reading of the worker's clock to the arrival of the answer; within the timeout of a request.
    const ANSWER_DELAY: Duration = Duration::from_millis(1_800);
    let mut leader = Leader::with_workers(1);
    let (start, others) = leader.start_task();
    leader.answer(&start, None);
    let mut last_sent_at = leader.now.steady;
    let mut open: Vec<(Duration, leader::Sent)> = Vec::new();
    let due = |leader: &Leader, sent: leader::Sent| (leader.now.steady + ANSWER_DELAY, sent);
    open.extend(others.into_iter().map(|sent| due(&leader, sent)));
    // No report with a clock after the lease of the start has arrived by then.
    let until = leader.now.steady + Duration::from_millis(4_700);
    while leader.now.steady < until {
        for sent in leader.run(10) {
            if leader::is_start(&sent.1) {
                last_sent_at = leader.now.steady;
                leader.answer(&sent, None);
            } else {
                open.push(due(&leader, sent));
            }
        }
        let now = leader.now.steady;
        let (arrived, waiting) = open.into_iter().partition(|(at, _)| *at <= now);
        open = waiting;
        let arrived: Vec<_> = arrived;
        for (_, request) in arrived {
            let report = directive::Report {
                clock: now.saturating_sub(ANSWER_DELAY),
                started_ms: Some(5),
                ..directive::Report::default()
            };
            leader.answer(&request, Some(&directive::Answer::Report(report)));
        }
    }
    assert_eq!(leader.state.task(leader::TASK).map(|task| task.run), Some(1));
    leader.elect(2);
    assert_kept_for_the_longest_delay(&mut leader, last_sent_at);
}

/// Guards against a task that runs twice: the next incarnation of its worker had carried out a start of the former leader
/// before any leader could register it, and its answer to the first request of the new leader ended the run.
#[test]
fn an_old_start_on_an_unregistered_next_incarnation_is_kept() {
    let mut leader = Leader::with_workers(2);
    let (start, _) = leader.start_task();
    let placed = start.0;
    leader.answer(&start, None);
    // The next incarnation carries the start out within 12 s. Without a majority, no leader registers it.
    leader.now = leader::at(leader.now.steady.as_millis() as u64 + 17_000);
    leader.elect(2);
    for request in leader.run(30) {
        if request.0 == placed {
            leader.report_run(&request, 9);
        } else {
            leader.report(&request, 5, Vec::new());
        }
    }
    let later = leader.run(500);
    assert_eq!(leader::started_runs(&later), Vec::<directive::Run>::new());
}

/// Guards against a task that runs twice: a new leader took a start that it had forgotten, among more than it remembers, for
/// an old one.
#[test]
fn a_start_among_more_than_are_remembered_is_not_taken_for_an_old_one() {
    let mut leader = Leader::with_workers(1);
    leader.now = leader::at(10_000);
    for request in leader.run(30) {
        leader.report(&request, 5, Vec::new());
    }
    let (start, _) = leader.start_task();
    leader.answer(&start, None);
    let others = (1..=70_000).map(|index| cell::Start {
        task: directive::Task {
            index,
            ..leader::TASK
        },
        run: 1,
        worker: start.0,
    });
    let others = cell::Command::Start(others.collect());
    leader.recent.observe(leader.now.steady, &others);
    leader.elect(2);
    let elected_at = leader.now.steady;
    assert_kept_for_the_longest_delay(&mut leader, elected_at);
}

/// Guards against a task that runs twice: the next incarnation of its worker, which the former leader had registered, had an
/// old run of it and was cut off as the leader changed.
#[test]
fn an_old_run_on_a_registered_next_incarnation_outlasts_the_lease_of_its_worker() {
    let mut leader = Leader::with_workers(1);
    let (start, _) = leader.start_task();
    leader.answer(&start, None);
    leader.announce(0, 9);
    let until = leader.now.steady + START_WINDOW;
    while leader.now.steady < until {
        for request in leader.run(50) {
            if request.0 == 1 {
                leader.report_run(&request, 9);
            }
        }
    }
    leader.elect(2);
    let elected_at = leader.now.steady;
    assert_kept_for_the_longest_delay(&mut leader, elected_at);
}

/// What becomes of the transmissions of the first start of the task.
#[derive(Debug, Clone, Copy)]
enum Outcome {
    /// None is answered, and the worker does not list the run.
    NotListed,
    /// The first one is not answered, and the worker refuses the repetition after the end of its lease.
    Late,
    /// The first one is not answered; the repetition is carried out, and the run fails.
    Failed,
    /// None is answered, and the leader changes after the run was given up.
    LeaderChanged,
}

/// The second run of the task, after a first one that did not succeed.
struct Restart {
    /// Time of the last transmission of the first start without an answer.
    unanswered_at: Duration,
    /// Worker of the first run.
    first: cell::WorkerIndex,
    /// Time of the second start.
    started_at: Duration,
    /// Worker of the second run.
    second: cell::WorkerIndex,
}

/// Starts the only task on one of two workers, both of which report all the time. With `drains`, the first one accepts no
/// work after the first run was given up.
fn restart_after(outcome: Outcome, lasting: bool, drains: bool) -> Restart {
    let mut leader = Leader::with_workers(2);
    leader.submit_step(job::Step {
        tasks: 1,
        size: resource::Amount::new(1_000, 100, 0),
        run_time: Duration::from_secs(1),
        lasting,
        ..job::Step::default()
    });
    let mut unanswered: Option<(Duration, cell::WorkerIndex)> = None;
    let mut ends = Vec::new();
    let mut is_given_up = false;
    for _ in 0..2_000 {
        for sent in leader.run(10) {
            let now = leader.now.steady;
            let (unanswered_at, first) = unanswered.unwrap_or((now, sent.0));
            let is_start = leader::is_start(&sent.1);
            if leader::started_runs(std::slice::from_ref(&sent)) == [2] {
                return Restart {
                    unanswered_at,
                    first,
                    started_at: now,
                    second: sent.0,
                };
            }
            match outcome {
                _ if !is_start => {
                    let listed = if sent.0 == first { ends.clone() } else { Vec::new() };
                    leader.report(&sent, 5, listed);
                }
                Outcome::Late if unanswered.is_some() => {
                    let refusal = directive::Answer::Refused {
                        reason: directive::Refusal::Late,
                        clock: Some(now),
                    };
                    leader.answer(&sent, Some(&refusal));
                }
                Outcome::Failed if unanswered.is_some() => {
                    leader.confirm(&sent);
                    ends.push(directive::Ended {
                        outcome: directive::Outcome::Failed,
                        ..leader::done(1)
                    });
                }
                _ => {
                    unanswered = Some((now, sent.0));
                    leader.answer(&sent, None);
                }
            }
        }
        let task = leader.state.task(leader::TASK);
        let is_free = task.is_some_and(|task| task.run == 1 && task.placed.is_none());
        if is_free && !is_given_up {
            is_given_up = true;
            if drains && let Some((_, first)) = unanswered {
                leader.announce_draining(first as u16, 5);
            }
            if matches!(outcome, Outcome::LeaderChanged) {
                leader.elect(2);
            }
        }
    }
    panic!("the task is not started again");
}

/// Guards against a task that runs twice: its start was given up because its worker refused it from then on, and the next
/// incarnation of the worker carried it out while the task ran elsewhere.
#[parameterized(
    not_listed = { Outcome::NotListed },
    late = { Outcome::Late },
    failed = { Outcome::Failed },
    leader_changed = { Outcome::LeaderChanged },
)]
fn a_task_starts_elsewhere_only_when_its_earlier_start_cannot_arrive(outcome: Outcome) {
    for lasting in [false, true] {
        let restart = restart_after(outcome, lasting, true);
        let waited = restart.started_at.saturating_sub(restart.unanswered_at);
        assert_ne!(restart.second, restart.first);
        assert!(waited >= LONGEST_DELAY, "{waited:?}");
        assert!(waited < START_WINDOW, "{waited:?}");
    }
}

/// Guards against a task that waits for a start that its own worker refuses: it may start again where the earlier run would
/// end with the newer one.
#[parameterized(
    not_listed = { Outcome::NotListed, false },
    late = { Outcome::Late, false },
    leader_changed = { Outcome::LeaderChanged, false },
    failed_lasting = { Outcome::Failed, true },
)]
fn a_task_starts_again_on_the_worker_of_its_earlier_start(outcome: Outcome, lasting: bool) {
    let restart = restart_after(outcome, lasting, false);
    assert_eq!(restart.second, restart.first);
    let waited = restart.started_at.saturating_sub(restart.unanswered_at);
    assert!(waited < Duration::from_secs(4), "{waited:?}");
}

/// Guards against a worker that fails everything and uses up the attempts of a task that is bound to it.
#[test]
fn a_failed_task_does_not_return_to_its_worker() {
    let restart = restart_after(Outcome::Failed, false, false);
    assert_ne!(restart.second, restart.first);
}

/// Guards against tasks that wait after each change of leader although the report of their worker lists the end of their run.
#[test]
fn a_reported_end_counts_as_an_answer_to_the_former_leader() {
    let (mut leader, placed, _) = Leader::with_run();
    leader.elect(2);
    let failed = directive::Ended {
        outcome: directive::Outcome::Failed,
        ..leader::done(1)
    };
    let ends = [failed];
    for request in leader.run(30) {
        let listed = if request.0 == placed { &ends[..] } else { &[] };
        leader.report(&request, 5, listed.to_vec());
    }
    assert_eq!(leader::started_runs(&leader.run(200)), [2]);
}
