//! Measures unit costs on this machine, from which the cost of each role at the target size is computed.
//!
//! The output is Markdown and replaces the generated part of `docs/CAPACITY.md`. The run does not fail when a bound is
//! exceeded, but prints that it does not hold.

mod choices;
mod count;
mod daemons;
mod line;
mod links;
mod replication;
mod reports;
mod role;
mod scheduler;
mod soft;
mod state;

#[global_allocator]
static ALLOCATOR: count::Counting = count::Counting;

fn main() {
    choices::measure();
    let fits = role::Fits {
        scheduler: scheduler::measure(),
        state: state::measure_zone(),
        root: state::measure_root(),
        replication: replication::measure(),
        links: links::measure(),
        reports: reports::measure(),
        soft: soft::measure(),
        daemons: daemons::measure(),
    };
    role::print(&fits);
}
