//! Uptane (standard 2.x): the director repository says which ECU installs what, the image repository
//! describes the images; here a tablet takes the place of an ECU. Full verification needs both repositories
//! and their agreement (section 5.4.4), partial verification only the director's targets metadata (section
//! 5.4.4.1). Time comes from a signed source, and each ECU signs its version reports with its own key. Where
//! both repositories are needed, one alone is never trusted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::client::{Client, FileRequest, MetadataError, Progress};
use crate::keys::{count_signatures, verify_signature, SigningError, SigningKey};
use crate::metadata::*;
use crate::planted::Planted;

/// ECU identifier, unique among all ECUs; a key of `ecuIdentifiers` in the director's metadata.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EcuId(pub String);

/// Hardware identifier: the type of an ECU's hardware. An image for other hardware must not be installed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardwareId(pub String);

/// The ECU to verify an image for, and the release counter of its installed image.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ecu {
    /// Identifier by which the director assigns targets.
    pub id: EcuId,
    /// The type of hardware that an image must fit.
    pub hardware_id: HardwareId,
    /// Release counter of the installed image; an image with a lower one is refused.
    pub release_counter: u64,
}

/// The two repositories of Uptane. `Debug` names them in errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepositoryKind {
    /// Assigns targets to ECUs.
    Director,
    /// Describes all images.
    Image,
}

/// Why an image, a time attestation or a version report was not accepted. [`UptaneError::kind`] names each
/// variant in a form that programs may rely on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UptaneError {
    /// The metadata of one repository failed a check.
    #[error("{repository:?}: {reason}")]
    Metadata { repository: RepositoryKind, reason: MetadataError },
    /// The director's targets metadata assigns no target to this ECU.
    #[error("no target for ECU {:?}", .0.0)]
    NoTarget(EcuId),
    /// The director's targets metadata assigns more than one target to this ECU.
    #[error("more than one target for ECU {:?}", .0.0)]
    MultipleTargets(EcuId),
    /// The target is for other hardware than that of this ECU, according to either repository.
    #[error("{path:?} is for hardware {:?}, this ECU is {:?}", .expected.0, .own.0)]
    HardwareMismatch { path: String, expected: HardwareId, own: HardwareId },
    /// Rollback attack: the release counter is lower than that of the installed image.
    #[error("{path:?} has release counter {found}, installed is {installed}")]
    ReleaseRollback { path: String, found: u64, installed: u64 },
    /// Length or hashes of the target, given by its path, differ between the repositories.
    #[error("{0:?}: director and image repository disagree")]
    RepositoriesDisagree(String),
    /// The director's targets metadata must not contain delegations (section 5.4.3).
    #[error("the director's targets metadata contains delegations")]
    DirectorDelegates,
    /// The answer of the time source failed a check.
    #[error(
        "the time attestation is malformed, not signed by the time source or not for the requested nonce"
    )]
    InvalidTime,
    /// The attested time is earlier than one attested before.
    #[error("attested time {received} is earlier than {known}")]
    TimeRollback { known: UnixSeconds, received: UnixSeconds },
    /// The report is not signed by the ECU's registered key, or reports an older image than the report
    /// before.
    #[error("version report of ECU {:?} is not signed by its key or reports an older image", .0.0)]
    InvalidReport(EcuId),
    /// The caller passed a file or a time attestation while none was requested.
    #[error("nothing was requested")]
    NotRequested,
}

impl UptaneError {
    /// A short name of the failed check, for logs, counters and exit codes.
    pub fn kind(&self) -> &'static str {
        match self {
            UptaneError::Metadata { reason, .. } => reason.kind(),
            UptaneError::NoTarget(_) => "nothing",
            UptaneError::MultipleTargets(_) => "ambiguous",
            UptaneError::HardwareMismatch { .. } => "other_hardware",
            UptaneError::ReleaseRollback { .. } => "older",
            UptaneError::RepositoriesDisagree(_) => "disagree",
            UptaneError::DirectorDelegates => "director_delegates",
            UptaneError::InvalidTime => "time",
            UptaneError::TimeRollback { .. } => "time_back",
            UptaneError::InvalidReport(_) => "manifest",
            UptaneError::NotRequested => "unasked",
        }
    }
}

/// Custom data of a target in the director's targets metadata: the ECUs that it is assigned to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DirectorCustom {
    /// The ECUs that are to install the target.
    pub ecu_identifiers: BTreeMap<EcuId, EcuAssignment>,
    /// Grows with each release of an image; an ECU never installs a lower one (rollback attack).
    #[serde(default)]
    pub release_counter: u64,
}

/// What the director says of one ECU that a target is assigned to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EcuAssignment {
    /// The hardware that the ECU must have.
    pub hardware_id: HardwareId,
}

/// Custom data of a target in the image repository's targets metadata: the hardware that it fits. No hardware
/// IDs means any hardware.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ImageCustom {
    /// The hardware that the image fits; empty for any.
    #[serde(default)]
    pub hardware_ids: Vec<HardwareId>,
    /// As in [`DirectorCustom`].
    #[serde(default)]
    pub release_counter: u64,
}

/// The custom data of a target; `None` if it does not have the form of `T`.
fn custom<T: for<'a> Deserialize<'a>>(target: &Target) -> Option<T> {
    serde_json::from_value(target.custom.clone().unwrap_or(Value::Null)).ok()
}

/// The one target that the director's targets metadata assigns to an ECU, after all checks that need no other
/// metadata.
fn assigned_target(targets: &Targets, ecu: &Ecu) -> Result<(String, Target), UptaneError> {
    if targets.delegations.is_some() {
        return Err(UptaneError::DirectorDelegates);
    }
    let mut found = None;
    for (path, target) in &targets.targets {
        let Some(assigned) = custom::<DirectorCustom>(target) else { continue };
        let Some(assignment) = assigned.ecu_identifiers.get(&ecu.id) else { continue };
        if assignment.hardware_id != ecu.hardware_id {
            let (expected, own) = (assignment.hardware_id.clone(), ecu.hardware_id.clone());
            return Err(UptaneError::HardwareMismatch { path: path.clone(), expected, own });
        }
        if assigned.release_counter < ecu.release_counter {
            let (found, installed) = (assigned.release_counter, ecu.release_counter);
            return Err(UptaneError::ReleaseRollback { path: path.clone(), found, installed });
        }
        if found.replace((path.clone(), target.clone())).is_some() {
            return Err(UptaneError::MultipleTargets(ecu.id.clone()));
        }
    }
    found.ok_or_else(|| UptaneError::NoTarget(ecu.id.clone()))
}

/// Checks that both repositories describe the same target and that it fits the ECU. Each hash that both list
/// must be equal, and at least one must be listed by both.
fn check_agreement(path: &str, director: &Target, image: &Target, ecu: &Ecu) -> Result<(), UptaneError> {
    let same = director.length == image.length
        && image.hashes.iter().all(|(name, hash)| director.hashes.get(name).is_none_or(|h| h == hash))
        && image.hashes.keys().any(|name| director.hashes.contains_key(name));
    let image_custom = custom::<ImageCustom>(image).unwrap_or_default();
    if !same {
        return Err(UptaneError::RepositoriesDisagree(path.into()));
    }
    if !image_custom.hardware_ids.is_empty() && !image_custom.hardware_ids.contains(&ecu.hardware_id) {
        let (expected, own) = (image_custom.hardware_ids[0].clone(), ecu.hardware_id.clone());
        return Err(UptaneError::HardwareMismatch { path: path.into(), expected, own });
    }
    if image_custom.release_counter < ecu.release_counter {
        let (found, installed) = (image_custom.release_counter, ecu.release_counter);
        return Err(UptaneError::ReleaseRollback { path: path.into(), found, installed });
    }
    Ok(())
}

/// Outcome of one step of full verification.
#[derive(Clone, Debug, PartialEq)]
pub enum UptaneProgress {
    /// The caller has to fetch this file of that repository and pass it to [`FullVerifier::on_file`].
    NeedFile(RepositoryKind, FileRequest),
    /// Both repositories agree on this target for the ECU.
    TargetFound { path: String, target: Target },
}

/// What full verification is waiting for.
enum Phase {
    Idle,
    Director,
    Image,
    /// The search in the image repository for the target that the director assigned.
    Search {
        path: String,
        target: Target,
    },
}

/// Full verification (section 5.4.4) of the next image of one ECU.
pub struct FullVerifier {
    director: Client,
    image: Client,
    ecu: Ecu,
    now: UnixSeconds,
    phase: Phase,
}

impl FullVerifier {
    /// Starts from a client of each repository.
    pub fn new(director: Client, image: Client, ecu: Ecu) -> FullVerifier {
        FullVerifier { director, image, ecu, now: UnixSeconds(0), phase: Phase::Idle }
    }

    /// The clients of the director and of the image repository.
    pub fn clients(&self) -> (&Client, &Client) {
        (&self.director, &self.image)
    }

    /// Starts a verification at the time `now`: refreshes the director's metadata, then that of the image
    /// repository, then searches for the assigned target.
    pub fn start(&mut self, now: UnixSeconds) -> UptaneProgress {
        self.now = now;
        self.phase = Phase::Director;
        UptaneProgress::NeedFile(RepositoryKind::Director, self.director.refresh(now))
    }

    /// Passes the requested file.
    ///
    /// # Errors
    /// The check that failed; [`UptaneError::NotRequested`] if no request is open.
    pub fn on_file(&mut self, bytes: &[u8]) -> Result<UptaneProgress, UptaneError> {
        let outcome = match self.phase {
            Phase::Director => self.director.on_file(bytes),
            Phase::Image | Phase::Search { .. } => self.image.on_file(bytes),
            Phase::Idle => return Err(UptaneError::NotRequested),
        };
        self.advance(outcome)
    }

    /// Reports that the requested file does not exist.
    ///
    /// # Errors
    /// As for [`FullVerifier::on_file`].
    pub fn on_file_missing(&mut self) -> Result<UptaneProgress, UptaneError> {
        let outcome = match self.phase {
            Phase::Director => self.director.on_file_missing(),
            Phase::Image | Phase::Search { .. } => self.image.on_file_missing(),
            Phase::Idle => return Err(UptaneError::NotRequested),
        };
        self.advance(outcome)
    }

    /// Takes the outcome of one client step and continues with the next phase if it is complete.
    fn advance(
        &mut self, mut outcome: Result<Progress, MetadataError>,
    ) -> Result<UptaneProgress, UptaneError> {
        loop {
            let phase = std::mem::replace(&mut self.phase, Phase::Idle);
            let repository = if matches!(phase, Phase::Director) {
                RepositoryKind::Director
            } else {
                RepositoryKind::Image
            };
            let progress = outcome.map_err(|reason| UptaneError::Metadata { repository, reason })?;
            match (phase, progress) {
                (Phase::Idle, _) => return Err(UptaneError::NotRequested),
                (phase, Progress::NeedFile(request)) => {
                    self.phase = phase;
                    return Ok(UptaneProgress::NeedFile(repository, request));
                }
                (Phase::Director, _) => {
                    self.phase = Phase::Image;
                    return Ok(UptaneProgress::NeedFile(RepositoryKind::Image, self.image.refresh(self.now)));
                }
                (Phase::Image, _) => {
                    let targets = self.director.targets().ok_or(UptaneError::NotRequested)?;
                    let (path, target) = assigned_target(targets, &self.ecu)?;
                    outcome = self.image.find_target(self.now, 0, &path);
                    self.phase = Phase::Search { path, target };
                }
                (Phase::Search { path, target }, Progress::TargetFound { target: image, .. }) => {
                    check_agreement(&path, &target, &image, &self.ecu)?;
                    return Ok(UptaneProgress::TargetFound { path, target });
                }
                (Phase::Search { path, .. }, Progress::UpToDate) => {
                    return Err(UptaneError::RepositoriesDisagree(path))
                }
            }
        }
    }
}

/// The result of partial verification: the one target assigned to the ECU.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedTarget {
    /// Version of the targets metadata that assigns it; the trusted version for the next verification.
    pub version: Version,
    /// Path of the assigned target.
    pub path: String,
    /// Length, hashes and custom data of the assigned target.
    pub target: Target,
}

/// Partial verification (section 5.4.4.1): checks only the director's targets metadata, by the keys of a
/// trusted root. It is meant for secondaries that can't do more, behind a primary that does full
/// verification. `trusted` is the version of the targets metadata accepted before.
///
/// # Errors
/// The check that failed.
pub fn verify_partially(
    root: &SignedMetadata<Root>, trusted: Version, bytes: &[u8], now: UnixSeconds, ecu: &Ecu,
) -> Result<AssignedTarget, UptaneError> {
    let error = |reason| UptaneError::Metadata { repository: RepositoryKind::Director, reason };
    let role = TARGETS.to_string();
    let file = SignedMetadata::<Targets>::parse(bytes)
        .map_err(|reason| error(MetadataError::Malformed { role: role.clone(), reason }))?;
    let role_keys = root.signed.roles.get(TARGETS).ok_or(UptaneError::NotRequested)?;
    let count =
        count_signatures(&root.signed.keys, role_keys, &file.canonical, &file.signatures, Planted::default());
    if !count.meets_threshold() {
        let (valid, threshold) = (count.valid, count.threshold);
        return Err(error(MetadataError::ThresholdNotMet { role, valid, threshold }));
    }
    if file.version < trusted {
        return Err(error(MetadataError::Rollback { role, trusted, found: file.version }));
    }
    if file.expires <= now {
        return Err(error(MetadataError::Expired { role, expires: file.expires }));
    }
    let (path, target) = assigned_target(&file.signed, ecu)?;
    Ok(AssignedTarget { version: file.version, path, target })
}

/// The answer of a time source (the time server of section 5.3.3): the time in RFC 3339, and the nonces of
/// the requests that it answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeAttestation {
    /// The attested time in RFC 3339.
    pub time: String,
    /// Nonces of the requests that the attestation answers.
    pub nonces: Vec<u64>,
}

/// Content with the signature of one key over its canonical form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signed<T> {
    /// The content that `signature` covers.
    pub signed: T,
    /// The signature over the content's canonical form.
    pub signature: Signature,
}

impl<T: Serialize> Signed<T> {
    /// Signs the content.
    ///
    /// # Errors
    /// [`SigningError`] if the content has no canonical form or the key can't sign.
    pub fn new(signed: T, key: &SigningKey) -> Result<Signed<T>, SigningError> {
        let bytes = canonical_json(&signed).map_err(SigningError::InvalidContent)?;
        Ok(Signed { signature: key.sign(&bytes)?, signed })
    }

    fn is_signed_by(&self, key: &Key) -> bool {
        let Ok(bytes) = canonical_json(&self.signed) else { return false };
        hex::decode(&self.signature.sig).is_ok_and(|sig| verify_signature(key, &bytes, &sig) == Ok(true))
    }
}

/// The time as attested by a signed source, for ECUs whose own clock may be wrong or may be set by an
/// attacker.
#[derive(Clone, Debug)]
pub struct AttestedClock {
    key: Key,
    /// The latest attested time, or the time that the clock started with.
    latest: UnixSeconds,
    /// Nonce of the open request.
    nonce: Option<u64>,
}

impl AttestedClock {
    /// Starts with the public key of the time source and the latest time attested before.
    pub fn new(key: Key, latest: UnixSeconds) -> AttestedClock {
        AttestedClock { key, latest, nonce: None }
    }

    /// Opens a request with this nonce and returns it. The nonce must be fresh: with a reused one, a replayed
    /// answer would set the clock back.
    pub fn request(&mut self, nonce: u64) -> u64 {
        self.nonce = Some(nonce);
        nonce
    }

    /// Checks the answer to the open request and returns the attested time. The answer closes the request,
    /// whether it is accepted or not.
    ///
    /// # Errors
    /// [`UptaneError::NotRequested`], [`UptaneError::InvalidTime`] or [`UptaneError::TimeRollback`].
    pub fn update(&mut self, attestation: &Signed<TimeAttestation>) -> Result<UnixSeconds, UptaneError> {
        let nonce = self.nonce.take().ok_or(UptaneError::NotRequested)?;
        let time =
            attestation.signed.time.parse::<jiff::Timestamp>().map_err(|_| UptaneError::InvalidTime)?;
        if !attestation.is_signed_by(&self.key) || !attestation.signed.nonces.contains(&nonce) {
            return Err(UptaneError::InvalidTime);
        }
        let time = UnixSeconds(time.as_second());
        if time < self.latest {
            return Err(UptaneError::TimeRollback { known: self.latest, received: time });
        }
        self.latest = time;
        Ok(time)
    }
}

/// ECU version report: the installed image and the attacks that the ECU detected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EcuVersionReport {
    /// The ECU that reports.
    #[serde(rename = "device")]
    pub ecu_id: EcuId,
    /// Path of the installed target.
    pub installed: String,
    /// Length of the installed image in bytes.
    pub length: u64,
    /// Hashes of the installed image in lower-case hex, by algorithm name.
    pub hashes: BTreeMap<String, String>,
    /// Release counter of the installed image.
    #[serde(rename = "counter")]
    pub release_counter: u64,
    /// Detected attacks, each as [`UptaneError::kind`].
    #[serde(default)]
    pub attacks: Vec<String>,
}

/// The director's inventory: the keys of the registered ECUs and the latest version report of each.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    keys: BTreeMap<EcuId, Key>,
    reports: BTreeMap<EcuId, EcuVersionReport>,
}

impl Inventory {
    /// Registers an ECU with its public key.
    pub fn register(&mut self, ecu: EcuId, key: Key) {
        self.keys.insert(ecu, key);
    }

    /// Records a version report. It must be signed by the ECU's own key, and its release counter must not be
    /// lower than that of the report before.
    ///
    /// # Errors
    /// [`UptaneError::InvalidReport`].
    pub fn record_report(&mut self, report: Signed<EcuVersionReport>) -> Result<(), UptaneError> {
        let ecu = report.signed.ecu_id.clone();
        let signed_by_ecu = self.keys.get(&ecu).is_some_and(|key| report.is_signed_by(key));
        let is_older = self
            .reports
            .get(&ecu)
            .is_some_and(|previous| report.signed.release_counter < previous.release_counter);
        if !signed_by_ecu || is_older {
            return Err(UptaneError::InvalidReport(ecu));
        }
        self.reports.insert(ecu, report.signed);
        Ok(())
    }

    /// The latest version report of an ECU.
    pub fn latest_report(&self, ecu: &EcuId) -> Option<&EcuVersionReport> {
        self.reports.get(ecu)
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;
    use serde_json::json;

    use super::*;
    use crate::client::{Limits, VersionFloors};
    use crate::repository::{ExpiryPeriods, Repository};
    use crate::target::describe_target;

    const NOW: UnixSeconds = UnixSeconds(1_790_000_000);
    const PACK: &str = "round-7.tgz";

    struct TestRepository {
        key: SigningKey,
        repository: Repository,
        files: BTreeMap<String, Vec<u8>>,
    }

    impl TestRepository {
        fn new(seed: u8) -> TestRepository {
            let key = SigningKey::from_seed([seed; 32]);
            let roles = [ROOT, TARGETS, SNAPSHOT, TIMESTAMP].map(|r| (r.to_string(), (vec![&key], 1))).into();
            let mut repository = Repository::new(&roles, ExpiryPeriods::default()).unwrap();
            let root = repository.publish_root(&[&key], NOW).unwrap();
            TestRepository { files: [(root.path, root.bytes)].into(), key, repository }
        }

        fn publish(&mut self, targets: Vec<(&str, &[u8], Value)>) {
            self.repository.targets.targets.clear();
            for (path, bytes, custom) in targets {
                let target = Target { custom: Some(custom), ..describe_target(bytes) };
                self.repository.targets.targets.insert(path.into(), target);
            }
            let release = self.repository.publish(&[&self.key], NOW).unwrap();
            self.files.extend(release.into_iter().map(|file| (file.path, file.bytes)));
        }

        fn client(&self) -> Client {
            let root = &self.files["1.root.json"];
            Client::new(root, VersionFloors::default(), Limits::default(), Planted::default()).unwrap()
        }
    }

    fn ecu() -> Ecu {
        Ecu { id: EcuId("tablet-7".into()), hardware_id: HardwareId("tab-a".into()), release_counter: 3 }
    }

    /// Custom data that assigns a target to ECUs, each with its hardware ID.
    fn director_custom(ecus: &[(&str, &str)], release_counter: u64) -> Value {
        let ecus: BTreeMap<&str, Value> =
            ecus.iter().map(|(id, hardware)| (*id, json!({"hardwareId": hardware}))).collect();
        json!({"ecuIdentifiers": ecus, "releaseCounter": release_counter})
    }

    fn image_custom(hardware: &str, release_counter: u64) -> Value {
        json!({"hardwareIds": [hardware], "releaseCounter": release_counter})
    }

    /// Runs full verification with files served from memory.
    fn verify_fully(
        director: &TestRepository, image: &TestRepository,
    ) -> Result<(String, Target), UptaneError> {
        let mut verifier = FullVerifier::new(director.client(), image.client(), ecu());
        let mut progress = verifier.start(NOW);
        loop {
            let (repository, request) = match progress {
                UptaneProgress::NeedFile(repository, request) => (repository, request),
                UptaneProgress::TargetFound { path, target } => return Ok((path, target)),
            };
            let served = if repository == RepositoryKind::Director { director } else { image };
            progress = match served.files.get(&request.path) {
                Some(bytes) => verifier.on_file(bytes)?,
                None => verifier.on_file_missing()?,
            };
        }
    }

    fn agreeing_repositories() -> (TestRepository, TestRepository) {
        let (mut director, mut image) = (TestRepository::new(1), TestRepository::new(2));
        director.publish(vec![(PACK, b"good", director_custom(&[("tablet-7", "tab-a")], 4))]);
        image.publish(vec![(PACK, b"good", image_custom("tab-a", 4))]);
        (director, image)
    }

    #[rstest]
    fn a_target_that_both_repositories_agree_on_is_found() {
        let (director, image) = agreeing_repositories();
        let (path, target) = verify_fully(&director, &image).unwrap();
        assert_eq!((path.as_str(), target.length), (PACK, 4));
    }

    #[rstest]
    #[case::other_content(vec![(PACK, &b"evil"[..], director_custom(&[("tablet-7", "tab-a")], 4))], "disagree")]
    #[case::unknown_to_the_image_repository(vec![("other.tgz", &b"good"[..], director_custom(&[("tablet-7", "tab-a")], 4))], "no_such_target")]
    #[case::older(vec![(PACK, &b"good"[..], director_custom(&[("tablet-7", "tab-a")], 2))], "older")]
    #[case::for_another_ecu(vec![(PACK, &b"good"[..], director_custom(&[("tablet-8", "tab-a")], 4))], "nothing")]
    #[case::for_other_hardware(vec![(PACK, &b"good"[..], director_custom(&[("tablet-7", "tab-b")], 4))], "other_hardware")]
    #[case::two_targets(vec![(PACK, &b"good"[..], director_custom(&[("tablet-7", "tab-a")], 4)), ("x", &b"good"[..], director_custom(&[("tablet-7", "tab-a")], 4))], "ambiguous")]
    fn the_director_alone_cannot_choose_an_image(
        #[case] targets: Vec<(&str, &[u8], Value)>, #[case] kind: &str,
    ) {
        let (mut director, image) = agreeing_repositories();
        director.publish(targets);
        assert_eq!(verify_fully(&director, &image).unwrap_err().kind(), kind);
    }

    #[rstest]
    #[case::for_other_hardware(image_custom("tab-b", 4), "other_hardware")]
    #[case::older(image_custom("tab-a", 2), "older")]
    fn the_image_repository_alone_cannot_choose_an_image(#[case] custom: Value, #[case] kind: &str) {
        let (director, mut image) = agreeing_repositories();
        image.publish(vec![(PACK, b"good", custom)]);
        assert_eq!(verify_fully(&director, &image).unwrap_err().kind(), kind);
    }

    #[rstest]
    fn a_director_that_delegates_is_refused() {
        let (mut director, image) = agreeing_repositories();
        director.repository.targets.delegations = Some(Delegations::default());
        director.publish(vec![(PACK, b"good", director_custom(&[("tablet-7", "tab-a")], 4))]);
        assert_eq!(verify_fully(&director, &image).unwrap_err(), UptaneError::DirectorDelegates);
    }

    #[rstest]
    fn partial_verification_takes_the_directors_targets_alone() {
        let (director, _) = agreeing_repositories();
        let root = SignedMetadata::<Root>::parse(&director.files["1.root.json"]).unwrap();
        let bytes = &director.files["1.targets.json"];
        let verify =
            |trusted, bytes: &[u8], now| verify_partially(&root, Version(trusted), bytes, now, &ecu());
        assert_eq!(verify(1, bytes, NOW).unwrap().path, PACK);
        assert_eq!(verify(2, bytes, NOW).unwrap_err().kind(), "rollback");
        assert_eq!(verify(1, bytes, UnixSeconds(NOW.0 + 400 * 86_400)).unwrap_err().kind(), "expired");
        let other = TestRepository::new(3);
        let unrelated_root = SignedMetadata::<Root>::parse(&other.files["1.root.json"]).unwrap();
        assert_eq!(
            verify_partially(&unrelated_root, Version(1), bytes, NOW, &ecu()).unwrap_err().kind(),
            "threshold"
        );
    }

    #[rstest]
    fn attested_time_is_signed_fresh_and_never_goes_back() {
        let (source, stranger) = (SigningKey::from_seed([5; 32]), SigningKey::from_seed([6; 32]));
        let attest = |key: &SigningKey, time: &str, nonce| {
            Signed::new(TimeAttestation { time: time.into(), nonces: vec![nonce] }, key).unwrap()
        };
        let mut clock = AttestedClock::new(source.public_key().clone(), UnixSeconds(0));
        clock.request(7);
        let first = attest(&source, "2026-12-01T20:00:00Z", 7);
        assert!(clock.update(&first).is_ok());
        assert_eq!(clock.update(&first).unwrap_err().kind(), "unasked");
        clock.request(8);
        assert_eq!(clock.update(&first).unwrap_err().kind(), "time", "an answer to an earlier request");
        clock.request(9);
        assert_eq!(clock.update(&attest(&stranger, "2026-12-01T21:00:00Z", 9)).unwrap_err().kind(), "time");
        clock.request(10);
        assert_eq!(
            clock.update(&attest(&source, "2026-11-01T21:00:00Z", 10)).unwrap_err().kind(),
            "time_back"
        );
    }

    #[rstest]
    fn a_version_report_is_signed_by_its_ecu_and_does_not_go_back() {
        let (own, other) = (SigningKey::from_seed([5; 32]), SigningKey::from_seed([6; 32]));
        let id = EcuId("tablet-7".into());
        let mut inventory = Inventory::default();
        inventory.register(id.clone(), own.public_key().clone());
        let target = describe_target(b"good");
        let report = |counter| EcuVersionReport {
            ecu_id: id.clone(),
            installed: PACK.into(),
            length: target.length,
            hashes: target.hashes.clone(),
            release_counter: counter,
            attacks: vec![],
        };
        assert!(inventory.record_report(Signed::new(report(3), &own).unwrap()).is_ok());
        assert!(inventory.record_report(Signed::new(report(4), &other).unwrap()).is_err());
        assert!(inventory.record_report(Signed::new(report(2), &own).unwrap()).is_err());
        assert_eq!(inventory.latest_report(&id).unwrap().release_counter, 3);
    }
}
