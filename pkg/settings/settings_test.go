package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/inifile"
)

const signerKey = "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a"

const minimalSettings = `[vm]
id = vm-1
failure-domain = howrah
[platform]
table = http://127.0.0.1:9001/
objects = http://127.0.0.1:9002
vms = http://127.0.0.1:9003
[bundle]
signers = ` + signerKey + "\n"

func TestLoadFillsInDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vm.ini")
	require.NoError(t, os.WriteFile(path, []byte(minimalSettings), 0o600))
	s, err := Load(path)
	require.NoError(t, err)
	require.Equal(t, "vm-1", s.VM.ID)
	require.Equal(t, "http://127.0.0.1:9001", s.Platform.Table)
	require.Len(t, s.Bundle.Signers, 1)
	s.VM, s.Platform, s.Bundle.Signers = VM{}, Platform{}, nil
	require.Equal(t, Default(), s)
	require.Equal(t, DefaultDrainTimeout, s.Timeouts.Drain)
}

func TestLoadReportsMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.ini"))
	_, ok := errors.Into[*Error](err)
	require.True(t, ok)
	require.ErrorContains(t, err, "none.ini")
}

func TestParseReportsEveryProblem(t *testing.T) {
	text := strings.Replace(minimalSettings, signerKey, signerKey[2:], 1) + `required-signers = 0
poll = 3s
[listen]
callers = localhost:8080
peer = 10.0.0.1:8081
admin = 10.0.0.1:8081
[tls]
callers-cert = gone.pem
[timeouts]
drain = 10
heartbeat = 5s
[limits]
body = 8MB
extra = 1
[log]
level = loud
[bogus]
`
	_, err := Parse("/etc/vm.ini", []byte(text))
	require.IsType(t, &Error{}, err)
	problems, ok := errors.Into[inifile.Problems](err)
	require.True(t, ok)
	require.EqualError(t, problems, `/etc/vm.ini:9: [bundle] signers: "5a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a" is not an ed25519 public key in hexadecimal
/etc/vm.ini:10: [bundle] required-signers: 0 is not between 1 and 2147483647
/etc/vm.ini:11: [bundle] poll: 3s is more than 1s
/etc/vm.ini:13: [listen] callers: "localhost:8080" is not an IP address and port, such as 127.0.0.1:8080
/etc/vm.ini:15: [listen] admin: another listener has the same address
/etc/vm.ini:16: [tls] peer-cert: required, because the peer listener 10.0.0.1:8081 is not on loopback
/etc/vm.ini:17: [tls] callers-cert: file /etc/gone.pem is missing or not readable
/etc/vm.ini:17: [tls] callers-cert: callers-cert and callers-key go together
/etc/vm.ini:18: [timeouts] silence: must be longer than heartbeat
/etc/vm.ini:18: [timeouts] lease: must be longer than heartbeat
/etc/vm.ini:19: [timeouts] drain: "10" is not a duration with unit, such as 500ms, 30s or 10m
/etc/vm.ini:22: [limits] body: "8MB" is not a size with unit, such as 512B, 64KiB or 8MiB
/etc/vm.ini:23: [limits] extra: unknown key
/etc/vm.ini:25: [log] level: "loud" is none of debug, info, warning, error
/etc/vm.ini:26: [bogus] unknown section`)
}

func TestListenersMayAllUsePortZero(t *testing.T) {
	_, err := Parse("vm.ini", []byte(minimalSettings+"[listen]\ncallers = 127.0.0.1:0\npeer = 127.0.0.1:0\nadmin = 127.0.0.1:0\n"))
	require.NoError(t, err)
}

func TestDocsListEveryKey(t *testing.T) {
	doc, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	require.Contains(t, string(doc), Markdown())
}

// Writes every default as documented into a settings file: all of them must parse and be within their
// bounds.
func TestDefaultsAreWithinBounds(t *testing.T) {
	var text strings.Builder
	text.WriteString(strings.TrimSuffix(minimalSettings, "signers = "+signerKey+"\n"))
	section := "bundle"
	for _, f := range fields() {
		if f.defaultText == "required" || f.defaultText == noDefault {
			continue
		}
		if f.section != section {
			section = f.section
			text.WriteString("[" + section + "]\n")
		}
		text.WriteString(f.key + " = " + f.defaultText + "\n")
	}
	body := strings.Replace(text.String(), "[bundle]\n[", "[", 1)
	body = strings.Replace(body, "[bundle]\n", "[bundle]\nsigners = "+signerKey+"\n", 1)
	s, err := Parse("vm.ini", []byte(body))
	require.NoError(t, err, body)
	require.Equal(t, 10*time.Minute, s.Timeouts.Drain)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte("[tls]\npeer-ca = ../x\n[listen]\npeer = [::1]:1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("vm.ini", data)
		if err != nil {
			require.IsType(t, &Error{}, err)
			require.NotEmpty(t, err.Error())
			return
		}
		require.NotEmpty(t, s.VM.ID)
		require.GreaterOrEqual(t, len(s.Bundle.Signers), s.Bundle.Required)
	})
}
