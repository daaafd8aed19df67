//! Plays one case of this review: `play CASE ROOT DIR RECORD`. Exits with 0 if the rule held, 1 if it was
//! broken, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod common;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, dir, record] = &arguments[..] else {
        eprintln!("usage: play CASE ROOT DIR RECORD");
        return ExitCode::from(2);
    };
    if let Err(e) = common::start_case(root, dir, record) {
        eprintln!("case could not run: {e}");
        return ExitCode::from(2);
    }
    let result = cases::play(case);
    common::end_processes();
    let (code, text) = match result {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(e) => (2, format!("the case could not run: {e}")),
    };
    common::note(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
