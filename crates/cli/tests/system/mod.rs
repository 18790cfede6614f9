//! A whole cell under test: six daemons, stand-in targets, workers and callers.
#![allow(dead_code, reason = "each test program uses a part of this module")]

pub mod contact;
pub mod fleet;
pub mod process;

/// Names of the VMs; the in-process cell uses the same.
pub const NAMES: [&str; 6] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];
/// Region and availability zone of each pair of VMs.
pub const PLACES: [(u16, u16); 3] = [(1, 1), (1, 2), (2, 3)];

/// Runs a test in a runtime of its own.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test)
}
