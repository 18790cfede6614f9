//! Guards against examples in the operators' guide that do not parse.

use bronzespoke_language::parse;

const GUIDE: &str = include_str!("../../../docs/operators.md");

#[test]
fn examples_of_the_guide_are_statements() {
    let blocks = GUIDE.split("```bronzespoke\n").skip(1);
    let lines = blocks.flat_map(|block| block.split("```").next().unwrap_or_default().lines());
    let lines = lines.collect::<Vec<_>>();
    assert!(lines.len() > 40, "{} examples", lines.len());
    for line in lines {
        if let Err(error) = parse(line) {
            panic!("{line}: {error}");
        }
    }
}
