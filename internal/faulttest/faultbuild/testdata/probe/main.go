// Command probe says which faults it meets.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func main() {
	var wall syscall.Timeval
	_ = syscall.Gettimeofday(&wall)
	fmt.Printf("clock=%d ", time.Now().Unix()-wall.Sec)

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	to := ln.Addr().(*net.TCPAddr)
	fd, _ := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0) // past the faults of this build
	if err := syscall.Connect(fd, &syscall.SockaddrInet4{Port: to.Port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	c, acceptErr := ln.Accept()
	for c == nil {
		if c, err = ln.Accept(); err != nil && acceptErr != nil {
			break
		}
	}
	if c != nil {
		began := time.Now()
		_, _ = c.Write([]byte("some bytes"))
		fmt.Printf("hold=%v ", time.Since(began) > 100*time.Millisecond)
	}
	dialled := time.Now()
	_, connectErr := net.Dial("tcp", to.String())
	fmt.Printf("late=%v ", time.Since(dialled) > 20*time.Millisecond)
	diskErr := os.WriteFile(filepath.Join(os.Args[1], "file"), []byte("x"), 0o600)
	var resetErr error
	if c != nil {
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		_ = syscall.Close(fd)
		for resetErr == nil {
			_, resetErr = c.Read(make([]byte, 1))
		}
	}
	var number syscall.Errno
	_ = errors.As(resetErr, &number)
	fmt.Printf("accept=%v connect=%v disk=%v reset=%v\n", acceptErr, connectErr, diskErr, number)
}
