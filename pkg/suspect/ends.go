package suspect

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/membership"
)

// EndArgs tells of the end of an endpoint's run. Age is how long ago the VM has seen it.
type EndArgs struct {
	Crash string
	Age   time.Duration
}

// EndReply answers EndArgs: how long ago the end was seen first.
type EndReply struct {
	Age time.Duration
}

// firstSeen tells the homes of an end of it, and returns when it was seen first as far as they know.
func (s *Share) firstSeen(crash string, seen time.Time) time.Time {
	members := s.members()
	homes := homesOf(members, xxhash.Sum64String(crash))
	ctx, cancel := context.WithTimeout(s.watch.ctx, endTimeout)
	defer cancel()
	answers := make(chan time.Time, homeCount)
	asked := 0
	for _, m := range members {
		if slices.Contains(homes, m.ID) {
			asked++
			go func() { answers <- s.tellEnd(ctx, m, crash, seen) }()
		}
	}
	first := seen
	for range asked {
		if at := <-answers; at.Before(first) {
			first = at
		}
	}
	return first
}

// tellEnd tells one VM of an end, and returns when it was seen first as far as that VM knows.
func (s *Share) tellEnd(ctx context.Context, m membership.Member, crash string, seen time.Time) time.Time {
	if m.ID == s.self {
		return s.noteEnd(crash, seen)
	}
	var reply EndReply
	if err := s.caller.Call(ctx, m.PeerAddress, ServiceName+".End", &EndArgs{Crash: crash, Age: time.Since(seen)}, &reply); err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"event": "end_not_told", "to": m.ID, "crash": crash}).Info()
		return seen
	}
	return time.Now().Add(-reply.Age)
}

// noteEnd notes when an end was seen, and returns when it was seen first.
func (s *Share) noteEnd(crash string, seen time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, known := s.ends[crash]; known && first.Before(seen) {
		return first
	}
	if len(s.ends) >= maxDecided {
		clear(s.ends)
	}
	s.ends[crash] = seen
	return seen
}

// End takes in the end of an endpoint's run that another VM has seen.
func (s *ShareService) End(args *EndArgs, reply *EndReply) error {
	reply.Age = time.Since(s.share.noteEnd(args.Crash, time.Now().Add(-max(0, args.Age))))
	return nil
}
