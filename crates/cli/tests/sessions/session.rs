//! Transcripts of command lines.

use std::fs;
use std::net;

use sequoiayoke_cli as cli;

/// Commands that were run, with everything that they wrote.
pub(crate) struct Session {
    control: String,
    names: Vec<(String, String)>,
    folder: tempfile::TempDir,
    transcript: String,
}

impl Session {
    /// Makes a session with the replicas at `addresses`, which the transcript calls `[name]`.
    pub(crate) fn new(addresses: &[(&str, net::SocketAddr)]) -> Self {
        let list: Vec<_> = addresses
            .iter()
            .map(|(_, address)| address.to_string())
            .collect();
        let names = addresses
            .iter()
            .map(|(name, address)| (address.to_string(), format!("[{name}]")));
        Self {
            control: list.join(","),
            names: names.collect(),
            folder: tempfile::tempdir().unwrap(),
            transcript: String::new(),
        }
    }

    /// Writes a file into the session's folder, which the transcript calls `files`.
    pub(crate) fn file(&mut self, name: &str, text: &str) {
        fs::write(self.folder.path().join(name), text).unwrap();
        self.transcript
            .push_str(&format!("files/{name}:\n{text}\n\n"));
    }

    /// Runs `line`, in which `files/` is the session's folder.
    pub(crate) async fn run(&mut self, line: &str) {
        self.run_with(line, "").await;
    }

    /// Runs `line` with `input` as standard input.
    pub(crate) async fn run_with(&mut self, line: &str, input: &str) {
        let folder = format!("{}/", self.folder.path().display());
        let mut arguments = vec!["sequoiayoke".to_owned()];
        arguments.extend(
            line.split_whitespace()
                .map(|word| word.replace("files/", &folder)),
        );
        if !self.control.is_empty() {
            arguments.extend(["--control".to_owned(), self.control.clone()]);
        }
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let code = cli::run(arguments, &mut input.as_bytes(), &mut out, &mut err).await;
        let mut shown = format!("$ sequoiayoke {line}\n");
        shown.push_str(&String::from_utf8(out).unwrap());
        for line in String::from_utf8(err).unwrap().lines() {
            shown.push_str(format!("! {line}").trim_end());
            shown.push('\n');
        }
        shown.push_str(&format!("exit {}\n\n", code.number()));
        for (address, name) in &self.names {
            shown = shown.replace(address, name);
        }
        self.transcript.push_str(&shown.replace(&folder, "files/"));
    }

    pub(crate) fn transcript(self) -> String {
        self.transcript
    }
}
