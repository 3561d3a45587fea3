//! Validation of settings.
//!
//! A check collects every problem instead of stopping at the first one.

use std::collections::BTreeSet;
use std::fmt;

/// A value that is out of bounds or contradicts another value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field, for example `timing.lease_ms`.
    pub field: String,
    /// What is wrong, and which values are accepted.
    pub detail: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}`: {}", self.field, self.detail)
    }
}

/// Settings that can be validated.
pub trait Check {
    /// Adds every problem of these settings to `problems`.
    fn check(&self, problems: &mut Problems);
}

/// Problems found so far, with the path of the section that is being checked.
#[derive(Debug, Default)]
pub struct Problems {
    problems: Vec<Problem>,
    path: Vec<String>,
}

impl Problems {
    /// Creates an empty list.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_settings::check;
    ///
    /// let mut problems = check::Problems::new();
    /// problems.within("timing", |timing| timing.add("lease_ms", "must be positive"));
    /// assert_eq!(problems.into_vec()[0].field, "timing.lease_ms");
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no problem was found.
    pub fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }

    /// Returns the problems in the order in which they were found.
    pub fn into_vec(self) -> Vec<Problem> {
        self.problems
    }

    /// Adds a problem of `field` in the section that is being checked.
    pub fn add<D>(&mut self, field: &str, detail: D)
    where
        D: Into<String>,
    {
        let mut path = self.path.join(".");
        if !path.is_empty() && !field.is_empty() {
            path.push('.');
        }
        path.push_str(field);
        self.problems.push(Problem {
            field: path,
            detail: detail.into(),
        });
    }

    /// Adds a problem of `field` unless the condition `holds`.
    pub fn require<D>(&mut self, holds: bool, field: &str, detail: D)
    where
        D: Into<String>,
    {
        if !holds {
            self.add(field, detail);
        }
    }

    /// Runs `check` on the section `name`, whose name precedes the fields in the reported paths.
    pub fn within<C>(&mut self, name: &str, check: C)
    where
        C: FnOnce(&mut Self),
    {
        self.path.push(name.to_owned());
        check(self);
        self.path.pop();
    }

    /// Requires that `name` has 1 to 64 letters, digits, dots, dashes or underscores.
    pub fn require_name(&mut self, field: &str, name: &str) {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
        self.require(
            (1..=64).contains(&name.len()) && name.bytes().all(is_allowed),
            field,
            format!("{name:?} must be 1 to 64 letters, digits, `.`, `-` or `_`"),
        );
    }

    /// Requires that no two of `values` are equal.
    pub fn require_distinct<I>(&mut self, field: &str, values: I)
    where
        I: IntoIterator,
        I::Item: Ord + fmt::Display,
    {
        let mut seen = BTreeSet::new();
        for value in values {
            if let Some(duplicate) = seen.replace(value) {
                self.add(field, format!("{duplicate} occurs twice"));
            }
        }
    }
}
