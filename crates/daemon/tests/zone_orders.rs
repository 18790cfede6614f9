//! Operators' orders about zones that a daemon passes on to the leader.

use std::time::Duration;

use bronzespoke_daemon::fleet::calls::Calls;
use bronzespoke_workload::call::{Call, Reply};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn order() -> Call {
    Call::Evacuate {
        zone: String::from("north"),
        active: true,
        seen: None,
    }
}

/// Guards against an order that is refused because its daemon had not applied the newest order yet: it is sent again while
/// the operator waits, and was not accepted if the time does not suffice.
#[test]
fn an_outdated_order_is_sent_again() {
    let mut calls = Calls::default();
    let number = calls.add(at(0), at(900), order(), 1).expect("there is room");
    assert_eq!(calls.due(at(0), 7).len(), 1);
    assert!(calls.reply(at(5), number, Reply::Outdated).is_none());
    assert!(
        calls.due(at(50), 7).is_empty(),
        "the replica needs time to catch up"
    );
    assert_eq!(calls.due(at(110), 7).len(), 1);
    let accepted = calls.reply(at(115), number, Reply::Done);
    assert_eq!(accepted, Some((1, Reply::Done)));
}

/// Guards against the status 404 for an order of which an earlier copy may have been accepted.
#[test]
fn an_unknown_zone_after_an_unanswered_copy_has_an_unknown_outcome() {
    let mut calls = Calls::default();
    let number = calls.add(at(0), at(900), order(), 1).expect("there is room");
    calls.due(at(0), 7);
    calls.due(at(800), 8);
    let reply = calls.reply(at(810), number, Reply::NoZone(String::from("north")));
    assert_eq!(reply, Some((1, Reply::Unknown)));
}

/// Guards against a late copy that a daemon makes itself: the operator has moved on to another daemon, and may have
/// withdrawn the order since.
#[test]
fn an_order_without_its_operator_is_dropped() {
    let mut calls = Calls::default();
    calls.add(at(0), at(900), order(), 1).expect("there is room");
    let leave = Call::Leave {
        name: String::from("w"),
    };
    calls.add(at(0), at(900), leave, 2).expect("there is room");
    calls.drop_abandoned(|_| true);
    let due: Vec<Call> = calls.due(at(0), 7).into_iter().map(|(_, call)| call).collect();
    assert!(matches!(due[..], [Call::Leave { .. }]), "{due:?}");
}
