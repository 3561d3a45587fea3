//! Conversion between exported records of request ids and wire messages.

use bytes::Bytes;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::outcome;
use sequoiayoke_model::request;
use sequoiayoke_traffic::window;
use sequoiayoke_wire::session;

/// Encodes an exported record of ids.
pub fn encode(export: &window::Export) -> session::Window {
    let entries = export.records.iter().map(|record| {
        let (status, answer) = match &record.state {
            window::State::Answered(None) => (ANSWER_NOT_KEPT, None),
            window::State::Answered(Some(answer)) => {
                // Headers are omitted, since an exported record has to fit into one frame.
                let body = Bytes::copy_from_slice(&answer.body);
                (u32::from(answer.status), Some(body))
            }
            window::State::Unknown(_) => (0, None),
        };
        session::Entry {
            epoch: record.id.epoch().0,
            issued_ms: record.id.issued_ms(),
            random: record.id.random(),
            hash: record.hash.0,
            status,
            answer,
        }
    });
    session::Window {
        since: export.since.0,
        // 0 means that no id was evicted; no id was issued in 1970.
        floor: export.floor.unwrap_or(0),
        entries: entries.collect(),
    }
}

/// Encoded status of an id that was answered and whose answer was not stored.
const ANSWER_NOT_KEPT: u32 = 1;

/// Decodes a record of ids that was exported under `epoch`.
pub fn decode(epoch: id::Epoch, window: session::Window) -> window::Export {
    let records = window.entries.into_iter().map(|entry| {
        let state = match (entry.status, entry.answer) {
            (0, _) => window::State::Unknown(outcome::Reason::ConnectionLost),
            (status, Some(body)) => window::State::Answered(Some(window::Answer {
                status: u16::try_from(status).unwrap_or(502),
                headers: Vec::new(),
                body: body.to_vec(),
            })),
            (_, None) => window::State::Answered(None),
        };
        let epoch = id::Epoch(entry.epoch);
        window::Record {
            id: request::Id::new(epoch, entry.issued_ms, entry.random),
            hash: key::Hash(entry.hash),
            state,
        }
    });
    window::Export {
        epoch,
        since: id::Epoch(window.since),
        floor: (window.floor != 0).then_some(window.floor),
        records: records.collect(),
    }
}
