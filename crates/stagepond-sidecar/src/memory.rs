//! The memory of the process: how the limit is divided, and the budget of bytes that requests and responses
//! may hold. Everything that grows with traffic is bounded here; no other module reads the limit.
//!
//! A body is held in a buffer that carries its [`Reservation`], so that the bytes count until the last user of
//! the body has dropped it. Requests and responses share one part of the budget; another part is for responses
//! alone. Responses therefore come through while requests wait for memory, and a request that holds memory can
//! always be finished.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use stagepond::host::Tenths;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::message_progress::MAX_HEAD_BYTES;
use crate::messages::MAX_BODY_BYTES;

/// Part of the limit that nothing is planned for: what the allocator can't use again at once. The denominator.
const MARGIN_DIVISOR: usize = 8;
/// The program itself, the runtime, the module, the ids that must not run again, and the first
/// [`PODS_IN_PROCESS`] pods.
const PROCESS_BYTES: usize = 7 << 20;
/// Number of pods that count for the process.
const PODS_IN_PROCESS: usize = 512;
/// What a pod takes in the list, while a list is decoded, and in the module.
const POD_BYTES: usize = 2 << 10;
/// A client's connection with its task, its buffers and the fields of one head, without a body.
const CLIENT_CONNECTION_BYTES: usize = 36 << 10;
/// A connection to a pod with its tasks, its buffers and the fields of one head, without a body.
const POD_CONNECTION_BYTES: usize = 46 << 10;
/// Part of the limit that clients' connections may take with one message each. The denominator.
const CLIENTS_DIVISOR: f64 = 2.5;
/// What a request may hold beside its body before it counts: the fields of a usual head, once as they came and
/// once as they are sent on.
const HEAD_BYTES_IN_CONNECTION: usize = 4 << 10;
/// What one field of a head takes in the maps that hold it, without its name and value.
const FIELD_BYTES: usize = 256;
/// Part of the budget that is for responses alone. The denominator.
const RESPONSES_DIVISOR: usize = 8;
/// Longest wait of a request for memory. The request has to be received within its read timeout after that.
const MAX_REQUEST_WAIT: Tenths = Tenths::ms(1000);
/// Share of the client's time limit that a request may wait for memory.
const REQUEST_WAIT_SHARE: f64 = 0.4;
/// The budget holds at least this many of the longest bodies, however small the limit is.
const MIN_BODIES: usize = 8;

/// How the memory limit of the process is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Number of client connections.
    pub max_clients: usize,
    /// Number of connections to pods.
    pub max_pod_connections: usize,
    /// Bytes of the requests and responses that are held, without what counts for their connections.
    pub body_bytes: usize,
}

impl MemoryPlan {
    /// Divides a limit of `limit_bytes`, where descriptors allow this many connections.
    pub fn new(limit_bytes: usize, max_clients: usize, max_pod_connections: usize) -> MemoryPlan {
        let clients_in_memory =
            (limit_bytes as f64 / CLIENTS_DIVISOR) as usize / (MAX_HEAD_BYTES + MAX_BODY_BYTES);
        let max_clients = max_clients.min(clients_in_memory);
        // A client has one invocation open at most, and that mostly one dispatch.
        let max_pod_connections = max_pod_connections.min(clients_in_memory);
        let planned = limit_bytes / MARGIN_DIVISOR
            + PROCESS_BYTES
            + max_clients * CLIENT_CONNECTION_BYTES
            + max_pod_connections * POD_CONNECTION_BYTES;
        let body_bytes = limit_bytes.saturating_sub(planned).max(MIN_BODIES * MAX_BODY_BYTES);
        MemoryPlan { max_clients, max_pod_connections, body_bytes }
    }
}

/// How long a request with this time limit may wait for memory until it is refused.
pub fn longest_request_wait(limit: Tenths) -> Tenths {
    MAX_REQUEST_WAIT.min(limit.scale(REQUEST_WAIT_SHARE))
}

/// Bytes to reserve for a head beyond those that count for its connection.
pub fn head_bytes_to_reserve(headers: &HeaderMap) -> usize {
    let texts: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    (headers.len() * FIELD_BYTES + texts).saturating_sub(HEAD_BYTES_IN_CONNECTION)
}

/// Whose memory a reservation is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// What a client sends.
    Request,
    /// What a pod sends.
    Response,
}

/// Bytes that requests and responses may hold. Clones share one budget.
#[derive(Clone)]
pub struct MemoryBudget {
    shared: Arc<Semaphore>,
    responses: Arc<Semaphore>,
    taken_for_pods: Arc<AtomicUsize>,
    /// Bytes of the shared part that pods may take.
    max_for_pods: usize,
}

impl MemoryBudget {
    /// A budget of this many bytes, all of them free.
    pub fn new(bytes: usize) -> MemoryBudget {
        let for_responses = bytes / RESPONSES_DIVISOR;
        let for_both = bytes - for_responses;
        MemoryBudget {
            shared: Arc::new(Semaphore::new(for_both)),
            responses: Arc::new(Semaphore::new(for_responses)),
            taken_for_pods: Arc::default(),
            max_for_pods: for_both.saturating_sub(MIN_BODIES * MAX_BODY_BYTES),
        }
    }

    /// Takes what a list of this many pods needs out of the budget for good, as soon as it is free. Requests that
    /// come later wait behind it.
    pub fn make_room_for_pods(&self, pods: usize) {
        let needed = pods.saturating_sub(PODS_IN_PROCESS).saturating_mul(POD_BYTES).min(self.max_for_pods);
        let taken = self.taken_for_pods.fetch_max(needed, Ordering::Relaxed);
        let Some(missing) = needed.checked_sub(taken).filter(|missing| *missing > 0) else { return };
        let (shared, permits) = (self.shared.clone(), u32::try_from(missing).unwrap_or(u32::MAX));
        tokio::spawn(async move {
            let permit = shared.acquire_many_owned(permits).await;
            permit.expect("the budget is never closed").forget();
        });
    }

    /// Waits until `bytes` are free and takes them, in the order of the calls. More than the budget holds can
    /// never be taken; [`MemoryPlan`] leaves room for several of the longest bodies.
    pub async fn reserve(&self, bytes: usize, memory_use: MemoryUse) -> Reservation {
        let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
        let free = self.shared.clone().try_acquire_many_owned(permits).ok();
        let permit = match (free, memory_use) {
            (Some(permit), _) => Ok(permit),
            (None, MemoryUse::Request) => self.shared.clone().acquire_many_owned(permits).await,
            (None, MemoryUse::Response) => self.responses.clone().acquire_many_owned(permits).await,
        };
        Reservation { permit: permit.expect("the budget is never closed") }
    }
}

/// Bytes taken from a [`MemoryBudget`]; they are free again once it is dropped.
#[derive(Debug)]
pub struct Reservation {
    permit: OwnedSemaphorePermit,
}

impl Reservation {
    fn shrink_to(&mut self, bytes: usize) {
        let excess = self.permit.num_permits().saturating_sub(bytes);
        drop(self.permit.split(excess));
    }

    /// Turns a buffer into bytes that hold this reservation until the last of their clones is dropped. What is
    /// reserved beyond `kept_bytes` is given back.
    pub fn hold(mut self, buffer: Vec<u8>, kept_bytes: usize) -> Bytes {
        self.shrink_to(kept_bytes);
        Bytes::from_owner(ReservedBuffer { buffer, _reservation: self })
    }
}

/// A buffer with the reservation that it counts by.
struct ReservedBuffer {
    buffer: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}
