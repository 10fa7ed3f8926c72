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

// reloadPause is the time between two looks at the settings, which may change without a signal.
const reloadPause = 2 * time.Second

// memoryShare is the part of the VM's memory that the garbage collector keeps the process below. The rest is
// for what it does not count: stacks of the C library, and what the kernel holds for sockets.
const memoryShare = 0.7

// live holds the settings in force. The parts read those that can change while the process runs through it.
type live struct {
	current atomic.Pointer[Settings]
	load    Load
	now     chan struct{}
	log     logrus.FieldLogger
	// refused is the last fault, so that it is logged once.
	refused string
}

func newLive(s Settings, load Load, log logrus.FieldLogger) *live {
	l := &live{load: load, now: make(chan struct{}, 1), log: log}
	l.current.Store(&s)
	limitMemory(s)
	return l
}

func limitMemory(s Settings) {
	if s.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryBytes)))
	}
}

// bounds returns the bounds in force.
func (l *live) bounds() Bounds { return l.current.Load().Bounds }

// reload makes run read the settings at once.
func (l *live) reload() {
	select {
	case l.now <- struct{}{}:
	default:
	}
}

// run reads the settings from time to time until ctx ends.
func (l *live) run(ctx context.Context) {
	ticker := time.NewTicker(reloadPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.look(false)
		case <-l.now:
			l.look(true)
		}
	}
}

// look reads the settings and takes in what has changed. Settings that are not valid leave those in force as
// they are.
func (l *live) look(asked bool) {
	read, err := l.load()
	if err != nil {
		if err.Error() != l.refused {
			l.refused = err.Error()
			l.log.WithError(err).WithField("event", "settings_refused").Error()
		}
		return
	}
	l.refused = ""
	merged, applied, waiting := merge(*l.current.Load(), read)
	if len(applied) == 0 && len(waiting) == 0 && !asked {
		return
	}
	l.current.Store(&merged)
	limitMemory(merged)
	if len(applied) > 0 || asked {
		l.log.WithFields(logrus.Fields{"event": "settings_reloaded", "applied": applied, "need_restart": waiting}).Info()
	}
}

// setting is a setting that may change while the process runs.
type setting struct {
	name  string
	same  func(a, b *Settings) bool
	apply func(to, from *Settings)
}

// changeable returns a setting that takes effect without a restart.
func changeable[T comparable](name string, field func(*Settings) *T) setting {
	return setting{
		name:  name,
		same:  func(a, b *Settings) bool { return *field(a) == *field(b) },
		apply: func(to, from *Settings) { *field(to) = *field(from) },
	}
}

// fixed returns a setting that the process must be restarted for.
func fixed[T comparable](name string, field func(*Settings) *T) setting {
	s := changeable(name, field)
	s.apply = nil
	return s
}

// all lists every setting.
var all = []setting{
	changeable("key_withdrawal", func(s *Settings) *time.Duration { return &s.Bounds.KeyWithdrawal }),
	changeable("grace", func(s *Settings) *time.Duration { return &s.Bounds.Grace }),
	changeable("memory", func(s *Settings) *int64 { return &s.Limits.MemoryBytes }),
	fixed("vm", func(s *Settings) *string { return &s.VM }),
	fixed("failure_domain", func(s *Settings) *string { return &s.FailureDomain }),
	fixed("listen", func(s *Settings) *Listen { return &s.Listen }),
	fixed("store", func(s *Settings) *string { return &s.Store }),
	fixed("descriptors", func(s *Settings) *int { return &s.Limits.Descriptors }),
	fixed("cores", func(s *Settings) *float64 { return &s.Limits.Cores }),
	fixed("order_turns", func(s *Settings) *time.Duration { return &s.Bounds.OrderTurns }),
	fixed("retries", func(s *Settings) *RetryBounds { return &s.Bounds.Retry }),
	fixed("quota", func(s *Settings) *QuotaBounds { return &s.Bounds.Quota }),
}

// merge returns the settings in force with what can be changed of those that were read, the names of the
// settings that have changed so, and of those that wait for a restart.
func merge(inForce, read Settings) (merged Settings, applied, waiting []string) {
	merged = inForce
	for _, s := range all {
		switch {
		case s.same(&inForce, &read):
		case s.apply == nil:
			waiting = append(waiting, s.name)
		default:
			s.apply(&merged, &read)
			applied = append(applied, s.name)
		}
	}
	return merged, applied, waiting
}
