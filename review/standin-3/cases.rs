//! The cases. Each returns 1 if the rule was broken, 0 if it held and 2 if it couldn't run.

use super::*;

pub fn run(name: &str, trouble: bool) -> std::io::Result<i32> {
    match name {
        "unreadable-entry" => unreadable_entry(trouble),
        "kept-connections" => kept_connections(trouble),
        "large-heads" => large_heads(trouble),
        "lost-verdict" => lost_verdict(trouble),
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

/// Sends a load to each of three daemons, of which the last one is partitioned from all servers at an
/// instant, and judges what was sent `contactMs` after that.
fn partition_one(
    mut bed: Bed,
    loads: [Load; 3],
    cut_at: Duration,
    trouble: bool,
) -> std::io::Result<i32> {
    if !bed.daemons.iter().all(Daemon::is_ready) {
        return finish(bed, 2);
    }
    thread::sleep(Duration::from_millis(1500));
    let started = Instant::now();
    let mut threads = Vec::new();
    for (node, load) in loads.into_iter().enumerate() {
        let (address, record) = (bed.daemons[node].front, bed.record.clone());
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

/// Requests that run once only, 20 a second at each of three daemons, at servers that work 3 s on
/// each. From 3.2 s on two thirds of the clients of one daemon are at the others (`shift`, share 0.671
/// for 7.69 s), and from 6.2 s on that daemon is partitioned.
fn kept_connections(trouble: bool) -> std::io::Result<i32> {
    let routes = [("a", "/a/", "non_idempotent", 8000)];
    let bed = bed(10, 3, 3, config(3, &routes, &["app"]))?;
    let load = |meanwhile: f64| {
        let (mut load, mut at) = (Load::new(), 0.0);
        while at < 13_200.0 {
            let request = ClientRequest {
                method: "POST",
                path: format!("/a/w3000/{:04}", load.len()),
                extra: Vec::new(),
            };
            load.push((Duration::from_millis(at as u64), request));
            let is_shifted = (3_200.0..3_200.0 + 7_690.0).contains(&at);
            at += 50.0 / if is_shifted { meanwhile } else { 1.0 };
        }
        load
    };
    let others = 1.0 + SHIFT / 2.0;
    let loads = [load(others), load(others), load(1.0 - SHIFT)];
    partition_one(bed, loads, Duration::from_millis(6_200), trouble)
}

/// Share of a daemon's clients that move to the others.
const SHIFT: f64 = 0.671;

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
    let loads = [load.clone(), load.clone(), load];
    partition_one(bed, loads, Duration::from_secs(2), trouble)
}

/// A request that crashes servers comes again after all daemons were killed at the same moment.
fn lost_verdict(trouble: bool) -> std::io::Result<i32> {
    let routes = [("a", "/a/", "idempotent", 2000)];
    let mut bed = bed(10, 12, 4, config(3, &routes, &["app"]))?;
    if !bed.daemons.iter().all(Daemon::is_ready) {
        return finish(bed, 2);
    }
    let started = Instant::now();
    let fronts: Vec<_> = bed.daemons.iter().map(|daemon| daemon.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    // Sound requests beside it.
    for node in 0..fronts.len() {
        let (address, record, is_over) = (fronts[node], bed.record.clone(), is_over.clone());
        thread::spawn(move || {
            for n in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let (id, path) = (format!("{node}-{n:04}"), format!("/a/w20/{n:04}"));
                send(address, "GET", &path, &id, &[], b"", &record);
                thread::sleep(Duration::from_millis(60));
            }
        });
    }
    let mut back: Vec<(Duration, Option<String>)> = Vec::new();
    let (mut killed_at, mut back_at) = (None, None);
    let (mut sent, mut next, mut is_down) = (0, Duration::from_secs(3), false);
    let mut servers = bed.servers.clone();
    let kill_at = Duration::from_secs(13);
    let again_at = kill_at + Duration::from_millis(1000 + 4500);
    while started.elapsed() < again_at + Duration::from_secs(8) {
        let now = started.elapsed();
        // A crashed server is back under another id 3 s later; its entry goes after three
        // heartbeats.
        let crashed = |server: &PlainServer| server.down.load(Ordering::Relaxed);
        for server in servers.extract_if(.., |server| crashed(server)) {
            back.push((now + Duration::from_millis(3000), None));
            back.push((now + Duration::from_millis(3600), Some(server.id)));
        }
        for (_, gone) in back.extract_if(.., |(at, _)| *at <= now) {
            match gone {
                Some(id) => bed.store.remove("servers", &id),
                None => servers.push(bed.add_server()?),
            }
        }
        let is_first = now < Duration::from_secs(11);
        if now >= next && (is_first || now >= again_at) {
            next = now + Duration::from_millis(150);
            let (address, record) = (fronts[sent % fronts.len()], bed.record.clone());
            let id = format!("deadly-{sent:04}");
            sent += 1;
            thread::spawn(move || send(address, "GET", "/a/deadly", &id, &[], b"", &record));
        }
        if trouble && killed_at.is_none() && now >= kill_at {
            killed_at = Some(Instant::now());
            is_down = true;
            bed.record.note("all daemons are killed".to_owned());
            for daemon in &mut bed.daemons {
                daemon.kill();
            }
        }
        if is_down && now >= kill_at + Duration::from_secs(1) {
            is_down = false;
            for daemon in &mut bed.daemons {
                daemon.start()?;
            }
            back_at = Some(Instant::now());
            bed.record.note("all daemons are started".to_owned());
        }
        thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(500));
    let runs = bed.runs.lock().unwrap().clone();
    let deadly: Vec<_> = runs
        .iter()
        .filter(|run| run.path == "/a/deadly")
        .map(|run| run.at)
        .collect();
    let Some(third) = deadly.get(2) else {
        return finish(bed, 2);
    };
    // From the kill until a second after `contactMs` from the start no machine is in touch.
    let is_in_touch = |at: Instant| {
        killed_at.is_none_or(|killed| at < killed)
            || back_at.is_some_and(|back| at > back + CONTACT + Duration::from_secs(1))
    };
    let late = deadly
        .iter()
        .filter(|at| **at > *third + CONTACT && is_in_touch(**at))
        .count();
    let text = format!(
        "the request reached servers {} times, {late} of them later than 3 s after the third crash and from machines in touch (3 allowed)",
        deadly.len()
    );
    println!("{text}");
    bed.record.note(text);
    finish(bed, i32::from(late > 3))
}

/// Another writer leaves an entry with a byte that can't be read. Two seconds later a server drains,
/// and 3.5 s after that it is gone.
fn unreadable_entry(trouble: bool) -> std::io::Result<i32> {
    let routes = [("a", "/a/", "non_idempotent", 2000)];
    let bed = bed(10, 4, 4, config(3, &routes, &["app"]))?;
    if !bed.daemons.iter().all(Daemon::is_ready) {
        return finish(bed, 2);
    }
    thread::sleep(Duration::from_millis(1500));
    let started = Instant::now();
    let mut threads = Vec::new();
    for node in 0..bed.daemons.len() {
        let (address, record) = (bed.daemons[node].front, bed.record.clone());
        threads.push(thread::spawn(move || {
            let mut calls = Vec::new();
            for n in 0..240_u64 {
                let at = started + Duration::from_millis(50 * n);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let record = record.clone();
                calls.push(thread::spawn(move || {
                    let (id, path) = (format!("{node}-{n:04}"), format!("/a/w20/{n:04}"));
                    send(address, "POST", &path, &id, &[], b"", &record)
                }));
            }
            let seen = calls.into_iter().filter_map(|call| call.join().ok());
            seen.collect::<Vec<_>>()
        }));
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        // A raw control character within a text.
        let spec = "{\"service\":\"app\",\"note\":\"a\u{1}b\"}";
        bed.store
            .put("servers", "a-note", Json::Number(spec.to_owned()));
        bed.record
            .note("another writer leaves an entry with a byte that can't be read".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let server = bed.servers[0].clone();
    let mut entry = server.entry("app", "za");
    if let Json::Table(entry) = &mut entry {
        entry.insert("state".to_owned(), Json::Text("draining".to_owned()));
    }
    bed.store.put("servers", &server.id, entry);
    let drained_at = Instant::now();
    bed.record
        .note(format!("the store has that {} is draining", server.id));
    thread::sleep(Duration::from_millis(3500));
    bed.store.remove("servers", &server.id);
    server.crash();
    bed.record.note(format!("{} has left", server.id));
    let mut answers: BTreeMap<String, usize> = BTreeMap::new();
    for thread in threads {
        for seen in thread.join().unwrap_or_default() {
            let kind = match seen {
                Seen::Answer { status, .. } => status.to_string(),
                Seen::Closed(_) => "closed".to_owned(),
            };
            *answers.entry(kind).or_default() += 1;
        }
    }
    // `drainMs`.
    let bound = drained_at + Duration::from_millis(2000);
    let runs = bed.runs.lock().unwrap().clone();
    let own = runs.iter().filter(|run| run.server == server.id);
    let late = own.filter(|run| run.at > bound).count();
    let text = format!(
        "{late} requests reached {} later than 2 s after it was draining; answers {answers:?}",
        server.id
    );
    println!("{text}");
    bed.record.note(text);
    finish(bed, i32::from(late > 0))
}
