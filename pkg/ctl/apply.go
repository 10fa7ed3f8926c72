package ctl

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
)

const (
	// defaultWait bounds the wait for the VMs.
	defaultWait = 30 * time.Second
	// askPause is the time between two questions to one VM.
	askPause = 50 * time.Millisecond
	// askTimeout bounds one question to a VM.
	askTimeout = 2 * time.Second
)

func newApplyCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make a signed bundle the one in force",
		Long: `Make a signed bundle the one in force, by one conditional write. If another operator was faster, nothing
is written, and the difference is shown. Applying the bundle in force again is not an error.`,
		Example: `  mallowlinkctl bundle apply next.bundle --config vm.ini
  mallowlinkctl bundle apply next.bundle --config vm.ini --wait --admin 10.0.0.1:8082,10.0.0.2:8082`,
		Args: cobra.ExactArgs(1),
	}
	a := &applyFlags{fleet: addFleetFlags(cmd), admins: addAdminFlag(cmd)}
	cmd.Flags().StringVar(&a.by, "by", userName(), "name of the operator, for the history")
	cmd.Flags().BoolVar(&a.wait, "wait", false, "wait until the bundle is in force on every VM named by --admin")
	cmd.Flags().DurationVar(&a.timeout, "timeout", defaultWait, "how long to wait")
	cmd.RunE = a.run
	return cmd
}

// applyFlags are the flags of "bundle apply".
type applyFlags struct {
	fleet   *fleetFlags
	admins  *[]string
	by      string
	wait    bool
	timeout time.Duration
}

func (a *applyFlags) run(cmd *cobra.Command, args []string) error {
	if a.wait && len(*a.admins) == 0 {
		return errors.New("--wait needs the VMs' admin listeners by --admin")
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return errors.Wrap(err, "apply")
	}
	f, err := a.fleet.open()
	if err != nil {
		return err
	}
	begin := time.Now()
	pointer, err := f.store.Accept(cmd.Context(), rollout.Acceptance{Trust: f.trust, Envelope: data, By: a.by, Now: begin})
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "accepted version %d (%s)\n", pointer.Version, pointer.Hash)
	if !a.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), a.timeout)
	defer cancel()
	return waitForVMs(ctx, cmd.OutOrStdout(), *a.admins, pointer, begin)
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func newStatusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the bundle in force, and the VMs' versions",
		Example: "  mallowlinkctl bundle status --config vm.ini --admin 10.0.0.1:8082,10.0.0.2:8082",
		Args:    cobra.NoArgs,
	}
	flags := addFleetFlags(cmd)
	admins := addAdminFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		f, err := flags.open()
		if err != nil {
			return err
		}
		pointer, err := f.store.Pointer(cmd.Context())
		if err != nil {
			return err
		}
		printPointers(cmd, pointer)
		return printVersions(cmd.Context(), cmd.OutOrStdout(), *admins, pointer)
	}
	return cmd
}

func newHistoryCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the accepted versions",
		Example: "  mallowlinkctl bundle history --config vm.ini",
		Args:    cobra.NoArgs,
	}
	flags := addFleetFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		f, err := flags.open()
		if err != nil {
			return err
		}
		history, err := f.store.History(cmd.Context())
		if err != nil {
			return err
		}
		printPointers(cmd, history...)
		return nil
	}
	return cmd
}

func printPointers(cmd *cobra.Command, pointers ...rollout.Pointer) {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tACCEPTED\tBY\tHASH")
	for _, p := range pointers {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", p.Version, p.Accepted.Format(time.RFC3339), p.By, p.Hash)
	}
	_ = w.Flush()
}
