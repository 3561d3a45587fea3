//! Who sends a request, and which keys it may see.

use sequoiayoke_model::id;
use sequoiayoke_model::outcome;
use sequoiayoke_model::view;
use sha2::Digest;
use subtle::ConstantTimeEq;

use super::Problem;

/// The caller of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Identity<'a> {
    /// Its id; 0 while no caller is registered.
    pub(super) id: id::Caller,
    /// Scope of its keys; empty unless the service is scoped.
    pub(super) scope: &'a str,
}

/// Identifies the caller by its token.
///
/// Every digest is compared in constant time, and all of them are compared, so
/// that the time tells nothing about the tokens.
pub(super) fn identify<'a>(
    view: &'a view::View,
    http: &poem::Request,
    scoped: bool,
) -> Result<Identity<'a>, Problem> {
    let refused = |text: &str| Problem::new(outcome::Reason::Unauthorized, text);
    if view.callers().next().is_none() {
        return match scoped {
            true => Err(refused("the service is scoped and no caller is registered")),
            false => Ok(Identity {
                id: id::Caller(0),
                scope: "",
            }),
        };
    }
    let header = http.headers().get("authorization");
    let token = header
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .ok_or_else(|| refused("the header `authorization: Bearer TOKEN` is missing"))?;
    let digest: [u8; 32] = sha2::Sha256::digest(token).into();
    let mut found = None;
    for (id, caller) in view.callers() {
        if bool::from(caller.token_digest.ct_eq(&digest)) {
            found = Some((id, caller));
        }
    }
    let (id, caller) = found.ok_or_else(|| refused("the token is not known"))?;
    if scoped && caller.scope.is_empty() {
        return Err(refused("the service is scoped and the caller has no scope"));
    }
    Ok(Identity {
        id,
        scope: if scoped { &caller.scope } else { "" },
    })
}
