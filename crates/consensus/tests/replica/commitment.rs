//! Commitment rule of a leader.

use sequoiayoke_consensus::{config, effect, entry, event, message, position, replica, stored};
use sequoiayoke_model::id;

/// Guards against committing an entry of an earlier term because a majority has
/// it: a leader elected in a term between could still replace that entry.
#[test]
fn an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_current_term() {
    let [own_id, voter, other_voter] = [1, 2, 3].map(id::Replica);
    let mut stored = stored::Stored::default();
    stored.hard.term = position::Term(3);
    stored.entries = vec![entry::Entry {
        position: position::Position::new(2, 1),
        content: entry::Content::Payload("old".to_owned()),
    }];
    let config = config::Config::new(own_id).with_voters([own_id, voter, other_voter]);
    let start = Default::default();
    let mut replica = replica::Replica::new(config, stored, start);
    let now = replica.next_deadline();
    replica.step(now, event::Event::Tick);
    let term = position::Term(4);
    let matched = |index| message::Body::Appended {
        outcome: message::Outcome::Matched(position::Index(index)),
        sent: now,
    };
    let bodies = [
        (message::Body::PreVoted { granted: true }, 0),
        (message::Body::Voted { granted: true }, 0),
        (matched(1), 0),
        (matched(2), 2),
    ];
    for (body, expected) in bodies {
        let message = message::Message { term, body };
        let from = voter;
        let effects = replica.step(now, event::Event::Received { from, message });
        let committed = effects.iter().map(|effect| match effect {
            effect::Effect::Commit(entries) => entries.len(),
            _ => 0,
        });
        assert_eq!(committed.sum::<usize>(), expected, "{effects:?}");
        assert_eq!(replica.is_authoritative(now), expected > 0);
    }
}
