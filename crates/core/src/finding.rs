//! Validation errors of an input, each with its place, reported together.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A validation error and where it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Path of the field (`teams.clinic.limit`) or `line:column` in a file.
    pub place: SmolStr,
    /// What is wrong, and the accepted range where there is one.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All validation errors of one input.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends an error.
    pub fn add(&mut self, place: impl Into<SmolStr>, message: impl Into<String>) {
        self.0.push(Finding { place: place.into(), message: message.into() });
    }

    /// Appends all errors of another list.
    pub fn extend(&mut self, other: Self) {
        self.0.extend(other.0);
    }

    /// Whether there are no errors.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The errors in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns `value` if there are no errors.
    ///
    /// # Errors
    ///
    /// Returns the list itself if it holds at least one error.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
