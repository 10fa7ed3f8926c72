package gatewayd

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/placement"
)

// Load returns the current settings.
type Load func() (Settings, error)

// reloadInterval is the interval at which the settings are read again. They may change without a signal.
const reloadInterval = 2 * time.Second

// memoryLimitShare is the share of the VM's memory that is set as the soft memory limit of the Go runtime. The
// rest is for memory that the runtime does not count: stacks of C libraries, and the kernel's socket buffers.
const memoryLimitShare = 0.7

// liveSettings holds the settings in force. Components read the settings that can change at run time through
// it.
type liveSettings struct {
	current         atomic.Pointer[Settings]
	load            Load
	reloadRequested chan struct{}
	log             logrus.FieldLogger
	// lastError is the text of the last error in the settings, so that the same error is logged only once.
	lastError string
}

func newLiveSettings(s Settings, load Load, log logrus.FieldLogger) *liveSettings {
	l := &liveSettings{load: load, reloadRequested: make(chan struct{}, 1), log: log}
	l.current.Store(&s)
	setMemoryLimit(s)
	return l
}

func setMemoryLimit(s Settings) {
	if s.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Limits.MemoryBytes)))
	}
}

// bounds returns the bounds in force.
func (l *liveSettings) bounds() Bounds { return l.current.Load().Bounds }

// requestReload makes run read the settings at once. It never blocks.
func (l *liveSettings) requestReload() {
	select {
	case l.reloadRequested <- struct{}{}:
	default:
	}
}

// run reads the settings periodically, and when requested, until ctx ends.
func (l *liveSettings) run(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.reload(false)
		case <-l.reloadRequested:
			l.reload(true)
		}
	}
}

// reload reads the settings and applies the changes that need no restart. Invalid settings are logged and leave
// those in force unchanged.
func (l *liveSettings) reload(requested bool) {
	read, err := l.load()
	if err != nil {
		if err.Error() != l.lastError {
			l.lastError = err.Error()
			l.log.WithError(err).WithField("event", "settings_refused").Error("cannot load the settings; those in force stay unchanged")
		}
		return
	}
	l.lastError = ""
	merged, applied, needRestart := merge(*l.current.Load(), read)
	if len(applied) == 0 && len(needRestart) == 0 && !requested {
		return
	}
	l.current.Store(&merged)
	setMemoryLimit(merged)
	if len(applied) > 0 || requested {
		l.log.WithFields(logrus.Fields{"event": "settings_reloaded", "applied": applied, "need_restart": needRestart}).Info("settings reloaded")
	}
}

// setting compares one setting, and copies it if it can change while the process runs.
type setting struct {
	name  string
	equal func(a, b *Settings) bool
	set   func(to, from *Settings)
}

// reloadable returns a setting that takes effect without a restart.
func reloadable[T comparable](name string, field func(*Settings) *T) setting {
	return setting{
		name:  name,
		equal: func(a, b *Settings) bool { return *field(a) == *field(b) },
		set:   func(to, from *Settings) { *field(to) = *field(from) },
	}
}

// restartOnly returns a setting that takes effect only after a restart. Its set function is nil.
func restartOnly[T comparable](name string, field func(*Settings) *T) setting {
	s := reloadable(name, field)
	s.set = nil
	return s
}

// allSettings lists the settings that a reload compares.
var allSettings = []setting{
	restartOnly("placement", func(s *Settings) *placement.Mode { return &s.Placement }),
	reloadable("key_withdrawal", func(s *Settings) *time.Duration { return &s.Bounds.KeyWithdrawal }),
	reloadable("heartbeat", func(s *Settings) *time.Duration { return &s.Bounds.Heartbeat }),
	reloadable("contact", func(s *Settings) *time.Duration { return &s.Bounds.Contact }),
	reloadable("evacuation", func(s *Settings) *time.Duration { return &s.Bounds.Evacuation }),
	reloadable("grace", func(s *Settings) *time.Duration { return &s.Bounds.Grace }),
	reloadable("memory", func(s *Settings) *int64 { return &s.Limits.MemoryBytes }),
	restartOnly("vm", func(s *Settings) *string { return &s.VM }),
	restartOnly("failure_domain", func(s *Settings) *string { return &s.FailureDomain }),
	restartOnly("listen", func(s *Settings) *Listen { return &s.Listen }),
	restartOnly("store", func(s *Settings) *string { return &s.Store }),
	restartOnly("descriptors", func(s *Settings) *int { return &s.Limits.Descriptors }),
	restartOnly("cores", func(s *Settings) *float64 { return &s.Limits.Cores }),
	restartOnly("order_turns", func(s *Settings) *time.Duration { return &s.Bounds.MinOrderGap }),
	restartOnly("drain", func(s *Settings) *time.Duration { return &s.Bounds.Drain }),
	restartOnly("config", func(s *Settings) *time.Duration { return &s.Bounds.Config }),
	restartOnly("retries", func(s *Settings) *RetryBounds { return &s.Bounds.Retry }),
	restartOnly("cold", func(s *Settings) *ColdBounds { return &s.Bounds.Cold }),
	restartOnly("quota", func(s *Settings) *QuotaBounds { return &s.Bounds.Quota }),
}

// merge returns the current settings with the reloadable changes of read applied, the names of the settings
// that were changed, and the names of the changed settings that need a restart.
func merge(current, read Settings) (merged Settings, applied, needRestart []string) {
	merged = current
	for _, s := range allSettings {
		switch {
		case s.equal(&current, &read):
		case s.set == nil:
			needRestart = append(needRestart, s.name)
		default:
			s.set(&merged, &read)
			applied = append(applied, s.name)
		}
	}
	return merged, applied, needRestart
}
