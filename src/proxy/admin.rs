//! What a proxy answers over HTTP: announcements of instances, metrics, and what operators ask.

use std::sync::Arc;

use hyper::{Method, StatusCode};
use smol::net::TcpListener;

use super::server::{Server, Shared};
use crate::admin::{self, Reply, Request};
use crate::report::Peer;
use crate::security::Unauthorized;
use crate::upstream::announcement::Announcement;

/// Serves for ever.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let handle = move |request| {
        let shared = Arc::clone(&shared);
        async move { answer(&shared, &request) }
    };
    if let Err(error) = admin::serve(listener, handle).await {
        log::error!("operators can't be served any more: {error}");
    }
}

fn answer(shared: &Arc<Shared>, request: &Request) -> Reply {
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/announce") => match serde_json::from_slice(&request.body) {
            Ok(Announcement { replica, .. }) => {
                shared.learn(replica, Some(shared.clock.now()));
                Reply::json(&())
            }
            Err(error) => Reply::refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (&Method::GET, "/metrics") => {
            shared.count_connections();
            Reply::metrics(shared.metrics.encode())
        }
        (&Method::GET, "/revision") => Reply::json(&Server::of(shared).revision()),
        (&Method::GET, "/burn") => {
            match shared.credentials.operators.identify(request.token.as_deref()) {
                Ok(_) => Reply::json(&shared.account()),
                Err(denied) => refuse(shared, denied),
            }
        }
        _ => Reply::refuse(StatusCode::NOT_FOUND, "there is nothing here"),
    }
}

fn refuse(shared: &Shared, denied: Unauthorized) -> Reply {
    shared.metrics.record_protocol_error(Peer::Operator, "token");
    Reply::refuse(StatusCode::UNAUTHORIZED, &denied.to_string())
}
