//! Results of the soak: counts of endings and faults, and distributions of answer times.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::account::{Fault, FaultKind};
use super::client::{Ending, Record};

/// The most faults of one kind that are printed in full.
const MAX_FAULTS_SHOWN: usize = 8;
const SIGNIFICANT_DIGITS: u8 = 2;
/// Longer answer times, in microseconds, count as this long.
const LONGEST_ANSWER_US: u64 = 10_000_000;

/// Results of one run or of several.
pub struct Report {
    /// Number of runs.
    pub runs: u64,
    /// Number of restarts.
    pub restarts: u64,
    /// Requests that were begun.
    pub requests: u64,
    /// Answers by status code.
    pub statuses: BTreeMap<u16, u64>,
    /// Answers 502 in runs whose pods answer at once, by the client's time limit.
    pub failures_with_well_pods: BTreeMap<Duration, u64>,
    /// Everything that the sidecar did wrong.
    pub faults: Vec<Fault>,
    /// Longest time from SIGTERM to the exit.
    pub longest_exit: Duration,
    /// The most memory that one sidecar process held, in KiB.
    pub peak_memory_kib: u64,
    /// Requests whose clients left before the answer.
    pub left: u64,
    /// Answer times in microseconds of requests sent while the sidecar was restarted.
    within_restarts: Histogram<u64>,
    /// Answer times in microseconds of all other requests.
    outside_restarts: Histogram<u64>,
}

impl Default for Report {
    fn default() -> Report {
        let histogram = || {
            Histogram::new_with_bounds(1, LONGEST_ANSWER_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid")
        };
        Report {
            runs: 0,
            restarts: 0,
            requests: 0,
            statuses: BTreeMap::new(),
            failures_with_well_pods: BTreeMap::new(),
            faults: Vec::new(),
            longest_exit: Duration::ZERO,
            peak_memory_kib: 0,
            left: 0,
            within_restarts: histogram(),
            outside_restarts: histogram(),
        }
    }
}

impl Report {
    /// The empty report of a single run.
    pub fn of_one_run() -> Report {
        Report { runs: 1, ..Report::default() }
    }

    /// Counts a request.
    pub fn add(&mut self, record: &Record, within_restart: bool, well_pods: bool) {
        self.requests += 1;
        self.left += u64::from(record.ending == Ending::Left);
        let Ending::Answered { status } = record.ending else { return };
        *self.statuses.entry(status).or_default() += 1;
        if status == 502 && well_pods {
            *self.failures_with_well_pods.entry(record.limit).or_default() += 1;
        }
        let histogram = if within_restart { &mut self.within_restarts } else { &mut self.outside_restarts };
        histogram.saturating_record((record.ended_at - record.sent_at).as_micros() as u64);
    }

    /// Adds the results of other runs.
    pub fn merge(&mut self, other: Report) {
        self.runs += other.runs;
        self.restarts += other.restarts;
        self.requests += other.requests;
        for (status, count) in other.statuses {
            *self.statuses.entry(status).or_default() += count;
        }
        for (limit, count) in other.failures_with_well_pods {
            *self.failures_with_well_pods.entry(limit).or_default() += count;
        }
        self.faults.extend(other.faults);
        self.longest_exit = self.longest_exit.max(other.longest_exit);
        self.peak_memory_kib = self.peak_memory_kib.max(other.peak_memory_kib);
        self.left += other.left;
        self.within_restarts += &other.within_restarts;
        self.outside_restarts += &other.outside_restarts;
    }

    /// Number of faults of a kind.
    pub fn count(&self, kind: FaultKind) -> usize {
        self.faults.iter().filter(|fault| fault.kind == kind).count()
    }

    /// Prints the faults, the distributions of answer times and the counts.
    pub fn print(&self) {
        let mut shown: BTreeMap<FaultKind, usize> = BTreeMap::new();
        for fault in &self.faults {
            let shown = shown.entry(fault.kind).or_default();
            *shown += 1;
            if *shown <= MAX_FAULTS_SHOWN {
                println!("{fault}");
            }
        }
        for (kind, count) in &shown {
            println!("fault {kind:?}: {count}");
        }
        println!("answers 502 with well pods, by time limit: {:?}", self.failures_with_well_pods);
        print_quantiles("outside restarts", &self.outside_restarts);
        print_quantiles("within restarts", &self.within_restarts);
        let statuses: Vec<String> = self.statuses.iter().map(|(status, n)| format!("{status}:{n}")).collect();
        println!(
            "soak: runs={} restarts={} requests={} left={} statuses={} longest_exit_ms={} peak_memory_kib={} faults={}",
            self.runs,
            self.restarts,
            self.requests,
            self.left,
            statuses.join(","),
            self.longest_exit.as_millis(),
            self.peak_memory_kib,
            self.faults.len()
        );
    }
}

fn print_quantiles(name: &str, histogram: &Histogram<u64>) {
    let ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "answer time {name}, ms: p50 {:.1}, p90 {:.1}, p99 {:.1}, p99.9 {:.1}, most {:.1} of {}",
        ms(0.5),
        ms(0.9),
        ms(0.99),
        ms(0.999),
        ms(1.0),
        histogram.len()
    );
}
