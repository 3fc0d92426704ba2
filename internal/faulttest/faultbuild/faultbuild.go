// Package faultbuild builds the program with fault injection in the standard library: a wall clock that is off or
// steps, delayed socket writes, system calls that fail occasionally, and disks that fail for a while.
// `go build -overlay` replaces files of the toolchain for that one build, so the product's code needs no test-only paths. The
// built program behaves as usual until an environment variable (VETCHHAVEN_FAULT_*, read in faults/) enables a fault.
//
// The alternative, injection points in the product's code, would reach only the calls that go through them, and each
// new call could bypass them. The cost of patching is that the patches depend on the toolchain's sources: Build fails
// where a patch does not match exactly once.
package faultbuild

import (
	"context"
	"embed"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// patch replaces one piece of a file of the standard library.
type patch struct {
	file     string // below GOROOT/src
	old, new string
}

// patches insert the calls to the fault functions, which are in the files of faults/.
var patches = []patch{
	{"time/time.go", "\tsec, nsec, mono := runtimeNow()\n\tif mono == 0 {", "\tsec, nsec, mono := runtimeNow()\n\tsec += faultClock(mono)\n\tif mono == 0 {"},
	{"internal/poll/fd_unix.go", // Write
		"\tif err := fd.pd.prepareWrite(fd.isFile); err != nil {\n\t\treturn 0, err\n\t}\n\tvar nn int\n\tfor {\n\t\tmax := len(p)\n\t\tif fd.IsStream && max-nn > maxRW {\n\t\t\tmax = nn + maxRW\n\t\t}\n\t\tn, err := ignoringEINTRIO(syscall.Write, fd.Sysfd, p[nn:max])",
		"\tif err := fd.pd.prepareWrite(fd.isFile); err != nil {\n\t\treturn 0, err\n\t}\n\tif err := fd.faultWrite(); err != nil {\n\t\treturn 0, err\n\t}\n\tvar nn int\n\tfor {\n\t\tmax := len(p)\n\t\tif fd.IsStream && max-nn > maxRW {\n\t\t\tmax = nn + maxRW\n\t\t}\n\t\tmax = nn + fd.faultLength(max-nn)\n\t\tn, err := ignoringEINTRIO(syscall.Write, fd.Sysfd, p[nn:max])"},
	{"internal/poll/writev.go", // Writev
		"\t\treturn 0, err\n\t}\n\n\tvar iovecs []syscall.Iovec",
		"\t\treturn 0, err\n\t}\n\tif err := fd.faultWrite(); err != nil {\n\t\treturn 0, err\n\t}\n\n\tvar iovecs []syscall.Iovec"},
	{"internal/poll/fd_unix.go", // Read
		"\t\tn, err := ignoringEINTRIO(syscall.Read, fd.Sysfd, p)\n\t\tif err != nil {\n\t\t\tn = 0",
		"\t\tn, err := ignoringEINTRIO(syscall.Read, fd.Sysfd, p[:fd.faultLength(len(p))])\n\t\terr = fd.faultErrno(err)\n\t\tif err != nil {\n\t\t\tn = 0"},
	{"internal/poll/fd_unix.go", // Accept
		"\t\ts, rsa, errcall, err := accept(fd.Sysfd)\n\t\tif err == nil {",
		"\t\tif err := faultAccept(); err != nil {\n\t\t\treturn -1, nil, \"accept4\", err\n\t\t}\n\t\ts, rsa, errcall, err := accept(fd.Sysfd)\n\t\tif err == nil {"},
	{"internal/poll/fd_unix.go", // Pwrite
		"\t\tn, err := syscall.Pwrite(fd.Sysfd, p[nn:max], off+int64(nn))\n",
		"\t\tif err := faultDisk(); err != nil {\n\t\t\treturn nn, err\n\t\t}\n\t\tn, err := syscall.Pwrite(fd.Sysfd, p[nn:max], off+int64(nn))\n"},
	{"internal/poll/fd_fsync_posix.go", "\treturn ignoringEINTR(func() error {\n\t\treturn syscall.Fsync(fd.Sysfd)", "\tif err := faultDisk(); err != nil {\n\t\treturn err\n\t}\n\treturn ignoringEINTR(func() error {\n\t\treturn syscall.Fsync(fd.Sysfd)"},
	{"net/fd_unix.go", "\tswitch err := connectFunc(fd.pfd.Sysfd, ra); err {", "\tif err := poll.FaultConnect(); err != nil {\n\t\treturn nil, os.NewSyscallError(\"connect\", err)\n\t}\n\tswitch err := connectFunc(fd.pfd.Sysfd, ra); err {"},
}

//go:embed faults/*.txt
var added embed.FS

// additions maps files under faults/ to the paths in the standard library at which they are added.
var additions = map[string]string{"poll.txt": "internal/poll/fault_injected.go", "time.txt": "time/fault_injected.go"}

// apply returns text with the patch applied. It fails unless the text to replace occurs exactly once, which detects a
// toolchain whose sources have changed.
func (p patch) apply(text string) (string, error) {
	if n := strings.Count(text, p.old); n != 1 {
		return "", fmt.Errorf("%s: the patch fits %d times, once is needed: the toolchain's file has changed; the text to replace is\n%s", p.file, n, p.old)
	}
	return strings.Replace(text, p.old, p.new, 1), nil
}

// Overlay writes the patched files of the standard library into dir and returns the path of the file for
// `go build -overlay`.
func Overlay(goroot, dir string) (path string, err error) {
	replace := map[string]string{}
	texts := map[string]string{}
	for _, p := range patches {
		text, known := texts[p.file]
		if !known {
			read, err := os.ReadFile(filepath.Join(goroot, "src", p.file))
			if err != nil {
				return "", fmt.Errorf("fault build: %w", err)
			}
			text = string(read)
		}
		if texts[p.file], err = p.apply(text); err != nil {
			return "", fmt.Errorf("fault build: %w", err)
		}
	}
	for name, file := range additions {
		text, err := added.ReadFile("faults/" + name)
		if err != nil {
			return "", fmt.Errorf("fault build: %w", err)
		}
		texts[file] = string(text)
	}
	for file, text := range texts {
		own := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			return "", fmt.Errorf("fault build: %w", err)
		}
		replace[filepath.Join(goroot, "src", file)] = own
	}
	raw, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", fmt.Errorf("fault build: %w", err)
	}
	path = filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, raw, 0o600)
}

// Build builds the package pkg of this module with fault injection and writes the executable to program. The current
// directory must be inside the module.
func Build(ctx context.Context, pkg, program string, flags ...string) error {
	dir, err := os.MkdirTemp("", "vetchhaven-fault-build")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	goroot, err := exec.CommandContext(ctx, "go", "env", "GOROOT").Output()
	if err != nil {
		return fmt.Errorf("fault build: go env: %w", err)
	}
	overlay, err := Overlay(strings.TrimSpace(string(goroot)), dir)
	if err != nil {
		return err
	}
	args := append([]string{"build", "-buildvcs=false", "-overlay", overlay, "-o", program}, flags...)
	if out, err := exec.CommandContext(ctx, "go", append(args, pkg)...).CombinedOutput(); err != nil {
		return fmt.Errorf("fault build: %w: %s", err, out)
	}
	return nil
}
