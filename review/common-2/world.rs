//! Stand-ins and helpers that the cases share: a sidecar process, pods, discovery, the platform, clients and
//! the record of what was sent, answered and run. Only the standard library is used.
#![allow(dead_code)]

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// A whole case ends after this time at the latest.
const CASE_LIMIT: Duration = Duration::from_secs(110);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case as one that could not run.
pub fn give_up(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(COULD_NOT_RUN);
}

/// Runs a case on the main thread, so that the processes it starts end with it, and exits with its code.
pub fn run_case(case: fn(&Arc<Record>) -> i32) {
    let record = Record::create();
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        give_up("the time for a case is over");
    });
    // A failed expectation in any thread means that the case itself did not work.
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        give_up("a stand-in failed");
    }));
    let code = case(&record);
    let word = if code == BROKEN {
        "broken"
    } else if code == HELD {
        "held"
    } else {
        "could not run"
    };
    record.line(&format!("RESULT {word} (exit {code})"));
    println!("{word}");
    std::process::exit(code);
}

// ---- the record

/// The file `record.txt` in the folder of the case. Each line begins with the milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    fn create() -> Arc<Record> {
        let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| give_up("CASE_DIR is not set"));
        let file = File::create(Path::new(&folder).join("record.txt"));
        let file = file.unwrap_or_else(|error| give_up(&format!("record.txt: {error}")));
        let record = Arc::new(Record { file: Mutex::new(file), started: Instant::now() });
        record.line(&format!("START trouble={}", u8::from(trouble())));
        record
    }

    pub fn elapsed_ms(&self) -> f64 {
        self.at_ms(Instant::now())
    }

    pub fn at_ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let line = format!("{:10.3} {text}\n", self.at_ms(at));
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line here and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

// ---- random numbers (xorshift), from a fixed seed

pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    /// A number from 0 to 1.
    pub fn part(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.part()
    }
}

// ---- HTTP messages

/// A request as a stand-in has received it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub head: String,
    pub body: Vec<u8>,
    /// When its first and its last byte had come.
    pub first_byte: Instant,
    pub last_byte: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        fields.filter(|(n, _)| n.trim().eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
    }
    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or("")
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|part| part == needle)
}

fn content_length(head: &str) -> usize {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    let mut lengths = fields.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    lengths.next().and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(0)
}

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16384];
        let len = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..len]);
        Ok(len)
    }

    /// Reads until a whole head and the body that its length announces are there.
    fn read_message(&mut self) -> io::Result<Option<(String, Vec<u8>, Instant, Instant)>> {
        let mut first_byte = (!self.buffer.is_empty()).then(Instant::now);
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                let whole = end + 4 + content_length(&head);
                if self.buffer.len() >= whole {
                    let now = Instant::now();
                    let body = self.buffer[end + 4..whole].to_vec();
                    self.buffer.drain(..whole);
                    return Ok(Some((head, body, first_byte.unwrap_or(now), now)));
                }
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
            first_byte.get_or_insert_with(Instant::now);
        }
    }

    /// The next request, or `None` at the end of the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some((head, body, first_byte, last_byte)) = self.read_message()? else { return Ok(None) };
        let mut words = head.lines().next().unwrap_or("").split(' ');
        let (method, target) = (words.next().unwrap_or("").to_string(), words.next().unwrap_or("").to_string());
        Ok(Some(Request { method, target, head, body, first_byte, last_byte }))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(&mut self, status: &str, headers: &str, body: &str) -> io::Result<()> {
        self.write(response(status, headers, body).as_bytes())
    }

    pub fn chunk(&mut self, text: &str) -> io::Result<()> {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    }
}

/// A whole response; `headers` has whole lines, each with its end.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Accepts connections on a free loopback port, each served by a thread of its own.
pub fn listen(handler: impl Fn(Conn) + Send + Sync + 'static) -> SocketAddr {
    listen_at("127.0.0.1:0", handler)
}

pub fn listen_at(at: &str, handler: impl Fn(Conn) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(at).unwrap_or_else(|error| give_up(&format!("{at}: {error}")));
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || handler(Conn::new(stream)));
        }
    });
    address
}

/// A loopback address with a port that was free a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

// ---- a client

/// How a request of a client ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    Answered {
        status: u16,
        body: String,
    },
    /// The connection ended without a whole answer.
    Broken(String),
    /// No whole answer within the time that the client waits.
    NoAnswer,
}

impl Ended {
    pub fn status(&self) -> u16 {
        if let Ended::Answered { status, .. } = self {
            *status
        } else {
            0
        }
    }
}

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: String,
    pub class: &'static str,
    /// `Idempotency-Key` and body of a POST; a GET has none.
    pub post: Option<String>,
    pub timeout_ms: u64,
}

impl Ask {
    pub fn get(id: String, class: &'static str, timeout_ms: u64) -> Ask {
        Ask { id, class, post: None, timeout_ms }
    }

    pub fn text(&self) -> String {
        let Ask { id, class, post, timeout_ms } = self;
        let (method, more, body) = match post {
            None => ("GET", String::new(), ""),
            Some(body) => {
                ("POST", format!("Idempotency-Key: key-{id}\r\nContent-Length: {}\r\n", body.len()), body.as_str())
            }
        };
        format!(
            "{method} /{class}/{id} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {class}\r\nX-Tenant-Id: wirtsring-ost\r\nX-Timeout-Ms: {timeout_ms}\r\n{more}\r\n{body}"
        )
    }
}

/// A client with one connection that it keeps while it may.
pub struct Client {
    to: SocketAddr,
    conn: Option<Conn>,
    /// When the last byte of the last request was written.
    pub sent_at: Instant,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client { to, conn: None, sent_at: Instant::now() }
    }

    /// A client that has connected already.
    pub fn with(to: SocketAddr, stream: TcpStream) -> Client {
        Client { to, conn: Some(Conn::new(stream)), sent_at: Instant::now() }
    }

    pub fn is_connected(&self) -> bool {
        self.conn.is_some()
    }

    /// Connects if needed, sends a request and waits for `wait` at most. A connection that ends between two
    /// requests is no answer to the second: it is sent once more on a new one.
    pub fn ask(&mut self, ask: &Ask, wait: Duration) -> Ended {
        self.ask_text(&ask.text(), wait)
    }

    /// Like [`Client::ask`], with the bytes of the request.
    pub fn ask_text(&mut self, text: &str, wait: Duration) -> Ended {
        for _ in 0..2 {
            let reused = self.conn.is_some();
            let conn = match self.conn.take() {
                Some(conn) => conn,
                None => match TcpStream::connect_timeout(&self.to, ms(2000)) {
                    Ok(stream) => Conn::new(stream),
                    Err(error) => return Ended::Broken(format!("connect: {error}")),
                },
            };
            let ended = self.exchange(conn, text, wait);
            let crossed = matches!(&ended, Ended::Broken(why) if why == "no byte");
            if !(reused && crossed) {
                return ended;
            }
        }
        Ended::Broken("no byte".into())
    }

    fn exchange(&mut self, mut conn: Conn, text: &str, wait: Duration) -> Ended {
        let deadline = Instant::now() + wait;
        if conn.write(text.as_bytes()).is_err() {
            return Ended::Broken("no byte".into());
        }
        self.sent_at = Instant::now();
        loop {
            if let Some((status, body, close)) = take_answer(&mut conn.buffer) {
                if !close {
                    self.conn = Some(conn);
                }
                return Ended::Answered { status, body };
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ended::NoAnswer;
            }
            let _ = conn.stream.set_read_timeout(Some(left));
            match conn.fill() {
                Ok(0) if conn.buffer.is_empty() => return Ended::Broken("no byte".into()),
                Ok(0) => return Ended::Broken("a part of an answer".into()),
                Ok(_) => {}
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    return Ended::NoAnswer;
                }
                Err(_) if conn.buffer.is_empty() => return Ended::Broken("no byte".into()),
                Err(error) => return Ended::Broken(error.to_string()),
            }
        }
    }
}

fn take_answer(buffer: &mut Vec<u8>) -> Option<(u16, String, bool)> {
    let end = find(buffer, b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let whole = end + 4 + content_length(&head);
    if buffer.len() < whole {
        return None;
    }
    let body = String::from_utf8_lossy(&buffer[end + 4..whole]).into_owned();
    buffer.drain(..whole);
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let close = head.to_ascii_lowercase().contains("connection: close");
    Some((status, body, close))
}

// ---- discovery

/// One pod as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub status: &'static str,
    pub group: u32,
    pub weight: f64,
    pub since_ms: u64,
    pub release: u32,
}

impl Listed {
    pub fn new(name: &str, address: SocketAddr, release: u32) -> Listed {
        Listed {
            name: name.into(),
            address,
            zone: "linz-1",
            status: "in_service",
            group: 1,
            weight: 1.0,
            since_ms: 0,
            release,
        }
    }
}

/// A list in discovery's form on one line.
pub fn list_json(index: u64, snapshot: bool, pods: &[Listed]) -> String {
    let entry = |pod: &Listed| {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"standard-3","group":{},"status":"{}","weight":{:?},"since_ms":{},"release":{}}}"#,
            pod.name, pod.address, pod.zone, pod.group, pod.status, pod.weight, pod.since_ms, pod.release
        )
    };
    let entries: Vec<String> = pods.iter().map(entry).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

struct DiscoveryState {
    index: u64,
    pods: Vec<Listed>,
}

/// Discovery's agent. Each call gets the whole list first and then each later version, as a whole list too; an
/// empty line comes every 2 s while nothing changes.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    /// How long the agent takes to begin the answer to a call, in ms.
    pub answer_delay_ms: Arc<AtomicU64>,
    pub calls: Arc<AtomicU64>,
}

impl Discovery {
    pub fn start(index: u64, pods: Vec<Listed>, record: &Arc<Record>) -> Discovery {
        let state = Arc::new((Mutex::new(DiscoveryState { index, pods }), Condvar::new()));
        let answer_delay_ms = Arc::new(AtomicU64::new(0));
        let calls = Arc::new(AtomicU64::new(0));
        let parts = (state.clone(), answer_delay_ms.clone(), calls.clone(), record.clone());
        let address = listen(move |mut conn| {
            let (state, delay, calls, record) = &parts;
            let Ok(Some(request)) = conn.read_request() else { return };
            let call = calls.fetch_add(1, Ordering::SeqCst) + 1;
            record.line(&format!("DISCOVERY call {call}: {} {}", request.method, request.target));
            thread::sleep(ms(delay.load(Ordering::SeqCst)));
            let form = |state: &DiscoveryState| list_json(state.index, true, &state.pods);
            let mut known = {
                let state = state.0.lock().unwrap();
                let text = form(&state);
                let index = state.index;
                drop(state);
                if !request.target.contains("stream=1") {
                    let _ = conn.respond("200 OK", "Content-Type: application/json\r\n", &text);
                    return;
                }
                let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
                if conn.write(head.as_bytes()).is_err() || conn.chunk(&format!("{text}\n")).is_err() {
                    return record.line(&format!("DISCOVERY call {call}: the caller has gone"));
                }
                record.line(&format!("DISCOVERY call {call}: told version {index}, {} bytes", text.len()));
                index
            };
            loop {
                let guard = state.0.lock().unwrap();
                let (guard, _) = state.1.wait_timeout_while(guard, ms(2000), |s| s.index == known).unwrap();
                let line = if guard.index == known { "\n".to_string() } else { form(&guard) + "\n" };
                let index = guard.index;
                drop(guard);
                if conn.chunk(&line).is_err() {
                    return;
                }
                if index != known {
                    record.line(&format!("DISCOVERY call {call}: told version {index}, {} bytes", line.len()));
                }
                known = index;
            }
        });
        Discovery { address, state, answer_delay_ms, calls }
    }

    /// Replaces the list; open watches are told at once.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Listed>)) {
        let mut state = self.state.0.lock().unwrap();
        change(&mut state.pods);
        state.index += 1;
        self.state.1.notify_all();
    }
}

// ---- the platform

/// The state of the newest build.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    pub build: u32,
    pub stage: u32,
    pub phase: &'static str,
    pub cap: f64,
    pub since: Instant,
}

impl Standing {
    pub fn new(build: u32, stage: u32, phase: &'static str, cap: f64) -> Standing {
        Standing { build, stage, phase, cap, since: Instant::now() }
    }

    fn fields(&self) -> [(&'static str, String); 5] {
        [
            ("build", self.build.to_string()),
            ("stage", self.stage.to_string()),
            ("phase", self.phase.to_string()),
            ("cap", self.cap.to_string()),
            ("age_ms", self.since.elapsed().as_millis().to_string()),
        ]
    }

    pub fn event(&self) -> String {
        let fields: Vec<String> = self.fields().iter().map(|(name, value)| format!("{name}={value}")).collect();
        format!("event: ROLLOUT\ndata: {}\n\n", fields.join("&"))
    }

    pub fn xml(&self) -> String {
        let fields: String = self.fields().iter().map(|(name, value)| format!("<{name}>{value}</{name}>")).collect();
        format!("<?xml version=\"1.0\"?>\n<Response><entries><item>{fields}</item></entries></Response>")
    }

    pub fn json(&self) -> String {
        format!(
            r#"{{"build":{},"stage":{},"phase":"{}","cap":{},"age_ms":{}}}"#,
            self.build,
            self.stage,
            self.phase,
            self.cap,
            self.since.elapsed().as_millis()
        )
    }
}

/// A vote that the platform received.
#[derive(Clone, Debug)]
pub struct Vote {
    pub at: Instant,
    pub build: u32,
    pub stage: u32,
    pub verdict: String,
}

/// The platform: streams the standing at once, after each change and every `push_ms`, and answers votes with
/// what `on_vote` returns (the text of a whole response) after the delay that it returns. `on_vote` may change
/// the standing.
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, Standing)>, Condvar)>,
    pub votes: Arc<Mutex<Vec<Vote>>>,
}

impl Platform {
    pub fn start(
        standing: Standing, push_ms: u64, record: &Arc<Record>,
        on_vote: impl Fn(&Vote, &mut Standing) -> (String, Duration) + Send + Sync + 'static,
    ) -> Platform {
        let state = Arc::new((Mutex::new((0u64, standing)), Condvar::new()));
        let votes: Arc<Mutex<Vec<Vote>>> = Arc::default();
        let parts = (state.clone(), votes.clone(), record.clone());
        let address = listen(move |mut conn| {
            let (state, votes, record) = &parts;
            while let Ok(Some(request)) = conn.read_request() {
                if request.method == "GET" {
                    return stream_standing(conn, state, push_ms, record);
                }
                let form = request.text();
                let field = |name: &str| {
                    let pairs = form.split('&').filter_map(|pair| pair.split_once('='));
                    pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.to_string()).next().unwrap_or_default()
                };
                let number = |name: &str| field(name).parse().unwrap_or(0);
                let vote = Vote {
                    at: request.last_byte,
                    build: number("build"),
                    stage: number("stage"),
                    verdict: field("verdict"),
                };
                record.line_at(vote.at, &format!("PLATFORM vote {form}"));
                votes.lock().unwrap().push(vote.clone());
                let (answer, delay) = {
                    let mut state_now = state.0.lock().unwrap();
                    let before = state_now.1.clone();
                    let answered = on_vote(&vote, &mut state_now.1);
                    if state_now.1 != before {
                        state_now.0 += 1;
                        state.1.notify_all();
                    }
                    answered
                };
                thread::sleep(delay);
                let sent = conn.write(answer.as_bytes()).is_ok();
                record.line(&format!("PLATFORM answered the vote (sent: {sent}): {}", answer.replace("\r\n", " ")));
                if !sent {
                    return;
                }
            }
        });
        Platform { address, state, votes }
    }

    pub fn set(&self, standing: Standing) {
        let mut state = self.state.0.lock().unwrap();
        state.0 += 1;
        state.1 = standing;
        self.state.1.notify_all();
    }

    pub fn standing(&self) -> Standing {
        self.state.0.lock().unwrap().1.clone()
    }
}

fn stream_standing(mut conn: Conn, state: &Arc<(Mutex<(u64, Standing)>, Condvar)>, push_ms: u64, record: &Arc<Record>) {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    if conn.write(head.as_bytes()).is_err() {
        return;
    }
    let mut known = u64::MAX;
    let mut pushed_at = Instant::now();
    loop {
        let guard = state.0.lock().unwrap();
        let (guard, _) = state.1.wait_timeout_while(guard, ms(500), |s| s.0 == known).unwrap();
        let (version, standing) = guard.clone();
        drop(guard);
        let text = if version != known || pushed_at.elapsed() >= ms(push_ms) {
            known = version;
            pushed_at = Instant::now();
            let event = standing.event();
            record.line(&format!("PLATFORM told {}", event.trim_end().replace('\n', " ")));
            event
        } else {
            ":\n".to_string()
        };
        if conn.chunk(&text).is_err() {
            return;
        }
    }
}

// ---- the sidecar

/// What a configuration is made of; the defaults are those of a small deployment.
#[derive(Clone)]
pub struct SidecarSetup {
    pub name: String,
    pub self_index: usize,
    pub fleet_size: usize,
    pub discovery: SocketAddr,
    pub platform: SocketAddr,
    pub news: Standing,
    pub known: String,
    pub peer_listen: SocketAddr,
    pub peers: Vec<SocketAddr>,
    pub sockets: u32,
    pub memory_mb: u32,
    pub classes: String,
    pub layout: &'static str,
    pub seed: String,
    /// The operators' file. `LEADERSHIP_KEY` stands beside it as `leadership-1.key`.
    pub operators: Option<String>,
}

/// The key that all instances share.
const LEADERSHIP_KEY: &str = "c3RhZ2Vwb25kLXJldmlldy1rZXktMDEyMzQ1Njc4OWFiY2RlZg";

/// The three classes of the quiz deployment.
pub const CLASSES: &str = r#"[
 {"aim_ms":600.0,"deadline_ms":2500.0,"group":"all","late_worth":0.0,"name":"scoreboard","repeat":"pure","streaming":false,"window_ms":5000.0,"worth":1.0},
 {"aim_ms":1000.0,"deadline_ms":3000.0,"group":"all","late_worth":0.0,"name":"round-pack","repeat":"pure","streaming":false,"window_ms":5000.0,"worth":3.0},
 {"aim_ms":600.0,"deadline_ms":2500.0,"group":"all","late_worth":0.0,"name":"answer-sheet","repeat":"token","streaming":false,"window_ms":5000.0,"worth":5.0}]"#;

impl SidecarSetup {
    pub fn new(discovery: SocketAddr, platform: &Platform, known: String) -> SidecarSetup {
        let peer_listen = free_address();
        SidecarSetup {
            name: "n0".into(),
            self_index: 0,
            fleet_size: 1,
            discovery,
            platform: platform.address,
            news: platform.standing(),
            known,
            peer_listen,
            peers: vec![peer_listen],
            sockets: 1024,
            memory_mb: 192,
            classes: CLASSES.into(),
            layout: "beside",
            seed: "8c1f30d27a5be964".into(),
            operators: None,
        }
    }

    pub fn json(&self, listen: SocketAddr) -> String {
        let peers: Vec<String> = self.peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed}",
"limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
"peer_listen":"{peer_listen}","peers":[{peers}],"peers_all":"{peer_listen}",
"pipeline":{{"address":"{platform}","news":{news}}},
"known":{known},
"settings":{{
 "bounds":{{"cancel":true,"connect_timeout_ms":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"idle_close_ms":15000.0,"max_attempts":3,"max_open":20000,"max_retry_after_ms":2000.0,"multiplex":1,"parallel_tries":false,"peers":true,"probing":false,"retry_after":true}},
 "classes":{classes},
 "clients":{{"marks_retry":false}},
 "family":"rollout",
 "family_info":{{"back_votes":1,"ballot_ttl_ms":6000.0,"caps":[0.051,0.204,0.68,1.0],"counts":"all","exposure_window_ms":3000.0,"flag_share":0.15,"guarded_stages":0,"harm_fee":3.0,"layout":"{layout}","least_stage_ms":3000.0,"moves_after_ms":0.0,"no_return":false,"on_votes":1,"push_ms":6000.0,"spare_tries":1.0,"stale_build_price":0.35,"steps":[0.03,0.12,0.4,1.0],"tally_every_ms":0.0,"tally_sample":0.0,"to_pause":0,"vote_allowance":60.0,"vote_mode":"any","vote_wait_ms":1200.0,"warm_keys":false}},
 "fleet_size":{fleet_size},
 "guarantees":{{"answer_slack_ms":20.0,"ask_every_ms":10000.0,"cold_share":0.34,"fall_ms":3000.0,"fall_multiple":3.0,"ramp_time_ms":4600.0,"stop_sending_within_ms":2000.0}},
 "layer":0,"membership_mode":"automatic","over_share_worth":0.1,
 "prices":{{"connection":0.0,"cross_zone":0.08,"handshake":0.0,"late_fail":0.03,"membership_mode":0.0,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.0,"waste":0.03}},
 "report":{{"columns":["rif","busy"],"how":"piggyback"}},
 "score_parts":{{"whole":0.6,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.1}},
 "self_index":{self_index},"skus":["standard-3"],"step_ms":5.0,
 "tenants":[{{"fraction":0.76,"name":"wirtsring-ost","quota_per_s":230.0}},{{"fraction":0.12,"name":"alpenstuben","quota_per_s":36.0}},{{"fraction":0.12,"name":"donaukeller","quota_per_s":36.0}}],
 "tiers":["rundenserver"],"weight_kind":"rough","worth_by":"request",
 "zone":"linz-1","zones":["wien-1","linz-1","graz-1"]}}}}"#,
            name = self.name,
            discovery = self.discovery,
            seed = self.seed,
            memory = self.memory_mb,
            sockets = self.sockets,
            peer_listen = self.peer_listen,
            peers = peers.join(","),
            platform = self.platform,
            news = self.news.json(),
            known = self.known,
            classes = self.classes,
            layout = self.layout,
            fleet_size = self.fleet_size,
            self_index = self.self_index,
        )
    }
}

/// The folder of the repository, from the script.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT_DIR").unwrap_or_else(|_| give_up("ROOT_DIR is not set")))
}

/// A temporary folder of the case, which the script removes.
pub fn temporary() -> PathBuf {
    PathBuf::from(std::env::var("CASE_TMP").unwrap_or_else(|_| give_up("CASE_TMP is not set")))
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next()).map(str::to_string);
    command.unwrap_or_else(|| give_up("deploy/balancer.toml has no run"))
}

/// A sidecar process, which is killed when this is dropped.
pub struct Sidecar {
    child: Child,
    pub listen: SocketAddr,
    pub log: PathBuf,
}

impl Sidecar {
    /// Starts a sidecar by the command of the deploy file, as its page says.
    pub fn start(setup: &SidecarSetup, record: &Arc<Record>) -> Sidecar {
        Sidecar::start_at(setup, free_address(), record)
    }

    pub fn start_at(setup: &SidecarSetup, listen: SocketAddr, record: &Arc<Record>) -> Sidecar {
        let folder = temporary().join(&setup.name);
        std::fs::create_dir_all(folder.join("tmp")).expect("a temporary folder");
        let config = folder.join("config.json");
        std::fs::write(&config, setup.json(listen)).expect("the configuration");
        let log = folder.join("log.txt");
        let log_file = File::options().create(true).append(true).open(&log).expect("the log");
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run_command())
            .current_dir(root())
            .env("BALANCER_NAME", &setup.name)
            .env("BALANCER_LISTEN", listen.to_string())
            .env("BALANCER_DISCOVERY", setup.discovery.to_string())
            .env("BALANCER_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log_file.try_clone().expect("the log"))
            .stderr(log_file);
        if let Some(text) = &setup.operators {
            let (file, key) = (folder.join("operators.json5"), folder.join("leadership-1.key"));
            std::fs::write(&file, text).expect("the operators' file");
            std::fs::write(&key, LEADERSHIP_KEY).expect("the key");
            std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).expect("the key's mode");
            command.env("STAGEPOND_OPERATORS", &file);
        }
        if std::env::var("STAGEPOND_LOG").is_err() {
            command.env("STAGEPOND_LOG", "info");
        }
        // SAFETY: prctl is async-signal-safe and touches no memory.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|error| give_up(&format!("the sidecar: {error}")));
        record.line(&format!("SIDECAR {} started, pid {}, clients at {listen}", setup.name, child.id()));
        Sidecar { child, listen, log }
    }

    /// Waits until `/ready` answers 200; returns whether it did within the time.
    pub fn wait_ready(&mut self, within: Duration, record: &Arc<Record>) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if self.has_exited() {
                give_up("the sidecar exited");
            }
            if let Ok(stream) = TcpStream::connect_timeout(&self.listen, ms(500)) {
                let mut conn = Conn::new(stream);
                let _ = conn.stream.set_read_timeout(Some(ms(1000)));
                let asked = conn.write(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                while asked.is_ok() && conn.fill().is_ok_and(|len| len > 0) {
                    if let Some((status, ..)) = take_answer(&mut conn.buffer) {
                        if status == 200 {
                            record.line("SIDECAR ready");
                            return true;
                        }
                        break;
                    }
                }
            }
            thread::sleep(ms(50));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a plain system call on a process that this one started and has not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the end of the process; returns whether it ended within the time.
    pub fn wait_exit(&mut self, within: Duration) -> bool {
        let end = Instant::now() + within;
        while !self.has_exited() && Instant::now() < end {
            thread::sleep(ms(10));
        }
        self.has_exited()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The lines of the log that contain this text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- pods

/// An attempt that a pod received whole.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub pod: String,
    pub id: String,
    pub first_byte: Instant,
    pub last_byte: Instant,
}

pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// What the 200 answer to a request holds: only the request itself decides it.
pub fn answer_body(id: &str) -> String {
    format!("answer made for {id}\n")
}

/// Serves each request after `work` as a sound pod does.
pub fn start_pod(name: &str, work: Duration, attempts: &Attempts, record: &Arc<Record>) -> SocketAddr {
    let (name, attempts, record) = (name.to_string(), attempts.clone(), record.clone());
    listen(move |conn| serve_pod(conn, &name, work, &attempts, &record))
}

/// Serves one connection of a sound pod.
pub fn serve_pod(mut conn: Conn, name: &str, work: Duration, attempts: &Attempts, record: &Arc<Record>) {
    while let Ok(Some(request)) = conn.read_request() {
        note_attempt(name, &request, attempts, record);
        thread::sleep(work);
        let body = answer_body(request.id());
        if conn.respond("200 OK", "X-Server-Load: rif=1,busy=0.10\r\n", &body).is_err() {
            return;
        }
    }
}

pub fn note_attempt(pod: &str, request: &Request, attempts: &Attempts, record: &Arc<Record>) {
    record.line_at(request.last_byte, &format!("POD {pod} received {}", request.id()));
    let (first_byte, last_byte) = (request.first_byte, request.last_byte);
    attempts.lock().unwrap().push(Attempt { pod: pod.into(), id: request.id().into(), first_byte, last_byte });
}
