//! Detection of backend servers that fail while the others of their service do not.
//!
//! A backend server may fail most of its requests and still report itself healthy. The requests of
//! a key can only run at its owner, so the keys have to move. Failures at all backend servers, for
//! example when a service that they call is down, are no reason to move keys.

/// Lowest failure rate of an outlier.
const MIN_OUTLIER_RATE: f64 = 0.5;
/// Highest median failure rate of a service in which there are outliers.
const MAX_MEDIAN_RATE: f64 = 0.2;

/// Returns for each failure rate of a service whether it is an outlier.
///
/// If more than a third of the rates qualify, none is an outlier: the other backend servers must
/// be able to take over the keys.
///
/// # Examples
///
/// ```
/// use sequoiayoke_balance::outlier;
///
/// assert_eq!(outlier::detect(&[0.0, 0.9, 0.1]), [false, true, false]);
/// assert_eq!(outlier::detect(&[0.9, 0.9, 0.8]), [false, false, false]);
/// ```
pub fn detect(failure_rates: &[f64]) -> Vec<bool> {
    let mut sorted = failure_rates.to_vec();
    sorted.sort_by(f64::total_cmp);
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or(0.0);
    let outliers: Vec<_> = failure_rates
        .iter()
        .map(|rate| *rate >= MIN_OUTLIER_RATE && median <= MAX_MEDIAN_RATE)
        .collect();
    let count = outliers.iter().filter(|is_outlier| **is_outlier).count();
    match count * 3 <= failure_rates.len() {
        true => outliers,
        false => vec![false; failure_rates.len()],
    }
}
