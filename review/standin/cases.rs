//! The scripted cases.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Handler, Server, sealed};
use crate::http::{Got, Req, respond};
use crate::record::Record;
use crate::world::{KEY, Outcome, Verdict, World, config};

/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Work of a plain request.
const PLAIN_WORK: Duration = Duration::from_millis(60);

pub fn play(case: &str, record: &Record, has_trouble: bool) -> Outcome {
    match case {
        "endless" => endless(record, has_trouble),
        "forgotten-request" => forgotten_request(record, has_trouble),
        "false-promise" => false_promise(record, has_trouble),
        "begun-answer" => begun_answer(record, has_trouble),
        "silent-links" => silent_links(record, has_trouble),
        "stale-owner" => stale_owner(record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

fn ms(duration: Duration) -> u128 {
    duration.as_millis()
}

/// Sound answer of a plain server.
fn answer_plain(server: &Server, req: &Req, stream: &mut TcpStream) -> io::Result<()> {
    let id = req.header("x-bronzerun-request-id");
    std::thread::sleep(PLAIN_WORK);
    respond(
        stream,
        "200 OK",
        &sealed(server, req),
        format!("done {id}").as_bytes(),
    )
}

/// Head of a stream's answer.
fn begin_stream(server: &Server, req: &Req, stream: &mut TcpStream) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n{}\r\n",
        sealed(server, req)
    );
    stream.write_all(head.as_bytes())
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

const EVENTS: u64 = 8;

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// Refusal of an engine that is no head of an open group of the request's model.
fn refuse_engine(req: &Req, stream: &mut TcpStream) -> io::Result<()> {
    let id = req.header("x-bronzerun-request-id");
    let headers = format!("x-bronzerun-not-executed: 1\r\nx-bronzerun-request-id: {id}\r\n");
    respond(stream, "503 Service Unavailable", &headers, b"")
}

/// Sound answer of an engine.
fn answer_engine(server: &Arc<Server>, req: &Req, stream: &mut TcpStream) -> io::Result<()> {
    if !server.serves(req.header("x-bronzerun-model")) || !server.wait_whole() {
        return refuse_engine(req, stream);
    }
    let id = req.header("x-bronzerun-request-id");
    let first = req.header("last-event-id").parse().unwrap_or(0) + 1;
    std::thread::sleep(Duration::from_millis(110));
    begin_stream(server, req, stream)?;
    for number in first..=EVENTS {
        if !server.wait_whole() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        write_chunk(stream, &event(id, number))?;
        std::thread::sleep(Duration::from_millis(40));
    }
    stream.write_all(b"0\r\n\r\n")
}

fn text_request(world: &World, path: &str, parts: &str) -> Req {
    let mut req = world.request("POST", path, 6_000, "a prompt");
    for (name, value) in [
        ("X-Bronzerun-Model", "m0"),
        ("X-Bronzerun-Token-Counts", "700,40"),
        ("X-Bronzerun-Prompt-Prefix", parts),
    ] {
        req.headers.push((name.to_owned(), value.to_owned()));
    }
    req
}

fn sound_handlers() -> (Handler, Handler) {
    (
        Arc::new(|s, r, t| answer_plain(s, r, t)),
        Arc::new(answer_engine),
    )
}

/// Bytes that are no answer come without end: first in a body, then in a head.
fn endless(record: &Record, has_trouble: bool) -> Outcome {
    let mut texts = Vec::new();
    let mut is_broken = false;
    for place in ["body", "head"] {
        let (late, silent, text) = endless_in(record, has_trouble, place)?;
        is_broken |= silent * 2 > late;
        texts.push(format!("in a {place}: {text}"));
    }
    let text = texts.join("; ");
    Ok(if is_broken {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// One server answers one request so. Returns the requests that were unanswered at their route's
/// `timeoutMs`, and those of them that had no answer half a second later.
fn endless_in(
    record: &Record,
    has_trouble: bool,
    place: &'static str,
) -> Result<(usize, usize, String), String> {
    const LENGTH: Duration = Duration::from_secs(14);
    const TIMEOUT: Duration = Duration::from_millis(2_000);
    const NODES: usize = 3;
    let (sound_plain, sound_engine) = sound_handlers();
    let is_armed = Arc::new(AtomicBool::new(false));
    let is_over = Arc::new(AtomicBool::new(false));
    let (armed, over) = (is_armed.clone(), is_over.clone());
    let plain: Handler = Arc::new(move |server, req, stream| {
        if !armed.swap(false, Ordering::SeqCst) {
            return sound_plain(server, req, stream);
        }
        let id = req.header("x-bronzerun-request-id");
        server.record.line(&format!(
            "server {} answers {id} with an endless {place}",
            server.id
        ));
        if place == "head" {
            let bytes = "HTTP/1.1 100 Continue\r\n\r\n".repeat(10_000);
            return flood(server, stream, bytes.as_bytes(), &over);
        }
        // The size of the first chunk has no end.
        let head = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n{}\r\n",
            sealed(server, req)
        );
        stream.write_all(head.as_bytes())?;
        flood(server, stream, &[b'0'; 0x40000], &over)
    });
    let world = World::start(record, (3, 4, NODES), plain, sound_engine)?;
    world.wait_served(|world| world.request("GET", "/status/a", 1_500, ""))?;
    let start = Instant::now();
    is_armed.store(has_trouble, Ordering::SeqCst);
    // By node: requests, unanswered at the time-out, without an answer half a second later.
    let counts: Vec<_> = (0..NODES).map(|_| Mutex::new((0, 0, 0))).collect();
    let unready = AtomicUsize::new(0);
    let (world_ref, counts_ref, unready_ref) = (&world, &counts, &unready);
    std::thread::scope(|scope| {
        for node in 0..NODES {
            scope.spawn(move || {
                while start.elapsed() < LENGTH {
                    let node = &world_ref.nodes[node];
                    if node.readiness() != Some(200) {
                        unready_ref.fetch_add(1, Ordering::SeqCst);
                        world_ref
                            .record
                            .line(&format!("{} does not answer /readyz with 200", node.name));
                    }
                    std::thread::sleep(Duration::from_millis(250));
                }
            });
            for worker in 0..4 {
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_millis(100 * worker));
                    let mut number = 0;
                    while start.elapsed() < LENGTH {
                        number += 1;
                        let req = match number % 2 {
                            0 => world_ref.request("POST", "/orders/b", 4_000, "an order"),
                            _ => world_ref.request("GET", "/status/b", 4_000, ""),
                        };
                        let got = world_ref.send(node, &req, TIMEOUT + Duration::from_millis(500));
                        let mut count = counts_ref[node].lock().unwrap();
                        count.0 += 1;
                        if got.took >= TIMEOUT {
                            count.1 += 1;
                            count.2 += usize::from(got.status.is_none());
                        }
                        drop(count);
                        std::thread::sleep(Duration::from_millis(300));
                    }
                });
            }
        }
    });
    is_over.store(true, Ordering::SeqCst);
    let (mut late, mut silent) = (0, 0);
    for (node, count) in counts.iter().enumerate() {
        let (all, timed_out, unanswered) = *count.lock().unwrap();
        late += timed_out;
        silent += unanswered;
        record.line(&format!(
            "{}: {all} requests, {timed_out} unanswered at their time-out, {unanswered} still half a second later",
            world.nodes[node].name,
        ));
    }
    let text = format!(
        "{late} requests unanswered at timeoutMs, {silent} of them still half a second later; {} readiness checks without a 200",
        unready.load(Ordering::SeqCst),
    );
    Ok((late, silent, text))
}

/// Writes the same bytes again and again until the caller closes.
fn flood(
    server: &Server,
    stream: &mut TcpStream,
    bytes: &[u8],
    is_over: &AtomicBool,
) -> io::Result<()> {
    let start = Instant::now();
    let mut sent = 0_u64;
    let result = loop {
        if is_over.load(Ordering::SeqCst) {
            break Ok(());
        }
        match stream.write_all(bytes) {
            Ok(()) => sent += bytes.len() as u64,
            Err(error) => break Err(error),
        }
    };
    let (took, megabytes) = (start.elapsed(), sent / 1_000_000);
    server.record.line(&format!(
        "server {} has sent {megabytes} MB in {} ms; caller closed: {}",
        server.id,
        ms(took),
        result.is_err()
    ));
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// A request that crashes each server that begins to run it comes again and again.
fn forgotten_request(record: &Record, has_trouble: bool) -> Outcome {
    const LENGTH: Duration = Duration::from_secs(72);
    const PAUSE: Duration = Duration::from_millis(2_700);
    const RETRIES: usize = 3;
    const RETRY_PAUSE: Duration = Duration::from_millis(250);
    const DOWN: Duration = Duration::from_millis(2_000);
    const NODES: usize = 3;
    let runs: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let lost_orders: Arc<Mutex<HashMap<String, &'static str>>> = Arc::default();
    let (deadly_runs, orders) = (runs.clone(), lost_orders.clone());
    let plain: Handler = Arc::new(move |server, req, stream| {
        let id = req.header("x-bronzerun-request-id").to_owned();
        if req.path() == "/status/deadly" && has_trouble {
            server.record.line(&format!(
                "server {} begins to run {id} and crashes",
                server.id
            ));
            deadly_runs.lock().unwrap().push(Instant::now());
            server.crash(DOWN);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if req.path().starts_with("/orders/") {
            orders.lock().unwrap().insert(id.clone(), "run");
        }
        answer_plain(server, req, stream)
    });
    let world = World::start(record, (6, 4, NODES), plain, Arc::new(answer_engine))?;
    world.wait_served(|world| world.request("GET", "/status/a", 1_500, ""))?;
    let start = Instant::now();
    let lost = AtomicUsize::new(0);
    let served = AtomicUsize::new(0);
    let (world_ref, lost_ref, served_ref) = (&world, &lost, &served);
    std::thread::scope(|scope| {
        // One client asks again and again, at one machine after the other. It retries after a
        // failure, but not after a 503, whose `Retry-After` is longer than its deadline.
        scope.spawn(move || {
            let mut number = 0;
            while start.elapsed() < LENGTH {
                for _attempt in 0..=RETRIES {
                    let req = world_ref.request("GET", "/status/deadly", 4_000, "");
                    let got = world_ref.send(number % NODES, &req, Duration::from_millis(4_500));
                    number += 1;
                    if matches!(got.status, Some(200 | 503)) {
                        break;
                    }
                    std::thread::sleep(RETRY_PAUSE);
                }
                std::thread::sleep(PAUSE);
            }
        });
        // Other clients order, each once.
        for worker in 0..6 {
            scope.spawn(move || {
                let mut number = worker;
                while start.elapsed() < LENGTH {
                    let body = format!("order {worker} {number}");
                    let req = world_ref.request(
                        "POST",
                        &format!("/orders/{worker}/{number}"),
                        4_000,
                        &body,
                    );
                    let got = world_ref.send(number % NODES, &req, Duration::from_millis(4_500));
                    match got.status {
                        Some(200) => served_ref.fetch_add(1, Ordering::SeqCst),
                        Some(502) => lost_ref.fetch_add(1, Ordering::SeqCst),
                        _ => 0,
                    };
                    number += 1;
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    let runs = runs.lock().unwrap();
    let third = runs.get(2).copied();
    let after = third.map_or(0, |third| {
        let later = runs.iter().filter(|at| at.duration_since(third) > CONTACT);
        later.count()
    });
    for (index, at) in runs.iter().enumerate() {
        record.line(&format!(
            "deadly run {} at {} ms of the load",
            index + 1,
            ms(at.duration_since(start))
        ));
    }
    let text = format!(
        "{} runs of the request, {after} of them later than contactMs after the third crash; orders: {} answered 200, {} lost (502)",
        runs.len(),
        served.load(Ordering::SeqCst),
        lost.load(Ordering::SeqCst)
    );
    Ok(if after > 3 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// A server fails part of its requests after it has run them, with a 503 of its own.
fn false_promise(record: &Record, has_trouble: bool) -> Outcome {
    const LENGTH: Duration = Duration::from_secs(15);
    const NODES: usize = 3;
    // Runs by request id, and by order.
    let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let orders: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let count = Arc::new(AtomicUsize::new(0));
    let (run_map, order_map) = (runs.clone(), orders.clone());
    let plain: Handler = Arc::new(move |server, req, stream| {
        let id = req.header("x-bronzerun-request-id").to_owned();
        if !req.path().starts_with("/orders/") {
            return answer_plain(server, req, stream);
        }
        *run_map.lock().unwrap().entry(id.clone()).or_default() += 1;
        let order = String::from_utf8_lossy(&req.body).into_owned();
        *order_map.lock().unwrap().entry(order).or_default() += 1;
        let number = count.fetch_add(1, Ordering::SeqCst);
        // One of three servers, four of ten of its requests.
        if has_trouble && server.id == "i-app-1" && number % 5 < 2 {
            std::thread::sleep(PLAIN_WORK);
            server.record.line(&format!(
                "server {} has run {id} and answers 503",
                server.id
            ));
            return respond(
                stream,
                "503 Service Unavailable",
                &sealed(server, req),
                b"failed after the order was booked",
            );
        }
        server
            .record
            .line(&format!("server {} runs {id}", server.id));
        answer_plain(server, req, stream)
    });
    let world = World::start(record, (3, 4, NODES), plain, Arc::new(answer_engine))?;
    world.wait_served(|world| world.request("GET", "/status/a", 1_500, ""))?;
    let start = Instant::now();
    let answers: Mutex<Vec<(String, Got)>> = Mutex::default();
    let (world_ref, answers_ref) = (&world, &answers);
    std::thread::scope(|scope| {
        for worker in 0..6 {
            scope.spawn(move || {
                let mut number = worker;
                while start.elapsed() < LENGTH {
                    let body = format!("order {worker} {number}");
                    // A promise that the request has not run is honoured: it is sent once more.
                    for _attempt in 0..2 {
                        let req = world_ref.request("POST", "/orders/b", 2_000, &body);
                        let id = req.headers[1].1.clone();
                        let got =
                            world_ref.send(number % NODES, &req, Duration::from_millis(2_500));
                        let is_promise = matches!(got.status, Some(408 | 421 | 429 | 503));
                        answers_ref.lock().unwrap().push((id, got));
                        if !is_promise {
                            break;
                        }
                        std::thread::sleep(Duration::from_millis(300));
                    }
                    number += 1;
                    std::thread::sleep(Duration::from_millis(150));
                }
            });
        }
    });
    let (runs, orders) = (runs.lock().unwrap(), orders.lock().unwrap());
    let answers = answers.lock().unwrap();
    let is_promise = |got: &Got| matches!(got.status, Some(408 | 421 | 429 | 503));
    let broken = answers
        .iter()
        .filter(|(id, got)| is_promise(got) && runs.contains_key(id));
    let broken = broken.count();
    let doubled = orders.values().filter(|runs| **runs > 1).count();
    let text = format!(
        "{} requests, {broken} answered 408, 421, 429 or 503 and run; {doubled} of {} orders were booked twice",
        answers.len(),
        orders.len()
    );
    Ok(if broken > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// A part of a prompt crashes each engine that begins to write an answer on it: the first event of
/// the answer is out when the engine crashes.
fn begun_answer(record: &Record, has_trouble: bool) -> Outcome {
    const LENGTH: Duration = Duration::from_secs(40);
    const DOWN: Duration = Duration::from_millis(2_000);
    const PAUSE: Duration = Duration::from_millis(1_000);
    const NODES: usize = 3;
    const TAINTED: &str = "5c1e07a2:40,bad0bad0:410,";
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (arrived, crashed) = (arrivals.clone(), crashes.clone());
    let engine: Handler = Arc::new(move |server, req, stream| {
        let parts = req.header("x-bronzerun-prompt-prefix");
        if !parts.starts_with(TAINTED) || !server.serves("m0") {
            return answer_engine(server, req, stream);
        }
        let id = req.header("x-bronzerun-request-id");
        server.record.line(&format!(
            "server {} gets {id} with the part bad0bad0",
            server.id
        ));
        arrived.lock().unwrap().push(Instant::now());
        if !has_trouble {
            return answer_engine(server, req, stream);
        }
        std::thread::sleep(Duration::from_millis(110));
        begin_stream(server, req, stream)?;
        let first = req.header("last-event-id").parse().unwrap_or(0) + 1;
        write_chunk(stream, &event(id, first))?;
        std::thread::sleep(Duration::from_millis(20));
        server.record.line(&format!("server {} crashes", server.id));
        crashed.lock().unwrap().push(Instant::now());
        server.crash(DOWN);
        Err(io::ErrorKind::ConnectionAborted.into())
    });
    let (plain, _) = sound_handlers();
    let world = World::start(record, (3, 10, NODES), plain, engine)?;
    world.wait_served(|world| text_request(world, "/text/a", "5c1e07a2:40,91bd3f06:410,0:250"))?;
    let start = Instant::now();
    let (whole, cut) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let (world_ref, whole_ref, cut_ref) = (&world, &whole, &cut);
    std::thread::scope(|scope| {
        // Requests with the part, no two alike, at one machine after the other.
        scope.spawn(move || {
            let mut number = 0;
            while start.elapsed() < LENGTH {
                let parts = format!("{TAINTED}{:x}:250", 0x1000 + number);
                let req = text_request(world_ref, &format!("/text/t{number}"), &parts);
                world_ref.send(number % NODES, &req, Duration::from_millis(6_500));
                number += 1;
                std::thread::sleep(PAUSE);
            }
        });
        // Sound ones of the same caller, with the same first part.
        for worker in 0..6 {
            scope.spawn(move || {
                let mut number = worker;
                while start.elapsed() < LENGTH {
                    let parts = format!(
                        "5c1e07a2:40,91bd3f06:410,{:x}:250",
                        0x9000 + number * 10 + worker
                    );
                    let req = text_request(world_ref, &format!("/text/s{worker}-{number}"), &parts);
                    let got = world_ref.send(number % NODES, &req, Duration::from_millis(6_500));
                    let is_whole = got.is_whole && got.status == Some(200);
                    let counter = if is_whole { whole_ref } else { cut_ref };
                    counter.fetch_add(1, Ordering::SeqCst);
                    number += 1;
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    let (arrivals, crashes) = (arrivals.lock().unwrap(), crashes.lock().unwrap());
    let after = crashes.get(4).map_or(0, |fifth| {
        let later = arrivals
            .iter()
            .filter(|at| at.duration_since(*fifth) > CONTACT);
        later.count()
    });
    let text = format!(
        "{} requests with the part reached servers, {} crashes; {after} reached servers later than contactMs after the fifth crash; sound requests: {} answered whole, {} not",
        arrivals.len(),
        crashes.len(),
        whole.load(Ordering::SeqCst),
        cut.load(Ordering::SeqCst)
    );
    Ok(if after > 3 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// All open connections between nodes and to the store go silent; later a key is replaced.
fn silent_links(record: &Record, has_trouble: bool) -> Outcome {
    const NODES: usize = 12;
    const WARM_UP: Duration = Duration::from_secs(6);
    const PAUSE: Duration = Duration::from_millis(4_500);
    /// `configApplyMs`.
    const APPLY: Duration = Duration::from_millis(2_000);
    const WATCHED: Duration = Duration::from_secs(8);
    const NEW_KEY: &str = "key-depot-2";
    let (plain, engine) = sound_handlers();
    let world = World::start(record, (3, 6, NODES), plain, engine)?;
    world.wait_served(|world| world.request("GET", "/status/a", 1_500, ""))?;
    std::thread::sleep(WARM_UP);
    if has_trouble {
        record.line("all open connections between nodes and to the store go silent");
        world.store.silences.begin();
    }
    std::thread::sleep(PAUSE);
    world.store.put("config", "main", config(9, NEW_KEY));
    let acknowledged = Instant::now();
    record.line(&format!(
        "configuration 9 is acknowledged: {KEY} is taken away, {NEW_KEY} is given"
    ));
    std::thread::sleep(APPLY + Duration::from_millis(100));
    let (mut old_served, mut new_denied, mut all) = (0, 0, 0);
    let mut nodes = std::collections::BTreeSet::new();
    while acknowledged.elapsed() < APPLY + WATCHED {
        for node in 0..NODES {
            for key in [KEY, NEW_KEY] {
                let mut req = world.request("GET", "/status/b", 1_500, "");
                req.headers[3].1 = key.to_owned();
                let since = ms(acknowledged.elapsed());
                let got = world.send(node, &req, Duration::from_millis(2_000));
                all += 1;
                let is_wrong = match (key == KEY, got.status) {
                    (true, Some(200)) => {
                        old_served += 1;
                        true
                    }
                    (false, Some(401)) => {
                        new_denied += 1;
                        true
                    }
                    _ => false,
                };
                if is_wrong {
                    let name = &world.nodes[node].name;
                    nodes.insert(name.clone());
                    record.line(&format!(
                        "{name} acts on the older version {since} ms after the acknowledgement"
                    ));
                }
            }
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    let text = format!(
        "{all} requests later than configApplyMs after the acknowledgement: {old_served} run with the key that was taken away, {new_denied} with the new key answered 401, at {} of {NODES} nodes",
        nodes.len()
    );
    Ok(if old_served + new_denied > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// The engines of two groups crash and come back; then all open connections between nodes and to
/// the store go silent. It ends with the first violation.
fn stale_owner(record: &Record, has_trouble: bool) -> Outcome {
    const NODES: usize = 7;
    const LENGTH: Duration = Duration::from_secs(100);
    const DOWN: Duration = Duration::from_millis(1_100);
    const SILENT_AFTER: Duration = Duration::from_millis(100);
    const SETTLING: Duration = Duration::from_secs(6);
    let (plain, engine) = sound_handlers();
    let world = World::start(record, (3, 30, NODES), plain, engine)?;
    world.wait_served(|world| text_request(world, "/text/a", "5c1e07a2:40,91bd3f06:410,0:250"))?;
    std::thread::sleep(Duration::from_secs(3));
    let start = Instant::now();
    let (whole, cut) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let (world_ref, whole_ref, cut_ref) = (&world, &whole, &cut);
    // Members of an open group of a domain.
    let open_group = |domain: u32| -> Vec<Arc<Server>> {
        let engines = world.servers.lock().unwrap().clone();
        let engines = engines
            .into_iter()
            .filter(|server| server.domain == Some(domain));
        let engines: Vec<_> = engines.collect();
        let group = engines.iter().find_map(|server| {
            let inner = server.inner.lock().unwrap();
            inner.group.clone().filter(|group| group.state == "open")
        });
        let ids = group.map(|group| group.members).unwrap_or_default();
        engines
            .into_iter()
            .filter(|server| ids.contains(&server.id))
            .collect()
    };
    std::thread::scope(|scope| {
        for worker in 0..6 {
            scope.spawn(move || {
                let mut number = worker;
                while start.elapsed() < LENGTH {
                    let parts = format!("5c1e07a2:40,91bd3f06:410,{number:x}:250");
                    let req = text_request(world_ref, &format!("/text/s{worker}-{number}"), &parts);
                    let got = world_ref.send(number % NODES, &req, Duration::from_millis(6_500));
                    let is_whole = got.is_whole && got.status == Some(200);
                    let counter = if is_whole { whole_ref } else { cut_ref };
                    counter.fetch_add(1, Ordering::SeqCst);
                    number += 1;
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
        let mut domain = 0;
        while start.elapsed() + SETTLING < LENGTH && record.violations().is_empty() {
            // Four of thirty engines: the members of two groups.
            let members = [open_group(domain), open_group((domain + 1) % 3)].concat();
            domain = (domain + 1) % 3;
            for member in members.iter().filter(|_| has_trouble) {
                record.line(&format!("server {} crashes", member.id));
                member.crash(DOWN);
                std::thread::sleep(Duration::from_millis(30));
            }
            std::thread::sleep(DOWN + SILENT_AFTER);
            if has_trouble {
                record.line("all open connections between nodes and to the store go silent");
                world.store.silences.begin();
            }
            std::thread::sleep(SETTLING);
        }
    });
    let violations = record.violations();
    let text = format!(
        "{} joins of another group while the head was open; requests: {} whole, {} not",
        violations.len(),
        whole.load(Ordering::SeqCst),
        cut.load(Ordering::SeqCst)
    );
    Ok(if violations.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}
