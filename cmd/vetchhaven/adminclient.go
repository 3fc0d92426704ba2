package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/host/daemonconfig"
)

// adminCommands returns the commands that call a running daemon at the admin address in its file.
func adminCommands() []*cobra.Command {
	command := func(use, short string, run func(config string) error) *cobra.Command {
		var config string
		c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return run(config) }}
		c.Flags().StringVar(&config, "config", defaultFleet, "the fleet's configuration file")
		return c
	}
	printResponse := func(method, path string, wait time.Duration) func(string) error {
		return func(config string) error {
			body, err := callAdmin(config, method, path, wait)
			if err == nil {
				_, err = os.Stdout.Write(body)
			}
			return err
		}
	}
	var asJSON bool
	status := command("status", "Show the state of a running daemon and its instances", func(config string) error {
		if asJSON {
			return printResponse(http.MethodGet, "/status", 10*time.Second)(config)
		}
		return status(config, os.Stdout)
	})
	status.Flags().BoolVar(&asJSON, "json", false, "print the complete response as JSON")
	return []*cobra.Command{status,
		command("reload", "Make a running daemon apply its changed configuration file", printResponse(http.MethodPost, "/reload", time.Minute)),
		command("handover", "Replace a running daemon by a new process without interrupting service", printResponse(http.MethodPost, "/handover", time.Minute))}
}

// callAdmin calls a running daemon. If the response is not a success, it returns an error with status 1 and the
// response's text.
func callAdmin(config, method, path string, wait time.Duration) ([]byte, error) {
	return callAdminWithBody(config, method, path, nil, wait)
}

// callAdminWithBody is callAdmin with a request body.
func callAdminWithBody(config, method, path string, requestBody []byte, wait time.Duration) ([]byte, error) {
	cfg, err := daemonconfig.Load(config)
	if err != nil {
		return nil, exitError{2, err}
	}
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, cfg.Admin.Network, cfg.Admin.Addr)
		}}}
	req, err := http.NewRequest(method, "http://daemon"+path, bytes.NewReader(requestBody))
	if err != nil {
		return nil, exitError{1, err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, exitError{1, fmt.Errorf("no daemon answers at %s: %w", cfg.Admin, err)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		var failure struct{ Error string }
		if json.Unmarshal(body, &failure) == nil && failure.Error != "" {
			err = fmt.Errorf("%s", failure.Error)
		} else {
			err = fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(body))
		}
	}
	if err != nil {
		return nil, exitError{1, err}
	}
	return body, nil
}

const maxReadyShown = 30 // number of instances without problems to print; all other instances are printed

func status(config string, out io.Writer) error {
	body, err := callAdmin(config, http.MethodGet, "/status", 10*time.Second)
	if err != nil {
		return err
	}
	var s daemon.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return exitError{1, err}
	}
	fmt.Fprintf(out, "pid %d, up %v, %s: %d instances ready, %d running, %d waiting, %d down; %d reloads, %.1f MB heap\n", s.PID,
		(time.Duration(s.Up) * time.Second), s.State, s.Ready, s.Running, s.Waiting, s.Down, s.Reloads, float64(s.Memory)/1e6)
	if s.Saving != "" {
		fmt.Fprintln(out, "not saved:", s.Saving)
	}
	for _, l := range s.Lists {
		fmt.Fprintf(out, "list %s: version %d, %d servers, %d readers, %d reads %s\n", l.Addr, l.Version, l.Servers, l.Readers, l.Reads, l.Error)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "instance\tlisten\tstate\topen\trequests\tserved\trefused\tfailed\tattempts\t")
	ready := 0
	for _, i := range s.Instances {
		if i.State == "ready" && i.Failures == 0 {
			if ready++; ready > maxReadyShown {
				continue
			}
		}
		reason := i.Reason
		if i.Failures > 0 {
			reason = fmt.Sprintf("%d failures, the last: %s", i.Failures, reason)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", i.Name, i.Listen, i.State, i.Totals.Open, i.Totals.Requests, i.Totals.Served,
			i.Totals.Refused, i.Totals.Failed, i.Totals.Attempts, reason)
	}
	t.Flush()
	if ready > maxReadyShown {
		fmt.Fprintf(out, "and %d more that are ready\n", ready-maxReadyShown)
	}
	return nil
}
