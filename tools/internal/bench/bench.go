// Package bench holds helpers that the measuring commands share: Markdown tables, and jobs on several cores.
package bench

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
)

// Out receives the tables.
var Out io.Writer = os.Stdout

// Row prints a row of a table. A float64 is printed with two decimals.
func Row(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		switch c := c.(type) {
		case float64:
			text[i] = strconv.FormatFloat(c, 'f', 2, 64)
		default:
			text[i] = fmt.Sprint(c)
		}
	}
	fmt.Fprintln(Out, "| "+strings.Join(text, " | ")+" |")
}

// Head prints the header of a table.
func Head(cells ...any) {
	Row(cells...)
	fmt.Fprintln(Out, "|"+strings.Repeat(" --- |", len(cells)))
}

// Each runs job for each number from 0 to n-1, up to at of them concurrently, and returns their errors, joined.
func Each(n, at int, job func(i int) error) error {
	errs := make([]error, n)
	slots := make(chan struct{}, at)
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[i] = job(i)
		})
	}
	running.Wait()
	return errors.Join(errs...)
}

// Job is one measurement of a command.
type Job struct {
	Name string
	Run  func() error
}

// Main runs the job that the command's first argument names, after f has parsed the arguments that follow. An unknown
// name or an error of the job ends the program with status 1.
func Main(f *flag.FlagSet, jobs ...Job) {
	what := ""
	if len(os.Args) > 1 {
		what = os.Args[1]
		_ = f.Parse(os.Args[2:]) // on an error, Parse ends the program itself
	}
	names := make([]string, len(jobs))
	for i, j := range jobs {
		names[i] = j.Name
	}
	err := fmt.Errorf("%q is not one of %s", what, strings.Join(names, ", "))
	for _, j := range jobs {
		if j.Name == what {
			err = j.Run()
		}
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", f.Name(), err)
		os.Exit(1)
	}
}
