// Package atomicfile replaces files atomically: after a crash of the process or the machine, a reader finds
// either the former content or the new one, never part of one. The method is the usual one for POSIX file
// systems: write a temporary file in the same directory, fsync it, rename it, and fsync the directory (Pillai
// et al., "All File Systems Are Not Created Equal", OSDI 2014, shows what each step prevents).
//
// Replace does so once, in the caller's goroutine. Writer does it in a goroutine of its own, for the latest of
// several contents, and retries: internal/host/daemon saves snapshots and internal/peer/transport the
// membership with it.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
)

// directoryMode lets only the owner in: the files hold the fleet's addresses.
const directoryMode = 0o700

// syncDirectory is replaced by tests only.
var syncDirectory = (*os.File).Sync

// Replace sets the content of the file called name in dir, and returns once it would survive a crash of the
// machine. The directory is created if it is missing. After an error the former content is still there, unless
// it was the sync of the directory that failed: then either may be found after a crash.
func Replace(dir, name string, data []byte) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return err
	}
	temporary, err := os.CreateTemp(dir, name+".*.tmp")
	if err != nil {
		return err
	}
	err = writeAndClose(temporary, data)
	if err == nil {
		err = os.Rename(temporary.Name(), filepath.Join(dir, name))
	}
	if err != nil {
		_ = os.Remove(temporary.Name())
		return err
	}
	return syncParent(dir)
}

// writeAndClose writes and syncs a file. It is closed in any case; the first error counts.
func writeAndClose(f *os.File, data []byte) error {
	_, err := f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	closeErr := f.Close()
	if err == nil {
		err = closeErr
	}
	return err
}

// syncParent syncs a directory, so that a rename within it survives a crash of the machine. A file system that
// can't sync directories is no error.
func syncParent(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	err = syncDirectory(d)
	if errors.Is(err, syscall.EINVAL) || errors.Is(err, errors.ErrUnsupported) {
		return nil
	}
	return err
}
