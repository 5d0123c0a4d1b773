//! Reads a settings file.

use std::fs::File;
use std::io::{Error, ErrorKind, Read};
use std::path::Path;

/// Longest settings file, in bytes: about 10,000 lines.
const MAX_SETTINGS_BYTES: u64 = 1024 * 1024;

/// Reads a settings file.
///
/// # Errors
///
/// If it cannot be read, is longer than 1 MiB or is not text.
pub fn read_settings_file(path: &Path) -> Result<String, Error> {
    let mut text = String::new();
    let length = File::open(path)?.take(MAX_SETTINGS_BYTES + 1).read_to_string(&mut text)?;
    if length as u64 > MAX_SETTINGS_BYTES {
        return Err(Error::new(ErrorKind::FileTooLarge, "a settings file must not exceed 1 MiB"));
    }
    Ok(text)
}
