//! Application of commands to the state.

use super::{Action, Claim, Command, Membership, Origin, Outcome, State};
use crate::id;
use crate::wire;

/// How many of a group's forks are kept: enough for instances that return after as many promotions.
const MAX_FORKS: usize = 32;

/// For how many operator commands the first outcome is kept.
const MAX_OUTCOMES: usize = 10_000;

/// The maximum size of the kept outcomes. Bounded so that a snapshot fits in a frame.
const MAX_OUTCOME_BYTES: usize = 1024 * 1024;

impl State {
    /// Applies a committed command and returns its outcome. A command whose id was applied before changes nothing and
    /// returns its first outcome.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let Some(origin) = &command.origin else {
            return self.apply_action(&command.action, None);
        };
        if let Some(outcome) = self.outcomes.get(&origin.command) {
            return outcome.clone();
        }
        let outcome = self.apply_action(&command.action, Some(origin));
        self.remember_outcome(origin.command.clone(), outcome.clone());
        outcome
    }

    fn remember_outcome(&mut self, command: id::Command, outcome: Outcome) {
        self.outcome_bytes += outcome_size(&command, &outcome);
        self.order.push_back(command.clone());
        self.outcomes.insert(command, outcome);
        while (self.order.len() > MAX_OUTCOMES || self.outcome_bytes > MAX_OUTCOME_BYTES)
            && let Some(oldest) = self.order.pop_front()
        {
            if let Some(outcome) = self.outcomes.remove(&oldest) {
                self.outcome_bytes -= outcome_size(&oldest, &outcome);
            }
        }
    }

    fn apply_action(&mut self, action: &Action, origin: Option<&Origin>) -> Outcome {
        match action {
            Action::Noop => self.done(),
            Action::Plan { plan, base, intent, made_ms } => {
                self.plan(plan, *base, intent, *made_ms)
            }
            Action::Confirm { plan, now_ms } => self.confirm(plan, *now_ms, origin),
            Action::Freeze { group, term } => self.freeze(group, *term),
            Action::Promote { group, term, primary, start } => {
                self.promote(group, *term, primary, *start)
            }
            Action::Register { node, incarnation, domain } => {
                self.register(node, *incarnation, domain)
            }
            Action::Forget { node } => {
                self.nodes.remove(node);
                self.done()
            }
            Action::Member(change) => self.finish_member_change(change),
            Action::Claim { group, term, primary } => self.claim(group, *term, primary),
            Action::Declare(declaration) => self.declare(declaration),
            Action::Announce(announcement) => {
                self.announce(announcement);
                self.done()
            }
            Action::Thaw { group, term } => self.thaw(group, *term),
            Action::Adopt { group, term, primary, start } => {
                self.adopt(group, *term, primary, *start)
            }
        }
    }

    /// Removes a completed membership change from those wanted. The members themselves are kept by Raft.
    fn finish_member_change(&mut self, change: &Membership) -> Outcome {
        let finished = |wanted: &Membership| match (wanted, change) {
            (Membership::Learn(voter), Membership::Admit(node)) => voter.node == *node,
            (wanted, change) => wanted == change,
        };
        self.wanted.retain(|wanted| !finished(wanted));
        self.done()
    }

    pub(super) fn done(&self) -> Outcome {
        Outcome::Done { revision: self.revision }
    }

    fn freeze(&mut self, group: &id::Group, term: id::Term) -> Outcome {
        match self.epochs.get_mut(group) {
            Some(epoch) if epoch.term == term => {
                epoch.phase = wire::Phase::Frozen;
                self.done()
            }
            _ => refused(format!("term {term} of group {group} is not in force")),
        }
    }

    fn thaw(&mut self, group: &id::Group, term: id::Term) -> Outcome {
        let newer_claim = self.claims.get(group).filter(|claim| claim.term > term);
        match self.epochs.get_mut(group) {
            Some(epoch)
                if epoch.term == term
                    && newer_claim.is_none_or(|claim| claim.primary == epoch.primary) =>
            {
                epoch.phase = wire::Phase::Active;
                self.done()
            }
            _ => refused(format!("term {term} of group {group} can't go on")),
        }
    }

    fn promote(
        &mut self,
        group: &id::Group,
        term: id::Term,
        primary: &id::Instance,
        start: id::Position,
    ) -> Outcome {
        let claim = Claim { term, primary: primary.clone() };
        if let Some(epoch) = self.epochs.get(group)
            && epoch.term < term
            && (epoch.phase != wire::Phase::Frozen || self.claims.get(group) != Some(&claim))
        {
            return refused(format!("term {term} of group {group} is not {primary}'s to take"));
        }
        self.start_epoch(group, term, primary, start)
    }

    /// Puts the epoch of the instance that has a term reserved in force, with the term that the instance adopted.
    fn adopt(
        &mut self,
        group: &id::Group,
        term: id::Term,
        primary: &id::Instance,
        start: id::Position,
    ) -> Outcome {
        let frozen = self.epochs.get(group).is_none_or(|e| e.phase == wire::Phase::Frozen);
        let claimed = self.claims.get(group).is_some_and(|claim| claim.primary == *primary);
        if !frozen || !claimed {
            return refused(format!("group {group} is not {primary}'s to lead"));
        }
        self.start_epoch(group, term, primary, start)
    }

    fn start_epoch(
        &mut self,
        group: &id::Group,
        term: id::Term,
        primary: &id::Instance,
        start: id::Position,
    ) -> Outcome {
        let mut forks = Vec::new();
        if let Some(epoch) = self.epochs.get(group) {
            if epoch.term >= term {
                return refused(format!("group {group} is on term {} already", epoch.term));
            }
            forks = epoch.forks.clone();
        }
        forks.push((term, start));
        // Only the newest forks are needed; keeping all would grow the state without bound.
        let old = forks.len().saturating_sub(MAX_FORKS);
        forks.drain(..old);
        let epoch = wire::Epoch {
            group: group.clone(),
            term,
            primary: primary.clone(),
            phase: wire::Phase::Active,
            forks,
        };
        self.epochs.insert(group.clone(), epoch);
        self.done()
    }

    fn claim(&mut self, group: &id::Group, term: id::Term, primary: &id::Instance) -> Outcome {
        let frozen = self.epochs.get(group).filter(|epoch| epoch.phase == wire::Phase::Frozen);
        let Some(epoch) = frozen else {
            return refused(format!("group {group} is not frozen"));
        };
        let newest = self.claims.get(group).map_or(epoch.term, |claim| claim.term.max(epoch.term));
        if term <= newest {
            return refused(format!("term {newest} of group {group} was given already"));
        }
        self.claims.insert(group.clone(), Claim { term, primary: primary.clone() });
        self.done()
    }

    fn register(
        &mut self,
        node: &id::Node,
        incarnation: id::Incarnation,
        domain: &id::Domain,
    ) -> Outcome {
        match self.nodes.get(node) {
            Some((known, _)) if *known > incarnation => {
                refused(format!("{node} was registered with incarnation {known} already"))
            }
            _ => {
                self.nodes.insert(node.clone(), (incarnation, domain.clone()));
                self.done()
            }
        }
    }
}

pub(super) fn refused(reason: impl Into<String>) -> Outcome {
    Outcome::Refused { reason: reason.into() }
}

fn outcome_size(command: &id::Command, outcome: &Outcome) -> usize {
    let outcome = postcard::experimental::serialized_size(outcome).unwrap_or(0);
    2 * command.as_str().len() + outcome
}
