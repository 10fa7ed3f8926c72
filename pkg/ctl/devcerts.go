package ctl

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/certs"
	"github.com/mallowlink/mallowlink/pkg/ctl/dev"
)

const (
	authorityName = "mallowlink test CA"
	authorityCert = "ca.pem"
	authorityKey  = "ca-key.pem"

	defaultValidity = 30 * 24 * time.Hour
)

func newDevCommand() *cobra.Command {
	cmd := dev.NewCommand()
	cmd.AddCommand(newDevCertsCommand())
	return cmd
}

func newDevCertsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "certs",
		Short: "Make a test CA and VM certificates",
		Long:  "Make certificates for VMs, from the CA in the directory; the CA is made first if it is not there. VMs take up renewed files without a restart.",
		Example: `  mallowlinkctl dev certs --dir certs --vm vm-1=10.0.0.1 --vm vm-2=10.0.0.2
  mallowlinkctl dev certs --dir certs --vm vm-1=10.0.0.1   # renews one`,
		Args: cobra.NoArgs,
	}
	dir := cmd.Flags().String("dir", "", "directory for the files")
	vms := cmd.Flags().StringSlice("vm", nil, "VM as name=IP (repeatable)")
	validity := cmd.Flags().Duration("validity", defaultValidity, "how long the certificates are valid")
	_ = cmd.MarkFlagRequired("dir")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := os.MkdirAll(*dir, dirMode); err != nil {
			return errors.Wrap(err, "certs")
		}
		authority, err := openAuthority(*dir, *validity)
		if err != nil {
			return err
		}
		for _, vm := range *vms {
			if err := issue(cmd, authority, *dir, vm, *validity); err != nil {
				return err
			}
		}
		return nil
	}
	return cmd
}

func openAuthority(dir string, validity time.Duration) (*certs.Authority, error) {
	cert, err := os.ReadFile(filepath.Join(dir, authorityCert))
	if errors.Is(err, os.ErrNotExist) {
		return makeAuthority(dir, validity)
	}
	if err != nil {
		return nil, errors.Wrap(err, "certs")
	}
	key, err := os.ReadFile(filepath.Join(dir, authorityKey))
	if err != nil {
		return nil, errors.Wrap(err, "certs")
	}
	return certs.LoadAuthority(certs.Pair{Cert: cert, Key: key})
}

func makeAuthority(dir string, validity time.Duration) (*certs.Authority, error) {
	authority, err := certs.NewAuthority(authorityName, time.Now(), validity)
	if err != nil {
		return nil, err
	}
	if err := writeNew(filepath.Join(dir, authorityCert), authority.Pair.Cert, publicMode); err != nil {
		return nil, err
	}
	return authority, writeNew(filepath.Join(dir, authorityKey), authority.Pair.Key, privateMode)
}

func issue(cmd *cobra.Command, authority *certs.Authority, dir, vm string, validity time.Duration) error {
	name, text, _ := strings.Cut(vm, "=")
	address, err := netip.ParseAddr(text)
	if err != nil || name == "" || filepath.Base(name) != name {
		return errors.Errorf("--vm %q is not name=IP", vm)
	}
	pair, err := authority.Issue(name, []netip.Addr{address}, time.Now(), validity)
	if err != nil {
		return err
	}
	cert := filepath.Join(dir, name+".pem")
	if err := os.WriteFile(cert, pair.Cert, publicMode); err != nil {
		return errors.Wrap(err, "certs")
	}
	key := filepath.Join(dir, name+"-key.pem")
	if err := os.WriteFile(key, pair.Key, privateMode); err != nil {
		return errors.Wrap(err, "certs")
	}
	fmt.Fprintf(cmd.OutOrStdout(), "wrote %s and %s\n", cert, key)
	return nil
}
