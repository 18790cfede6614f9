//! Wall-clock benchmarks of decision logic and codecs, at current sizes and at the target size.

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
