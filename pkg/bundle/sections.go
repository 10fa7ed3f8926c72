package bundle

import (
	"math"
	"net/http"
	"time"

	"github.com/mallowlink/mallowlink/pkg/inifile"
)

// Defaults of keys that a bundle may leave out.
const (
	DefaultRetryPercent = 10
	DefaultMaxTokens    = 1024
	DefaultPrefixBytes  = 1024
	DefaultQueueLimit   = 1000
	DefaultMaxRunning   = 64
	DefaultWeight       = 1
	DefaultCost         = 1
	DefaultTimeout      = 30 * time.Second
)

// Bounds of values.
const (
	maxCount    = math.MaxInt32
	maxRate     = 1e12
	maxWeight   = 1e6
	minPositive = 1e-6
	maxTimeout  = 24 * time.Hour
	percent     = 100
)

func (p *parser) readHead(s *inifile.Section, _ string) {
	p.bundle.Version = uint64(s.Int("version", 0, 1, math.MaxInt64))
	p.bundle.Previous = s.String("previous", "")
	if !s.Has("version") {
		s.Required("version")
		return
	}
	first := p.bundle.Version == 1
	if first && p.bundle.Previous != "" {
		s.Fail("previous", "version 1 follows no other")
	}
	if !first && !validHash(p.bundle.Previous) {
		s.Fail("previous", "must be the SHA-256 of the previous version in lower-case hexadecimal")
	}
}

func (p *parser) readFleet(s *inifile.Section, _ string) {
	p.hasFleet = true
	s.Required("loads")
	s.Required("loads-at-once")
	s.Required("transfers-in-flight")
	p.bundle.Fleet = Fleet{
		LoadsPerSecond:    s.Rate("loads", 0, minPositive, maxRate),
		LoadsAtOnce:       int(s.Int("loads-at-once", 0, 1, maxCount)),
		TransfersInFlight: int(s.Int("transfers-in-flight", 0, 1, maxCount)),
		RetryPercent:      s.Float("retry-percent", DefaultRetryPercent, 0, percent),
	}
}

func (p *parser) readModel(s *inifile.Section, name string) {
	p.bundle.Models[name] = Model{
		Name:        name,
		MaxTokens:   int(s.Int("max-tokens", DefaultMaxTokens, 1, maxCount)),
		PrefixBytes: int(s.Bytes("prefix", DefaultPrefixBytes, 1, maxCount)),
	}
}

func (p *parser) readGroup(s *inifile.Section, name string) {
	s.Required("kind")
	group := Group{
		Name:       name,
		Kind:       GroupKind(s.Enum("kind", string(KindEngine), string(KindEngine), string(KindService))),
		Model:      s.String("model", ""),
		QueueLimit: int(s.Int("queue-limit", DefaultQueueLimit, 1, maxCount)),
	}
	if group.Kind == KindEngine && group.Model == "" {
		s.Required("model")
	}
	if group.Kind == KindService && group.Model != "" {
		s.Fail("model", "a service group has no model")
	}
	p.bundle.Groups[name] = group
}

func (p *parser) readEndpoint(s *inifile.Section, name string) {
	p.bundle.Endpoints[name] = Endpoint{
		Name:          name,
		Group:         p.intern(s.Required("group")),
		URL:           s.URL("url"),
		FailureDomain: p.intern(s.Required("failure-domain")),
		Slots:         int(s.Int("slots", 0, 1, maxCount)),
		MaxRunning:    int(s.Int("max-running", DefaultMaxRunning, 1, maxCount)),
		ChecksFencing: s.Bool("checks-fencing", false),
		Leaving:       s.Bool("leaving", false),
	}
}

func (p *parser) readAccount(s *inifile.Section, name string) {
	s.Required("rate")
	s.Required("burst")
	p.bundle.Accounts[name] = Account{
		Name:   name,
		Rate:   s.Rate("rate", 0, minPositive, maxRate),
		Burst:  s.Float("burst", 0, 1, maxRate),
		Weight: s.Float("weight", DefaultWeight, minPositive, maxWeight),
	}
}

func (p *parser) readKey(s *inifile.Section, name string) {
	key := Key{Name: name, Account: p.intern(s.Required("account")), SHA256: s.Required("sha256")}
	if key.SHA256 != "" && !validHash(key.SHA256) {
		s.Fail("sha256", "must be a SHA-256 in lower-case hexadecimal")
	}
	p.bundle.Keys[name] = key
}

func (p *parser) readAdapter(s *inifile.Section, name string) {
	s.Required("accounts")
	adapter := Adapter{
		Name:     name,
		Model:    p.intern(s.Required("model")),
		Versions: p.internAll(s.List("versions")),
		Accounts: p.set(s, "accounts"),
	}
	if len(adapter.Versions) == 0 {
		s.Required("versions")
	}
	adapter.Default = p.intern(s.Required("default"))
	p.bundle.Adapters[name] = adapter
}

func (p *parser) readRoute(s *inifile.Section, name string) {
	s.Required("method")
	s.Required("idempotent")
	methods := []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	p.bundle.Routes[name] = Route{
		Name:       name,
		Method:     p.intern(s.Enum("method", http.MethodGet, methods...)),
		Path:       s.Required("path"),
		Group:      p.intern(s.Required("group")),
		Open:       s.Bool("open", false),
		Accounts:   p.set(s, "accounts"),
		Idempotent: s.Bool("idempotent", false),
		Class:      Class(s.Enum("class", string(Interactive), string(Interactive), string(Batch))),
		Cost:       s.Int("cost", DefaultCost, 0, maxCount),
		Timeout:    s.Duration("timeout", DefaultTimeout, time.Millisecond, maxTimeout),
	}
}
