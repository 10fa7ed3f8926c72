package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	firstLog = `time=2026-12-04T03:00:01Z level=info event=placed endpoint=e1 id=r1 owner=vm-2 vm=vm-1
time=2026-12-04T03:00:03Z level=warning event=request cause="the endpoint did not answer" code=3002 end=failed endpoint=e1 id=r1 vm=vm-1
time=2026-12-04T03:00:02Z level=warning event=request code=2003 end=refused id=r2 vm=vm-1
time=2026-12-04T03:00:02Z level=warning event=endpoint_avoided endpoint=e1 vm=vm-1 why=silent
time=2026-12-04T03:00:02Z level=warning event=endpoint_avoided endpoint=e7 vm=vm-1 why=silent
time=2026-12-04T03:00:02Z level=info event=adapter_version adapter=a9 version=2 vm=vm-1
time=2026-12-04T03:00:02Z level=warning event=request cause="the key is not known" id="" vm=vm-1
panic: something that is no line
`
	secondLog = `time=2026-12-04T03:00:02.5Z level=warning event=store_down vm=vm-2
time=2026-12-04T03:00:02.6Z level=warning event=store_down vm=vm-3
time=2026-12-04T02:00:00Z level=info event=started vm=vm-2
`
)

func runTrace(t *testing.T, args ...string) (string, error) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"1.log": firstLog, "2.log": secondLog} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	cmd := newTraceCommand()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(append(args, filepath.Join(dir, "1.log"), filepath.Join(dir, "2.log")))
	err := cmd.Execute()
	return out.String(), err
}

func TestTracePrintsTheLinesOfOneRequest(t *testing.T) {
	out, err := runTrace(t, "--id", "r1")
	require.NoError(t, err)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], "event=placed")
	require.Contains(t, lines[1], "code=3002")
}

func TestTraceAroundShowsWhatTheRequestMet(t *testing.T) {
	out, err := runTrace(t, "--id", "r1", "--around", "1s")
	require.NoError(t, err)
	require.Equal(t, 4, strings.Count(out, "\n"), out)
	require.Contains(t, out, "event=endpoint_avoided endpoint=e1")
	require.Contains(t, out, "event=store_down vm=vm-2", "the VM that owns the endpoint")
	require.NotContains(t, out, "vm-3")
	require.NotContains(t, out, "r2")
}

func TestTraceOfAnUnknownRequestFails(t *testing.T) {
	_, err := runTrace(t, "--id", "nobody")
	require.ErrorContains(t, err, "nobody")
}
