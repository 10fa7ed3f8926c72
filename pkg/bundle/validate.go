package bundle

import (
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"github.com/mallowlink/mallowlink/pkg/inifile"
)

// reservedPaths are the beginnings of paths that the daemon itself serves.
var reservedPaths = []string{"/v1/", "/healthz", "/readyz"}

// validate checks what the sections say of each other. Sections with faults of their own are
// checked as far as they go.
func (p *parser) validate() {
	if !p.hasFleet {
		p.report.Add(inifile.Problem{File: p.first, Section: kindFleet, Reason: "missing section"})
	}
	p.validateGroups()
	p.validateEndpoints()
	p.validateKeys()
	p.validateAdapters()
	p.validateRoutes()
}

// at returns the section of a part. For a part that an update has left as it was it returns
// unplaced: the update then reads the whole text to find the place of the fault.
func (p *parser) at(kind, name string) *inifile.Section {
	if s := p.where[ref{kind, name}]; s != nil {
		return s
	}
	return p.unplaced
}

func (p *parser) validateGroups() {
	for name, group := range p.bundle.Groups {
		if group.Model == "" {
			continue
		}
		if _, ok := p.bundle.Models[group.Model]; !ok {
			p.at(kindGroup, name).Fail("model", "model %q is not in the bundle", group.Model)
		}
	}
}

func (p *parser) validateEndpoints() {
	members := map[string]int{}
	urls := map[string]string{}
	for _, name := range sortedKeys(p.bundle.Endpoints) {
		endpoint := p.bundle.Endpoints[name]
		s := p.at(kindEndpoint, name)
		p.validateEndpoint(s, endpoint)
		members[endpoint.Group]++
		if members[endpoint.Group] == MaxGroupEndpoints+1 {
			s.Fail("group", "group %q has more than %d endpoints", endpoint.Group, MaxGroupEndpoints)
		}
		if other, ok := urls[endpoint.URL]; ok && endpoint.URL != "" {
			s.Fail("url", "endpoint %q has the same URL", other)
		}
		urls[endpoint.URL] = name
	}
	for name := range p.bundle.Groups {
		if members[name] == 0 {
			p.at(kindGroup, name).Fail("", "group has no endpoint")
		}
	}
}

func (p *parser) validateEndpoint(s *inifile.Section, endpoint Endpoint) {
	if endpoint.FailureDomain != "" && !validName(endpoint.FailureDomain) {
		s.Fail("failure-domain", "%q is not a valid name", endpoint.FailureDomain)
	}
	group, ok := p.bundle.Groups[endpoint.Group]
	if !ok {
		if endpoint.Group != "" {
			s.Fail("group", "group %q is not in the bundle", endpoint.Group)
		}
		return
	}
	if group.Kind == KindEngine && endpoint.Slots == 0 {
		s.Required("slots")
	}
	if group.Kind == KindService && endpoint.Slots > 0 {
		s.Fail("slots", "a service has no slots")
	}
}

func (p *parser) validateKeys() {
	hashes := map[string]string{}
	for _, name := range sortedKeys(p.bundle.Keys) {
		key := p.bundle.Keys[name]
		s := p.at(kindKey, name)
		p.checkAccounts(s, "account", key.Account)
		if other, ok := hashes[key.SHA256]; ok && key.SHA256 != "" {
			s.Fail("sha256", "key %q has the same hash", other)
		}
		hashes[key.SHA256] = name
	}
}

func (p *parser) checkAccounts(s *inifile.Section, key string, accounts ...string) {
	for _, account := range accounts {
		if _, ok := p.bundle.Accounts[account]; !ok && account != "" {
			s.Fail(key, "client account %q is not in the bundle", account)
		}
	}
}

func (p *parser) validateAdapters() {
	served := map[string]bool{}
	for _, group := range p.bundle.Groups {
		served[group.Model] = true
	}
	for name, adapter := range p.bundle.Adapters {
		s := p.at(kindAdapter, name)
		p.checkAccounts(s, "accounts", adapter.Accounts...)
		p.validateVersions(s, adapter)
		if _, ok := p.bundle.Models[adapter.Model]; !ok && adapter.Model != "" {
			s.Fail("model", "model %q is not in the bundle", adapter.Model)
			continue
		}
		if !served[adapter.Model] {
			s.Fail("model", "no engine group serves model %q", adapter.Model)
		}
	}
}

func (p *parser) validateVersions(s *inifile.Section, adapter Adapter) {
	for _, version := range adapter.Versions {
		if version != "" && !validName(version) {
			s.Fail("versions", "%q is not a valid version", version)
		}
	}
	if adapter.Default != "" && !slices.Contains(adapter.Versions, adapter.Default) {
		s.Fail("default", "%q is not among the versions", adapter.Default)
	}
}

func (p *parser) validateRoutes() {
	places := map[string]string{}
	for _, name := range sortedKeys(p.bundle.Routes) {
		route := p.bundle.Routes[name]
		s := p.at(kindRoute, name)
		p.validatePath(s, route.Path)
		p.validateRouteAccounts(s, route)
		group, ok := p.bundle.Groups[route.Group]
		if !ok && route.Group != "" {
			s.Fail("group", "group %q is not in the bundle", route.Group)
		}
		if ok && group.Kind != KindService {
			s.Fail("group", "group %q is not a service group", route.Group)
		}
		place := route.Method + " " + route.Path
		if other, ok := places[place]; ok {
			s.Fail("path", "route %q has the same method and path", other)
		}
		places[place] = name
	}
}

func (p *parser) validatePath(s *inifile.Section, path string) {
	if path == "" {
		return
	}
	if !strings.HasPrefix(path, "/") {
		s.Fail("path", "%q does not begin with a slash", path)
		return
	}
	for _, reserved := range reservedPaths {
		if strings.HasPrefix(path, reserved) {
			s.Fail("path", "paths under %s are served by the daemon", reserved)
		}
	}
	if err := mux.NewRouter().NewRoute().Path(path).GetError(); err != nil {
		s.Fail("path", "%q is not a path template: %s", path, err)
	}
}

func (p *parser) validateRouteAccounts(s *inifile.Section, route Route) {
	p.checkAccounts(s, "accounts", route.Accounts...)
	if route.Open {
		if len(route.Accounts) > 0 {
			s.Fail("accounts", "an open route has no accounts")
		}
		return
	}
	users := route.Accounts
	if len(users) == 0 {
		users = sortedKeys(p.bundle.Accounts)
	}
	for _, user := range users {
		account, ok := p.bundle.Accounts[user]
		if ok && account.Burst > 0 && float64(route.Cost) > account.Burst {
			s.Fail("cost", "%d tokens are more than the burst of client account %q", route.Cost, user)
		}
	}
}
