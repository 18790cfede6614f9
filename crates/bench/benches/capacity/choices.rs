//! Measurements for the choice of the frame codec and for the design of the control thread: codecs, reads of a view,
//! and synced writes.

use std::{hint::black_box, sync::Arc, time::Instant};

use bronzespoke_consensus::{log, membership, message, write};
use bronzespoke_daemon::peer::wire;
use bronzespoke_model::id;
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::watch;

use crate::{count, line, links, replication, reports};

const SYNCED_WRITES: u64 = 60;

/// Runs the measurements of this module and prints them.
pub fn measure() {
    println!("\n### Codecs\n");
    println!(
        "| message | postcard, B | JSON, B | ratio | postcard, µs to encode and decode | JSON, µs |\n\
         | --- | --- | --- | --- | --- | --- |"
    );
    codec("announcement", &replication::frame(links::hello(1)));
    codec("heartbeat", &replication::frame(append(0, 1)));
    codec("append with one start", &replication::frame(append(1, 1)));
    codec(
        "append with 15 entries of one command",
        &replication::frame(append(15, 1)),
    );
    codec(
        "full report of a worker with 6 tasks",
        &reports::report(6, 0, None),
    );
    line::print_heading("Views and the disk");
    line::fit(
        "time to read a view through a watch channel",
        "readers' copies alive",
        "µs",
        &[1, 8, 64, 512].map(view_read),
    );
    line::fit(
        "time of a synced write, mean",
        "entries in the write",
        "µs",
        &[1, 15, 75, 150].map(|entries| (entries as f64, synced_write(entries))),
    );
}

fn append(entries: u64, commands: u64) -> wire::Body {
    let previous = log::Position {
        term: 7,
        index: 200_000,
    };
    let item = |number| message::Item::Command {
        term: 7,
        data: replication::entry(number, commands),
    };
    let append = message::Append {
        previous,
        entries: (0..entries).map(item).collect(),
        commit: 200_000,
        sent: 5_000_000_000,
        token: 123_456_789,
        age: Some(100_000),
    };
    let body = message::Body::Append(append);
    wire::Body::Consensus(id::GroupId::Zone(9), message::Message { term: 7, body })
}

fn codec<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    let binary = postcard::to_stdvec(value).expect("the message has a binary form");
    let text = serde_json::to_vec(value).expect("the message has a text form");
    let binary_time = count::micros(|| {
        let bytes = postcard::to_stdvec(black_box(value)).expect("the message has a binary form");
        drop(black_box(postcard::from_bytes::<T>(&bytes)));
    });
    let text_time = count::micros(|| {
        let bytes = serde_json::to_vec(black_box(value)).expect("the message has a text form");
        drop(black_box(serde_json::from_slice::<T>(&bytes)));
    });
    println!(
        "| {name} | {} | {} | {} | {} | {} |",
        binary.len(),
        text.len(),
        line::short(text.len() as f64 / binary.len() as f64),
        line::short(binary_time),
        line::short(text_time)
    );
}

fn view_read(copies: usize) -> (f64, f64) {
    let (_sender, receiver) = watch::channel(Arc::new(0_u64));
    let copies_alive: Vec<_> = (0..copies).map(|_| Arc::clone(&receiver.borrow())).collect();
    let micros = count::micros(|| drop(black_box(Arc::clone(&receiver.borrow()))));
    drop(copies_alive);
    (copies as f64, micros)
}

fn synced_write(entries: u64) -> f64 {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let (mut store, _) =
        bronzespoke_storage::Store::open(folder.path(), id::GroupId::Zone(9)).expect("the folder is empty");
    store
        .bootstrap(membership::Membership::from_voters([1]))
        .expect("the disk has space");
    let started = Instant::now();
    for sequence in 1..=SYNCED_WRITES {
        let first = 2 + (sequence - 1) * entries;
        let entry = |index| log::Entry {
            position: log::Position { term: 1, index },
            payload: log::Payload::Command(replication::entry(index, 1)),
        };
        let kind = write::Kind::Append {
            entries: (first..first + entries).map(entry).collect(),
            commit: first - 1,
        };
        store
            .write(&[write::Write { sequence, kind }])
            .expect("the disk has space");
    }
    started.elapsed().as_secs_f64() * 1e6 / SYNCED_WRITES as f64
}
