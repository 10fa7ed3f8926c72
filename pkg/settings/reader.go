package settings

import (
	"net/netip"

	"github.com/mallowlink/mallowlink/pkg/inifile"
)

// reader reads the fields from the sections of one file.
type reader struct {
	path string
	// sections holds every section of the file, and an empty one for each known section not in the file.
	sections map[string]*inifile.Section
}

// newReader parses the file. Of duplicate sections, which Parse reports, it keeps the first.
func newReader(path string, data []byte, report *inifile.Report) *reader {
	r := &reader{path: path, sections: map[string]*inifile.Section{}}
	for _, section := range inifile.Parse(path, data, report).Sections {
		if r.sections[section.Name] == nil {
			r.sections[section.Name] = section
		}
	}
	for _, f := range fields() {
		if r.sections[f.section] == nil {
			r.sections[f.section] = inifile.NewSection(path, f.section, report)
		}
	}
	return r
}

func (r *reader) section(name string) *inifile.Section { return r.sections[name] }

// readFields reads every field, and reports unknown sections and keys.
func (r *reader) readFields() Settings {
	var s Settings
	known := map[string]bool{}
	for _, f := range fields() {
		f.read(r, f, &s)
		known[f.section] = true
	}
	for name, section := range r.sections {
		if !known[name] {
			section.Fail("", "unknown section")
			continue
		}
		section.ReportUnknownKeys()
	}
	return s
}

// checkConsistency reports values that contradict each other.
func (r *reader) checkConsistency(s *Settings) {
	if n := len(s.Bundle.Signers); n > 0 && s.Bundle.Required > n {
		r.section("bundle").Fail("required-signers", "%d are required, but there are %d signers", s.Bundle.Required, n)
	}
	if s.Bundle.Poll > MaxBundlePoll {
		r.section("bundle").Fail("poll", "%s is more than %s", s.Bundle.Poll, MaxBundlePoll)
	}
	if s.Timeouts.Silence <= s.Timeouts.Heartbeat {
		r.section("timeouts").Fail("silence", "must be longer than heartbeat")
	}
	if s.Timeouts.Drain <= s.Timeouts.BalancerWait {
		r.section("timeouts").Fail("drain", "must be longer than balancer-wait")
	}
	if s.Timeouts.Lease <= s.Timeouts.Heartbeat {
		r.section("timeouts").Fail("lease", "must be longer than heartbeat")
	}
	r.checkListeners(s)
	r.checkTLS(s)
}

func (r *reader) checkListeners(s *Settings) {
	listen := r.section("listen")
	if sameAddress(s.Listen.Peer, s.Listen.Callers) {
		listen.Fail("peer", "callers have the same address")
	}
	if sameAddress(s.Listen.Admin, s.Listen.Callers) || sameAddress(s.Listen.Admin, s.Listen.Peer) {
		listen.Fail("admin", "another listener has the same address")
	}
}

// sameAddress reports whether two listeners would use the same address and port. Two addresses with port
// 0 do not conflict, because the operating system chooses a free port for each.
func sameAddress(a, b string) bool {
	address, err := netip.ParseAddrPort(a)
	return err == nil && a == b && address.Port() != 0
}

func (r *reader) checkTLS(s *Settings) {
	tls := r.section("tls")
	if (s.TLS.CallersCert == "") != (s.TLS.CallersKey == "") {
		tls.Fail("callers-cert", "callers-cert and callers-key go together")
	}
	set := s.TLS.PeerCert != ""
	if set != (s.TLS.PeerKey != "") || set != (s.TLS.PeerCA != "") {
		tls.Fail("peer-cert", "peer-cert, peer-key and peer-ca go together")
	}
	if !set && !isLoopback(s.Listen.Peer) {
		tls.Fail("peer-cert", "required, because the peer listener %s is not on loopback", s.Listen.Peer)
	}
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}
