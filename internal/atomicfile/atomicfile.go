// Package atomicfile writes files that are there whole or not at all, and tells torn ones.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
)

// syncDirectory is replaced by tests alone.
var syncDirectory = (*os.File).Sync

// Replace puts a new file in the place of the one called name in dir: written beside it, synced, renamed, and the
// directory synced, so that it outlasts a crash of the machine too. The directory is made if it is missing.
func Replace(dir, name string, data []byte) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	f, err := os.CreateTemp(dir, name+".*.tmp")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, name))
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return err
	}
	return syncParent(dir)
}

// syncParent has the new name outlast a crash of the machine. Not all file systems can.
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
