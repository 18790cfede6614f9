//! What daemons of a fleet decide about each other and about calls, without I/O.

use std::{net::SocketAddr, time::Duration};

use bronzespoke_daemon::fleet::{
    calls::{self, Calls},
    contact::Contact,
    relay,
    wire::{self, Place},
};
use bronzespoke_workload::{
    call::{self, Call, Reply},
    directive,
};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn place(number: u8) -> Place {
    Place {
        vm: u64::from(number),
        peer: SocketAddr::from(([10, 0, 0, number], 7_000)),
    }
}

fn call() -> Call {
    Call::Leave {
        name: String::from("w"),
    }
}

/// Guards against a call that waits for its own deadline though no leader comes.
#[test]
fn a_call_without_a_leader_is_refused_in_time() {
    let mut calls = Calls::default();
    calls.add(at(0), at(3_000), call(), 1).expect("there is room");
    assert!(calls.expired(at(1_100), false).is_empty());
    assert_eq!(calls.expired(at(1_200), false), [(1, calls::no_leader())]);
}

/// Guards against "not accepted" as the answer to a call that a leader may have taken before it was lost.
#[test]
fn a_call_that_was_sent_has_an_unknown_fate() {
    let mut calls = Calls::default();
    calls.add(at(0), at(3_000), call(), 1).expect("there is room");
    assert_eq!(calls.due(at(0), 7).len(), 1);
    assert_eq!(calls.expired(at(1_300), false), [(1, Reply::Unknown)]);
}

/// Guards against the same false answer when the next daemon sends the call back untouched.
#[test]
fn a_call_that_was_sent_twice_stays_of_unknown_fate() {
    let mut calls = Calls::default();
    let number = calls.add(at(0), at(3_000), call(), 1).expect("there is room");
    calls.due(at(0), 7);
    calls.due(at(800), 8);
    assert!(calls.reply(at(810), number, Reply::NotLeader).is_none());
    assert_eq!(calls.expired(at(3_000), true), [(1, Reply::Unknown)]);
}

/// Guards against a call that goes to and fro without pause between daemons of which none leads.
#[test]
fn a_call_that_was_sent_back_pauses() {
    let mut calls = Calls::default();
    let number = calls.add(at(0), at(3_000), call(), 1).expect("there is room");
    calls.due(at(0), 7);
    calls.reply(at(5), number, Reply::NotLeader);
    assert!(calls.due(at(50), 7).is_empty());
    assert_eq!(calls.due(at(110), 7).len(), 1);
    assert_eq!(calls.reply(at(120), number, Reply::Done), Some((1, Reply::Done)));
}

/// Guards against calls that fill the memory while the leader does not answer.
#[test]
fn calls_beyond_the_bound_are_refused() {
    let mut calls = Calls::default();
    let refused = (0..5_000).find_map(|number| calls.add(at(0), at(1), call(), number).err());
    let (number, reply) = refused.expect("there is a bound");
    assert_eq!(number, 4_096);
    assert!(matches!(
        reply,
        Reply::Refused {
            reason: call::Refusal::NoLeader,
            ..
        }
    ));
}

/// Guards against a former leader whose late word replaces the newer one.
#[test]
fn an_older_term_does_not_replace_a_newer_one() {
    let mut contact = Contact::new(place(1).peer, &[place(2).peer]);
    contact.note_leader(at(0), 5, place(2));
    contact.note_leader(at(10), 4, place(3));
    assert_eq!(contact.leader(at(20)), Some(place(2)));
    assert_eq!(contact.leader(at(5_000)), None);
    contact.note_leader(at(5_000), 4, place(3));
    assert_eq!(contact.leader(at(5_001)), Some(place(3)));
}

/// Guards against connections that are silent for good: they are made anew while the peer does not answer.
#[test]
fn a_silent_connection_is_made_anew() {
    let mut contact = Contact::new(place(1).peer, &[place(2).peer]);
    contact.heard(at(0), place(2), Some(true));
    contact.note_leader(at(0), 1, place(2));
    assert!(contact.due(at(1_000)).reset.is_empty());
    assert_eq!(contact.due(at(2_000)).reset, [place(2).peer]);
    assert!(
        contact.due(at(2_600)).reset.is_empty(),
        "not at every announcement"
    );
}

/// Guards against daemons that are lost with their seeds: what was learnt stays known when the settings change.
#[test]
fn known_daemons_outlive_a_change_of_seeds() {
    let mut contact = Contact::new(place(1).peer, &[place(2).peer]);
    contact.learn(&[place(3)]);
    contact.set_seeds(&[place(4).peer]);
    let hello = contact.due(at(0)).hello;
    assert!(
        hello.contains(&place(3).peer) && hello.contains(&place(4).peer),
        "{hello:?}"
    );
}

fn decision(worker: u32) -> relay::Decision {
    relay::Decision {
        token: 3,
        worker,
        at: at(0),
    }
}

fn recipient() -> wire::Recipient {
    wire::Recipient {
        fence: 9,
        name: String::from("w"),
        address: SocketAddr::from(([10, 0, 1, 1], 8_080)),
    }
}

const fn stop(index: u32) -> directive::Directive {
    let task = directive::Task {
        job: 1,
        occurrence: 0,
        step: 0,
        index,
    };
    directive::Directive::Stop { task, run: 1 }
}

fn carriers() -> Vec<(Place, String)> {
    vec![(place(1), String::from("a")), (place(2), String::from("b"))]
}

/// Guards against calls through a second daemon on a fleet that the leader can serve by itself: they would only add a
/// way to fail.
#[test]
fn a_small_fleet_is_called_by_its_leader() {
    let mut relays = relay::Relays::default();
    relays.set_carriers(48, carriers());
    assert_eq!(relays.carrier("a"), None);
    relays.set_carriers(350, carriers());
    assert_eq!(relays.carrier("a"), Some(place(1)));
    assert_eq!(relays.carrier("c"), None, "nobody is there to carry");
}

/// Guards against starts that wait for their whole time when the daemon that carries them is lost.
#[test]
fn orders_of_a_lost_carrier_are_given_up_at_once() {
    let mut relays = relay::Relays::default();
    relays.set_carriers(350, carriers());
    relays.queue(at(0), place(1), decision(1), recipient(), stop(1));
    relays.queue(at(0), place(2), decision(2), recipient(), stop(2));
    assert_eq!(relays.take_frames().len(), 2);
    assert!(relays.give_up(at(100)).is_empty());
    relays.set_carriers(350, vec![(place(2), String::from("b"))]);
    assert_eq!(relays.give_up(at(100)), [(decision(1), stop(1))]);
    assert_eq!(relays.answered(1), None, "a late answer changes nothing");
    assert_eq!(relays.answered(2), Some((decision(2), stop(2))));
}

/// Guards against an order that stays under way for good when a carrier swallows it.
#[test]
fn a_carried_order_without_an_answer_is_given_up() {
    let mut relays = relay::Relays::default();
    relays.set_carriers(350, carriers());
    relays.queue(at(0), place(1), decision(1), recipient(), stop(1));
    assert!(relays.give_up(at(1_100)).is_empty());
    assert_eq!(relays.give_up(at(1_200)).len(), 1);
}

/// Guards against a frame over the largest size when a pass starts many tasks at once.
#[test]
fn many_orders_are_split_into_frames() {
    let mut relays = relay::Relays::default();
    relays.set_carriers(350, carriers());
    for index in 0..300 {
        relays.queue(at(0), place(1), decision(1), recipient(), stop(index));
    }
    let frames = relays.take_frames();
    let sizes: Vec<usize> = frames.iter().map(|(_, orders)| orders.len()).collect();
    assert_eq!(sizes, [128, 128, 44]);
}

/// Guards against one frame for each answer, and against answers that mix the terms of two leaders.
#[test]
fn answers_share_frames_by_leader_and_term() {
    let mut carried = relay::Carried::default();
    carried.add(at(0), place(1), 3, 1, None);
    carried.add(at(1), place(1), 3, 2, None);
    carried.add(at(1), place(2), 4, 1, None);
    assert!(carried.take_frames(at(1)).is_empty());
    let frames = carried.take_frames(at(2));
    assert_eq!(frames.len(), 2);
    assert!(
        matches!(&frames[0], (to, wire::Message::Answers { token: 3, answers }) if *to == place(1) && answers.len() == 2)
    );
    assert_eq!(carried.due(), None);
}

/// Guards against orders through a daemon that was lost a moment ago, and against an availability zone that is guessed.
#[test]
fn only_daemons_that_were_heard_just_now_carry() {
    let mut contact = Contact::new(place(9).peer, &[]);
    contact.heard(at(0), place(1), Some(true));
    assert!(
        contact.carriers(at(0)).is_empty(),
        "its availability zone is not known"
    );
    contact.note_zone(place(1), String::from("a"));
    assert_eq!(contact.carriers(at(700)), [(place(1), String::from("a"))]);
    assert!(contact.carriers(at(701)).is_empty());
}

/// Guards against "not accepted" as the answer to a call whose other sending the leader takes afterwards.
#[test]
fn a_refusal_of_a_call_that_was_sent_twice_is_not_certain() {
    let refused = Reply::Refused {
        reason: call::Refusal::Overload,
        retry_after: at(1_000),
    };
    let mut calls = Calls::default();
    let once = calls.add(at(0), at(3_000), call(), 1).expect("there is room");
    let twice = calls.add(at(0), at(3_000), call(), 2).expect("there is room");
    calls.due(at(0), 7);
    assert_eq!(
        calls.reply(at(10), once, refused.clone()),
        Some((1, refused.clone()))
    );
    assert_eq!(calls.due(at(700), 7).len(), 1);
    assert_eq!(calls.reply(at(800), twice, refused), Some((2, Reply::Unknown)));
}

/// Guards against a leader that gets the more copies of each call the further it falls behind.
#[test]
fn calls_are_repeated_less_and_less_often() {
    let mut calls = Calls::default();
    calls.add(at(0), at(60_000), call(), 1).expect("there is room");
    let sent: Vec<u64> = (0..10_000)
        .filter(|millis| !calls.due(at(*millis), 7).is_empty())
        .collect();
    assert_eq!(sent, [0, 700, 2_100, 4_900]);
}
