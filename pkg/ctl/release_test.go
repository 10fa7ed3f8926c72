package ctl

import (
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/admin"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// The command releases the part that it names through a VM's admin listener, and shows the VM's error.
func TestReleasePart(t *testing.T) {
	var released []string
	server := httptest.NewServer(admin.NewHandler(func() any { return nil }, metrics.NewRegistry(), admin.Command{
		Path: suspect.ReleasePath,
		Run: func(p url.Values) error {
			part := p.Get(suspect.ReleasePartParameter)
			if part == "unknown" {
				return errors.New("no crashes are recorded for it")
			}
			released = append(released, part)
			return nil
		},
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	require.NoError(t, releasePart(t.Context(), address, "a&b"))
	require.Equal(t, []string{"a&b"}, released)
	require.ErrorContains(t, releasePart(t.Context(), address, "unknown"), "no crashes are recorded for it")
	require.ErrorContains(t, releasePart(t.Context(), "nowhere", "a"), "not an IP address")
}
