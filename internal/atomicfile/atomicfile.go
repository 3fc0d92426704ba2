// Package atomicfile replaces files atomically: after a crash of the process or the machine, a reader finds
// either the former content or the new one, never part of one. The method is the usual one for POSIX file
// systems: write a temporary file in the same directory, fsync it, rename it, and fsync the directory (Pillai
// et al., "All File Systems Are Not Created Equal", OSDI 2014, shows what each step prevents).
//
// Replace does this once, in the caller's goroutine. Writer writes the latest of several contents in a separate
// goroutine, and retries: internal/host/daemon uses it to save snapshots, and internal/peer/transport to save
// the membership.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
)

// directoryMode gives access to the owner only, because the files contain the fleet's addresses.
const directoryMode = 0o700

// syncDirectory is a variable so that tests can replace it.
var syncDirectory = (*os.File).Sync

// Replace sets the content of the file called name in dir, and returns once the content would survive a crash
// of the machine. The directory is created if it is missing. After an error the former content is still there,
// unless the sync of the directory failed: then a crash may leave either content.
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

// writeAndClose writes and syncs a file, and closes it even after an error. It returns the first error.
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

// syncParent syncs a directory, so that a rename within it survives a crash of the machine. On file systems that
// can't sync directories it returns nil.
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
