// Package inifile reads INI files strictly. Every problem is reported with file, line, section, key
// and reason, and all problems of a file are reported together.
//
// A file consists of comments (# or ; at the start of a line), sections ([name]) and keys (key = value).
// There are no inline comments, no quoting, no continuation lines and no interpolation. Duplicate
// sections and keys, unknown sections and keys, and values without their unit are problems.
package inifile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a file. Line is 0 and Section and Key are empty where they do not apply.
type Problem struct {
	File    string
	Line    int
	Section string
	Key     string
	Reason  string
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Reason)
	return b.String()
}

// Problems is the error that holds every problem found, sorted by file and line.
type Problems []Problem

// Error returns the problems, one on each line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Report collects the problems found in one or more files. It is not safe for concurrent use.
type Report struct {
	problems Problems
}

// Add adds a problem.
func (r *Report) Add(p Problem) { r.problems = append(r.problems, p) }

// Err returns the problems added so far as a Problems error, or nil if there are none.
func (r *Report) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	sorted := slices.Clone(r.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return sorted
}
