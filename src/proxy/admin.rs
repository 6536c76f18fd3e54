//! The HTTP endpoints of a proxy: announcements of instances, metrics, and the queries of operators.

use std::sync::Arc;

use hyper::{Method, StatusCode};
use smol::net::TcpListener;

use super::server::{Server, Shared};
use crate::admin::{self, Reply, Request};
use crate::report::Peer;
use crate::security::Unauthorized;
use crate::upstream::announcement::Announcement;

/// Serves HTTP requests. Returns only if the listener fails.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let handler = move |request| {
        let shared = Arc::clone(&shared);
        async move { handle(&shared, &request) }
    };
    if let Err(error) = admin::serve(listener, handler).await {
        log::error!(
            "HTTP endpoint failed, operators and announcements are no longer served: {error}"
        );
    }
}

fn handle(shared: &Arc<Shared>, request: &Request) -> Reply {
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/announce") => match Announcement::decode(&request.body) {
            Ok(Announcement { replica, .. }) => {
                shared.add_instance(replica, Some(shared.clock.now()));
                Reply::json(&())
            }
            Err(error) => Reply::refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (&Method::GET, "/metrics") => {
            shared.update_connection_gauges();
            Reply::metrics(shared.metrics.encode())
        }
        (&Method::GET, "/revision") => Reply::json(&Server::new(shared).revision()),
        (&Method::GET, "/burn") => {
            match shared.credentials.operators.identify(request.token.as_deref()) {
                Ok(_) => Reply::json(&shared.burn_snapshot()),
                Err(denied) => reject_token(shared, denied),
            }
        }
        _ => Reply::refuse(StatusCode::NOT_FOUND, "there is nothing here"),
    }
}

fn reject_token(shared: &Shared, denied: Unauthorized) -> Reply {
    shared.metrics.record_protocol_error(Peer::Operator, "token");
    Reply::refuse(StatusCode::UNAUTHORIZED, &denied.to_string())
}
