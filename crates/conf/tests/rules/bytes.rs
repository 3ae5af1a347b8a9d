//! Malformed input: patches and records with arbitrary bytes.

use std::sync::Arc;
use std::time::Instant;

use gs_conf::ConfigManager;
use gs_conf::ConfigManagerOptions;
use gs_conf::Event;
use gs_conf::Message;
use gs_conf::Patch;
use gs_conf::ReadResult;
use gs_conf::Record;
use gs_conf::check_config;
use gs_conf::check_patch;
use gs_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;

use crate::samples::config;

fn fuzz_config() -> ProptestConfig {
    let cases = std::env::var("GS_FUZZ_CASES").ok();
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: cases.and_then(|c| c.parse().ok()).unwrap_or(300),
        ..ProptestConfig::default()
    }
}

/// Generates the JSON of a patch with bytes changed, inserted or truncated.
fn malformed() -> impl Strategy<Value = Vec<u8>> {
    let valid = r#"{"id":"p-1","against":7,"changes":[{"put-front":{"name":"a","lookups":[
        {"name":"q","group":"g","scope":"scatter","promise":"urgent","deadline":"250ms",
        "page":20,"enough_at":null}]}},{"remove-lookup":{"front":"a","lookup":"q"}}]}"#;
    let edits = prop::collection::vec((0..valid.len(), any::<u8>(), 0..3_u8), 0..6);
    edits.prop_map(move |edits| {
        let mut bytes = valid.as_bytes().to_vec();
        for (at, byte, kind) in edits {
            let at = at % bytes.len().max(1);
            match kind {
                0 => bytes[at] = byte,
                1 => bytes.insert(at, byte),
                _ => bytes.truncate(at),
            }
            if bytes.is_empty() {
                break;
            }
        }
        bytes
    })
}

proptest! {
    #![proptest_config(fuzz_config())]

    /// A patch that parses is checked without a panic, and one that passes results in a valid configuration.
    #[test]
    fn no_bytes_of_a_patch_cause_a_panic(bytes in malformed()) {
        let patch = serde_json::from_slice::<Patch>(&bytes).ok();
        let checked = patch.and_then(|p| check_patch(&config(), &p, None).ok());
        if let Some((next, _)) = checked {
            prop_assert_eq!(check_config(&next, None).errors, vec![]);
        }
    }

    #[test]
    fn no_bytes_of_a_record_cause_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Record::parse(&String::from_utf8_lossy(&bytes));
    }

    /// A malformed record with a higher object version, from a peer or the platform, is ignored.
    #[test]
    fn a_garbled_record_does_not_replace_the_latest_record(bytes in malformed(), from_peer in any::<bool>()) {
        let now = Instant::now();
        let options = ConfigManagerOptions::builder()
            .vm("vm-1".parse().expect("a name"))
            .incarnation(Incarnation(1))
            .seed(1)
            .build();
        let mut manager = ConfigManager::new(options).expect("a valid definition");
        let mut out = Vec::new();
        let content: Arc<str> = serde_json::to_string(&config()).expect("JSON").into();
        manager.on(now, Event::Read(ReadResult::Found { object: 1, content }), &mut out);
        let content: Arc<str> = String::from_utf8_lossy(&bytes).into();
        let event = match from_peer {
            true => Event::Message(
                "vm-2".parse().expect("a name"),
                Message::Newest { object: 9, content },
            ),
            false => Event::Read(ReadResult::Found { object: 9, content }),
        };
        manager.on(now, event, &mut out);
        prop_assert_eq!(manager.config().map(|c| c.version), Some(ConfVersion(7)));
        prop_assert_eq!(manager.summary().object, 1);
    }
}
