//! The cases. Each returns 1 if the rule was broken, 0 if it held and 2 if it couldn't run.

use super::*;

pub fn run(name: &str, trouble: bool) -> std::io::Result<i32> {
    match name {
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

/// Bytes of the large heads: the configuration allows 16,384.
const HEAD_BYTES: usize = 16_300;
/// Headers of the others, beside the four that all requests have.
const HEADER_COUNT: usize = 56;

/// One of three daemons is partitioned from all servers for nine seconds.
fn large_heads(trouble: bool) -> std::io::Result<i32> {
    let routes = [("a", "/a/", "idempotent", 3000)];
    let bed = bed(10, 3, 3, config(3, &routes, &["app"]))?;
    if !bed.daemons.iter().all(Daemon::is_ready) {
        return finish(bed, 2);
    }
    let base = request_text("GET", "/a/w20/0000", "0-0000", &[], b"").len();
    let baggage = "b".repeat(HEAD_BYTES - base - "X-Baggage: \r\n".len());
    let large = vec![("X-Baggage".to_owned(), baggage)];
    let many: Vec<_> = (0..HEADER_COUNT)
        .map(|n| (format!("X-Trace-{n}"), "v".to_owned()))
        .collect();
    thread::sleep(Duration::from_millis(1500));
    let started = Instant::now();
    let mut threads = Vec::new();
    for node in 0..bed.daemons.len() {
        let (address, record) = (bed.daemons[node].front, bed.record.clone());
        let (large, many) = (large.clone(), many.clone());
        threads.push(thread::spawn(move || {
            let mut calls = Vec::new();
            for n in 0..220_u64 {
                let at = started + Duration::from_millis(50 * n);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let record = record.clone();
                let extra = if n % 2 == 0 {
                    large.clone()
                } else {
                    many.clone()
                };
                calls.push(thread::spawn(move || {
                    let id = format!("{node}-{n:04}");
                    let path = format!("/a/w20/{n:04}");
                    let at = started.elapsed();
                    (at, send(address, "GET", &path, &id, &extra, b"", &record))
                }));
            }
            let seen = calls.into_iter().filter_map(|call| call.join().ok());
            seen.collect::<Vec<_>>()
        }));
    }
    let cut_at = Duration::from_secs(2);
    thread::sleep(cut_at);
    if trouble {
        bed.cuts[0].store(true, Ordering::Relaxed);
        bed.record
            .note("edge-0 is partitioned from all servers".to_owned());
    }
    // Judged from `contactMs` after the cut began.
    let from = cut_at + Duration::from_millis(3000);
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
    bed.cuts[0].store(false, Ordering::Relaxed);
    let others = (served[1] + served[2]) as f64 / (tries[1] + tries[2]).max(1) as f64;
    let own = served[0] as f64 / tries[0].max(1) as f64;
    let failed = tries[0] - served[0];
    let all: usize = tries.iter().sum();
    let text = format!(
        "from 3 s after the cut: edge-0 served {} of {}, the others {} of {}",
        served[0],
        tries[0],
        served[1] + served[2],
        tries[1] + tries[2]
    );
    println!("{text}");
    bed.record.note(text);
    if others < 0.9 {
        return finish(bed, 2);
    }
    let is_broken = own < others * 2.0 / 3.0 && failed as f64 > 10.0 + all as f64 / 50.0;
    finish(bed, i32::from(is_broken))
}
