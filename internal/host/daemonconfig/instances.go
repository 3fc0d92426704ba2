package daemonconfig

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldap"
	"vetchhaven/internal/wire"
)

// defaultIdleClose is how long a connection may be idle before it is closed.
const defaultIdleClose = 5 * time.Second

// instanceChecker checks all instances of a file. It also checks that no two have the same name or address.
type instanceChecker struct {
	*checker
	file     *fileTables
	cfg      *Config
	common   classSet
	services map[string]classSet // the classes of sources that have their own part of the policy
	ldap     *ldap.Options

	names     map[string]string  // instance name -> its key in the file
	addresses map[Address]string // listen address -> instance name
}

// instances checks all [[instance]] and [[template]] tables.
func (c *checker) instances(f *fileTables, cfg *Config, common classSet) {
	ic := &instanceChecker{
		checker:   c,
		file:      f,
		cfg:       cfg,
		common:    common,
		services:  map[string]classSet{},
		ldap:      c.ldapOptions(f),
		names:     map[string]string{},
		addresses: map[Address]string{},
	}
	for i := range f.Instance {
		ic.add(fmt.Sprintf("instance[%d]", i), f.Instance[i])
	}
	for i := range f.Template {
		ic.addTemplate(fmt.Sprintf("template[%d]", i), &f.Template[i])
		if c.err != nil {
			return
		}
	}
	switch count := len(cfg.Instances); {
	case count == 0:
		c.fail("instance", "at least one [[instance]] or [[template]] is needed")
	case count > maxInstances:
		c.fail("instance", "%d instances in all: at most %d are allowed", count, maxInstances)
	}
	if name := ic.addresses[cfg.Admin]; name != "" {
		c.fail("admin", "%s is already used by instance %s", cfg.Admin, name)
	}
	slices.SortFunc(cfg.Instances, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
}

// addTemplate adds the instances that a template defines.
func (c *instanceChecker) addTemplate(key string, t *templateTable) {
	if t.Count < 1 || t.Count > maxInstances {
		c.fail(key+".count", "%d: 1 to %d are allowed", t.Count, maxInstances)
	}
	for n := range t.Count {
		if c.err != nil {
			return
		}
		instance := t.instanceTable
		fill := strings.NewReplacer("{n}", strconv.Itoa(t.First+n), "{port}", strconv.Itoa(t.Port+n))
		instance.Name = fill.Replace(instance.Name)
		instance.Listen = fill.Replace(instance.Listen)
		c.add(key, instance)
	}
}

// add checks an instance and adds it to the configuration. key is its key in the file.
func (c *instanceChecker) add(key string, t instanceTable) {
	at := func(field string) string { return key + "." + field }
	c.applyDefaults(&t, c.Has(at("tick")))
	if t.Name == "" || strings.ContainsAny(t.Name, " \t\n\"") {
		c.fail(at("name"), "%q is not a valid name", t.Name)
	}
	if duplicate := c.names[t.Name]; duplicate != "" {
		c.fail(at("name"), "%q is used twice (%s)", t.Name, duplicate)
	}
	c.names[t.Name] = key
	listen := c.address(at("listen"), t.Listen)
	if owner := c.addresses[listen]; owner != "" {
		c.fail(at("listen"), "%s is already used by instance %s", listen, owner)
	}
	c.addresses[listen] = t.Name
	if t.Source == "" && len(c.file.Source) == 1 {
		t.Source = c.file.Source[0].Name
	}
	if _, ok := c.cfg.Sources[t.Source]; !ok {
		c.fail(at("source"), "there is no source %q", t.Source)
	}
	if t.MaxOpen < 0 || t.Weight < 0 {
		c.fail(at("max_open"), "max_open and weight must not be negative")
	}
	classes := c.classesOf(t.Source)
	settings := classes.settings
	site := wire.Site{
		Zones:      c.file.Site.Zones,
		Kinds:      c.file.Site.Kinds,
		MaxOpen:    t.MaxOpen,
		IdleClose:  c.positiveDuration("rules.idle_close", c.file.Rules.IdleClose, defaultIdleClose),
		LoadInline: true,
		Classes:    classes.names,
	}
	settings.Zone = c.choice(at("zone"), cmp.Or(t.Zone, c.file.Site.Zones[0]), c.file.Site.Zones)
	settings.Tick = c.duration(at("tick"), t.Tick, 0)
	settings.Self = balancerNumber(t.Name)
	options := c.protocol(at, &t, classes)
	if t.Classes != nil {
		site.Classes, settings.Classes = c.selectClasses(at("classes"), t.Classes, classes)
	}
	c.cfg.Instances = append(c.cfg.Instances, Instance{
		Name:   t.Name,
		Listen: listen,
		Source: t.Source,
		LDAP:   options,
		Agent: core.Config{
			Name:     t.Name,
			Settings: settings,
			Site:     site,
			Margin:   cmp.Or(settings.Tick, defaultMargin),
			Weight:   cmp.Or(t.Weight, 1),
		},
	})
}

// selectClasses returns the names and settings of the classes that an instance lists.
func (c *instanceChecker) selectClasses(key string, names []string, all classSet) (selected []string, settings []decide.Class) {
	for _, name := range names {
		n := c.choice(key, name, all.names)
		selected = append(selected, name)
		settings = append(settings, all.settings.Classes[n])
	}
	if len(names) == 0 {
		c.fail(key, "at least one class is needed")
	}
	return selected, settings
}

// applyDefaults sets the keys that an instance does not set to the values of [defaults].
func (c *instanceChecker) applyDefaults(t *instanceTable, hasTick bool) {
	d := &c.file.Defaults
	t.Protocol = cmp.Or(t.Protocol, d.Protocol, "http")
	t.Source = cmp.Or(t.Source, d.Source)
	t.Zone = cmp.Or(t.Zone, d.Zone)
	t.MaxOpen = cmp.Or(t.MaxOpen, d.MaxOpen)
	t.Weight = cmp.Or(t.Weight, d.Weight)
	if t.Classes == nil {
		t.Classes = d.Classes
	}
	if !hasTick {
		t.Tick = d.Tick
	}
}

// classesOf returns the classes that instances of a source may have: the common ones, or the source's own if the
// policy has a part for it.
func (c *instanceChecker) classesOf(source string) classSet {
	if c.overlay == nil || c.overlay.applied.part(source) == nil {
		return c.common
	}
	set, known := c.services[source]
	if !known {
		set = c.serviceClasses(source)
		c.services[source] = set
	}
	return set
}

// serviceClasses checks and returns the classes of a service that has its own part of the policy.
func (c *instanceChecker) serviceClasses(service string) classSet {
	tables, origins := c.overlay.applied.classes(service)
	c.origins = origins
	set := c.classes(c.file, tables)
	for i, class := range set.settings.Classes {
		if limits := c.cfg.Limits; limits != nil && class.Deadline > limits.MaxAttemptTime {
			c.fail(fmt.Sprintf("class[%d].deadline", i), "%v is longer than the longest deadline of the common classes, %v, on which leases of shared limits are based", class.Deadline, limits.MaxAttemptTime)
		}
	}
	c.origins = nil
	return set
}

// balancerNumber returns a number that distinguishes the balancers of a fleet, so that each prefers servers in a
// different order.
func balancerNumber(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return int(h.Sum32())
}

// protocol checks the protocol of an instance and, for LDAP, its classes. It returns nil for HTTP.
func (c *instanceChecker) protocol(at func(field string) string, t *instanceTable, classes classSet) *ldap.Options {
	switch t.Protocol {
	case "http":
		return nil
	case "ldap":
		if t.Classes == nil {
			t.Classes = slices.DeleteFunc(slices.Clone(classes.names), func(name string) bool { return !ldap.IsClass(name) })
		}
		c.ldapClasses(at("classes"), t.Classes, classes.tables)
		return c.ldap
	}
	c.fail(at("protocol"), "%q is none of http, ldap", t.Protocol)
	return nil
}

// ldapClasses checks the classes of an instance that speaks LDAP.
func (c *checker) ldapClasses(key string, names []string, tables []classTable) {
	for _, needed := range ldap.RequiredClasses {
		if !slices.Contains(names, needed) {
			c.fail(key, "an instance that speaks LDAP needs a class %q", needed)
		}
	}
	for _, name := range names {
		if !ldap.IsClass(name) {
			c.fail(key, "%q is not a class of LDAP operations", name)
		}
		for _, t := range tables {
			if t.Name == name && t.Effect == "keyed" {
				c.fail(key, "%q is keyed, but LDAP operations have no key", name)
			}
		}
	}
}

// ldapOptions checks [ldap]. It also reads the files that [ldap] names, so that an unusable file is found before any
// change is applied.
func (c *checker) ldapOptions(f *fileTables) *ldap.Options {
	t := &f.LDAP
	path := func(p string) string {
		if p == "" {
			return p
		}
		return c.resolvePath(p)
	}
	o := &ldap.Options{
		MaxMessage:  t.MaxMessage,
		MaxOpen:     t.MaxOperations,
		MaxShared:   t.PerConnection,
		MaxIdle:     c.duration("ldap.idle", t.Idle, 0),
		Certificate: path(t.Certificate),
		Key:         path(t.Key),
		LDAPS:       t.LDAPS,
		ServerTLS:   t.ServerTLS,
		ServerCA:    path(t.ServerCA),
		ServerName:  t.ServerName,
	}
	for _, bound := range []struct { // a slice and not a map, so that of several errors the same one is always reported
		key   string
		value int
	}{{"ldap.max_message", t.MaxMessage}, {"ldap.max_operations", t.MaxOperations}, {"ldap.per_connection", t.PerConnection}} {
		if bound.value < 0 {
			c.fail(bound.key, "%d is negative", bound.value)
		}
	}
	if err := o.Check(); err != nil {
		c.fail("ldap", "%v", err)
		return o
	}
	// The digest makes a reload replace the instance if the content of one of its files has changed.
	content := fnv.New64a()
	for _, p := range []string{o.Certificate, o.Key, o.ServerCA} {
		if p == "" {
			continue
		}
		text, err := os.ReadFile(p)
		if err != nil {
			c.fail("ldap", "%v", err)
		}
		_, _ = content.Write(text)
	}
	o.FilesDigest = strconv.FormatUint(content.Sum64(), 16)
	return o
}
