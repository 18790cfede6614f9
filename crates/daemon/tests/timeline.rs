//! The ring of events: capacity, gaps and pages.

use bronzespoke_daemon::timeline::{self, CAPACITY, MAX_READ};
use bronzespoke_model::event::Kind;
use yare::parameterized;

fn ring(events: usize) -> timeline::Ring {
    let ring = timeline::Ring::new("sur-1");
    for version in 1..=events as u64 {
        ring.record(Kind::ConfigApplied { version });
    }
    ring
}

/// Guards against a ring that grows without bound, or forgets its newest events instead of its oldest.
#[test]
fn the_ring_keeps_the_newest_events() {
    let lost = 100;
    let ring = ring(CAPACITY + lost);
    let page = ring.read(0, 1);
    assert_eq!(page.first, lost as u64 + 1);
    assert_eq!(page.events[0].sequence, page.first);
    assert_eq!(read_all(&ring, 0).len(), CAPACITY);
    let newest = CAPACITY as u64 + lost as u64;
    let end = ring.read(newest - 1, 10);
    assert_eq!(end.events.len(), 1);
    assert_eq!(end.events[0].kind, Kind::ConfigApplied { version: newest });
}

fn read_all(ring: &timeline::Ring, mut after: u64) -> Vec<u64> {
    let mut sequences = Vec::new();
    loop {
        let page = ring.read(after, MAX_READ);
        if page.events.is_empty() {
            return sequences;
        }
        sequences.extend(page.events.iter().map(|event| event.sequence));
        assert!(page.next > after, "a page with events advances the position");
        after = page.next;
    }
}

/// Guards against pages that omit, repeat or reorder events.
#[parameterized(
    complete = { 5_000, 0, 1 },
    middle = { 5_000, 4_321, 4_322 },
    overwritten = { CAPACITY + 10, 3, 11 },
)]
fn pages_join_without_gaps(events: usize, after: u64, first: u64) {
    let read = read_all(&ring(events), after);
    let expected: Vec<u64> = (first..=events as u64).collect();
    assert_eq!(read, expected);
}

/// Guards against a page larger than a JSON-RPC response may be, and against ignoring the limit.
#[parameterized(
    huge = { usize::MAX, MAX_READ },
    small = { 7, 7 },
    none = { 0, 0 },
)]
fn a_page_has_a_bound(limit: usize, expected: usize) {
    let page = ring(MAX_READ + 1).read(0, limit);
    assert_eq!(page.events.len(), expected);
    assert_eq!(page.next, expected as u64);
}

/// Guards against a reader that cannot detect that events were overwritten between two readings.
#[test]
fn a_reader_sees_a_gap() {
    let ring = ring(10);
    let before = ring.read(0, MAX_READ);
    assert_eq!((before.first, before.next), (1, 10));
    for version in 0..CAPACITY as u64 + 5 {
        ring.record(Kind::ConfigApplied { version });
    }
    let page = ring.read(before.next, MAX_READ);
    assert_eq!(
        page.first - (before.next + 1),
        5,
        "five events were overwritten before the reader saw them"
    );
    assert_eq!(page.events[0].sequence, page.first);
}

/// Guards against a position at or beyond the end that restarts from the beginning or overflows.
#[parameterized(
    empty = { 0, 0 },
    end = { 5, 5 },
    beyond = { 5, 90 },
    largest = { 5, u64::MAX },
)]
fn nothing_follows_the_end(events: usize, after: u64) {
    let page = ring(events).read(after, 10);
    assert!(page.events.is_empty());
    assert_eq!(page.next, after);
}

/// Guards against stamps that go backwards, which would order an effect before its cause.
#[test]
fn stamps_only_grow() {
    let ring = ring(1_000);
    let events = ring.read(0, MAX_READ).events;
    assert!(events.windows(2).all(|pair| pair[0].stamp < pair[1].stamp));
}
