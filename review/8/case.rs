//! Two parents delegate to a role of one name, each with a key of its own. Is a pack served that the role lists
//! for a path of the one parent, though only the other parent's key has signed?

#[path = "../common-2/world.rs"]
mod world;

use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use world::*;

const RUN: Duration = Duration::from_secs(12);

/// `stagepondctl tuf`, as the operators use it.
fn ctl(words: &[&str]) {
    let program = root().join("target/release/stagepondctl");
    let done = Command::new(program).arg("tuf").args(words).stdout(Stdio::null()).status();
    if !done.is_ok_and(|status| status.success()) {
        give_up(&format!("stagepondctl tuf {words:?}"));
    }
}

/// The JSON object behind `"NAME": `, with its braces.
fn object<'a>(json: &'a str, name: &str) -> &'a str {
    let start =
        json.find(&format!("\"{name}\": {{")).unwrap_or_else(|| give_up(&format!("no {name}"))) + name.len() + 4;
    let mut depth = 0;
    for (at, byte) in json[start..].bytes().enumerate() {
        depth += i32::from(byte == b'{') - i32::from(byte == b'}');
        if depth == 0 {
            return &json[start..=start + at];
        }
    }
    give_up("an object without an end")
}

/// Makes a repository with a release and returns its folder.
///
/// The top role delegates q/* to `packs`, with the key of editor 1, and p/* to `venue`. `venue` delegates p/* on to a
/// role that is called `packs` too, with the key of editor 3. What the file of `packs` lists is signed by editor 1.
fn repository() -> PathBuf {
    let folder = temporary().join("repo");
    let at = folder.to_str().unwrap();
    ctl(&["init", at, "--keys", "3", "--threshold", "2"]);
    for name in ["q/pack.tgz", "p/pack.tgz"] {
        let file = temporary().join("pack.tgz");
        std::fs::write(&file, pack(name)).unwrap();
        ctl(&["add", at, file.to_str().unwrap(), "--as", name]);
    }
    let state = folder.join("repository.json");
    let json = std::fs::read_to_string(&state).unwrap();
    let mut editors: Vec<String> = std::fs::read_dir(folder.join("keys"))
        .unwrap()
        .filter_map(|entry| {
            let name = entry.unwrap().file_name().into_string().unwrap();
            let prefix = name.strip_prefix("targets-")?.strip_suffix(".pk8")?.to_string();
            let start = json.find(&format!("\"{prefix}"))? + 1;
            Some(json[start..start + 64].to_string())
        })
        .collect();
    editors.sort();
    let key = |n: usize| format!("\"{}\": {}", editors[n], object(&json, &editors[n]));
    let delegation = |name: &str, editor: usize, paths: &str| {
        format!(
            r#"{{"name": "{name}", "keyids": ["{}"], "threshold": 1, "terminating": false, "paths": ["{paths}"]}}"#,
            editors[editor]
        )
    };
    let listed = |name: &str| format!("\"{name}\": {}", object(&json, name));
    let of_packs =
        if trouble() { format!("{}, {}", listed("q/pack.tgz"), listed("p/pack.tgz")) } else { listed("q/pack.tgz") };
    let top = format!(
        r#"{{"targets": {{}}, "delegations": {{"keys": {{{}, {}}}, "roles": [{}, {}]}}}}"#,
        key(0),
        key(1),
        delegation("packs", 0, "q/*"),
        delegation("venue", 1, "p/*")
    );
    let delegated = format!(
        r#"{{"packs": {{"targets": {{{of_packs}}}}}, "venue": {{"targets": {{}}, "delegations": {{"keys": {{{}}}, "roles": [{}]}}}}}}"#,
        key(2),
        delegation("packs", 2, "p/*")
    );
    // `targets` of the repository is the last object of that name that stands at the outermost level.
    let tail = json.find("\n  \"targets\": {").unwrap_or_else(|| give_up("no targets")) + 1;
    let (head, rest) = json.split_at(tail);
    let rest = rest.replacen(object(rest, "targets"), &top, 1);
    let rest = rest.replacen("\"delegated\": {}", &format!("\"delegated\": {delegated}"), 1);
    std::fs::write(&state, format!("{head}{rest}")).unwrap();
    ctl(&["publish", at]);
    folder
}

fn pack(name: &str) -> String {
    format!("the questions of {name}\n")
}

/// A pod that serves the metadata as they were published, and the packs.
fn start_pack_pod(metadata: &Path, record: &Arc<Record>) -> std::net::SocketAddr {
    let (metadata, record) = (metadata.to_path_buf(), record.clone());
    listen(move |mut conn| {
        while let Ok(Some(request)) = conn.read_request() {
            thread::sleep(ms(10));
            let sent = match request.target.strip_prefix("/round-pack/metadata/") {
                Some(file) => match std::fs::read_to_string(metadata.join(file)) {
                    Ok(text) => conn.respond("200 OK", "", &text),
                    Err(_) => conn.respond("404 Not Found", "", ""),
                },
                None => conn.respond("200 OK", "", &pack(request.target.trim_start_matches("/round-pack/"))),
            };
            record.line(&format!("POD received {}", request.target));
            if sent.is_err() {
                return;
            }
        }
    })
}

fn case(record: &Arc<Record>) -> i32 {
    let folder = repository();
    let name = |n: usize| format!("s-{n}");
    let pods: Vec<Listed> =
        (0..3).map(|n| Listed::new(&name(n), start_pack_pod(&folder.join("metadata"), record), 41)).collect();
    let discovery = Discovery::start(41, pods.clone(), record);
    let platform = Platform::start(Standing::new(41, 0, "Healthy", 1.0), 6000, record, |_, standing| {
        (response("200 OK", "", &standing.xml()), ms(0))
    });
    let operators = format!(
        "{{ tuf: {{ operation: \"round-pack\", targets: \"/round-pack/\", metadata: \"/round-pack/metadata/\", \
         root: \"{}\", refresh_ms: 5000 }} }}\n",
        folder.join("metadata/1.root.json").display()
    );
    let peers: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()).collect();
    let start = |n: usize| {
        let setup = SidecarSetup {
            name: format!("n{n}"),
            self_index: n,
            fleet_size: 2,
            peer_listen: peers[n],
            peers: peers.clone(),
            operators: Some(operators.clone()),
            ..SidecarSetup::new(discovery.address, &platform, list_json(41, true, &pods))
        };
        let mut sidecar = Sidecar::start(&setup, record);
        if !sidecar.wait_ready(ms(10_000), record) {
            give_up("a sidecar is not ready");
        }
        sidecar
    };
    // n0 is asked for both packs, n1 for p/pack.tgz alone.
    let mut sidecars = [start(0), start(1)];
    let mut clients = [Client::new(sidecars[0].listen), Client::new(sidecars[1].listen)];
    let (mut of_q, mut of_p, mut asked) = (0, [0, 0], 0);
    while record.elapsed_ms() < RUN.as_millis() as f64 {
        for (sidecar, path) in [(0, "q/pack.tgz"), (0, "p/pack.tgz"), (1, "p/pack.tgz")] {
            asked += 1;
            let text = format!(
                "GET /round-pack/{path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: c-{asked}\r\n\
                 X-Priority-Class: round-pack\r\nX-Timeout-Ms: 3000\r\n\r\n"
            );
            let ended = clients[sidecar].ask_text(&text, ms(4000));
            record.line(&format!("CLIENT c-{asked} of n{sidecar} {path}: {ended:?}"));
            let served = ended.status() == 200;
            of_q += usize::from(served && path.starts_with('q'));
            of_p[sidecar] += usize::from(served && path.starts_with('p'));
        }
        thread::sleep(ms(200));
    }
    if sidecars.iter_mut().any(Sidecar::has_exited) {
        give_up("a sidecar exited");
    }
    record.say(&format!(
        "{asked} requests; n0 served q/pack.tgz {of_q} times, and p/pack.tgz, which editor 3 has not signed, {} times; n1 \
         served p/pack.tgz {} times",
        of_p[0], of_p[1]
    ));
    if of_q == 0 {
        return COULD_NOT_RUN;
    }
    if of_p == [0, 0] {
        HELD
    } else {
        BROKEN
    }
}

fn main() {
    run_case(case);
}
