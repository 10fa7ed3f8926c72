package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// lossShare is the share of packets that a lossy link loses, by the bench's page of disruptions.
	lossShare = 0.03
	// retransmission is the time after which a system sends a lost packet again: the least retransmission time-out of Linux.
	retransmission = 200 * time.Millisecond
)

// losses says which links lose packets: those of one failure domain to the others, for lossyTime at a time.
type losses struct {
	lost atomic.Int64

	mu     sync.Mutex
	domain string
	// healed are the times at which links have healed.
	healed []time.Time
}

// lossyTime is the longest time for which the users' deployments have lossy links at a stretch, calmTime the pause between.
const (
	lossyTime = 5500 * time.Millisecond
	calmTime  = 1500 * time.Millisecond
)

// run makes the links of one failure domain after the other lossy until end.
func (l *losses) run(rec *record, end time.Time) {
	for i := 0; time.Now().Add(lossyTime + calmTime).Before(end); i++ {
		domain := domains[i%len(domains)]
		rec.printf("links of %s to the others lose packets", domain)
		l.set(domain)
		time.Sleep(lossyTime)
		l.set("")
		rec.printf("links of %s have healed", domain)
		time.Sleep(calmTime)
	}
}

func (l *losses) set(domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.domain = domain; domain == "" {
		l.healed = append(l.healed, time.Now())
	}
}

// loses draws whether a packet from a VM in one failure domain to a server in another one is lost.
func (l *losses) loses(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from == to || l.domain == "" || l.domain != from && l.domain != to || rand.Float64() >= lossShare {
		return false
	}
	l.lost.Add(1)
	return true
}

// justHealed reports whether a time is within slack after a link has healed.
func (l *losses) justHealed(at time.Time, slack time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.healed, func(healed time.Time) bool { return !at.Before(healed) && at.Sub(healed) <= slack })
}

// lossyProxy passes connections on to a server. An order that is lost arrives with its retransmission; what follows on the
// connection waits for it. Other packets are not lost: only orders say which VM has sent them.
type lossyProxy struct {
	listener net.Listener
	target   string
	domain   string
	losses   *losses
	// domainOf maps the VMs, as orders name their holders, to their failure domains.
	domainOf map[string]string
}

func (w *world) startLossyProxy(target, domain string, losses *losses) (*lossyProxy, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &lossyProxy{listener: l, target: target, domain: domain, losses: losses, domainOf: map[string]string{}}
	for _, v := range w.vms {
		p.domainOf[v.name] = v.domain
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

// loses draws whether a chunk is lost.
func (p *lossyProxy) loses(chunk []byte) bool {
	_, rest, found := bytes.Cut(chunk, []byte(`"holder":"`))
	if !found {
		return false
	}
	holder, _, _ := bytes.Cut(rest, []byte(`"`))
	from, known := p.domainOf[string(holder)]
	return known && p.losses.loses(from, p.domain)
}

func (p *lossyProxy) address() string { return p.listener.Addr().String() }

func (p *lossyProxy) serve(client *net.TCPConn) {
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	server := conn.(*net.TCPConn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.pass(server, client)
	}()
	p.pass(client, server)
	<-done
	_ = client.Close()
	_ = server.Close()
}

// pass copies from one connection to the other, and then the end of the stream. A reset drops what has not arrived yet, and is
// passed on as a reset.
func (p *lossyProxy) pass(to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.loses(buffer[:n]) {
			more, moreErr := p.hold(from, buffer[n:])
			n, err = n+more, moreErr
		}
		if errors.Is(err, syscall.ECONNRESET) {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.Close()
			}
			_ = to.CloseWrite()
			return
		}
	}
}

// hold waits for the retransmission. It returns what has arrived meanwhile, and the end of the connection if there was one.
func (p *lossyProxy) hold(from *net.TCPConn, space []byte) (int, error) {
	time.Sleep(retransmission)
	_ = from.SetReadDeadline(time.Now().Add(time.Millisecond))
	n, err := from.Read(space)
	_ = from.SetReadDeadline(time.Time{})
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		err = nil
	}
	return n, err
}
