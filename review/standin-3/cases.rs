//! The cases. Each returns 1 if the rule was broken, 0 if it held and 2 if it couldn't run.

use super::*;

pub fn run(name: &str, trouble: bool) -> std::io::Result<i32> {
    match name {
        "kept-connections" => kept_connections(trouble),
        "large-heads" => large_heads(trouble),
        _ => {
            eprintln!("no such case: {name}");
            Ok(2)
        }
    }
}

fn finish(mut bed: Bed, code: i32) -> std::io::Result<i32> {
    for daemon in &mut bed.daemons {
        if daemon.has_exited() {
            bed.record
                .note(format!("{} has exited by itself", daemon.name));
        }
    }
    bed.record.note(format!("exit {code}"));
    bed.record.save();
    if std::env::var("KEEP").is_ok() {
        eprintln!("logs: {}", bed.folder.display());
    } else {
        let _ = std::fs::remove_dir_all(&bed.folder);
    }
    Ok(code)
}

/// Requests that the clients of each of three daemons send: when, and with what.
type Load = Vec<(Duration, ClientRequest)>;

#[derive(Clone)]
struct ClientRequest {
    method: &'static str,
    path: String,
    extra: Vec<(String, String)>,
}

/// Sends the same load to three daemons, of which the last one is partitioned from all servers at an
/// instant, and judges what was sent `contactMs` after that.
fn partition_one(
    mut bed: Bed,
    load: &Load,
    cut_at: Duration,
    trouble: bool,
) -> std::io::Result<i32> {
    if !bed.daemons.iter().all(Daemon::is_ready) {
        return finish(bed, 2);
    }
    thread::sleep(Duration::from_millis(1500));
    let started = Instant::now();
    let mut threads = Vec::new();
    for node in 0..bed.daemons.len() {
        let (address, record) = (bed.daemons[node].front, bed.record.clone());
        let load = load.clone();
        threads.push(thread::spawn(move || {
            let mut calls = Vec::new();
            for (n, (at, request)) in load.into_iter().enumerate() {
                thread::sleep((started + at).saturating_duration_since(Instant::now()));
                let record = record.clone();
                calls.push(thread::spawn(move || {
                    let id = format!("{node}-{n:04}");
                    let ClientRequest {
                        method,
                        path,
                        extra,
                    } = request;
                    let at = started.elapsed();
                    let seen = send(address, method, &path, &id, &extra, b"", &record);
                    (at, seen)
                }));
            }
            let seen = calls.into_iter().filter_map(|call| call.join().ok());
            seen.collect::<Vec<_>>()
        }));
    }
    thread::sleep(cut_at);
    if trouble {
        bed.partition(2);
    }
    let from = cut_at + CONTACT;
    let (mut served, mut tries) = ([0_usize; 3], [0_usize; 3]);
    for (node, thread) in threads.into_iter().enumerate() {
        for (at, seen) in thread.join().unwrap_or_default() {
            if at < from {
                continue;
            }
            tries[node] += 1;
            let is_served = matches!(
                seen,
                Seen::Answer {
                    status: 200,
                    sealed: true,
                    bytes: 800
                }
            );
            served[node] += usize::from(is_served);
        }
    }
    let others = (served[0] + served[1]) as f64 / (tries[0] + tries[1]).max(1) as f64;
    let own = served[2] as f64 / tries[2].max(1) as f64;
    let failed = tries[2] - served[2];
    let all: usize = tries.iter().sum();
    let text = format!(
        "from 3 s after the cut: edge-2 served {} of {}, the others {} of {}",
        served[2],
        tries[2],
        served[0] + served[1],
        tries[0] + tries[1]
    );
    println!("{text}");
    bed.record.note(text);
    if others < 0.9 {
        return finish(bed, 2);
    }
    let is_broken = own < others * 2.0 / 3.0 && failed as f64 > 10.0 + all as f64 / 50.0;
    finish(bed, i32::from(is_broken))
}

/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3000);

/// Requests that run once only, 36 a second for 3 s and six a second from then on, at servers that
/// work 1.5 s on each. One daemon is partitioned at 6 s.
fn kept_connections(trouble: bool) -> std::io::Result<i32> {
    let routes = [("a", "/a/", "non_idempotent", 8000)];
    let bed = bed(10, 3, 3, config(3, &routes, &["app"]))?;
    let (mut load, mut at) = (Load::new(), 0_u64);
    while at < 15_000 {
        let request = ClientRequest {
            method: "POST",
            path: format!("/a/w1500/{:04}", load.len()),
            extra: Vec::new(),
        };
        load.push((Duration::from_millis(at), request));
        at += if at < 3_000 { 28 } else { 160 };
    }
    partition_one(bed, &load, Duration::from_secs(6), trouble)
}

/// Bytes of the large heads: the configuration allows 16,384.
const HEAD_BYTES: usize = 16_300;
/// Headers of the others, beside the four that all requests have.
const HEADER_COUNT: usize = 56;

/// Idempotent requests, 20 a second. One daemon is partitioned at 2 s.
fn large_heads(trouble: bool) -> std::io::Result<i32> {
    let routes = [("a", "/a/", "idempotent", 3000)];
    let bed = bed(10, 3, 3, config(3, &routes, &["app"]))?;
    let base = request_text("GET", "/a/w20/0000", "0-0000", &[], b"").len();
    let baggage = "b".repeat(HEAD_BYTES - base - "X-Baggage: \r\n".len());
    let large = vec![("X-Baggage".to_owned(), baggage)];
    let many: Vec<_> = (0..HEADER_COUNT)
        .map(|n| (format!("X-Trace-{n}"), "v".to_owned()))
        .collect();
    let mut load = Load::new();
    for n in 0..220_u64 {
        let extra = if n % 2 == 0 { &large } else { &many };
        let request = ClientRequest {
            method: "GET",
            path: format!("/a/w20/{n:04}"),
            extra: extra.clone(),
        };
        load.push((Duration::from_millis(50 * n), request));
    }
    partition_one(bed, &load, Duration::from_secs(2), trouble)
}
