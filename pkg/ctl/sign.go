package ctl

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
)

// signFlags say who signs and where the signed bundle goes.
type signFlags struct {
	key string
	out string
}

func addSignFlags(cmd *cobra.Command) *signFlags {
	f := &signFlags{}
	cmd.Flags().StringVar(&f.key, "key", "", "file with the signer's private key (see key signer)")
	cmd.Flags().StringVar(&f.out, "out", "", "file for the signed bundle")
	_ = cmd.MarkFlagRequired("key")
	_ = cmd.MarkFlagRequired("out")
	return f
}

func newSignCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "sign PATH",
		Short: "Sign a draft, or add a signature to a signed bundle",
		Long: `Sign a draft as the version that follows the one in force, or add a signature to a signed bundle.
With --first, a draft becomes version 1 and no platform service is asked.`,
		Example: `  mallowlinkctl bundle sign next --key alice.key --out next.bundle --config vm.ini
  mallowlinkctl bundle sign next.bundle --key bob.key --out next.bundle`,
		Args: cobra.ExactArgs(1),
	}
	fleet := addFleetFlags(cmd)
	sign := addSignFlags(cmd)
	first := cmd.Flags().Bool("first", false, "the bundle is version 1")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		b, e, err := read(args[0])
		if err != nil {
			return err
		}
		if e == nil {
			e, err = sealNext(cmd, b, fleet, *first)
		}
		if err != nil {
			return err
		}
		return sign.write(cmd, e)
	}
	return cmd
}

// sealNext makes a draft the version that follows the one in force. A text that names its version
// keeps it.
func sealNext(cmd *cobra.Command, b *bundle.Bundle, flags *fleetFlags, first bool) (*bundle.Envelope, error) {
	if b.Version > 0 {
		return bundle.Seal(b)
	}
	var current rollout.Pointer
	if !first {
		f, err := flags.open()
		if err != nil {
			return nil, err
		}
		if current, _, err = f.inForce(cmd); err != nil {
			return nil, err
		}
	}
	return bundle.Seal(b.Following(current.Version, current.Hash))
}

// write signs the envelope and writes it to the file.
func (f *signFlags) write(cmd *cobra.Command, e *bundle.Envelope) error {
	key, err := readSigner(f.key)
	if err != nil {
		return err
	}
	e.Sign(key)
	if err := os.WriteFile(f.out, e.Marshal(), publicMode); err != nil {
		return errors.Wrap(err, "sign")
	}
	b, err := e.Bundle()
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "wrote %s: %s, %d signatures\n", f.out, summary(b), len(e.Signatures))
	return nil
}

// readSigner reads the private key that "key signer" has written.
func readSigner(path string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "signer's key")
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.Errorf("%s holds no signer's key", path)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func newRollbackCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "rollback VERSION",
		Short: "Sign a new version with the content of an old one",
		Long:  "Sign a new version, which follows the one in force, with the content of an accepted one. Apply it like any other.",
		Example: `  mallowlinkctl bundle rollback 41 --key alice.key --out back.bundle --config vm.ini
  mallowlinkctl bundle apply back.bundle --config vm.ini`,
		Args: cobra.ExactArgs(1),
	}
	flags := addFleetFlags(cmd)
	sign := addSignFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		version, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return errors.Errorf("%q is not a version", args[0])
		}
		f, err := flags.open()
		if err != nil {
			return err
		}
		e, err := f.rollback(cmd, version)
		if err != nil {
			return err
		}
		return sign.write(cmd, e)
	}
	return cmd
}

func (f *fleet) rollback(cmd *cobra.Command, version uint64) (*bundle.Envelope, error) {
	current, err := f.store.Pointer(cmd.Context())
	if err != nil {
		return nil, err
	}
	target, err := f.store.Version(cmd.Context(), version)
	if err != nil {
		return nil, err
	}
	old, _, err := f.store.Bundle(cmd.Context(), target)
	if err != nil {
		return nil, err
	}
	return bundle.Seal(old.Following(current.Version, current.Hash))
}
