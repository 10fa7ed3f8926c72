package inifile

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxNameBytes is the maximum length of the name of a section or key.
const MaxNameBytes = 256

// loadOptions switch off the extensions of the INI library that the format does not have. A dot in a name
// makes no child section, because the delimiter is a NUL, which checkText rejects. Duplicate sections are
// kept apart, because attachValues pairs sections by position.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	PreserveSurroundedQuote: true,
	AllowNonUniqueSections:  true,
	KeyValueDelimiters:      "=",
	ChildSectionDelimiter:   "\x00",
}

// File is a parsed INI file.
type File struct {
	Name     string
	Sections []*Section
}

// Parse parses data and adds problems to the report. It returns the sections that it could read even if
// there are problems, so that the caller can check their values and report all problems together.
func Parse(name string, data []byte, report *Report) *File {
	file := &File{Name: name}
	if reason := checkText(data); reason != "" {
		report.Add(Problem{File: name, Reason: reason})
		return file
	}
	s := newLineScanner(name, report)
	cleaned := s.blankMalformed(data)
	loaded, err := ini.LoadSources(loadOptions, cleaned)
	if err != nil {
		report.Add(Problem{File: name, Reason: err.Error()})
		return file
	}
	file.Sections = s.attachValues(loaded)
	return file
}

// checkText returns why data is not acceptable as text, or an empty string.
func checkText(data []byte) string {
	if !utf8.Valid(data) {
		return "not UTF-8 text"
	}
	if bytes.HasPrefix(data, []byte("\uFEFF")) {
		return "begins with a byte order mark"
	}
	if i := bytes.IndexFunc(data, isControl); i >= 0 {
		line := 1 + bytes.Count(data[:i], []byte("\n"))
		return fmt.Sprintf("line %d holds a control character", line)
	}
	return ""
}

func isControl(r rune) bool {
	return r < ' ' && r != '\n' && r != '\r' && r != '\t' || r == 0x7f
}

// lineScanner finds the malformed lines, and the line numbers of sections and keys, which the INI library
// does not provide.
type lineScanner struct {
	file     string
	report   *Report
	sections []*Section
	// sectionLines holds the line of the last section with each name.
	sectionLines map[string]int
}

func newLineScanner(file string, report *Report) *lineScanner {
	return &lineScanner{file: file, report: report, sectionLines: map[string]int{}}
}

// blankMalformed scans the data and returns them with malformed lines replaced by empty ones, so that the
// library can read all others.
func (s *lineScanner) blankMalformed(data []byte) []byte {
	cleaned := make([]byte, 0, len(data)+1)
	number := 0
	for rest := data; len(rest) > 0; {
		number++
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if s.scanLine(number, string(bytes.TrimSpace(line))) {
			cleaned = append(cleaned, line...)
		}
		cleaned = append(cleaned, '\n')
	}
	return cleaned
}

// scanLine records a section header or key and reports whether to pass the line on to the library.
func (s *lineScanner) scanLine(number int, text string) bool {
	if text == "" || text[0] == '#' || text[0] == ';' {
		return true
	}
	if text[0] == '[' {
		return s.scanSection(number, text)
	}
	return s.scanKey(number, text)
}

func (s *lineScanner) scanSection(number int, text string) bool {
	name := strings.TrimSuffix(text[1:], "]")
	section := &Section{Name: name, Line: number, file: s.file, report: s.report}
	s.sections = append(s.sections, section)
	if len(name) != len(text)-2 || !validName(name) {
		section.malformed = true
		s.report.Add(Problem{File: s.file, Line: number, Reason: "malformed section header"})
		return false
	}
	if first, ok := s.sectionLines[name]; ok {
		s.report.Add(Problem{
			File: s.file, Line: number, Section: name,
			Reason: fmt.Sprintf("section stands twice, first in line %d", first),
		})
	}
	s.sectionLines[name] = number
	return true
}

func validName(name string) bool {
	if name == "" || len(name) > MaxNameBytes || strings.TrimSpace(name) != name {
		return false
	}
	return !strings.ContainsAny(name, "[]\"`=#;")
}

func (s *lineScanner) scanKey(number int, text string) bool {
	name, value, ok := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	if !ok || !validName(name) {
		s.addProblem(number, "", "neither a comment, a section nor key = value")
		return false
	}
	if len(s.sections) == 0 {
		s.addProblem(number, name, "key outside a section")
		return false
	}
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"`) {
		s.addProblem(number, name, "quoted values are not allowed")
		return false
	}
	section := s.sections[len(s.sections)-1]
	if first := section.find(name); first != nil {
		section.Fail(name, "key stands twice, first in line %d", first.line)
		return false
	}
	section.entries = append(section.entries, entry{name: name, line: number})
	return !section.malformed
}

func (s *lineScanner) addProblem(number int, key, reason string) {
	p := Problem{File: s.file, Line: number, Key: key, Reason: reason}
	if n := len(s.sections); n > 0 {
		p.Section = s.sections[n-1].Name
	}
	s.report.Add(p)
}

// attachValues sets the values that the library has read, and returns the sections without malformed
// ones. The library did not get the headers of malformed sections. Its first section is the default one,
// for keys before the first header; the others are in the order in which the scanner found them.
func (s *lineScanner) attachValues(loaded *ini.File) []*Section {
	values := loaded.Sections()[1:]
	var sections []*Section
	for _, section := range s.sections {
		if section.malformed {
			continue
		}
		source := values[len(sections)]
		for i := range section.entries {
			e := &section.entries[i]
			e.value = source.Key(e.name).Value()
		}
		sections = append(sections, section)
	}
	return sections
}
