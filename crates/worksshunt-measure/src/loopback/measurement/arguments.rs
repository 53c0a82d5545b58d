//! Validation of the arguments of `loopback`, before anything is started.

use worksshunt_core::constants::capacity::MIN_SOCKETS;

use crate::DEFAULT_SOCKETS_PER_MACHINE;

/// Minimum number of machines for which the default number of sockets is sufficient.
const MIN_MACHINES_WITH_DEFAULT_SOCKETS: usize = MIN_SOCKETS.div_ceil(DEFAULT_SOCKETS_PER_MACHINE);

/// Fewer sockets than a controller accepts in its settings. It would not start, and no job would be accepted.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{sockets} sockets of a controller are too few: at least {MIN_SOCKETS}, \
     by default those of {MIN_MACHINES_WITH_DEFAULT_SOCKETS} machines"
)]
pub struct TooFewSockets {
    sockets: usize,
}

/// Checks the number of sockets in each controller's settings.
///
/// # Errors
/// The number is below the minimum.
pub fn check_sockets(sockets: usize) -> Result<(), TooFewSockets> {
    if sockets < MIN_SOCKETS {
        return Err(TooFewSockets { sockets });
    }
    Ok(())
}

#[cfg(test)]
mod tests;
