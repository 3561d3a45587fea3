//! The command line as a process: its environment and its exit codes.

#![allow(clippy::unwrap_used)]

use std::io::{Read as _, Write as _};
use std::net;
use std::process;
use std::thread;

/// Answers one request with an empty list of tickets, and returns the head of the request.
fn serve_request(listener: net::TcpListener) -> String {
    let (mut stream, _) = listener.accept().unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    let body = r#"{ "next": 1, "tickets": [] }"#;
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
    .unwrap();
    String::from_utf8(head).unwrap()
}

/// Returns the command that lists the tickets of the control replica at an address.
fn ticket_list(control: &str) -> process::Command {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_sequoiayoke"));
    command
        .env_clear()
        .env("SEQUOIAYOKE_CONTROL", control)
        .args(["ticket", "list"]);
    command
}

/// Guards against tickets that are sent to a proxy from the environment variables.
#[test]
fn proxies_from_the_environment_are_not_used() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = thread::spawn(move || serve_request(listener));
    // Connections to the port of a closed listener are refused.
    let closed = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = format!("http://{}", closed.local_addr().unwrap());
    drop(closed);
    let names = ["http_proxy", "HTTP_PROXY", "ALL_PROXY", "all_proxy"];
    let output = ticket_list(&address)
        .envs(names.map(|name| (name, proxy.as_str())))
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("next ticket: 1"));
    let head = server.join().unwrap();
    assert!(head.starts_with("GET /v1/tickets HTTP/1.1"), "{head}");
}

/// Guards against a process that does not exit with the code that the library returns.
#[test]
fn the_process_exits_with_the_code_of_the_command() {
    let closed = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap().to_string();
    drop(closed);
    let output = ticket_list(&address).output().unwrap();
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let output = ticket_list(&address).arg("more").output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
}
