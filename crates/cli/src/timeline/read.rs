//! Reads the timeline of every process.

use std::{net::SocketAddr, sync::Arc};

use bronzespoke_language::answer;
use bronzespoke_model::{event, id};

use super::{filter, merge};
use crate::{failure, session};

/// Most pages read from one process; a process that records faster than it is read does not hold up the rest.
const MAX_PAGES: usize = 100;

/// What was read from one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Reading {
    /// Name of the VM.
    pub process: String,
    /// Events in order of sequence number.
    pub events: Vec<event::Event>,
    /// Events that the ring no longer held before the first one read; later losses are gaps in the numbers.
    pub lost: u64,
}

/// Returns the id of the team in a filter. A name is looked up in `show teams`, in the columns `id` and `name`.
pub async fn team(
    session: &mut session::Session,
    team: Option<&filter::Team>,
) -> Result<Option<id::TeamId>, failure::Failure> {
    let name = match team {
        None => return Ok(None),
        Some(filter::Team::Id(id)) => return Ok(Some(*id)),
        Some(filter::Team::Name(name)) => name,
    };
    let table = match session.execute("show teams", None).await {
        answer::Answer::Table(table) => table,
        answer::Answer::Error(error) => return Err(failure::Failure::Refused(error.message)),
        answer::Answer::Text(_) => return Err(failure::Failure::refused("`show teams` gave no table")),
    };
    let place = |wanted: &str| table.columns.iter().position(|column| column.name == wanted);
    let found = place("id").zip(place("name")).and_then(|(id, column)| {
        let wanted = answer::Value::Text(name.clone());
        let row = table.rows.iter().find(|row| row.get(column) == Some(&wanted))?;
        match row.get(id) {
            Some(answer::Value::Number(id)) => id::TeamId::try_from(*id).ok(),
            _ => None,
        }
    });
    found
        .map(Some)
        .ok_or_else(|| failure::Failure::refused(format!("there is no team `{name}`")))
}

/// Reads all processes in the directory, and those at the given addresses that are not in it.
pub async fn all(
    session: session::Session,
) -> Result<Vec<Result<Reading, merge::Unreachable>>, failure::Failure> {
    let directory = session.directory().await?;
    let mut places = directory
        .into_iter()
        .map(|vm| (vm.name, vm.rpc))
        .collect::<Vec<_>>();
    for address in session.addresses() {
        if !places.iter().any(|(_, known)| known == address) {
            places.push((address.to_string(), *address));
        }
    }
    let session = Arc::new(session);
    let mut tasks = tokio::task::JoinSet::new();
    for (name, address) in places {
        let session = Arc::clone(&session);
        tasks.spawn(async move {
            let reading = process(&session, address).await;
            reading.map_err(|reason| merge::Unreachable {
                name,
                address,
                reason,
            })
        });
    }
    Ok(tasks.join_all().await)
}

async fn process(session: &session::Session, address: SocketAddr) -> Result<Reading, String> {
    let mut reading = Reading {
        process: String::new(),
        events: Vec::new(),
        lost: 0,
    };
    let mut after = 0;
    for _ in 0..MAX_PAGES {
        let page = session.timeline(address, after).await?;
        reading.process = page.process;
        if after == 0 {
            reading.lost = page.first_sequence_kept.saturating_sub(1);
        }
        let ended = page.events.is_empty() || page.next <= after;
        reading.events.extend(page.events);
        if ended {
            break;
        }
        after = page.next;
    }
    Ok(reading)
}
