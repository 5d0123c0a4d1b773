//! `firspindle check` of manifests of mesh nodes: output, exit status and unusable input.

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Output;
use std::time::{Duration, Instant};

use firspindle_edge::PlatformCodec;
use firspindle_platform::JsonCodec;
use harness::{Fleet, new_request_id};
use proptest::prelude::*;

/// Manifest without findings.
const SOUND: &str = include_str!("check/sound.json");

/// Manifest that nodes accept, with mistakes.
const DOUBTFUL: &str = include_str!("check/doubtful.json");

/// Settings of a mesh node with little memory and no retry budget.
const SETTINGS: &str = include_str!("check/settings.toml");

/// Directory for the files of one test.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("firspindle-check-{}", new_request_id()));
        std::fs::create_dir_all(&path).expect("the folder can be created");
        Self(path)
    }

    fn file(&self, name: &str, text: impl AsRef<[u8]>) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path.display().to_string()
    }

    /// Exit status and output of a check, without the name of the folder.
    fn show(&self, output: &Output) -> String {
        let text = |bytes| String::from_utf8_lossy(bytes).into_owned();
        let all = format!(
            "exit {:?}\n{}{}",
            output.status.code(),
            text(&output.stdout),
            text(&output.stderr)
        );
        all.replace(&format!("{}/", self.0.display()), "")
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn check(args: &[&str]) -> Output {
    Fleet::command(&[&["check", "--manifest"], args].concat())
}

#[test]
fn output_is_text_or_json() {
    let folder = TestFolder::new();
    let old = folder.file("old.json", SOUND);
    let new = folder.file("new.json", DOUBTFUL);
    let settings = folder.file("settings.toml", SETTINGS);
    insta::assert_snapshot!("sound", folder.show(&check(&[&old])));
    let args = [&*new, "--settings", &settings, "--against", &old];
    insta::assert_snapshot!("text", folder.show(&check(&args)));
    let args = [&args[..], &["--output", "json"]].concat();
    insta::assert_snapshot!("json", folder.show(&check(&args)));
    insta::assert_snapshot!("unchanged", folder.show(&check(&[&old, "--against", &old])));
}

#[test]
fn refusals_name_line_and_column() {
    let folder = TestFolder::new();
    let mut text = String::new();
    for (case, from, to) in [
        ("syntax", "\"version\": 7,", "\"version\": 7"),
        ("missing field", "\"version\": 7,", ""),
        ("prefix", "\"/orders/\"", "\"/orders\""),
        ("attempts", "2, null, \"till\"", "0, null, \"till\""),
        ("type of a value", "\"non_idempotent\"", "4"),
        ("unknown service", "2, null, \"till\"", "2, null, \"tlil\""),
        ("limit", "\"headerTimeoutS\": 3", "\"headerTimeoutS\": -3"),
        ("too many values", "\"till\"],", "\"till\", 1, 2, 3, 4],"),
    ] {
        let file = SOUND.replacen(from, to, 1);
        assert_ne!(file, SOUND, "{case}");
        let path = folder.file("manifest.json", file);
        write!(text, "{case}: {}", folder.show(&check(&[&path]))).expect("a string can be written");
    }
    let path = folder.file("manifest.json", "{\n  \"version\": x}");
    let output = check(&[&path, "--output", "json"]);
    write!(text, "as JSON: {}", folder.show(&output)).expect("a string can be written");
    insta::assert_snapshot!(text);
}

#[test]
fn unusable_files_are_refused_with_a_reason() {
    let folder = TestFolder::new();
    let large = folder.file("large.json", "{");
    let file = std::fs::File::options().write(true).open(&large).expect("the file exists");
    file.set_len(100_000_000).expect("the file can be extended");
    std::fs::create_dir(folder.0.join("folder")).expect("the folder can be created");
    let cases = [
        ("empty", folder.file("empty.json", "")),
        ("binary", folder.file("binary.json", [0x7f, 0x45, 0, 0xff])),
        ("binary without ending", folder.file("binary", [0x7f, 0x45, 0, 0xff])),
        ("byte order mark", folder.file("mark", "\u{feff}{}")),
        ("100 MB", large),
        ("directory", folder.0.join("folder").display().to_string()),
        ("missing", folder.0.join("missing.json").display().to_string()),
    ];
    let mut text = String::new();
    for (case, path) in &cases {
        let shown = folder.show(&check(&[path]));
        write!(text, "{case}: {shown}").expect("a string can be written");
    }
    insta::assert_snapshot!(text);
}

/// Guards against options that are ignored without a word.
#[test]
fn options_for_mesh_nodes_are_refused_with_other_manifests() {
    let folder = TestFolder::new();
    let path = folder.file("m.toml", include_str!("../../../examples/manifest-plate-makers.toml"));
    assert_eq!(folder.show(&check(&[&path])), "exit Some(0)\nok\n");
    insta::assert_snapshot!(folder.show(&check(&[&path, "--output", "json"])));
}

/// Serves one answer to one request, after `delay`.
fn serve_once(answer: String, delay: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the check connects");
        let mut head = [0; 1024];
        let size = stream.read(&mut head).expect("the request arrives");
        assert!(head[..size].starts_with(b"GET /manifest "));
        std::thread::sleep(delay);
        let _ = stream.write_all(answer.as_bytes());
    });
    format!("http://{address}/")
}

fn http_answer(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn a_node_gives_the_manifest_to_compare_with() {
    let folder = TestFolder::new();
    let path = folder.file("manifest.json", SOUND.replacen("\"version\": 7", "\"version\": 8", 1));
    let against = |url: &str| check(&[&path, "--against", url]);
    let url = serve_once(http_answer("200 OK", SOUND), Duration::ZERO);
    assert_eq!(folder.show(&against(&url)), "exit Some(0)\nno changes\nok\n");
    let no_manifest = http_answer("503 Service Unavailable", "no manifest is known yet\n");
    for (answer, reason) in [
        (no_manifest, "the node answered 503 Service Unavailable: no manifest is known yet"),
        (http_answer("200 OK", "ok"), "line 1, column 1: config: expected value"),
        (String::new(), "the node did not answer"),
    ] {
        let url = serve_once(answer, Duration::ZERO);
        let expected = format!("exit Some(2)\nfirspindle: {url}: {reason}\n");
        assert_eq!(folder.show(&against(&url)), expected);
    }
    let shown = folder.show(&against("https://127.0.0.1:1"));
    assert!(shown.contains("only URLs that begin with http:// are supported"), "{shown}");
}

#[test]
fn a_node_that_does_not_answer_ends_the_check() {
    let folder = TestFolder::new();
    let path = folder.file("manifest.json", SOUND);
    let url = serve_once(String::new(), Duration::from_secs(30));
    let start = Instant::now();
    let shown = folder.show(&check(&[&path, "--against", &url]));
    assert!(shown.contains("the node did not answer within 3 s"), "{shown}");
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against manifests that pass the check and are refused by nodes, and the reverse.
    #[test]
    fn the_check_refuses_what_nodes_refuse(
        from in 0..DOUBTFUL.len(),
        length in 0_usize..12,
        insert in prop::sample::select(vec!["", "0", "null", "\"\"", "-1", "[", "}", ",", "1e99", "\\"]),
        is_named in any::<bool>(),
    ) {
        let mut text = DOUBTFUL.as_bytes().to_vec();
        let end = (from + length).min(text.len());
        text.splice(from..end, insert.bytes());
        let folder = TestFolder::new();
        let path = folder.file(if is_named { "manifest.json" } else { "manifest" }, &text);
        let output = check(&[&path]);
        let accepted = JsonCodec::default().decode_manifest(&text).is_ok();
        prop_assert_eq!(output.status.code() != Some(2), accepted, "{}", folder.show(&output));
    }
}

/// Guards against a settings file without end that is read whole.
#[test]
fn a_settings_file_beyond_its_bound_is_refused() {
    let folder = TestFolder::new();
    let settings = folder.file("long.toml", "# a line\n".repeat(200_000));
    let output = Fleet::command(&["check", "--settings", &settings]);
    let text = folder.show(&output);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("long.toml") && text.contains("1 MiB"), "{text}");
}
