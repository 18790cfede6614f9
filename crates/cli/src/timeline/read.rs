//! Reads the timelines of all processes.

use std::{net::SocketAddr, sync::Arc};

use bronzespoke_language::answer;
use bronzespoke_model::{event, id};

use super::{filter, merge};
use crate::{failure, session};

/// Maximum number of pages read from one process, so that a process that records events faster than they are read does
/// not delay the others.
const MAX_PAGES: usize = 100;

/// Events read from one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Reading {
    /// Name of the VM.
    pub process: String,
    /// Events in order of sequence number.
    pub events: Vec<event::Event>,
    /// Number of events that the ring had lost before the first event read. Later losses show as gaps in the sequence
    /// numbers.
    pub lost: u64,
}

/// Returns the id of the team in a filter. Resolves a name through the columns `id` and `name` of `show teams`.
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
    let column_index = |searched: &str| table.columns.iter().position(|column| column.name == searched);
    let found = column_index("id")
        .zip(column_index("name"))
        .and_then(|(id, column)| {
            let searched = answer::Value::Text(name.clone());
            let row = table.rows.iter().find(|row| row.get(column) == Some(&searched))?;
            match row.get(id) {
                Some(answer::Value::Number(id)) => id::TeamId::try_from(*id).ok(),
                _ => None,
            }
        });
    found
        .map(Some)
        .ok_or_else(|| failure::Failure::refused(format!("there is no team `{name}`")))
}

/// Reads all processes in the directory, and those at the addresses of the session that the directory does not list.
pub async fn all(
    session: session::Session,
) -> Result<Vec<Result<Reading, merge::Unreachable>>, failure::Failure> {
    let directory = session.directory().await?;
    let mut processes = directory
        .into_iter()
        .map(|vm| (vm.name, vm.rpc))
        .collect::<Vec<_>>();
    for address in session.addresses() {
        if !processes.iter().any(|(_, known)| known == address) {
            processes.push((address.to_string(), *address));
        }
    }
    let session = Arc::new(session);
    let mut tasks = tokio::task::JoinSet::new();
    for (name, address) in processes {
        let session = Arc::clone(&session);
        tasks.spawn(async move {
            let reading = read_process(&session, address).await;
            reading.map_err(|reason| merge::Unreachable {
                name,
                address,
                reason,
            })
        });
    }
    Ok(tasks.join_all().await)
}

async fn read_process(session: &session::Session, address: SocketAddr) -> Result<Reading, String> {
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
        let at_end = page.events.is_empty() || page.next <= after;
        reading.events.extend(page.events);
        if at_end {
            break;
        }
        after = page.next;
    }
    Ok(reading)
}
