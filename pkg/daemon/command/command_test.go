package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInvalidSettingsExitWithStatusTwo(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vm.ini")
	require.NoError(t, os.WriteFile(path, []byte("[vm]\nid = a\ncolour = red\n"), 0o600))
	for _, command := range []string{"check", "run"} {
		var out, errs bytes.Buffer
		require.Equal(t, 2, Execute([]string{command, "--config", path}, &out, &errs))
		require.Contains(t, errs.String(), path+":3")
		require.Contains(t, errs.String(), "colour")
		require.Empty(t, out.String())
	}
}

func TestExampleSettingsAreValid(t *testing.T) {
	for _, deployment := range []string{"kolkata", "kyushu"} {
		var out, errs bytes.Buffer
		path := filepath.Join("..", "..", "..", "examples", deployment, "vm.ini")
		require.Equal(t, 0, Execute([]string{"check", "--config", path}, &out, &errs), errs.String())
		require.Contains(t, out.String(), "valid settings")
	}
}

func TestRunRequiresConfigOrStandalone(t *testing.T) {
	var out, errs bytes.Buffer
	require.Equal(t, 1, Execute([]string{"run"}, &out, &errs))
	require.Contains(t, errs.String(), "standalone")
}

func TestCheckNodeFileReportsProblems(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.conf")
	require.NoError(t, os.WriteFile(path, []byte("node_name=edge-1\nip=10.0.0.1\nport_range=7600\n"), 0o600))
	var out, errs bytes.Buffer
	require.Equal(t, 1, Execute([]string{"check", "--node-file", path}, &out, &errs))
	require.Contains(t, errs.String(), path)
	require.Contains(t, errs.String(), "zone is missing")
	require.Contains(t, errs.String(), `port_range: "7600" is not two ports in order`)
	require.Empty(t, out.String())
}
