//! The replica of a fleet's daemon and its disk.

use std::{collections::VecDeque, sync::mpsc, time::Duration};

use bronzespoke_consensus::{log, membership, message, replica};
use bronzespoke_daemon::{
    disk,
    fleet::member::{self, Event, Member},
};

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
