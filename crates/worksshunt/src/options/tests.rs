//! Tests of `options`: invalid settings are rejected with an error that names the field.

use super::*;

fn valid_settings() -> serde_json::Value {
    serde_json::json!({
        "host_name": "estiba-0", "site": "z", "client_listen": "127.0.0.1:1",
        "internal_addr": "127.0.0.1:2", "news": true,
        "known": [{"host_name": "estiba-1", "site": "z", "endpoint": "127.0.0.1:3"}],
        "services": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        "facts": {
            "teams": [{"name": "t", "cpus": 1.0, "cpus_max": 2.0, "gpus": 0.0, "gpus_max": 0.0}],
            "workers": {"report_s": 2.5, "lease_s": 16.0, "cancel_s": 40.0},
            "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 20},
            "cloud": {"rps": 5.0, "list_lag_s": 5.0},
            "limits": {"sockets": 1000}
        }
    })
}

fn check_changed(change: impl FnOnce(&mut serde_json::Value)) -> Result<(), String> {
    let mut value = valid_settings();
    change(&mut value);
    parse_settings(&value.to_string())
        .map(|_| ())
        .map_err(|problem| problem.to_string())
}

#[test]
fn settings_with_unknown_fields_are_accepted() {
    assert_eq!(check_changed(|_| {}), Ok(()));
    for next in [
        serde_json::Value::Null,
        serde_json::json!({}),
        serde_json::json!({"value_kb": 2.0, "news": 1}),
        serde_json::json!({"txn_ops": 6, "write_rps": 1e6}),
    ] {
        let announced = next.clone();
        assert_eq!(
            check_changed(|v| v["facts"]["state"]["next"] = announced),
            Ok(()),
            "{next}"
        );
    }
}

#[test]
fn error_names_the_invalid_field() {
    type Change = fn(&mut serde_json::Value);
    let cases: [(&str, Change); 9] = [
        ("facts.teams.cpus_max", |v| {
            v["facts"]["teams"][0]["cpus_max"] = (-1.0).into()
        }),
        ("facts.teams.gpus", |v| {
            v["facts"]["teams"][0]["gpus"] = (-1.0).into()
        }),
        ("facts.state.next.txn_ops", |v| {
            v["facts"]["state"]["next"] = serde_json::json!({"txn_ops": 1})
        }),
        ("facts.state.next.value_kb", |v| {
            v["facts"]["state"]["next"] = serde_json::json!({"value_kb": 0.0, "rps": 9.0})
        }),
        ("facts.teams.cpus", |v| {
            v["facts"]["teams"][0]["cpus"] = 3.0.into()
        }),
        ("known.host_name", |v| {
            v["known"][0]["host_name"] = "estiba-0".into()
        }),
        ("services.state", |v| {
            v["services"]["state"] = "nowhere".into()
        }),
        ("internal_addr", |v| {
            v["internal_addr"] = "127.0.0.1:1".into()
        }),
        ("facts.workers.lease_s", |v| {
            v["facts"]["workers"]["lease_s"] = 0.0.into()
        }),
    ];
    for (field, change) in cases {
        let error = check_changed(change).expect_err(field);
        assert!(error.contains(field), "{error}");
    }
}

#[test]
fn options_with_unknown_keys_or_invalid_values_are_rejected() {
    let parameters = parse_parameters("[placement]\nwindow_s = 60.0\n").expect("valid");
    assert_eq!(parameters.window_s, 60.0);
    assert_eq!(
        parameters.start_speed,
        PlacementParameters::default().start_speed
    );
    for invalid in [
        "windows = 1",
        "[placement]\nwindow = 1.0",
        "[placement]\nwindow_s = -1.0",
        "[placement]\nsize_bands_s = [2.0, 1.0]",
        "not toml",
    ] {
        assert!(parse_parameters(invalid).is_err(), "{invalid}");
    }
}

#[test]
fn request_rate_below_the_minimum_for_leases_is_rejected() {
    // The settings have two controllers.
    assert_eq!(
        check_changed(|v| v["facts"]["state"]["rps"] = 4.0.into()),
        Ok(())
    );
    let error = check_changed(|v| v["facts"]["state"]["rps"] = 3.9.into());
    assert!(error
        .expect_err("rate too low")
        .starts_with("facts.state.rps: 3.9 "));
    let error = check_changed(|v| v["facts"]["state"]["next"] = serde_json::json!({"rps": 1.0}));
    assert!(error
        .expect_err("rate too low")
        .starts_with("facts.state.next.rps: 1 "));
}

// Guards against rejecting a guarantee of a team without a limit.
#[test]
fn limit_of_zero_allows_any_guarantee() {
    let no_limit = |v: &mut serde_json::Value| v["facts"]["teams"][0]["cpus_max"] = 0.0.into();
    assert_eq!(check_changed(no_limit), Ok(()));
}

#[test]
fn error_of_a_missing_or_mistyped_field_has_its_path() {
    let team_error = |field: &'static str, value: serde_json::Value| {
        check_changed(move |v| v["facts"]["teams"][0][field] = value).expect_err(field)
    };
    for (field, value) in [
        ("cpus", serde_json::json!("many")),
        ("cpus_max", serde_json::Value::Null),
        ("gpus", serde_json::json!([1.0])),
        ("name", serde_json::json!(7)),
    ] {
        let error = team_error(field, value);
        let path = format!("facts.teams[0].{field}");
        assert!(error.contains(&path) && !error.contains('\n'), "{error}");
    }
    let error = check_changed(|v| {
        v["facts"]["teams"][0]
            .as_object_mut()
            .expect("a team")
            .remove("gpus_max");
    });
    let error = error.expect_err("a field is missing");
    assert!(
        error.contains("facts.teams[0]") && error.contains("gpus_max"),
        "{error}"
    );
    let trailing = parse_settings(&format!("{} x", valid_settings()));
    assert!(trailing.is_err(), "text after the settings was accepted");
}

/// Error text, and a change to valid settings that causes it.
type ErrorCase = (&'static str, fn(&mut serde_json::Value));

fn assert_error_texts(cases: &[ErrorCase]) {
    for (text, change) in cases {
        assert_eq!(check_changed(change), Err((*text).to_owned()));
    }
}

#[test]
fn error_texts_of_names_addresses_and_teams() {
    assert_error_texts(&[
        (
            "host_name: must not be empty or contain a space or slash",
            |v| v["host_name"] = "a/b".into(),
        ),
        (
            "client_listen: \"nowhere\" is not an IP address with a port",
            |v| v["client_listen"] = "nowhere".into(),
        ),
        (
            "internal_addr: \"1\" is not an IP address with a port",
            |v| v["internal_addr"] = "1".into(),
        ),
        (
            "services.cloud: \"\" is not an IP address with a port",
            |v| v["services"]["cloud"] = "".into(),
        ),
        (
            "services.state: \"a:b\" is not an IP address with a port",
            |v| v["services"]["state"] = "a:b".into(),
        ),
        ("internal_addr: must differ from client_listen", |v| {
            v["internal_addr"] = "127.0.0.1:1".into()
        }),
        (
            "known.endpoint: \"here\" is not an IP address with a port",
            |v| v["known"][0]["endpoint"] = "here".into(),
        ),
        ("known.host_name: duplicate name estiba-0", |v| {
            v["known"][0]["host_name"] = "estiba-0".into()
        }),
        ("facts.teams.name: duplicate name t", |v| {
            let team = v["facts"]["teams"][0].clone();
            v["facts"]["teams"] = serde_json::json!([team.clone(), team])
        }),
        (
            "facts.teams.cpus_max: -1 of team t is not a finite number of at least 0",
            |v| v["facts"]["teams"][0]["cpus_max"] = (-1.0).into(),
        ),
        (
            "facts.teams.gpus: -1 of team t is not between 0 and inf",
            |v| v["facts"]["teams"][0]["gpus"] = (-1.0).into(),
        ),
        (
            "facts.teams.cpus: 3 of team t is not between 0 and 2",
            |v| v["facts"]["teams"][0]["cpus"] = 3.0.into(),
        ),
    ]);
}

#[test]
fn error_texts_of_intervals_and_limits() {
    assert_error_texts(&[
        (
            "facts.workers.heartbeat_interval_s: 0 is not a positive number",
            |v| v["facts"]["workers"]["report_s"] = 0.0.into(),
        ),
        (
            "facts.workers.cancel_s: -2.5 is not a positive number",
            |v| v["facts"]["workers"]["cancel_s"] = (-2.5).into(),
        ),
        (
            "facts.state.next.write_rps: 0 is not a positive number",
            |v| v["facts"]["state"]["next"] = serde_json::json!({"write_rps": 0.0}),
        ),
        (
            "facts.state.rps: 3.9 is below 4, the minimum for leases and epochs of 2 controllers",
            |v| v["facts"]["state"]["rps"] = 3.9.into(),
        ),
        (
            "facts.state.value_kb: must be a finite number of at least 1",
            |v| v["facts"]["state"]["value_kb"] = 0.5.into(),
        ),
        (
            "facts.state.next.value_kb: must be a finite number of at least 1",
            |v| v["facts"]["state"]["next"] = serde_json::json!({"value_kb": 0.5}),
        ),
        ("facts.state.txn_ops: 1 is below the minimum of 2", |v| {
            v["facts"]["state"]["txn_ops"] = 1.into()
        }),
        ("facts.cloud.rps: 0 is not a positive number", |v| {
            v["facts"]["cloud"]["rps"] = 0.0.into()
        }),
        (
            "facts.cloud.list_lag_s: must be a finite number of seconds of at least 0",
            |v| v["facts"]["cloud"]["list_lag_s"] = (-1.0).into(),
        ),
        ("facts.limits.sockets: 1 is below the minimum of 64", |v| {
            v["facts"]["limits"]["sockets"] = 1.into()
        }),
    ]);
}

#[test]
fn error_texts_of_options() {
    for (options, text) in [
        (
            "window_s = -1.0",
            "placement.window_s: -1 is not a positive number",
        ),
        (
            "start_speed = 0.0",
            "placement.start_speed: 0 is not a positive number",
        ),
        (
            "summary_s = nan",
            "placement.summary_s: NaN is not a positive number",
        ),
        (
            "size_bands_s = [2.0, 1.0]",
            "placement.size_bands_s: bounds must be finite, positive and in ascending order",
        ),
    ] {
        let error = parse_parameters(&format!("[placement]\n{options}\n")).expect_err(text);
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn error_is_one_line_that_begins_with_the_file() {
    let directory = std::env::temp_dir();
    let name = format!("worksshunt-settings-{}", std::process::id());
    let file = directory.join(name);
    let error_text = |text: &str, is_options_file: bool| {
        std::fs::write(&file, text).expect("written");
        let error = if is_options_file {
            load_file(&file, parse_parameters).expect_err("options")
        } else {
            load_file(&file, parse_settings).expect_err("settings")
        };
        let error = error.to_string();
        let prefix = format!("{}: ", file.display());
        error.strip_prefix(&prefix).expect("the file").to_owned()
    };
    assert_eq!(
        error_text("", false),
        "EOF while parsing a value at line 1 column 0"
    );
    assert_eq!(
        error_text(&format!("{} x", valid_settings()), false),
        "trailing characters at line 1 column 510"
    );
    assert_eq!(
        error_text("windows = 1", true),
        "TOML parse error at line 1, column 1   | 1 | windows = 1   | ^^^^^^^ unknown field \
         `windows`, expected `placement`"
    );
    std::fs::remove_file(&file).expect("removed");
    assert_eq!(
        load_file(&file, parse_settings)
            .expect_err("no file")
            .to_string(),
        format!("{}: No such file or directory (os error 2)", file.display())
    );
}
