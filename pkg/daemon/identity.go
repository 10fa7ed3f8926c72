package daemon

import (
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/mallowlink/mallowlink/pkg/certs"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/eventlog"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/settings"
)

// identity identifies this process: its VM and failure domain, and its incarnation, which is new at each
// start.
type identity struct {
	VM            string
	FailureDomain string
	Incarnation   string
	Started       time.Time
}

func newIdentity(s settings.Settings) (identity, error) {
	if err := clock.Check(); err != nil {
		return identity{}, err
	}
	now := time.Now()
	return identity{
		VM:            s.VM.ID,
		FailureDomain: s.VM.FailureDomain,
		Incarnation:   membership.NewIncarnation(now),
		Started:       now,
	}, nil
}

// listeners holds the bound listeners. They are bound before any component starts, so that a port in use
// is detected at once, and the port that the system chooses for port 0 is known to the other components.
type listeners struct {
	Callers net.Listener
	Peer    net.Listener
	Admin   net.Listener
}

func newListeners(s settings.Settings) (*listeners, error) {
	l := &listeners{}
	binds := []struct {
		target  *net.Listener
		address string
		name    string
	}{
		{&l.Callers, s.Listen.Callers, "callers"},
		{&l.Peer, s.Listen.Peer, "peer"},
		{&l.Admin, s.Listen.Admin, "admin"},
	}
	for _, bind := range binds {
		listener, err := net.Listen("tcp", bind.address)
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "listen for %s", bind.name)
		}
		*bind.target = listener
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Peer, l.Admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// newLogger returns the event log and a logger that adds the VM's ID to each line.
func newLogger(s settings.Settings, out io.Writer, registry metrics.Registry) (*eventlog.Log, logrus.FieldLogger, error) {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "parse log level")
	}
	log := eventlog.New(out, eventlog.Options{Level: level, JSON: s.Log.Format == "json", Metrics: registry})
	return log, log.WithField("vm", s.VM.ID), nil
}

func newMetrics() metrics.Registry { return metrics.NewRegistry() }

// peerTLS is the TLS configuration for connections between VMs. Without a reloader the source returns
// nil, which means plain TCP.
type peerTLS struct {
	source   peer.TLSSource
	reloader *certs.Reloader
}

func newPeerTLS(s settings.Settings, log logrus.FieldLogger) (peerTLS, error) {
	if s.TLS.PeerCert == "" {
		return peerTLS{source: func() *tls.Config { return nil }}, nil
	}
	files := certs.Files{Cert: s.TLS.PeerCert, Key: s.TLS.PeerKey, CA: s.TLS.PeerCA}
	reloader, err := certs.NewReloader(files, s.TLS.Reload, log)
	if err != nil {
		return peerTLS{}, errors.Wrap(err, "load peer TLS files")
	}
	return peerTLS{source: reloader.PeerConfig, reloader: reloader}, nil
}

// callerTLS is the TLS configuration of the callers' listener. A nil reloader means plain HTTP.
type callerTLS struct {
	reloader *certs.Reloader
}

func (c callerTLS) config() *tls.Config {
	if c.reloader == nil {
		return nil
	}
	return c.reloader.CallersConfig()
}

func newCallerTLS(s settings.Settings, log logrus.FieldLogger) (callerTLS, error) {
	if s.TLS.CallersCert == "" {
		return callerTLS{}, nil
	}
	files := certs.Files{Cert: s.TLS.CallersCert, Key: s.TLS.CallersKey}
	reloader, err := certs.NewReloader(files, s.TLS.Reload, log)
	if err != nil {
		return callerTLS{}, errors.Wrap(err, "load callers' TLS files")
	}
	return callerTLS{reloader: reloader}, nil
}

// pools holds the connection pools for calls to other VMs. Control calls have a pool of their own, so that
// their traffic is counted separately and they never wait behind responses to requests.
type pools struct {
	control *peer.Pool
	data    *peer.Pool
}

// Metric names of the traffic counters.
const (
	metricControl = "peer.control"
	metricData    = "peer.data"
	metricServed  = "peer.served"
)

func newPools(t peerTLS, registry metrics.Registry, lc fx.Lifecycle) pools {
	p := pools{
		control: peer.NewPool(t.source, peer.NewTraffic(registry, metricControl)),
		data:    peer.NewPool(t.source, peer.NewTraffic(registry, metricData)),
	}
	lc.Append(fx.StopHook(func() {
		p.control.Close()
		p.data.Close()
	}))
	return p
}

func newPeerServer(t peerTLS, registry metrics.Registry, log logrus.FieldLogger) *peer.Server {
	return peer.NewServer(t.source, peer.NewTraffic(registry, metricServed), log)
}
