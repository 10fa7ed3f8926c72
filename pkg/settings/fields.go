package settings

import (
	"math"
	"time"
)

// Default values of the keys.
const (
	DefaultCallersAddress = "127.0.0.1:8080"
	DefaultPeerAddress    = "127.0.0.1:8081"
	DefaultAdminAddress   = "127.0.0.1:8082"

	DefaultTLSReload       = 2 * time.Second
	DefaultRequiredSigners = 1
	DefaultBundlePoll      = 900 * time.Millisecond

	DefaultDrainTimeout        = 10 * time.Minute
	DefaultBalancerWait        = 5 * time.Second
	DefaultHeaderTimeout       = 10 * time.Second
	DefaultBodyTimeout         = 30 * time.Second
	DefaultIdleTimeout         = 2 * time.Minute
	DefaultInteractiveDeadline = time.Minute
	DefaultBatchDeadline       = 15 * time.Minute
	DefaultHeartbeatInterval   = 500 * time.Millisecond
	DefaultSilenceTimeout      = 2 * time.Second
	DefaultLeaseDuration       = 3 * time.Second
	DefaultPlatformTimeout     = time.Second

	DefaultBodyBytes         = 8 << 20
	DefaultHeaderBytes       = 32 << 10
	DefaultResponseBytes     = 64 << 20
	DefaultOpenRequests      = 20_000
	DefaultCallerConnections = 10_000
	DefaultPeerConnections   = 256

	DefaultLogLevel  = "info"
	DefaultLogFormat = "logfmt"
)

// MaxBundlePoll is the maximum interval between two reads of the table row that names the current bundle.
const MaxBundlePoll = time.Second

// Upper bounds of values.
const (
	maxDuration = 24 * time.Hour
	maxBytes    = 1 << 30
	maxCount    = math.MaxInt32
	// maxSigners is the maximum number of public keys in the signers list.
	maxSigners = 16
)

// field describes one key and how to read its value into the settings.
type field struct {
	section, key string
	// kind is the kind of value, as shown in the documentation.
	kind string
	// defaultText is the default value as written in a settings file, "required", or noDefault.
	defaultText string
	doc         string
	read        func(r *reader, f field, s *Settings)
}

// fields returns the descriptions of all keys, in the order of the documentation.
func fields() []field {
	list := vmFields()
	list = append(list, platformFields()...)
	list = append(list, timeoutFields()...)
	return append(list, limitFields()...)
}

func vmFields() []field {
	return []field{
		textField("vm", "id", "Name of this VM, the same as in the platform's list.", func(s *Settings) *string { return &s.VM.ID }),
		textField("vm", "failure-domain", "Failure domain of this VM.", func(s *Settings) *string { return &s.VM.FailureDomain }),
		addressField("callers", DefaultCallersAddress, "Listener for callers.", func(s *Settings) *string { return &s.Listen.Callers }),
		addressField("peer", DefaultPeerAddress, "Listener for other VMs, the same as in the platform's list.", func(s *Settings) *string { return &s.Listen.Peer }),
		addressField("admin", DefaultAdminAddress, "Listener for metrics and the state dump.", func(s *Settings) *string { return &s.Listen.Admin }),
		fileField("callers-cert", "Certificate chain for callers; absent: plain HTTP.", func(s *Settings) *string { return &s.TLS.CallersCert }),
		fileField("callers-key", "Private key of callers-cert.", func(s *Settings) *string { return &s.TLS.CallersKey }),
		fileField("peer-cert", "Certificate of this VM for other VMs; may be absent on loopback only.", func(s *Settings) *string { return &s.TLS.PeerCert }),
		fileField("peer-key", "Private key of peer-cert.", func(s *Settings) *string { return &s.TLS.PeerKey }),
		fileField("peer-ca", "CA certificates that other VMs' certificates must come from.", func(s *Settings) *string { return &s.TLS.PeerCA }),
		durationField("tls", "reload", DefaultTLSReload, "How often the files are looked at for a change.", func(s *Settings) *time.Duration { return &s.TLS.Reload }),
	}
}

func platformFields() []field {
	return []field{
		urlField("table", "Table service.", func(s *Settings) *string { return &s.Platform.Table }),
		urlField("objects", "Object store.", func(s *Settings) *string { return &s.Platform.Objects }),
		urlField("vms", "List of VMs.", func(s *Settings) *string { return &s.Platform.VMs }),
		signersField(),
		countField("bundle", "required-signers", DefaultRequiredSigners, "Number of different signers that a bundle needs.", func(s *Settings) *int { return &s.Bundle.Required }),
		durationField("bundle", "poll", DefaultBundlePoll, "How often the pointer to the current bundle is read; at most 1s.", func(s *Settings) *time.Duration { return &s.Bundle.Poll }),
	}
}

func timeoutFields() []field {
	return []field{
		durationField("timeouts", "drain", DefaultDrainTimeout, "Bound of a planned stop.", func(s *Settings) *time.Duration { return &s.Timeouts.Drain }),
		durationField("timeouts", "balancer-wait", DefaultBalancerWait, "How long a stopping daemon takes requests after /readyz fails.", func(s *Settings) *time.Duration { return &s.Timeouts.BalancerWait }),
		durationField("timeouts", "header", DefaultHeaderTimeout, "Reading the header of a caller's request.", func(s *Settings) *time.Duration { return &s.Timeouts.Header }),
		durationField("timeouts", "body", DefaultBodyTimeout, "Reading the body of a caller's request, and one write to a caller.", func(s *Settings) *time.Duration { return &s.Timeouts.Body }),
		durationField("timeouts", "idle", DefaultIdleTimeout, "Idle time of a caller's connection.", func(s *Settings) *time.Duration { return &s.Timeouts.Idle }),
		durationField("timeouts", "interactive", DefaultInteractiveDeadline, "Deadline of an interactive request that names none.", func(s *Settings) *time.Duration { return &s.Timeouts.Interactive }),
		durationField("timeouts", "batch", DefaultBatchDeadline, "Deadline of a batch request that names none.", func(s *Settings) *time.Duration { return &s.Timeouts.Batch }),
		durationField("timeouts", "heartbeat", DefaultHeartbeatInterval, "Time between two heartbeats to a VM.", func(s *Settings) *time.Duration { return &s.Timeouts.Heartbeat }),
		durationField("timeouts", "silence", DefaultSilenceTimeout, "Silence after which a VM counts as not answering.", func(s *Settings) *time.Duration { return &s.Timeouts.Silence }),
		durationField("timeouts", "lease", DefaultLeaseDuration, "How long a lease lasts without renewal; the same on every VM.", func(s *Settings) *time.Duration { return &s.Timeouts.Lease }),
		durationField("timeouts", "platform", DefaultPlatformTimeout, "One call of a platform service.", func(s *Settings) *time.Duration { return &s.Timeouts.Platform }),
	}
}

func limitFields() []field {
	return []field{
		sizeField("body", DefaultBodyBytes, "Body of a caller's request.", func(s *Settings) *int64 { return &s.Limits.Body }),
		sizeField("header", DefaultHeaderBytes, "Header of a caller's request.", func(s *Settings) *int64 { return &s.Limits.Header }),
		sizeField("answer", DefaultResponseBytes, "Answer that is not a stream.", func(s *Settings) *int64 { return &s.Limits.Answer }),
		countField("limits", "open", DefaultOpenRequests, "Requests that the daemon holds at once.", func(s *Settings) *int { return &s.Limits.Open }),
		countField("limits", "connections", DefaultCallerConnections, "Callers' connections.", func(s *Settings) *int { return &s.Limits.Connections }),
		countField("limits", "peers", DefaultPeerConnections, "Other VMs' connections.", func(s *Settings) *int { return &s.Limits.Peers }),
		enumField("level", DefaultLogLevel, []string{"debug", "info", "warning", "error"}, "Least severity that is logged.", func(s *Settings) *string { return &s.Log.Level }),
		enumField("format", DefaultLogFormat, []string{"logfmt", "json"}, "Form of a log line.", func(s *Settings) *string { return &s.Log.Format }),
	}
}
