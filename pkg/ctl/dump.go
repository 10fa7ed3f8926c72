package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

func newDumpCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "dump",
		Short: "Show the state of VMs",
		Long:  "Show what each VM holds: leases, queues, adapters, bundle version, peers and open requests. The admin listener is on loopback unless the settings say otherwise.",
		Example: `  mallowlinkctl dump --admin 127.0.0.1:8082
  mallowlinkctl dump --admin 127.0.0.1:8082 --format json`,
		Args: cobra.NoArgs,
	}
	admins := addAdminFlag(cmd)
	format := cmd.Flags().String("format", "table", "table or json")
	_ = cmd.MarkFlagRequired("admin")
	_ = cmd.RegisterFlagCompletionFunc("format", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		write, ok := dumpWriters[*format]
		if !ok {
			return errors.Errorf("--format %q is neither table nor json", *format)
		}
		for _, admin := range *admins {
			if err := dumpVM(cmd, admin, write); err != nil {
				return err
			}
		}
		return nil
	}
	return cmd
}

var dumpWriters = map[string]func(w io.Writer, admin string, state []byte) error{
	"json":  writeStateJSON,
	"table": writeStateTables,
}

func dumpVM(cmd *cobra.Command, admin string, write func(io.Writer, string, []byte) error) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
	defer cancel()
	state, err := getState(ctx, admin)
	if err != nil {
		return err
	}
	return write(cmd.OutOrStdout(), admin, state)
}

func writeStateJSON(w io.Writer, admin string, state []byte) error {
	line := struct {
		Admin string          `json:"admin"`
		State json.RawMessage `json:"state"`
	}{admin, state}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(line); err != nil {
		return errors.Wrapf(err, "state of %s", admin)
	}
	return nil
}

// writeStateTables prints the state as one table for each list of objects, and as lines for all else.
func writeStateTables(w io.Writer, admin string, state []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(state))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return errors.Wrapf(err, "state of %s", admin)
	}
	fmt.Fprintf(w, "VM at %s\n", admin)
	writeValue(w, "", value)
	return nil
}

func writeValue(w io.Writer, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range sortedNames(v) {
			writeValue(w, strings.TrimPrefix(path+"."+key, "."), v[key])
		}
	case []any:
		if columns := columnsOf(v); len(columns) > 0 {
			writeTable(w, path, columns, v)
			return
		}
		fmt.Fprintf(w, "%s: %s\n", path, cell(v))
	default:
		fmt.Fprintf(w, "%s: %s\n", path, cell(v))
	}
}

func sortedNames(m map[string]any) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// columnsOf returns the keys of a list of objects, or nil if it is another list.
func columnsOf(list []any) []string {
	columns := map[string]any{}
	for _, item := range list {
		object, ok := item.(map[string]any)
		if !ok {
			return nil
		}
		for key := range object {
			columns[key] = nil
		}
	}
	return sortedNames(columns)
}

func writeTable(w io.Writer, path string, columns []string, rows []any) {
	fmt.Fprintf(w, "\n%s (%d)\n", path, len(rows))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range rows {
		object := row.(map[string]any)
		cells := make([]string, len(columns))
		for i, column := range columns {
			cells[i] = cell(object[column])
		}
		fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	_ = table.Flush()
	fmt.Fprintln(w)
}

// cell writes a value in one line.
func cell(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case string:
		return v
	case json.Number:
		return v.String()
	}
	data, err := json.Marshal(value)
	if err != nil {
		return "?"
	}
	return string(data)
}
