package lease

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/membership"
)

// ServiceName is the name under which the daemon registers Service with net/rpc.
const ServiceName = "Lease"

const wakeMethod = ServiceName + ".Wake"

// WakeRequest requests that a VM list the table at once because leases have been handed over to it. VM is the sender.
type WakeRequest struct {
	VM string
}

// WakeReply is the empty response to a WakeRequest.
type WakeReply struct{}

// Service handles calls from other VMs over net/rpc.
type Service struct {
	manager *Manager
}

// Service returns the service to register with net/rpc under ServiceName.
func (m *Manager) Service() *Service { return &Service{manager: m} }

// Wake makes the manager list the table at once.
func (s *Service) Wake(_ *WakeRequest, _ *WakeReply) error {
	s.manager.Wake()
	return nil
}

// wakeIntendedHolders sends a WakeRequest to the VMs to which the plan hands leases over.
func (m *Manager) wakeIntendedHolders(ctx context.Context, p *plan) {
	targets := map[string]membership.Member{}
	for _, c := range p.releases {
		if c.target.PeerAddress != "" {
			targets[c.target.ID] = c.target
		}
	}
	for _, target := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, m.cfg.StoreTimeout)
			defer cancel()
			err := m.peerClient.Call(ctx, target.PeerAddress, wakeMethod, &WakeRequest{VM: m.cfg.ID}, &WakeReply{})
			if err != nil {
				m.log.WithError(err).WithFields(logrus.Fields{"event": "lease_wake_failed", "vm": target.ID}).Warn("could not notify the VM of a lease handed over to it")
			}
		}()
	}
}

// release gives up a lease: it notifies the listener, and once the calls made under the lease are settled, the next write to
// the table removes the holder from the row. m.mu is held.
func (m *Manager) release(name string, now time.Time) {
	m.noClaimBefore[name] = now.Add(reclaimDelay)
	m.releasing[name] = true
	m.settlingSince[name] = now
	m.lose(name, eventRelease, func() { m.awaitSettled(name) })
}

// releaseGatherTime is how long leases that are settled wait for others that were given up at the same time, so that one write
// frees all of them.
const releaseGatherTime = 50 * time.Millisecond

// gathering reports whether a lease that was given up less than releaseGatherTime ago has not settled. m.mu is held.
func (m *Manager) gathering(now time.Time) bool {
	for _, since := range m.settlingSince {
		if now.Sub(since) < releaseGatherTime {
			return true
		}
	}
	return false
}

// awaitSettled frees a lease that this VM has given up once the calls made under it are settled. It does not block, so that other
// leases need not wait.
func (m *Manager) awaitSettled(name string) {
	settled := m.cfg.Settled(name)
	if settled == nil {
		m.free(name)
		return
	}
	select {
	case <-settled:
		m.free(name)
	default:
		m.log.WithFields(logrus.Fields{"event": "lease_settling", "lease": name}).
			Info("the lease stays taken until the calls made under it have ended")
		// The leases that have settled by then are freed, whether or not this one has.
		time.AfterFunc(releaseGatherTime, m.wakeToFree)
		go func() {
			<-settled
			m.free(name)
		}()
	}
}

// free lets the next write to the table remove this VM from the row of a lease that it has given up.
func (m *Manager) free(name string) {
	state := m.cfg.State(name)
	m.mu.Lock()
	m.noClaimBefore[name] = time.Now().Add(reclaimDelay)
	m.fire(name, m.right(name), eventSettled)
	m.released[name] = state
	delete(m.settlingSince, name)
	m.mu.Unlock()
	m.wakeToFree()
}

// wakeToFree makes the manager free the leases that are settled, unless they wait for others.
func (m *Manager) wakeToFree() {
	m.mu.RLock()
	due := len(m.released) > 0 && !m.gathering(time.Now())
	m.mu.RUnlock()
	if due {
		m.Wake()
	}
}

// clearRelease removes the records of a handover, whether it has taken place or not. m.mu is held.
func (m *Manager) clearRelease(name string) {
	delete(m.releasing, name)
	delete(m.released, name)
}

// Drain hands over every lease, stops claiming leases, and closes the session. Once Drain has returned nil,
// the process may exit. While the table does not respond, no VM could claim a lease that is handed over, so
// this VM goes on using its leases until the table responds or ctx ends.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	started := time.Now()
	m.Wake()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !m.isClosed() {
		m.handOver(started)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// handOver releases every lease if the table has accepted a renewal that was sent after started.
func (m *Manager) handOver(started time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.upSince.IsZero() && m.own.validFrom.After(started) {
		m.releaseAll()
	}
}

// Release stops the use of every lease after a Drain that did not complete. Once the process has exited and its calls are
// settled, the successors named in the rows take the leases over without the table.
func (m *Manager) Release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releaseAll()
}

// releaseAll gives up every lease. m.mu is held.
func (m *Manager) releaseAll() {
	now := time.Now()
	for name, r := range m.rights {
		if r.lifecycle.State() == stateHeld || r.lifecycle.State() == stateProvisional {
			m.release(name, now)
		}
	}
}

// canClaim reports whether the VM could claim a lease, according to a session row that the VM has renewed
// recently. m.mu is held.
func (m *Manager) canClaim(vm string, now time.Time) bool {
	s, ok := m.sessions[vm]
	return ok && s.CanClaim && !s.over() && now.Sub(s.firstSeen) <= 2*m.cfg.Period
}

// reclaimDelay is how long a VM does not claim a lease that it has handed over.
const reclaimDelay = 2 * time.Second

const drainPollInterval = 20 * time.Millisecond

// rebalance hands over one lease whose first VM in rendezvous order is not this one, to that VM. The long
// interval keeps a rolling restart from moving each lease several times in a row. m.mu is held.
func (m *Manager) rebalance(live []membership.Member, now time.Time) {
	if m.nextRebalance.IsZero() {
		m.nextRebalance = now.Add(m.cfg.RebalanceInterval)
	}
	if now.Before(m.nextRebalance) || m.draining || !m.claimWindowOpen(now) {
		return
	}
	m.nextRebalance = now.Add(m.cfg.RebalanceInterval)
	for name, r := range m.rights {
		if r.lifecycle.State() != stateHeld || !m.valid(r, now) {
			continue
		}
		first := membership.Rank(name, memberIDs(live))[0]
		if first != m.cfg.ID && m.canClaim(first, now) {
			m.release(name, now)
			return
		}
	}
}
