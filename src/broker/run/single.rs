//! Statements that are no part of a transaction.

use super::{Attempt, Broken, Refusal, Reply, Runner, after, shape, success};
use crate::broker::lane::Hold;
use crate::broker::need::Need;
use crate::broker::session::Work;
use crate::statement::{Access, Code};
use crate::upstream::connection::Outcome;

impl Runner {
    /// Runs a statement by itself.
    pub(in crate::broker) async fn single(
        &mut self,
        mut attempt: Attempt<'_>,
        work: &Work,
    ) -> Reply {
        let result = match work.access {
            Access::Read => self.read(&mut attempt, work).await,
            Access::Write => self.write(&mut attempt, work).await,
        };
        self.conclude(&attempt, result)
    }

    async fn read(&self, attempt: &mut Attempt<'_>, work: &Work) -> Result<Reply, Refusal> {
        loop {
            let need = self.need(attempt).await;
            let mut hold = self.acquire(attempt, need).await?;
            let instance = hold.permit.instance.clone();
            let outcome = match self.send(attempt, &mut hold, work, need).await {
                Ok(outcome) => outcome,
                Err(broken) => {
                    self.lost(&instance, &broken);
                    if self.shared.clock.now() >= attempt.limit {
                        return Err(Refusal::new(Code::Timeout, format!("{instance}: {broken}")));
                    }
                    drop(hold);
                    self.try_again(attempt, &instance, broken.to_string());
                    self.leave_out(attempt, instance)?;
                    continue;
                }
            };
            let Outcome { rows, result, state, .. } = outcome;
            match result {
                Ok(signature) => {
                    self.shared.metrics.record_read(hold.target());
                    self.give_back(hold, state);
                    return Ok(success(rows, signature));
                }
                Err((code, text)) if code.is_not_run() || attempt.failed.is_empty() => {
                    self.refused(attempt, hold, state, (code, text)).await?;
                }
                Err((code, text)) => {
                    self.give_back(hold, state);
                    return Err(Refusal::new(code, text));
                }
            }
        }
    }

    async fn write(&mut self, attempt: &mut Attempt<'_>, work: &Work) -> Result<Reply, Refusal> {
        loop {
            let mut hold = self.acquire(attempt, Need::Primary).await?;
            let instance = hold.permit.instance.clone();
            let (clock, values) = (&self.shared.clock, attempt.session.values());
            let fit = hold.lane.fit(clock, values, shape(work), true, attempt.limit).await;
            if let Err(error) = fit {
                self.try_again(attempt, &instance, error.to_string());
                self.lost(&instance, &Broken::Channel(error));
                continue;
            }
            let committing = self.shared.committing(&instance);
            let (group, term) = (hold.permit.group.clone(), hold.term);
            let sent = clock.now();
            let running = hold.run(clock, (attempt.id, work), None, attempt.limit);
            let outcome = self.unless_replaced(&group, term, running).await;
            drop(committing);
            let outcome = match outcome {
                Ok(outcome) => outcome,
                Err(broken) => {
                    self.lost(&instance, &broken);
                    return Err(Refusal::new(Code::Unknown, format!("{instance}: {broken}")));
                }
            };
            self.learn(&mut hold, sent, &outcome);
            let Outcome { rows, result, state, position } = outcome;
            match result {
                Ok(signature) => {
                    let released = self.release(attempt, &hold, position).await;
                    self.give_back(hold, state);
                    return released.map(|()| success(rows, signature));
                }
                Err((code, text)) if code.is_not_run() => {
                    self.refused(attempt, hold, state, (code, text)).await?;
                }
                Err((code, text)) => {
                    self.give_back(hold, state);
                    return Err(Refusal::new(code, text));
                }
            }
        }
    }

    /// Makes the connection fit, sends a read on it and receives the answer.
    pub(super) async fn send(
        &self,
        attempt: &Attempt<'_>,
        hold: &mut Hold,
        work: &Work,
        need: Need,
    ) -> Result<Outcome, Broken> {
        let (clock, values) = (&self.shared.clock, attempt.session.values());
        let (group, term) = (hold.permit.group.clone(), hold.term);
        let fit = hold.lane.fit(clock, values, shape(work), true, attempt.limit).await;
        fit.map_err(Broken::Channel)?;
        let sent = clock.now();
        let running = hold.run(clock, (attempt.id, work), after(need), attempt.limit);
        let outcome = self.unless_replaced(&group, term, running).await?;
        self.learn(hold, sent, &outcome);
        Ok(outcome)
    }
}
