//! Fetching committed entries or a snapshot from another instance, which need not be the leader.

use super::{Event, RaftNode};
use crate::ids::*;
use crate::log::{Entry, Snapshot};
use crate::wire::{take_fitting, Message, MAX_BODY_BYTES, MAX_SNAPSHOT_BYTES, SNAPSHOT_PIECE_BYTES};

/// Bytes of a message body that are reserved beside the entries of an answer to a fetch.
const FETCHED_ENTRIES_OVERHEAD: usize = 8;

/// A fetch of committed entries, or of a snapshot, from another instance.
#[derive(Clone, Debug, Hash)]
pub(super) struct CatchUp {
    pub(super) from: Seat,
    pub(super) until: Tenths,
    /// Position of the snapshot that is being received.
    pub(super) snapshot_number: Number,
    pub(super) pieces: Vec<Option<Vec<u8>>>,
    pub(super) next: u16,
}

impl RaftNode {
    /// Another instance reported its last committed entry. Fetches what is missing here.
    pub fn on_peer_commit(&mut self, now: Tenths, from: Seat, committed: (Term, Number)) {
        if committed <= self.committed() || now < self.catch_up_at {
            return;
        }
        // An accepted era begins with the log of its leader, which may lack what a peer had committed before.
        if self.pending_first_term().is_some_and(|first_term| committed.0 < first_term) {
            return self.report_pending_era(now, from);
        }
        self.start_catch_up(now, from);
    }

    /// Tells a peer that commits in an earlier era the term of the one that this instance has accepted, once
    /// that should have begun. A group that goes on without it then moves to a later term, from which this
    /// instance may fetch: the era can't begin any more, since it needs the whole pool.
    fn report_pending_era(&mut self, now: Tenths, to: Seat) {
        if now >= self.bootstrap_overdue_at {
            let (term, memory) = (self.persistent.term, self.id.memory);
            self.send(to, Message::VoteAnswer { term, memory, granted: false });
        }
    }

    pub(super) fn start_catch_up(&mut self, now: Tenths, from: Seat) {
        if self.catch_up.is_none() {
            let until = now + Tenths(self.settings.round_trip.0 * 2);
            let pieces = Vec::new();
            self.catch_up = Some(CatchUp { from, until, snapshot_number: Number(0), pieces, next: 0 });
            let after = self.committed();
            self.send(from, Message::Fetch { after, piece: 0, snapshot_number: Number(0) });
        }
    }

    /// Answers with committed entries if the next ones that the peer lacks are still kept and can be committed one
    /// by one, otherwise with a piece of the snapshot.
    pub(super) fn on_fetch(
        &mut self, from: Seat, after: (Term, Number), piece: u16, snapshot_number: Number,
    ) {
        let log = &self.persistent.log;
        if snapshot_number == Number(0) && after >= self.committed() {
            return;
        }
        let transferable = log.transferable_after(after).filter(|_| snapshot_number == Number(0));
        let entries = transferable
            .map(|entries| take_fitting(entries, MAX_BODY_BYTES - FETCHED_ENTRIES_OVERHEAD))
            .unwrap_or_default();
        if !entries.is_empty() {
            return self.send(from, Message::FetchedEntries { entries });
        }
        let snapshot = ::postcard::to_allocvec(log.committed()).expect("plain values have an encoding");
        let total = snapshot.len().div_ceil(SNAPSHOT_PIECE_BYTES);
        // The snapshot may have changed since the first piece was sent; then it is sent from the start again.
        let piece = if snapshot_number == log.commit_number() { usize::from(piece) } else { 0 };
        if total * SNAPSHOT_PIECE_BYTES > MAX_SNAPSHOT_BYTES || piece >= total {
            return;
        }
        let bytes =
            snapshot[piece * SNAPSHOT_PIECE_BYTES..].iter().take(SNAPSHOT_PIECE_BYTES).copied().collect();
        let (snapshot_number, total, piece) = (log.commit_number(), total as u16, piece as u16);
        self.send(from, Message::SnapshotPiece { snapshot_number, total, piece, bytes });
    }

    pub(super) fn on_fetched_entries(&mut self, now: Tenths, from: Seat, entries: Vec<Entry>) {
        let requested = self.catch_up.as_ref().is_some_and(|c| c.from == from);
        if !requested {
            return;
        }
        self.catch_up = None;
        for entry in entries {
            let term = entry.term;
            let new = self.persistent.log.store_committed(entry);
            if !new.is_empty() {
                self.bootstrap_promise = None;
                self.advance_term(now, term);
            }
            self.on_committed(now, new);
        }
        self.catch_up_at = now;
    }

    /// Collects the pieces of a snapshot, asks for the next missing one, and installs the snapshot once it is
    /// complete.
    pub(super) fn on_snapshot_piece(
        &mut self, now: Tenths, from: Seat, snapshot_number: Number, total: u16, piece: u16, bytes: Vec<u8>,
    ) {
        let round_trip = self.settings.round_trip;
        let Some(catch_up) = self.catch_up.as_mut().filter(|c| c.from == from) else { return };
        if catch_up.snapshot_number != snapshot_number || catch_up.pieces.len() != usize::from(total) {
            catch_up.snapshot_number = snapshot_number;
            catch_up.pieces = vec![None; usize::from(total)];
            catch_up.next = 0;
        }
        catch_up.pieces[usize::from(piece)] = Some(bytes);
        catch_up.until = now + Tenths(round_trip.0 * 2);
        if let Some(missing) = catch_up.pieces.iter().position(Option::is_none) {
            let after = self.committed();
            return self.send(from, Message::Fetch { after, piece: missing as u16, snapshot_number });
        }
        let bytes: Vec<u8> = std::mem::take(&mut catch_up.pieces).into_iter().flatten().flatten().collect();
        self.catch_up = None;
        self.catch_up_at = now;
        let Ok(snapshot) = ::postcard::from_bytes::<Snapshot>(&bytes) else { return };
        let term = snapshot.term;
        if snapshot.number == snapshot_number
            && !self.is_leader()
            && self.persistent.log.install_snapshot(snapshot)
        {
            // What the initiator of a bootstrap was told of this log no longer holds.
            self.bootstrap_promise = None;
            self.persistence.mark_dirty();
            self.advance_term(now, term);
            self.events.push(Event::SnapshotInstalled { number: snapshot_number });
        }
    }
}
