package settings

import (
	"fmt"
	"strings"
)

// Markdown returns a Markdown table of all keys. docs/SETTINGS.md contains this table.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| Section | Key | Value | Default | Meaning |\n|---|---|---|---|---|\n")
	for _, f := range fields() {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", f.section, f.key, f.kind, f.defaultText, f.doc)
	}
	return b.String()
}
