//! The UDP socket for datagrams between sidecars. It identifies peers by their addresses and leaves the
//! content to the decision module: any datagram may be lost, delayed, duplicated or forged.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, Result};
use stagepond::host::Peer;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::messages::Input;
use crate::stream::RateLimitedLog;

/// Longest datagram that is sent; a longer one that arrives can't be a peer's and is dropped.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Pause after a failed receive, so that a lasting error does not make the loop spin.
const RECEIVE_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(10);

/// A bound UDP socket and the addresses of the peers.
pub struct PeerSocket {
    socket: Arc<UdpSocket>,
    addresses: Arc<[SocketAddr]>,
    all_peers_address: Option<SocketAddr>,
    warnings: RateLimitedLog,
}

impl PeerSocket {
    /// Binds the socket to `at`. `addresses` has the peers in the order of [`Peer`]; a datagram to
    /// `all_peers_address` reaches all of them.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        at: SocketAddr, addresses: Vec<SocketAddr>, all_peers_address: Option<SocketAddr>,
    ) -> Result<PeerSocket> {
        let socket = UdpSocket::bind(at).await.with_context(|| format!("peer_listen: {at}"))?;
        let (socket, addresses) = (Arc::new(socket), addresses.into());
        Ok(PeerSocket { socket, addresses, all_peers_address, warnings: RateLimitedLog::default() })
    }

    /// The address that the socket is bound to.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Sends a datagram to one peer, or to all of them if `to` is `None`. Never waits: if the operating
    /// system can't take the datagram now, it is lost like any other.
    pub fn send(&self, to: Option<Peer>, payload: &[u8]) {
        let address = match to {
            Some(Peer(peer)) => self.addresses.get(peer).copied(),
            None => self.all_peers_address,
        };
        let Some(address) = address.filter(|_| payload.len() <= MAX_DATAGRAM_BYTES) else {
            return self.warnings.warn(format_args!(
                "peers: datagram of {} bytes to {to:?} not sent: it is too long or the peer has no address",
                payload.len()
            ));
        };
        if let Err(error) = self.socket.try_send_to(payload, address) {
            self.warnings.warn(format_args!("peers: send to {address}: {error}"));
        }
    }

    /// Returns a future that receives datagrams until the receiver of `inputs` is closed. Datagrams of this
    /// sidecar itself (`own_peer`) are ignored; those from unknown addresses or longer than the limit are
    /// logged.
    pub fn receive(
        &self, own_peer: Peer, inputs: mpsc::Sender<Input>,
    ) -> impl std::future::Future<Output = ()> {
        let (socket, addresses) = (self.socket.clone(), self.addresses.clone());
        async move {
            let warnings = RateLimitedLog::default();
            // One byte more than the longest datagram, so that a longer one shows by its length.
            let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
            loop {
                let (len, from) = match socket.recv_from(&mut buffer).await {
                    Ok(received) => received,
                    // An earlier datagram could not be delivered; the socket itself still works.
                    Err(error) => {
                        warnings.warn(format_args!("peers: receive: {error}"));
                        tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                        continue;
                    }
                };
                let peer = addresses.iter().position(|a| *a == from).map(Peer);
                match peer.filter(|_| len <= MAX_DATAGRAM_BYTES) {
                    Some(peer) if peer == own_peer => {}
                    Some(from) => {
                        if inputs
                            .send(Input::PeerDatagram { from, payload: buffer[..len].to_vec() })
                            .await
                            .is_err()
                        {
                            return;
                        }
                    }
                    None => warnings.warn(format_args!("peers: {len} bytes from {from} dropped")),
                }
            }
        }
    }
}
