package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"github.com/mallowlink/mallowlink/pkg/inifile"
)

// Canonical returns the one text of the bundle that is hashed, signed and stored. Parsing it gives
// an equal bundle.
func Canonical(b *Bundle) []byte {
	w := &writer{}
	w.head(b)
	w.fleet(b.Fleet)
	writeAll(w, b.Models, (*writer).model)
	writeAll(w, b.Groups, (*writer).group)
	writeAll(w, b.Endpoints, (*writer).endpoint)
	writeAll(w, b.Accounts, (*writer).account)
	writeAll(w, b.Keys, (*writer).key)
	writeAll(w, b.Adapters, (*writer).adapter)
	writeAll(w, b.Routes, (*writer).route)
	return w.buf.Bytes()
}

// Hash returns the hexadecimal SHA-256 of a canonical text.
func Hash(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// sortedKeys returns the names of a bundle's parts in order.
func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func writeAll[V any](w *writer, m map[string]V, write func(*writer, V)) {
	for _, name := range sortedKeys(m) {
		write(w, m[name])
	}
}

// writer writes sections with their keys in a fixed order. Empty strings and lists are left out.
type writer struct {
	buf bytes.Buffer
}

func (w *writer) section(kind, name string) {
	if w.buf.Len() > 0 {
		w.buf.WriteByte('\n')
	}
	w.buf.WriteByte('[')
	w.buf.WriteString(kind)
	if name != "" {
		w.buf.WriteByte(' ')
		w.buf.WriteString(name)
	}
	w.buf.WriteString("]\n")
}

func (w *writer) text(key, value string) {
	if value == "" {
		return
	}
	w.buf.WriteString(key)
	w.buf.WriteString(" = ")
	w.buf.WriteString(value)
	w.buf.WriteByte('\n')
}

func (w *writer) int(key string, n int64)        { w.text(key, strconv.FormatInt(n, 10)) }
func (w *writer) float(key string, n float64)    { w.text(key, inifile.FormatFloat(n)) }
func (w *writer) rate(key string, n float64)     { w.text(key, inifile.FormatRate(n)) }
func (w *writer) bool(key string, v bool)        { w.text(key, strconv.FormatBool(v)) }
func (w *writer) list(key string, list []string) { w.text(key, strings.Join(list, ", ")) }

func (w *writer) head(b *Bundle) {
	w.section(kindBundle, "")
	w.text("version", strconv.FormatUint(b.Version, 10))
	w.text("previous", b.Previous)
}

func (w *writer) fleet(f Fleet) {
	w.section(kindFleet, "")
	w.rate("loads", f.LoadsPerSecond)
	w.int("loads-at-once", int64(f.LoadsAtOnce))
	w.int("transfers-in-flight", int64(f.TransfersInFlight))
	w.float("retry-percent", f.RetryPercent)
}

func (w *writer) model(m Model) {
	w.section(kindModel, m.Name)
	w.int("max-tokens", int64(m.MaxTokens))
	w.text("prefix", inifile.FormatBytes(int64(m.PrefixBytes)))
}

func (w *writer) group(g Group) {
	w.section(kindGroup, g.Name)
	w.text("kind", string(g.Kind))
	w.text("model", g.Model)
	w.int("queue-limit", int64(g.QueueLimit))
}

func (w *writer) endpoint(e Endpoint) {
	w.section(kindEndpoint, e.Name)
	w.text("group", e.Group)
	w.text("url", e.URL)
	w.text("failure-domain", e.FailureDomain)
	if e.Slots > 0 {
		w.int("slots", int64(e.Slots))
	}
	w.int("max-running", int64(e.MaxRunning))
	w.bool("checks-fencing", e.ChecksFencing)
	w.bool("leaving", e.Leaving)
}

func (w *writer) account(a Account) {
	w.section(kindAccount, a.Name)
	w.rate("rate", a.Rate)
	w.float("burst", a.Burst)
	w.float("weight", a.Weight)
}

func (w *writer) key(k Key) {
	w.section(kindKey, k.Name)
	w.text("account", k.Account)
	w.text("sha256", k.SHA256)
}

func (w *writer) adapter(a Adapter) {
	w.section(kindAdapter, a.Name)
	w.text("model", a.Model)
	w.list("versions", a.Versions)
	w.text("default", a.Default)
	w.list("accounts", a.Accounts)
}

func (w *writer) route(r Route) {
	w.section(kindRoute, r.Name)
	w.text("method", r.Method)
	w.text("path", r.Path)
	w.text("group", r.Group)
	w.bool("open", r.Open)
	w.list("accounts", r.Accounts)
	w.bool("idempotent", r.Idempotent)
	w.text("class", string(r.Class))
	w.int("cost", r.Cost)
	w.text("timeout", r.Timeout.String())
}
