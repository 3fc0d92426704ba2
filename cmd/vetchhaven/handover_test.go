package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/testkit"
)

// A reload during a handover is in effect after the handover, whichever process serves then. Earlier, the old process
// rejected the reload with "a successor is being started: it reads the file itself", although the successor might have
// read the file before the change: then no process served the new instance, and no line was logged. Up to 30 s could
// pass between the successor's reading of the file and the rejected reload.
func TestReloadDuringAHandoverTakesEffect(t *testing.T) {
	for name, successorFails := range map[string]bool{"the successor gets ready": false, "the successor is killed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, list := startFormAndList(t)
			s := startDaemon(t, list.Addr())
			before, _ := s.status()
			text, err := os.ReadFile(s.path)
			if err != nil {
				t.Fatal(err)
			}
			// The successor reads its file from a pipe; it has read the file once the pipe is closed. A list service
			// that is down delays its readiness by 5 s.
			if err := os.Remove(s.path); err != nil {
				t.Fatal(err)
			}
			if err := syscall.Mkfifo(s.path, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := s.cmd.Process.Signal(syscall.SIGUSR2); err != nil {
				t.Fatal(err)
			}
			opened := make(chan *os.File, 1)
			go func() {
				pipe, _ := os.OpenFile(s.path, os.O_WRONLY, 0)
				opened <- pipe
			}()
			pipe := testkit.Receive(t, "a successor that reads its file", opened)
			starting := children(t, before.PID)
			if err := os.Remove(s.path); err != nil {
				t.Fatal(err)
			}
			slow := fmt.Sprintf("[[source]]\nname = \"down\"\nlist = %q\n[[instance]]\nname = \"slow\"\nsource = \"down\"\nlisten = \"unix:%s/slow.sock\"\n",
				testkit.ReservedAddr(t), s.dir)
			first := strings.Replace(string(text), "name = \"one\"\n", "name = \"one\"\nsource = \"main\"\n", 1)
			write(t, s.path, first+slow+fmt.Sprintf("[[instance]]\nname = \"late\"\nsource = \"main\"\nlisten = \"unix:%s/late.sock\"\n", s.dir))
			if !successorFails {
				if _, err := pipe.WriteString(first + slow); err != nil {
					t.Fatal(err)
				}
				_ = pipe.Close()
				time.Sleep(500 * time.Millisecond) // the successor parses the file; it is ready 5 s later
			}
			if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			if successorFails {
				time.Sleep(200 * time.Millisecond) // the reload arrives while the handover is still in progress
				for _, pid := range starting {
					_ = syscall.Kill(pid, syscall.SIGKILL)
				}
				defer pipe.Close()
			}
			s.waitFor("the end of the handover", func(st daemon.Status) bool {
				return st.State == "serving" && (st.PID != before.PID) == !successorFails
			})
			late := filepath.Join(s.dir, "late.sock")
			for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
				if _, err := os.Stat(late); err == nil {
					break
				}
				if time.Now().After(end) {
					log, _ := os.ReadFile(s.log.Name())
					t.Fatalf("no process serves the instance that the reload added\n%s", log)
				}
			}
			req, err := http.NewRequest(http.MethodGet, "http://x/get", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("X-Trace-Id", "late-1")
			resp, err := s.client("late").Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("status %d", resp.StatusCode)
			}
		})
	}
}
