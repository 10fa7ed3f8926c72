package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/eventlog"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

func newTraceCommand() *cobra.Command {
	var id string
	var around time.Duration
	cmd := &cobra.Command{
		Use:   "trace [FILE...]",
		Short: "Print one request's way from the logs of several VMs",
		Long: "Print the lines of one request in the order of their times, and with --around what changed meanwhile at the " +
			"VM, the endpoints and the account that the request met. Without a file the logs come from standard input.",
		Example: "  mallowlinkctl trace --id 7a8a85ec3daa5da9 --around 2s vm-1.log vm-2.log",
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(args, cmd.InOrStdin())
			if err != nil {
				return err
			}
			found := traceRequest(lines, id, around)
			if len(found) == 0 {
				return errors.Errorf("no line of request %q", id)
			}
			for _, line := range found {
				fmt.Fprintln(cmd.OutOrStdout(), line.Text)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "ID of the request, as the caller sent it")
	cmd.Flags().DurationVar(&around, "around", 0, "also print changes at what the request met, that long before and after it")
	_ = cmd.MarkFlagRequired("id")
	return cmd
}

// readLogs reads the files, or the input if none is named. Lines that are not of the log's form, as a crash
// leaves them, are passed over.
func readLogs(paths []string, input io.Reader) ([]eventlog.Line, error) {
	if len(paths) == 0 {
		return readLog(input)
	}
	var all []eventlog.Line
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		lines, err := readLog(file)
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "log %s", path)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(r io.Reader) ([]eventlog.Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []eventlog.Line
	for scanner.Scan() {
		if line, err := eventlog.Parse(scanner.Text()); err == nil {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// subjects are the fields that name what a line is about.
var subjects = []string{"vm", "endpoint", "account", "adapter", "owner"}

// traceRequest returns the lines of a request, and those about what it met within the time around it that
// are of no other request.
func traceRequest(lines []eventlog.Line, id string, around time.Duration) []eventlog.Line {
	var found []eventlog.Line
	met := map[string]bool{}
	for _, line := range lines {
		if line.Fields["id"] != id {
			continue
		}
		found = append(found, line)
		for _, field := range subjects {
			met[line.Fields[field]] = true
		}
	}
	delete(met, "")
	byTime := func(a, b eventlog.Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(found, byTime)
	if len(found) == 0 || around <= 0 {
		return found
	}
	from, to := found[0].Time.Add(-around), found[len(found)-1].Time.Add(around)
	for _, line := range lines {
		if _, request := line.Fields["id"]; !request && !line.Time.Before(from) && !line.Time.After(to) && about(line, met) {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, byTime)
	return found
}

// about reports whether a line is about one of the subjects. A VM's own lines about endpoints, accounts or
// adapters that the request has not met are left out.
func about(line eventlog.Line, met map[string]bool) bool {
	for _, field := range []string{"endpoint", "account", "adapter"} {
		if subject := line.Fields[field]; subject != "" {
			return met[subject]
		}
	}
	return met[line.Fields["vm"]]
}
