//! The operator's console: reads one command per line from standard input and prints to standard output.

use std::fmt::Write as _;
use std::io::{BufRead, Write};
use std::rc::Rc;

use tokio::sync::mpsc;

use crate::net::{enumeration, platform, standby::VirtualRouter};

/// Maximum length of a command in bytes; the rest of a longer line is ignored.
const MAX_COMMAND_BYTES: usize = 200;
/// Maximum number of lines read ahead of the command that runs.
const MAX_WAITING_LINES: usize = 16;
/// Maximum number of texts that wait to be printed.
const MAX_WAITING_TEXTS: usize = 16;
/// Maximum number of characters of an unknown command that the error message repeats.
const MAX_ECHOED_CHARACTERS: usize = 40;

const HELP: &str = "status      state of this router\n\
exchanges   the booking exchanges and the connections to them\n\
calls       number of unanswered and of established calls\n\
look-ups    pending ENUM look-ups and the upstream servers\n\
vrrp        state of the virtual router\n\
drain       answer OPTIONS with 503, so that clients send their calls to other routers\n\
quit        shut down, answering open requests first\n\
metrics     counters since the start, in the OpenMetrics text format\n\
help        this list\n";

/// The parts of the router that the console shows and controls.
#[derive(Clone)]
pub struct Console {
    /// Name of the router.
    pub name: String,
    /// The call front end.
    pub platform: platform::Handle,
    /// The ENUM front end, if one is configured.
    pub enum_front_end: Option<enumeration::Handle>,
    /// The virtual router, if one is configured.
    pub virtual_router: Option<Rc<VirtualRouter>>,
}

/// Result of a command.
#[derive(Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// Text to print.
    Print(String),
    /// The router must stop.
    Quit,
}

impl Console {
    /// Executes one command.
    pub fn execute(&self, line: &str) -> CommandResult {
        let mut text = String::new();
        match line.trim().to_ascii_lowercase().as_str() {
            "" => {}
            "help" => text.push_str(HELP),
            "quit" => return CommandResult::Quit,
            "status" => self.status(&mut text),
            "exchanges" => self.exchanges(&mut text),
            "calls" => self.calls(&mut text),
            "look-ups" | "lookups" => self.look_ups(&mut text),
            "vrrp" => {
                let state = self.virtual_router.as_ref().map(|s| format!("{:?}", s.state()));
                let _ = writeln!(text, "vrrp {}", state.as_deref().unwrap_or("off"));
            }
            "metrics" => text.push_str(&self.platform.borrow().metrics.encode()),
            "drain" => {
                self.platform.borrow_mut().drain();
                text.push_str("draining: tests fail from now on\n");
            }
            other => {
                let printable: String =
                    other.chars().filter(|c| !c.is_control()).take(MAX_ECHOED_CHARACTERS).collect();
                let _ = writeln!(text, "no command '{printable}'; 'help' lists the commands");
            }
        }
        CommandResult::Print(text)
    }

    fn status(&self, text: &mut String) {
        let platform = self.platform.borrow();
        let state = if platform.is_draining() { "draining" } else { "serving" };
        let _ = writeln!(text, "{} {state}", self.name);
        self.calls(text);
        if let Some(front_end) = &self.enum_front_end {
            let _ = writeln!(text, "look-ups in hand {}", front_end.borrow().pending_counts().0);
        }
        if let Some(router) = &self.virtual_router {
            let _ = writeln!(text, "vrrp {:?}", router.state());
        }
    }

    fn calls(&self, text: &mut String) {
        let platform = self.platform.borrow();
        let established = platform.core.calls.established();
        let _ = writeln!(text, "calls unanswered {} standing {established}", platform.unanswered());
    }

    fn exchanges(&self, text: &mut String) {
        let platform = self.platform.borrow();
        for member in platform.core.exchanges.members() {
            let pool = platform.pools().find(|(id, _)| **id == member.exchange).map(|(_, pool)| pool);
            let (address, open) =
                pool.map_or((String::new(), 0), |p| (p.address.to_string(), p.open_connections()));
            let (id, node) = (&member.exchange.0, member.node.0);
            let _ = writeln!(text, "{id} place {node} {:?} {address} connections {open}", member.health);
        }
    }

    fn look_ups(&self, text: &mut String) {
        let Some(front_end) = &self.enum_front_end else { return text.push_str("look-ups off\n") };
        let front_end = front_end.borrow();
        let (total, for_calls) = front_end.pending_counts();
        let _ = writeln!(text, "look-ups in hand {total} of them for calls {for_calls}");
        for (id, pending) in front_end.upstreams() {
            let _ = writeln!(text, "upstream {} queries out {pending}", id.0);
        }
    }
}

/// Reads lines of standard input on a separate thread, because a terminal offers no asynchronous reads, and
/// returns the channel through which they arrive. The thread shares nothing else with the router, and the end
/// of input ends the thread but not the router.
pub fn read_lines() -> mpsc::Receiver<String> {
    let (sender, receiver) = mpsc::channel(MAX_WAITING_LINES);
    std::thread::spawn(move || {
        let mut input = std::io::stdin().lock();
        let mut line = Vec::new();
        loop {
            line.clear();
            match input.read_until(b'\n', &mut line) {
                Ok(0) | Err(_) => return,
                Ok(_) => {
                    let text =
                        String::from_utf8_lossy(&line[..line.len().min(MAX_COMMAND_BYTES)]).into_owned();
                    if sender.blocking_send(text).is_err() {
                        return;
                    }
                }
            }
        }
    });
    receiver
}

/// Starts a thread that prints texts to standard output, and returns the channel through which they are passed. A
/// terminal whose output is paused blocks this thread only.
pub fn print_texts() -> mpsc::Sender<String> {
    let (sender, mut receiver) = mpsc::channel::<String>(MAX_WAITING_TEXTS);
    std::thread::spawn(move || {
        while let Some(text) = receiver.blocking_recv() {
            let mut output = std::io::stdout().lock();
            // A closed terminal must not stop the router.
            let _ = output.write_all(text.as_bytes()).and_then(|()| output.flush());
        }
    });
    sender
}

/// Executes commands until the operator enters `quit`. While too many texts wait to be printed, no further command is
/// executed.
pub async fn run(console: Console, mut lines: mpsc::Receiver<String>, texts: mpsc::Sender<String>) {
    while let Some(line) = lines.recv().await {
        match console.execute(&line) {
            CommandResult::Print(text) => {
                if texts.send(text).await.is_err() {
                    break;
                }
            }
            CommandResult::Quit => return,
        }
    }
    std::future::pending().await
}
