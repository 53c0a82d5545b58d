//! Decoding and errors of responses, shared by the clients of the key-value store, the cloud and the workers.

use serde::de::DeserializeOwned;

use crate::client::CallError;

/// Error of a request without a usable result.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestError {
    /// The call has no response.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The protocol does not define this status for the request.
    #[error("unexpected status {0}")]
    UnexpectedStatus(u16),
    /// The body does not have the structure that the status requires.
    #[error("malformed response: {0}")]
    MalformedBody(#[from] serde_json::Error),
    /// A page of a listing has more items than requested.
    #[error("page of {items} items exceeds the requested maximum of {limit}")]
    PageTooLong {
        /// Number of items in the page.
        items: usize,
        /// Maximum number of items that the request allowed.
        limit: usize,
    },
}

impl RequestError {
    /// Logs the error: a page that is too long as a warning, since the service ignored the requested limit, and
    /// everything else at debug level.
    pub(crate) fn log(&self, service: &'static str) {
        match self {
            RequestError::PageTooLong { items, limit } => {
                tracing::warn!(
                    service,
                    items,
                    limit,
                    "page of a listing is longer than requested; response ignored"
                );
            }
            error => tracing::debug!(service, %error, "request failed"),
        }
    }
}

/// Decodes a JSON body.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, RequestError> {
    Ok(serde_json::from_slice(body)?)
}

/// Checks that a page of a listing has at most the requested number of items.
pub(crate) fn check_page_size(items: usize, limit: usize) -> Result<(), RequestError> {
    if items > limit {
        return Err(RequestError::PageTooLong { items, limit });
    }
    Ok(())
}

/// Whether a body contains `text`. The protocol distinguishes errors of the same status by their text.
pub(crate) fn contains_text(body: &[u8], text: &str) -> bool {
    let text = text.as_bytes();
    body.windows(text.len()).any(|part| part == text)
}
