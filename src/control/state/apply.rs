//! How commands change the state.

use super::{Action, Claim, Command, Intent, Outcome, Planned, State};
use crate::config;
use crate::id;
use crate::wire;

/// How long a plan waits for its confirmation, in milliseconds.
const PLAN_EXPIRY_MS: u64 = 15 * 60 * 1000;

/// How many operators' commands keep their first outcome.
const KEPT_OUTCOMES: usize = 10_000;

impl State {
    /// Applies one committed command and returns its outcome. A command id that was applied before changes
    /// nothing and gets its first outcome.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let Some(origin) = &command.origin else {
            return self.act(&command.action, None);
        };
        if let Some(outcome) = self.outcomes.get(&origin.command) {
            return outcome.clone();
        }
        let outcome = self.act(&command.action, Some(&origin.operator));
        self.keep(origin.command.clone(), outcome.clone());
        outcome
    }

    fn keep(&mut self, command: id::Command, outcome: Outcome) {
        if self.order.len() == KEPT_OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
        self.order.push_back(command.clone());
        self.outcomes.insert(command, outcome);
    }

    fn act(&mut self, action: &Action, operator: Option<&id::Operator>) -> Outcome {
        match action {
            Action::Noop => self.done(),
            Action::Plan { plan, base, intent, made_ms } => {
                self.plan(plan, *base, intent, *made_ms)
            }
            Action::Confirm { plan, now_ms } => self.confirm(plan, *now_ms, operator),
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
            Action::Member(_) => refused("membership changes are not carried out yet"),
            Action::Claim { group, term, primary } => self.claim(group, *term, primary),
        }
    }

    fn done(&self) -> Outcome {
        Outcome::Done { revision: self.revision }
    }

    fn plan(
        &mut self,
        plan: &id::Plan,
        base: id::Revision,
        intent: &Intent,
        made_ms: u64,
    ) -> Outcome {
        if base != self.revision {
            return refused(format!(
                "the plan stands on revision {base}, in force is {}",
                self.revision
            ));
        }
        if let Intent::Configure { text } = intent
            && let Err(error) = config::Fleet::parse("declarations", text)
        {
            return refused(error.to_string());
        }
        let expires_ms = made_ms + PLAN_EXPIRY_MS;
        self.plans.retain(|_, planned| planned.expires_ms > made_ms);
        self.plans.insert(plan.clone(), Planned { base, intent: intent.clone(), expires_ms });
        Outcome::Planned { plan: plan.clone(), base, expires_ms }
    }

    fn confirm(
        &mut self,
        plan: &id::Plan,
        now_ms: u64,
        operator: Option<&id::Operator>,
    ) -> Outcome {
        let Some(planned) = self.plans.remove(plan) else {
            return refused(format!("there is no plan {plan}; it may have run out"));
        };
        if now_ms > planned.expires_ms {
            return refused(format!("plan {plan} has run out"));
        }
        if planned.base != self.revision {
            let winner = self.changed_by.as_ref().map_or("nobody", id::Operator::as_str);
            return refused(format!(
                "plan {plan} stands on revision {}, but {winner} put revision {} in force",
                planned.base, self.revision
            ));
        }
        self.carry_out(planned.intent, operator)
    }

    fn carry_out(&mut self, intent: Intent, operator: Option<&id::Operator>) -> Outcome {
        match intent {
            Intent::Configure { text } => self.text = text,
            Intent::Drain { instance } => {
                self.draining.insert(instance);
            }
            Intent::Undrain { instance } => {
                self.draining.remove(&instance);
            }
            Intent::Peak { .. } => return refused("peaks by command are not carried out yet"),
            Intent::Member(_) => return refused("membership changes are not carried out yet"),
        }
        self.revision = self.revision.next();
        self.changed_by = operator.cloned();
        self.done()
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

    fn promote(
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
            let claim = Claim { term, primary: primary.clone() };
            if epoch.phase != wire::Phase::Frozen || self.claims.get(group) != Some(&claim) {
                return refused(format!("term {term} of group {group} is not {primary}'s to take"));
            }
            forks = epoch.forks.clone();
        }
        forks.push((term, start));
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

fn refused(reason: impl Into<String>) -> Outcome {
    Outcome::Refused { reason: reason.into() }
}
