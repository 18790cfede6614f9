//! Discovery, call forwarding and directive relaying of a fleet's daemons, without I/O.

use std::{net::SocketAddr, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_daemon::fleet::{
    calls::{self, Calls},
    commands::{Commands, Responder},
    discovery::Discovery,
    relay,
    wire::{self, Endpoint},
};
use bronzespoke_workload::{
    call::{self, Call, Reply},
    directive, job,
};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn endpoint(number: u8) -> Endpoint {
    Endpoint {
        vm: u64::from(number),
        peer: SocketAddr::from(([10, 0, 0, number], 7_000)),
    }
}

fn call() -> Call {
    Call::Leave {
        name: String::from("w"),
    }
}

/// Guards against a call that waits until its own deadline although no leader is elected.
#[test]
fn a_call_without_a_leader_is_refused_in_time() {
    let mut calls = Calls::default();
    calls.add(at(0), at(3_000), call(), 1).expect("there is room");
    assert!(calls.expired(at(1_100), false).is_empty());
    assert_eq!(calls.expired(at(1_200), false), [(1, calls::no_leader())]);
}

/// Guards against the reply "not accepted" to a call that a leader may have executed before it crashed.
#[test]
fn a_sent_call_has_an_unknown_outcome() {
    let mut calls = Calls::default();
    calls.add(at(0), at(3_000), call(), 1).expect("there is room");
    assert_eq!(calls.due(at(0), 7).len(), 1);
    assert_eq!(calls.expired(at(1_300), false), [(1, Reply::Unknown)]);
}

/// Guards against the same false reply when the next daemon rejects the call because it does not lead.
#[test]
fn a_resent_call_keeps_its_unknown_outcome() {
    let mut calls = Calls::default();
    let number = calls.add(at(0), at(3_000), call(), 1).expect("there is room");
    calls.due(at(0), 7);
    calls.due(at(800), 8);
    assert!(calls.reply(at(810), number, Reply::NotLeader).is_none());
    assert_eq!(calls.expired(at(3_000), true), [(1, Reply::Unknown)]);
}

fn job_call(action: call::Action) -> Call {
    Call::Job(call::Job {
        host: String::from("office.example"),
        path: String::from("/assay/"),
        key: Some(String::from("key")),
        action,
    })
}

fn submission() -> Call {
    let submission = job::Submission {
        spec: bytes::Bytes::new(),
        steps: Vec::new(),
        schedule: None,
    };
    job_call(call::Action::Submit(7, Box::new(submission)))
}

/// Sends a call twice, because the first leader does not answer, and returns the reply to the caller if the second
/// leader gives a reply.
fn reply_after_an_unanswered_copy(call: Call, reply: Reply) -> Option<Reply> {
    let mut calls = Calls::default();
    let number = calls.add(at(0), at(3_000), call, 1).expect("there is room");
    calls.due(at(0), 7);
    calls.due(at(800), 8);
    calls.reply(at(810), number, reply).map(|(_, reply)| reply)
}

/// Guards against a rejection as the only answer to a submission or cancellation of which a copy was executed: the
/// earlier leader recorded it under a configuration in which its key and its queue were still there.
#[yare::parameterized(
    key = { Reply::BadKey },
    queue = { Reply::NoQueue },
    job = { Reply::NoJob },
    invalid = { Reply::Invalid(String::new()) },
    overload = { Reply::Refused { reason: call::Refusal::Overload, retry_after: at(1_000) } },
    no_room = { Reply::Refused { reason: call::Refusal::NoRoom, retry_after: at(1_000) } },
    no_configuration = { Reply::Refused { reason: call::Refusal::NoConfiguration, retry_after: at(1_000) } },
)]
fn a_rejection_after_an_unanswered_copy_has_an_unknown_outcome(rejection: Reply) {
    let cancellation = job_call(call::Action::Cancel(7));
    for call in [submission(), cancellation] {
        let reply = reply_after_an_unanswered_copy(call, rejection.clone());
        assert_eq!(reply, Some(Reply::Unknown));
    }
}

/// Guards against an unknown outcome of a call whose outcome is known: one that has no effect, one that has taken
/// effect, and one whose only other copy was not executed.
#[test]
fn a_known_outcome_is_passed_on() {
    let read = job_call(call::Action::Show(7));
    let shown = reply_after_an_unanswered_copy(read, Reply::NoJob);
    assert_eq!(shown, Some(Reply::NoJob));
    let accepted = reply_after_an_unanswered_copy(submission(), Reply::Done);
    assert_eq!(accepted, Some(Reply::Done));
    let mut calls = Calls::default();
    let number = calls
        .add(at(0), at(3_000), submission(), 1)
        .expect("there is room");
    calls.due(at(0), 7);
    calls.reply(at(5), number, Reply::NotLeader);
    calls.due(at(800), 8);
    let rejected = calls.reply(at(810), number, Reply::BadKey);
    assert_eq!(rejected, Some((1, Reply::BadKey)));
}

/// Guards against a rejection in reply to a resent copy while the first one is being committed: the first one's outcome
/// is that of both, and the configuration may have changed in between.
#[test]
fn a_copy_is_recognised_until_its_command_is_committed() {
    let remote = |vm, number| Responder::Remote {
        endpoint: endpoint(vm),
        number,
    };
    let mut commands = Commands::default();
    commands.add(at(0), cell::Command::Cancel { key: 7 }, Responder::Discard);
    commands.add(at(0), cell::Command::Cancel { key: 7 }, remote(1, 5));
    assert!(commands.is_under_way(&remote(1, 5)), "not proposed");
    assert!(!commands.is_under_way(&remote(1, 6)), "another call");
    assert!(!commands.is_under_way(&remote(2, 5)), "another daemon's call");
    assert!(!commands.is_under_way(&Responder::Discard), "no call");
    let batch = commands.take_batch();
    commands.propose(1, batch);
    assert!(commands.is_under_way(&remote(1, 5)), "proposed");
    assert_eq!(commands.take_proposal(1).len(), 2);
    assert!(!commands.is_under_way(&remote(1, 5)), "committed");
}

/// Guards against a call that bounces without pause between daemons of which none leads.
#[test]
fn a_rejected_call_is_resent_after_a_pause() {
    let mut calls = Calls::default();
    let number = calls.add(at(0), at(3_000), call(), 1).expect("there is room");
    calls.due(at(0), 7);
    calls.reply(at(5), number, Reply::NotLeader);
    assert!(calls.due(at(50), 7).is_empty());
    assert_eq!(calls.due(at(110), 7).len(), 1);
    assert_eq!(calls.reply(at(120), number, Reply::Done), Some((1, Reply::Done)));
}

/// Guards against a reply to a call of the earlier process of this VM that is passed to the caller of a new call: an
/// operator was told that a configuration was accepted which no leader had received.
#[test]
fn a_reply_to_a_call_of_the_earlier_process_is_ignored() {
    let mut earlier = Calls::default();
    let answered_late = earlier.add(at(0), at(3_000), call(), 1).expect("there is room");
    let mut restarted = Calls::default();
    restarted.add(at(0), at(3_000), call(), 2).expect("there is room");
    restarted.due(at(0), 7);
    assert_eq!(restarted.reply(at(10), answered_late, Reply::Done), None);
}

/// Guards against pending calls that exhaust memory while the leader does not answer.
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

/// Guards against a late announcement of a former leader that replaces the newer leader.
#[test]
fn an_older_term_does_not_replace_a_newer_one() {
    let mut discovery = Discovery::new(endpoint(1).peer, &[endpoint(2).peer]);
    discovery.record_leader(at(0), 5, endpoint(2));
    discovery.record_leader(at(10), 4, endpoint(3));
    assert_eq!(discovery.leader(at(20)), Some(endpoint(2)));
    assert_eq!(discovery.leader(at(5_000)), None);
    discovery.record_leader(at(5_000), 4, endpoint(3));
    assert_eq!(discovery.leader(at(5_001)), Some(endpoint(3)));
}

/// Guards against connections that stay silent permanently: they are reopened while the peer does not answer.
#[test]
fn a_silent_connection_is_reopened() {
    let mut discovery = Discovery::new(endpoint(1).peer, &[endpoint(2).peer]);
    discovery.record_contact(at(0), endpoint(2), Some(true));
    discovery.record_leader(at(0), 1, endpoint(2));
    assert!(discovery.due(at(1_000)).reset.is_empty());
    assert_eq!(discovery.due(at(2_000)).reset, [endpoint(2).peer]);
    assert!(
        discovery.due(at(2_600)).reset.is_empty(),
        "not at every announcement"
    );
}

/// Guards against losing daemons that were learned from others when the seeds in the settings change.
#[test]
fn learned_daemons_survive_a_change_of_seeds() {
    let mut discovery = Discovery::new(endpoint(1).peer, &[endpoint(2).peer]);
    discovery.add_endpoints(&[endpoint(3)]);
    discovery.set_seeds(&[endpoint(4).peer]);
    let hello = discovery.due(at(0)).hello;
    assert!(
        hello.contains(&endpoint(3).peer) && hello.contains(&endpoint(4).peer),
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
        token: 9,
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

fn candidates() -> Vec<(Endpoint, String)> {
    vec![(endpoint(1), String::from("a")), (endpoint(2), String::from("b"))]
}

/// Guards against relaying in a fleet whose workers the leader can call itself: a relay only adds a point of failure.
#[test]
fn a_small_fleet_is_called_by_its_leader() {
    let mut relays = relay::Relays::default();
    relays.set_relays(48, candidates());
    assert_eq!(relays.relay("a"), None);
    relays.set_relays(350, candidates());
    assert_eq!(relays.relay("a"), Some(endpoint(1)));
    assert_eq!(relays.relay("c"), None, "no daemon of this zone is reachable");
}

/// Guards against starts that wait for their full timeout after their relay is lost.
#[test]
fn directives_of_a_lost_relay_expire_immediately() {
    let mut relays = relay::Relays::default();
    relays.set_relays(350, candidates());
    relays.queue(at(0), endpoint(1), decision(1), recipient(), stop(1));
    relays.queue(at(0), endpoint(2), decision(2), recipient(), stop(2));
    assert_eq!(relays.take_frames().len(), 2);
    assert!(relays.expire(at(100)).is_empty());
    relays.set_relays(350, vec![(endpoint(2), String::from("b"))]);
    assert_eq!(relays.expire(at(100)), [(decision(1), stop(1))]);
    assert_eq!(relays.answered(1), None, "a late answer changes nothing");
    assert_eq!(relays.answered(2), Some((decision(2), stop(2))));
}

/// Guards against a directive that stays in flight permanently when its relay drops it.
#[test]
fn an_unanswered_relayed_directive_expires() {
    let mut relays = relay::Relays::default();
    relays.set_relays(350, candidates());
    relays.queue(at(0), endpoint(1), decision(1), recipient(), stop(1));
    assert!(relays.expire(at(1_100)).is_empty());
    assert_eq!(relays.expire(at(1_200)).len(), 1);
}

/// Guards against a frame over the size limit when one scheduling pass starts many tasks.
#[test]
fn many_directives_are_split_into_frames() {
    let mut relays = relay::Relays::default();
    relays.set_relays(350, candidates());
    for index in 0..300 {
        relays.queue(at(0), endpoint(1), decision(1), recipient(), stop(index));
    }
    let frames = relays.take_frames();
    let sizes: Vec<usize> = frames.iter().map(|(_, directives)| directives.len()).collect();
    assert_eq!(sizes, [128, 128, 44]);
}

/// Guards against one frame for each answer, and against frames that mix the terms of two leaders.
#[test]
fn answers_share_frames_by_leader_and_term() {
    let mut batches = relay::Answers::default();
    batches.add(at(0), endpoint(1), 3, 1, None);
    batches.add(at(1), endpoint(1), 3, 2, None);
    batches.add(at(1), endpoint(2), 4, 1, None);
    assert!(batches.take_frames(at(1)).is_empty());
    let frames = batches.take_frames(at(2));
    assert_eq!(frames.len(), 2);
    assert!(
        matches!(&frames[0], (to, wire::Message::Answers { token: 3, answers }) if *to == endpoint(1) && answers.len() == 2)
    );
    assert_eq!(batches.due(), None);
}

/// Guards against relaying through a daemon that was lost a moment ago, and through one whose availability zone is
/// unknown.
#[test]
fn only_recently_seen_daemons_are_relays() {
    let mut discovery = Discovery::new(endpoint(9).peer, &[]);
    discovery.record_contact(at(0), endpoint(1), Some(true));
    assert!(
        discovery.relays(at(0)).is_empty(),
        "its availability zone is not known"
    );
    discovery.record_zone(endpoint(1), String::from("a"));
    assert_eq!(discovery.relays(at(700)), [(endpoint(1), String::from("a"))]);
    assert!(discovery.relays(at(701)).is_empty());
}

/// Guards against the reply "not accepted" to a call of which the leader executes another copy afterwards.
#[test]
fn a_refusal_of_a_resent_call_is_an_unknown_outcome() {
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

/// Guards against a leader that receives more copies of each call the further it falls behind.
#[test]
fn calls_are_resent_with_exponential_backoff() {
    let mut calls = Calls::default();
    calls.add(at(0), at(60_000), call(), 1).expect("there is room");
    let sent: Vec<u64> = (0..10_000)
        .filter(|millis| !calls.due(at(*millis), 7).is_empty())
        .collect();
    assert_eq!(sent, [0, 700, 2_100, 4_900]);
}
