package daemonconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/tomlfile"
)

// servicePart is a service's part of the policy: its source, classes that only requests of its instances have, and
// bans of its servers. Each source belongs to one service, which has the same name. A daemon holds the parts of the
// sources of its instances.
type servicePart struct {
	name     string         // the service's name
	file     *tomlfile.File // nil: the part is the intersection of two policies
	Source   []sourceTable
	Class    []classTable
	Ban      []banTable
	complete bool // Class has all classes of the service: the part is the intersection of two policies
}

// tableOrigin is the origin of a table in a list: a file, and the table's key in that file. file is nil for the
// daemon's file and the global part.
type tableOrigin struct {
	file *tomlfile.File
	key  string
}

// readServicePart reads the text of a service's part. The part may only set what belongs to the service, so that two
// parts never change the same settings.
func readServicePart(name, service string, body []byte) (*servicePart, error) {
	var tables struct {
		Source []sourceTable
		Class  []classTable
		Ban    []banTable
	}
	file, err := tomlfile.Parse(name, body, &tables)
	if err != nil {
		return nil, err
	}
	p := &servicePart{name: service, file: file, Source: tables.Source, Class: tables.Class, Ban: tables.Ban}
	for i := range p.Source {
		source := &p.Source[i]
		source.Name = cmp.Or(source.Name, service)
		if source.Name != service || i > 0 {
			return nil, file.Errorf(fmt.Sprintf("source[%d].name", i), "%q: the part of %s may have one source, with the service's name or without a name", source.Name, service)
		}
	}
	for i := range p.Ban {
		ban := &p.Ban[i]
		ban.Source = cmp.Or(ban.Source, service)
		if ban.Source != service {
			return nil, file.Errorf(fmt.Sprintf("ban[%d].source", i), "%q: the part of %s may ban servers of its own source only", ban.Source, service)
		}
	}
	return p, nil
}

// part returns a service's part, or nil if there is none.
func (s *sharedTables) part(service string) *servicePart {
	for _, p := range s.services {
		if p.name == service {
			return p
		}
	}
	return nil
}

// applyServices merges the services' sources and bans into the other sources and bans. Classes are not merged here,
// since they apply to one service only: see sharedTables.classes.
func (o *Overlay) applyServices(s *sharedTables) {
	o.origins = map[string]tableOrigin{}
	s.services = o.services
	s.Source = slices.Clone(s.Source)
	s.Ban = slices.Clone(s.Ban)
	for _, p := range o.services {
		for i, source := range p.Source {
			n := slices.IndexFunc(s.Source, func(x sourceTable) bool { return x.Name == source.Name })
			if n < 0 {
				n = len(s.Source)
				s.Source = append(s.Source, source)
			}
			s.Source[n] = source
			o.origins[fmt.Sprintf("source[%d]", n)] = tableOrigin{p.file, fmt.Sprintf("source[%d]", i)}
		}
		for i, ban := range p.Ban {
			o.origins[fmt.Sprintf("ban[%d]", len(s.Ban))] = tableOrigin{p.file, fmt.Sprintf("ban[%d]", i)}
			s.Ban = append(s.Ban, ban)
		}
	}
}

// checkConflicts returns an error if a service's part and the global part define the same class or source: neither
// has priority.
func (o *Overlay) checkConflicts() error {
	for _, p := range o.services {
		if p.file == nil {
			continue
		}
		for i, class := range p.Class {
			isSame := func(x classTable) bool { return x.Name == class.Name }
			if o.tables["class"] && slices.ContainsFunc(o.Class, isSame) {
				return p.file.Errorf(fmt.Sprintf("class[%d].name", i), "%q is a class of the global part already", class.Name)
			}
		}
		isSame := func(x sourceTable) bool { return x.Name == p.name }
		if len(p.Source) > 0 && o.tables["source"] && slices.ContainsFunc(o.Source, isSame) {
			return p.file.Errorf("source[0].name", "%q is a source of the global part already", p.name)
		}
	}
	return nil
}

// classes returns the classes that a service's instances may have. Classes of its part replace classes of the same
// name, or are added. origins holds the origins of the part's classes.
func (s *sharedTables) classes(service string) (classes []classTable, origins map[string]tableOrigin) {
	p := s.part(service)
	if p == nil {
		return s.Class, nil
	}
	if !p.complete {
		classes = slices.Clone(s.Class)
	}
	origins = map[string]tableOrigin{}
	for i, class := range p.Class {
		n := slices.IndexFunc(classes, func(x classTable) bool { return x.Name == class.Name })
		if n < 0 {
			n = len(classes)
			classes = append(classes, class)
		}
		classes[n] = class
		if p.file != nil {
			origins[fmt.Sprintf("class[%d]", n)] = tableOrigin{p.file, fmt.Sprintf("class[%d]", i)}
		}
	}
	return classes, origins
}

// ReplaceDocuments returns documents after changes: a change's document replaces the one of the same part, or is
// added.
func ReplaceDocuments(documents []policy.Document, changes []*policy.Document) []policy.Document {
	replaced := slices.Clone(documents)
	for _, change := range changes {
		for _, document := range change.Documents() {
			i := slices.IndexFunc(replaced, func(d policy.Document) bool { return d.Part == document.Part })
			if i >= 0 {
				replaced[i] = document
			} else {
				replaced = append(replaced, document)
			}
		}
	}
	return replaced
}

// documentName returns the name of a document in errors.
func documentName(d *policy.Document) string {
	name := "policy"
	if d.Number > 0 {
		name = fmt.Sprintf("policy %d", d.Number)
	}
	if d.Part != "" {
		name += " of " + d.Part
	}
	return name
}

// overlayOf reads documents of the policy. It returns nil if none of them has a text.
func overlayOf(documents []policy.Document) (*Overlay, error) {
	var o *Overlay
	var services []*servicePart
	for i := range documents {
		d := &documents[i]
		if d.Number == 0 && len(d.Body) == 0 {
			continue
		}
		if d.Part != "" {
			continue
		}
		global, err := readPolicy(documentName(d), d.Body)
		if err != nil {
			return nil, err
		}
		o = global
	}
	for i := range documents {
		d := &documents[i]
		if d.Part == "" || d.Number == 0 && len(d.Body) == 0 {
			continue
		}
		part, err := readServicePart(documentName(d), d.Part, d.Body)
		if err != nil {
			return nil, err
		}
		if o == nil {
			o = &Overlay{tables: map[string]bool{}, name: documentName(d)}
		}
		services = append(services, part)
	}
	if o != nil {
		slices.SortFunc(services, func(a, b *servicePart) int { return strings.Compare(a.name, b.name) })
		o.services = services
	}
	return o, nil
}
