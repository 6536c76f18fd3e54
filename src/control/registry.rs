//! The instances that announce themselves to control, and which announcements are accepted.
//!
//! The log records each instance and whether it is leaving, so that a new leader knows it at once and an acknowledged
//! announcement is durable. When each instance last announced itself is soft state of the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use super::state::State;
use crate::clock::Instant;
use crate::id;
use crate::upstream::announcement::TTL;
use crate::wire::{Announcement, Availability, Phase};

/// The interval after which the removal of an instance that is still registered is proposed again.
const INSTANCE_REMOVAL_REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The result of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It changes nothing.
    Known,
    /// It has new content, which has to be appended to the log.
    New,
    /// It is outdated by a later announcement, a later incarnation, or a later user of the address.
    Late,
}

/// The latest announcement of each instance.
#[derive(Debug, Default)]
pub struct Registry {
    contacts: BTreeMap<id::Instance, Contact>,
}

/// The latest announcement of an instance.
#[derive(Debug)]
struct Contact {
    received_at: Instant,
    born: id::Incarnation,
    sequence: id::Sequence,
    /// When its removal was last proposed.
    removal_proposed_at: Option<Instant>,
}

impl Registry {
    /// Handles an announcement and returns whether it is accepted.
    pub fn handle_announcement(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        state: &State,
    ) -> Verdict {
        let known = state.enlisted.get(&announcement.replica.instance);
        let received = (announcement.born, announcement.sequence);
        let contact = self.contacts.get(&announcement.replica.instance);
        let is_overtaken =
            contact.is_some_and(|contact| (contact.born, contact.sequence) > received);
        // An instance that is gone sends no later announcement, and `Gone` may be announced on its behalf without the
        // sequence number.
        let is_final = announcement.standing == Availability::Gone
            || known.is_some_and(|known| is_drain_of_same_incarnation(known, announcement));
        if known.is_some_and(|known| known.born > announcement.born)
            || (is_overtaken && !is_final)
            || is_address_taken_over(state, announcement)
        {
            return Verdict::Late;
        }
        let (born, sequence) = match contact {
            Some(contact) if announcement.standing == Availability::Leaving => {
                received.max((contact.born, contact.sequence))
            }
            _ => received,
        };
        let contact = Contact { received_at: now, born, sequence, removal_proposed_at: None };
        self.contacts.insert(announcement.replica.instance.clone(), contact);
        let is_known = known.is_some_and(|known| is_unchanged(known, announcement));
        let is_removed = known.is_none() && announcement.standing == Availability::Gone;
        if is_known || is_removed { Verdict::Known } else { Verdict::New }
    }

    /// Takes over the instances of the replicated state. Those that this leader has received no announcement from count
    /// as heard `now`.
    pub fn refresh(&mut self, now: Instant, state: &State) {
        self.contacts.retain(|instance, contact| {
            state.enlisted.contains_key(instance) || now.since(contact.received_at) < TTL
        });
        for (instance, known) in &state.enlisted {
            if !self.contacts.contains_key(instance) {
                let (born, sequence) = (known.born, known.sequence);
                let contact =
                    Contact { received_at: now, born, sequence, removal_proposed_at: None };
                self.contacts.insert(instance.clone(), contact);
            }
        }
    }

    /// Returns announcements that remove the instances silent for [`TTL`], except the primary of an active epoch: proxies
    /// may still reach it although control doesn't.
    pub fn expire(&mut self, now: Instant, state: &State) -> Vec<Announcement> {
        let mut expired = Vec::new();
        for (instance, known) in &state.enlisted {
            let epoch = state.epochs.get(&known.replica.group);
            let is_active_primary =
                epoch.is_some_and(|e| e.primary == *instance && e.phase == Phase::Active);
            let Some(contact) = self.contacts.get_mut(instance) else {
                continue;
            };
            let due = contact
                .removal_proposed_at
                .is_none_or(|at| now.since(at) >= INSTANCE_REMOVAL_REPEAT_INTERVAL);
            if !is_active_primary && due && now.since(contact.received_at) >= TTL {
                contact.removal_proposed_at = Some(now);
                expired.push(Announcement { standing: Availability::Gone, ..known.clone() });
            }
        }
        expired
    }
}

/// Returns whether an announcement has the content of the known one.
pub(super) fn is_unchanged(known: &Announcement, announcement: &Announcement) -> bool {
    known.replica == announcement.replica
        && known.born == announcement.born
        && known.standing == announcement.standing
}

/// Returns whether an announcement drains the known incarnation of an instance. An incarnation that drains never becomes
/// ready again, so its drain counts in whatever order announcements arrive. Without a start time, it may be of an earlier
/// incarnation, whose sequence was another one.
fn is_drain_of_same_incarnation(known: &Announcement, announcement: &Announcement) -> bool {
    announcement.standing == Availability::Leaving
        && known.born == announcement.born
        && known.born > id::Incarnation(0)
}

/// Returns whether a later incarnation of another instance uses the address.
fn is_address_taken_over(state: &State, announcement: &Announcement) -> bool {
    state.enlisted.values().any(|known| {
        known.replica.address == announcement.replica.address
            && known.replica.instance != announcement.replica.instance
            && known.born > announcement.born
    })
}

impl State {
    /// Applies an announcement to the list of instances, unless it is outdated.
    pub(super) fn announce(&mut self, announcement: &Announcement) {
        let instance = &announcement.replica.instance;
        let newer = self.enlisted.get(instance).is_some_and(|known| known.born > announcement.born);
        if newer || is_address_taken_over(self, announcement) {
            return;
        }
        self.draining.remove(instance);
        self.enlisted.remove(instance);
        if announcement.standing == Availability::Gone {
            return;
        }
        let address = announcement.replica.address;
        let displaced = self.enlisted.values().find(|known| known.replica.address == address);
        if let Some(displaced) = displaced.map(|known| known.replica.instance.clone()) {
            self.enlisted.remove(&displaced);
            self.draining.remove(&displaced);
        }
        if announcement.standing == Availability::Leaving {
            self.draining.insert(instance.clone());
        }
        self.enlisted.insert(instance.clone(), announcement.clone());
    }
}
