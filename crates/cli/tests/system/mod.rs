//! Complete cell for system tests: six daemons, stand-in targets, stand-in workers and callers.
#![allow(dead_code, reason = "each test program uses a part of this module")]

use std::sync::{Condvar, Mutex};

pub mod client;
pub mod fleet;
pub mod process;

/// Names of the VMs; the in-process cell uses the same names.
pub const NAMES: [&str; 6] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];
/// Region and availability zone of each pair of VMs.
pub const PLACES: [(u16, u16); 3] = [(1, 1), (1, 2), (2, 3)];

/// Maximum number of cells that run at the same time. With twelve cells under load, each daemon got so little processor
/// time that timeouts expired without a fault.
const MAX_CELLS: usize = 4;

/// Number of running cells.
static RUNNING_CELLS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Permit to run a cell; released on drop.
struct Slot;

impl Slot {
    /// Waits until fewer than [`MAX_CELLS`] cells are running.
    fn take() -> Self {
        let running = RUNNING_CELLS.0.lock().expect("no holder panics");
        let mut running = RUNNING_CELLS
            .1
            .wait_while(running, |running| *running >= MAX_CELLS)
            .expect("no holder panics");
        *running += 1;
        Self
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        *RUNNING_CELLS.0.lock().expect("no holder panics") -= 1;
        RUNNING_CELLS.1.notify_one();
    }
}

/// Runs a test in its own runtime, with a permit to run a cell.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let _slot = Slot::take();
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test)
}
