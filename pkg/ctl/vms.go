package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
)

// maxStateBytes bounds a state dump.
const maxStateBytes = 256 << 20

func addAdminFlag(cmd *cobra.Command) *[]string {
	return cmd.Flags().StringSlice("admin", nil, "admin listeners of VMs, as IP:port (repeatable, or separated by commas)")
}

// getState returns the state dump of the VM with the given admin listener.
func getState(ctx context.Context, admin string) ([]byte, error) {
	if _, err := netip.ParseAddrPort(admin); err != nil {
		return nil, errors.Errorf("--admin %q is not an IP address and port", admin)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/state", nil)
	if err != nil {
		return nil, errors.Wrap(err, "state")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "state")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("state of %s: %s", admin, resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return nil, errors.Wrap(err, "state")
	}
	return data, nil
}

// bundleState is the part of a state dump that tells of the bundle.
type bundleState struct {
	Bundle struct {
		Version uint64 `json:"version"`
		Hash    string `json:"hash"`
	} `json:"bundle"`
}

func getVersion(ctx context.Context, admin string) (bundleState, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var s bundleState
	data, err := getState(ctx, admin)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, errors.Wrapf(err, "state of %s", admin)
	}
	return s, nil
}

// waitForVMs prints a line for each VM when the bundle, or a later one, is in force there.
func waitForVMs(ctx context.Context, out io.Writer, admins []string, p rollout.Pointer, begin time.Time) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	missing := 0
	for _, admin := range admins {
		wg.Go(func() {
			s, err := waitForVM(ctx, admin, p.Version)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing++
				fmt.Fprintf(out, "%s: not in force: %s\n", admin, err)
				return
			}
			fmt.Fprintf(out, "%s: version %d in force after %s\n", admin, s.Bundle.Version, time.Since(begin).Round(time.Millisecond))
		})
	}
	wg.Wait()
	if missing > 0 {
		return errors.Errorf("version %d is accepted, but %d of %d VMs have not shown it in force", p.Version, missing, len(admins))
	}
	fmt.Fprintf(out, "version %d is in force on all %d VMs\n", p.Version, len(admins))
	return nil
}

func waitForVM(ctx context.Context, admin string, version uint64) (bundleState, error) {
	last := errors.New("no answer")
	for {
		s, err := getVersion(ctx, admin)
		if err == nil && s.Bundle.Version >= version {
			return s, nil
		}
		if err == nil {
			err = errors.Errorf("version %d is in force", s.Bundle.Version)
		}
		if ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return s, last
		case <-time.After(askPause):
		}
	}
}

// printVersions prints the version in force on each VM.
func printVersions(ctx context.Context, out io.Writer, admins []string, p rollout.Pointer) error {
	behind := 0
	for _, admin := range admins {
		s, err := getVersion(ctx, admin)
		switch {
		case err != nil:
			behind++
			fmt.Fprintf(out, "%s: %s\n", admin, err)
		case s.Bundle.Version != p.Version || s.Bundle.Hash != p.Hash:
			behind++
			fmt.Fprintf(out, "%s: version %d (%s)\n", admin, s.Bundle.Version, s.Bundle.Hash)
		default:
			fmt.Fprintf(out, "%s: in force\n", admin)
		}
	}
	if behind > 0 {
		return errors.Errorf("%d of %d VMs have not shown version %d in force", behind, len(admins), p.Version)
	}
	return nil
}
