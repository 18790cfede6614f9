//! Guards against changes to the JSON of answers, which would break operators' programs.

use bronzespoke_language::{answer, parse, render};

fn table() -> answer::Table {
    let mut table = answer::Table::new(
        "holdings",
        &[
            ("team", answer::Kind::Text),
            ("cpu", answer::Kind::CpuMilli),
            ("memory", answer::Kind::MemoryMib),
            ("share", answer::Kind::Share),
            ("over", answer::Kind::Flag),
            ("job", answer::Kind::Id),
            ("waited", answer::Kind::DurationMs),
        ],
    );
    table.push(vec![
        "kodokan".into(),
        2500_u32.into(),
        4096_u32.into(),
        0.125.into(),
        true.into(),
        u64::MAX.into(),
        1500_u64.into(),
    ]);
    let absent = answer::Value::Absent;
    table.push(vec![
        "a\u{1b}[2Jb".into(),
        0_u32.into(),
        0_u32.into(),
        1.0.into(),
        false.into(),
        absent.clone(),
        absent,
    ]);
    table
}

#[test]
fn table_json_is_stable() {
    let answer = answer::Answer::Table(table());
    let json = serde_json::to_string(&answer).expect("plain data");
    let expected = concat!(
        r#"{"answer":"table","title":"holdings","columns":[{"name":"team","kind":"text"},"#,
        r#"{"name":"cpu","kind":"cpu_milli"},{"name":"memory","kind":"memory_mib"},{"name":"share","kind":"share"},"#,
        r#"{"name":"over","kind":"flag"},{"name":"job","kind":"id"},{"name":"waited","kind":"duration_ms"}],"#,
        r#""rows":[["kodokan",2500,4096,0.125,true,18446744073709551615,1500],"#,
        r#"["a\u001b[2Jb",0,0,1.0,false,null,null]],"omitted":0}"#
    );
    assert_eq!(json, expected);
    assert_eq!(
        serde_json::from_str::<answer::Answer>(&json).expect("written above"),
        answer
    );
}

#[test]
fn syntax_error_json_has_the_column() {
    let error = parse("show task").expect_err("unknown subject");
    let json = serde_json::to_value(answer::Answer::from(error)).expect("plain data");
    assert_eq!(
        (&json["answer"], &json["code"], &json["column"]),
        (&"error".into(), &"syntax".into(), &6.into())
    );
}

/// Guards against values without units, and against terminal escape sequences in names.
#[test]
fn table_text_has_units_and_no_control_characters() {
    let text = render::answer(&answer::Answer::Table(table()));
    let lines = text.lines().collect::<Vec<_>>();
    assert_eq!(lines[0], "holdings (2 rows)");
    for word in [
        "kodokan",
        "2.5",
        "4GiB",
        "12.5%",
        "yes",
        "18446744073709551615",
        "1s500ms",
    ] {
        assert!(lines[2].contains(word), "{text}");
    }
    assert!(!text.contains('\u{1b}'));
}

/// Guards against answers of unbounded size.
#[test]
fn rows_beyond_the_bound_are_counted() {
    let mut table = answer::Table::new("jobs", &[("job", answer::Kind::Id)]);
    for job in 0..answer::MAX_ROWS as u64 + 3 {
        table.push(vec![job.into()]);
    }
    assert_eq!((table.rows.len(), table.omitted), (answer::MAX_ROWS, 3));
    assert!(render::answer(&answer::Answer::Table(table)).ends_with("narrow the statement with `where`\n"));
}
