package certs

import (
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

const day = 24 * time.Hour

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority("test", time.Now(), day)
	require.NoError(t, err)
	return a
}

// writeCertificate issues a certificate, writes it, its key and the CA certificate to dir, and returns
// the names of the files.
func writeCertificate(t *testing.T, a *Authority, dir string) Files {
	t.Helper()
	pair, err := a.Issue("vm", []netip.Addr{netip.MustParseAddr("127.0.0.1")}, time.Now(), day)
	require.NoError(t, err)
	files := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	require.NoError(t, os.WriteFile(files.Cert, pair.Cert, 0o600))
	require.NoError(t, os.WriteFile(files.Key, pair.Key, 0o600))
	require.NoError(t, os.WriteFile(files.CA, a.Pair.Cert, 0o600))
	return files
}

func newReloader(t *testing.T, files Files) *Reloader {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, err := NewReloader(files, time.Second, log)
	require.NoError(t, err)
	return r
}

// handshake performs a TLS handshake between a server and a client and returns the server's error.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	go func() { _ = tls.Client(b, client).Handshake(); _ = b.Close() }()
	return tls.Server(a, server).Handshake()
}

func TestPeersAcceptOnlyTheirOwnCA(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	a, b := newReloader(t, writeCertificate(t, ours, t.TempDir())), newReloader(t, writeCertificate(t, ours, t.TempDir()))
	untrusted := newReloader(t, writeCertificate(t, other, t.TempDir()))
	require.NoError(t, handshake(t, a.PeerConfig(), b.PeerConfig()))
	require.Error(t, handshake(t, a.PeerConfig(), untrusted.PeerConfig()))
	require.Error(t, handshake(t, untrusted.PeerConfig(), a.PeerConfig()))
	require.Error(t, handshake(t, a.PeerConfig(), &tls.Config{InsecureSkipVerify: true}))
}

// Files are replaced one after another: while certificate and key do not match, the previous
// configuration must stay in use.
func TestReloadsChangedFiles(t *testing.T) {
	ours, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	files := writeCertificate(t, ours, dir)
	r := newReloader(t, files)
	old := r.PeerConfig()
	require.NoError(t, os.WriteFile(files.Key, []byte("half written"), 0o600))
	r.reloadAndLog()
	require.Same(t, old, r.PeerConfig())
	writeCertificate(t, next, dir)
	r.reloadAndLog()
	require.NoError(t, handshake(t, r.PeerConfig(), newReloader(t, writeCertificate(t, next, t.TempDir())).PeerConfig()))
	require.Error(t, handshake(t, r.PeerConfig(), old))
}

func TestCallersListenerUsesCurrentFiles(t *testing.T) {
	ours := newAuthority(t)
	files := writeCertificate(t, ours, t.TempDir())
	client := newReloader(t, files).PeerConfig()
	files.CA = ""
	r := newReloader(t, files)
	require.NoError(t, handshake(t, r.CallersConfig(), client))
}

func TestLoadAuthority(t *testing.T) {
	a := newAuthority(t)
	loaded, err := LoadAuthority(a.Pair)
	require.NoError(t, err)
	require.True(t, a.cert.Equal(loaded.cert))
	_, err = LoadAuthority(Pair{})
	require.Error(t, err)
}
