//! Finding an instance and a connection for a statement.

use std::time::Duration;

use super::{Attempt, Refusal, Runner};
use crate::broker::dispatch::{Ask, FULL};
use crate::broker::lane::Hold;
use crate::broker::need::Need;
use crate::id;

/// On how many instances a statement may fail.
const TRIES: usize = 3;

/// How long a statement waits for room, as a part of its target in percent; the rest is left for running it.
const PATIENCE_PERCENT: u32 = 60;

/// How long a statement waits for a primary that is being promoted, as a part of its timeout in percent.
const PROMOTION_PATIENCE_PERCENT: u32 = 70;

impl Runner {
    /// Decides what a read needs, which may take a proof that has to be waited for.
    pub(super) async fn need(&self, attempt: &mut Attempt<'_>) -> Need {
        let begun = self.shared.clock.now();
        let left = patience(attempt).saturating_sub(attempt.waited);
        let need = self.shared.need(attempt.database, self.own, left).await;
        attempt.waited += self.shared.clock.now().since(begun);
        need
    }

    /// Waits for a connection to an instance that the statement can run on.
    pub(super) async fn acquire(
        &self,
        attempt: &mut Attempt<'_>,
        need: Need,
    ) -> Result<Hold, Refusal> {
        loop {
            let now = self.shared.clock.now();
            let (left, waited) = (attempt.limit.since(now), attempt.waited);
            if left.is_zero() {
                return Err(Refusal::busy("no instance took it in time", FULL));
            }
            let ask = Ask {
                ticket: self.shared.ticket(),
                need,
                priority: attempt.priority,
                patience: patience(attempt).saturating_sub(waited).min(left),
                promotion_patience: promotion_patience(attempt).saturating_sub(waited).min(left),
                failed: attempt.failed.clone(),
            };
            attempt.need = Some(need);
            let permit = self.shared.permit(&attempt.database.group, ask).await;
            attempt.waited += self.shared.clock.now().since(now);
            let permit = permit.map_err(|wait| {
                let reason = self.shared.shortage(&attempt.database.group, need);
                Refusal::busy(reason, self.shared.relieved(wait))
            })?;
            let instance = permit.instance.clone();
            attempt.tries += 1;
            attempt.instance = Some(instance.clone());
            let term = self.shared.reign(&permit.group, &instance);
            if need == Need::Primary && term.is_none() {
                return Err(Refusal::busy("the primary is being replaced", FULL));
            }
            let lane = match self.shared.idle(&instance, attempt.session.values()) {
                Some(lane) => Ok(lane),
                None => self.shared.open(&instance, attempt.limit).await,
            };
            match lane {
                Ok(lane) => return Ok(Hold { lane, permit, term, wrote: false }),
                Err(error) => {
                    log::debug!("{instance} gave request {} no connection: {error}", attempt.id);
                    if error.is_at_connection_limit() {
                        self.shared.crowded(&permit);
                        continue;
                    }
                    drop(permit);
                    self.leave_out(attempt, instance)?;
                }
            }
        }
    }

    /// Leaves an instance out from now on, unless the statement failed often enough.
    pub(super) fn leave_out(
        &self,
        attempt: &mut Attempt<'_>,
        instance: id::Instance,
    ) -> Result<(), Refusal> {
        attempt.failed.push(instance);
        if attempt.failed.len() >= TRIES {
            return Err(Refusal::busy("the instances that could run it failed", FULL));
        }
        Ok(())
    }
}

/// Returns how long a statement may wait for room: a part of the time that its answer should take, so that what is
/// begun ends in time.
fn patience(attempt: &Attempt<'_>) -> Duration {
    attempt.database.target.0 * PATIENCE_PERCENT / 100
}

/// Returns how long a statement may wait for a primary that is being promoted: there is nowhere else to go.
fn promotion_patience(attempt: &Attempt<'_>) -> Duration {
    attempt.database.timeout.0 * PROMOTION_PATIENCE_PERCENT / 100
}
