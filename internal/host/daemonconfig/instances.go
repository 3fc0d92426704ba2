package daemonconfig

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldap"
	"vetchhaven/internal/wire"
)

// serviceClasses are the classes of a service that has a part of the policy.
type serviceClasses struct {
	settings decide.Settings
	classes  []string
	list     []classTable
}

// serviceClasses checks the classes of a service that has a part of the policy.
func (c *checker) serviceClasses(f *fileTables, cfg *Config, name string) (x serviceClasses) {
	x.list, c.origins = c.overlay.applied.classes(name)
	x.settings, x.classes = c.settings(f, x.list)
	for i, k := range x.settings.Classes {
		if cfg.Limits != nil && k.Deadline > cfg.Limits.MaxAttemptTime {
			c.fail(fmt.Sprintf("class[%d].deadline", i), "%v is past the longest of the classes for all, %v: limits that the fleet shares are lent for so long", k.Deadline, cfg.Limits.MaxAttemptTime)
		}
	}
	c.origins = nil
	return x
}

func (c *checker) instances(f *fileTables, cfg *Config, settings decide.Settings, classes []string) {
	seen, listens := map[string]string{}, map[Address]string{}
	options := c.ldap(f)
	all, common := settings, classes
	services := map[string]serviceClasses{} // those that have a part of the policy
	add := func(key string, in instanceTable) {
		at := func(field string) string { return key + "." + field }
		d := &f.Defaults
		in.Protocol = cmp.Or(in.Protocol, d.Protocol, "http")
		in.Source, in.Zone, in.MaxOpen, in.Weight = cmp.Or(in.Source, d.Source), cmp.Or(in.Zone, d.Zone), cmp.Or(in.MaxOpen, d.MaxOpen), cmp.Or(in.Weight, d.Weight)
		if in.Classes == nil {
			in.Classes = d.Classes
		}
		if !c.Has(at("tick")) {
			in.Tick = d.Tick
		}
		if in.Name == "" || strings.ContainsAny(in.Name, " \t\n\"") {
			c.fail(at("name"), "%q is no name", in.Name)
		}
		if other := seen[in.Name]; other != "" {
			c.fail(at("name"), "%q is there twice (%s)", in.Name, other)
		}
		seen[in.Name] = key
		listen := c.address(at("listen"), in.Listen)
		if other := listens[listen]; other != "" {
			c.fail(at("listen"), "%s is %s's already", listen, other)
		}
		listens[listen] = in.Name
		if in.Source == "" && len(f.Source) == 1 {
			in.Source = f.Source[0].Name
		}
		if _, ok := cfg.Sources[in.Source]; !ok {
			c.fail(at("source"), "%q is no source", in.Source)
		}
		if in.MaxOpen < 0 || in.Weight < 0 {
			c.fail(at("max_open"), "max_open and weight are not negative")
		}
		settings, classes, list := all, common, f.Class
		if c.overlay != nil && c.overlay.applied.part(in.Source) != nil {
			if _, ok := services[in.Source]; !ok {
				services[in.Source] = c.serviceClasses(f, cfg, in.Source)
			}
			x := services[in.Source]
			settings, classes, list = x.settings, x.classes, x.list
		}
		s := settings
		site := wire.Site{Zones: f.Site.Zones, Kinds: f.Site.Kinds, MaxOpen: in.MaxOpen,
			IdleClose: c.positiveDuration("rules.idle_close", f.Rules.IdleClose, 5*time.Second), LoadInline: true}
		s.Zone = c.choice(at("zone"), cmp.Or(in.Zone, f.Site.Zones[0]), f.Site.Zones)
		s.Tick = c.duration(at("tick"), in.Tick, 0)
		h := fnv.New32a()
		h.Write([]byte(in.Name))
		s.Self = int(h.Sum32()) // what matters is that no two have the same: each keeps to servers in an order of its own
		site.Classes = classes
		var speaks *ldap.Options
		switch in.Protocol {
		case "http":
		case "ldap":
			speaks = options
			if in.Classes == nil {
				in.Classes = slices.DeleteFunc(slices.Clone(classes), func(n string) bool { return !ldap.Known(n) })
			}
			c.ldapClasses(at("classes"), in.Classes, list)
		default:
			c.fail(at("protocol"), "%q is none of http, ldap", in.Protocol)
		}
		if in.Classes != nil {
			site.Classes, s.Classes = nil, nil
			for _, name := range in.Classes {
				n := c.choice(at("classes"), name, classes)
				site.Classes, s.Classes = append(site.Classes, name), append(s.Classes, settings.Classes[n])
			}
			if len(in.Classes) == 0 {
				c.fail(at("classes"), "none is named")
			}
		}
		cfg.Instances = append(cfg.Instances, Instance{Name: in.Name, Listen: listen, Source: in.Source, LDAP: speaks, Agent: core.Config{
			Name: in.Name, Settings: s, Site: site, Margin: cmp.Or(s.Tick, defaultMargin), Weight: cmp.Or(in.Weight, 1)}})
	}
	for i, in := range f.Instance {
		add(fmt.Sprintf("instance[%d]", i), in)
	}
	for i, tpl := range f.Template {
		key := fmt.Sprintf("template[%d]", i)
		if tpl.Count < 1 || tpl.Count > maxInstances {
			c.fail(key+".count", "%d: 1 to %d are allowed", tpl.Count, maxInstances)
		}
		for n := range tpl.Count {
			if c.err != nil {
				return
			}
			in := tpl.instanceTable
			fill := strings.NewReplacer("{n}", strconv.Itoa(tpl.First+n), "{port}", strconv.Itoa(tpl.Port+n))
			in.Name, in.Listen = fill.Replace(in.Name), fill.Replace(in.Listen)
			add(key, in)
		}
	}
	switch {
	case len(cfg.Instances) == 0:
		c.fail("instance", "at least one [[instance]] or [[template]] is needed")
	case len(cfg.Instances) > maxInstances:
		c.fail("instance", "%d in all: %d are allowed", len(cfg.Instances), maxInstances)
	}
	if other := listens[cfg.Admin]; other != "" {
		c.fail("admin", "%s is %s's", cfg.Admin, other)
	}
	slices.SortFunc(cfg.Instances, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
}

// ldapClasses checks the classes of an instance that speaks LDAP.
func (c *checker) ldapClasses(key string, names []string, list []classTable) {
	for _, n := range ldap.Needed {
		if !slices.Contains(names, n) {
			c.fail(key, "an instance that speaks LDAP needs a class %q", n)
		}
	}
	for _, n := range names {
		if !ldap.Known(n) {
			c.fail(key, "%q is no class of operations of LDAP", n)
		}
		for _, k := range list {
			if k.Name == n && k.Effect == "keyed" {
				c.fail(key, "%q is keyed: operations of LDAP have no key", n)
			}
		}
	}
}

// ldap reads the table of those that speak LDAP. Its files are read too, so that what can't be used is
// found before anything changes.
func (c *checker) ldap(f *fileTables) *ldap.Options {
	t := &f.LDAP
	path := func(p string) string {
		if p == "" || filepath.IsAbs(p) {
			return p
		}
		return filepath.Join(filepath.Dir(c.Path), p)
	}
	o := &ldap.Options{MostMessage: t.MaxMessage, MostOpen: t.MaxOperations, Shared: t.PerConnection, Idle: c.duration("ldap.idle", t.Idle, 0),
		Certificate: path(t.Certificate), Key: path(t.Key), LDAPS: t.LDAPS, ServerTLS: t.ServerTLS, ServerCA: path(t.ServerCA), ServerName: t.ServerName}
	for _, f := range []struct { // in their order: of several mistakes the same one is told each time
		key string
		v   int
	}{{"ldap.max_message", t.MaxMessage}, {"ldap.max_operations", t.MaxOperations}, {"ldap.per_connection", t.PerConnection}} {
		if f.v < 0 {
			c.fail(f.key, "%d is negative", f.v)
		}
	}
	if err := o.Check(); err != nil {
		c.fail("ldap", "%v", err)
		return o
	}
	sum := fnv.New64a()
	for _, p := range []string{o.Certificate, o.Key, o.ServerCA} {
		if p != "" {
			text, err := os.ReadFile(p)
			if err != nil {
				c.fail("ldap", "%v", err)
			}
			_, _ = sum.Write(text)
		}
	}
	o.Loaded = strconv.FormatUint(sum.Sum64(), 16)
	return o
}
