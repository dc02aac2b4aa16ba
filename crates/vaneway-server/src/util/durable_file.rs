//! Files that survive a loss of power. A file is replaced atomically: after a crash it holds either
//! the old or the new contents.

use std::fs::File;
use std::io;
use std::path::Path;

use compio::buf::BufResult;
use compio::io::AsyncWriteAtExt as _;

/// Extension of the temporary file that is written before it is renamed to the final name.
const TEMPORARY_EXTENSION: &str = "new";

/// Reads a file. Returns `None` if it does not exist.
///
/// # Errors
///
/// Any other error of the operating system.
pub fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match std::fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        read => read.map(Some),
    }
}

/// Syncs a directory, which makes the names of the files in it durable.
///
/// # Errors
///
/// If the operating system reports an error.
pub fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Atomically replaces the contents of the file at `path` by `bytes` and returns the file, open for
/// writing. On success, the contents and the file's name are durable.
///
/// # Errors
///
/// If the operating system reports an error. The file then still has its old contents, or the new
/// ones if only syncing the directory failed.
pub async fn replace(path: &Path, bytes: Vec<u8>) -> io::Result<compio::fs::File> {
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    let mut file = compio::fs::File::create(&temporary).await?;
    let BufResult(written, _) = file.write_all_at(bytes, 0).await;
    written?;
    file.sync_all().await?;
    compio::fs::rename(&temporary, path).await?;
    let folder = path.parent().unwrap_or(Path::new("."));
    compio::fs::File::open(folder).await?.sync_all().await?;
    Ok(file)
}
