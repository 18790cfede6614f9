//! Restart of a replica from its files.

use std::time::Duration;

use bronzespoke_consensus::replica::{Config, Input, Output, Replica};
use bronzespoke_consensus::{log, membership};
use bronzespoke_model::id::GroupId;
use bronzespoke_storage::Store;

/// Steps the replica and persists its writes until it has no further input; returns the entries that it applied.
fn run(replica: &mut Replica, store: &mut Store, now: Duration, input: Input) -> Vec<log::Entry> {
    let mut inputs = vec![input];
    let mut applied = Vec::new();
    while let Some(input) = inputs.pop() {
        let mut out = Vec::new();
        replica.step(now, input, &mut out);
        let mut writes = Vec::new();
        for output in out {
            match output {
                Output::Persist(write) => writes.push(write),
                Output::Apply(entry) => {
                    inputs.push(Input::Applied {
                        index: entry.position.index,
                    });
                    applied.push(entry);
                }
                _ => {}
            }
        }
        if let Some(last) = writes.last() {
            store.write(&writes).expect("the disk has space");
            inputs.push(Input::Persisted {
                through: last.sequence,
            });
        }
    }
    applied
}

/// Guards against a single voter that cannot elect itself, and against committed entries that are lost on restart.
#[test]
fn single_voter_commits_and_restarts() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let group = GroupId::Zone(3);
    let second = Duration::from_secs(1);
    let (mut store, restored) = Store::open(folder.path(), group).expect("a new store");
    assert!(restored.is_empty(), "nothing is stored yet");
    let restored = store
        .bootstrap(membership::Membership::from_voters([1]))
        .expect("the disk has space");
    let mut replica = Replica::new(Config::new(1, group, 7), restored, Duration::ZERO);
    run(&mut replica, &mut store, Duration::ZERO, Input::Tick);
    let applied = run(
        &mut replica,
        &mut store,
        second,
        Input::Propose {
            id: 1,
            data: "a".into(),
        },
    );
    assert_eq!(applied.len(), 1, "the proposal commits immediately");
    assert!(replica.holds_lease(second), "one voter is a majority");
    drop(store);
    let (mut store, restored) = Store::open(folder.path(), group).expect("the store of the first run");
    let mut replica = Replica::new(Config::new(1, group, 8), restored, Duration::ZERO);
    let mut applied = run(&mut replica, &mut store, Duration::ZERO, Input::Tick);
    applied.extend(run(&mut replica, &mut store, 2 * second, Input::Tick));
    assert!(
        applied
            .iter()
            .any(|entry| entry.payload == log::Payload::Command("a".into())),
        "{applied:?}"
    );
}
