//! Tests of `mutation`, and of the list against the sources as they are.

use std::collections::BTreeSet;

use super::*;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn list() -> Vec<Mutation> {
    read_list(&root().join("crates/worksshunt-search/mutations.toml")).expect("a list")
}

// The list must not fall behind the sources: a mutation that is not applied is never found.
#[test]
fn every_mutation_applies_to_the_sources_and_changes_them() {
    let list = list();
    assert!(list.len() > 10);
    for mutation in &list {
        for edit in mutation.edits() {
            let text = std::fs::read_to_string(root().join(&edit.file)).expect("a file");
            let mutated = mutation.apply(&edit, &text).expect("applies");
            assert_ne!(text, mutated, "{}", mutation.name);
        }
        let files: BTreeSet<PathBuf> = mutation.edits().into_iter().map(|e| e.file).collect();
        assert_eq!(files.len(), mutation.edits().len(), "each in another file");
    }
    let names: BTreeSet<&str> = list.iter().map(|m| m.name.as_str()).collect();
    assert_eq!(names.len(), list.len(), "each has a name of its own");
}

#[test]
fn a_text_that_stands_there_twice_or_never_is_refused() {
    let mutation = Mutation {
        from: "a + b".to_owned(),
        to: "a".to_owned(),
        ..list().remove(0)
    };
    let edit = &mutation.edits()[0];
    assert_eq!(mutation.apply(edit, "x = a + b").expect("once"), "x = a");
    for text in ["", "a+b", "a + b; a + b"] {
        let refused = mutation.apply(edit, text);
        assert!(
            matches!(refused, Err(MutationError::NotOnce { .. })),
            "{text}"
        );
    }
}

#[test]
fn names_choose_and_unknown_ones_are_refused() {
    let list = list();
    assert_eq!(choose(&list, &[]).expect("all").len(), list.len());
    let name = list[1].name.clone();
    assert_eq!(choose(&list, &[name]).expect("one"), [&list[1]]);
    let unknown = choose(&list, &["no-such".to_owned()]);
    let text = unknown.expect_err("refused").to_string();
    assert_eq!(text, "no mutation is called no-such");
}

#[test]
fn a_list_that_is_missing_is_refused_in_one_line() {
    let text = read_list(Path::new("no/such.toml"))
        .expect_err("refused")
        .to_string();
    assert!(
        text.starts_with("no/such.toml: ") && text.lines().count() == 1,
        "{text}"
    );
}
