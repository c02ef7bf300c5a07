//! The HTTP responses of the sidecar: conversion of final answers, and headers that end a connection or must
//! not be forwarded.

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::StatusCode;
use stagepond::host::Tenths;
use tokio::sync::oneshot;

use crate::messages::FinalAnswer;

const LOAD_HEADER: &str = "x-server-load";
const CHECK_FAILED_HEADER: &str = "x-check-failed";

/// Headers that concern a single connection and are not forwarded in either direction (RFC 9110, section
/// 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers that concern a single connection.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    HOP_BY_HOP_HEADERS.iter().for_each(|name| drop(headers.remove(name)));
}

/// Makes a response the last one on its connection. Rejected requests use it because the next message may
/// have the same fault, and it can be in doubt where that message begins.
pub fn close_after(mut response: Response) -> Response {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A 503 response, which says that a retry is harmless, with `Retry-After` in decimal seconds if `retry_after` is above zero.
pub fn throttled_response(retry_after: Tenths) -> Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    if retry_after.0 > 0 {
        let seconds = format!("{}.{:04}", retry_after.0 / 10_000, retry_after.0 % 10_000);
        let seconds = seconds.trim_end_matches('0').trim_end_matches('.').parse();
        response.headers_mut().insert(header::RETRY_AFTER, seconds.expect("digits and a point"));
    }
    response
}

/// Converts a final answer to the HTTP response.
pub fn answer_response(answer: Result<FinalAnswer, oneshot::error::RecvError>) -> Response {
    match answer {
        Ok(FinalAnswer::Succeeded(forwarded)) => {
            let mut response = Response::new(Body::from(forwarded.body));
            *response.headers_mut() = forwarded.headers;
            remove_hop_by_hop_headers(response.headers_mut());
            response.headers_mut().remove(LOAD_HEADER);
            response
        }
        Ok(FinalAnswer::Throttled { retry_after }) => throttled_response(retry_after),
        Ok(FinalAnswer::RequestIdInUse) => StatusCode::CONFLICT.into_response(),
        Ok(FinalAnswer::MayHaveRun) => {
            (StatusCode::CONFLICT, "an earlier request with this id may have run\n").into_response()
        }
        Ok(FinalAnswer::Unverified { failed_check, retry_after }) => {
            let text = format!("no pod returned content that matches the signed metadata: {failed_check}\n");
            let mut response = match retry_after {
                Some(retry_after) => throttled_response(retry_after),
                None => StatusCode::BAD_GATEWAY.into_response(),
            };
            response.headers_mut().insert(CHECK_FAILED_HEADER, HeaderValue::from_static(failed_check));
            *response.body_mut() = Body::from(text);
            response
        }
        // A dropped sender means that the program ends without this answer. The invocation may have run, so
        // the answer must not say that a retry is harmless.
        Ok(FinalAnswer::Terminated) | Err(_) => StatusCode::BAD_GATEWAY.into_response(),
    }
}
