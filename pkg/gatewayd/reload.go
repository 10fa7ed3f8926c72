package gatewayd

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Load reads the settings as they are now.
type Load func() (Settings, error)

// reloadInterval is the time between two looks at the settings, which may change without a signal.
const reloadInterval = 2 * time.Second

// memoryLimitShare is the part of the VM's memory that the garbage collector keeps the process below. The rest is
// for what it does not count: stacks of the C library, and what the kernel holds for sockets.
const memoryLimitShare = 0.7

// liveSettings holds the settings in force. The parts read those that can change while the process runs through it.
type liveSettings struct {
	current         atomic.Pointer[Settings]
	load            Load
	reloadRequested chan struct{}
	log             logrus.FieldLogger
	// lastError is the last fault, so that it is logged once.
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

// requestReload makes run read the settings at once.
func (l *liveSettings) requestReload() {
	select {
	case l.reloadRequested <- struct{}{}:
	default:
	}
}

// run reads the settings from time to time until ctx ends.
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

// reload reads the settings and takes in what has changed. Settings that are not valid leave those in force as
// they are.
func (l *liveSettings) reload(requested bool) {
	read, err := l.load()
	if err != nil {
		if err.Error() != l.lastError {
			l.lastError = err.Error()
			l.log.WithError(err).WithField("event", "settings_refused").Error()
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
		l.log.WithFields(logrus.Fields{"event": "settings_reloaded", "applied": applied, "need_restart": needRestart}).Info()
	}
}

// setting is a setting that may change while the process runs.
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

// restartOnly returns a setting that the process must be restarted for.
func restartOnly[T comparable](name string, field func(*Settings) *T) setting {
	s := reloadable(name, field)
	s.set = nil
	return s
}

// allSettings lists every setting.
var allSettings = []setting{
	reloadable("key_withdrawal", func(s *Settings) *time.Duration { return &s.Bounds.KeyWithdrawal }),
	reloadable("grace", func(s *Settings) *time.Duration { return &s.Bounds.Grace }),
	reloadable("memory", func(s *Settings) *int64 { return &s.Limits.MemoryBytes }),
	restartOnly("vm", func(s *Settings) *string { return &s.VM }),
	restartOnly("failure_domain", func(s *Settings) *string { return &s.FailureDomain }),
	restartOnly("listen", func(s *Settings) *Listen { return &s.Listen }),
	restartOnly("store", func(s *Settings) *string { return &s.Store }),
	restartOnly("descriptors", func(s *Settings) *int { return &s.Limits.Descriptors }),
	restartOnly("cores", func(s *Settings) *float64 { return &s.Limits.Cores }),
	restartOnly("order_turns", func(s *Settings) *time.Duration { return &s.Bounds.OrderTurns }),
	restartOnly("retries", func(s *Settings) *RetryBounds { return &s.Bounds.Retry }),
	restartOnly("quota", func(s *Settings) *QuotaBounds { return &s.Bounds.Quota }),
}

// merge returns the settings in force with what can be changed of those that were read, the names of the
// settings that have changed so, and of those that wait for a restart.
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
