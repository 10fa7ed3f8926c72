// Package command implements the command line of mallowlinkd.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/daemon"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/settings"
	"github.com/mallowlink/mallowlink/pkg/standalone"
	"github.com/mallowlink/mallowlink/platform"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
)

// errComponentFailed is returned when a component of the daemon has failed. The cause is in the log.
var errComponentFailed = errors.New("a component of the daemon failed; see its log")

// errForcedStop is returned when a second signal has ended the daemon before it was drained.
var errForcedStop = errors.New("stopped before it was drained")

// Execute runs the command line and returns the exit status, which is settings.ExitCode for invalid
// settings.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := NewCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "error: "+err.Error())
	var invalid *settings.Error
	if errors.As(err, &invalid) {
		return settings.ExitCode
	}
	return exitFailure
}

// NewCommand returns the root command.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "mallowlinkd",
		Short:         "The daemon that serves very many LoRA adapters",
		Version:       version(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(), newGatewayCommand(), newCheckCommand())
	return root
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

func newCheckCommand() *cobra.Command {
	var path, nodeFile string
	cmd := &cobra.Command{
		Use:     "check",
		Short:   "Check a settings file without starting anything",
		Example: "  mallowlinkd check --config /etc/mallowlink/vm.ini\n  mallowlinkd check --node-file /etc/mallowlink/settings.conf",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if nodeFile != "" {
				return checkNodeFile(cmd, nodeFile)
			}
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: valid settings of VM %s\n", path, s.VM.ID)
			return nil
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file")
	cmd.Flags().StringVar(&nodeFile, "node-file", "", "settings file that the users' platform gives the gateway")
	cmd.MarkFlagsOneRequired("config", "node-file")
	cmd.MarkFlagsMutuallyExclusive("config", "node-file")
	return cmd
}

// checkNodeFile checks the settings file that the users' platform provides for the gateway.
func checkNodeFile(cmd *cobra.Command, path string) error {
	vm, err := platform.Check(path)
	if err != nil {
		return errors.Wrap(err, path)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: valid settings of VM %s\n", path, vm)
	return nil
}

func newRunCommand() *cobra.Command {
	var path string
	var runsStandalone bool
	var opts standalone.Options
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run the daemon until SIGTERM",
		Long: "Run the daemon. On SIGTERM or SIGINT it drains: it is no longer ready, hands its leases over " +
			"and finishes every request. A second signal ends it at once.",
		Example: "  mallowlinkd run --config /etc/mallowlink/vm.ini\n  mallowlinkd run --standalone",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runsStandalone {
				return runStandalone(cmd, opts)
			}
			return runDaemon(path, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file")
	cmd.Flags().BoolVar(&runsStandalone, "standalone", false, "run with stand-ins for everything around, on loopback")
	cmd.Flags().StringVar(&opts.Callers, "listen", "", "callers' address with --standalone (default: a free port of loopback)")
	cmd.Flags().StringVar(&opts.LogLevel, "log-level", "warning", "log level with --standalone")
	cmd.MarkFlagsOneRequired("config", "standalone")
	cmd.MarkFlagsMutuallyExclusive("config", "standalone")
	return cmd
}

func newGatewayCommand() *cobra.Command {
	var opts platform.Options
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run on the users' platform until SIGTERM, dispatching requests directly to endpoints",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := notifyStopSignals()
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			opts.Log = cmd.OutOrStdout()
			d, err := platform.New(opts)
			if err != nil {
				return err
			}
			if err := d.Start(context.Background()); err != nil {
				return err
			}
			go func() {
				for range hangups {
					d.Reload()
				}
			}()
			return untilSignal(d, signals)
		},
	}
	cmd.Flags().StringVar(&opts.LogLevel, "log-level", "info", "least level of the lines that are logged")
	cmd.Flags().StringVar(&opts.Placement, "placement", string(placement.Homes), "how requests are placed: homes or cost")
	cmd.Flags().StringVar(&opts.PeerAddress, "peer-address", "", "where other VMs reach this one, if it is not where it listens")
	return cmd
}

// stoppable is a service that runs until it is stopped or fails.
type stoppable interface {
	Failed() <-chan struct{}
	Stop(ctx context.Context) error
}

func runDaemon(path string, out io.Writer) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, out)
	if err != nil {
		return err
	}
	signals := notifyStopSignals()
	if err := d.Start(context.Background()); err != nil {
		return err
	}
	return untilSignal(d, signals)
}

func runStandalone(cmd *cobra.Command, opts standalone.Options) error {
	signals := notifyStopSignals()
	system, err := standalone.Start(cmd.Context(), opts)
	if err != nil {
		return err
	}
	fmt.Fprint(cmd.OutOrStdout(), system.Greeting())
	return untilSignal(system, signals)
}

// notifyStopSignals returns a channel for the signals that stop the process. It has room for two, because
// a second signal forces the stop.
func notifyStopSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	return signals
}

// untilSignal stops the service at the first signal or when it fails. At the second signal it cuts the
// requests that still run.
func untilSignal(s stoppable, signals <-chan os.Signal) error {
	var failure error
	select {
	case <-signals:
	case <-s.Failed():
		failure = errComponentFailed
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(ctx) }()
	select {
	case err := <-stopped:
		if failure == nil {
			failure = err
		}
		return failure
	case <-signals:
		cancel()
		return awaitForcedStop(stopped)
	}
}

// forcedStopTimeout bounds the wait for a daemon to close after a second signal.
const forcedStopTimeout = 5 * time.Second

func awaitForcedStop(stopped <-chan error) error {
	select {
	case <-stopped:
	case <-time.After(forcedStopTimeout):
	}
	return errForcedStop
}
