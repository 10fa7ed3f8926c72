package bundle

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/inifile"
)

// MaxBytes bounds the text of a bundle.
const MaxBytes = 64 << 20

// fileSuffix marks the files of a directory that belong to a bundle.
const fileSuffix = ".ini"

// Source is one text that a bundle is read from.
type Source struct {
	Name string
	Data []byte
}

// Load reads and checks a bundle from a file or from the .ini files of a directory.
func Load(path string) (*Bundle, error) {
	sources, err := ReadSources(path)
	if err != nil {
		return nil, err
	}
	return Parse(sources...)
}

// ReadSources reads a file, or the .ini files of a directory in the order of their names.
func ReadSources(path string) ([]Source, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "bundle")
	}
	names := []string{path}
	if info.IsDir() {
		names, err = filepath.Glob(filepath.Join(path, "*"+fileSuffix))
		if err != nil {
			return nil, errors.Wrap(err, "bundle")
		}
	}
	if len(names) == 0 {
		return nil, errors.Errorf("bundle: %s holds no %s file", path, fileSuffix)
	}
	return readAll(names)
}

func readAll(names []string) ([]Source, error) {
	var sources []Source
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "bundle")
		}
		sources = append(sources, Source{Name: name, Data: data})
	}
	return sources, nil
}

// Parse reads and checks a bundle as a whole. The error is an inifile.Problems with every fault.
// A text without a [bundle] section is a draft: its version is 0.
func Parse(sources ...Source) (*Bundle, error) {
	p := newParser()
	size := 0
	for _, source := range sources {
		size += len(source.Data)
	}
	if size > MaxBytes {
		p.report.Add(inifile.Problem{File: sources[0].Name, Reason: fmt.Sprintf("bundle is larger than %d bytes", MaxBytes)})
		return nil, p.report.Err()
	}
	for _, source := range sources {
		p.read(source)
	}
	p.validate()
	if err := p.report.Err(); err != nil {
		return nil, err
	}
	p.bundle.index = newIndex(p.bundle)
	return p.bundle, nil
}

// ref names one section of a bundle.
type ref struct {
	kind string
	name string
}

type parser struct {
	report *inifile.Report
	bundle *Bundle
	// first names the first source, for faults that have no place.
	first string
	where map[ref]*inifile.Section
	// unplaced stands for sections that are not in where.
	unplaced *inifile.Section
	// hasFleet says that there is a [fleet] section.
	hasFleet bool
	strings  map[string]string
}

func newParser() *parser {
	report := &inifile.Report{}
	return &parser{
		report:   report,
		unplaced: inifile.NewSection("", "", report),
		bundle: &Bundle{
			Models:    map[string]Model{},
			Groups:    map[string]Group{},
			Endpoints: map[string]Endpoint{},
			Adapters:  map[string]Adapter{},
			Routes:    map[string]Route{},
			Accounts:  map[string]Account{},
			Keys:      map[string]Key{},
		},
		where:   map[ref]*inifile.Section{},
		strings: map[string]string{},
	}
}

func (p *parser) read(source Source) {
	if p.first == "" {
		p.first = source.Name
	}
	file := inifile.Parse(source.Name, source.Data, p.report)
	for _, section := range file.Sections {
		p.section(section)
	}
}

// Kinds of section.
const (
	kindBundle   = "bundle"
	kindFleet    = "fleet"
	kindModel    = "model"
	kindGroup    = "group"
	kindEndpoint = "endpoint"
	kindAccount  = "account"
	kindKey      = "key"
	kindAdapter  = "adapter"
	kindRoute    = "route"
)

var readers = map[string]func(p *parser, s *inifile.Section, name string){
	kindBundle:   (*parser).readHead,
	kindFleet:    (*parser).readFleet,
	kindModel:    (*parser).readModel,
	kindGroup:    (*parser).readGroup,
	kindEndpoint: (*parser).readEndpoint,
	kindAccount:  (*parser).readAccount,
	kindKey:      (*parser).readKey,
	kindAdapter:  (*parser).readAdapter,
	kindRoute:    (*parser).readRoute,
}

func (p *parser) section(s *inifile.Section) {
	kind, name := s.SplitName()
	read := readers[kind]
	if read == nil {
		s.Fail("", "unknown section")
		return
	}
	named := kind != kindBundle && kind != kindFleet
	if named && !validName(name) {
		s.Fail("", "%q is not a valid name", name)
		return
	}
	if !named && name != "" {
		s.Fail("", "the section takes no name")
		return
	}
	at := ref{kind, name}
	if before := p.where[at]; before != nil {
		p.reportTwice(s, before)
		return
	}
	p.where[at] = s
	read(p, s, name)
	s.ReportUnknownKeys()
}

// reportTwice reports a section of two files; the INI reader reports the ones within a file.
func (p *parser) reportTwice(s, before *inifile.Section) {
	if s.File() != before.File() || s.Name != before.Name {
		s.Fail("", "section stands twice, first in %s:%d", before.File(), before.Line)
	}
}

// intern returns one copy of strings that stand in many sections.
func (p *parser) intern(v string) string {
	if known, ok := p.strings[v]; ok {
		return known
	}
	p.strings[v] = v
	return v
}

func (p *parser) internAll(items []string) []string {
	for i, item := range items {
		items[i] = p.intern(item)
	}
	return items
}

// set returns the sorted list of a key whose order does not matter.
func (p *parser) set(s *inifile.Section, key string) []string {
	items := p.internAll(s.List(key))
	slices.Sort(items)
	return items
}
