//! Mutations: faults put into the sources on purpose, and the list of them.

use std::path::{Path, PathBuf};

use serde::Deserialize;

/// One mutation of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mutation {
    /// Its name.
    pub name: String,
    /// What is wrong with the mutated sources, for a reader.
    pub fault: String,
    /// The file it changes, from the root of the repository.
    pub file: PathBuf,
    /// The text that it replaces, which occurs once in the file.
    pub from: String,
    /// The replacement.
    pub to: String,
    /// What it replaces in other files, where the fault takes more than one change.
    #[serde(default)]
    pub also: Vec<Edit>,
}

/// A replacement in one file.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The file, from the root of the repository.
    pub file: PathBuf,
    /// The text that is replaced, which occurs once in the file.
    pub from: String,
    /// The replacement.
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
    #[error("{path}: {source}")]
    ListUnreadable {
        /// The list.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The list is no TOML of the expected form.
    #[error("{path}: {}", source.message())]
    ListMalformed {
        /// The list.
        path: PathBuf,
        /// Why.
        source: toml::de::Error,
    },
    /// No mutation of the list has that name.
    #[error("no mutation is called {0}")]
    Unknown(String),
    /// The text to replace does not occur exactly once.
    #[error("{name}: its text stands {times} times in {file}")]
    NotOnce {
        /// The mutation.
        name: String,
        /// Its file.
        file: PathBuf,
        /// How often its text occurs.
        times: usize,
    },
}

impl Mutation {
    /// All its replacements, each in another file.
    pub fn edits(&self) -> Vec<Edit> {
        let first = Edit {
            file: self.file.clone(),
            from: self.from.clone(),
            to: self.to.clone(),
        };
        std::iter::once(first).chain(self.also.clone()).collect()
    }

    /// A file's text with one of its replacements applied.
    ///
    /// # Errors
    ///
    /// The text to replace does not occur exactly once.
    pub fn apply(&self, edit: &Edit, text: &str) -> Result<String, MutationError> {
        let times = text.matches(&edit.from).count();
        if times != 1 {
            return Err(MutationError::NotOnce {
                name: self.name.clone(),
                file: edit.file.clone(),
                times,
            });
        }
        Ok(text.replacen(&edit.from, &edit.to, 1))
    }
}

/// Reads a list of mutations (TOML).
///
/// # Errors
///
/// The file cannot be read, or is not such a list.
pub fn read_list(path: &Path) -> Result<Vec<Mutation>, MutationError> {
    let text = std::fs::read_to_string(path).map_err(|source| MutationError::ListUnreadable {
        path: path.to_owned(),
        source,
    })?;
    let list: List = toml::from_str(&text).map_err(|source| MutationError::ListMalformed {
        path: path.to_owned(),
        source,
    })?;
    Ok(list.mutation)
}

/// The mutations with these names, or all if there is no name.
///
/// # Errors
///
/// No mutation of the list has one of the names.
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
