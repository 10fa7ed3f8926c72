package bundle

import (
	"slices"
	"strings"
)

// block is one section of a canonical text.
type block struct {
	header string
	lines  []string
}

// blocks splits a bundle's canonical text, without its [bundle] section.
func blocks(b *Bundle) []block {
	var list []block
	for _, part := range strings.Split(string(Canonical(b)), "\n\n")[1:] {
		lines := strings.Split(strings.TrimSuffix(part, "\n"), "\n")
		list = append(list, block{header: lines[0], lines: lines[1:]})
	}
	return list
}

// Diff describes the way from old to now in lines that begin with - (gone), + (new) or ~ (changed
// section). Versions are left out: equal contents give an empty text.
func Diff(old, now *Bundle) string {
	before, after := blocks(old), blocks(now)
	earlier := byHeader(before)
	later := byHeader(after)
	var w strings.Builder
	for _, header := range mergedHeaders(before, after) {
		was, had := earlier[header]
		is, has := later[header]
		writeChange(&w, header, change{was: was, had: had, is: is, has: has})
	}
	return w.String()
}

type change struct {
	was, is  []string
	had, has bool
}

func byHeader(list []block) map[string][]string {
	m := make(map[string][]string, len(list))
	for _, b := range list {
		m[b.header] = b.lines
	}
	return m
}

// mergedHeaders returns the headers of both texts, those of one kind by name, kinds in the order of
// the canonical form.
func mergedHeaders(before, after []block) []string {
	var headers []string
	i, j := 0, 0
	for i < len(before) && j < len(after) {
		switch order(before[i].header, after[j].header) {
		case -1:
			headers = append(headers, before[i].header)
			i++
		case 1:
			headers = append(headers, after[j].header)
			j++
		default:
			headers = append(headers, before[i].header)
			i, j = i+1, j+1
		}
	}
	for _, b := range before[i:] {
		headers = append(headers, b.header)
	}
	for _, b := range after[j:] {
		headers = append(headers, b.header)
	}
	return headers
}

var kindOrder = []string{kindFleet, kindModel, kindGroup, kindEndpoint, kindAccount, kindKey, kindAdapter, kindRoute}

// order compares two headers by the order of the canonical form.
func order(a, b string) int {
	kindA, nameA := splitHeader(a)
	kindB, nameB := splitHeader(b)
	if kindA != kindB {
		return compareInts(slices.Index(kindOrder, kindA), slices.Index(kindOrder, kindB))
	}
	return strings.Compare(nameA, nameB)
}

func splitHeader(header string) (kind, name string) {
	kind, name, _ = strings.Cut(strings.Trim(header, "[]"), " ")
	return kind, name
}

func compareInts(a, b int) int {
	if a < b {
		return -1
	}
	return 1
}

func writeChange(w *strings.Builder, header string, c change) {
	switch {
	case !c.has:
		w.WriteString("- " + header + "\n")
	case !c.had:
		w.WriteString("+ " + header + "\n")
		writeLines(w, "+   ", c.is, nil)
	case !slices.Equal(c.was, c.is):
		w.WriteString("~ " + header + "\n")
		writeLines(w, "-   ", c.was, c.is)
		writeLines(w, "+   ", c.is, c.was)
	}
}

// writeLines writes the lines that are not among the others.
func writeLines(w *strings.Builder, mark string, lines, others []string) {
	for _, line := range lines {
		if !slices.Contains(others, line) {
			w.WriteString(mark + line + "\n")
		}
	}
}
