//! Checks the arguments of a measurement before anything is started. It owns no state; `measurement::run` calls it.

use worksshunt_core::constants::capacity::MIN_SOCKETS;

use crate::DEFAULT_SOCKETS_PER_MACHINE;

/// Fewest machines for which the default number of sockets is enough.
const MIN_MACHINES_WITH_DEFAULT_SOCKETS: usize = MIN_SOCKETS.div_ceil(DEFAULT_SOCKETS_PER_MACHINE);

/// A controller refuses settings with so few sockets, so no job would ever be accepted.
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
/// They are below the minimum.
pub fn check_sockets(sockets: usize) -> Result<(), TooFewSockets> {
    if sockets < MIN_SOCKETS {
        return Err(TooFewSockets { sockets });
    }
    Ok(())
}

#[cfg(test)]
mod tests;
