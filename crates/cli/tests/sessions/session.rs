//! Transcripts of commands.

use std::fs;
use std::net;

use sequoiayoke_cli as cli;

/// Runs commands and records them with everything that they write.
pub(crate) struct Session {
    control: String,
    replacements: Vec<(String, String)>,
    folder: tempfile::TempDir,
    transcript: String,
}

impl Session {
    /// Creates a session with the replicas at `addresses`, which appear as `[name]` in the
    /// transcript.
    pub(crate) fn new(addresses: &[(&str, net::SocketAddr)]) -> Self {
        let control: Vec<_> = addresses
            .iter()
            .map(|(_, address)| address.to_string())
            .collect();
        let replacements = addresses
            .iter()
            .map(|(name, address)| (address.to_string(), format!("[{name}]")));
        Self {
            control: control.join(","),
            replacements: replacements.collect(),
            folder: tempfile::tempdir().unwrap(),
            transcript: String::new(),
        }
    }

    /// Writes a file into the session's folder, which appears as `files` in the transcript.
    pub(crate) fn write_file(&mut self, name: &str, text: &str) {
        fs::write(self.folder.path().join(name), text).unwrap();
        self.transcript
            .push_str(&format!("files/{name}:\n{text}\n\n"));
    }

    /// Runs `line`, in which `files/` stands for the session's folder.
    pub(crate) async fn run(&mut self, line: &str) {
        self.run_with(line, "").await;
    }

    /// Runs `line` with `stdin` as standard input.
    pub(crate) async fn run_with(&mut self, line: &str, stdin: &str) {
        let folder = format!("{}/", self.folder.path().display());
        let mut arguments = vec!["sequoiayoke".to_owned()];
        arguments.extend(
            line.split_whitespace()
                .map(|argument| argument.replace("files/", &folder)),
        );
        if !self.control.is_empty() {
            arguments.extend(["--control".to_owned(), self.control.clone()]);
        }
        let (mut stdout, mut stderr) = (Vec::new(), Vec::new());
        let code = cli::run(arguments, &mut stdin.as_bytes(), &mut stdout, &mut stderr).await;
        let mut record = format!("$ sequoiayoke {line}\n");
        record.push_str(&String::from_utf8(stdout).unwrap());
        for line in String::from_utf8(stderr).unwrap().lines() {
            record.push_str(format!("! {line}").trim_end());
            record.push('\n');
        }
        record.push_str(&format!("exit {}\n\n", code.number()));
        for (address, name) in &self.replacements {
            record = record.replace(address, name);
        }
        self.transcript.push_str(&record.replace(&folder, "files/"));
    }

    pub(crate) fn transcript(self) -> String {
        self.transcript
    }
}
