//! The operator's console: one command a line on standard input, answers on standard output.

use std::fmt::Write as _;
use std::io::{BufRead, Write};
use std::rc::Rc;

use tokio::sync::mpsc;

use crate::net::{enumeration, platform, standby::Standby};

/// Longest command line; what is longer is no command.
const LONGEST: usize = 200;

const HELP: &str = "status      what this router is doing\n\
exchanges   the booking exchanges and the connections to them\n\
calls       calls in hand\n\
look-ups    ENUM look-ups in hand and the upstream servers\n\
vrrp        state of the virtual router\n\
drain       fail the tests of the callers' front, so that it sends calls elsewhere\n\
quit        stop in order\n\
metrics     counters since the start, in the OpenMetrics text format\n\
help        this list\n";

/// What the console looks at.
#[derive(Clone)]
pub struct View {
    /// Name of the router.
    pub name: String,
    /// The platform's front.
    pub platform: platform::Handle,
    /// The ENUM front, if there is one.
    pub front: Option<enumeration::Handle>,
    /// The virtual router, if there is one.
    pub standby: Option<Rc<Standby>>,
}

/// What a command leads to.
#[derive(Debug, PartialEq, Eq)]
pub enum Said {
    /// A text to show.
    Text(String),
    /// The router is to stop.
    Quit,
}

impl View {
    /// Carries out one command.
    pub fn command(&self, line: &str) -> Said {
        let mut text = String::new();
        match line.trim().to_ascii_lowercase().as_str() {
            "" => {}
            "help" => text.push_str(HELP),
            "quit" => return Said::Quit,
            "status" => self.status(&mut text),
            "exchanges" => self.exchanges(&mut text),
            "calls" => self.calls(&mut text),
            "look-ups" | "lookups" => self.look_ups(&mut text),
            "vrrp" => {
                let state = self.standby.as_ref().map(|s| format!("{:?}", s.state()));
                let _ = writeln!(text, "vrrp {}", state.as_deref().unwrap_or("off"));
            }
            "metrics" => text.push_str(&self.platform.borrow().metrics.encode()),
            "drain" => {
                self.platform.borrow_mut().drain();
                text.push_str("draining: tests fail from now on\n");
            }
            other => {
                let shown: String = other.chars().filter(|c| !c.is_control()).take(40).collect();
                let _ = writeln!(text, "no command '{shown}'; 'help' lists the commands");
            }
        }
        Said::Text(text)
    }

    fn status(&self, text: &mut String) {
        let platform = self.platform.borrow();
        let state = if platform.is_draining() { "draining" } else { "serving" };
        let _ = writeln!(text, "{} {state}", self.name);
        self.calls(text);
        if let Some(front) = &self.front {
            let _ = writeln!(text, "look-ups in hand {}", front.borrow().in_hand().0);
        }
        if let Some(standby) = &self.standby {
            let _ = writeln!(text, "vrrp {:?}", standby.state());
        }
    }

    fn calls(&self, text: &mut String) {
        let platform = self.platform.borrow();
        let standing = platform.core.calls.established();
        let _ = writeln!(text, "calls unanswered {} standing {standing}", platform.unanswered());
    }

    fn exchanges(&self, text: &mut String) {
        let platform = self.platform.borrow();
        for line in platform.core.exchanges.entries() {
            let pool = platform.pools().find(|(id, _)| **id == line.exchange).map(|(_, pool)| pool);
            let (address, open) =
                pool.map_or((String::new(), 0), |l| (l.address.to_string(), l.open_connections()));
            let (id, place) = (&line.exchange.0, line.node.0);
            let _ = writeln!(text, "{id} place {place} {:?} {address} connections {open}", line.health);
        }
    }

    fn look_ups(&self, text: &mut String) {
        let Some(front) = &self.front else { return text.push_str("look-ups off\n") };
        let front = front.borrow();
        let (all, calls) = front.in_hand();
        let _ = writeln!(text, "look-ups in hand {all} of them for calls {calls}");
        for (id, out) in front.upstreams() {
            let _ = writeln!(text, "upstream {} queries out {out}", id.0);
        }
    }
}

/// Lines of standard input, read on a thread of their own: a terminal can't be waited for otherwise, and
/// nothing is shared but the channel. The end of input ends the thread and not the router.
pub fn lines() -> mpsc::Receiver<String> {
    let (sender, receiver) = mpsc::channel(16);
    std::thread::spawn(move || {
        let mut input = std::io::stdin().lock();
        let mut line = Vec::new();
        loop {
            line.clear();
            match input.read_until(b'\n', &mut line) {
                Ok(0) | Err(_) => return,
                Ok(_) => {
                    let text = String::from_utf8_lossy(&line[..line.len().min(LONGEST)]).into_owned();
                    if sender.blocking_send(text).is_err() {
                        return;
                    }
                }
            }
        }
    });
    receiver
}

/// Serves the console; ends when the operator says `quit`.
pub async fn serve(view: View, mut lines: mpsc::Receiver<String>) {
    while let Some(line) = lines.recv().await {
        match view.command(&line) {
            Said::Text(text) => {
                let mut out = std::io::stdout().lock();
                // A terminal that is gone is no reason to stop.
                let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
            }
            Said::Quit => return,
        }
    }
    std::future::pending().await
}
