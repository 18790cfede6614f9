//! Timeline of all processes, merged by hybrid timestamp.

use tokio::runtime;

use crate::{failure, output, session};

pub mod filter;
pub mod merge;
pub mod read;
pub mod render;

/// Reads, merges, filters and prints the timeline.
pub fn run(
    runtime: &runtime::Runtime,
    mut session: session::Session,
    filter: &filter::Filter,
    json: bool,
) -> Result<(), failure::Failure> {
    let team = runtime.block_on(read::team(&mut session, filter.team.as_ref()))?;
    let readings = runtime.block_on(read::all(session))?;
    let mut history = merge::merge(readings);
    filter.apply(team, &mut history.events);
    for loss in &history.lost {
        log::warn!("timeline: {}", loss.message());
    }
    for unreachable in &history.unreachable {
        log::warn!("timeline: {}", unreachable.message());
    }
    if json {
        return output::json(&history);
    }
    output::text(&render::text(&history))
}
