//! Announcements between daemons, workers' reports, and the cost of a frame on a loopback connection.

use std::{
    hint::black_box,
    io::{Read, Write},
    net::{TcpListener, TcpStream},
};

use bronzespoke_daemon::peer::wire;
use bronzespoke_model::{id, resource, task, worker};
use bytes::Bytes;

use crate::{count, line, replication, state};

/// Head of a worker's report as the stand-in sends it, and of its answer; sizes of typical header fields.
const REQUEST_HEAD: &str = "POST /v2/workers/12345678901234567/report HTTP/1.1\r\ncontent-type: application/json\r\n\
                            host: 10.0.0.1:20091\r\ncontent-length: 1000\r\n\r\n";
const REPLY_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 100\r\n\
                          date: Fri, 04 Dec 2026 10:00:00 GMT\r\n\r\n";

/// Slopes of links.
#[derive(Debug)]
pub struct Slopes {
    /// Bytes of an announcement by groups led, of a daemon with three replicas.
    pub hello: line::Line,
    /// Microseconds to encode and to decode a frame by its bytes.
    pub codec: [line::Line; 2],
    /// Microseconds to write and read a frame on loopback by its bytes.
    pub socket: line::Line,
    /// Bytes of a report with its head by running tasks, and of a reply with its head by starts.
    pub report: [line::Line; 2],
    /// Microseconds to decode a report by running tasks, and to encode a reply by starts.
    pub report_micros: [line::Line; 2],
}

/// Returns an announcement of a daemon that leads some groups.
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
    let answer = Bytes::from(vec![7; payload]);
    replication::frame(wire::Body::Reply(1, wire::Reply::Answer(answer)))
}

/// Returns a report of a worker with tasks in one zone.
pub fn report(tasks: u32) -> worker::Report {
    let running = (0..tasks)
        .map(|number| worker::Running {
            task: task::Ref {
                job: id::job(9, 500_000 + u64::from(number)),
                index: number,
            },
            token: (1 << 32) + u64::from(number),
            usage: resource::Amount::new(3817, 7421, 0),
        })
        .collect();
    worker::Report {
        worker: 12_345_678_901_234_567,
        incarnation: state::NOW_MS,
        sequence: 100_000,
        base: None,
        running,
        ended: Vec::new(),
    }
}

fn reply(starts: u32) -> worker::Reply {
    let directives = (0..starts)
        .map(|number| task::Directive::Start {
            task: task::Ref {
                job: id::job(9, 500_000 + u64::from(number)),
                index: number,
            },
            token: (1 << 32) + u64::from(number),
            granted: resource::Amount::new(4000, 8192, 0),
            command: String::from("reconcile --federation judo --tournament 2026-11 --belts all"),
        })
        .collect();
    worker::Reply {
        acknowledged: 100_000,
        lease_ms: 10_000,
        directives,
    }
}

/// Measures and prints.
pub fn measure() -> Slopes {
    line::head("Announcements and frames (`crates/daemon/src/peer`)");
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
        let bytes = wire::encode(&frame(size)).expect("frames have no form that postcard refuses");
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
        &sockets(&sizes),
    );
    line::head("Workers' reports (`crates/daemon/src/control/session.rs`, JSON over HTTP)");
    let tasks = [1, 3, 6, 12, 24];
    let starts = [0, 1, 2, 4];
    let bytes = |value: &Vec<u8>, head: &str| (value.len() + head.len()) as f64;
    let json = |tasks| serde_json::to_vec(&report(tasks)).expect("a report is plain data");
    let answer = |starts| serde_json::to_vec(&reply(starts)).expect("a reply is plain data");
    let report_bytes = [
        line::fit(
            "report with its head",
            "running tasks",
            "B",
            &tasks.map(|tasks| (f64::from(tasks), bytes(&json(tasks), REQUEST_HEAD))),
        ),
        line::fit(
            "reply with its head",
            "starts",
            "B",
            &starts.map(|starts| (f64::from(starts), bytes(&answer(starts), REPLY_HEAD))),
        ),
    ];
    let report_micros = [
        line::fit(
            "time to decode a report",
            "running tasks",
            "µs",
            &tasks.map(|tasks| {
                let json = json(tasks);
                (
                    f64::from(tasks),
                    count::micros(|| drop(black_box(serde_json::from_slice::<worker::Report>(&json)))),
                )
            }),
        ),
        line::fit(
            "time to encode a reply",
            "starts",
            "µs",
            &starts.map(|starts| {
                let reply = reply(starts);
                (
                    f64::from(starts),
                    count::micros(|| drop(black_box(serde_json::to_vec(&reply)))),
                )
            }),
        ),
    ];
    Slopes {
        hello,
        codec,
        socket,
        report: report_bytes,
        report_micros,
    }
}

fn sockets(sizes: &[usize]) -> Vec<(f64, f64)> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("loopback has a free port");
    let address = listener.local_addr().expect("a listener has an address");
    let mut writer = TcpStream::connect(address).expect("the listener accepts");
    let (mut reader, _) = listener.accept().expect("the connection is there");
    writer.set_nodelay(true).expect("the option is supported");
    let time = |size: &usize| {
        let mut buffer = vec![7; *size];
        let micros = count::micros(|| {
            writer.write_all(&buffer).expect("the reader is there");
            reader.read_exact(&mut buffer).expect("the writer is there");
        });
        (*size as f64, micros)
    };
    sizes.iter().map(time).collect()
}
