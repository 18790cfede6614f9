//! A whole cell under test: six daemons, stand-in targets, workers and callers.
#![allow(dead_code, reason = "each test program uses a part of this module")]

use std::sync::{Condvar, Mutex};

pub mod contact;
pub mod fleet;
pub mod process;

/// Names of the VMs; the in-process cell uses the same.
pub const NAMES: [&str; 6] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];
/// Region and availability zone of each pair of VMs.
pub const PLACES: [(u16, u16); 3] = [(1, 1), (1, 2), (2, 3)];

/// Cells that run at the same time. Twelve cells under load left each daemon too little of a processor, and their
/// time limits expired without a fault.
const CELLS: usize = 4;

/// Cells that run now.
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Right to run a cell.
struct Slot;

impl Slot {
    /// Waits until a cell may run.
    fn take() -> Self {
        let running = RUNNING.0.lock().expect("no holder panics");
        let mut running = RUNNING
            .1
            .wait_while(running, |running| *running >= CELLS)
            .expect("no holder panics");
        *running += 1;
        Self
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        *RUNNING.0.lock().expect("no holder panics") -= 1;
        RUNNING.1.notify_one();
    }
}

/// Runs a test with a cell in a runtime of its own.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let _slot = Slot::take();
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test)
}
