package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"vetchhaven/internal/host/daemonconfig"
)

// A successor is the same program with the same arguments. From descriptor 3 on it inherits the pipe on which it
// reports that it is ready, a file with the snapshot, and the sockets, whose addresses an environment variable lists
// in the same order. cloudflare/tableflip is similar, but is not used, because it never closes a socket that it has
// opened: an address that a reload removes would continue to accept connections that no instance handles.
const (
	handoverVariable = "VETCHHAVEN_HANDOVER"
	// idsVariable names the descriptor of the file with the IDs that the predecessor has executed.
	idsVariable = "VETCHHAVEN_HANDOVER_IDS"

	firstDescriptor       = 3
	readyDescriptor       = firstDescriptor
	stateDescriptor       = 4
	firstSocketDescriptor = 5
)

// ReadyTimeout is how long a successor may take to become ready. With a longer timeout, operators wait longer for a
// successor that hangs.
const ReadyTimeout = 30 * time.Second

// StartSuccessor starts a successor with the given command and waits until it is ready. The first of cmd.ExtraFiles, if
// any, is the file with the IDs that this daemon has executed. If StartSuccessor returns an error, no
// successor is running.
func StartSuccessor(ctx context.Context, cmd *exec.Cmd, sockets map[daemonconfig.Address]*os.File, state []byte, timeout time.Duration) error {
	ready, readyWriter, err := os.Pipe()
	if err != nil {
		return err
	}
	defer ready.Close()
	defer readyWriter.Close()
	stateFile, err := unlinkedFile(state)
	if err != nil {
		return err
	}
	defer stateFile.Close()
	if err := passSockets(cmd, sockets, readyWriter, stateFile); err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = readyWriter.Close() // leaves only the successor's copy, so that the pipe ends when the successor ends
	err = awaitSuccessor(ctx, ready, timeout)
	if err == nil {
		go func() { _ = cmd.Wait() }() // prevents a zombie if the successor ends before this process
		return nil
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	return err
}

// unlinkedFile returns a file with the content, positioned at its beginning, that has been removed from its directory.
// A pipe can't be used, because its buffer may be smaller than the content, which is written before the successor
// reads it.
func unlinkedFile(content []byte) (*os.File, error) {
	file, err := os.CreateTemp("", "vetchhaven-handover")
	if err != nil {
		return nil, err
	}
	err = os.Remove(file.Name())
	if err == nil {
		_, err = file.Write(content)
	}
	if err == nil {
		_, err = file.Seek(0, io.SeekStart)
	}
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// passSockets makes a command inherit the pipe, the snapshot and the sockets.
func passSockets(cmd *exec.Cmd, sockets map[daemonconfig.Address]*os.File, ready, state *os.File) error {
	var addresses []daemonconfig.Address
	for address := range sockets {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, func(a, b daemonconfig.Address) int { return strings.Compare(a.String(), b.String()) })
	ids := cmd.ExtraFiles
	cmd.ExtraFiles = []*os.File{ready, state}
	for _, address := range addresses {
		cmd.ExtraFiles = append(cmd.ExtraFiles, sockets[address])
	}
	list, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, handoverVariable+"="+string(list))
	if len(ids) > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", idsVariable, firstDescriptor+len(cmd.ExtraFiles)))
		cmd.ExtraFiles = append(cmd.ExtraFiles, ids[0])
	}
	return nil
}

// awaitSuccessor waits for the successor's byte on the pipe.
func awaitSuccessor(ctx context.Context, ready *os.File, timeout time.Duration) error {
	read := make(chan error, 1)
	go func() {
		_, err := ready.Read(make([]byte, 1))
		read <- err
	}()
	limit := time.NewTimer(timeout)
	defer limit.Stop()
	select {
	case err := <-read:
		if err != nil {
			return errors.New("the successor ended before it was ready")
		}
		return nil
	case <-limit.C:
		return fmt.Errorf("the successor was not ready within %v", timeout)
	case <-ctx.Done():
		return fmt.Errorf("the successor was not ready when this daemon was stopped: %w", context.Cause(ctx))
	}
}

// Inherited is what a daemon inherits from its predecessor. It is empty for a daemon without a predecessor.
type Inherited struct {
	Sockets  map[daemonconfig.Address]*os.File
	Snapshot []byte // the predecessor's snapshot
	// IDs is the file with the IDs that the predecessor has executed; nil: an earlier build, which passes none.
	IDs   *os.File
	ready *os.File
}

// Inherit takes over what the predecessor passed to this process. Processes that this one starts do not inherit it.
func Inherit() (*Inherited, error) {
	text := os.Getenv(handoverVariable)
	if text == "" {
		return &Inherited{}, nil
	}
	if err := os.Unsetenv(handoverVariable); err != nil {
		return nil, err
	}
	ids := os.Getenv(idsVariable)
	if err := os.Unsetenv(idsVariable); err != nil {
		return nil, err
	}
	inherited, err := inherit(text)
	if fd, atoiErr := strconv.Atoi(ids); err == nil && atoiErr == nil {
		syscall.CloseOnExec(fd)
		inherited.IDs = os.NewFile(uintptr(fd), "ids")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", handoverVariable, err)
	}
	return inherited, nil
}

func inherit(text string) (*Inherited, error) {
	var addresses []daemonconfig.Address
	if err := json.Unmarshal([]byte(text), &addresses); err != nil {
		return nil, err
	}
	inherited := &Inherited{
		Sockets: map[daemonconfig.Address]*os.File{},
		ready:   os.NewFile(readyDescriptor, "ready"),
	}
	stateFile := os.NewFile(stateDescriptor, "state")
	if inherited.ready == nil || stateFile == nil {
		return nil, errors.New("the descriptors are missing")
	}
	defer stateFile.Close()
	state, err := io.ReadAll(stateFile)
	if err != nil {
		return nil, err
	}
	inherited.Snapshot = state
	for n, address := range addresses {
		file := os.NewFile(uintptr(firstSocketDescriptor+n), address.String())
		if file == nil {
			return nil, fmt.Errorf("the descriptor of %s is missing", address)
		}
		inherited.Sockets[address] = file
	}
	return inherited, nil
}

// Ready notifies the predecessor that this daemon serves.
func (i *Inherited) Ready() error {
	if i.ready == nil {
		return nil
	}
	_, err := i.ready.Write([]byte{1})
	if closeErr := i.ready.Close(); err == nil {
		err = closeErr
	}
	i.ready = nil
	return err
}
