//! Property tests of heartbeats and configurations with arbitrary JSON in place of their fields. What is accepted must give
//! valid declarations or a usable instance, and nothing may panic or exhaust the stack.

#[path = "../platform/announcement.rs"]
#[allow(dead_code, reason = "only the gateway creates the answer to a heartbeat")]
mod announcement;
#[path = "../platform/declaration.rs"]
mod declaration;

use cactushatch::config::Fleet;
use cactushatch::upstream::announcement::is_connectable;
use proptest::prelude::*;

const HEARTBEAT: [(&str, &str); 10] = [
    ("Service", "\"huvo11a\""),
    ("Addr", "\"10.128.0.9:8080\""),
    ("Zone", "\"a\""),
    ("Version", "\"v1\""),
    ("Slots", "2"),
    ("State", "\"ready\""),
    ("ColdLeftMs", "0"),
    ("DbRole", "\"replica\""),
    ("Seq", "4"),
    ("born", "1700000000000"),
];

const ROUTE: [(&str, &str); 9] = [
    ("Name", "\"r-1\""),
    ("Host", "\"fiti\""),
    ("PathPrefix", "\"/\""),
    ("Type", "\"session\""),
    ("TimeoutMs", "800"),
    ("TargetLatencyMs", "200"),
    ("Priority", "2"),
    ("Service", "\"huvo11a\""),
    ("MaxStaleMs", "2500"),
];

const SERVICE: [(&str, &str); 3] =
    [("Name", "\"huvo11a\""), ("MaxConns", "16"), ("SyncCount", "1")];

const TENANT: [(&str, &str); 4] =
    [("Name", "\"ann\""), ("ApiKeys", "[\"u3f1\"]"), ("RatePerS", "12.5"), ("Burst", "7")];

const LIMITS: [(&str, &str); 2] = [("MaxBodyBytes", "262144"), ("TxIdleMs", "3000")];

/// Returns an object with these fields, one of which has another value.
fn object(fields: &[(&str, &str)], edited: usize, value: &str) -> String {
    let fields = fields.iter().enumerate().map(|(index, (name, default))| {
        format!("\"{name}\":{}", if index == edited { value } else { default })
    });
    format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
}

/// A part of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Version,
    Route,
    Service,
    Limits,
    Tenant,
}

const PARTS: [Part; 5] = [Part::Version, Part::Route, Part::Service, Part::Limits, Part::Tenant];

/// Returns a configuration in which one field of a part has another value.
fn configuration(part: Part, field: usize, value: &str) -> String {
    const UNEDITED: usize = usize::MAX;
    let object = |of: Part, fields: &[(&str, &str)]| {
        object(fields, if of == part { field % fields.len() } else { UNEDITED }, value)
    };
    format!(
        "{{\"Version\":{},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{},\"Tenants\":[{}]}}",
        if part == Part::Version { value } else { "7" },
        object(Part::Route, &ROUTE),
        object(Part::Service, &SERVICE),
        object(Part::Limits, &LIMITS),
        object(Part::Tenant, &TENANT),
    )
}

fn number() -> impl Strategy<Value = String> {
    let limits = prop::sample::select(vec![
        "0",
        "1",
        "-1",
        "255",
        "256",
        "65535",
        "65536",
        "100001",
        "2147483648",
        "4294967295",
        "4294967296",
        "300001",
        "3600001",
        "9007199254740992",
        "9223372036854775807",
        "9223372036854775808",
        "18446744073709551615",
        "18446744073709551616",
        "1e308",
        "1e309",
        "-1e308",
        "1e-400",
        "0.0004",
        "-0",
        "-0.0",
        "1.5",
    ]);
    prop_oneof![
        limits.prop_map(str::to_owned),
        any::<u64>().prop_map(|number| number.to_string()),
        any::<i64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| format!("{number:e}")),
    ]
}

/// Arbitrary JSON, nested also more deeply than parsers go.
fn json() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        4 => number(),
        1 => Just("null".to_owned()),
        1 => any::<bool>().prop_map(|flag| flag.to_string()),
        2 => "[a-z0-9:.]{0,12}".prop_map(|text| format!("\"{text}\"")),
        1 => "\\PC{0,12}".prop_map(|text| format!("{text:?}")),
        1 => (0..70_000_usize).prop_map(|length| format!("\"{}\"", "x".repeat(length))),
        1 => (0..50_000_usize).prop_map(|depth| format!("{}{}", "[".repeat(depth), "]".repeat(depth))),
        1 => (0..50_000_usize).prop_map(|depth| format!("{}1{}", "{\"a\":".repeat(depth), "}".repeat(depth))),
        1 => (any::<[u8; 4]>(), any::<u16>()).prop_map(|(ip, port)| {
            format!("\"{}.{}.{}.{}:{port}\"", ip[0], ip[1], ip[2], ip[3])
        }),
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4)
                .prop_map(|all| format!("[{}]", all.join(","))),
            prop::collection::vec(("[a-zA-Z]{1,6}", inner), 0..4).prop_map(|all| {
                let fields = all.iter().map(|(name, value)| format!("\"{name}\":{value}"));
                format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
            }),
        ]
    })
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(4_000))]

    #[test]
    fn an_odd_field_of_a_heartbeat_is_refused_or_names_a_usable_instance(
        field in 0..=HEARTBEAT.len(),
        value in json(),
    ) {
        let mut body = object(&HEARTBEAT, field, &value);
        if field == HEARTBEAT.len() {
            body = body.replacen('{', &format!("{{\"more\":{value},"), 1);
        }
        if let Ok(announcement) = announcement::decode("i-7f", body.as_bytes()) {
            prop_assert!(is_connectable(announcement.replica.address));
            prop_assert!(body.len() <= 64 * 1024);
        }
        let _ = announcement::decode("i-7f", value.as_bytes());
    }

    #[test]
    fn an_odd_field_of_a_configuration_is_refused_or_gives_valid_declarations(
        part in prop::sample::select(PARTS.to_vec()),
        field in any::<usize>(),
        value in json(),
    ) {
        let body = configuration(part, field, &value);
        if let Ok(declaration) = declaration::decode(body.as_bytes()) {
            let fleet = Fleet::parse("declarations", &declaration.text);
            prop_assert!(fleet.is_ok(), "{body:.600}: {fleet:?}");
        }
        let _ = declaration::decode(value.as_bytes());
    }

    #[test]
    fn an_odd_number_in_a_configuration_is_refused_or_gives_valid_declarations(
        part in prop::sample::select(PARTS.to_vec()),
        field in any::<usize>(),
        value in number(),
    ) {
        let body = configuration(part, field, &value);
        if let Ok(declaration) = declaration::decode(body.as_bytes()) {
            let fleet = Fleet::parse("declarations", &declaration.text);
            prop_assert!(fleet.is_ok(), "{body}: {fleet:?}");
        }
    }
}
