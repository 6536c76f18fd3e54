//! Submission of commands to the log, by forwarding them to the leader if this process isn't it.

use std::sync::Arc;
use std::time::Duration;

use super::raft::{Input, MAX_COMMAND_BYTES};
use super::server::Shared;
use super::state::{Command, Outcome};
use crate::id;
use crate::wire::{Answer, Body, Frame, Stream};

/// How long a command may take before its outcome is reported as unknown.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(5_000);

/// The delay before a command that no leader accepted is submitted again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

impl Shared {
    /// Proposes a command without waiting for the outcome.
    pub(super) fn propose(self: &Arc<Self>, command: Command) {
        self.step(Input::Propose(command));
    }

    /// Submits a command and waits until it is applied. Forwards it if another process is the leader.
    pub(super) async fn submit(self: &Arc<Self>, command: Command) -> Answer {
        let deadline = self.clock.now() + SUBMIT_TIMEOUT;
        loop {
            let answer = match self.submit_locally(command.clone()).await {
                Answer::NotLeader(Some(leader)) => self.forward(&leader, command.clone()).await,
                answer => answer,
            };
            let retry = matches!(answer, Answer::NotLeader(_));
            if !retry || self.clock.now() >= deadline || self.core().stop_reason.is_some() {
                return answer;
            }
            self.clock.sleep(RETRY_DELAY).await;
        }
    }

    /// Proposes a command and waits until it is applied, if this process is the leader.
    pub(super) async fn submit_locally(self: &Arc<Self>, command: Command) -> Answer {
        let (size, limit) = (command.size(), MAX_COMMAND_BYTES);
        if size > limit {
            let reason = format!("the command has {size} bytes, at most {limit} are taken");
            return Answer::Applied(Outcome::Refused { reason });
        }
        let (waiter, applied) = smol::channel::bounded(1);
        {
            let mut core = self.core();
            if core.stop_reason.is_some() {
                return Answer::NotLeader(None);
            }
            let Some(entry) = self.step_locked(&mut core, Input::Propose(command)) else {
                let other = core.raft.leader().filter(|leader| **leader != self.me().node);
                return Answer::NotLeader(other.cloned());
            };
            core.add_waiter(entry, waiter);
        }
        let answer = self.clock.timeout(SUBMIT_TIMEOUT, applied.recv()).await;
        answer.and_then(Result::ok).unwrap_or(Answer::Unknown)
    }

    async fn forward(&self, leader: &id::Node, command: Command) -> Answer {
        let address = {
            let core = self.core();
            core.raft.members().voters.get(leader).map(|voter| voter.address)
        };
        let Some(address) = address else {
            return Answer::NotLeader(None);
        };
        let connected = self.clock.timeout(CONNECT_TIMEOUT, Stream::connect(address)).await;
        let Some(Ok(stream)) = connected else {
            return Answer::NotLeader(None);
        };
        let mut stream = stream.with_seal(&self.credentials.seal);
        let exchange = async {
            stream.send(&self.frame(Body::Submit(command))).await?;
            stream.receive().await
        };
        match self.clock.timeout(SUBMIT_TIMEOUT, exchange).await {
            Some(Ok(Frame { body: Body::Answer(answer), .. })) => answer,
            _ => Answer::Unknown,
        }
    }
}
