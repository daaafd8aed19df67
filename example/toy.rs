//! A minimal booking exchange and a minimal client, for trying out the router with `example/config.json`.
//!
//! `toy exchange ADDRESS` answers every set-up and releases each call after three seconds;
//! `toy call ADDRESS NUMBER` places one call through the router and prints the messages that it receives.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

fn main() -> io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["exchange", address] => run_exchange(address),
        ["call", address, number] => place_call(address, number),
        _ => Err(io::Error::other("usage: toy exchange ADDRESS, or toy call ADDRESS NUMBER")),
    }
}

fn run_exchange(address: &str) -> io::Result<()> {
    for stream in TcpListener::bind(address)?.incoming() {
        let stream = stream?;
        thread::spawn(move || {
            if let Err(e) = serve_connection(&stream) {
                println!("connection ended: {e}");
            }
        });
    }
    Ok(())
}

/// Sends the state of the trunk group, then answers each set-up and releases its call after three seconds.
fn serve_connection(mut stream: &TcpStream) -> io::Result<()> {
    writeln!(
        stream,
        "{}",
        json!({"verb": "LOAD", "tag": "", "opts": {"load": "spare:30;total:30;lat_ms:2"}})
    )?;
    for line in BufReader::new(stream).lines() {
        let line = line?;
        println!("{line}");
        let message: Value = serde_json::from_str(&line)?;
        if message["verb"] != "START" {
            continue;
        }
        let tag = message["tag"].clone();
        let answer = json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "the toy's description\r\n"});
        writeln!(stream, "{answer}")?;
        let mut releasing_stream = stream.try_clone()?;
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(3));
            let _ =
                writeln!(releasing_stream, "{}", json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": 16}));
        });
    }
    Ok(())
}

fn place_call(address: &str, number: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    let body = "the caller's description\r\n";
    let call_id = format!("{:016x}", std::process::id());
    write!(
        stream,
        "INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP toy\r\nCall-ID: {call_id}\r\nCSeq: 1 INVITE\r\n\
         X-Call-Class: slot-check\r\nX-Ring-Limit: 3000\r\nX-Dest: dest:1;width:1;via:-1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut reader = BufReader::new(stream);
    loop {
        let (mut head, mut length) = (String::new(), 0);
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head)? == 0 {
                return Ok(());
            }
        }
        for line in head.lines() {
            length = line.strip_prefix("Content-Length: ").and_then(|n| n.parse().ok()).unwrap_or(length);
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        println!("{head}{}", String::from_utf8_lossy(&body));
        if head.starts_with("BYE ") || !head.starts_with("SIP/2.0 200") {
            return Ok(());
        }
    }
}
