package ctl

import (
	"fmt"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/owner"
	"github.com/mallowlink/mallowlink/pkg/request"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/scheduler"
)

// charts returns the state charts of every package.
func charts() []*chart.Chart {
	list := append(rollout.Charts(), lease.Chart(), membership.Chart())
	list = append(list, owner.Charts()...)
	list = append(list, request.Charts()...)
	list = append(list, gateway.Charts()...)
	return append(list, scheduler.Charts()...)
}

func newChartCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "chart [NAME]",
		Short: "Print state charts as Mermaid diagrams",
		Example: `  mallowlinkctl chart
  mallowlinkctl chart bundle`,
		Args: cobra.MaximumNArgs(1),
		ValidArgsFunction: func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return chartNames(), cobra.ShellCompDirectiveNoFileComp
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			found := false
			for _, c := range charts() {
				if len(args) == 0 || args[0] == c.Name {
					found = true
					fmt.Fprintln(cmd.OutOrStdout(), c.Mermaid())
				}
			}
			if !found {
				return errors.Errorf("no chart %q; there are %q", args[0], chartNames())
			}
			return nil
		},
	}
}

func chartNames() []string {
	var names []string
	for _, c := range charts() {
		names = append(names, c.Name)
	}
	return names
}

func newCodesCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "codes",
		Short:   "Print the table of result codes",
		Example: "  mallowlinkctl codes",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "CODE\tNAME\tSTATUS\tOUTCOME\tADVICE")
			for _, info := range result.Table() {
				fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\n", info.Code, info.Name, info.Status, info.Outcome, info.Advice)
			}
			if err := w.Flush(); err != nil {
				return errors.Wrap(err, "codes")
			}
			return nil
		},
	}
}
