//! Checks the head of a client's request: the operation, the id and the time limit of an invocation. It reads
//! headers and keeps nothing.

use hyper::{header, HeaderMap, Method, StatusCode, Uri};
use stagepond::host::{Op, RetrySafety, Tenths};

use crate::messages::{RequestId, MAX_BODY_BYTES};

/// Longest accepted `X-Request-ID`, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Largest accepted time limit: no client waits longer on one connection, and the decision module forgets
/// machines that have been gone for longer.
const MAX_TIME_LIMIT: Tenths = Tenths::ms(600_000);

/// Header that carries the client's id of the invocation.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
const OPERATION_HEADER: &str = "x-priority-class";
const TIME_LIMIT_HEADER: &str = "x-timeout-ms";
const FINGERPRINT_HEADER: &str = "idempotency-key";

/// The configured operations in the order of [`Op`]: the name, which is the first path segment, and how an
/// invocation of it may be repeated.
pub struct Operations(pub Vec<(String, RetrySafety)>);

/// Status and text of the answer to a request that is rejected without a dispatch.
pub type Rejection = (StatusCode, String);

/// A 400 with this reason.
pub fn bad_request(reason: &str) -> Rejection {
    (StatusCode::BAD_REQUEST, format!("{reason}\n"))
}

/// Reads the operation, id and time limit of an invocation from the head of its request. The body is read
/// only after this has succeeded.
pub fn check_head(
    operations: &Operations, method: &Method, uri: &Uri, headers: &HeaderMap,
) -> Result<(Op, RequestId, Tenths), Rejection> {
    let first_segment = uri.path().split('/').nth(1).unwrap_or_default();
    let op = operations.0.iter().position(|(name, _)| name == first_segment);
    let op =
        op.ok_or_else(|| (StatusCode::NOT_FOUND, format!("operation {first_segment:?} does not exist\n")))?;
    // A header that is given twice is rejected: the pod might read the other value.
    let single = |name: &str| headers.get(name).filter(|_| headers.get_all(name).iter().count() == 1);
    let text = |name: &str| single(name).and_then(|v| v.to_str().ok()).filter(|v| !v.is_empty());
    if text(OPERATION_HEADER) != Some(first_segment) {
        return Err(bad_request("X-Priority-Class must be given once and equal the first path segment"));
    }
    let request_id = text(REQUEST_ID_HEADER).filter(|id| id.len() <= MAX_REQUEST_ID_BYTES);
    let request_id = request_id.ok_or_else(|| {
        bad_request(&format!(
            "X-Request-ID must be given once, with 1 to {MAX_REQUEST_ID_BYTES} visible ASCII characters"
        ))
    })?;
    let digits = text(TIME_LIMIT_HEADER).filter(|ms| ms.bytes().all(|digit| digit.is_ascii_digit()));
    let limit = digits.and_then(|ms| ms.parse().ok()).map(Tenths::ms);
    let limit = limit.filter(|limit| Tenths(0) < *limit && *limit <= MAX_TIME_LIMIT);
    let limit = limit.ok_or_else(|| {
        bad_request(&format!(
            "X-Timeout-Ms must be given once, as a whole number of milliseconds from 1 to {}",
            MAX_TIME_LIMIT.0 / 10
        ))
    })?;
    let retry_safety = operations.0[op].1;
    if (retry_safety == RetrySafety::Idempotent) != (method == Method::GET)
        || retry_safety != RetrySafety::Idempotent && method != Method::POST
    {
        return Err(bad_request("the method must be GET for an idempotent operation and POST for any other"));
    }
    if retry_safety == RetrySafety::Fingerprinted && text(FINGERPRINT_HEADER).is_none() {
        return Err(bad_request("Idempotency-Key must be given once and not be empty"));
    }
    let length = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if length.is_some_and(|length| length > MAX_BODY_BYTES as u64) {
        return Err((
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("the body is longer than {MAX_BODY_BYTES} bytes\n"),
        ));
    }
    Ok((Op(op), RequestId(request_id.into()), limit))
}
