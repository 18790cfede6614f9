//! Commands of operators.

use std::{fmt::Write as _, time::Duration};

use bronzespoke_consensus::membership;
use bronzespoke_control::{root, zone};
use bronzespoke_language::{answer, encode_hex, statement};
use bronzespoke_model::{id, team};
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use super::{Reply, local};
use crate::{
    control::{Controller, Message, context, effect, requests},
    peer::wire,
};

/// Number of random bytes in a generated key.
const KEY_BYTES: usize = 24;

/// Reason why a command is not sent.
type Error = (answer::Code, String);

impl Controller {
    pub(super) fn command(&mut self, command: statement::Command, mut id: id::CommandId, reply: Reply) {
        let mut generated_key = None;
        let planned = match command {
            statement::Command::CancelJob { job } => return self.cancel(job, reply),
            statement::Command::CancelJobs { team } => return self.cancel_team(&team, reply),
            statement::Command::AddMember { vm, group } => {
                return self.change(group, membership::Change::AddLearner(vm), reply);
            }
            statement::Command::RemoveMember { vm, group } => {
                return self.change(group, membership::Change::Remove(vm), reply);
            }
            statement::Command::GrantKey { team, hash: None } => {
                // The state stores command ids and hashes only, so a lost answer loses the key. A resend grants
                // another key; the unused one is listed by `show keys`.
                let key = encode_hex(&rand::random::<[u8; KEY_BYTES]>());
                let hash = Sha256::digest(key.as_bytes()).into();
                generated_key = Some(key);
                id = rand::random();
                self.grant(&team, hash)
            }
            other => self.plan(other),
        };
        match planned {
            Ok(command) => self.commit(command, id, generated_key, reply),
            Err((code, message)) => drop(reply.send(answer::Answer::error(code, message))),
        }
    }

    /// Returns the root command for a statement.
    fn plan(&self, command: statement::Command) -> Result<root::Command, Error> {
        let view = self.root.view();
        Ok(match command {
            statement::Command::CreateTeam { name, quota } => root::Command::CreateTeam { name, quota },
            statement::Command::SetTeam { name, change } => {
                let team = self.team(&name)?;
                let quota = change.apply(&view.teams[&team].quota);
                root::Command::SetQuota { team, quota }
            }
            statement::Command::GrantKey { team, hash } => self.grant(&team, hash.unwrap_or_default())?,
            statement::Command::WithdrawKey { prefix } => root::Command::WithdrawKey {
                hash: self.key(&prefix)?,
            },
            statement::Command::CreateService { name } => root::Command::CreateService { name },
            statement::Command::CreateQueue {
                name,
                service,
                requests,
            } => {
                let service = view
                    .services
                    .get(&service)
                    .ok_or_else(|| missing("service", &service))?
                    .id;
                root::Command::CreateQueue {
                    name,
                    service,
                    requests,
                }
            }
            statement::Command::Drain(node) => root::Command::Drain {
                subject: local::subject(node),
                on: true,
            },
            statement::Command::Undrain(node) => root::Command::Drain {
                subject: local::subject(node),
                on: false,
            },
            statement::Command::SetConfig { change, expect } => root::Command::SetConfig {
                expected: expect,
                config: change.apply(&view.config),
            },
            statement::Command::DeclareLost { zone } => {
                let stopped_ms = self.silence_of(zone)?;
                root::Command::LoseZone {
                    zone,
                    proof: root::LossProof { stopped_ms },
                }
            }
            _ => {
                return Err((
                    answer::Code::Internal,
                    String::from("the command is not planned here"),
                ));
            }
        })
    }

    /// Returns the time since the last contact with any VM of a zone, in milliseconds, or an error if it is too short.
    ///
    /// Silence alone does not prove that the zone is lost, which is the operator's statement; but a zone that is in
    /// contact is not lost.
    fn silence_of(&self, zone: id::AvailabilityZoneId) -> Result<u64, Error> {
        let now = self.context.now();
        let mut silence = now;
        for vm in self.root.view().vms.values().filter(|vm| vm.place.zone == zone) {
            let contact = self
                .context
                .peers
                .get(&vm.id)
                .map_or(Duration::ZERO, |peer| peer.last_seen);
            let contact = if vm.id == self.context.me.id { now } else { contact };
            silence = silence.min(now.saturating_sub(contact));
        }
        let silence = silence.as_millis() as u64;
        if silence < root::LossProof::MIN_STOPPED_MS {
            let least = root::LossProof::MIN_STOPPED_MS;
            let message =
                format!("zone {zone} was heard of {silence} ms ago; {least} ms of silence are needed");
            return Err((answer::Code::Invalid, message));
        }
        Ok(silence)
    }

    fn team(&self, name: &str) -> Result<id::TeamId, Error> {
        self.root
            .view()
            .team(name)
            .map(|team| team.id)
            .ok_or_else(|| missing("team", name))
    }

    fn grant(&self, team: &str, hash: team::KeyHash) -> Result<root::Command, Error> {
        Ok(root::Command::GrantKey {
            hash,
            team: self.team(team)?,
        })
    }

    fn key(&self, prefix: &str) -> Result<team::KeyHash, Error> {
        let view = self.root.view();
        let mut found = view
            .keys
            .keys()
            .filter(|hash| encode_hex(*hash).starts_with(prefix));
        let first = found.next().ok_or_else(|| missing("key", prefix))?;
        if found.next().is_some() {
            let message = format!("more than one key starts with {prefix}; give more digits");
            return Err((answer::Code::Invalid, message));
        }
        Ok(*first)
    }

    fn commit(
        &mut self,
        command: root::Command,
        id: id::CommandId,
        generated_key: Option<String>,
        reply: Reply,
    ) {
        let condition = condition(&command);
        let mut envelope = root::Envelope::new(context::Context::wall_ms(), command);
        envelope.id = Some(id);
        let inbox = self.inbox.clone();
        let then = Box::new(move |response| {
            let index = accepted(&response);
            let described = describe(response, id, generated_key);
            match (condition, index, described) {
                (Some(condition), Some(index), answer::Answer::Text(text)) => {
                    let pending = effect::Pending {
                        index,
                        condition,
                        text: text.text,
                        since: None,
                        reply,
                    };
                    inbox.send(Message::AwaitEffect(pending));
                }
                // The operator may have disconnected.
                (_, _, described) => drop(reply.send(described)),
            }
        });
        self.dispatch(
            id::GroupId::Root,
            wire::Request::Root(envelope),
            requests::DEADLINE,
            then,
        );
    }

    fn change(&mut self, group: id::GroupId, change: membership::Change, reply: Reply) {
        let then = Box::new(move |response| {
            let answer = match response {
                wire::Reply::Done => answer::Answer::text("The change of members is committed."),
                other => refused(other),
            };
            drop(reply.send(answer));
        });
        self.dispatch(group, wire::Request::Change(change), requests::DEADLINE, then);
    }

    fn cancel(&mut self, job: id::JobId, reply: Reply) {
        let then = Box::new(move |response| {
            let answer = match response {
                wire::Reply::Job(Some(found)) => {
                    answer::Answer::text(format!("Job {job} is {:?}.", found.state).to_lowercase())
                }
                wire::Reply::Job(None) => {
                    answer::Answer::error(answer::Code::NotFound, format!("there is no job {job}"))
                }
                other => refused(other),
            };
            drop(reply.send(answer));
        });
        let request = wire::Request::Cancel { team: None, job };
        self.dispatch(
            id::GroupId::Zone(id::job_zone(job)),
            request,
            requests::DEADLINE,
            then,
        );
    }

    /// Cancels the jobs of a team in the zones that have a replica on this VM; the answer names the other zones.
    fn cancel_team(&mut self, name: &str, reply: Reply) {
        let team = match self.team(name) {
            Ok(team) => team,
            Err((code, message)) => return drop(reply.send(answer::Answer::error(code, message))),
        };
        let jobs: Vec<_> = self
            .zones
            .values()
            .flat_map(|group| group.state().jobs())
            .filter(|(_, job)| job.team == team && !job.state.is_terminal())
            .map(|(job, _)| job)
            .collect();
        let without_replica: Vec<_> = self
            .root
            .state()
            .open_zones()
            .filter(|zone| !self.zones.contains_key(zone))
            .collect();
        let count = jobs.len();
        for job in jobs {
            let (sender, _receiver) = oneshot::channel();
            self.cancel(job, sender);
        }
        let mut text = format!("{count} jobs of team {name} are being cancelled.");
        if !without_replica.is_empty() {
            write!(
                text,
                " Repeat the command at a VM of the zones {without_replica:?}."
            )
            .expect("writing to a string does not fail");
        }
        drop(reply.send(answer::Answer::text(text)));
    }
}

/// Returns the condition that a command waits for before it is answered, if any.
const fn condition(command: &root::Command) -> Option<effect::Condition> {
    match command {
        root::Command::WithdrawKey { .. } => Some(effect::Condition::Withdrawal),
        root::Command::SetConfig { .. } | root::Command::Drain { .. } => Some(effect::Condition::Everywhere),
        root::Command::SetQuota { team, .. } => Some(effect::Condition::Limit(*team)),
        _ => None,
    }
}

/// Returns the log index of an accepted command.
const fn accepted(reply: &wire::Reply) -> Option<u64> {
    match reply {
        wire::Reply::Root(root::Outcome::Done | root::Outcome::Config(_), index) => Some(*index),
        _ => None,
    }
}

fn missing(kind: &str, name: &str) -> Error {
    (answer::Code::NotFound, format!("there is no {kind} {name}"))
}

/// Returns the answer that describes the outcome of a root command.
fn describe(response: wire::Reply, id: id::CommandId, generated_key: Option<String>) -> answer::Answer {
    let wire::Reply::Root(outcome, _) = response else {
        return refused(response);
    };
    match outcome {
        root::Outcome::Done => match generated_key {
            Some(key) => answer::Answer::text(format!("The key is {key}. It is shown only here.")),
            None => answer::Answer::text(format!("Accepted, command id {id:x}.")),
        },
        root::Outcome::Ignored => answer::Answer::text("Accepted earlier."),
        root::Outcome::Team(team) => answer::Answer::text(format!("Team {team} is created.")),
        root::Outcome::Service(service) => answer::Answer::text(format!("Service {service} is created.")),
        root::Outcome::Queue(queue) => answer::Answer::text(format!("Open queue {queue} is created.")),
        root::Outcome::Config(version) => {
            answer::Answer::text(format!("Configuration version {version} is accepted."))
        }
        root::Outcome::Conflict { version, winner } => {
            let winner = winner.map_or_else(|| String::from("unknown"), |winner| format!("{winner:x}"));
            let message = format!("version {version} was accepted first, by command {winner}");
            answer::Answer::error(answer::Code::Conflict, message)
        }
        root::Outcome::Granted(_) => answer::Answer::text("The parts are changed."),
        root::Outcome::Refused(refusal) => refuse(refusal),
    }
}

fn refuse(refusal: root::Refusal) -> answer::Answer {
    let (code, message) = match refusal {
        root::Refusal::NameTaken => (answer::Code::Exists, "the name is taken"),
        root::Refusal::BadName => (
            answer::Code::Invalid,
            "the name is empty or longer than 128 bytes",
        ),
        root::Refusal::BadQuota => (answer::Code::Invalid, "the weight is 0; at least 1 is allowed"),
        root::Refusal::NoSuchTeam => (answer::Code::NotFound, "there is no such team"),
        root::Refusal::NoSuchService => (answer::Code::NotFound, "there is no such service"),
        root::Refusal::NoSuchZone => (answer::Code::NotFound, "there is no such availability zone"),
        root::Refusal::NoSuchKey => (answer::Code::NotFound, "there is no such key"),
        root::Refusal::NoSuchVm => (answer::Code::NotFound, "there is no such VM"),
        root::Refusal::KeyWithdrawn => (
            answer::Code::Invalid,
            "the key was withdrawn and never comes back",
        ),
        root::Refusal::KeyTaken => (answer::Code::Exists, "the key belongs to another team"),
        root::Refusal::ZoneTaken => (answer::Code::Exists, "the zone is taken or was declared lost"),
        root::Refusal::Full => (answer::Code::Full, "the table is full"),
        root::Refusal::LeasesMayRun => (answer::Code::Invalid, "leases of the zone may still be running"),
    };
    answer::Answer::error(code, message)
}

fn refused(response: wire::Reply) -> answer::Answer {
    match response {
        wire::Reply::NotDone(reason) => answer::Answer::error(answer::Code::Unavailable, reason),
        wire::Reply::NotLeader => answer::Answer::error(
            answer::Code::Unavailable,
            "the leader is changing; nothing was done",
        ),
        wire::Reply::Zone(zone::Outcome::Refused(refusal)) => {
            answer::Answer::error(answer::Code::Invalid, format!("refused: {refusal:?}"))
        }
        _ => answer::Answer::error(
            answer::Code::Unconfirmed,
            "no answer came in time; resend with the same command id",
        ),
    }
}
