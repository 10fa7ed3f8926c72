package allowance

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
)

// ServiceName is the name under which the daemon registers Service with net/rpc.
const ServiceName = "Allowance"

const (
	settleMethod = ServiceName + ".Settle"
	tellMethod   = ServiceName + ".Tell"
)

// unresponsiveAfter is the time without a response from a VM after which the VM counts as unresponsive and may be
// spending without this home. It is shorter than tokenTTL, the life of the tokens that the VM holds.
const unresponsiveAfter = 3 * time.Second

// usagePollInterval is the pause before a VM that did not report what it has spent is polled again.
const usagePollInterval = 100 * time.Millisecond

// Fleet lists the VMs that may have spent tokens.
type Fleet interface {
	Members() []membership.Member
}

// Limits returns the limit of a client account from the configuration in force, and whether the account is known.
type Limits func(account string) (Limit, bool)

// HomeConfig holds the settings and dependencies of a Home.
type HomeConfig struct {
	Policy     Policy
	Limits     Limits
	Leases     lease.View
	Fleet      Fleet
	PeerClient peer.Client
	Log        logrus.FieldLogger
}

// TellArgs holds the arguments of Service.Tell.
type TellArgs struct{ Account string }

// Home lends the tokens of the client accounts whose leases this VM holds. For each of these accounts this VM is
// the home: the one VM that decides how many tokens every VM may spend. Home implements lease.Listener.
type Home struct {
	cfg   HomeConfig
	ctx   context.Context
	local *Limiter // the counterpart on this VM, set when that is created

	mu       sync.Mutex
	accounts map[string]*account // by name, guarded by mu
}

// NewHome returns a Home without accounts. Cancelling ctx ends its calls to other VMs.
func NewHome(ctx context.Context, cfg HomeConfig) *Home {
	return &Home{cfg: cfg, ctx: ctx, accounts: map[string]*account{}}
}

// LeaseGained implements lease.Listener.
func (h *Home) LeaseGained(grant lease.Grant) {
	name, ok := strings.CutPrefix(grant.Name, lease.AccountPrefix)
	if !ok {
		return
	}
	limit, _ := h.cfg.Limits(name)
	members := h.cfg.Fleet.Members()
	a := newAccount(h.cfg.Policy, limit, len(members), time.Now())
	previous, recorded, err := decodeRecord(grant.Note)
	if err != nil {
		h.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "account_record_malformed", "account": name}).
			Error("malformed usage record of the previous home; starting without it")
	}
	if recorded {
		a.adoptRecord(previous)
	}
	h.mu.Lock()
	h.accounts[name] = a
	h.mu.Unlock()
	h.cfg.Log.WithFields(logrus.Fields{
		"event": "account_home", "account": name, "fencing": grant.Fencing, "recorded": recorded, "record": sum(a.recordedBins),
		"record_age": a.recordAge().Round(time.Millisecond), "assumed": int64(a.estimateSpent(a.recordedAt, a.gainedAt)),
	}).Info("this VM became the home of the account")
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range members {
		if !m.Gone {
			h.startPolling(name, a, m)
		}
	}
}

// startPolling starts to poll a VM for what it has spent, unless that is in progress. The caller must hold h.mu.
func (h *Home) startPolling(name string, a *account, m membership.Member) {
	if a.polling[m.ID] {
		return
	}
	a.polling[m.ID] = true
	go h.pollUsage(name, a, m)
}

// Note returns the record to store with the lease of an account, for the next home. It returns nil if this VM is not
// the home of an account by that lease.
func (h *Home) Note(leaseName string) []byte {
	name, ok := strings.CutPrefix(leaseName, lease.AccountPrefix)
	if !ok {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[name]
	if a == nil {
		return nil
	}
	now := time.Now()
	a.absentShare = h.absentShare(name, a, now)
	note, err := json.Marshal(a.newRecord(now))
	if err != nil {
		h.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "account_not_recorded", "account": name}).
			Error("failed to encode the usage record of the account")
		return nil
	}
	return note
}

// pollUsage polls one VM for what it has spent until it has reported or its report no longer matters, for at most
// one window.
func (h *Home) pollUsage(name string, a *account, m membership.Member) {
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(a.polling, m.ID)
	}()
	begun := time.Now()
	for time.Since(begun) < h.cfg.Policy.Window && h.ctx.Err() == nil {
		report, ok := h.fetchUsage(name, m)
		h.mu.Lock()
		done := h.accounts[name] != a || a.reported[m.ID] && !a.tokensExpired(m.Incarnation, time.Now())
		if ok && !done {
			a.recordUsage(report, time.Now())
		}
		h.mu.Unlock()
		if ok || done {
			return
		}
		time.Sleep(usagePollInterval)
	}
}

// fetchUsage requests the usage report of one VM, which may be this one.
func (h *Home) fetchUsage(name string, m membership.Member) (Request, bool) {
	if m.ID == h.local.cfg.Self {
		return h.local.Usage(name), true
	}
	ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
	defer cancel()
	var report Request
	err := h.cfg.PeerClient.Call(ctx, m.PeerAddress, tellMethod, &TellArgs{Account: name}, &report)
	return report, err == nil && !report.malformed()
}

// absentShare returns the share of the VMs that may be spending without this home: those that have not reported,
// and those that are unresponsive but not proven gone. The latter must report again once they respond, because the
// home does not know what they have spent meanwhile. absentShare also starts to poll VMs whose reports are missing,
// and if tokens are scarce those whose tokens have expired, as they may have spent less than is counted. The caller
// must hold h.mu.
func (h *Home) absentShare(name string, a *account, now time.Time) float64 {
	members := h.cfg.Fleet.Members()
	a.vmCount = len(members)
	absent, scarce := 0, a.scarce(now)
	clear(a.unresponsive)
	for _, m := range members {
		unresponsive := !m.Gone && m.SilentFor > unresponsiveAfter && m.ID != h.local.cfg.Self
		switch {
		case m.Gone && m.GoneFor > h.cfg.Policy.Window:
		case unresponsive:
			delete(a.reported, m.ID)
			a.unresponsive[m.ID] = true
			absent++
		case !a.reported[m.ID]:
			absent++
			if !m.Gone {
				h.startPolling(name, a, m)
			}
		case scarce && a.tokensExpired(m.Incarnation, now):
			h.startPolling(name, a, m)
		}
	}
	return float64(absent) / float64(max(len(members), 1))
}

// LeaseLost implements lease.Listener.
func (h *Home) LeaseLost(name string) {
	account, ok := strings.CutPrefix(name, lease.AccountPrefix)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.accounts, account)
}

// Settle records the report of a VM and lends it tokens, if this VM is the home of the account.
func (h *Home) Settle(req Request) Reply {
	limit, known := h.cfg.Limits(req.Account)
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[req.Account]
	if a == nil || !known || req.malformed() {
		return Reply{NotHome: true}
	}
	now := time.Now()
	a.setLimit(limit, now)
	a.recordUsage(req, now)
	a.absentShare = h.absentShare(req.Account, a, now)
	reply := a.settle(req, now)
	// The lease is checked last, because the next home starts as soon as this lease has ended.
	if _, held := h.cfg.Leases.Held(lease.AccountPrefix + req.Account); !held {
		return Reply{NotHome: true}
	}
	h.logScarce(req, reply, a, now)
	return reply
}

// scarceLogInterval is the minimum time between two account_scarce log entries for one account.
const scarceLogInterval = 500 * time.Millisecond

// logScarce logs the figures behind a reply if the account is over its limit or the VM was lent less than it needs. The
// caller must hold h.mu.
func (h *Home) logScarce(req Request, reply Reply, a *account, now time.Time) {
	if !reply.Excess && reply.Tokens >= req.Need || now.Sub(a.lastLogged) < scarceLogInterval {
		return
	}
	a.lastLogged = now
	h.cfg.Log.WithFields(logrus.Fields{
		"event": "account_scarce", "account": req.Account, "vm": req.VM, "held": req.Held, "need": req.Need, "want": req.Want,
		"tokens": reply.Tokens, "used": int64(reply.Used), "lent": int64(reply.Lent), "window": h.cfg.Policy.Window,
		"home_age": now.Sub(a.gainedAt).Round(time.Millisecond), "told": len(a.reported), "absent": reply.Absent,
		"by_record": int64(a.recordedUsage(a.limit, a.loweredAt, now)),
	}).Info("account is over its limit, or too few tokens remain for a request")
}

// maxTokens is the largest token count accepted in a message. It keeps sums from overflowing.
const maxTokens = int64(1) << 48

// malformed reports whether the request contains a token count that is negative or above maxTokens.
func (r Request) malformed() bool {
	for _, n := range append([]int64{r.Held, r.Want, r.Need}, r.Spent...) {
		if n < 0 || n > maxTokens {
			return true
		}
	}
	return false
}

// Service serves the net/rpc calls of other VMs.
type Service struct {
	home    *Home
	limiter *Limiter
}

// NewService returns the service to register with net/rpc under ServiceName.
func NewService(home *Home, limiter *Limiter) *Service { return &Service{home: home, limiter: limiter} }

// Tell reports to the home of an account what this VM has spent and holds.
func (s *Service) Tell(args *TellArgs, reply *Request) error {
	*reply = s.limiter.Usage(args.Account)
	return nil
}

// Settle records the report of another VM and lends it tokens. See Home.Settle.
func (s *Service) Settle(args *Request, reply *Reply) error {
	*reply = s.home.Settle(*args)
	return nil
}
