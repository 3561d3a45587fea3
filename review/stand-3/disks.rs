//! One machine with a director loses its disk, comes back, and loses it again.
mod deployment;
use deployment::*;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

const DIRECTORS: usize = 3;
/// Time for which the machine is down.
const DOWN: Duration = Duration::from_millis(500);
/// Time from its return to the second loss.
const BETWEEN: Duration = Duration::from_millis(1400);

/// Returns the director that answers a read of the configuration itself.
fn find_leader(directors: &[SocketAddr]) -> Option<usize> {
    let answers = |address: &SocketAddr| {
        let head = format!("POST /v1/rpc?call=config.read HTTP/1.1\r\nhost: {address}\r\n");
        call(*address, &head, b"", ms(1000)).is_ok_and(|answer| answer.status() == 200)
    };
    directors.iter().position(answers)
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let losses = match std::env::var("TROUBLE").as_deref() {
        Ok("0") => 0,
        // For a comparison: a single loss.
        Ok("once") => 1,
        _ => 2,
    };
    let record = Record::new(&Path::new(&folder).join("record.txt"));
    let place = Place::new();
    let seeds = place.seeds(DIRECTORS);
    let mut directors: Vec<_> = (0..DIRECTORS).map(|index| place.director(index, &seeds)).collect();
    if !configure(&seeds, 0, &document(4, 0), ms(15_000)) {
        cannot_run("the configuration was not acknowledged");
    }
    record.line("version 4 is acknowledged");
    thread::sleep(ms(6000));
    let Some(leader) = find_leader(&seeds) else {
        cannot_run("no director leads");
    };
    for loss in 1..=losses {
        directors[leader].kill();
        fs::remove_dir_all(place.folder.join(format!("director-{leader}"))).expect("the data can be removed");
        place.write_director(leader, &seeds, false);
        record.line(&format!("director-{leader}, which led, loses its disk, {loss} of {losses}"));
        thread::sleep(DOWN);
        directors[leader].start();
        record.line(&format!("director-{leader} is back at its address, with an empty disk"));
        if loss < losses {
            thread::sleep(BETWEEN);
        }
    }
    // `recovery` is 15 s, `contact` 3 s.
    thread::sleep(ms(16_000));
    let read = read_config(&seeds, ms(10_000));
    let is_broken = !read.as_ref().is_some_and(|read| read.starts_with("{\"version\":\"r4\""));
    let what = read.map_or("no configuration".to_owned(), |read| read.chars().take(15).collect());
    record.line(&format!("read back for 10 s, 16 s later: {what}"));
    for address in &seeds {
        let head = format!("POST /v1/rpc?call=config.read HTTP/1.1\r\nhost: {address}\r\n");
        let status = call(*address, &head, b"", ms(1000)).map_or(0, |answer| answer.status());
        record.line(&format!("{address} answers a read with {status}"));
    }
    for director in &mut directors {
        let changes = director.read_log();
        let changes = changes.lines().filter(|line| line.contains("changing the members") || line.contains("this replica leads"));
        let lines: Vec<_> = changes.map(str::to_owned).collect();
        lines.iter().for_each(|line| record.line(&format!("{}: {line}", director.name)));
        let ended = director.ended();
        record.line(&format!("{} runs: {}", director.name, ended.is_none()));
    }
    drop(directors);
    record.line(if is_broken { "the rule was broken" } else { "the rule held" });
    ExitCode::from(u8::from(is_broken))
}
