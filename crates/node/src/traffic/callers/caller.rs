//! Identification of callers and of the scope of their keys.

use sequoiayoke_model::id;
use sequoiayoke_model::outcome;
use sequoiayoke_model::view;
use sha2::Digest;
use subtle::ConstantTimeEq;

use super::Problem;

/// The caller of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Identity<'a> {
    /// Id of the caller, or 0 if no callers are registered.
    pub(super) id: id::Caller,
    /// Scope of its keys; empty unless the service is scoped.
    pub(super) scope: &'a str,
}

/// Identifies the caller by its token.
///
/// All digests are compared, each in constant time, so that the response time reveals
/// nothing about the tokens.
pub(super) fn identify<'a>(
    view: &'a view::View,
    http: &poem::Request,
    scoped: bool,
) -> Result<Identity<'a>, Problem> {
    let unauthorized = |text: &str| Problem::new(outcome::Reason::Unauthorized, text);
    if view.callers().next().is_none() {
        return match scoped {
            true => Err(unauthorized(
                "the service is scoped and no caller is registered",
            )),
            false => Ok(Identity {
                id: id::Caller(0),
                scope: "",
            }),
        };
    }
    let header = http.headers().get("authorization");
    let token = header
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .ok_or_else(|| unauthorized("the header `authorization: Bearer TOKEN` is missing"))?;
    let digest: [u8; 32] = sha2::Sha256::digest(token).into();
    let mut matching = None;
    for (id, caller) in view.callers() {
        if bool::from(caller.token_digest.ct_eq(&digest)) {
            matching = Some((id, caller));
        }
    }
    let (id, caller) = matching.ok_or_else(|| unauthorized("the token is not known"))?;
    if scoped && caller.scope.is_empty() {
        return Err(unauthorized(
            "the service is scoped and the caller has no scope",
        ));
    }
    Ok(Identity {
        id,
        scope: if scoped { &caller.scope } else { "" },
    })
}
