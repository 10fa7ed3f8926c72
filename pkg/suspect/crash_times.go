package suspect

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/membership"
)

// EndArgs reports that a VM has seen the crash of an endpoint incarnation. Age is how long ago that was.
type EndArgs struct {
	Crash string
	Age   time.Duration
}

// EndReply is the reply to EndArgs. Age is how long ago the crash was first seen, as far as the replying VM knows.
type EndReply struct {
	Age time.Duration
}

// reconcileCrashTime reports a crash to its homes, the VMs that record when it was first seen, and returns the earliest time
// at which it was seen by this VM or by any VM that has reported it to them.
func (s *Syncer) reconcileCrashTime(crash string, seen time.Time) time.Time {
	members := s.members()
	homes := homesOf(members, xxhash.Sum64String(crash))
	ctx, cancel := context.WithTimeout(s.detector.ctx, crashTimeTimeout)
	defer cancel()
	replies := make(chan time.Time, homesPerRequest)
	calls := 0
	for _, m := range members {
		if slices.Contains(homes, m.ID) {
			calls++
			go func() { replies <- s.sendCrashTime(ctx, m, crash, seen) }()
		}
	}
	first := seen
	for range calls {
		if at := <-replies; at.Before(first) {
			first = at
		}
	}
	return first
}

// sendCrashTime reports a crash to one of its homes, and returns when it was first seen as far as that VM knows, or seen if
// the call fails.
func (s *Syncer) sendCrashTime(ctx context.Context, m membership.Member, crash string, seen time.Time) time.Time {
	if m.ID == s.self {
		return s.recordCrashTime(crash, seen)
	}
	var reply EndReply
	if err := s.peerClient.Call(ctx, m.PeerAddress, ServiceName+".End", &EndArgs{Crash: crash, Age: time.Since(seen)}, &reply); err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"event": "end_not_told", "to": m.ID, "crash": crash}).Info("could not report endpoint crash to peer")
		return seen
	}
	return time.Now().Add(-reply.Age)
}

// recordCrashTime records when a crash was seen, and returns when it was first seen.
func (s *Syncer) recordCrashTime(crash string, seen time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, known := s.crashTimes[crash]; known && first.Before(seen) {
		return first
	}
	if len(s.crashTimes) >= maxKnownCrashTimes {
		clear(s.crashTimes)
	}
	s.crashTimes[crash] = seen
	return seen
}

// End records the crash of an endpoint incarnation that another VM has seen.
func (s *SyncService) End(args *EndArgs, reply *EndReply) error {
	reply.Age = time.Since(s.syncer.recordCrashTime(args.Crash, time.Now().Add(-max(0, args.Age))))
	return nil
}
