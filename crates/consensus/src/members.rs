//! Membership of the group.

use std::collections::BTreeSet;

use sequoiayoke_model::id;

/// Members of the group: voters, and learners that receive the log but do not vote.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    voters: BTreeSet<id::Replica>,
    learners: BTreeSet<id::Replica>,
}

/// Change of a single member. A group changes by one voter at a time, so that
/// any majority before the change shares a replica with any majority after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a replica that receives the log but does not vote.
    AddLearner(id::Replica),
    /// Promotes a learner that has caught up to a voter.
    Promote(id::Replica),
    /// Removes a voter or learner.
    Remove(id::Replica),
}

/// Reason why a change does not fit the current membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The replica to add is already a member.
    #[error("the replica is already a member")]
    Present,
    /// The replica to promote is not a learner, or the replica to remove is not a member.
    #[error("the replica to promote is not a learner, or the replica to remove is not a member")]
    Absent,
    /// The change would leave no voter.
    #[error("the change would leave no voter")]
    LastVoter,
    /// The group already has [`MAX_MEMBERS`] members.
    #[error("the group already has the largest number of members")]
    Full,
}

/// Largest number of members. The largest deployment has five voters, and the
/// limit leaves room for a replacement of each of them.
pub const MAX_MEMBERS: usize = 15;

impl Members {
    /// Creates a membership. A replica listed as voter and as learner is a voter.
    pub fn new<V, L>(voters: V, learners: L) -> Self
    where
        V: IntoIterator<Item = id::Replica>,
        L: IntoIterator<Item = id::Replica>,
    {
        let voters: BTreeSet<_> = voters.into_iter().collect();
        let learners = learners
            .into_iter()
            .filter(|learner| !voters.contains(learner))
            .collect();
        Self { voters, learners }
    }

    /// Returns the voters in order.
    pub fn voters(&self) -> impl Iterator<Item = id::Replica> + '_ {
        self.voters.iter().copied()
    }

    /// Returns the learners in order.
    pub fn learners(&self) -> impl Iterator<Item = id::Replica> + '_ {
        self.learners.iter().copied()
    }

    /// Returns the voters in order, then the learners in order.
    pub fn all(&self) -> impl Iterator<Item = id::Replica> + '_ {
        self.voters().chain(self.learners())
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.voters.len() + self.learners.len()
    }

    /// Returns whether the group has no members.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether `replica` is a voter.
    pub fn is_voter(&self, replica: id::Replica) -> bool {
        self.voters.contains(&replica)
    }

    /// Returns whether `replica` is a voter or learner.
    pub fn contains(&self, replica: id::Replica) -> bool {
        self.is_voter(replica) || self.learners.contains(&replica)
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the membership after `change`.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the change does not fit the current membership.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_consensus::members;
    /// use sequoiayoke_model::id;
    ///
    /// let members = members::Members::new([id::Replica(1)], []);
    /// let added = members.with_change(members::Change::AddLearner(id::Replica(2)));
    /// assert_eq!(added.map(|members| members.len()), Ok(2));
    /// let removed = members.with_change(members::Change::Remove(id::Replica(1)));
    /// assert_eq!(removed, Err(members::Fault::LastVoter));
    /// ```
    pub fn with_change(&self, change: Change) -> Result<Self, Fault> {
        let mut next = self.clone();
        match change {
            Change::AddLearner(replica) => {
                if self.contains(replica) {
                    return Err(Fault::Present);
                }
                if self.len() >= MAX_MEMBERS {
                    return Err(Fault::Full);
                }
                next.learners.insert(replica);
            }
            Change::Promote(replica) => {
                if !next.learners.remove(&replica) {
                    return Err(Fault::Absent);
                }
                next.voters.insert(replica);
            }
            Change::Remove(replica) => {
                if !next.learners.remove(&replica) && !next.voters.remove(&replica) {
                    return Err(Fault::Absent);
                }
                if next.voters.is_empty() {
                    return Err(Fault::LastVoter);
                }
            }
        }
        Ok(next)
    }
}
