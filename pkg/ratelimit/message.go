package ratelimit

import (
	"math"
	"time"
)

// ServiceName is the name under which the daemon registers Service with net/rpc.
const ServiceName = "RateLimit"

// RPC methods of the service.
const (
	takeMethod     = ServiceName + ".Take"
	announceMethod = ServiceName + ".Announce"
)

// Stated is what an endpoint has stated about its limit, as one VM sends it to another.
type Stated struct {
	Endpoint string
	// Started identifies the incarnation of the endpoint.
	Started int64
	// Rate is the limit in requests per second. It is valid only if Limited is set; else there is no limit.
	Limited bool
	Rate    float64
	// SentAge and ReceivedAge are the times since the request was sent whose response stated this, and since the
	// response was received.
	SentAge, ReceivedAge time.Duration
}

// ColdStated is until when an endpoint is cold, as one VM sends it to another. VMs of builds that know no cold endpoints
// neither send nor read it.
type ColdStated struct {
	// Known is set if the VM knows a statement. The other fields are valid only then.
	Known   bool
	Started int64
	// Rate is the rate of requests while the endpoint is cold, and Left how long it stays cold.
	Rate float64
	Left time.Duration
	// SentAge and ReceivedAge are the times since the earliest and the latest moment at which this was stated.
	SentAge, ReceivedAge time.Duration
}

// message returns the cold time as it is sent to another VM.
func (c *coldState) message(now time.Time) ColdStated {
	if !c.stated.known() || c.rate <= 0 {
		return ColdStated{}
	}
	return ColdStated{
		Known: true, Started: c.stated.started, Rate: c.rate, Left: max(c.stated.until.Sub(now), 0),
		SentAge: now.Sub(c.stated.sent), ReceivedAge: now.Sub(c.stated.received),
	}
}

// statement returns the statement of a message that was written between from and to.
func (m ColdStated) statement(from, to time.Time) coldStatement {
	return coldStatement{started: m.Started, until: to.Add(min(m.Left, maxCold)), sent: from.Add(-m.SentAge), received: to.Add(-m.ReceivedAge)}
}

// valid reports whether the message states something and its fields are in range.
func (m ColdStated) valid() bool {
	return m.Known && m.Rate > 0 && !math.IsInf(m.Rate, 0) && m.Left >= 0 && m.SentAge >= m.ReceivedAge && m.ReceivedAge >= 0
}

// TakeArgs asks the home of an endpoint whether a request may be sent to the endpoint.
type TakeArgs struct {
	// VM is the VM that asks.
	VM string
	// Started identifies the incarnation that the request is for, which may be later than the one that has stated
	// the limit.
	Started int64
	// Stated is the limit as the VM knows it.
	Stated Stated
	// Cold is the cold time of the endpoint as the VM knows it.
	Cold ColdStated
	// Recent counts the requests that the VM has lately sent to the endpoint without asking a home, by age.
	Recent []int
}

// TakeReply is the reply to TakeArgs.
type TakeReply struct {
	// NotHome says that the VM that was called is not the home of the endpoint.
	NotHome bool
	Granted bool
	// RetryAfter is the time after which to ask again if the request may not be sent now.
	RetryAfter time.Duration
	// Stated is the limit as the home knows it, and Cold the cold time.
	Stated Stated
	Cold   ColdStated
}

// AnnounceArgs passes on what an endpoint has stated.
type AnnounceArgs struct {
	// VM is the VM that has sent this.
	VM     string
	Stated Stated
	Cold   ColdStated
	// Recent is that of TakeArgs.
	Recent []int
}

// AnnounceReply is the reply to AnnounceArgs.
type AnnounceReply struct {
	// Recent is that of TakeArgs, of the VM that was called.
	Recent []int
}

// message returns the statement about an endpoint as it is sent to another VM.
func (s statement) message(endpoint string, now time.Time) Stated {
	m := Stated{Endpoint: endpoint, Started: s.started, Limited: s.limited(), SentAge: now.Sub(s.sent), ReceivedAge: now.Sub(s.received)}
	if m.Limited {
		m.Rate = s.rate
	}
	return m
}

// statement returns the statement of a message that was written between from and to.
func (m Stated) statement(from, to time.Time) statement {
	s := statement{started: m.Started, rate: unlimited, sent: from.Add(-m.SentAge), received: to.Add(-m.ReceivedAge)}
	if m.Limited {
		s.rate = m.Rate
	}
	return s
}

// announcedRate returns the limit of the message; unlimited if there is none.
func (m Stated) announcedRate() float64 {
	if !m.Limited {
		return unlimited
	}
	return m.Rate
}

// valid reports whether the fields of the message are in range.
func (m Stated) valid() bool {
	return m.Endpoint != "" && m.Rate >= 0 && !math.IsInf(m.Rate, 0) && !math.IsNaN(m.Rate) && m.SentAge >= m.ReceivedAge && m.ReceivedAge >= 0
}
