//! Tests of `stagepondctl tuf` on a temporary folder: create, sign, publish, rotate and verify a repository, and
//! detect corrupted files.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use rstest::rstest;

/// Runs `stagepondctl tuf` with these arguments.
fn run_tuf(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stagepondctl")).arg("tuf").args(arguments).output().unwrap()
}

/// Runs `stagepondctl tuf`, which must succeed, and returns its standard output.
fn run_tuf_successfully(arguments: &[&str]) -> String {
    let output = run_tuf(arguments);
    assert!(output.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// Publishes a repository with the target `packs/round-7.tgz` and returns the path of its folder. The repository
/// is deleted when the temporary folder is dropped.
fn publish_repository() -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().unwrap();
    let repository = folder.path().join("repo").display().to_string();
    let pack = folder.path().join("round-7.tgz");
    std::fs::write(&pack, "questions").unwrap();
    run_tuf_successfully(&["init", &repository]);
    run_tuf_successfully(&["add", &repository, &pack.display().to_string(), "--as", "packs/round-7.tgz"]);
    run_tuf_successfully(&["publish", &repository]);
    (folder, repository)
}

/// Returns the last path in the folder, in sorted order, that ends with the suffix.
fn last_file_with_suffix(folder: &Path, suffix: &str) -> PathBuf {
    let mut found: Vec<_> = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    found.retain(|path| path.to_str().unwrap().ends_with(suffix));
    found.sort();
    found.pop().unwrap()
}

#[rstest]
fn repository_is_created_changed_and_verified() {
    let (folder, repository) = publish_repository();
    let verify_target = ["verify", &repository, "--target", "packs/round-7.tgz"];
    assert!(run_tuf_successfully(&verify_target).contains("content matches the signed metadata"));
    run_tuf_successfully(&["rotate", &repository, "root", "--keys", "3", "--threshold", "2"]);
    run_tuf_successfully(&["rotate", &repository, "timestamp"]);
    run_tuf_successfully(&["publish", &repository]);
    let json = run_tuf_successfully(&["verify", &repository, "--json"]);
    assert!(json.contains(r#""role":"root","version":3"#), "{json}");
    std::fs::write(folder.path().join("round-8.tgz"), "more").unwrap();
    run_tuf_successfully(&["add", &repository, &folder.path().join("round-8.tgz").display().to_string()]);
    let verify_unpublished = run_tuf(&["verify", &repository, "--target", "round-8.tgz"]);
    assert!(!verify_unpublished.status.success(), "the target is not published yet");
    run_tuf_successfully(&["publish", &repository]);
    run_tuf_successfully(&["verify", &repository, "--target", "round-8.tgz"]);
    assert!(run_tuf_successfully(&["show", &repository]).contains("timestamp"));
}

#[rstest]
#[case::corrupted_target("targets/packs", ".round-7.tgz", &[], 5)]
#[case::corrupted_timestamp("metadata", "timestamp.json", &[], 6)]
#[case::corrupted_snapshot("metadata", ".snapshot.json", &[], 5)]
#[case::expired("", "", &["--at", "2099-01-01T00:00:00Z"], 3)]
fn each_kind_of_rejection_has_its_exit_code(
    #[case] folder: &str, #[case] suffix: &str, #[case] options: &[&str], #[case] code: i32,
) {
    let (_folder, repository) = publish_repository();
    if !suffix.is_empty() {
        let path = last_file_with_suffix(&Path::new(&repository).join(folder), suffix);
        std::fs::write(path, "corrupt").unwrap();
    }
    let arguments: Vec<&str> = ["verify", &repository, "--target", "packs/round-7.tgz"]
        .into_iter()
        .chain(options.iter().copied())
        .collect();
    assert_eq!(run_tuf(&arguments).status.code(), Some(code));
}

#[rstest]
fn key_readable_by_others_is_rejected_and_files_outside_the_repository_are_not_overwritten() {
    let (_folder, repository) = publish_repository();
    let key = last_file_with_suffix(&Path::new(&repository).join("keys"), ".pk8");
    std::fs::set_permissions(&key, std::os::unix::fs::PermissionsExt::from_mode(0o644)).unwrap();
    let output = run_tuf(&["publish", &repository]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("chmod 600"));
    assert!(!run_tuf(&["init", &repository]).status.success(), "an existing repository is not overwritten");
    assert!(!run_tuf(&["add", &repository, "/dev/null", "--as", "../x"]).status.success());
}
