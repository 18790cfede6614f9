//! Decisions about clients that hold memory, without a network.

use std::time::Duration;

use bronzespoke_daemon::fleet::intake::ledger::{ACTIVE_BYTES, Class, Id, Ledger, Phase, Reason};
use bronzespoke_workload::settings::Intake;

const BUDGET: u64 = 16 << 20;
const BODY: u64 = 256 * 1024;
const SMALL: u64 = ACTIVE_BYTES + 2 * 1024;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn ledger() -> Ledger {
    Ledger::new(Intake {
        budget: BUDGET,
        ..Intake::default()
    })
}

fn receiving(ledger: &mut Ledger, now: Duration, class: Class) -> Id {
    let id = ledger.open(now, class);
    ledger.begin(now, id, Phase::Body);
    id
}

/// Guards against the load that took a process to 413 MB: bodies that stop one byte short and stay open. Without a
/// decision, all of them would be held together.
#[test]
fn bodies_that_stop_short_stay_within_the_budget() {
    const CLIENTS: u64 = 400;
    let mut ledger = ledger();
    let mut granted = 0;
    for number in 0..CLIENTS {
        let now = millis(number * 10);
        let id = receiving(&mut ledger, now, Class::Entry);
        granted += u64::from(ledger.hold(now, id, BODY).is_granted);
        assert!(ledger.held() <= BUDGET);
    }
    assert!(granted * BODY > BUDGET, "only {granted} were granted");
    const { assert!(CLIENTS * BODY > 6 * BUDGET) };
}

/// Guards against refusing an ordinary caller because the budget is spent by others.
#[test]
fn a_small_request_passes_when_the_budget_is_spent() {
    let mut ledger = ledger();
    while {
        let id = receiving(&mut ledger, millis(0), Class::Entry);
        ledger.hold(millis(0), id, BODY).is_granted
    } {}
    for number in 0..200 {
        let id = receiving(&mut ledger, millis(1), Class::Entry);
        assert!(ledger.hold(millis(1), id, SMALL).is_granted, "{number}");
    }
    assert!(ledger.held() <= BUDGET);
}

/// Guards against shedding a client that makes progress while another holds as much without any.
#[test]
fn the_client_without_progress_is_shed_first() {
    let mut ledger = ledger();
    let stalled = receiving(&mut ledger, millis(0), Class::Entry);
    let moving = receiving(&mut ledger, millis(0), Class::Entry);
    assert!(ledger.hold(millis(0), stalled, 6 << 20).is_granted);
    assert!(ledger.hold(millis(0), moving, 7 << 20).is_granted);
    ledger.advance(millis(1_900), moving, 1);
    let next = receiving(&mut ledger, millis(2_000), Class::Entry);
    let outcome = ledger.hold(millis(2_000), next, 2 << 20);
    assert!(outcome.is_granted);
    assert_eq!(outcome.shed, [(stalled, Phase::Body)]);
}

/// Guards against honest clients that shed each other: without a stalled one, the newest that holds the most is refused.
#[test]
fn of_honest_clients_the_newest_that_holds_the_most_is_refused() {
    let mut ledger = ledger();
    let mut earlier = Vec::new();
    for number in 0..14 {
        let id = receiving(&mut ledger, millis(number), Class::Entry);
        if !ledger.hold(millis(number), id, 1 << 20).is_granted {
            assert_eq!(number, 13);
            break;
        }
        earlier.push(id);
    }
    let newest = receiving(&mut ledger, millis(20), Class::Entry);
    let outcome = ledger.hold(millis(20), newest, 1 << 20);
    assert!(!outcome.is_granted);
    assert_eq!(outcome.shed, []);
}

/// Guards against an untrue refusal: a request that is being served may have been executed.
#[test]
fn a_request_that_is_served_is_not_shed() {
    let mut ledger = ledger();
    let served = receiving(&mut ledger, millis(0), Class::Entry);
    assert!(ledger.hold(millis(0), served, 13 << 20).is_granted);
    ledger.begin(millis(0), served, Phase::Serving);
    let other = receiving(&mut ledger, millis(60_000), Class::Entry);
    let outcome = ledger.hold(millis(60_000), other, 2 << 20);
    assert!(!outcome.is_granted && outcome.shed.is_empty());
    assert_eq!(ledger.overdue(millis(120_000)).len(), 0);
    assert_eq!(ledger.displace(millis(120_000), Class::Entry), None);
}

/// Guards against refusing a single slow request within its time: the minimum rate applies only while the budget is
/// short.
#[test]
fn a_slow_body_is_refused_only_under_pressure() {
    let mut ledger = ledger();
    let slow = receiving(&mut ledger, millis(0), Class::Entry);
    assert!(ledger.hold(millis(0), slow, BODY).is_granted);
    ledger.advance(millis(9_000), slow, 1);
    assert_eq!(ledger.overdue(millis(10_000)), []);
    let large = receiving(&mut ledger, millis(10_000), Class::Control);
    assert!(ledger.hold(millis(10_000), large, 10 << 20).is_granted);
    assert_eq!(
        ledger.overdue(millis(10_000)),
        [(slow, Phase::Body, Reason::BodyRate)]
    );
}

/// Guards against connections that keep their place without a request, a head, a body or a read of the response.
#[test]
fn every_phase_has_its_limit_of_time() {
    let limits = Intake::default();
    let cases = [
        (Phase::Idle, limits.idle_timeout, Reason::Idle),
        (Phase::Head, limits.head_timeout, Reason::HeadTimeout),
        (Phase::Body, limits.body_timeout, Reason::BodyTimeout),
        (Phase::Response, limits.response_timeout, Reason::Unread),
    ];
    for (phase, limit, reason) in cases {
        let mut ledger = ledger();
        let id = ledger.open(millis(0), Class::Entry);
        ledger.begin(millis(0), id, phase);
        assert_eq!(ledger.overdue(limit.saturating_sub(millis(1))), []);
        assert_eq!(ledger.overdue(limit), [(id, phase, reason)]);
    }
}

/// Guards against idle connections that keep ordinary clients in the backlog; other listeners keep their places.
#[test]
fn the_longest_idle_connection_gives_up_its_place() {
    let mut ledger = ledger();
    let control = ledger.open(millis(0), Class::Control);
    let head = ledger.open(millis(0), Class::Entry);
    ledger.begin(millis(0), head, Phase::Head);
    let first = ledger.open(millis(10), Class::Entry);
    let _second = ledger.open(millis(20), Class::Entry);
    assert_eq!(
        ledger.displace(millis(2_000), Class::Entry),
        Some((first, Phase::Idle))
    );
    assert_eq!(
        ledger.displace(millis(2_000), Class::Control),
        Some((control, Phase::Idle))
    );
}

/// Guards against bytes that stay counted after their connection has ended.
#[test]
fn a_closed_connection_holds_nothing() {
    let mut ledger = ledger();
    for number in 0..500 {
        let id = receiving(&mut ledger, millis(number), Class::Entry);
        ledger.hold(millis(number), id, BODY);
        ledger.set(id, ACTIVE_BYTES);
        ledger.close(id);
    }
    assert_eq!(ledger.held(), 0);
}
