// Package ctl holds the commands of mallowlinkctl, the operators' tool.
package ctl

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
)

// Main runs the command line and returns the exit status.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := NewCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "error: "+err.Error())
		return exitFailure
	}
	return exitOK
}

// NewCommand returns the root command.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "mallowlinkctl",
		Short: "Operate a mallowlink fleet",
		Long:  "mallowlinkctl checks, signs and applies bundles, makes keys and certificates, and shows the state of VMs.",
		Example: `  mallowlinkctl bundle check examples/kolkata/bundle
  mallowlinkctl bundle apply next.bundle --config vm.ini --wait --admin 10.0.0.1:8082,10.0.0.2:8082
  mallowlinkctl dump --admin 127.0.0.1:8082`,
		Version:       version(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newBundleCommand(), newKeyCommand(), newDumpCommand(), newReleasePartCommand(),
		newTraceCommand(), newChartCommand(), newCodesCommand(), newDevCommand())
	return root
}

// version returns the module's version as the build has recorded it.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
