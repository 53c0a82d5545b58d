//! Ranges of seeds, as arguments name them.

use std::str::FromStr;

/// Seeds from one up to another, without the last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedRange {
    /// The first seed.
    pub from: u64,
    /// The one after the last.
    pub to: u64,
}

/// Why a text is not a range of seeds.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SeedRangeError {
    /// It has another form.
    #[error("not FROM..TO with two numbers")]
    Form,
    /// No seed is in it.
    #[error("no seed is in it")]
    Empty,
}

impl SeedRange {
    /// As many seeds, moved up by so many.
    pub fn later(&self, by: u64) -> SeedRange {
        SeedRange {
            from: self.from + by,
            to: self.to + by,
        }
    }
}

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<SeedRange, SeedRangeError> {
        let (from, to) = text.split_once("..").ok_or(SeedRangeError::Form)?;
        let number = |text: &str| text.parse::<u32>().map_err(|_| SeedRangeError::Form);
        let (from, to) = (u64::from(number(from)?), u64::from(number(to)?));
        if from >= to {
            return Err(SeedRangeError::Empty);
        }
        Ok(SeedRange { from, to })
    }
}

#[cfg(test)]
mod tests;
