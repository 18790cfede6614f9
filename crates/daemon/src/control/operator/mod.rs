//! Execution of operators' statements.
//!
//! Queries about the root state are answered locally. Queries about jobs, tasks and workers go to the leader of each
//! zone, and their rows are joined; the title names zones that cannot be reached, so that missing rows are noticed.
//! Commands are committed by the leader of the group that owns the state.

mod collect;
mod command;
mod local;
mod zone;

use std::sync::{Arc, Mutex};

use bronzespoke_language::{answer, parse, statement};
use bronzespoke_model::id;
use tokio::sync::oneshot;

use crate::{
    control::{Controller, requests},
    peer::wire,
};

/// Channel for the answer to a statement.
type Reply = oneshot::Sender<answer::Answer>;

impl Controller {
    /// Executes one statement.
    pub(super) fn operator(&mut self, line: &str, command_id: Option<id::CommandId>, reply: Reply) {
        match parse(line) {
            Err(error) => drop(reply.send(answer::Answer::from(error))),
            Ok(statement::Statement::Query(query)) => self.query(line, query, reply),
            Ok(statement::Statement::Command(command)) => {
                self.command(command, command_id.unwrap_or_else(rand::random), reply);
            }
        }
    }

    fn query(&mut self, line: &str, query: statement::Query, reply: Reply) {
        match query {
            statement::Query::Tasks(filter)
            | statement::Query::Jobs(filter)
            | statement::Query::Holdings(filter)
            | statement::Query::Workers(filter) => self.query_zones(line, filter.zone, reply),
            statement::Query::Why { job } => self.query_zones(line, Some(id::job_zone(job)), reply),
            other => drop(reply.send(self.query_local(&other))),
        }
    }

    /// Sends a query to the leaders of all zones, or of one, and joins their rows.
    fn query_zones(&mut self, line: &str, only: Option<id::AvailabilityZoneId>, reply: Reply) {
        let zones: Vec<_> = self
            .root
            .state()
            .open_zones()
            .filter(|zone| only.is_none_or(|only| only == *zone))
            .collect();
        if zones.is_empty() {
            let message = "there is no such availability zone";
            drop(reply.send(answer::Answer::error(answer::Code::NotFound, message)));
            return;
        }
        let collector = Arc::new(Mutex::new(collect::Collector::new(zones.len(), reply)));
        for zone in zones {
            let collector = Arc::clone(&collector);
            let then = Box::new(move |reply| collect::add(&collector, zone, reply));
            let request = wire::Request::Query(String::from(line));
            self.dispatch(id::GroupId::Zone(zone), request, requests::DEADLINE, then);
        }
    }
}
