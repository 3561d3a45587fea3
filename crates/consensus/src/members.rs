//! Membership of the group.

use std::collections::BTreeSet;

use sequoiayoke_model::id;

/// Voters, and learners that receive the log but do not vote.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    voters: BTreeSet<id::Replica>,
    learners: BTreeSet<id::Replica>,
}

/// Change of one member. A group changes by one voter at a time, so that the
/// majorities before and after always share a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a replica that receives the log but does not vote.
    AddLearner(id::Replica),
    /// Makes a learner that has caught up a voter.
    Promote(id::Replica),
    /// Removes a voter or learner.
    Remove(id::Replica),
}

/// Reason why a change is not possible from the present membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The replica to add is a member already.
    #[error("the replica is a member already")]
    Present,
    /// The replica to promote or remove is not a learner or not a member.
    #[error("the replica is no learner to promote, or no member to remove")]
    Absent,
    /// The change would leave no voter.
    #[error("no voter would be left")]
    LastVoter,
    /// The group has [`MAX_MEMBERS`] members.
    #[error("the group is full")]
    Full,
}

/// Largest number of members; the largest deployment has five voters, and a
/// whole set of replacements fits beside them.
pub const MAX_MEMBERS: usize = 15;

impl Members {
    /// Makes a membership. A replica listed as both is a voter.
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

    /// Returns voters, then learners.
    pub fn all(&self) -> impl Iterator<Item = id::Replica> + '_ {
        self.voters().chain(self.learners())
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.voters.len() + self.learners.len()
    }

    /// Returns whether there is no member.
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
    /// Returns the fault if the change does not fit the present membership.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_consensus::members;
    /// use sequoiayoke_model::id;
    ///
    /// let one = members::Members::new([id::Replica(1)], []);
    /// let two = one.with_change(members::Change::AddLearner(id::Replica(2)));
    /// assert_eq!(two.map(|members| members.len()), Ok(2));
    /// let none = one.with_change(members::Change::Remove(id::Replica(1)));
    /// assert_eq!(none, Err(members::Fault::LastVoter));
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
