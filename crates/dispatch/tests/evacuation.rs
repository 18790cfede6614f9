//! Evacuation of an availability zone while starts are under way, directive by directive.

#[path = "restarts/leader.rs"]
#[allow(dead_code, reason = "this test program uses a part of the module")]
mod leader;

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_dispatch::dispatch::Output;
use bronzespoke_model::resource;
use bronzespoke_standin::fleet::load;
use bronzespoke_workload::{directive, job};
use leader::{Leader, Sent, TASK, at, is_start, running};
use yare::parameterized;

const ROOM: resource::Amount = resource::Amount::new(8_000, 8_000, 0);
/// Zones of the workers 0 and 1.
const ZONES: [&str; 2] = ["north", "south"];
/// Time from the acknowledgement of an order to its full effect, as the platform states it.
const EFFECT: Duration = Duration::from_secs(5);
/// The platform carries a directive out within this time or not at all.
const LONGEST_DELAY: Duration = Duration::from_secs(12);

fn order(zone: &str, active: bool) -> cell::Command {
    cell::Command::Evacuate {
        zone: String::from(zone),
        active,
        seen: None,
    }
}

fn announce(leader: &mut Leader, number: u16, zone: &str) {
    let mut announcement = load::announcement(number, 5, ROOM);
    announcement.worker.zone = String::from(zone);
    leader.receive(&announcement);
}

/// Returns a leader with one worker in each zone; both have reported.
fn with_zones() -> Leader {
    let mut leader = Leader::new();
    for (number, zone) in ZONES.into_iter().enumerate() {
        announce(&mut leader, number as u16, zone);
    }
    report_idle(&mut leader, 30);
    leader
}

/// Advances the time; every worker answers that it runs nothing. Returns the starts.
fn report_idle(leader: &mut Leader, millis: u64) -> Vec<Sent> {
    let mut starts = Vec::new();
    for _ in 0..millis.div_ceil(10) {
        for sent in leader.run(10) {
            if is_start(&sent.1) {
                starts.push(sent);
            } else {
                leader.report(&sent, 5, Vec::new());
            }
        }
    }
    starts
}

/// Submits a job with a number of tasks of half a worker each.
fn submit(leader: &mut Leader, tasks: u32, step: job::Step) {
    let step = job::Step {
        tasks,
        size: resource::Amount::new(4_000, 100, 0),
        run_time: Duration::from_secs(1),
        ..step
    };
    leader.submit_step(step);
}

fn zone(leader: &Leader, worker: cell::WorkerIndex) -> String {
    leader.state.workers()[&worker].worker.zone.clone()
}

/// Returns the workers of the starts.
fn workers(starts: &[Sent]) -> Vec<cell::WorkerIndex> {
    starts.iter().map(|(worker, ..)| *worker).collect()
}

const fn is_start_command(command: &cell::Command) -> bool {
    matches!(command, cell::Command::Start(_))
}

/// Returns a leader whose first start is proposed and not committed, with that command and its worker.
fn with_proposed_start() -> (Leader, cell::Command, cell::WorkerIndex) {
    let mut leader = with_zones();
    leader.keeps = is_start_command;
    submit(&mut leader, 1, job::Step::default());
    report_idle(&mut leader, 30);
    leader.keeps = |_| false;
    let command = leader.proposed.pop().expect("a start is proposed");
    let cell::Command::Start(starts) = &command else {
        panic!("{command:?}");
    };
    let worker = starts[0].worker;
    (leader, command, worker)
}

/// Returns a leader that has sent a start, which was not answered.
fn with_unacknowledged_start() -> (Leader, Sent) {
    let mut leader = with_zones();
    submit(&mut leader, 1, job::Step::default());
    let starts = report_idle(&mut leader, 30);
    let [start] = starts.try_into().expect("the task is started once");
    leader.answer(&start, None);
    (leader, start)
}

/// Guards against tasks that start in an evacuated zone, and against a zone that stays empty after the withdrawal.
#[test]
fn nothing_starts_in_an_evacuated_zone() {
    let mut leader = with_zones();
    leader.commit(&order("north", true));
    submit(&mut leader, 4, job::Step::default());
    let starts = report_idle(&mut leader, 1_000);
    assert_eq!(workers(&starts), [1, 1]);
    for start in &starts {
        leader.confirm(start);
    }
    leader.commit(&order("north", false));
    let later = leader.run(50);
    let later: Vec<Sent> = later.into_iter().filter(|sent| is_start(&sent.1)).collect();
    assert_eq!(workers(&later), [0, 0]);
}

/// Guards against an order that ends with its repetition, or with an order about another zone.
#[test]
fn repeated_and_concurrent_orders_hold() {
    let mut leader = with_zones();
    for zone in ["north", "north", "south", "elsewhere"] {
        leader.commit(&order(zone, true));
    }
    leader.commit(&order("elsewhere", false));
    submit(&mut leader, 2, job::Step::default());
    assert!(report_idle(&mut leader, 6_000).is_empty());
    // The work waits, and starts when one zone is readmitted.
    leader.commit(&order("south", false));
    assert_eq!(workers(&report_idle(&mut leader, 100)), [1, 1]);
}

/// Checks that the task whose first start on a worker was withheld starts on the other worker, as its second run.
fn assert_continues_beside(leader: &mut Leader, worker: cell::WorkerIndex) {
    let starts = report_idle(leader, 200);
    assert_eq!(
        workers(&starts),
        [1 - worker],
        "the task continues elsewhere at once"
    );
    assert_eq!(leader::started_runs(&starts), [2]);
}

/// Guards against a start that was proposed before the order and is sent when its commit follows that of the order.
#[test]
fn a_start_that_is_committed_after_the_order_is_not_sent() {
    let (mut leader, command, worker) = with_proposed_start();
    leader.commit(&order(&zone(&leader, worker), true));
    leader.commit(&command);
    assert_continues_beside(&mut leader, worker);
}

/// Guards against a start that was committed before the order and leaves the leader after it.
#[test]
fn a_start_that_waits_to_be_sent_is_withheld() {
    let (mut leader, command, worker) = with_proposed_start();
    leader.commit(&command);
    leader.commit(&order(&zone(&leader, worker), true));
    assert_continues_beside(&mut leader, worker);
}

/// Guards against an unacknowledged start that is sent again into an evacuated zone, and against a second run of its task
/// while the first one may still begin.
#[test]
fn an_unacknowledged_start_is_not_repeated_and_stays_placed() {
    let (mut leader, start) = with_unacknowledged_start();
    let lease_end = match &start.1 {
        directive::Directive::Start { lease_end, .. } => *lease_end,
        other => panic!("{other:?}"),
    };
    leader.commit(&order(&zone(&leader, start.0), true));
    // The worker's clock is the leader's here. A start that is carried out late has begun before the order is in force.
    assert!(lease_end < leader.now.steady + EFFECT);
    let until_lease_end = lease_end.saturating_sub(leader.now.steady).as_millis() as u64;
    let early = report_idle(&mut leader, until_lease_end);
    assert!(early.is_empty(), "{early:?}");
    assert!(
        leader
            .state
            .task(TASK)
            .is_some_and(|task| task.placed == Some(start.0))
    );
    // A report after the lease of the start shows that this incarnation does not carry it out; the next one may until no
    // transmission of it can arrive.
    let sent_at = start.2;
    let until_arrival = (sent_at + LONGEST_DELAY).saturating_sub(leader.now.steady);
    let early = report_idle(&mut leader, until_arrival.as_millis() as u64);
    assert!(early.is_empty(), "{early:?}");
    let later = report_idle(&mut leader, 3_000);
    assert_eq!(workers(&later), [1 - start.0]);
}

/// Guards against a repetition that was decided before the order and leaves the leader after it, and against the
/// conclusion from the repetition that the first transmission has not arrived either.
#[test]
fn a_repetition_that_waits_to_be_sent_is_withheld() {
    let (mut leader, start) = with_unacknowledged_start();
    let is_repeated = |leader: &Leader| {
        let record = &leader.dispatch.workers()[&start.0];
        record.runs[&TASK].phase == bronzespoke_dispatch::worker::Phase::Sent
    };
    // The outputs are not taken, as while the leader does not hold its lease.
    while !is_repeated(&leader) {
        leader.now = at(leader.now.steady.as_millis() as u64 + 1);
        leader.dispatch.tick(&leader.state, leader.now);
    }
    leader.commit(&order(&zone(&leader, start.0), true));
    for output in leader.dispatch.take_outputs() {
        match output {
            Output::Propose(command) => leader.propose(command),
            Output::Directive { directive, .. } => assert!(!is_start(&directive), "{directive:?}"),
            Output::Query(_) | Output::Event(_) => {}
        }
    }
    assert!(report_idle(&mut leader, 1_000).is_empty());
    assert!(
        leader
            .state
            .task(TASK)
            .is_some_and(|task| task.placed == Some(start.0))
    );
}

/// Guards against a leader that learns of an order from the log only: its workers were marked when the order was committed,
/// and those that it inherits were not.
#[test]
fn a_new_leader_knows_the_order_before_its_first_decision() {
    let mut leader = with_zones();
    leader.commit(&order("north", true));
    leader.elect(2);
    submit(&mut leader, 4, job::Step::default());
    assert_eq!(workers(&report_idle(&mut leader, 3_000)), [1, 1]);
}

/// Guards against a start that a deposed leader has proposed and the next one finds in its log: the next leader does not
/// send it, and starts its task only elsewhere.
#[test]
fn a_start_of_a_deposed_leader_is_not_sent_by_the_next() {
    let (mut leader, command, worker) = with_proposed_start();
    let zone = zone(&leader, worker);
    leader.state.apply(leader.now.wall_ms, command);
    leader.state.apply(leader.now.wall_ms, order(&zone, true));
    leader.elect(2);
    // The next leader cannot know that the start was not sent.
    let early = report_idle(&mut leader, LONGEST_DELAY.as_millis() as u64);
    assert!(early.is_empty(), "{early:?}");
    let mut starts = Vec::new();
    for _ in 0..60 {
        if starts.is_empty() {
            starts = report_idle(&mut leader, 100);
        }
    }
    assert_eq!(workers(&starts), [1 - worker]);
    assert_eq!(leader::started_runs(&starts), [2]);
}

/// Guards against a leader on the smaller side of a partition that starts tasks in a zone which the other side evacuates: it
/// can neither commit its starts nor learn of the order.
#[test]
fn a_leader_that_is_cut_off_starts_nothing() {
    let (mut leader, command, worker) = with_proposed_start();
    let zone = zone(&leader, worker);
    let mut other = with_zones();
    other.state = leader.state.clone();
    other.now = leader.now;
    other.elect(2);
    other.commit(&order(&zone, true));
    leader.keeps = |_| true;
    let starts = report_idle(&mut leader, 5_000);
    assert!(starts.is_empty(), "{starts:?}");
    // The other side neither has the start nor places the task in the zone.
    assert_eq!(workers(&report_idle(&mut other, 2_000)), [1 - worker]);
    // After the partition, the start is rejected, and its leader is deposed.
    leader.reject(&command);
    leader.state = other.state.clone();
    leader.elect(3);
    assert!(
        report_idle(&mut leader, 100)
            .iter()
            .all(|start| start.0 != worker)
    );
}

/// Guards against a gang that starts with the members outside of an evacuated zone only: the starts of the others were
/// committed after the order.
#[test]
fn a_gang_with_a_member_in_the_zone_begins_anew() {
    let mut leader = with_zones();
    leader.keeps = is_start_command;
    let step = job::Step {
        gang: true,
        ..job::Step::default()
    };
    submit(&mut leader, 3, step);
    report_idle(&mut leader, 30);
    leader.keeps = |_| false;
    let command = leader.proposed.pop().expect("the gang is proposed");
    leader.commit(&order("north", true));
    leader.commit(&command);
    let mut stopped = 0;
    let mut started = Vec::new();
    for _ in 0..20 {
        for sent in leader.run(10) {
            match &sent.1 {
                directive::Directive::Start { .. } => started.push(sent),
                directive::Directive::Stop { .. } => stopped += 1,
                _ => leader.report(&sent, 5, Vec::new()),
            }
        }
    }
    assert!(started.iter().all(|start| start.0 == 1), "{started:?}");
    assert!(stopped > 0, "the members outside of the zone wait for the others");
}

/// Guards against a worker that registers in an evacuated zone and gets work.
#[test]
fn a_worker_that_registers_in_an_evacuated_zone_gets_nothing() {
    let mut leader = with_zones();
    for zone in ZONES {
        leader.commit(&order(zone, true));
    }
    announce(&mut leader, 7, "north");
    report_idle(&mut leader, 100);
    submit(&mut leader, 2, job::Step::default());
    assert!(report_idle(&mut leader, 3_000).is_empty());
    announce(&mut leader, 8, "west");
    assert_eq!(workers(&report_idle(&mut leader, 200)), [3, 3]);
}

/// Guards against an evacuation that stops what runs, lets its lease expire, or moves a lasting task.
#[parameterized(
    once = { false },
    lasting = { true },
)]
fn what_runs_in_the_zone_goes_on(lasting: bool) {
    let mut leader = with_zones();
    let step = job::Step {
        lasting,
        ..job::Step::default()
    };
    submit(&mut leader, 1, step);
    let starts = report_idle(&mut leader, 30);
    leader.confirm(&starts[0]);
    let worker = starts[0].0;
    for zone in ZONES {
        leader.commit(&order(zone, true));
    }
    for turn in 0..200 {
        for sent in leader.run(50) {
            assert!(
                matches!(sent.1, directive::Directive::Renew { .. }),
                "the run is disturbed: {sent:?}"
            );
            // A run without progress would be stopped as stalled.
            let listed = directive::Running {
                percent: turn / 2,
                ..running()
            };
            let answer = directive::Answer::Report(directive::Report {
                clock: leader.now.steady,
                started_ms: Some(5),
                running: (sent.0 == worker).then_some(listed).into_iter().collect(),
                ended: Vec::new(),
                truncated: false,
            });
            leader.answer(&sent, Some(&answer));
        }
    }
    let record = &leader.dispatch.workers()[&worker];
    assert!(record.runs.contains_key(&TASK));
    let lease_left = record.lease_end.saturating_sub(leader.now.steady);
    assert!(lease_left > Duration::from_secs(3), "{lease_left:?}");
}

/// Guards against a worker whose remaining time after its start is forgotten at its registration, or kept too long.
#[test]
fn a_worker_is_cold_until_its_stated_time() {
    let mut leader = with_zones();
    let mut announcement = load::announcement(7, 5, ROOM);
    announcement.cold = Duration::from_secs(2);
    leader.receive(&announcement);
    let is_cold = |leader: &Leader| leader.dispatch.workers()[&2].is_cold(leader.now.steady);
    assert!(is_cold(&leader));
    leader.run(2_100);
    assert!(!is_cold(&leader));
    leader.receive(&announcement);
    assert!(is_cold(&leader));
    announcement.cold = Duration::ZERO;
    leader.receive(&announcement);
    assert!(!is_cold(&leader));
}
