//! Plans and their confirmation: a change requested by an operator is shown first and made only once confirmed.

use sha2::{Digest, Sha256};

use super::apply::refused;
use super::{Declaration, Intent, Origin, Outcome, Plan, Record, State, effect};
use crate::config;
use crate::id;
use crate::wire;

/// How long a plan can be confirmed.
const PLAN_LIFETIME_MS: u64 = 15 * 60 * 1000;

/// The maximum total size of unconfirmed plans, so that a snapshot fits in a frame; the oldest are evicted first.
const MAX_PLAN_BYTES: usize = 1024 * 1024;

/// The maximum number of unconfirmed plans.
const MAX_PLANS: usize = 256;

/// The maximum number of audit records.
const MAX_RECORDS: usize = 1_000;

/// How many bytes of the SHA-256 digest of the declarations are used.
const DIGEST_BYTES: usize = 8;

impl State {
    pub(super) fn plan(
        &mut self,
        plan: &id::Plan,
        base: id::Revision,
        intent: &Intent,
        made_ms: u64,
    ) -> Outcome {
        self.plans.retain(|_, planned| planned.expires_ms > made_ms);
        if let Some(known) = self.plans.get(plan) {
            let same = known.base == base && known.intent == *intent;
            return if same {
                known.outcome(plan)
            } else {
                refused(format!("plan {plan} is taken"))
            };
        }
        if base != self.revision {
            return refused(format!(
                "the plan stands on revision {base}, but {}",
                self.describe_revision()
            ));
        }
        if let Intent::Configure { text } = intent
            && let Err(error) = config::Fleet::parse("declarations", text)
        {
            return refused(error.to_string());
        }
        let effects = effect::list(self, intent);
        let expires_ms = made_ms + PLAN_LIFETIME_MS;
        let planned = Plan { base, intent: intent.clone(), expires_ms, effects };
        let outcome = planned.outcome(plan);
        self.plans.insert(plan.clone(), planned);
        self.evict_plans(plan);
        outcome
    }

    fn evict_plans(&mut self, newest: &id::Plan) {
        let size = |planned: &Plan| {
            postcard::experimental::serialized_size(planned).unwrap_or(MAX_PLAN_BYTES)
        };
        let bytes = |state: &Self| state.plans.values().map(size).sum::<usize>();
        while self.plans.len() > MAX_PLANS || bytes(self) > MAX_PLAN_BYTES {
            let others = self.plans.iter().filter(|(plan, _)| *plan != newest);
            let oldest = others.min_by_key(|(_, planned)| planned.expires_ms);
            let Some(oldest) = oldest.map(|(plan, _)| plan.clone()) else {
                return;
            };
            self.plans.remove(&oldest);
        }
    }

    pub(super) fn confirm(
        &mut self,
        plan: &id::Plan,
        now_ms: u64,
        origin: Option<&Origin>,
    ) -> Outcome {
        let Some(planned) = self.plans.remove(plan) else {
            return self.refuse_unknown_plan(plan);
        };
        if now_ms > planned.expires_ms {
            return refused(format!("plan {plan} has run out"));
        }
        if planned.base != self.revision {
            return refused(format!(
                "plan {plan} stands on revision {}, but {}",
                planned.base,
                self.describe_revision()
            ));
        }
        self.peaks.retain(|peak| peak.at_ms.saturating_add(peak.lasts_ms) > now_ms);
        let what = effect::intent_name(&planned.intent);
        self.apply_intent(planned.intent);
        self.revision = self.revision.next();
        self.changed_by = origin.map(|origin| origin.operator.clone());
        self.add_record(plan, what, now_ms);
        self.done()
    }

    /// Refuses the confirmation of an unknown plan. If it was confirmed before, the reason names the operator.
    fn refuse_unknown_plan(&self, plan: &id::Plan) -> Outcome {
        match self.records.iter().rev().find(|record| record.plan == *plan) {
            Some(record) => refused(format!(
                "{} confirmed plan {plan} already, as revision {}",
                record.operator(),
                record.revision
            )),
            None => refused(format!("there is no plan {plan}; it may have run out")),
        }
    }

    /// Describes the revision in force: the operator who put it in force and the digest of its declarations.
    fn describe_revision(&self) -> String {
        let operator = self.changed_by.as_ref().map_or("nobody", id::Operator::as_str);
        format!(
            "{operator} put revision {} in force, whose declarations have digest {}",
            self.revision, self.digest
        )
    }

    fn add_record(&mut self, plan: &id::Plan, what: String, at_ms: u64) {
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(Record {
            plan: plan.clone(),
            operator: self.changed_by.clone(),
            what,
            revision: self.revision,
            digest: self.digest.clone(),
            at_ms,
        });
    }

    /// Puts declarations in force that need no confirmation; they were validated before they were proposed.
    /// Declarations whose number is not higher than the current one change nothing.
    pub(super) fn declare(&mut self, declaration: &Declaration) -> Outcome {
        if self.declared.as_ref().is_some_and(|known| known.edition >= declaration.edition) {
            return self.done();
        }
        self.digest = digest(&declaration.text);
        self.text.clone_from(&declaration.text);
        self.declared = Some(declaration.clone());
        self.revision = self.revision.next();
        self.done()
    }

    fn apply_intent(&mut self, intent: Intent) {
        match intent {
            Intent::Configure { text } => {
                self.digest = digest(&text);
                self.text = text;
            }
            Intent::Drain { instance } => {
                self.draining.insert(instance);
            }
            Intent::Undrain { instance } => {
                self.draining.remove(&instance);
            }
            Intent::Peak { group, at_ms, lasts_ms } => {
                self.peaks.push(wire::Peak { group, at_ms, lasts_ms });
            }
            Intent::Member(change) => self.wanted.push_back(change),
        }
    }
}

impl Plan {
    fn outcome(&self, plan: &id::Plan) -> Outcome {
        Outcome::Planned {
            plan: plan.clone(),
            base: self.base,
            expires_ms: self.expires_ms,
            effects: self.effects.clone(),
        }
    }
}

impl Record {
    /// Returns the operator, or "nobody" if unknown.
    pub fn operator(&self) -> &str {
        self.operator.as_ref().map_or("nobody", id::Operator::as_str)
    }
}

/// Returns a digest that distinguishes declarations with equal revision numbers.
fn digest(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().take(DIGEST_BYTES).map(|byte| format!("{byte:02x}")).collect()
}
