//! Evidence that a worker has ended, which arrives late, twice, out of order or from another sender.

use std::time::Duration;

use bronzespoke_model::resource;
use bronzespoke_standin::fleet::load;
use bronzespoke_workload::directive;
use yare::parameterized;

use super::leader::{Leader, Sent, TASK, is_start, running};

/// Start times of three incarnations of the only worker.
const STARTED_MS: [u64; 3] = [5, 9, 13];

/// Returns a report at the current time of the leader.
fn report(leader: &Leader, started_ms: u64, is_running: bool) -> directive::Answer {
    directive::Answer::Report(directive::Report {
        clock: leader.now.steady,
        started_ms: Some(started_ms),
        running: is_running.then(running).into_iter().collect(),
        ended: Vec::new(),
        truncated: false,
    })
}

/// Returns a leader whose only worker is its third incarnation and runs the task, with the requests to the earlier ones
/// that have not been answered.
fn with_third_incarnation() -> (Leader, Vec<Sent>) {
    let mut leader = Leader::with_workers(1);
    let mut unanswered = leader.run(1_100);
    for started_ms in &STARTED_MS[1..] {
        leader.announce(0, *started_ms);
        unanswered.extend(leader.run(30));
    }
    let newest = unanswered.iter().rposition(|(worker, ..)| *worker == 2);
    let newest = unanswered.remove(newest.expect("the third incarnation is asked"));
    leader.report(&newest, STARTED_MS[2], Vec::new());
    let (start, _) = leader.start_task();
    assert_eq!(start.0, 2);
    leader.confirm(&start);
    unanswered.retain(|(worker, ..)| *worker < 2);
    (leader, unanswered)
}

/// Guards against tasks that run twice: late answers to requests to earlier incarnations were taken for evidence about the
/// one at work.
#[parameterized(
    report_of_the_first = { |leader| report(leader, STARTED_MS[0], true) },
    report_of_the_second = { |leader| report(leader, STARTED_MS[1], false) },
    report_of_the_third = { |leader| report(leader, STARTED_MS[2], true) },
    report_of_another = { |leader| report(leader, 1_000, false) },
    refusal = { |_| directive::Answer::Refused {
        reason: directive::Refusal::OtherIncarnation,
        clock: None,
    } },
    refused_connection = { |_| directive::Answer::NotSent },
)]
fn late_answers_about_earlier_incarnations_end_no_run(answer: fn(&Leader) -> directive::Answer) {
    let (mut leader, unanswered) = with_third_incarnation();
    assert!(
        unanswered.iter().any(|(worker, ..)| *worker == 0),
        "{unanswered:?}"
    );
    assert!(
        unanswered.iter().any(|(worker, ..)| *worker == 1),
        "{unanswered:?}"
    );
    let mut starts = 0;
    for _ in 0..100 {
        for request in unanswered.iter().rev() {
            let answer = answer(&leader);
            leader.answer(request, Some(&answer));
        }
        for request in leader.run(100) {
            starts += usize::from(is_start(&request.1));
            let answer = report(&leader, STARTED_MS[2], true);
            leader.answer(&request, Some(&answer));
        }
    }
    assert_eq!(starts, 0, "the task starts again while it runs");
    assert!(leader.dispatch.workers()[&2].runs.contains_key(&TASK));
}

/// Guards against tasks that run twice: refused connections were taken for the end of a worker that is cut off.
#[test]
fn refused_connections_end_no_run_before_the_lease() {
    let (mut leader, placed, _) = Leader::with_run();
    let lease_end = leader.dispatch.workers()[&placed].lease_end;
    while leader.now.steady < lease_end {
        assert!(leader.state.task(TASK).is_some_and(|task| task.placed.is_some()));
        for request in leader.run(50) {
            if request.0 == placed {
                leader.answer(&request, Some(&directive::Answer::NotSent));
            } else {
                leader.report_running(&request, placed);
            }
        }
    }
}

/// Guards against a lease that is counted as expired while the worker holds it: its clock was read from an answer that had
/// been delayed, or that arrived after a newer one.
#[parameterized(
    delayed = { &[1_500] },
    out_of_order = { &[0, 1_500] },
    twice = { &[1_500, 1_500] },
)]
fn a_delayed_answer_does_not_end_a_lease_early(ages_ms: &[u64]) {
    let (mut leader, placed, _) = Leader::with_run();
    let requests = leader.run(1_600);
    let request = requests.iter().rfind(|(worker, ..)| *worker == placed);
    let request = request.expect("a report is requested").clone();
    for age_ms in ages_ms {
        let report = directive::Report {
            clock: leader.now.steady.saturating_sub(Duration::from_millis(*age_ms)),
            started_ms: Some(5),
            running: vec![running()],
            ended: Vec::new(),
            truncated: false,
        };
        leader.answer(&request, Some(&directive::Answer::Report(report)));
    }
    leader.run(10);
    // The clock of the worker shows the time of the leader.
    let lease_end = leader.dispatch.workers()[&placed].lease_end;
    let placed_until = leader.placed_until();
    assert!(placed_until >= lease_end, "{placed_until:?} {lease_end:?}");
}

/// Guards against tasks that run twice: an announcement by another sender under the name and the start time of a worker
/// changed its address, where another worker refused its directives.
#[test]
fn an_announcement_from_another_address_changes_no_worker() {
    let (mut leader, placed, other) = Leader::with_run();
    let mut foreign = load::announcement(other as u16, 5, resource::Amount::new(4_000, 4_000, 0));
    foreign.incarnation.name = format!("w-{placed}");
    for _ in 0..100 {
        leader.receive(&foreign);
        leader.run_undisturbed(placed);
    }
    let announced = &leader.dispatch.workers()[&placed].announced;
    assert_eq!(usize::from(announced.address.port()), 1_000 + placed as usize);
}
