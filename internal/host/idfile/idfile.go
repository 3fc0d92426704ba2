// Package idfile maps the table of executed request IDs (core.IDTable) from a file that the processes of an agent share.
package idfile

import (
	"fmt"
	"math/bits"
	"os"
	"sync/atomic"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/core"
)

const (
	wordSize = 8
	// smallSize and largeSize are sizes of files in bytes; only the pages that were used take memory.
	smallSize = 512 << 10
	largeSize = 4 << 20
	// minLargeMemoryMB is the memory of a process from which the file is large.
	minLargeMemoryMB = 256
)

// sizeFor returns the size of a new file for a process with a memory limit in MiB; 0: it has no limit.
func sizeFor(memoryMB int) int64 {
	if memoryMB == 0 || memoryMB >= minLargeMemoryMB {
		return largeSize
	}
	return smallSize
}

// Open maps the file at path, which is created if it is missing. The mapping lasts as long as the process.
func Open(path string, memoryMB int) (*core.IDTable, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|syscall.O_NOFOLLOW, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return Map(file, memoryMB)
}

// New returns a file in memory without a name, for a successor that inherits it.
func New() (*os.File, error) {
	fd, err := unix.MemfdCreate("vetchhaven-ids", unix.MFD_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("memfd_create", err)
	}
	return os.NewFile(uintptr(fd), "ids"), nil
}

// Map maps a file, and gives an empty one its size. The mapping lasts as long as the process, whether or not the file is
// closed.
func Map(file *os.File, memoryMB int) (*core.IDTable, error) {
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	size := info.Size()
	if size == 0 { // two processes that do this at the same time have the same settings
		size = sizeFor(memoryMB)
		if err := file.Truncate(size); err != nil {
			return nil, err
		}
	}
	if size < smallSize || bits.OnesCount64(uint64(size)) != 1 {
		return nil, fmt.Errorf("%s: %d bytes are no table of IDs", file.Name(), size)
	}
	memory, err := unix.Mmap(int(file.Fd()), 0, int(size), unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, os.NewSyscallError("mmap", err)
	}
	words := unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(unsafe.SliceData(memory))), size/wordSize)
	return core.NewIDTable(words), nil
}
