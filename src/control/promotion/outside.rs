//! Orders where an outside service promotes.

use std::time::Duration;

use log::Level;

use super::client::Client;
use super::order::Order;
use super::{Authority, Promoter, Promotion, Refusal};
use crate::clock::Instant;
use crate::control::failover::Input;
use crate::control::server::Shared;
use crate::id;
use crate::report::event::millis;
use crate::report::{Event, PromotionAnswer};
use crate::statement;
use crate::wire::Replica;

/// How long an order that the service has accepted may take to have an effect. After that it counts as lost.
const ACCEPTED_VALIDITY: Duration = Duration::from_secs(10);

/// An order to promote an instance that the service has accepted. Nothing recalls it, and each repeat would be one more order
/// that may have its effect late.
#[derive(Debug)]
pub(super) struct Accepted {
    at: Instant,
    /// The epoch that the promotion is to replace.
    epoch: Option<id::Term>,
}

impl Accepted {
    fn is_pending(&self, now: Instant, epoch: Option<id::Term>) -> bool {
        self.epoch == epoch && now.since(self.at) < ACCEPTED_VALIDITY
    }
}

impl Shared {
    /// Asks an outside service to promote an instance, unless it has accepted to do so and may still do it.
    pub(super) async fn promote(
        &self,
        authority: Authority,
        replica: &Replica,
        promoter: &dyn Promoter,
        accepted: &mut Option<Accepted>,
    ) -> Option<Input<'static>> {
        let epoch = self.core().state.epochs.get(&replica.group).map(|epoch| epoch.term);
        if accepted.as_ref().is_some_and(|order| order.is_pending(self.clock.now(), epoch)) {
            return None;
        }
        let (group, instance, token) = (&replica.group, &replica.instance, authority.term());
        let promotion = Promotion {
            group: group.clone(),
            instance: instance.clone(),
            holder: self.me().node.clone(),
            token,
        };
        let sent_at = self.clock.now();
        let log = |answer: Option<String>, level| {
            let now = self.clock.now();
            let elapsed_ms = answer.is_some().then(|| millis(now.since(sent_at)));
            let confirmed_ago_ms = authority.time_since_confirmation(now).map(millis);
            Event::Promotion { group, instance, token, answer, elapsed_ms, confirmed_ago_ms }
                .log(level);
        };
        log(None, Level::Info);
        let call = promoter.promote(promotion, authority.clone());
        let result = authority.run(call).await;
        let label = match &result {
            Some(Ok(())) => PromotionAnswer::Accepted,
            Some(Err(Refusal::NotRunning | Refusal::Failed(_))) => PromotionAnswer::Declined,
            Some(Err(Refusal::Unanswered(_))) | None if authority.is_complete() => {
                PromotionAnswer::Unanswered
            }
            Some(Err(Refusal::Unanswered(_))) | None => PromotionAnswer::Withheld,
        };
        self.metrics.record_promotion_call(label);
        match result {
            Some(Ok(())) => {
                *accepted = Some(Accepted { at: self.clock.now(), epoch });
                log(Some("accepted".to_owned()), Level::Info);
                Some(Input::PromotionAccepted { instance: instance.clone() })
            }
            Some(Err(refusal)) => {
                log(Some(refusal.to_string()), Level::Warn);
                let not_running = matches!(refusal, Refusal::NotRunning);
                not_running.then(|| Input::PromotionDeclined { instance: instance.clone() })
            }
            None => {
                log(
                    Some("taken back, another process or instance may lead".to_owned()),
                    Level::Warn,
                );
                None
            }
        }
    }
}

/// Carries out an order over a [`crate::statement::Codec`], other than a promotion. The group's next decision needs statuses
/// that were requested after `since`.
pub(super) async fn run_outside(
    client: &mut Client,
    replica: &Replica,
    order: Order,
    since: Option<Instant>,
) -> Option<Input<'static>> {
    let instance = replica.instance.clone();
    match order {
        Order::Probe => Some(client.probe(since).await),
        // The outside service promotes.
        Order::Promote(_) => None,
        Order::Pause(term) => client.pause(term).await,
        Order::Resume => {
            client.execute(&statement::Command::Resume).await;
            None
        }
        Order::Follow(_, term) => {
            client.execute(&statement::Command::Demote { term }).await;
            Some(client.probe(since).await)
        }
        // No command stops writes on such a primary; only the freeze does. A replica must have received the
        // primary's current position before the freeze.
        Order::Demote(_) => Some(match client.status().await {
            Some(status) => Input::Demoted { instance, status },
            None => Input::DemotionRefused { instance },
        }),
    }
}
