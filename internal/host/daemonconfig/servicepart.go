package daemonconfig

import (
	"fmt"
	"slices"
	"strings"

	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/tomlfile"
)

// servicePart is a service's part of the policy: its source, classes that only requests of its instances have, and servers
// of it that are out. A service is what a source names; a daemon holds the parts of the sources of its instances.
type servicePart struct {
	name     string
	file     *tomlfile.File
	Source   []sourceTable
	Class    []classTable
	Ban      []banTable
	complete bool // its classes are all that the service has: what two policies both allow
}

// tableOrigin is where a table of a list comes from; file nil: from the file or the part for all, where key says.
type tableOrigin struct {
	file *tomlfile.File
	key  string
}

// readServicePart reads a service's part. What is in it is the service's alone, so that two parts never touch the same thing.
func readServicePart(name, service string, body []byte) (*servicePart, error) {
	p := &servicePart{name: service}
	var in struct {
		Source []sourceTable
		Class  []classTable
		Ban    []banTable
	}
	var err error
	if p.file, err = tomlfile.Parse(name, body, &in); err != nil {
		return nil, err
	}
	p.Source, p.Class, p.Ban = in.Source, in.Class, in.Ban
	for i := range p.Source {
		s, at := &p.Source[i], fmt.Sprintf("source[%d].name", i)
		if s.Name == "" {
			s.Name = service
		}
		if s.Name != service || i > 0 {
			return nil, p.file.Errorf(at, "%q: the part of %s has one source at the most, which has its name or none", s.Name, service)
		}
	}
	for i := range p.Ban {
		b, at := &p.Ban[i], fmt.Sprintf("ban[%d].source", i)
		if b.Source == "" {
			b.Source = service
		}
		if b.Source != service {
			return nil, p.file.Errorf(at, "%q: the part of %s bans servers of its own source", b.Source, service)
		}
	}
	return p, nil
}

// part is a service's part; nil: it has none.
func (s *sharedTables) part(service string) *servicePart {
	if i := slices.IndexFunc(s.services, func(p *servicePart) bool { return p.name == service }); i >= 0 {
		return s.services[i]
	}
	return nil
}

// applyServices puts services' sources and bans among the others. Their classes are laid over for each service by itself.
func (o *Overlay) applyServices(s *sharedTables) {
	s.services, o.origins = o.services, map[string]tableOrigin{}
	s.Source, s.Ban = slices.Clone(s.Source), slices.Clone(s.Ban)
	for _, p := range o.services {
		for i, one := range p.Source {
			n := slices.IndexFunc(s.Source, func(x sourceTable) bool { return x.Name == one.Name })
			if n < 0 {
				n = len(s.Source)
				s.Source = append(s.Source, one)
			}
			s.Source[n] = one
			o.origins[fmt.Sprintf("source[%d]", n)] = tableOrigin{p.file, fmt.Sprintf("source[%d]", i)}
		}
		for i, one := range p.Ban {
			o.origins[fmt.Sprintf("ban[%d]", len(s.Ban))] = tableOrigin{p.file, fmt.Sprintf("ban[%d]", i)}
			s.Ban = append(s.Ban, one)
		}
	}
}

// checkConflicts reports what services' parts have that the part for all has as well: which of the two holds nobody could say.
func (o *Overlay) checkConflicts() error {
	for _, p := range o.services {
		for i, k := range p.Class {
			if p.file != nil && o.tables["class"] && slices.ContainsFunc(o.Class, func(x classTable) bool { return x.Name == k.Name }) {
				return p.file.Errorf(fmt.Sprintf("class[%d].name", i), "%q is a class of the part for all", k.Name)
			}
		}
		if p.file != nil && len(p.Source) > 0 && o.tables["source"] && slices.ContainsFunc(o.Source, func(x sourceTable) bool { return x.Name == p.name }) {
			return p.file.Errorf("source[0].name", "%q is a source of the part for all", p.name)
		}
	}
	return nil
}

// classes are those that a service's instances may have: the part's in the place of others of their name, or besides. Placed
// says where each comes from.
func (s *sharedTables) classes(service string) (all []classTable, placed map[string]tableOrigin) {
	all = s.Class
	p := s.part(service)
	if p == nil {
		return all, nil
	}
	if all = slices.Clone(all); p.complete {
		all = nil
	}
	placed = map[string]tableOrigin{}
	for i, k := range p.Class {
		n := slices.IndexFunc(all, func(x classTable) bool { return x.Name == k.Name })
		if n < 0 {
			n = len(all)
			all = append(all, k)
		}
		all[n] = k
		if p.file != nil {
			placed[fmt.Sprintf("class[%d]", n)] = tableOrigin{p.file, fmt.Sprintf("class[%d]", i)}
		}
	}
	return all, placed
}

// ReplaceDocuments puts changes in the place of texts.
func ReplaceDocuments(texts []policy.Document, changes []*policy.Document) []policy.Document {
	all := slices.Clone(texts)
	for _, c := range changes {
		for _, x := range c.Documents() {
			if i := slices.IndexFunc(all, func(d policy.Document) bool { return d.Part == x.Part }); i >= 0 {
				all[i] = x
			} else {
				all = append(all, x)
			}
		}
	}
	return all
}

// documentName is what errors call a text.
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

// overlayOf reads the parts' texts; nil: none has any.
func overlayOf(texts []policy.Document) (*Overlay, error) {
	var o *Overlay
	for i := range texts {
		d := &texts[i]
		if d.Part != "" || d.Number == 0 && len(d.Body) == 0 {
			continue
		}
		var err error
		if o, err = readPolicy(documentName(d), d.Body); err != nil {
			return nil, err
		}
	}
	for i := range texts {
		d := &texts[i]
		if d.Part == "" || d.Number == 0 && len(d.Body) == 0 {
			continue
		}
		if o == nil {
			o = &Overlay{tables: map[string]bool{}, name: documentName(d)}
		}
		p, err := readServicePart(documentName(d), d.Part, d.Body)
		if err != nil {
			return nil, err
		}
		o.services = append(o.services, p)
	}
	if o != nil {
		slices.SortFunc(o.services, func(a, b *servicePart) int { return strings.Compare(a.name, b.name) })
	}
	return o, nil
}
