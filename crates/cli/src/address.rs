//! Addresses of control replicas for operators.

use std::fmt;
use std::str;

/// Address of a control replica for operators, as `HOST:PORT`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Address(String);

/// Error for a text that is not `HOST:PORT`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected HOST:PORT without scheme or path, for example 127.0.0.1:7103")]
pub struct Malformed;

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl str::FromStr for Address {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let (host, port) = text.rsplit_once(':').ok_or(Malformed)?;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._[]:".contains(&byte);
        let is_bare_ipv6 = host.contains(':') && !(host.starts_with('[') && host.ends_with(']'));
        let is_host_valid = !host.is_empty() && host.bytes().all(is_allowed) && !is_bare_ipv6;
        let is_port_valid = port.parse::<u16>().is_ok_and(|port| port > 0);
        if is_host_valid && is_port_valid {
            Ok(Self(text.to_owned()))
        } else {
            Err(Malformed)
        }
    }
}
