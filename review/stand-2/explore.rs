use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use std::fs;
use crate::deployment::Deployment;
use crate::record::Record;
use crate::{Verdict};

pub fn body(version: u64, routes: usize) -> String {
    let mut rules = String::new();
    for i in 0..routes {
        if i > 0 { rules.push(','); }
        rules.push_str(&format!(r#"{{"name":"r-{version}-{i}","pathPrefix":"/p{i}/","kind":"idempotent","timeout":"2000ms","targetLatency":"600ms","priority":2,"service":"kafi81c","maxAttempts":2}}"#));
    }
    format!(r#"{{"version":"r{version}","services":[{{"name":"kafi81c","healthPath":"/health","maxConnections":71,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"virtualHosts":[{{"host":"jepu9.example","pathRules":[{rules}]}}]}}"#)
}

fn read(d: &Deployment, i: u8) -> Option<String> {
    let a = d.operate(i, "config.read", "", b"")?;
    if a.status() != 200 { return Some(format!("status {}", a.status())); }
    let t = String::from_utf8_lossy(&a.body).into_owned();
    let s = t.find("\"version\":\"")? + 11;
    Some(t[s..s+8].split('"').next()?.to_owned())
}

/// Many configurations, then disks are lost one after the other.
pub fn compaction(record: &Arc<Record>, _t: bool) -> Verdict {
    let n: u64 = std::env::var("N").ok().and_then(|x| x.parse().ok()).unwrap_or(5000);
    let routes: usize = std::env::var("ROUTES").ok().and_then(|x| x.parse().ok()).unwrap_or(10);
    let gap: u64 = std::env::var("GAP").ok().and_then(|x| x.parse().ok()).unwrap_or(4500);
    let mut d = Deployment::start(record, 3, &[], 260);
    let t = Instant::now();
    for v in 1..=n {
        if !d.configure(v - 1, &body(v, routes), Duration::from_secs(10)) { return Verdict::NotRun(format!("config {v}")); }
    }
    println!("{n} configs in {:?}", t.elapsed());
    for round in 0..6u8 {
        let i = round % 3 + 1;
        let idx = usize::from(i) - 1;
        d.cores[idx].kill();
        fs::remove_dir_all(d.data_folder(i)).ok();
        thread::sleep(Duration::from_millis(500));
        d.cores[idx].start();
        thread::sleep(Duration::from_millis(gap));
        let reads: Vec<_> = (1..=3).map(|i| read(&d, i)).collect();
        println!("round {round} wiped core-{i}: {reads:?}");
    }
    thread::sleep(Duration::from_secs(8));
    let reads: Vec<_> = (1..=3).map(|i| read(&d, i)).collect();
    println!("end: {reads:?}");
    let ok = d.configure(n, &body(n+1, routes), Duration::from_secs(15));
    println!("config after: {ok}");
    Verdict::Held
}

/// Many changes of a large configuration: memory and disk of the directors.
pub fn growth(record: &Arc<Record>, _t: bool) -> Verdict {
    let n: u64 = std::env::var("N").ok().and_then(|x| x.parse().ok()).unwrap_or(450);
    let routes: usize = std::env::var("ROUTES").ok().and_then(|x| x.parse().ok()).unwrap_or(1800);
    let d = Deployment::start(record, 3, &[], 260);
    let t = Instant::now();
    let doc = body(1, routes).len();
    println!("document {doc} bytes");
    for v in 1..=n {
        if !d.configure(v - 1, &body(v, routes), Duration::from_secs(10)) { return Verdict::NotRun(format!("config {v}")); }
        if v % 50 == 0 {
            let rss: Vec<_> = d.cores.iter().map(|c| c.resident() >> 20).collect();
            let disk: Vec<_> = (1..=3).map(|i| du(&d.data_folder(i)) >> 20).collect();
            println!("{v} configs in {:?}: rss {rss:?} MiB, disk {disk:?} MiB", t.elapsed());
        }
    }
    Verdict::Held
}

fn du(p: &std::path::Path) -> u64 {
    let Ok(entries) = fs::read_dir(p) else { return 0 };
    entries.flatten().map(|e| { let m = e.metadata(); match m { Ok(m) if m.is_dir() => du(&e.path()), Ok(m) => m.len(), Err(_) => 0 } }).sum()
}
