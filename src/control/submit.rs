//! Commands on their way into the log: here when this process leads, else through the one that does.

use std::sync::Arc;
use std::time::Duration;

use super::raft::{Input, MAX_COMMAND_BYTES};
use super::server::Shared;
use super::state::{Command, Outcome};
use crate::id;
use crate::wire::{Answer, Body, Frame, Stream};

/// How long a command may take before its fate is given as unknown.
const SUBMIT: Duration = Duration::from_millis(5_000);

/// How long to wait before a command that no leader took is tried again.
const RETRY: Duration = Duration::from_millis(50);

/// How long a connection to the leader may take to be made.
const CONNECT: Duration = Duration::from_millis(500);

impl Shared {
    /// Puts a command into the log without waiting for it.
    pub(super) fn propose(self: &Arc<Self>, command: Command) {
        self.step(Input::Propose(command));
    }

    /// Puts a command into the log and waits until it is applied; forwards it when another process leads.
    pub(super) async fn submit(self: &Arc<Self>, command: Command) -> Answer {
        let deadline = self.clock.now() + SUBMIT;
        loop {
            let answer = match self.submit_here(command.clone()).await {
                Answer::NotLeader(Some(leader)) => self.forward(&leader, command.clone()).await,
                answer => answer,
            };
            let again = matches!(answer, Answer::NotLeader(_));
            if !again || self.clock.now() >= deadline || self.core().stopped.is_some() {
                return answer;
            }
            self.clock.sleep(RETRY).await;
        }
    }

    pub(super) async fn submit_here(self: &Arc<Self>, command: Command) -> Answer {
        let (size, limit) = (command.size(), MAX_COMMAND_BYTES);
        if size > limit {
            let reason = format!("the command has {size} bytes, at most {limit} are taken");
            return Answer::Applied(Outcome::Refused { reason });
        }
        let (waiter, applied) = smol::channel::bounded(1);
        {
            let mut core = self.core();
            if core.stopped.is_some() {
                return Answer::NotLeader(None);
            }
            let Some(last) = self.step_in(&mut core, Input::Propose(command)) else {
                let other = core.raft.leader().filter(|leader| **leader != self.me().node);
                return Answer::NotLeader(other.cloned());
            };
            core.wait(last, waiter);
        }
        let answer = self.clock.timeout(SUBMIT, applied.recv()).await;
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
        let open = self.clock.timeout(CONNECT, Stream::connect(address)).await;
        let Some(Ok(stream)) = open else {
            return Answer::NotLeader(None);
        };
        let mut stream = stream.with_seal(&self.credentials.seal);
        let asked = async {
            stream.send(&self.frame(Body::Submit(command))).await?;
            stream.receive().await
        };
        match self.clock.timeout(SUBMIT, asked).await {
            Some(Ok(Frame { body: Body::Answer(answer), .. })) => answer,
            _ => Answer::Unknown,
        }
    }
}
