//! Ranges of seeds, as given on the command line.

use std::str::FromStr;

/// Range of seeds with at least one seed. [`FromStr`] accepts `FROM..TO`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedRange {
    /// First seed.
    pub from: u64,
    /// End of the range, exclusive.
    pub to: u64,
}

/// Text that is not a valid range of seeds.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SeedRangeError {
    /// The text is not two 32-bit numbers separated by `..`.
    #[error("expected FROM..TO with two numbers")]
    InvalidFormat,
    /// The range contains no seed.
    #[error("the range contains no seed")]
    Empty,
}

impl SeedRange {
    /// Range of the same length, moved up by `offset`.
    pub fn shifted(&self, offset: u64) -> SeedRange {
        SeedRange {
            from: self.from + offset,
            to: self.to + offset,
        }
    }
}

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<SeedRange, SeedRangeError> {
        let (from, to) = text.split_once("..").ok_or(SeedRangeError::InvalidFormat)?;
        let parse_seed = |text: &str| {
            text.parse::<u32>()
                .map_err(|_| SeedRangeError::InvalidFormat)
        };
        let (from, to) = (u64::from(parse_seed(from)?), u64::from(parse_seed(to)?));
        if from >= to {
            return Err(SeedRangeError::Empty);
        }
        Ok(SeedRange { from, to })
    }
}

#[cfg(test)]
mod tests;
