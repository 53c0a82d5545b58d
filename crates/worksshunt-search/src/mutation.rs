//! Mutations: changes of the sources that introduce a fault, and the list that defines them.

use std::path::{Path, PathBuf};

use serde::Deserialize;

/// A mutation, as the list defines it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mutation {
    /// Unique name, which selects it on the command line.
    pub name: String,
    /// Description of the fault; not used by the program.
    pub fault: String,
    /// File to change, relative to the root of the sources.
    pub file: PathBuf,
    /// Text to replace; occurs exactly once in the file.
    pub from: String,
    /// Replacement.
    pub to: String,
    /// Edits of further files, for a fault that takes more than one change.
    #[serde(default, rename = "also")]
    pub additional_edits: Vec<Edit>,
}

/// Replacement of a text in one file.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// File to change, relative to the root of the sources.
    pub file: PathBuf,
    /// Text to replace; occurs exactly once in the file.
    pub from: String,
    /// Replacement.
    pub to: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MutationList {
    #[serde(rename = "mutation")]
    mutations: Vec<Mutation>,
}

/// A list of mutations that is invalid, or a mutation that does not apply.
#[derive(Debug, thiserror::Error)]
pub enum MutationError {
    /// The list cannot be read.
    #[error("{path}: {source}")]
    ListUnreadable {
        /// Path of the list.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The list is not valid TOML or has unexpected fields.
    #[error("{path}: {}", source.message())]
    ListMalformed {
        /// Path of the list.
        path: PathBuf,
        /// Cause.
        source: toml::de::Error,
    },
    /// No mutation of the list has this name.
    #[error("unknown mutation: {0}")]
    UnknownName(String),
    /// The text to replace does not occur exactly once.
    #[error(
        "{name}: the text to replace occurs {occurrences} times in {file}; expected one occurrence"
    )]
    NotUnique {
        /// Name of the mutation.
        name: String,
        /// File of the edit.
        file: PathBuf,
        /// Number of occurrences.
        occurrences: usize,
    },
}

impl Mutation {
    /// All edits of the mutation, at most one per file.
    pub fn edits(&self) -> Vec<Edit> {
        let first = Edit {
            file: self.file.clone(),
            from: self.from.clone(),
            to: self.to.clone(),
        };
        std::iter::once(first)
            .chain(self.additional_edits.clone())
            .collect()
    }

    /// Applies an edit of the mutation to the text of its file.
    ///
    /// # Errors
    ///
    /// The text to replace does not occur exactly once.
    pub fn apply(&self, edit: &Edit, text: &str) -> Result<String, MutationError> {
        let occurrences = text.matches(&edit.from).count();
        if occurrences != 1 {
            return Err(MutationError::NotUnique {
                name: self.name.clone(),
                file: edit.file.clone(),
                occurrences,
            });
        }
        Ok(text.replacen(&edit.from, &edit.to, 1))
    }
}

/// Reads a list of mutations (TOML).
///
/// # Errors
///
/// The file cannot be read or parsed.
pub fn read_list(path: &Path) -> Result<Vec<Mutation>, MutationError> {
    let text = std::fs::read_to_string(path).map_err(|source| MutationError::ListUnreadable {
        path: path.to_owned(),
        source,
    })?;
    let list: MutationList =
        toml::from_str(&text).map_err(|source| MutationError::ListMalformed {
            path: path.to_owned(),
            source,
        })?;
    Ok(list.mutations)
}

/// Selects the mutations with these names, in this order; all mutations if `names` is empty.
///
/// # Errors
///
/// A name is not in the list.
pub fn select<'a>(
    list: &'a [Mutation],
    names: &[String],
) -> Result<Vec<&'a Mutation>, MutationError> {
    if names.is_empty() {
        return Ok(list.iter().collect());
    }
    names
        .iter()
        .map(|name| {
            let mutation = list.iter().find(|mutation| mutation.name == *name);
            mutation.ok_or_else(|| MutationError::UnknownName(name.clone()))
        })
        .collect()
}

#[cfg(test)]
mod tests;
