//! Hostile clients against the listeners of a daemon of the older cell, as a process of its own: it may not end or exceed
//! its bounds of memory and descriptors, and ordinary requests are answered while the hostile connections are open.
//!
//! The load and the bounds were fixed on the code that failed under them, and are kept.

#[path = "../../../../platform/tests/crowds/load.rs"]
#[expect(dead_code, reason = "this test has listeners of its own")]
mod load;

mod daemon;
mod hostile;

use std::sync::{Mutex, PoisonError};

use daemon::Daemon;
use hostile::Hostile;
use load::Load;
use yare::parameterized;

/// Largest request of an operator.
const RPC_BODY_BYTES: usize = 64 * 1024;
/// Largest request body in the cell-wide configuration.
const HTTP_BODY_BYTES: usize = 1 << 20;
/// Memory that a daemon may use for control (docs/design.md).
const CONTROL_MB: u64 = 64;
/// Default bound of the gateway for request bodies.
const BODIES_MB: u64 = 64;

/// Begin of the head of an operator's request.
const RPC: &str = "POST / HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n";
/// Begin of the head of a request that needs no key.
const HTTP: &str = "PUT /v2/targets/1 HTTP/1.1\r\nhost: a\r\n";

/// Runs one crowd at a time, because each test measures the memory of a process.
fn run(memory_mb: u64, descriptors: usize, crowd: &impl AsyncFn(&Daemon) -> Vec<tokio::net::TcpStream>) {
    static RUNNING: Mutex<()> = Mutex::new(());
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("threads can be started");
    let problems = runtime.block_on(async {
        let mut daemon = Daemon::start(descriptors).await;
        let held = crowd(&daemon).await;
        let mut problems = daemon.ordinary().await;
        let usage = daemon.usage();
        println!("{usage:?}, {} connections held", held.len());
        problems.extend(usage.problems(memory_mb, descriptors));
        problems
    });
    runtime.shutdown_background();
    assert!(problems.is_empty(), "{problems:#?}");
}

/// Descriptors of the process, unless a test is about them.
const DESCRIPTORS: usize = 4096;
/// Connections of most crowds.
const CONNECTIONS: usize = 400;

/// Guards against operators who are refused, and memory that grows, while a crowd occupies the JSON-RPC listener.
#[parameterized(
    heads_over_the_limit = { Load::Heads { bytes: 350_000 } },
    heads_without_end = { Load::HeadsWithoutEnd },
    empty_lines_without_end = { Load::EmptyLines { count: 200_000 } },
    large_bodies_whole = { Load::Whole { bytes: RPC_BODY_BYTES } },
    large_bodies_without_their_end = { Load::Pieces { bytes: RPC_BODY_BYTES, pieces: 4 } },
    chunked_bodies_in_small_chunks = { Load::Chunks { chunk: 1, count: 20_000, all_end: false } },
    chunked_bodies_without_their_end = { Load::Chunks { chunk: RPC_BODY_BYTES / 4, count: 4, all_end: false } },
)]
fn operators(load: Load) {
    run(CONTROL_MB, DESCRIPTORS, &async |daemon| {
        load.send_from(CONNECTIONS, RPC, daemon.rpc).await
    });
}

/// Guards against operators who are refused, and memory that grows, behind clients that are silent or do not read.
#[parameterized(
    silent = { Hostile::Silent },
    silent_after_a_request = { Hostile::SilentAfter { request: hostile::operator("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"operator_directory\"}") } },
    bodies_that_stop_short = { Hostile::SilentAfter { request: hostile::stalled(&hostile::batch("1")) } },
    expect_continue = { Hostile::SilentAfter { request: format!("{RPC}expect: 100-continue\r\ncontent-length: {RPC_BODY_BYTES}\r\n\r\n") } },
    unread_batches_of_invalid_calls = { Hostile::Unread { request: hostile::operator(&hostile::batch("1")), times: 1 } },
    unread_batches_of_calls = { Hostile::Unread { request: hostile::operator(&hostile::batch("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"operator_timeline\",\"params\":[0,2000]}")), times: 1 } },
    unread_pipelined_calls = { Hostile::Unread { request: hostile::operator("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"operator_timeline\",\"params\":[0,2000]}"), times: 1000 } },
)]
fn operators_behind(hostile: Hostile) {
    run(CONTROL_MB, DESCRIPTORS, &async |daemon| {
        hostile.send(CONNECTIONS, daemon.rpc).await
    });
}

/// Guards against large answers that are kept for operators who do not read them.
#[test]
fn answers_that_are_not_read() {
    const UNREAD: usize = 40;
    /// Teams of the cell, so that a batch of lists is a little smaller than the largest answer.
    const TEAMS: usize = 250;
    run(CONTROL_MB, DESCRIPTORS, &async |daemon| {
        daemon.create_teams(TEAMS).await;
        let list =
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"operator_execute\",\"params\":[\"show teams\",null]}";
        let request = hostile::operator(&hostile::batch(list));
        let hostile = Hostile::Unread { request, times: 1 };
        hostile.send(UNREAD, daemon.rpc).await
    });
}

/// Guards against memory that grows while a crowd occupies the listener for callers.
#[parameterized(
    heads_over_the_limit = { CONNECTIONS, Load::Heads { bytes: 350_000 } },
    heads_without_end = { 3000, Load::Heads { bytes: 31_000 } },
    empty_lines_without_end = { CONNECTIONS, Load::EmptyLines { count: 200_000 } },
    large_bodies_whole = { CONNECTIONS, Load::Whole { bytes: HTTP_BODY_BYTES } },
    large_bodies_without_their_end = { CONNECTIONS, Load::Pieces { bytes: HTTP_BODY_BYTES, pieces: 4 } },
    chunked_bodies_in_small_chunks = { CONNECTIONS, Load::Chunks { chunk: 1, count: 20_000, all_end: false } },
    chunked_bodies_without_their_end = { CONNECTIONS, Load::Chunks { chunk: HTTP_BODY_BYTES / 4, count: 4, all_end: false } },
)]
fn callers(connections: usize, load: Load) {
    run(CONTROL_MB + BODIES_MB, DESCRIPTORS, &async |daemon| {
        load.send_from(connections, HTTP, daemon.http).await
    });
}

/// Guards against memory that grows behind callers that are silent or do not read.
#[parameterized(
    heads_that_stop_short = { 3000, Hostile::SilentAfter { request: format!("{HTTP}padding: {}", "p".repeat(31_000)) } },
    silent = { CONNECTIONS, Hostile::Silent },
    unread_metrics = { CONNECTIONS, Hostile::Unread { request: String::from("GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n"), times: 1000 } },
    expect_continue = { CONNECTIONS, Hostile::SilentAfter { request: format!("{HTTP}expect: 100-continue\r\ncontent-length: {HTTP_BODY_BYTES}\r\n\r\n") } },
)]
fn callers_behind(connections: usize, hostile: Hostile) {
    run(CONTROL_MB + BODIES_MB, DESCRIPTORS, &async |daemon| {
        hostile.send(connections, daemon.http).await
    });
}

/// Guards against a listener that takes all descriptors from the others.
#[parameterized(
    operators = { true, Hostile::Silent },
    operators_after_a_request = { true, Hostile::SilentAfter { request: hostile::operator("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"operator_directory\"}") } },
    operators_who_return = { true, Hostile::Returning },
    callers = { false, Hostile::Silent },
    callers_who_return = { false, Hostile::Returning },
    callers_after_a_request = { false, Hostile::SilentAfter { request: String::from("GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n") } },
)]
fn descriptors(is_rpc: bool, hostile: Hostile) {
    const FEW: usize = 256;
    run(CONTROL_MB + BODIES_MB, FEW, &async |daemon| {
        let address = if is_rpc { daemon.rpc } else { daemon.http };
        hostile.send(CONNECTIONS, address).await
    });
}
