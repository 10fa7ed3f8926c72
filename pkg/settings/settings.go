// Package settings defines the static settings of one VM and reads them from an INI file when the daemon
// starts. docs/SETTINGS.md lists all keys.
package settings

import (
	"crypto/ed25519"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/inifile"
)

// Settings are the static settings of one VM.
type Settings struct {
	VM       VM
	Listen   Listen
	TLS      TLS
	Platform Platform
	Bundle   Bundle
	Timeouts Timeouts
	Limits   Limits
	Log      Log
}

// VM identifies the VM and its failure domain.
type VM struct {
	ID            string
	FailureDomain string
}

// Listen holds the addresses that the daemon listens on, as IP and port.
type Listen struct {
	Callers string
	Peer    string
	Admin   string
}

// TLS holds the names of the TLS files. Without CallersCert, callers are served over plain HTTP. Without
// PeerCert, VMs use plain TCP between each other, which is allowed only if the peer listener is on
// loopback.
type TLS struct {
	CallersCert string
	CallersKey  string
	PeerCert    string
	PeerKey     string
	PeerCA      string
	// Reload is the interval at which the files are read again.
	Reload time.Duration
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table   string
	Objects string
	VMs     string
}

// Bundle holds whose signatures make a bundle valid, and how often a new bundle is looked for. A bundle is
// the signed configuration of the fleet.
type Bundle struct {
	Signers []ed25519.PublicKey
	// Required is the number of different signers whose signatures a bundle must have.
	Required int
	// Poll is the interval at which the table row that names the current bundle is read.
	Poll time.Duration
}

// Timeouts holds the time limits and intervals of the daemon.
type Timeouts struct {
	// Drain is the time limit for a planned stop.
	Drain time.Duration
	// BalancerWait is how long a stopping daemon still accepts requests after its readiness check has
	// started to fail, so that the load balancer can take it out of use.
	BalancerWait time.Duration
	// Header is the time limit for reading the header of a caller's request.
	Header time.Duration
	// Body is the time limit for reading the body of a caller's request, and for one write to a caller.
	Body time.Duration
	// Idle is how long a caller's connection may stay idle before it is closed.
	Idle time.Duration
	// Interactive is the deadline of interactive requests that do not set one.
	Interactive time.Duration
	// Batch is the deadline of batch requests that do not set one.
	Batch time.Duration
	// Heartbeat is the interval between two heartbeats to a VM.
	Heartbeat time.Duration
	// Silence is the time without a response after which a VM is considered unresponsive.
	Silence time.Duration
	// Lease is how long a lease is valid without renewal. It must be the same on every VM.
	Lease time.Duration
	// Platform is the time limit for one call to a platform service.
	Platform time.Duration
}

// Limits bounds the sizes and numbers of requests, responses and connections.
type Limits struct {
	// Body and Header are the maximum sizes of the body and header of a caller's request, in bytes.
	Body   int64
	Header int64
	// Answer is the maximum size of a response that is not a stream, in bytes.
	Answer int64
	// Open is the maximum number of requests that the daemon holds at the same time.
	Open int
	// Connections is the maximum number of connections from callers, Peers of those from other VMs.
	Connections int
	Peers       int
}

// Log holds the minimum level and the format of log lines.
type Log struct {
	Level  string
	Format string
}

// Error is returned for settings that are invalid or cannot be read. The daemon then exits with ExitCode.
type Error struct {
	// Err is an inifile.Problems or the error from reading the file.
	Err error
}

// ExitCode is the exit status of a process whose settings are invalid or cannot be read.
const ExitCode = 2

// Error returns one line for each problem.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

// Load reads and checks the settings file. The error is an *Error.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Err: errors.Wrap(err, "read settings")}
	}
	s, err := Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Parse parses and checks the contents of a settings file. The TLS files that it names must exist;
// relative names are relative to the directory of path. The error is an *Error.
func Parse(path string, data []byte) (Settings, error) {
	report := &inifile.Report{}
	r := newReader(path, data, report)
	s := r.readFields()
	r.checkConsistency(&s)
	if err := report.Err(); err != nil {
		return Settings{}, &Error{Err: err}
	}
	return s, nil
}

// Default returns settings in which every key that has a default has its default value, and every other
// key is empty.
func Default() Settings {
	r := newReader("", nil, &inifile.Report{})
	return r.readFields()
}
