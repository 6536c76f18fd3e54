//! The server process of the broker: its sockets and the state that its tasks share.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use event_listener::Event;
use smol::channel::{Receiver, Sender, bounded};
use smol::net::{TcpListener, UdpSocket};

use super::state::State;
use super::stranded::BALANCER_NOTICE;
use super::{accept, caller, monitor, serve};
use crate::clock::Clock;
use crate::config;
use crate::id;
use crate::proxy::Error;
use crate::proxy::fence::Fence;
use crate::proxy::heartbeat;
use crate::proxy::shutdown::{Shutdown, Stage};
use crate::report::Metrics;
use crate::security::Credentials;
use crate::statement::Codec;

/// How long before the end of the grace period the process exits by itself, ahead of being killed.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// The grace period of a shutdown when nothing kills the process and the settings give none.
const DEFAULT_GRACE: Duration = Duration::from_secs(30);

/// A running broker.
#[derive(Debug, Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

/// State that the tasks of a broker share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) codec: &'static dyn Codec,
    pub(super) metrics: Metrics,
    pub(super) shutdown: Shutdown,
    pub(super) credentials: Credentials,
    pub(super) node: id::Node,
    pub(super) domain: id::Domain,
    pub(super) seeds: Mutex<Vec<SocketAddr>>,
    pub(super) settings: config::Proxy,
    pub(super) incarnation: id::Incarnation,
    pub(super) heartbeat_trigger: Sender<()>,
    pub(super) heartbeat_requests: Receiver<()>,
    pub(super) tickets: AtomicU64,
    /// Number of requests served, for sampling.
    pub(super) served: AtomicU64,
    pub(super) changed: Event,
    /// Notified when declarations came into force.
    pub(super) configured: Event,
    pub(super) state: Mutex<State>,
}

/// Binds the sockets of a broker and starts its tasks.
///
/// # Errors
///
/// Fails when the settings don't describe a proxy, or a socket can't be bound.
pub async fn spawn(
    clock: Clock,
    settings: &config::Settings,
    codec: &'static dyn Codec,
) -> Result<Server, Error> {
    let proxy = settings.proxy.as_ref().ok_or(Error::NotProxy)?;
    let credentials = Credentials::open(&settings.security)?;
    let listener = TcpListener::bind(proxy.listen).await?;
    let admin = TcpListener::bind(proxy.admin).await?;
    let udp = UdpSocket::bind(proxy.address).await?;
    let peers = TcpListener::bind(proxy.address).await?;
    let (heartbeat_trigger, heartbeat_requests) = bounded(1);
    let incarnation = heartbeat::new_incarnation();
    let shared = Arc::new(Shared {
        clock,
        codec,
        metrics: Metrics::default(),
        shutdown: Shutdown::default(),
        credentials,
        node: settings.node.clone(),
        domain: settings.domain.clone(),
        seeds: Mutex::new(seeds(settings)),
        settings: proxy.clone(),
        incarnation,
        heartbeat_trigger,
        heartbeat_requests,
        tickets: AtomicU64::new(0),
        served: AtomicU64::new(0),
        changed: Event::new(),
        configured: Event::new(),
        state: Mutex::new(State {
            fence: Fence::new(incarnation),
            placement: proxy.placement,
            scheduling: proxy.scheduling,
            ..State::default()
        }),
    });
    smol::spawn(shared.credentials.clone().watch(shared.clock.clone())).detach();
    heartbeat::spawn(&shared, udp);
    smol::spawn(accept::run(Arc::clone(&shared), listener, caller::serve)).detach();
    smol::spawn(accept::run(Arc::clone(&shared), peers, serve::serve)).detach();
    smol::spawn(monitor::run(Arc::clone(&shared))).detach();
    smol::spawn(crate::admin::serve_metrics(shared.metrics.clone(), admin)).detach();
    Ok(Server { shared })
}

/// Returns the addresses of control processes that the settings name.
fn seeds(settings: &config::Settings) -> Vec<SocketAddr> {
    let named = settings.voters.iter().map(|voter| voter.address);
    let seeds = settings.seeds.iter().flat_map(|seeds| seeds.addresses.iter().copied());
    named.chain(seeds).collect()
}

impl Server {
    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Replaces the addresses of control processes by those of changed settings.
    pub fn update_seeds(&self, settings: &config::Settings) {
        *self.shared.seeds.lock().expect("no thread panics while holding this lock") =
            seeds(settings);
    }

    /// Returns whether the load balancer should send sessions here.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Shuts down gracefully: announces it to the load balancer first, then ends sessions between their transactions.
    /// What is still open after half of the grace period is aborted.
    pub async fn drain(&self) {
        let shared = &self.shared;
        let grace = shared.settings.grace.map_or(DEFAULT_GRACE, |grace| grace.0);
        let start = shared.clock.now();
        shared.shutdown.advance_to(Stage::Leaving);
        shared.request_heartbeat();
        shared.clock.sleep(BALANCER_NOTICE.min(grace / 3)).await;
        shared.shutdown.advance_to(Stage::Draining);
        let remaining = |until: Duration| (start + until).since(shared.clock.now());
        if shared
            .clock
            .timeout(remaining(grace / 2), shared.shutdown.wait_until_drained())
            .await
            .is_none()
        {
            shared.shutdown.advance_to(Stage::Aborting);
            let end = grace.saturating_sub(EXIT_MARGIN);
            shared.clock.timeout(remaining(end), shared.shutdown.wait_until_drained()).await;
        }
        log::info!("shutdown ends with {} sessions open", shared.shutdown.open_sessions());
    }
}
