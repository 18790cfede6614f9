//! Guards against command ids that change in transit: a resent command would be executed twice.

use bronzespoke_rpc::command;
use yare::parameterized;

#[parameterized(
    zero = { 0 },
    small = { 42 },
    largest = { u128::MAX },
)]
fn id_round_trips_through_json(value: u128) {
    let id = command::Id(value);
    let text = serde_json::to_string(&id).expect("an id is text");
    assert_eq!(text.len(), 34);
    assert_eq!(
        serde_json::from_str::<command::Id>(&text).expect("written above"),
        id
    );
}

#[parameterized(
    empty = { "" },
    sign = { "+1" },
    letters = { "xyz" },
    too_long = { "123456789012345678901234567890123" },
)]
fn malformed_id_is_rejected(text: &str) {
    let error = text.parse::<command::Id>().expect_err("malformed");
    assert!(error.to_string().contains("1 to 32 hexadecimal digits"));
}
