//! Tests of `mutation`, and of the list of mutations against the sources.

use std::collections::BTreeSet;

use super::*;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn list() -> Vec<Mutation> {
    read_list(&root().join("crates/worksshunt-search/mutations.toml")).expect("a list")
}

// Guards against a list that no longer matches the sources.
#[test]
fn every_mutation_applies_and_changes_the_sources() {
    let list = list();
    assert!(list.len() > 10);
    for mutation in &list {
        for edit in mutation.edits() {
            let text = std::fs::read_to_string(root().join(&edit.file)).expect("a file");
            let mutated = mutation.apply(&edit, &text).expect("applies");
            assert_ne!(text, mutated, "{}", mutation.name);
        }
        let files: BTreeSet<PathBuf> = mutation.edits().into_iter().map(|e| e.file).collect();
        assert_eq!(files.len(), mutation.edits().len(), "one edit per file");
    }
    let names: BTreeSet<&str> = list.iter().map(|m| m.name.as_str()).collect();
    assert_eq!(names.len(), list.len(), "names are unique");
}

#[test]
fn missing_or_repeated_text_is_rejected() {
    let mutation = Mutation {
        from: "a + b".to_owned(),
        to: "a".to_owned(),
        ..list().remove(0)
    };
    let edit = &mutation.edits()[0];
    assert_eq!(mutation.apply(edit, "x = a + b").expect("once"), "x = a");
    for text in ["", "a+b", "a + b; a + b"] {
        let result = mutation.apply(edit, text);
        assert!(
            matches!(result, Err(MutationError::NotUnique { .. })),
            "{text}"
        );
    }
}

#[test]
fn mutations_are_selected_by_name_and_unknown_names_rejected() {
    let list = list();
    assert_eq!(select(&list, &[]).expect("all").len(), list.len());
    let name = list[1].name.clone();
    assert_eq!(select(&list, &[name]).expect("one"), [&list[1]]);
    let unknown = select(&list, &["no-such".to_owned()]);
    let text = unknown.expect_err("rejected").to_string();
    assert_eq!(text, "unknown mutation: no-such");
}

#[test]
fn missing_list_is_reported_in_one_line() {
    let text = read_list(Path::new("no/such.toml"))
        .expect_err("rejected")
        .to_string();
    assert!(
        text.starts_with("no/such.toml: ") && text.lines().count() == 1,
        "{text}"
    );
}
