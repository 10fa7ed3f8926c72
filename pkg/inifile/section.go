package inifile

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Section is one section of a file. The methods that return a value report an invalid one, and record that
// the key has been requested; the keys never requested can then be reported as unknown. A Section is not
// safe for concurrent use.
type Section struct {
	Name string
	Line int

	file      string
	report    *Report
	entries   []entry
	malformed bool
}

// entry is a key of a section with its value and line.
type entry struct {
	name  string
	value string
	line  int
	// requested is set once the value has been read. Keys that are never requested are unknown.
	requested bool
}

// SplitName splits the section's name at the first space into a kind and a name, as in [group north]. The
// name is empty if there is no space.
func (s *Section) SplitName() (kind, name string) {
	kind, name, _ = strings.Cut(s.Name, " ")
	return kind, strings.TrimSpace(name)
}

// File returns the name of the file that contains the section.
func (s *Section) File() string { return s.file }

func (s *Section) find(key string) *entry {
	for i := range s.entries {
		if s.entries[i].name == key {
			return &s.entries[i]
		}
	}
	return nil
}

// Fail reports a problem with a key, at the key's line if the key is present, otherwise at the section's.
func (s *Section) Fail(key, format string, args ...any) {
	line := s.Line
	if e := s.find(key); e != nil {
		line = e.line
	}
	s.report.Add(Problem{
		File: s.file, Line: line, Section: s.Name, Key: key,
		Reason: fmt.Sprintf(format, args...),
	})
}

// ReportUnknownKeys reports as unknown every key whose value has not been requested.
func (s *Section) ReportUnknownKeys() {
	for i := range s.entries {
		if e := &s.entries[i]; !e.requested {
			s.Fail(e.name, "unknown key")
		}
	}
}

// Has reports whether the section contains the key. It does not count as a request for the value.
func (s *Section) Has(key string) bool { return s.find(key) != nil }

// value returns the key's value and whether there is one. It reports an empty value as a problem.
func (s *Section) value(key string) (string, bool) {
	e := s.find(key)
	if e == nil {
		return "", false
	}
	e.requested = true
	if e.value == "" {
		s.Fail(key, "empty value")
		return "", false
	}
	return e.value, true
}

// String returns the key's value, or fallback if the key is absent or has no value.
func (s *Section) String(key, fallback string) string {
	if v, ok := s.value(key); ok {
		return v
	}
	return fallback
}

// Required returns the key's value, and reports a problem if the key is absent.
func (s *Section) Required(key string) string {
	if !s.Has(key) {
		s.Fail(key, "missing key")
		return ""
	}
	return s.String(key, "")
}

// Enum returns the key's value, which must be one of the options, or fallback if the key is absent or its
// value is invalid.
func (s *Section) Enum(key, fallback string, options ...string) string {
	v, ok := s.value(key)
	if !ok {
		return fallback
	}
	for _, option := range options {
		if v == option {
			return v
		}
	}
	s.Fail(key, "%q is none of %s", v, strings.Join(options, ", "))
	return fallback
}

// URL returns the key's value, which must be an HTTP or HTTPS URL whose host is an IP address with a
// port, without user, query and fragment. It reports a problem if the key is absent.
func (s *Section) URL(key string) string {
	v := s.Required(key)
	if v != "" && !isURLByIP(v) {
		s.Fail(key, "%q is not a URL by IP, such as http://10.0.0.9:9000", v)
		return ""
	}
	return v
}

// isURLByIP reports whether v meets the conditions of Section.URL.
func isURLByIP(v string) bool {
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	if u.User != nil || u.RawQuery != "" || u.ForceQuery || u.Fragment != "" {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}

// List returns the comma-separated values of the key, or nil if the key is absent or has no value. It
// reports empty and duplicate items as problems.
func (s *Section) List(key string) []string {
	v, ok := s.value(key)
	if !ok {
		return nil
	}
	items := strings.Split(v, ",")
	for i, item := range items {
		items[i] = strings.TrimSpace(item)
	}
	s.checkItems(key, items)
	return items
}

// maxItemsWithoutSet is the length up to which duplicates are found by comparing items with each other.
// Longer lists are checked with a set.
const maxItemsWithoutSet = 16

func (s *Section) checkItems(key string, items []string) {
	var seen map[string]bool
	if len(items) > maxItemsWithoutSet {
		seen = make(map[string]bool, len(items))
	}
	for i, item := range items {
		if item == "" {
			s.Fail(key, "empty item in list")
			continue
		}
		if seen[item] || seen == nil && contains(items[:i], item) {
			s.Fail(key, "%q stands twice", item)
		}
		if seen != nil {
			seen[item] = true
		}
	}
}

func contains(items []string, item string) bool {
	for _, other := range items {
		if other == item {
			return true
		}
	}
	return false
}

// Bool returns true or false, or fallback if the key is absent or its value is invalid.
func (s *Section) Bool(key string, fallback bool) bool {
	return s.Enum(key, strconv.FormatBool(fallback), "true", "false") == "true"
}

// Int returns an integer from low to high, or fallback if the key is absent or its value is invalid.
func (s *Section) Int(key string, fallback, low, high int64) int64 {
	v, ok := s.value(key)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		s.Fail(key, "%q is not an integer", v)
		return fallback
	}
	if n < low || n > high {
		s.Fail(key, "%d is not between %d and %d", n, low, high)
		return fallback
	}
	return n
}

// Float returns a number from low to high, or fallback if the key is absent or its value is invalid.
func (s *Section) Float(key string, fallback, low, high float64) float64 {
	v, ok := s.value(key)
	if !ok {
		return fallback
	}
	n, err := parseFinite(v)
	if err != nil {
		s.Fail(key, "%q is not a number", v)
		return fallback
	}
	return s.checkRange(key, n, fallback, low, high)
}

// checkRange returns n if it lies between low and high. Otherwise it reports a problem and returns fallback.
func (s *Section) checkRange(key string, n, fallback, low, high float64) float64 {
	if n < low || n > high {
		s.Fail(key, "%s is not between %s and %s", FormatFloat(n), FormatFloat(low), FormatFloat(high))
		return fallback
	}
	return n
}

// Duration returns a duration from low to high, or fallback if the key is absent or its value is invalid.
func (s *Section) Duration(key string, fallback, low, high time.Duration) time.Duration {
	v, ok := s.value(key)
	if !ok {
		return fallback
	}
	d, err := ParseDuration(v)
	if err != nil {
		s.Fail(key, "%s", err)
		return fallback
	}
	if d < low || d > high {
		s.Fail(key, "%s is not between %s and %s", d, low, high)
		return fallback
	}
	return d
}

// Bytes returns a size from low to high bytes, or fallback if the key is absent or its value is invalid.
func (s *Section) Bytes(key string, fallback, low, high int64) int64 {
	v, ok := s.value(key)
	if !ok {
		return fallback
	}
	n, err := ParseBytes(v)
	if err != nil {
		s.Fail(key, "%s", err)
		return fallback
	}
	if n < low || n > high {
		s.Fail(key, "%s is not between %s and %s", FormatBytes(n), FormatBytes(low), FormatBytes(high))
		return fallback
	}
	return n
}

// Rate returns a rate per second from low to high, or fallback if the key is absent or its value is
// invalid.
func (s *Section) Rate(key string, fallback, low, high float64) float64 {
	v, ok := s.value(key)
	if !ok {
		return fallback
	}
	n, err := ParseRate(v)
	if err != nil {
		s.Fail(key, "%s", err)
		return fallback
	}
	return s.checkRange(key, n, fallback, low, high)
}

// parseFinite parses a number and rejects NaN and infinities.
func parseFinite(v string) (float64, error) {
	n, err := strconv.ParseFloat(v, 64)
	if err == nil && (math.IsNaN(n) || math.IsInf(n, 0)) {
		err = strconv.ErrRange
	}
	return n, err
}

// NewSection returns an empty section. It is used for a section that the file does not contain.
func NewSection(file, name string, report *Report) *Section {
	return &Section{Name: name, file: file, report: report}
}
