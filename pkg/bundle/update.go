package bundle

import (
	"bytes"
	"maps"
)

// textSection is one section of a canonical text.
type textSection struct {
	header []byte
	text   []byte
}

// textSections splits a canonical text.
func textSections(text []byte) []textSection {
	var list []textSection
	for len(text) > 0 {
		part, rest, _ := bytes.Cut(text, []byte("\n\n"))
		header, _, _ := bytes.Cut(part, []byte("\n"))
		list = append(list, textSection{header: header, text: part})
		text = rest
	}
	return list
}

// Update parses the text that follows the envelope e of bundle old, and reads only the sections that
// differ. The result is the same as that of e.Bundle on the text.
func Update(old *Bundle, e, next *Envelope) (*Bundle, error) {
	u := &update{parser: newParser()}
	u.copyFrom(old)
	if !u.merge(textSections(e.Body), textSections(next.Body)) {
		return next.Bundle()
	}
	u.parser.read(Source{Name: envelopeSource, Data: u.changed.Bytes()})
	u.parser.validate()
	if u.parser.report.Err() != nil || u.parser.bundle.Version == 0 {
		return next.Bundle()
	}
	b := u.parser.bundle
	b.index = newIndex(b)
	if !bytes.Equal(Canonical(b), next.Body) {
		return nil, ErrNotCanonical
	}
	return b, nil
}

// update collects the sections that differ between two canonical texts.
type update struct {
	parser  *parser
	changed bytes.Buffer
}

// copyFrom begins with the parts of the old bundle.
func (u *update) copyFrom(old *Bundle) {
	b := u.parser.bundle
	b.Fleet = old.Fleet
	u.parser.hasFleet = true
	b.Models = maps.Clone(old.Models)
	b.Groups = maps.Clone(old.Groups)
	b.Endpoints = maps.Clone(old.Endpoints)
	b.Adapters = maps.Clone(old.Adapters)
	b.Routes = maps.Clone(old.Routes)
	b.Accounts = maps.Clone(old.Accounts)
	b.Keys = maps.Clone(old.Keys)
}

// merge walks through both texts. It reports false if the later one is not in order.
func (u *update) merge(before, after []textSection) bool {
	i := 0
	for j, section := range after {
		if j > 0 && order(string(after[j-1].header), string(section.header)) >= 0 {
			return false
		}
		for i < len(before) && order(string(before[i].header), string(section.header)) < 0 {
			u.remove(before[i])
			i++
		}
		if i < len(before) && bytes.Equal(before[i].header, section.header) {
			i++
			if bytes.Equal(before[i-1].text, section.text) && string(section.header) != "["+kindBundle+"]" {
				continue
			}
			u.remove(before[i-1])
		}
		u.changed.Write(section.text)
		u.changed.WriteString("\n")
	}
	for _, gone := range before[i:] {
		u.remove(gone)
	}
	return true
}

// remove takes the section's part out of the bundle.
func (u *update) remove(s textSection) {
	kind, name := splitHeader(string(s.header))
	b := u.parser.bundle
	switch kind {
	case kindFleet:
		u.parser.hasFleet = false
	case kindModel:
		delete(b.Models, name)
	case kindGroup:
		delete(b.Groups, name)
	case kindEndpoint:
		delete(b.Endpoints, name)
	case kindAdapter:
		delete(b.Adapters, name)
	case kindRoute:
		delete(b.Routes, name)
	case kindAccount:
		delete(b.Accounts, name)
	case kindKey:
		delete(b.Keys, name)
	}
}
