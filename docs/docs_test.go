// Package docs holds the project's pages and checks what they name against the code.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// source returns the text of every Go file outside of tests.
func source(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		all.Write(data)
		return err
	})
	require.NoError(t, err)
	return all.String()
}

var (
	quoted   = regexp.MustCompile("`([^`]+)`")
	event    = regexp.MustCompile(`^[a-z]+(_[a-z]+)+$`)
	metric   = regexp.MustCompile(`^(owner|entry|request|ledger|bundle|gateway|orders|upstream|store|log)(\.[a-z_]+)+$`)
	codeName = regexp.MustCompile(`^entry\.results\.([a-z-]+)$`)
)

// TestOperationsNamesWhatExists holds each metric, event and code that the page names against the
// string literals of the code.
func TestOperationsNamesWhatExists(t *testing.T) {
	page, err := os.ReadFile("OPERATIONS.md")
	require.NoError(t, err)
	code := source(t)
	checked := 0
	for _, match := range quoted.FindAllStringSubmatch(string(page), -1) {
		word, _, _ := strings.Cut(match[1], " ")
		name := word
		if m := codeName.FindStringSubmatch(word); m != nil {
			name = m[1]
		} else if !event.MatchString(word) && !metric.MatchString(word) || strings.HasPrefix(word, "mallowlink_") {
			continue
		}
		checked++
		require.Contains(t, code, `"`+name+`"`, "the page names %q", word)
	}
	require.Greater(t, checked, 80)
}

var link = regexp.MustCompile(`\]\(([^)#:]+)\)`)

// TestLinksLead holds every relative link between the pages against the files.
func TestLinksLead(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
	incidents, err := filepath.Glob("incidents/*.md")
	require.NoError(t, err)
	pages = append(pages, incidents...)
	pages = append(pages, "../README.md", "../CONTRIBUTING.md", "../DEVELOPERS.md")
	for _, page := range pages {
		data, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range link.FindAllStringSubmatch(string(data), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), match[1]))
			require.NoError(t, err, "%s links to %s", page, match[1])
		}
	}
}
