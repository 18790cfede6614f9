//! The replica of a fleet's daemon and its disk.

use std::{collections::VecDeque, sync::mpsc, time::Duration};

use bronzespoke_consensus::{log, membership, message, replica};
use bronzespoke_control::{cell, envelope};
use bronzespoke_daemon::{
    disk,
    fleet::member::{self, Event, Member},
};
use bronzespoke_workload::catalog;
use bytes::Bytes;

/// Longest wait for a write.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than a new member refuses to vote.
const LATER: Duration = Duration::from_secs(5);

fn sent_votes(events: &VecDeque<Event>) -> usize {
    let granted = message::Body::VoteReply { granted: true };
    let is_vote = |event: &&Event| matches!(event, Event::Send(_, message) if message.body == granted);
    events.iter().filter(is_vote).count()
}

/// Guards against a late result of a closed replica that makes the next replica treat its own writes as durable: it
/// acknowledges votes and entries that a loss of power takes away.
#[test]
fn the_result_of_a_closed_replica_makes_no_write_durable() {
    let folder = tempfile::tempdir().expect("a folder");
    let (sender, results) = mpsc::channel();
    let notify: disk::Notify = Box::new(move |done| {
        let _received = sender.send(done);
    });
    let founders = membership::Membership::from_voters([1, 2, 3]);
    let opened = Member::open(2, 1, folder.path(), Some(founders), notify, Duration::ZERO);
    let mut member = opened.expect("the store opens");
    let mut events = VecDeque::new();
    let vote = message::Message {
        term: 1,
        body: message::Body::Vote {
            last: log::Position { term: 0, index: 1 },
            transfer: false,
        },
    };
    let input = replica::Input::Receive {
        from: 2,
        message: vote,
    };
    member.step(LATER, input, &mut events);
    let late = disk::Done {
        group: member::GROUP,
        result: Ok(1_000),
    };
    member.persisted(LATER, 1, &late, &mut events);
    assert_eq!(sent_votes(&events), 0, "the vote is not durable yet");
    let own = results.recv_timeout(TIMEOUT).expect("the vote is written");
    member.persisted(LATER, 2, &own, &mut events);
    assert_eq!(sent_votes(&events), 1, "the vote is durable");
}

/// Returns a configuration with this many queues, and a document of the largest size that operators may send.
fn configuration(queues: usize) -> cell::Command {
    let queue = |number: usize| catalog::Queue {
        name: format!("queue-{number:08}-of-an-office-with-a-long-name"),
        host: String::from("office.example"),
        prefix: format!("/a/path/of/an/office/with/a/long/name/{number:08}/"),
        pool: String::from("fleet"),
        timeout: Duration::from_secs(3),
        objective: Duration::from_secs(1),
        priority: 1,
        attempts: 3,
        stretch: 2.0,
        advice: None,
        open: false,
    };
    cell::Command::Configure {
        catalog: Box::new(catalog::Catalog {
            version: 1,
            queues: (0..queues).map(queue).collect(),
            pools: Vec::new(),
            teams: Vec::new(),
        }),
        document: Bytes::from(vec![b' '; 256 * 1024]),
    }
}

/// Guards against an allowed configuration that is refused for ever: it is stored as document and as catalog, which
/// together exceeded the size of an entry.
#[test]
fn a_configuration_of_the_largest_size_is_committed() {
    let folder = tempfile::tempdir().expect("a folder");
    let (sender, results) = mpsc::channel();
    let notify: disk::Notify = Box::new(move |done| {
        let _received = sender.send(done);
    });
    let founders = membership::Membership::from_voters([1]);
    let opened = Member::open(1, 1, folder.path(), Some(founders), notify, Duration::ZERO);
    let mut member = opened.expect("the store opens");
    let mut events = VecDeque::new();
    let mut now = LATER;
    let mut is_proposed = false;
    while !events
        .iter()
        .any(|event| matches!(event, Event::Committed { .. }))
    {
        now += Duration::from_millis(100);
        assert!(now < LATER + TIMEOUT, "not committed: {events:?}");
        member.step(now, replica::Input::Tick, &mut events);
        if !is_proposed && member.leading_term().is_some() {
            is_proposed = true;
            let command = envelope::Envelope::new(1, configuration(2_000));
            assert_eq!(member.propose(now, &[command], &mut events).len(), 1);
        }
        let rejected = events.iter().any(|event| matches!(event, Event::Rejected { .. }));
        assert!(!rejected, "the configuration is rejected");
        while let Ok(done) = results.recv_timeout(Duration::from_millis(100)) {
            member.persisted(now, 1, &done, &mut events);
        }
    }
}
