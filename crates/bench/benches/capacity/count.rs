//! Measurement of memory with a counting allocator, and of time.

#![allow(
    unsafe_code,
    reason = "a global allocator can only be written with unsafe code"
)]

use std::{
    alloc::{GlobalAlloc, Layout, System},
    hint::black_box,
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

/// Assumed bytes per allocation for the allocator's metadata and rounding.
pub const ALLOWANCE_BYTES: usize = 16;
/// Timed runs, of which the median is reported because other load on the machine distorts single runs.
const TIMED_RUNS: usize = 9;

static BYTES: AtomicUsize = AtomicUsize::new(0);
static BLOCKS: AtomicUsize = AtomicUsize::new(0);

/// Global allocator that counts live bytes and live blocks.
#[derive(Debug)]
pub struct Counting;

// SAFETY: every call is passed on to the system allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        BLOCKS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        BLOCKS.fetch_sub(1, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }

    unsafe fn realloc(&self, ptr: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        BYTES.fetch_add(new_size, Ordering::Relaxed);
        BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `realloc`.
        unsafe { System.realloc(ptr, layout, new_size) }
    }
}

/// Returns the live bytes, including the assumed overhead of each block.
pub fn live() -> f64 {
    (BYTES.load(Ordering::Relaxed) + ALLOWANCE_BYTES * BLOCKS.load(Ordering::Relaxed)) as f64
}

/// Returns the live bytes of the value that a closure builds.
pub fn memory<T>(build: impl FnOnce() -> T) -> f64 {
    let before = live();
    let value = build();
    let bytes = live() - before;
    drop(black_box(value));
    bytes
}

/// Returns the median time of one operation in microseconds, over several runs of at least a few milliseconds.
pub fn micros(mut operation: impl FnMut()) -> f64 {
    let mut repeats = 1;
    while time(repeats, &mut operation) < Duration::from_millis(5) {
        repeats *= 2;
    }
    let runs =
        (0..TIMED_RUNS).map(|_| time(repeats, &mut operation).as_secs_f64() * 1e6 / f64::from(repeats));
    median(runs.collect())
}

fn time(repeats: u32, operation: &mut impl FnMut()) -> Duration {
    let started = Instant::now();
    for _ in 0..repeats {
        operation();
    }
    started.elapsed()
}

/// Returns the median of the values, of which there must be at least one.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
