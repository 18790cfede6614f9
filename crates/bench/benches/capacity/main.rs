//! Measures the slopes behind `docs/CAPACITY.md` on this machine and works out each role at the target size.
//!
//! The output is Markdown; it replaces the generated part of the page. Nothing here fails: a bound that does not hold
//! is printed as such.

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
    let slopes = role::Slopes {
        scheduler: scheduler::measure(),
        state: state::measure_zone(),
        root: state::measure_root(),
        replication: replication::measure(),
        links: links::measure(),
        reports: reports::measure(),
        soft: soft::measure(),
        daemons: daemons::measure(),
    };
    role::print(&slopes);
}
