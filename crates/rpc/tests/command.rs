//! Guards against command ids that change on the wire, which would make a resend run twice.

use bronzespoke_rpc::command;
use yare::parameterized;

#[parameterized(
    zero = { 0 },
    small = { 42 },
    largest = { u128::MAX },
)]
fn id_survives_json(value: u128) {
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
fn malformed_id_is_refused(text: &str) {
    let fault = text.parse::<command::Id>().expect_err("malformed");
    assert!(fault.to_string().contains("1 to 32 hexadecimal digits"));
}
