//! Settings that are wrong in type or word are errors that name the path; what may be absent stays optional.

use rstest::rstest;
use serde_json::{json, Value};
use stagepond::host::Tenths;

fn example_settings() -> Value {
    let config: Value = serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
    config["settings"].clone()
}

#[rstest]
#[case::zone_that_is_no_string("/zones", json!([7, "here"]), "/zones/0")]
#[case::machine_kind_that_is_no_string("/skus", json!(["small", null]), "/skus/1")]
#[case::group("/classes/0/group", json!(7), "/group")]
#[case::window("/classes/0/window_ms", json!("long"), "/window_ms")]
#[case::deadline("/classes/0/deadline_ms", json!("late"), "/deadline_ms")]
#[case::caps("/family_info/caps", json!(["half"]), "/family_info/caps/0")]
#[case::worth_by("/worth_by", json!("weight"), "/worth_by")]
#[case::counts("/family_info/counts", json!("each"), "/family_info/counts")]
#[case::vote_mode("/family_info/vote_mode", json!("clock"), "/family_info/vote_mode")]
#[case::membership_mode("/membership_mode", json!("push"), "/membership_mode")]
#[case::negative_count("/fleet_size", json!(-1), "/fleet_size")]
#[case::fraction("/bounds/max_attempts", json!(1.5), "/bounds/max_attempts")]
#[case::huge_count("/self_index", json!(1e30), "/self_index")]
#[case::guarded_stages("/family_info/guarded_stages", json!(-2), "/family_info/guarded_stages")]
fn wrong_setting_is_an_error_that_names_its_path(
    #[case] path: &str, #[case] value: Value, #[case] named: &str,
) {
    let mut settings = example_settings();
    *settings.pointer_mut(path).unwrap() = value;
    let error = stagepond_facts::parse_settings(&settings).err().expect("the setting is refused");
    assert!(error.to_string().contains(named), "{error}");
}

#[rstest]
fn absent_optional_settings_have_their_defaults() {
    let mut settings = example_settings();
    for class in settings["classes"].as_array_mut().unwrap() {
        let class = class.as_object_mut().unwrap();
        for name in ["group", "window_ms", "deadline_ms"] {
            class.remove(name);
        }
    }
    settings["family_info"]["caps"] = json!([]);
    let (facts, _) = stagepond_facts::parse_settings(&settings).unwrap();
    assert_eq!((facts.longest_time_limit, facts.initial_cap), (Tenths(0), 0.0));
    assert_eq!(facts.operations[1].dedup_window, Tenths(0));
}
