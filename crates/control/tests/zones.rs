//! Orders to evacuate an availability zone in the state of the cell: repeated, withdrawn, late and concurrent ones.

use bronzespoke_control::cell::{Command, Outcome, State};
use yare::parameterized;

/// Number of the format of snapshots before orders about zones.
const SECOND_FORMAT: u8 = 2;
/// Length of the encoded fields that the second format lacks, while they are empty.
const ADDED_BYTES: usize = 4;

fn order(zone: &str, active: bool, seen: Option<u64>) -> Command {
    Command::Evacuate {
        zone: String::from(zone),
        active,
        seen,
    }
}

/// Applies an order that was received at the present state.
fn fresh(state: &mut State, zone: &str, active: bool) -> Outcome {
    let seen = Some(state.zone_orders());
    state.apply(1, order(zone, active, seen))
}

fn evacuated(state: &State) -> Vec<&str> {
    state.evacuated().map(|(zone, _)| zone).collect()
}

/// Guards against an accepted order that is refused when it is sent again, and against a repetition that makes the
/// evacuation appear younger than it is.
#[test]
fn a_repeated_order_is_acknowledged_and_changes_nothing() {
    let mut state = State::default();
    for (at_ms, seen) in [(5, Some(0)), (6, Some(0)), (7, Some(1)), (8, None)] {
        let outcome = state.apply(at_ms, order("north", true, seen));
        assert_eq!(outcome, Outcome::Done, "{at_ms}");
    }
    assert_eq!(state.evacuated().collect::<Vec<_>>(), [("north", 5)]);
    assert_eq!(fresh(&mut state, "north", false), Outcome::Done);
    assert_eq!(fresh(&mut state, "north", false), Outcome::Done);
    assert!(!state.is_evacuated("north"));
}

/// Guards against a late copy of an order that undoes a newer withdrawal, and the reverse.
#[parameterized(
    evacuation = { true },
    withdrawal = { false },
)]
fn a_late_copy_does_not_undo_a_newer_order(first: bool) {
    let mut state = State::default();
    fresh(&mut state, "north", !first);
    let seen = Some(state.zone_orders());
    state.apply(1, order("north", first, seen));
    fresh(&mut state, "north", !first);
    let before = state.clone();
    assert_eq!(state.apply(2, order("north", first, seen)), Outcome::Outdated);
    assert_eq!(state, before);
    // A new order of the same kind has seen the newer one.
    assert_eq!(fresh(&mut state, "north", first), Outcome::Done);
    assert_eq!(state.is_evacuated("north"), first);
}

/// Guards against a late order that takes effect after its withdrawal was acknowledged: the order had no answer, so that
/// the withdrawal found the zone not evacuated.
#[test]
fn a_withdrawal_without_effect_outdates_the_order_before_it() {
    let mut state = State::default();
    assert_eq!(fresh(&mut state, "north", false), Outcome::Done);
    assert_eq!(state.apply(2, order("north", true, Some(0))), Outcome::Outdated);
    assert!(!state.is_evacuated("north"));
}

/// Guards against a late copy of the order in force that outdates a withdrawal which the operator sends meanwhile.
#[test]
fn a_late_copy_of_the_order_in_force_does_not_count() {
    let mut state = State::default();
    fresh(&mut state, "north", true);
    let seen = Some(state.zone_orders());
    assert_eq!(state.apply(2, order("north", true, Some(0))), Outcome::Done);
    assert_eq!(state.apply(3, order("north", false, seen)), Outcome::Done);
    assert!(evacuated(&state).is_empty());
}

/// Guards against an order about one zone that changes or outdates one about another: two at once, and all at once.
#[test]
fn orders_about_several_zones_are_independent() {
    let zones = ["a", "b", "c", "d", "e", "f"];
    let mut state = State::default();
    // All were received before any of them was recorded.
    for zone in zones {
        assert_eq!(state.apply(1, order(zone, true, Some(0))), Outcome::Done);
    }
    assert_eq!(evacuated(&state), zones);
    let seen = Some(state.zone_orders());
    for zone in ["b", "e"] {
        assert_eq!(state.apply(2, order(zone, false, seen)), Outcome::Done);
    }
    assert_eq!(evacuated(&state), ["a", "c", "d", "f"]);
}

/// Guards against an evacuation that is forgotten after a power loss or in a replica that receives a snapshot.
#[test]
fn orders_are_part_of_snapshots() {
    let mut state = State::default();
    fresh(&mut state, "north", true);
    fresh(&mut state, "south", true);
    fresh(&mut state, "south", false);
    let mut decoded = State::decode(&state.encode()).expect("the snapshot is valid");
    assert_eq!(decoded, state);
    let late = decoded.apply(2, order("south", true, Some(1)));
    assert_eq!(late, Outcome::Outdated);
}

/// Guards against a daemon that cannot read the snapshot of the version before orders about zones.
#[test]
fn a_snapshot_in_the_second_format_is_read() {
    let mut state = State::default();
    let locate = Command::Locate {
        vm: 7,
        peer: std::net::SocketAddr::from(([127, 0, 0, 1], 7_000)),
    };
    state.apply(1, locate);
    let encoded = state.encode();
    let (known, added) = encoded.split_at(encoded.len() - ADDED_BYTES);
    assert_eq!(added, [0; ADDED_BYTES]);
    let mut former = known.to_vec();
    former[0] = SECOND_FORMAT;
    let decoded = State::decode(&former).expect("the snapshot is valid");
    assert_eq!(decoded, state);
    assert_eq!(decoded.peers().len(), 1);
}

/// Guards against a state that grows with every name that was ever given, and against an evacuation that is dropped to
/// keep it small.
#[test]
fn the_number_of_remembered_withdrawals_is_bounded() {
    let mut state = State::default();
    fresh(&mut state, "north", true);
    let mut length = 0;
    for zone in 0..5_000 {
        fresh(&mut state, &format!("zone-{zone:04}"), false);
        if zone == 2_000 {
            length = state.encode().len();
        }
    }
    // Higher numbers of orders take more bytes each.
    assert!(state.encode().len() < length + 1_024, "{length}");
    assert!(state.is_evacuated("north"));
    assert!(state.has_zone_order("zone-4999") && !state.has_zone_order("zone-0000"));
}
