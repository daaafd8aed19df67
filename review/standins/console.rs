//! Case: a terminal whose output is paused stops the whole router.

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::os::fd::AsRawFd;
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{free_tcp, known, settings, CaseResult, Folder, Record, Router};
use crate::sip::{test, wait_until_ready, Callers, Exchange};

extern "C" {
    fn ioctl(fd: i32, request: u64, ...) -> i32;
}
const TIOCSPTLCK: u64 = 0x4004_5431;
const TIOCGPTN: u64 = 0x8004_5430;
/// The keys with which a person pauses the output of a terminal, and lets it go on.
const CTRL_S: &[u8] = b"\x13";
const CTRL_Q: &[u8] = b"\x11";

const RING_LIMIT_MS: u32 = 3000;
/// Calm before the pause, length of the pause, and time after it.
const CALM: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_secs(20);
const AFTER: Duration = Duration::from_secs(8);

/// Opens a new terminal: the side of the person, and the path of the side of the program.
fn open_terminal() -> CaseResult<(File, String)> {
    let person = OpenOptions::new().read(true).write(true).open("/dev/ptmx")?;
    let (mut unlocked, mut number) = (0i32, 0u32);
    let opened = unsafe {
        ioctl(person.as_raw_fd(), TIOCSPTLCK, &mut unlocked) == 0
            && ioctl(person.as_raw_fd(), TIOCGPTN, &mut number) == 0
    };
    if !opened {
        return Err("no terminal to be had".into());
    }
    Ok((person, format!("/dev/pts/{number}")))
}

pub fn run(record: &Record, trouble: bool) -> CaseResult<bool> {
    let folder = Folder::create()?;
    let exchange = Exchange::start(Duration::from_secs(3))?.address;
    let listen = free_tcp()?;
    let config = format!(
        r#"{{"name": "appliance", "listen": "{listen}", "seed": "8c1f30d27a5be964", "console": true,
  "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}},
  "known": {}, "settings": {}}}"#,
        known(&[exchange]),
        settings(0, 2)
    );
    let (mut keyboard, path) = open_terminal()?;
    let program_side = OpenOptions::new().read(true).write(true).open(&path)?;
    let (stdin, stdout) = (Stdio::from(program_side.try_clone()?), Stdio::from(program_side));
    let _router = Router::start(record, &folder, "appliance", &config, stdin, stdout)?;
    // The screen shows all that the terminal puts out, at any time.
    let mut screen = keyboard.try_clone()?;
    let shown = Arc::new(AtomicUsize::new(0));
    let (counter, screen_record) = (shown.clone(), record.clone());
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(n @ 1..) = screen.read(&mut buffer) {
            counter.fetch_add(n, Ordering::Relaxed);
            let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
            text.lines().filter(|l| !l.is_empty()).for_each(|l| screen_record.line(&format!("screen: {l}")));
        }
    });
    if !wait_until_ready(listen, Duration::from_secs(10)) {
        return Err("the router did not become ready".into());
    }
    let callers = Callers::new(record, listen);
    let (start, mut next_call, mut next_test) = (Instant::now(), Instant::now(), Instant::now());
    let (mut is_paused, mut was_paused, mut tests_failed) = (false, false, 0);
    let mut commands = vec![Duration::from_secs(2), CALM + Duration::from_millis(500)];
    while start.elapsed() < CALM + PAUSE + AFTER {
        let now = start.elapsed();
        if !was_paused && now >= CALM {
            (is_paused, was_paused) = (trouble, true);
            if trouble {
                record.line("the person presses Ctrl-S: the terminal's output is paused, the router goes on");
                keyboard.write_all(CTRL_S)?;
            }
        }
        if commands.first().is_some_and(|at| now >= *at) {
            commands.remove(0);
            record.line("the person types the command: status");
            keyboard.write_all(b"status\n")?;
        }
        if is_paused && now >= CALM + PAUSE {
            is_paused = false;
            record.line("the person presses Ctrl-Q: the terminal's output goes on");
            keyboard.write_all(CTRL_Q)?;
        }
        if now < CALM + PAUSE + AFTER - Duration::from_secs(4) && Instant::now() >= next_call {
            callers.place_call(RING_LIMIT_MS);
            next_call += Duration::from_millis(500);
        }
        if now < CALM + PAUSE + AFTER - Duration::from_secs(4) && Instant::now() >= next_test {
            next_test += Duration::from_secs(2);
            let passed = test(listen, Duration::from_secs(1));
            tests_failed += u32::from(!passed);
            record.line(&format!("test (OPTIONS): {}", if passed { "passed" } else { "no answer in 1 s" }));
        }
        thread::sleep(Duration::from_millis(10));
    }
    let (placed, unanswered) = callers.unanswered();
    record.line(&format!(
        "calls taken: {placed}, without exactly one answer in time: {}, tests failed: {tests_failed}, \
         bytes shown: {}",
        unanswered.len(),
        shown.load(Ordering::Relaxed)
    ));
    for call in &unanswered {
        record.line(&format!(
            "  call {}: answers {:?}, connection ended: {}",
            call.id, call.answers, call.connection_ended
        ));
    }
    Ok(unanswered.is_empty())
}
