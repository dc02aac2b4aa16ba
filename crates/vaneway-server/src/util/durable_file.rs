//! Files that survive a loss of power. One that is replaced as a whole is then either the one before
//! or the new one.

use std::fs::File;
use std::io;
use std::path::Path;

use compio::buf::BufResult;
use compio::io::AsyncWriteAtExt as _;

/// Ending of the name under which a file is written before it takes the other's place.
const NEW_ENDING: &str = "new";

/// The bytes of a file, if there is one.
///
/// # Errors
///
/// The operating system's.
pub fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match std::fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        read => read.map(Some),
    }
}

/// Makes the names of a folder's files durable.
///
/// # Errors
///
/// The operating system's.
pub fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Replaces the file `path` by one with `bytes` and returns it, open for writing. Once this has
/// succeeded, the file and its name are durable.
///
/// # Errors
///
/// The operating system's; the file before is still there then.
pub async fn replace(path: &Path, bytes: Vec<u8>) -> io::Result<compio::fs::File> {
    let new = path.with_extension(NEW_ENDING);
    let mut file = compio::fs::File::create(&new).await?;
    let BufResult(written, _) = file.write_all_at(bytes, 0).await;
    written?;
    file.sync_all().await?;
    compio::fs::rename(&new, path).await?;
    let folder = path.parent().unwrap_or(Path::new("."));
    compio::fs::File::open(folder).await?.sync_all().await?;
    Ok(file)
}
