//! Services of a deployment, and the kinds of requests that its callers send.

use std::str;

/// Share of a service in the load, and shares of the kinds of requests within it.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Service.
    pub service: String,
    /// Weight relative to the other services.
    pub weight: f64,
    /// Weight of reads.
    pub reads: f64,
    /// Weight of non-idempotent writes.
    pub writes: f64,
    /// Weight of uploads.
    pub uploads: f64,
}

/// Failure to parse `service:weight:reads:writes:uploads`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected service:weight:reads:writes:uploads with non-negative numbers")]
pub struct Error;

/// Shares of all services; never empty.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix {
    /// Share of each service.
    pub shares: Vec<Share>,
}

impl Share {
    /// Creates the share of a service.
    pub fn new(service: &str, weight: f64, reads: f64, writes: f64, uploads: f64) -> Self {
        Self {
            service: service.into(),
            weight,
            reads,
            writes,
            uploads,
        }
    }
}

impl str::FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut fields = text.split(':');
        let service = fields.next().filter(|service| !service.is_empty());
        let service = service.ok_or(Error)?;
        let mut number = || {
            let field = fields.next().ok_or(Error)?;
            let number: f64 = field.parse().map_err(|_| Error)?;
            (number.is_finite() && number >= 0.0)
                .then_some(number)
                .ok_or(Error)
        };
        let share = Self::new(service, number()?, number()?, number()?, number()?);
        if fields.next().is_some() || share.reads + share.writes + share.uploads <= 0.0 {
            return Err(Error);
        }
        Ok(share)
    }
}

impl Mix {
    /// Returns the mix of Ankesor: kiosk status, refunds with repair orders, and photos with parts.
    pub fn ankesor() -> Self {
        Self {
            shares: vec![
                Share::new("kiosk-status", 5.0, 0.7, 0.3, 0.0),
                Share::new("refunds", 4.0, 0.5, 0.5, 0.0),
                Share::new("photos", 3.0, 0.8, 0.1, 0.1),
            ],
        }
    }

    /// Returns the mix of Chao Phraya: queue board, vouchers with payments, and intake with
    /// reservations.
    pub fn chao_phraya() -> Self {
        Self {
            shares: vec![
                Share::new("queue-board", 5.0, 0.9, 0.1, 0.0),
                Share::new("payments", 3.0, 0.4, 0.6, 0.0),
                Share::new("intake", 3.0, 0.6, 0.35, 0.05),
            ],
        }
    }
}
