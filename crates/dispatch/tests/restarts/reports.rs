//! What a report proves, acknowledges and frees.

use bronzespoke_control::cell;
use bronzespoke_workload::directive;
use yare::parameterized;

use super::leader::{Leader, TASK, acknowledged, done, is_end_command, is_start, started_runs};

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
    let mut leader = Leader::with_workers(2);
    let ((placed, ..), _) = leader.start_task();
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
    let mut leader = Leader::with_workers(1);
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

/// Guards against a worker that gets more than it has room for: its worker was lost while a start was proposed and not
/// committed, and a second start with the same run number was proposed. When that one was rejected, the run of the first
/// was forgotten while it was at work.
#[test]
fn a_task_whose_start_is_proposed_is_not_proposed_again() {
    let mut leader = Leader::with_workers(2);
    leader.keeps = |command| matches!(command, cell::Command::Start(_));
    leader.submit();
    leader.run(30);
    let proposed = leader.proposed.clone();
    let [cell::Command::Start(starts)] = proposed.as_slice() else {
        panic!("one start is proposed: {proposed:?}");
    };
    let placed = starts[0].worker;
    leader.announce(placed as u16, 9);
    let requests = leader.run(30);
    let request = requests.iter().find(|(worker, ..)| *worker == 2);
    leader.report(request.expect("the next incarnation is asked"), 9, Vec::new());
    leader.run(100);
    assert_eq!(leader.proposed.len(), 1, "{:?}", leader.proposed);
    leader.keeps = |_| false;
    // The commit shows that the first start was not sent, and the task is placed again.
    leader.commit(&proposed[0]);
    let sent = leader.run(100);
    assert_eq!(started_runs(&sent), [2]);
}

/// Guards against a task that runs twice: the end of its run was acknowledged by the commit of an earlier proposal, while
/// its own record was rejected and proposed again. If that one is lost with the leader, nobody knows the end.
#[test]
fn an_end_is_acknowledged_only_when_its_own_record_is_committed() {
    let mut leader = Leader::with_workers(1);
    let (start, others) = leader.start_task();
    leader.confirm(&start);
    leader.keeps = is_end_command;
    let other = directive::Ended {
        task: directive::Task { job: 8, ..TASK },
        ..done(1)
    };
    let ends = vec![other.clone(), directive::Ended { number: 2, ..done(1) }];
    leader.report(&others[0], 5, vec![other]);
    let mut request = leader.run(400).remove(0);
    leader.report(&request, 5, ends.clone());
    leader.run(1);
    let [earlier, rejected] = leader.proposed.clone().try_into().expect("two proposals");
    leader.reject(&rejected);
    request = leader.run(400).remove(0);
    leader.report(&request, 5, ends);
    leader.run(1);
    let repeated = leader.proposed.pop().expect("the end is proposed again");

    leader.commit(&earlier);
    let requests = leader.run(100);
    assert_eq!(acknowledged(&requests), Some(1), "{requests:?}");
    leader.report(&requests[0], 5, Vec::new());
    leader.commit(&repeated);
    assert_eq!(acknowledged(&leader.run(400)), Some(2));
    assert!(leader.state.task(TASK).is_some_and(|task| task.done));
}

/// Guards against a task that stays placed until the next change of leader: its worker had refused the start, and the
/// record of this was rejected.
#[test]
fn a_rejected_record_of_a_refused_start_is_proposed_again() {
    let mut leader = Leader::with_workers(1);
    let (start, _) = leader.start_task();
    leader.keeps = is_end_command;
    let clock = Some(leader.now.steady);
    let reason = directive::Refusal::Room;
    leader.answer(&start, Some(&directive::Answer::Refused { reason, clock }));
    leader.run(1);
    let rejected = leader.proposed.pop().expect("the end is proposed");
    leader.reject(&rejected);
    leader.keeps = |_| false;
    let sent = leader.run(1_000);
    assert_eq!(started_runs(&sent), [2], "{sent:?}");
}

/// Guards against a task that runs again after it was done by the next incarnation of its worker: the record of the reported
/// end was rejected, and the run was given up as lost meanwhile.
#[test]
fn a_run_whose_reported_end_is_rejected_is_not_lost() {
    let (mut leader, placed, other) = Leader::with_run();
    leader.elect(2);
    leader.announce(placed as u16, 9);
    let requests = leader.run(30);
    leader.keeps = is_end_command;
    for request in requests.iter().filter(|(worker, ..)| *worker != placed) {
        if request.0 == other {
            leader.report(request, 5, Vec::new());
        } else {
            leader.report(request, 9, vec![done(1)]);
        }
    }
    leader.run(100);
    let proposed = std::mem::take(&mut leader.proposed);
    leader.reject(&proposed[0]);
    for later in &proposed[1..] {
        leader.commit(later);
    }
    leader.keeps = |_| false;
    let sent = leader.run(1_000);
    let started = sent.iter().any(|(_, directive, _)| is_start(directive));
    assert!(!started, "{proposed:?} {sent:?}");
    let task = leader.state.task(TASK).expect("the job is retained");
    assert!(task.done, "{task:?}");
}

/// Guards against two runs of a task at once: an earlier leader had recorded the end of a run that was still at work, and
/// placed the task on the same worker again. The next leader started it once more, although the worker reported the run.
#[test]
fn a_task_is_not_started_while_a_worker_reports_another_run_of_it() {
    let (mut leader, placed, other) = Leader::with_run();
    leader.commit(&cell::Command::End(vec![cell::End {
        task: TASK,
        run: 1,
        worker: placed,
        outcome: directive::Outcome::Lost,
        checkpoint: None,
    }]));
    leader.commit(&cell::Command::Start(vec![cell::Start {
        task: TASK,
        run: 2,
        worker: placed,
    }]));
    leader.elect(2);
    for _ in 0..20 {
        leader.run_undisturbed(placed);
    }
    let stopped = directive::Ended {
        outcome: directive::Outcome::Stopped,
        ..done(1)
    };
    let mut sent = leader.run(500);
    for request in &sent {
        if let directive::Directive::Renew { .. } = request.1 {
            let ended = if request.0 == other {
                Vec::new()
            } else {
                vec![stopped.clone()]
            };
            leader.report(request, 5, ended);
        }
    }
    sent.extend(leader.run(500));
    assert_eq!(started_runs(&sent), [3]);
}
