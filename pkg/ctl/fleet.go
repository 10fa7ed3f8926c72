package ctl

import (
	"crypto/ed25519"
	"encoding/hex"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
	"github.com/mallowlink/mallowlink/pkg/platform/rest"
	"github.com/mallowlink/mallowlink/pkg/settings"
)

// callTimeout bounds one call of a platform service.
const callTimeout = 10 * time.Second

// fleetFlags say where the platform's services are and whose signatures count.
type fleetFlags struct {
	config   string
	table    string
	objects  string
	signers  []string
	required int
}

// addFleetFlags adds the flags to the command.
func addFleetFlags(cmd *cobra.Command) *fleetFlags {
	f := &fleetFlags{}
	flags := cmd.Flags()
	flags.StringVar(&f.config, "config", "", "settings file of a VM, to take services and signers from")
	flags.StringVar(&f.table, "table", "", "base URL of the table service")
	flags.StringVar(&f.objects, "objects", "", "base URL of the object store")
	flags.StringSliceVar(&f.signers, "signer", nil, "ed25519 public key, in hexadecimal, whose signature counts (repeatable)")
	flags.IntVar(&f.required, "required", 0, "number of different signers that a bundle needs")
	return f
}

// fleet is what the commands need of the platform.
type fleet struct {
	store rollout.Store
	trust bundle.Trust
}

// open reads the settings file, if one is given; other flags override it.
func (f *fleetFlags) open() (*fleet, error) {
	s := settings.Default()
	if f.config != "" {
		loaded, err := settings.Load(f.config)
		if err != nil {
			return nil, err
		}
		s = loaded
	}
	if err := f.override(&s); err != nil {
		return nil, err
	}
	if s.Platform.Table == "" || s.Platform.Objects == "" {
		return nil, errors.New("name the platform's services by --config, or by --table and --objects")
	}
	options := rest.Options{Timeout: callTimeout}
	return &fleet{
		store: rollout.Store{
			Table:   rest.NewTable(s.Platform.Table, options),
			Objects: rest.NewObjectStore(s.Platform.Objects, options),
		},
		trust: bundle.Trust{Signers: s.Bundle.Signers, Required: s.Bundle.Required},
	}, nil
}

func (f *fleetFlags) override(s *settings.Settings) error {
	if f.table != "" {
		s.Platform.Table = f.table
	}
	if f.objects != "" {
		s.Platform.Objects = f.objects
	}
	if f.required > 0 {
		s.Bundle.Required = f.required
	}
	if len(f.signers) == 0 {
		return nil
	}
	s.Bundle.Signers = nil
	for _, text := range f.signers {
		key, err := hex.DecodeString(text)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return errors.Errorf("--signer %q is not an ed25519 public key in hexadecimal", text)
		}
		s.Bundle.Signers = append(s.Bundle.Signers, key)
	}
	return nil
}
