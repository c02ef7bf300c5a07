//! Membership changes (paper, section 6) and leadership transfers (thesis, section 3.10).

use super::{CommandError, LeadershipTransfer, Progress, RaftNode, Role};
use crate::ids::*;
use crate::log::{Command, Voters};
use crate::members::Members;
use crate::planted::Fault;
use crate::wire::Message;

impl RaftNode {
    /// Replaces a voter that is gone, and transfers leadership to a lower seat if the settings prefer that.
    pub(super) fn review_membership(&mut self, now: Tenths, members: &Members) {
        self.replace_voter(now, members);
        if !self.settings.prefer_lowest_seat {
            return;
        }
        let Role::Leader(leader) = &self.role else { return };
        if now < leader.leader_since + self.settings.min_transfer_interval || leader.transfer.is_some() {
            return;
        }
        let last = self.persistent.log.last().1;
        let preferred = |(v, p): (&Voter, &Progress)| {
            let responsive = now >= p.responsive_since + self.settings.min_transfer_interval;
            (v.seat < self.id.seat && responsive && p.match_number == last).then_some(v.seat)
        };
        let successor = leader.followers.iter().find_map(preferred);
        if let Some(seat) = successor.filter(|seat| members.is_alive(*seat)) {
            let _ = self.transfer_leadership(now, seat);
        }
    }

    /// Starts a membership change for a voter that is gone, or that restarted without its memory. One voter
    /// is replaced at a time.
    fn replace_voter(&mut self, now: Tenths, members: &Members) {
        let voters = self.voters();
        if self.persistent.log.has_uncommitted_voters() || self.lease(now).is_none() {
            return;
        }
        if voters.change.is_some() {
            return self.on_voters_committed(now);
        }
        let restarted = voters.now.iter().find_map(|v| {
            let memory = members.memory(v.seat).filter(|m| *m != v.memory && v.seat != self.id.seat)?;
            Some((*v, Voter { seat: v.seat, memory }))
        });
        let replaced = || {
            let gone = |v: &&Voter| {
                let since = members.gone_since(v.seat);
                since.is_some_and(|since| now >= since + self.settings.replace_after)
            };
            let removed = voters.now.iter().find(gone)?;
            let pool = self.settings.pool.iter().filter(|seat| !voters.now.iter().any(|v| v.seat == **seat));
            let (seat, memory) = pool.filter_map(|seat| Some((*seat, members.memory(*seat)?))).next()?;
            Some((*removed, Voter { seat, memory }))
        };
        let Some((removed, added)) = restarted.or_else(replaced) else { return };
        let joint = Voters { now: voters.now, change: Some((removed, added)) };
        let voters =
            if self.planted.has(Fault::NoJointQuorum) { Voters::single(joint.target()) } else { joint };
        self.append_command(Command::Voters(voters));
        self.sync_followers(now);
    }

    /// Starts a leadership transfer to the voter at a seat.
    ///
    /// The leader gives up its lease at once. It asks the successor to start an election when no lease
    /// granted before can still be valid and the successor's log is complete.
    pub fn transfer_leadership(&mut self, now: Tenths, to: Seat) -> Result<(), CommandError> {
        let not_before = now + self.settings.max_grant_time;
        let deadline = not_before + self.settings.heartbeat_interval() + self.settings.heartbeat_interval();
        let known_leader = self.leader;
        let Role::Leader(leader) = &mut self.role else { return Err(CommandError::NotLeader(known_leader)) };
        if !leader.followers.keys().any(|v| v.seat == to) {
            return Err(CommandError::UnknownSuccessor);
        }
        if leader.transfer.is_none() {
            leader.transfer = Some(LeadershipTransfer { to, not_before, deadline });
        }
        Ok(())
    }

    /// If this instance leads, starts a transfer to the follower with the longest matching log.
    pub fn transfer_before_leaving(&mut self, now: Tenths) {
        let Role::Leader(leader) = &self.role else { return };
        let best = leader.followers.iter().max_by_key(|(v, p)| (p.match_number, std::cmp::Reverse(v.seat)));
        if let Some(seat) = best.map(|(v, _)| v.seat) {
            let _ = self.transfer_leadership(now, seat);
        }
    }

    /// Tells the successor to take over once it is caught up and no earlier lease can be valid.
    pub(super) fn continue_transfer(&mut self, now: Tenths) {
        let last = self.persistent.log.last().1;
        let Role::Leader(leader) = &self.role else { return };
        // A lease granted before the transfer began may be used until `not_before`.
        let Some(transfer) = leader.transfer.filter(|transfer| now >= transfer.not_before) else { return };
        let to = transfer.to;
        let caught_up = leader.followers.iter().any(|(v, p)| v.seat == to && p.match_number == last);
        if !caught_up {
            // The next answer of the successor continues the transfer; no timer is needed before the
            // deadline.
            if let Role::Leader(leader) = &mut self.role {
                leader.transfer = Some(LeadershipTransfer { not_before: Tenths(0), ..transfer });
            }
        } else {
            let term = self.persistent.term;
            self.send(to, Message::TimeoutNow { term });
            if !self.planted.has(Fault::TransferKeepsMandate) {
                self.step_down(now, "handed over");
                // Leaves the successor time to start its election first.
                self.election_at = now + self.settings.hold_time + self.election_delay();
            }
        }
    }

    /// The leader asks this instance to take over (`TimeoutNow` in the thesis, section 3.10).
    pub(super) fn on_timeout_now(&mut self, now: Tenths, from: Seat, term: Term) {
        if term == self.persistent.term && self.leader == Some(from) && !self.is_leader() && self.can_vote() {
            self.start_election(now, Some(term));
            self.count_votes(now);
        }
    }
}
