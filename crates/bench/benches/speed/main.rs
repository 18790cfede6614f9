//! Elapsed-time benchmarks of the decisions and codecs, at today's sizes and at the target's.

mod consensus;
mod control;
mod gossip;
mod request;
mod schedule;
mod steps;

fn main() {
    let mut criterion = criterion::Criterion::default().configure_from_args();
    consensus::register(&mut criterion);
    control::register(&mut criterion);
    gossip::register(&mut criterion);
    request::register(&mut criterion);
    schedule::register(&mut criterion);
    steps::print();
    criterion.final_summary();
}
