//! The handlers of requests: readiness checks, and invocations from their head to their answer.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Extension, Request, State as Shared};
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use hyper::body::Body as _;
use hyper::header::{self, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, StatusCode, Uri};
use stagepond::host::Tenths;
use tokio::sync::oneshot;

use super::{ConnectionHandle, Frontend, PendingAnswer};
use crate::body::{bytes_to_reserve, discard_body, read_body, BodyError};
use crate::connection::PeerState;
use crate::memory::head_bytes_to_reserve;
use crate::messages::*;
use crate::request_head::{bad_request, check_head};
use crate::responses::{answer_response, close_after, remove_hop_by_hop_headers, throttled_response};

/// Lets the other tasks run, and the runtime look at the sockets, before a request is answered that waits for
/// nothing else. A client that sends such requests without a pause would otherwise get answer after answer while
/// everything else waits.
async fn let_others_run() {
    tokio::task::yield_now().await;
}

/// Answers `GET /ready`: 200 while the sidecar takes invocations, otherwise 503.
pub(super) async fn ready(
    Shared(frontend): Shared<Arc<Frontend>>, Extension(connection): Extension<ConnectionHandle>,
) -> Response {
    frontend.connections().on_ready_asked(connection.id);
    let_others_run().await;
    let status =
        if frontend.ready.load(Ordering::Relaxed) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    status.into_response()
}

/// Rejects a request for `/ready` with another method than GET or HEAD: 405.
pub(super) async fn reject_ready_method() -> Response {
    let_others_run().await;
    close_after(StatusCode::METHOD_NOT_ALLOWED.into_response())
}

/// Wraps the handling of every request. Counts the answer, whichever handler made it, so that the connection
/// is known to be between two requests again; and closes the connection if its place is needed or if the
/// beginning of its next message can't be known.
pub(super) async fn track_answer(
    Shared(frontend): Shared<Arc<Frontend>>, Extension(connection): Extension<ConnectionHandle>,
    request: Request, next: Next,
) -> Response {
    // Without a Content-Length only the HTTP library knows where the next message begins, so none is read.
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let response = if connection.trace.has_ambiguous_length() {
        close_after(bad_request("the length of the body is given more than once").into_response())
    } else {
        next.run(request).await
    };
    frontend.connections().on_answered(connection.id, frontend.clock.now());
    frontend.connections_changed.notify_one();
    if is_chunked || frontend.closes_after_answer(connection.id) {
        close_after(response)
    } else {
        response
    }
}

/// Held while an invocation waits for its answer. If it is dropped before the answer, as when the client
/// disconnects, it reports [`Input::ClientDisconnected`] to the reducer.
struct DisconnectGuard {
    frontend: Arc<Frontend>,
    number: InvocationNumber,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.frontend.pending_answers().remove(&self.number).is_some() {
            let _ = self.frontend.inputs.send(Input::ClientDisconnected(self.number));
        }
    }
}

/// Copies the target and the headers of a request out of the buffer that they were received in. The buffer would
/// be kept with them while the body is received into others.
fn copy_head(uri: &Uri, headers: &HeaderMap) -> (PathAndQuery, HeaderMap) {
    let target = uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let target = PathAndQuery::try_from(target).unwrap_or_else(|_| PathAndQuery::from_static("/"));
    let mut copy = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let value =
            HeaderValue::from_bytes(value.as_bytes()).expect("a header value is one when it is copied");
        copy.append(name, value);
    }
    (target, copy)
}

/// The target and the headers of a request, as they are forwarded.
fn take_head(uri: Uri, headers: HeaderMap, has_body: bool) -> (PathAndQuery, HeaderMap) {
    let (target, mut headers) = match (has_body, uri.path_and_query()) {
        (false, Some(target)) => (target.clone(), headers),
        _ => copy_head(&uri, &headers),
    };
    remove_hop_by_hop_headers(&mut headers);
    (target, headers)
}

/// Receives the body of an invocation once there is memory for it and for a long head. Fails with the response
/// to a request that can't be received.
async fn receive_body(
    frontend: &Frontend, connection: &ConnectionHandle, headers: &HeaderMap, body: Body, limit: Tenths,
) -> Result<Bytes, Response> {
    let reject = |error| {
        close_after(match error {
            BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
            error => bad_request(&error.to_string()).into_response(),
        })
    };
    let head_bytes = head_bytes_to_reserve(headers);
    let bytes = head_bytes + bytes_to_reserve(&body, MAX_BODY_BYTES).map_err(reject)?;
    if bytes == 0 {
        return Ok(Bytes::new());
    }
    frontend.connections().on_body_waiting(connection.id);
    let Some(reservation) = frontend.reserve_memory(bytes, limit).await else {
        // The answer could be lost if the connection ended while bytes of the request are unread.
        discard_body(body, MAX_BODY_BYTES).await.map_err(reject)?;
        return Err(throttled_response(Tenths(0)));
    };
    frontend.connections().on_body_begun(connection.id, frontend.clock.now());
    let body = read_body(body, MAX_BODY_BYTES).await.map_err(reject)?;
    let kept_bytes = head_bytes + body.len();
    Ok(reservation.hold(body, kept_bytes))
}

/// Handles an invocation: checks it, reports it to the reducer and waits for the answer.
pub(super) async fn invoke(
    Shared(frontend): Shared<Arc<Frontend>>, Extension(connection): Extension<ConnectionHandle>,
    invocation: Request,
) -> Response {
    let (head, body) = invocation.into_parts();
    let checked = check_head(&frontend.operations, &head.method, &head.uri, &head.headers);
    let (op, request_id, limit) = match checked {
        Ok(checked) => checked,
        Err(rejection) => return close_after(rejection.into_response()),
    };
    let method = head.method;
    let (target, headers) = take_head(head.uri, head.headers, !body.is_end_stream());
    let body = match receive_body(&frontend, &connection, &headers, body, limit).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let request = Arc::new(ForwardedRequest { method, target, headers, body });
    let peer = connection.trace.peer_state();
    if peer != PeerState::Present {
        tracing::debug!(event = "not_begun", id = %request_id.0, connection = connection.id.0, client = ?peer, "inv");
        let_others_run().await;
        let response = throttled_response(Tenths(0));
        return if peer == PeerState::Gone { close_after(response) } else { response };
    }
    let number = InvocationNumber(frontend.next_number.fetch_add(1, Ordering::Relaxed));
    tracing::debug!(event = "received", ticket = number.0, connection = connection.id.0, "inv");
    let (sender, answer) = oneshot::channel();
    frontend.pending_answers().insert(number, PendingAnswer { sender, trace: connection.trace.clone() });
    frontend.connections().on_invocation(connection.id);
    let guard = DisconnectGuard { frontend: frontend.clone(), number };
    let deadline = connection.trace.last_received_at() + limit;
    let _ = frontend.inputs.send(Input::InvocationReceived { number, request_id, request, op, deadline });
    let answer = answer.await;
    drop(guard);
    answer_response(answer)
}
