//! Message exchange: composition and processing of messages.

use std::time::Duration;

use bronzespoke_model::id;

use crate::{
    gossip::{Gossip, Peer},
    key::{Key, Value},
    message::{self, Delta, DigestEntry, Echo, Message, Request},
    origin::Origin,
    topology::Link,
};

/// Minimum time between requests for the entries of one origin.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum difference between the clock rates of two VMs, as a fraction.
const DRIFT: f64 = 0.02;
/// Cap of ages in messages. Entries of this age are far too old to be used.
const MAX_AGE_MS: u32 = 3_600_000;

impl Gossip {
    /// Processes a message from another VM and appends messages to send to `out`.
    pub fn receive(
        &mut self,
        now: Duration,
        from: id::VmId,
        message: Message,
        out: &mut Vec<(id::VmId, Message)>,
    ) {
        let is_peer = from != self.config.id && self.topology.is_member(from);
        if !is_peer || !self.record_peer(now, from, &message) {
            return;
        }
        self.topology.record_contact(now, from, message.initiated);
        for delta in message.deltas.into_iter().take(message::MAX_DIGEST_ENTRIES) {
            self.merge(now, delta);
        }
        let sent = message.echo.and_then(|echo| self.sent_at(now, &echo));
        let mut requests = Vec::new();
        for entry in message.digest.iter().take(message::MAX_DIGEST_ENTRIES) {
            self.merge_digest_entry(now, from, entry, sent, &mut requests);
        }
        let deltas = self.respond(from, &message.requests);
        if !requests.is_empty() || !deltas.is_empty() {
            let digest = deltas
                .iter()
                .filter_map(|delta| self.digest_entry(now, delta.origin))
                .collect();
            let reply = self.message(now, from, false, digest, deltas, requests);
            out.push((from, reply));
        }
        if self.urgent {
            self.send_urgent(now, out);
        }
    }

    /// Records the incarnation and send time of the sender. Returns `false` if the message is from an earlier
    /// incarnation.
    fn record_peer(&mut self, now: Duration, from: id::VmId, message: &Message) -> bool {
        let peer = self.peers.entry(from).or_default();
        if message.incarnation < peer.incarnation {
            return false;
        }
        if message.incarnation > peer.incarnation || message.stamp_ms > peer.stamp_ms {
            *peer = Peer {
                incarnation: message.incarnation,
                stamp_ms: message.stamp_ms,
                received: now,
            };
        }
        true
    }

    /// Returns the earliest local time at which a message with this echo can have been sent, or `None` if the echo is
    /// not valid.
    fn sent_at(&self, now: Duration, echo: &Echo) -> Option<Duration> {
        if !self.rules.echo {
            return Some(now);
        }
        let stamp = Duration::from_millis(echo.stamp_ms);
        if echo.incarnation != self.config.incarnation || stamp > now {
            return None;
        }
        let held = Duration::from_millis(u64::from(echo.held_ms)).mul_f64(1.0 - DRIFT);
        Some((stamp + held).min(now))
    }

    fn merge(&mut self, now: Duration, delta: Delta) {
        if delta.origin == self.config.id || !self.topology.is_member(delta.origin) {
            return;
        }
        let Some(origin) = self.origin_mut(delta.origin, delta.incarnation) else {
            return;
        };
        let changed = origin.merge(now, delta);
        let departures: Vec<(id::TargetId, id::Incarnation)> = changed
            .iter()
            .filter_map(|key| match (key, origin.get(*key)) {
                (Key::Target(target), Some(Value::Departing { incarnation })) => {
                    Some((*target, *incarnation))
                }
                _ => None,
            })
            .collect();
        self.urgent |= changed.iter().any(|key| matches!(key, Key::Target(_)));
        for (target, incarnation) in departures {
            self.record_departure(now, target, incarnation);
        }
    }

    /// Returns the state of an incarnation of an origin, or `None` if a later incarnation is known.
    fn origin_mut(&mut self, vm: id::VmId, incarnation: id::Incarnation) -> Option<&mut Origin> {
        let origin = self.origins.entry(vm).or_insert_with(|| Origin::new(incarnation));
        if incarnation > origin.incarnation {
            *origin = Origin::new(incarnation);
        }
        (incarnation == origin.incarnation).then_some(origin)
    }

    fn merge_digest_entry(
        &mut self,
        now: Duration,
        from: id::VmId,
        entry: &DigestEntry,
        sent: Option<Duration>,
        requests: &mut Vec<Request>,
    ) {
        if entry.origin == self.config.id || !self.topology.is_member(entry.origin) {
            return;
        }
        let Some(origin) = self.origin_mut(entry.origin, entry.incarnation) else {
            return;
        };
        if origin.known < entry.version {
            let request = Request {
                origin: entry.origin,
                incarnation: entry.incarnation,
                known: origin.known,
                floor: origin.floor,
            };
            let due = self
                .requested_at
                .get(&entry.origin)
                .is_none_or(|requested_at| now >= *requested_at + REQUEST_INTERVAL);
            if due {
                self.requested_at.insert(entry.origin, now);
                requests.push(request);
            }
            return;
        }
        let age = Duration::from_millis(u64::from(entry.age_ms)).mul_f64(1.0 + DRIFT);
        let freshness = sent.and_then(|sent| sent.checked_sub(age));
        if freshness > origin.freshness {
            origin.freshness = freshness;
            origin.via = Some(from);
        }
    }

    fn respond(&mut self, from: id::VmId, requests: &[Request]) -> Vec<Delta> {
        let mut budget = message::MAX_ENTRIES_BYTES;
        let mut deltas = Vec::new();
        for request in requests.iter().take(message::MAX_DIGEST_ENTRIES) {
            let Some(origin) = self.origin(request.origin) else {
                continue;
            };
            if origin.incarnation != request.incarnation {
                continue;
            }
            let missed_tombstones = request.known < origin.floor && request.floor < origin.floor;
            let after = if missed_tombstones && self.rules.floor {
                0
            } else {
                request.known
            };
            if let Some(delta) = origin.delta(request.origin, after, &mut budget) {
                self.sent
                    .insert((from, request.origin), (delta.incarnation, delta.through));
                deltas.push(delta);
            }
        }
        deltas
    }

    fn origin(&self, vm: id::VmId) -> Option<&Origin> {
        if vm == self.config.id {
            Some(&self.local)
        } else {
            self.origins.get(&vm)
        }
    }

    fn digest_entry(&self, now: Duration, vm: id::VmId) -> Option<DigestEntry> {
        let origin = self.origin(vm)?;
        let age = if vm == self.config.id {
            Duration::ZERO
        } else {
            now.saturating_sub(origin.freshness?)
        };
        Some(DigestEntry {
            origin: vm,
            incarnation: origin.incarnation,
            version: origin.known,
            age_ms: (age.as_micros().div_ceil(1000) as u64).min(u64::from(MAX_AGE_MS)) as u32,
        })
    }

    /// Returns the origins to report on a link: this VM, and the origins that it relays to the peer.
    ///
    /// A VM relays entries of its own zone to other zones, and entries that it received from other zones to its own zone.
    /// Entries of other zones are never relayed to a third zone, so no entry can circulate.
    fn scope(&self, link: Link) -> Vec<id::VmId> {
        let direct = |vm: id::VmId, origin: &Origin| match origin.via {
            Some(via) if link.local => !self.topology.is_local(via) && !self.topology.is_local(vm),
            Some(_) => self.topology.is_local(vm),
            None => false,
        };
        std::iter::once(self.config.id)
            .chain(
                self.origins
                    .iter()
                    .filter(|(vm, origin)| **vm != link.peer && direct(**vm, origin))
                    .map(|(vm, _)| *vm),
            )
            .collect()
    }

    /// Sends the digest for a link and the changes since the last message to the peer.
    pub(crate) fn send_periodic(&mut self, now: Duration, link: Link, out: &mut Vec<(id::VmId, Message)>) {
        let scope = self.scope(link);
        let digest = scope
            .iter()
            .filter_map(|vm| self.digest_entry(now, *vm))
            .collect();
        let deltas = self.changes(link.peer, &scope);
        let message = self.message(now, link.peer, link.initiated, digest, deltas, Vec::new());
        out.push((link.peer, message));
    }

    /// Sends changes immediately, on each link that has any.
    pub(crate) fn send_urgent(&mut self, now: Duration, out: &mut Vec<(id::VmId, Message)>) {
        self.urgent = false;
        for link in self.topology.links(now, true) {
            let scope = self.scope(link);
            let deltas = self.changes(link.peer, &scope);
            if deltas.is_empty() {
                continue;
            }
            let digest = deltas
                .iter()
                .filter_map(|delta| self.digest_entry(now, delta.origin))
                .collect();
            let message = self.message(now, link.peer, link.initiated, digest, deltas, Vec::new());
            out.push((link.peer, message));
        }
    }

    /// Returns the changes since the last message to a peer. There are none on first contact: the peer requests what it
    /// lacks.
    fn changes(&mut self, peer: id::VmId, scope: &[id::VmId]) -> Vec<Delta> {
        let mut budget = message::MAX_ENTRIES_BYTES;
        let mut deltas = Vec::new();
        for vm in scope {
            let Some(origin) = self.origin(*vm) else {
                continue;
            };
            let (incarnation, known) = (origin.incarnation, origin.known);
            let through = match self.sent.get(&(peer, *vm)) {
                Some((sent, through)) if *sent == incarnation => {
                    let delta = origin.delta(*vm, *through, &mut budget);
                    let through = delta.as_ref().map_or(*through, |delta| delta.through);
                    deltas.extend(delta);
                    through
                }
                _ => known,
            };
            self.sent.insert((peer, *vm), (incarnation, through));
        }
        deltas
    }

    fn message(
        &self,
        now: Duration,
        to: id::VmId,
        initiated: bool,
        digest: Vec<DigestEntry>,
        deltas: Vec<Delta>,
        requests: Vec<Request>,
    ) -> Message {
        let echo = self.peers.get(&to).map(|peer| Echo {
            incarnation: peer.incarnation,
            stamp_ms: peer.stamp_ms,
            held_ms: now
                .saturating_sub(peer.received)
                .as_millis()
                .min(u128::from(MAX_AGE_MS)) as u32,
        });
        Message {
            incarnation: self.config.incarnation,
            stamp_ms: now.as_millis() as u64,
            echo,
            initiated,
            digest,
            deltas,
            requests,
        }
    }
}
