//! The program itself on a folder: a repository made, signed, published, rotated, read, and spoilt.

use std::path::Path;
use std::process::{Command, Output};

use rstest::rstest;

fn ctl(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stagepondctl")).arg("tuf").args(words).output().unwrap()
}

fn well(words: &[&str]) -> String {
    let output = ctl(words);
    assert!(output.status.success(), "{words:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

fn repository() -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().unwrap();
    let at = folder.path().join("repo").display().to_string();
    let pack = folder.path().join("round-7.tgz");
    std::fs::write(&pack, "questions").unwrap();
    well(&["init", &at]);
    well(&["add", &at, &pack.display().to_string(), "--as", "packs/round-7.tgz"]);
    well(&["publish", &at]);
    (folder, at)
}

fn only(folder: &Path, suffix: &str) -> std::path::PathBuf {
    let mut found: Vec<_> = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    found.retain(|path| path.to_str().unwrap().ends_with(suffix));
    found.sort();
    found.pop().unwrap()
}

#[rstest]
fn a_repository_is_made_changed_and_read() {
    let (folder, at) = repository();
    let read = ["verify", &at, "--target", "packs/round-7.tgz"];
    assert!(well(&read).contains("as it was signed"));
    well(&["rotate", &at, "root", "--keys", "3", "--threshold", "2"]);
    well(&["rotate", &at, "timestamp"]);
    well(&["publish", &at]);
    let json = well(&["verify", &at, "--json"]);
    assert!(json.contains(r#""role":"root","version":3"#) || json.contains(r#""version":3"#), "{json}");
    std::fs::write(folder.path().join("round-8.tgz"), "more").unwrap();
    well(&["add", &at, &folder.path().join("round-8.tgz").display().to_string()]);
    assert!(!ctl(&["verify", &at, "--target", "round-8.tgz"]).status.success(), "not before it is published");
    well(&["publish", &at]);
    well(&["verify", &at, "--target", "round-8.tgz"]);
    assert!(well(&["show", &at]).contains("timestamp"));
}

#[rstest]
#[case::pack_spoilt("targets/packs", ".round-7.tgz", &[], 5)]
#[case::timestamp_spoilt("metadata", "timestamp.json", &[], 6)]
#[case::snapshot_spoilt("metadata", ".snapshot.json", &[], 5)]
#[case::ended("", "", &["--at", "2099-01-01T00:00:00Z"], 3)]
fn each_refusal_has_its_exit_code(
    #[case] folder: &str, #[case] suffix: &str, #[case] more: &[&str], #[case] code: i32,
) {
    let (_keep, at) = repository();
    if !suffix.is_empty() {
        std::fs::write(only(&Path::new(&at).join(folder), suffix), "spoilt").unwrap();
    }
    let words: Vec<&str> =
        ["verify", &at, "--target", "packs/round-7.tgz"].into_iter().chain(more.iter().copied()).collect();
    assert_eq!(ctl(&words).status.code(), Some(code));
}

#[rstest]
fn keys_that_others_can_read_sign_nothing_and_none_is_shown() {
    let (_keep, at) = repository();
    let key = only(&Path::new(&at).join("keys"), ".pk8");
    std::fs::set_permissions(&key, std::os::unix::fs::PermissionsExt::from_mode(0o644)).unwrap();
    let output = ctl(&["publish", &at]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("chmod 600"));
    assert!(!ctl(&["init", &at]).status.success(), "a repository is not made over another");
    assert!(!ctl(&["add", &at, "/dev/null", "--as", "../x"]).status.success());
}
