package ctl

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// maxErrorBytes bounds the text of a VM's error that is shown.
const maxErrorBytes = 4 << 10

func newReleasePartCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "release-part PART",
		Short: "Send requests with a held prompt part again",
		Long:  "Clear a prompt part of the endpoint crashes recorded for it. One VM is enough: it notifies the others. The part is held again after three further crashes. The held parts are in the state of each VM (dump, held_parts).",
		Example: `  mallowlinkctl dump --admin 10.1.0.25:7601
  mallowlinkctl release-part 12ca9047f126 --admin 10.1.0.25:7601`,
		Args: cobra.ExactArgs(1),
	}
	admins := addAdminFlag(cmd)
	_ = cmd.MarkFlagRequired("admin")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
		defer cancel()
		for _, admin := range *admins {
			if err := releasePart(ctx, admin, args[0]); err != nil {
				return err
			}
		}
		return nil
	}
	return cmd
}

// releasePart releases a part through the VM with the given admin listener.
func releasePart(ctx context.Context, admin, part string) error {
	if _, err := netip.ParseAddrPort(admin); err != nil {
		return errors.Errorf("--admin %q is not an IP address and port", admin)
	}
	target := "http://" + admin + suspect.ReleasePath + "?" + url.Values{suspect.ReleasePartParameter: {part}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return errors.Wrap(err, "release part")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "release part")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNoContent {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return errors.Wrap(err, "release part")
	}
	return errors.Errorf("VM at %s: %s: %s", admin, resp.Status, strings.TrimSpace(string(text)))
}
