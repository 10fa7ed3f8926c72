package certs

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
)

// Files holds the names of the PEM files of a TLS configuration. CA is empty for the callers' listener,
// which does not ask for client certificates.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Reloader holds the TLS configuration built from its files, and rebuilds it while Run is active. It is
// safe for concurrent use.
type Reloader struct {
	files    Files
	interval time.Duration
	log      logrus.FieldLogger
	current  atomic.Pointer[loadedConfig]
}

// loadedConfig is a TLS configuration with the file contents that it was built from.
type loadedConfig struct {
	contents fileContents
	config   *tls.Config
}

// fileContents are the contents of the files named in Files; ca is nil if Files.CA is empty.
type fileContents struct {
	cert, key, ca []byte
}

func (c fileContents) equal(other fileContents) bool {
	return bytes.Equal(c.cert, other.cert) && bytes.Equal(c.key, other.key) && bytes.Equal(c.ca, other.ca)
}

// NewReloader reads the files once and fails if they do not form a TLS configuration. Run reads them
// again at every interval.
func NewReloader(files Files, interval time.Duration, log logrus.FieldLogger) (*Reloader, error) {
	r := &Reloader{files: files, interval: interval, log: log}
	if _, err := r.reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Run rereads the files at every interval until ctx is done. If changed files do not form a valid
// configuration, for example because only one of them has been replaced yet, Run logs the error and
// the previous configuration stays in use.
func (r *Reloader) Run(ctx context.Context) error {
	clock.Every(ctx, r.interval, func(time.Time) { r.reloadAndLog() })
	return nil
}

func (r *Reloader) reloadAndLog() {
	changed, err := r.reload()
	entry := r.log.WithField("file", r.files.Cert)
	switch {
	case err != nil:
		entry.WithFields(logrus.Fields{"event": "tls_reload_failed", "error": err.Error()}).Warn("could not reload TLS files; the previous configuration stays in use")
	case changed:
		entry.WithField("event", "tls_reloaded").Info("changed TLS files reloaded")
	}
}

// reload reads the files and reports whether they have changed.
func (r *Reloader) reload() (bool, error) {
	contents, err := r.read()
	if err != nil {
		return false, err
	}
	if previous := r.current.Load(); previous != nil && previous.contents.equal(contents) {
		return false, nil
	}
	config, err := newConfig(contents)
	if err != nil {
		return false, err
	}
	r.current.Store(&loadedConfig{contents: contents, config: config})
	return true, nil
}

func (r *Reloader) read() (fileContents, error) {
	var contents fileContents
	for name, target := range map[string]*[]byte{r.files.Cert: &contents.cert, r.files.Key: &contents.key, r.files.CA: &contents.ca} {
		if name == "" {
			continue
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return fileContents{}, errors.Wrap(err, "read TLS file")
		}
		*target = data
	}
	return contents, nil
}

// newConfig returns a configuration for connections between VMs, with certificates verified on both
// sides, or for the callers' listener if there is no CA file.
func newConfig(contents fileContents) (*tls.Config, error) {
	pair, err := tls.X509KeyPair(contents.cert, contents.key)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate and key")
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	if contents.ca == nil {
		config.NextProtos = []string{"h2", "http/1.1"}
		return config, nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(contents.ca) {
		return nil, errors.New("certs: CA file contains no valid certificate")
	}
	config.MinVersion = tls.VersionTLS13
	config.RootCAs = pool
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ServerName = PeerName
	return config, nil
}

// PeerConfig returns the current configuration. VMs use it for new connections to each other, as client
// and as server.
func (r *Reloader) PeerConfig() *tls.Config { return r.current.Load().config }

// CallersConfig returns a configuration for the callers' listener. It can be used for the lifetime of the
// process, because it selects the current configuration for each new connection.
func (r *Reloader) CallersConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.current.Load().config, nil
		},
	}
}
