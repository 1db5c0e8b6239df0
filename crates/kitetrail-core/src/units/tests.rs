use super::ByteSize;

#[test]
fn byte_sizes_are_written_in_whole_units_and_read_back() {
    for (bytes, text) in [(0, "0B"), (1_000, "1000B"), (2_048, "2KiB"), (64 << 20, "64MiB")] {
        assert_eq!(ByteSize(bytes).to_string(), text);
        assert_eq!(text.parse(), Ok(ByteSize(bytes)));
    }
    for text in ["", "12", "KiB", "-1B", "1GiB", "99999999999999999MiB"] {
        assert!(text.parse::<ByteSize>().is_err(), "{text}");
    }
}
