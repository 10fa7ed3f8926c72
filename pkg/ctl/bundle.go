package ctl

import (
	_ "embed"
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

const (
	publicMode  = 0o644
	privateMode = 0o600
	dirMode     = 0o755
)

//go:embed draft.ini
var draft []byte

// draftName is the file that init writes into a directory.
const draftName = "bundle.ini"

func newBundleCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "bundle", Short: "Check, sign and apply bundles"}
	cmd.AddCommand(newInitCommand(), newCheckCommand(), newDiffCommand(), newSignCommand(),
		newApplyCommand(), newStatusCommand(), newHistoryCommand(), newRollbackCommand())
	return cmd
}

func newInitCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "init DIRECTORY",
		Short:   "Write a commented draft of a bundle",
		Example: "  mallowlinkctl bundle init next",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := os.MkdirAll(args[0], dirMode); err != nil {
				return errors.Wrap(err, "init")
			}
			path := filepath.Join(args[0], draftName)
			if err := writeNew(path, draft, publicMode); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "wrote "+path)
			return nil
		},
	}
}

// writeNew writes a file that must not exist yet.
func writeNew(path string, data []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "write")
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write")
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "write")
	}
	return nil
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check PATH",
		Short: "Check a draft or signed bundle as a whole",
		Long:  "Check a file, a directory of .ini files or a signed bundle, and show every fault with file, line, section and reason. Signatures are not checked.",
		Example: `  mallowlinkctl bundle check next
  mallowlinkctl bundle check next.bundle`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			b, _, err := read(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "ok: %s\n", summary(b))
			return nil
		},
	}
}

func summary(b *bundle.Bundle) string {
	version := "draft"
	if b.Version > 0 {
		version = fmt.Sprintf("version %d (%s)", b.Version, bundle.Hash(bundle.Canonical(b)))
	}
	return fmt.Sprintf("%s: %d models, %d groups, %d endpoints, %d client accounts, %d keys, %d adapters, %d routes",
		version, len(b.Models), len(b.Groups), len(b.Endpoints), len(b.Accounts), len(b.Keys), len(b.Adapters), len(b.Routes))
}

// read reads a draft or a signed bundle. The envelope is nil for a draft.
func read(path string) (*bundle.Bundle, *bundle.Envelope, error) {
	sources, err := bundle.ReadSources(path)
	if err != nil {
		return nil, nil, err
	}
	if len(sources) == 1 && bundle.IsEnvelope(sources[0].Data) {
		e, err := bundle.ParseEnvelope(sources[0].Data)
		if err != nil {
			return nil, nil, err
		}
		b, err := e.Bundle()
		return b, e, err
	}
	b, err := bundle.Parse(sources...)
	return b, nil, err
}

func newDiffCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "diff [OLD] NEW",
		Short: "Show what differs between two bundles, or between the one in force and a new one",
		Example: `  mallowlinkctl bundle diff next --config vm.ini
  mallowlinkctl bundle diff old.bundle next.bundle`,
		Args: cobra.RangeArgs(1, 2),
	}
	flags := addFleetFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		now, _, err := read(args[len(args)-1])
		if err != nil {
			return err
		}
		old, err := oldBundle(cmd, args[:len(args)-1], flags)
		if err != nil {
			return err
		}
		fmt.Fprint(cmd.OutOrStdout(), bundle.Diff(old, now))
		return nil
	}
	return cmd
}

// oldBundle returns the bundle that is named, else the one in force.
func oldBundle(cmd *cobra.Command, names []string, flags *fleetFlags) (*bundle.Bundle, error) {
	if len(names) > 0 {
		b, _, err := read(names[0])
		return b, err
	}
	f, err := flags.open()
	if err != nil {
		return nil, err
	}
	_, b, err := f.inForce(cmd)
	return b, err
}

// inForce returns the bundle in force; before the first, an empty one.
func (f *fleet) inForce(cmd *cobra.Command) (rollout.Pointer, *bundle.Bundle, error) {
	pointer, err := f.store.Pointer(cmd.Context())
	if errors.Is(err, platform.ErrNotFound) {
		return rollout.Pointer{}, &bundle.Bundle{}, nil
	}
	if err != nil {
		return rollout.Pointer{}, nil, err
	}
	b, _, err := f.store.Bundle(cmd.Context(), pointer)
	return pointer, b, err
}
