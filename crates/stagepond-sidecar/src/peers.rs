//! Datagrams between sidecars. It owns the UDP socket and knows peers by their addresses; it must never look
//! into a message: any may be lost, late, doubled or forged, and what it says is the module's matter.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, Result};
use stagepond::host::Peer;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::messages::Input;
use crate::stream::Complaints;

/// The longest datagram that may go out, and so the longest that can be a peer's.
const DATAGRAM_MAX: usize = 256;

/// An error that lasts must not make the loop spin.
const READ_AGAIN: std::time::Duration = std::time::Duration::from_millis(10);

pub struct Peers {
    socket: Arc<UdpSocket>,
    addresses: Arc<[SocketAddr]>,
    all: Option<SocketAddr>,
    complaints: Complaints,
}

impl Peers {
    pub async fn bind(at: SocketAddr, addresses: Vec<SocketAddr>, all: Option<SocketAddr>) -> Result<Peers> {
        let socket = UdpSocket::bind(at).await.with_context(|| format!("peer_listen: {at}"))?;
        let (socket, addresses) = (Arc::new(socket), addresses.into());
        Ok(Peers { socket, addresses, all, complaints: Complaints::default() })
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Never waits: a datagram that the system can't take now is one of those that get lost.
    pub fn tell(&self, to: Option<Peer>, words: &[u8]) {
        let address = match to {
            Some(Peer(peer)) => self.addresses.get(peer).copied(),
            None => self.all,
        };
        let Some(address) = address.filter(|_| words.len() <= DATAGRAM_MAX) else {
            return self.complaints.say(format_args!("peers: {} bytes to {to:?} not sent", words.len()));
        };
        if let Err(error) = self.socket.try_send_to(words, address) {
            self.complaints.say(format_args!("peers: to {address}: {error}"));
        }
    }

    pub fn listen(&self, me: Peer, inputs: mpsc::Sender<Input>) -> impl std::future::Future<Output = ()> {
        let (socket, addresses) = (self.socket.clone(), self.addresses.clone());
        async move {
            let complaints = Complaints::default();
            let mut words = [0; DATAGRAM_MAX + 1];
            loop {
                let (len, from) = match socket.recv_from(&mut words).await {
                    Ok(came) => came,
                    // An earlier datagram found nobody; the socket itself is well.
                    Err(error) => {
                        complaints.say(format_args!("peers: {error}"));
                        tokio::time::sleep(READ_AGAIN).await;
                        continue;
                    }
                };
                let peer = addresses.iter().position(|a| *a == from).map(Peer);
                match peer.filter(|_| len <= DATAGRAM_MAX) {
                    Some(peer) if peer == me => {}
                    Some(from) => {
                        if inputs
                            .send(Input::PeerDatagram { from, payload: words[..len].to_vec() })
                            .await
                            .is_err()
                        {
                            return;
                        }
                    }
                    None => complaints.say(format_args!("peers: {len} bytes from {from} dropped")),
                }
            }
        }
    }
}
