//! Tests of the format of log lines and of the log level.

use super::{parse_level, write_record};
use log::kv::Source;
use log::{Level, LevelFilter, Record};

fn format_line(target: &str, message: &str, fields: &dyn Source) -> String {
    let mut out = Vec::new();
    write_record(
        &mut out,
        &Record::builder()
            .level(Level::Info)
            .target(target)
            .args(format_args!("{message}"))
            .key_values(&fields)
            .build(),
    )
    .expect("writing to memory");
    String::from_utf8(out).expect("text")
}

#[test]
fn fields_follow_the_message() {
    let fields = [("member", "m-0"), ("zone", "a")];
    let expected = "INFO  core::controller: became leader member=m-0 zone=a\n";
    let written = format_line("grebewood_core::controller", "became leader", &fields);
    assert_eq!(written, expected);
}

#[test]
fn a_record_without_fields_ends_with_its_message() {
    let fields: [(&str, &str); 0] = [];
    let expected = "INFO  grebewood: started\n";
    assert_eq!(format_line("grebewood", "started", &fields), expected);
}

#[test]
fn values_of_several_words_are_quoted() {
    let fields = [("error", "timed out\nagain"), ("path", "")];
    let expected = "INFO  net: closed error=\"timed out\\nagain\" path=\"\"\n";
    assert_eq!(format_line("grebewood_net", "closed", &fields), expected);
}

#[test]
fn numbers_are_written_plainly() {
    let fields = [("token", 7)];
    assert_eq!(
        format_line("net", "new", &fields),
        "INFO  net: new token=7\n"
    );
}

#[test]
fn the_variable_sets_the_level() {
    assert_eq!(parse_level(Some("debug")), LevelFilter::Debug);
    assert_eq!(parse_level(Some("info")), LevelFilter::Info);
    assert_eq!(parse_level(Some("error")), LevelFilter::Error);
    assert_eq!(parse_level(Some("other")), LevelFilter::Warn);
    assert_eq!(parse_level(None), LevelFilter::Warn);
}
