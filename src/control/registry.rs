//! The instances that announce themselves to control: which announcements count.
//!
//! The log holds who there is and whether it leaves, so that a new leader knows it at once and an instance that
//! was told so can rely on it. When each one last announced itself is soft state of the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use super::state::State;
use crate::clock::Instant;
use crate::id;
use crate::upstream::announcement::TTL;
use crate::wire::{Announcement, Phase, Replica, Standing};

/// How long until an instance that is silent is ordered to be forgotten again.
const REPEAT: Duration = Duration::from_secs(2);

/// What an announcement comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It says what is known.
    Known,
    /// It says something new, which belongs in the log.
    New,
    /// A later one was heard, or another life of the instance has begun since.
    Late,
}

/// When instances were last heard.
#[derive(Debug, Default)]
pub struct Registry {
    heard: BTreeMap<id::Instance, Heard>,
}

#[derive(Debug)]
struct Heard {
    at: Instant,
    born: id::Incarnation,
    sequence: id::Sequence,
    /// When it was ordered to be forgotten.
    forgotten: Option<Instant>,
}

impl Registry {
    /// Takes an announcement.
    pub fn hear(&mut self, now: Instant, said: &Announcement, state: &State) -> Verdict {
        let known = state.enlisted.get(&said.replica.instance);
        let newest = (said.born, said.sequence);
        let heard = self.heard.get(&said.replica.instance);
        let overtaken = heard.is_some_and(|heard| (heard.born, heard.sequence) > newest);
        // Who leaves for good says nothing later, and somebody else may say it without the number.
        if known.is_some_and(|known| known.born > said.born)
            || (overtaken && said.standing != Standing::Gone)
            || is_taken(state, said)
        {
            return Verdict::Late;
        }
        let (born, sequence) = newest;
        let heard = Heard { at: now, born, sequence, forgotten: None };
        self.heard.insert(said.replica.instance.clone(), heard);
        let same = known.is_some_and(|known| is_same(known, said));
        let gone = known.is_none() && said.standing == Standing::Gone;
        if same || gone { Verdict::Known } else { Verdict::New }
    }

    /// Returns the instances with when they were last heard. One that this leader has not heard yet counts from now.
    pub fn replicas(&mut self, now: Instant, state: &State) -> Vec<(Instant, Replica)> {
        self.heard.retain(|instance, heard| {
            state.enlisted.contains_key(instance) || now.since(heard.at) < TTL
        });
        let at = |(instance, known): (&id::Instance, &Announcement)| {
            let heard = self.heard.entry(instance.clone()).or_insert(Heard {
                at: now,
                born: known.born,
                sequence: known.sequence,
                forgotten: None,
            });
            (heard.at, known.replica.clone())
        };
        state.enlisted.iter().map(at).collect()
    }

    /// Returns the instances to forget, as announcements that they are gone: those silent for long, except a primary
    /// in force, which proxies may reach though control can't.
    pub fn silent(&mut self, now: Instant, state: &State) -> Vec<Announcement> {
        let mut silent = Vec::new();
        for (instance, known) in &state.enlisted {
            let epoch = state.epochs.get(&known.replica.group);
            let leads = epoch.is_some_and(|e| e.primary == *instance && e.phase == Phase::Active);
            let Some(heard) = self.heard.get_mut(instance) else {
                continue;
            };
            let due = heard.forgotten.is_none_or(|at| now.since(at) >= REPEAT);
            if !leads && due && now.since(heard.at) >= TTL {
                heard.forgotten = Some(now);
                silent.push(Announcement { standing: Standing::Gone, ..known.clone() });
            }
        }
        silent
    }
}

fn is_same(known: &Announcement, said: &Announcement) -> bool {
    known.replica == said.replica && known.born == said.born && known.standing == said.standing
}

/// Tells whether a later life of another instance has the address.
fn is_taken(state: &State, said: &Announcement) -> bool {
    state.enlisted.values().any(|known| {
        known.replica.address == said.replica.address
            && known.replica.instance != said.replica.instance
            && known.born > said.born
    })
}

impl State {
    /// Takes an announcement into the list of instances.
    pub(super) fn announce(&mut self, said: &Announcement) {
        let instance = &said.replica.instance;
        let newer = self.enlisted.get(instance).is_some_and(|known| known.born > said.born);
        if newer || is_taken(self, said) {
            return;
        }
        self.draining.remove(instance);
        self.enlisted.remove(instance);
        if said.standing == Standing::Gone {
            return;
        }
        let address = said.replica.address;
        let displaced = self.enlisted.values().find(|known| known.replica.address == address);
        if let Some(displaced) = displaced.map(|known| known.replica.instance.clone()) {
            self.enlisted.remove(&displaced);
            self.draining.remove(&displaced);
        }
        if said.standing == Standing::Leaving {
            self.draining.insert(instance.clone());
        }
        self.enlisted.insert(instance.clone(), said.clone());
    }
}
