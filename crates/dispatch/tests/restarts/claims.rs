//! Announcements and notices: claims that end nothing by themselves.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_workload::directive;
use yare::parameterized;

use super::leader::{Leader, TASK, is_start};

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

/// Guards against ends that are acknowledged unseen, and leases that the next incarnation receives: an answer of the earlier
/// one, requested before the next one announced itself, was taken for a sign that the earlier one was still there.
#[test]
fn an_answer_from_before_a_claim_renews_nothing() {
    let (mut leader, placed, _) = Leader::with_run();
    let before = leader.run(400);
    let request = before.iter().find(|(worker, ..)| *worker == placed);
    let request = request.expect("a report is requested").clone();
    leader.announce(placed as u16, 9);
    for request in leader.run(30) {
        leader.answer(&request, None);
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

/// What happens to a worker at work before a late notice of an earlier incarnation arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Before {
    Nothing,
    Draining,
    Election,
    DrainingAndElection,
}

/// Guards against tasks that run twice: a late notice of departure of an earlier incarnation ended the next one, which
/// was at work, and also if that one was draining.
#[parameterized(
    ready = { Before::Nothing, 1 },
    ready_repeated = { Before::Nothing, 40 },
    draining = { Before::Draining, 1 },
    draining_twice = { Before::Draining, 2 },
    draining_repeated = { Before::Draining, 40 },
    new_leader = { Before::Election, 2 },
    draining_new_leader = { Before::DrainingAndElection, 2 },
)]
fn a_late_notice_of_departure_ends_no_run(before: Before, notices: usize) {
    let (mut leader, placed, _) = Leader::with_run();
    if matches!(before, Before::Draining | Before::DrainingAndElection) {
        leader.announce_draining(placed as u16, 5);
    }
    if matches!(before, Before::Election | Before::DrainingAndElection) {
        leader.elect(2);
    }
    for round in 0..200 {
        if round < notices {
            leader.dispatch.leave(leader.now.steady, &format!("w-{placed}"));
        }
        leader.run_undisturbed(placed);
    }
    let record = &leader.dispatch.workers()[&placed];
    assert!(record.runs.contains_key(&TASK), "{record:?}");
    assert!(record.claimed_at.is_none(), "the worker gets no work");
    let lease_left = record.lease_end.saturating_sub(leader.now.steady);
    assert!(
        lease_left > Duration::from_secs(1),
        "the lease lasts {lease_left:?} more"
    );
}

/// Guards against tasks that run twice: a worker that has sent its notice works on until it is acknowledged, and the
/// answer to the leader's question, out of order with an earlier one, was overlooked.
#[test]
fn an_answer_from_before_a_notice_does_not_refute_it() {
    let (mut leader, placed, _) = Leader::with_run();
    leader.announce_draining(placed as u16, 5);
    let before = leader.run(400);
    let earlier = before.iter().find(|(worker, ..)| *worker == placed);
    let earlier = earlier.expect("a report is requested").clone();
    leader.dispatch.leave(leader.now.steady, &format!("w-{placed}"));
    let asked = leader.run(30);
    let request = asked.iter().find(|(worker, ..)| *worker == placed);
    let request = request.expect("the worker is asked").clone();
    let noticed = |leader: &Leader| leader.dispatch.workers()[&placed].noticed_at.is_some();
    leader.report_running(&earlier, placed);
    assert!(noticed(&leader));
    leader.report_running(&request, placed);
    assert!(!noticed(&leader));
}

/// Guards against tasks that wait for the lease of other workers, and against requests to a worker that has left.
#[test]
fn the_tasks_of_a_worker_that_has_left_move_when_its_lease_ends() {
    let (mut leader, placed, _) = Leader::with_run();
    leader.announce_draining(placed as u16, 5);
    // The lease from before the announcement expires meanwhile.
    for _ in 0..80 {
        leader.run_undisturbed(placed);
    }
    let left_at = leader.now.steady;
    let lease_end = leader.dispatch.workers()[&placed].lease_end;
    leader.dispatch.leave(left_at, &format!("w-{placed}"));
    let placed_until = leader.placed_until();
    assert!(placed_until >= lease_end, "{placed_until:?} {lease_end:?}");
    let longest = Duration::from_secs(3).mul_f64(1.05);
    assert!(placed_until < left_at + longest, "{placed_until:?} {left_at:?}");
    assert!(!leader.dispatch.workers().contains_key(&placed));
}

/// Guards against tasks that wait for the lease of a worker that has left although its next incarnation answers.
#[test]
fn the_tasks_of_a_worker_that_has_left_move_with_the_next_answer() {
    let (mut leader, placed, _) = Leader::with_run();
    leader.announce_draining(placed as u16, 5);
    leader.dispatch.leave(leader.now.steady, &format!("w-{placed}"));
    let asked = leader.run(30);
    let request = asked.iter().find(|(worker, ..)| *worker == placed);
    leader.report(request.expect("the worker is asked"), 1_000, Vec::new());
    let sent = leader.run(50);
    let start = sent.iter().find(|(_, directive, _)| is_start(directive));
    assert_eq!(start.map(|(worker, ..)| *worker), Some(1 - placed), "{sent:?}");
}

/// Guards against a request to the worker for each notice, which anybody may repeat at any rate.
#[test]
fn repeated_notices_cause_one_request_at_a_time() {
    let (mut leader, placed, _) = Leader::with_run();
    leader.run(30);
    let mut requests = 0;
    for _ in 0..500 {
        leader.dispatch.leave(leader.now.steady, &format!("w-{placed}"));
        let sent = leader.run(1);
        requests += sent.iter().filter(|(worker, ..)| *worker == placed).count();
    }
    assert_eq!(requests, 1);
}

/// Guards against tasks that wait after a change of leader although another worker answers at the address of theirs, which
/// refuses their starts.
#[test]
fn a_new_leader_moves_the_tasks_of_a_worker_whose_address_is_taken() {
    let (mut leader, placed, other) = Leader::with_run();
    leader.elect(2);
    for request in leader.run(30).iter().filter(|(worker, ..)| *worker == other) {
        leader.report(request, 5, Vec::new());
    }
    leader.announce_as("w-9", placed as u16, 1_000);
    let requests = leader.run(30);
    let asked = requests.iter().filter(|(worker, ..)| *worker == 2);
    let request = asked.last().expect("the worker at the address is asked").clone();
    leader.report(&request, 1_000, Vec::new());
    let later = leader.run(50);
    let started = later.iter().any(|(_, directive, _)| is_start(directive));
    assert!(started, "{later:?}");
}
