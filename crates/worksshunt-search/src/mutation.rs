//! Mutations: faults put into the sources on purpose.

use std::path::{Path, PathBuf};

use serde::Deserialize;

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mutation {
    /// Its name.
    pub name: String,
    /// What is wrong with it, for a reader.
    pub fault: String,
    /// The file it changes, from the root of the repository.
    pub file: PathBuf,
    /// The text that it replaces, which stands there once.
    pub from: String,
    /// What stands there instead.
    pub to: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct List {
    mutation: Vec<Mutation>,
}

/// Why a mutation cannot be searched for.
#[derive(Debug, thiserror::Error)]
pub enum MutationError {
    /// The list cannot be read.
    #[error("{0}: {1}")]
    List(PathBuf, String),
    /// No mutation of the list has that name.
    #[error("no mutation is called {0}")]
    Unknown(String),
    /// The text to replace is not there once.
    #[error("{name}: its text stands {times} times in {file}")]
    NotOnce {
        /// The mutation.
        name: String,
        /// Its file.
        file: PathBuf,
        /// How often its text stands there.
        times: usize,
    },
}

impl Mutation {
    /// The file's text with the fault in it.
    pub fn apply(&self, text: &str) -> Result<String, MutationError> {
        let times = text.matches(&self.from).count();
        if times != 1 {
            return Err(MutationError::NotOnce {
                name: self.name.clone(),
                file: self.file.clone(),
                times,
            });
        }
        Ok(text.replacen(&self.from, &self.to, 1))
    }
}

/// Reads a list of mutations (TOML).
pub fn read_list(path: &Path) -> Result<Vec<Mutation>, MutationError> {
    let wrong = |error: String| MutationError::List(path.to_owned(), error);
    let text = std::fs::read_to_string(path).map_err(|error| wrong(error.to_string()))?;
    let list: List = toml::from_str(&text).map_err(|error| wrong(error.message().to_owned()))?;
    Ok(list.mutation)
}

/// The mutations with these names, or all if there is no name.
pub fn choose<'a>(
    list: &'a [Mutation],
    names: &[String],
) -> Result<Vec<&'a Mutation>, MutationError> {
    if names.is_empty() {
        return Ok(list.iter().collect());
    }
    names
        .iter()
        .map(|name| {
            let named = list.iter().find(|mutation| mutation.name == *name);
            named.ok_or_else(|| MutationError::Unknown(name.clone()))
        })
        .collect()
}

#[cfg(test)]
mod tests;
