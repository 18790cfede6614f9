//! Cost of announcements between daemons, and of a frame on a loopback connection.

use std::{
    hint::black_box,
    io::{Read, Write},
    net::{TcpListener, TcpStream},
};

use bronzespoke_daemon::peer::wire;
use bronzespoke_model::id;
use bytes::Bytes;

use crate::{count, line, replication, state};

/// Cost of announcements and frames.
#[derive(Debug)]
pub struct Fits {
    /// Bytes of the announcement of a daemon with three replicas, by groups that it leads.
    pub hello: line::Line,
    /// Microseconds to encode and to decode a frame, by its size in bytes.
    pub codec: [line::Line; 2],
    /// Microseconds to write and read a frame on loopback, by its size in bytes.
    pub socket: line::Line,
}

/// Returns the announcement of a daemon with three replicas that leads a number of groups.
pub fn hello(leads: u16) -> wire::Body {
    wire::Body::Hello(wire::Hello {
        vm: state::vm(9, 1),
        incarnation: state::NOW_MS,
        leads: (0..leads).map(|zone| (id::GroupId::Zone(zone + 9), 12)).collect(),
        replicas: vec![id::GroupId::Root, id::GroupId::Zone(9), id::GroupId::Zone(10)],
        cell_known: true,
        applied: 200_000,
        known: Vec::new(),
    })
}

fn frame(payload: usize) -> wire::Frame {
    let payload_bytes = Bytes::from(vec![7; payload]);
    replication::frame(wire::Body::Reply(1, wire::Reply::Answer(payload_bytes)))
}

/// Runs the measurements of this module, prints them, and returns the fitted lines.
pub fn measure() -> Fits {
    line::print_heading("Announcements and frames (`crates/daemon/src/peer`)");
    let hello = line::fit(
        "announcement, three replicas",
        "groups led",
        "B",
        &[0, 1, 2, 4].map(|leads| (f64::from(leads), replication::frame_bytes(hello(leads)) as f64)),
    );
    let sizes = [64_usize, 256, 1024, 4096, 16_384];
    let encode = sizes.map(|size| {
        let frame = frame(size);
        (
            size as f64,
            count::micros(|| drop(black_box(wire::encode(&frame)))),
        )
    });
    let decode = sizes.map(|size| {
        let bytes = wire::encode(&frame(size)).expect("every frame can be encoded");
        (
            size as f64,
            count::micros(|| drop(black_box(wire::decode(&bytes)))),
        )
    });
    let codec = [
        line::fit("time to encode a frame", "bytes", "µs", &encode),
        line::fit("time to decode a frame", "bytes", "µs", &decode),
    ];
    let socket = line::fit(
        "time to write and read a frame on loopback, without a runtime",
        "bytes",
        "µs",
        &socket_times(&sizes),
    );
    Fits { hello, codec, socket }
}

fn socket_times(sizes: &[usize]) -> Vec<(f64, f64)> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("loopback has a free port");
    let address = listener.local_addr().expect("a listener has an address");
    let mut writer = TcpStream::connect(address).expect("the listener accepts");
    let (mut reader, _) = listener.accept().expect("a connection is pending");
    writer.set_nodelay(true).expect("the option is supported");
    let time = |size: &usize| {
        let mut buffer = vec![7; *size];
        let micros = count::micros(|| {
            writer.write_all(&buffer).expect("the reader is open");
            reader.read_exact(&mut buffer).expect("the writer is open");
        });
        (*size as f64, micros)
    };
    sizes.iter().map(time).collect()
}
