//! Tests of the adapter program, driven over standard input with hand-written batches of events.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::Value;

fn run_adapter(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_quartzspindle-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    for line in lines {
        // The adapter exits at an invalid line, which closes the pipe.
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

const MEMBERSHIP: &str = r#"{"op":"Directory","Ref":0,"RowsIn":[
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

fn boot_and_announce(name: &str) -> String {
    let announce =
        format!(r#"{{"op":"Announce","SoftswitchId":"{name}","Mode":"disk","Ref":0,"Generation":1}}"#);
    batch(1000, &[&boot(name, CLASSES), MEMBERSHIP, &announce]).replace('\n', "")
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
fn a_call_is_sent_and_the_adapter_exits_cleanly_at_end_of_input() {
    let out = run_adapter(&[
        batch(0, &[]),
        boot_and_announce("softswitch_0"),
        batch(1005, &[&query("softswitch_0", 1)]),
    ]);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let replies = replies(&out);
    assert_eq!(replies.len(), 3);
    assert_eq!(replies[0]["orders"], Value::Array(Vec::new()));
    let orders: Vec<&Value> = replies[2]["orders"].as_array().unwrap().iter().collect();
    let transmit = orders.iter().find(|o| o["op"] == "Transmit").unwrap();
    assert_eq!(transmit["Exchange"], "10.0.0.2:5000");
    assert_eq!(transmit["Call"], "5d3a91c4-9593-47f9-acdf-000000000001");
}

#[test]
fn an_instance_gives_the_same_orders_alone_and_among_others() {
    let (a, b) = ("softswitch_0", "softswitch_1");
    let interleaved = run_adapter(&[
        boot_and_announce(a),
        boot_and_announce(b),
        batch(1005, &[&query(a, 1), &query(b, 9), &query(a, 2)]),
        batch(1010, &[&query(b, 8), &query(a, 3)]),
    ]);
    let alone = run_adapter(&[
        boot_and_announce(a),
        batch(1005, &[&query(a, 1), &query(a, 2)]),
        batch(1010, &[&query(a, 3)]),
    ]);
    let orders_of_a = |out: &Output| -> Vec<Value> {
        let all = replies(out).into_iter();
        all.flat_map(|r| r["orders"].as_array().unwrap().clone()).filter(|o| o["SoftswitchId"] == a).collect()
    };
    assert!(orders_of_a(&alone).len() > 3);
    assert_eq!(orders_of_a(&interleaved), orders_of_a(&alone));
}

#[test]
fn unknown_events_calls_instances_and_fields_are_ignored() {
    let unknown_event = r#"{"op":"Weather","SoftswitchId":"softswitch_0","Rain":true}"#;
    let unknown_call = r#"{"op":"Expired","SoftswitchId":"softswitch_0","Call":"none"}"#;
    let unknown_instance = r#"{"op":"Fired","SoftswitchId":"softswitch_77","Token":3}"#;
    let halt = r#"{"op":"Halt","SoftswitchId":"softswitch_0"}"#;
    let lines = [
        boot_and_announce("softswitch_0"),
        batch(1005, &[unknown_event, unknown_call, unknown_instance, halt]),
    ];
    let out = run_adapter(&lines);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(replies(&out)[1]["orders"], Value::Array(Vec::new()));
}

#[test]
fn an_invalid_line_ends_the_adapter_with_a_one_line_message() {
    let no_time = r#"{"happened":[]}"#.to_owned();
    let no_call = batch(1005, &[r#"{"op":"Query","SoftswitchId":"softswitch_0","Kind":0}"#]);
    for (invalid_line, expected_text) in
        [("not json".to_owned(), "line 2"), (no_time, "TimeNs"), (no_call, "Call")]
    {
        let out = run_adapter(&[boot_and_announce("softswitch_0"), invalid_line]);
        assert!(!out.status.success());
        let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(stderr.trim_end().lines().count(), 1, "{stderr}");
        assert!(stderr.contains("line 2") && stderr.contains(expected_text), "{stderr}");
        assert_eq!(replies(&out).len(), 1, "nothing half-written");
    }
}

#[test]
fn settings_without_classes_are_reported_as_broken() {
    let out = run_adapter(&[batch(1000, &[&boot("softswitch_0", "[]")]).replace('\n', "")]);
    assert!(out.status.success());
    assert_eq!(replies(&out)[0]["orders"][0]["op"], "Broken");
}

#[test]
fn policy_files_keep_the_line_width_and_are_listed_in_the_deploy_file() {
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
