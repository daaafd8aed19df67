//! The built adapter, driven over standard input with hand-written batches in the wire's form.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::Value;

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_quartzspindle-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    for line in lines {
        // A child that has already given up on an earlier line closes the pipe.
        if writeln!(stdin, "{line}").is_err() {
            break;
        }
    }
    drop(stdin);
    child.wait_with_output().unwrap()
}

fn replies(output: &Output) -> Vec<Value> {
    let text = String::from_utf8(output.stdout.clone()).unwrap();
    text.lines().map(|l| serde_json::from_str(l).unwrap()).collect()
}

fn batch(ms: u64, events: &[&str]) -> String {
    format!("{{\"TimeNs\":{},\"happened\":[{}]}}", ms * 1_000_000, events.join(","))
}

const LIST: &str = r#"{"op":"Directory","Ref":0,"RowsIn":[
{"CapacityHint":1,"Exchange":"10.0.0.1:5000","FamilyType":0,"UpSinceNs":null,"PlaceNo":0,"Health":"live","Campus":0},
{"CapacityHint":1,"Exchange":"10.0.0.2:5000","FamilyType":0,"UpSinceNs":null,"PlaceNo":1,"Health":"live","Campus":0}]}"#;

fn boot(name: &str, classes: &str) -> String {
    format!(
        r#"{{"op":"Boot","SoftswitchId":"{name}","Prng":5,"Info":{{"Classes":{classes},"FleetSize":2,"Me":0,
"Novelty":{{"a":1}},"Domain":{{"Topology":"meshed","OwnNumber":0,"GuardNs":300000000,"SkilledPools":[null]}},
"PolicyLimits":{{"MaxAttempts":5}},"Orgs":null,"Stats":{{"How":"none","Names":["spare","total","odd"]}}}}}}"#
    )
}

const CLASSES: &str =
    r#"[{"AimNs":1200000000,"DeadlineNs":9000000000,"Worth":1,"LateShare":0.1,"Effect":"safe"}]"#;

fn start(name: &str) -> String {
    let announce =
        format!(r#"{{"op":"Announce","SoftswitchId":"{name}","Mode":"disk","Ref":0,"Generation":1}}"#);
    batch(1000, &[&boot(name, CLASSES), LIST, &announce]).replace('\n', "")
}

fn query(name: &str, call: u32) -> String {
    format!(
        r#"{{"op":"Query","SoftswitchId":"{name}","Call":"5d3a91c4-9593-47f9-acdf-{call:012}","Kind":0,"Org":null,
"RouteKey":"dn.1","RemainingNs":2700000000,"WorkHintNs":null,"CalledNode":1,"Units":1,"Hop":-1,
"AgainByClient":false,"Write":false,"InTransit":false,"Reconnect":false}}"#
    )
    .replace('\n', "")
}

#[test]
fn a_call_is_sent_and_the_input_ends_cleanly() {
    let out = run(&[batch(0, &[]), start("softswitch_0"), batch(1005, &[&query("softswitch_0", 1)])]);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let replies = replies(&out);
    assert_eq!(replies.len(), 3);
    assert_eq!(replies[0]["orders"], Value::Array(Vec::new()));
    let sends: Vec<&Value> = replies[2]["orders"].as_array().unwrap().iter().collect();
    let send = sends.iter().find(|o| o["op"] == "Transmit").unwrap();
    assert_eq!(send["Exchange"], "10.0.0.2:5000");
    assert_eq!(send["Call"], "5d3a91c4-9593-47f9-acdf-000000000001");
}

#[test]
fn instances_act_alike_alone_and_interleaved() {
    let (a, b) = ("softswitch_0", "softswitch_1");
    let mixed = run(&[
        start(a),
        start(b),
        batch(1005, &[&query(a, 1), &query(b, 9), &query(a, 2)]),
        batch(1010, &[&query(b, 8), &query(a, 3)]),
    ]);
    let alone = run(&[start(a), batch(1005, &[&query(a, 1), &query(a, 2)]), batch(1010, &[&query(a, 3)])]);
    let of_a = |out: &Output| -> Vec<Value> {
        let all = replies(out).into_iter();
        all.flat_map(|r| r["orders"].as_array().unwrap().clone()).filter(|o| o["SoftswitchId"] == a).collect()
    };
    assert!(of_a(&alone).len() > 3);
    assert_eq!(of_a(&mixed), of_a(&alone));
}

#[test]
fn unknown_events_strangers_and_extra_fields_are_skipped() {
    let novel = r#"{"op":"Weather","SoftswitchId":"softswitch_0","Rain":true}"#;
    let stranger = r#"{"op":"Expired","SoftswitchId":"softswitch_0","Call":"none"}"#;
    let nobody = r#"{"op":"Fired","SoftswitchId":"softswitch_77","Token":3}"#;
    let halt = r#"{"op":"Halt","SoftswitchId":"softswitch_0"}"#;
    let lines = [start("softswitch_0"), batch(1005, &[novel, stranger, nobody, halt])];
    let out = run(&lines);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(replies(&out)[1]["orders"], Value::Array(Vec::new()));
}

#[test]
fn bad_lines_end_the_adapter_with_a_plain_message() {
    let no_time = r#"{"happened":[]}"#.to_owned();
    let no_call = batch(1005, &[r#"{"op":"Query","SoftswitchId":"softswitch_0","Kind":0}"#]);
    for (bad, word) in [("not json".to_owned(), "line 2"), (no_time, "TimeNs"), (no_call, "Call")] {
        let out = run(&[start("softswitch_0"), bad]);
        assert!(!out.status.success());
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(said.trim_end().lines().count(), 1, "{said}");
        assert!(said.contains("line 2") && said.contains(word), "{said}");
        assert_eq!(replies(&out).len(), 1, "nothing half-written");
    }
}

#[test]
fn settings_without_classes_are_reported_as_broken() {
    let out = run(&[batch(1000, &[&boot("softswitch_0", "[]")]).replace('\n', "")]);
    assert!(out.status.success());
    assert_eq!(replies(&out)[0]["orders"][0]["op"], "Broken");
}

#[test]
fn the_policy_files_keep_their_width_and_the_deploy_file_names_them_all() {
    let root = env!("CARGO_MANIFEST_DIR");
    let deploy = std::fs::read_to_string(format!("{root}/deploy/balancer.toml")).unwrap();
    for file in std::fs::read_dir(format!("{root}/src/policy")).unwrap() {
        let path = file.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_owned();
        let policy = std::fs::read_to_string(&path).unwrap();
        assert!(policy.lines().all(|l| l.chars().count() <= 110), "{name}");
        assert!(deploy.contains(&format!("src/policy/{name}")), "{name} is not listed");
    }
    assert!(deploy.contains("target/release/quartzspindle-adapter"));
}
