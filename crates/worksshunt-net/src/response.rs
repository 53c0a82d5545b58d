//! Reading of responses: what the clients of key-value store, cloud and workers have in common.

use serde::de::DeserializeOwned;

use crate::client::CallError;

/// Why a request has no result that can be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestError {
    /// There is no response.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The response has a status that means nothing for this request.
    #[error("unexpected status {0}")]
    UnexpectedStatus(u16),
    /// The body is not what the status promises.
    #[error("malformed response: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A page of a listing has more items than were asked for.
    #[error("a page of {items} items is over the limit of {limit}")]
    PageTooLong {
        /// Items of the page.
        items: usize,
        /// Items that were asked for.
        limit: usize,
    },
}

impl RequestError {
    /// Logs it, as a warning where the service ignores a limit that was sent to it.
    pub(crate) fn log(&self, service: &'static str) {
        match self {
            RequestError::PageTooLong { items, limit } => {
                tracing::warn!(service, items, limit, "page of a listing too long");
            }
            error => tracing::debug!(service, %error, "request failed"),
        }
    }
}

/// Reads a JSON body.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, RequestError> {
    Ok(serde_json::from_slice(body)?)
}

/// Checks that a page of a listing is not longer than was asked for.
pub(crate) fn check_page(items: usize, limit: usize) -> Result<(), RequestError> {
    if items > limit {
        return Err(RequestError::PageTooLong { items, limit });
    }
    Ok(())
}

/// Whether a body contains a text by which the protocol tells errors of one status apart.
pub(crate) fn contains(body: &[u8], text: &str) -> bool {
    let text = text.as_bytes();
    body.windows(text.len()).any(|part| part == text)
}
