package daemonconfig

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"vetchhaven/internal/tomlfile"
)

// intersect returns a policy that allows only what both policies allow: retries by the stricter rule and the shorter
// deduplication window, the lower number of attempts, the lower limits, and the bans of both. A member serves by it
// while it is uncertain which of the two is active. If the policies differ in sources, the site, other rules, or the
// way in which limits are shared, no such policy exists, and intersect returns an error.
func intersect(a, b sharedTables) (*Overlay, error) {
	if err := checkEqualTables(a, b); err != nil {
		return nil, err
	}
	rules, err := intersectRules(*a.Rules, *b.Rules)
	if err != nil {
		return nil, err
	}
	both := sharedTables{Source: a.Source, Site: a.Site, Rules: &rules, Peers: a.Peers}
	both.Class = intersectClasses(a.Class, b.Class)
	if len(both.Class) == 0 {
		return nil, errors.New("the two policies have no class in common")
	}
	limits, err := intersectLimits(a.Limit, b.Limit)
	if err != nil {
		return nil, err
	}
	both.Limit = slices.DeleteFunc(limits, func(l limitTable) bool { // drops limits of a class that only one policy has
		return l.Class != "" && !slices.ContainsFunc(both.Class, func(c classTable) bool { return c.Name == l.Class })
	})
	both.Ban = append(slices.Clone(a.Ban), b.Ban...)
	services, err := intersectServices(a, b)
	if err != nil {
		return nil, err
	}
	o := &Overlay{sharedTables: both, services: services, name: "what both policies allow", tables: map[string]bool{}}
	for _, table := range sharedTableNames {
		o.tables[table] = table != "peers" || both.Peers != nil
	}
	return o, nil
}

// checkEqualTables returns an error if the policies differ in tables that can't be intersected.
func checkEqualTables(a, b sharedTables) error {
	switch {
	case !reflect.DeepEqual(a.Source, b.Source):
		return errors.New("the two policies differ in [source]")
	case !reflect.DeepEqual(a.Site, b.Site):
		return errors.New("the two policies differ in [site]")
	case !reflect.DeepEqual(a.Peers, b.Peers):
		return errors.New("the two policies differ in [peers]")
	}
	return nil
}

func intersectRules(a, b rulesTable) (rulesTable, error) {
	both := a
	both.MaxAttempts = fewerAttempts(a.MaxAttempts, b.MaxAttempts)
	both.Hedging = a.Hedging && b.Hedging
	a.MaxAttempts = b.MaxAttempts
	a.Hedging = b.Hedging
	if !reflect.DeepEqual(a, b) {
		return both, errors.New("the two policies differ in [rules]")
	}
	return both, nil
}

// fewerAttempts returns the lower of two numbers of attempts. 0 means the default.
func fewerAttempts(a, b int) int {
	if a == 0 {
		a = defaultMaxAttempts
	}
	if b == 0 {
		b = defaultMaxAttempts
	}
	return min(a, b)
}

// intersectClasses returns the classes that both policies have, each with the stricter settings.
func intersectClasses(a, b []classTable) []classTable {
	var both []classTable
	for _, x := range a {
		if i := slices.IndexFunc(b, func(y classTable) bool { return y.Name == x.Name }); i >= 0 {
			both = append(both, intersectClass(x, b[i]))
		}
	}
	return both
}

// scopesByStrictness lists the deduplication scopes from the narrowest to the widest. An empty scope means the
// default, all.
var scopesByStrictness = []string{"pod", "zone", "all", ""}

func intersectClass(a, b classTable) classTable {
	both := a
	both.Objective = shorter(a.Objective, b.Objective)
	both.Deadline = shorter(a.Deadline, b.Deadline)
	both.Value = min(a.Value, b.Value)
	both.LateValue = min(a.LateValue, b.LateValue)
	switch {
	case a.Effect == b.Effect && a.Effect == "keyed":
		both.Scope = scopesByStrictness[min(slices.Index(scopesByStrictness, a.Scope), slices.Index(scopesByStrictness, b.Scope))]
		both.DedupWindow = shorter(a.DedupWindow, b.DedupWindow)
	case a.Effect != b.Effect:
		both.Effect = "unsafe"
		both.Scope = ""
		both.DedupWindow = tomlfile.Duration{}
	}
	return both
}

func shorter(a, b tomlfile.Duration) tomlfile.Duration {
	if b.D() < a.D() {
		return b
	}
	return a
}

// intersectLimits returns the limits of both policies. A limit that both have gets the lower figures.
func intersectLimits(a, b []limitTable) ([]limitTable, error) {
	var both []limitTable
	for _, x := range a {
		if i := slices.IndexFunc(b, func(y limitTable) bool { return y.Name == x.Name }); i >= 0 {
			y := b[i]
			x.Total = min(x.Total, y.Total)
			x.Floor = min(x.Floor, y.Floor)
			y.Total = x.Total
			y.Floor = x.Floor
			if !reflect.DeepEqual(x, y) {
				return nil, fmt.Errorf("the two policies count or scope limit %s differently", x.Name)
			}
		}
		both = append(both, x)
	}
	for _, y := range b {
		if !slices.ContainsFunc(a, func(x limitTable) bool { return x.Name == y.Name }) {
			both = append(both, y)
		}
	}
	return both, nil
}

// intersectServices returns the classes that both policies allow, for each service that has a part in either policy.
// intersect handles the services' sources and bans together with all others.
func intersectServices(a, b sharedTables) ([]*servicePart, error) {
	var names []string
	for _, part := range slices.Concat(a.services, b.services) {
		names = append(names, part.name)
	}
	slices.Sort(names)
	var services []*servicePart
	for _, name := range slices.Compact(names) {
		classesOfA, _ := a.classes(name)
		classesOfB, _ := b.classes(name)
		part := &servicePart{name: name, complete: true, Class: intersectClasses(classesOfA, classesOfB)}
		if len(part.Class) == 0 {
			return nil, fmt.Errorf("the two policies have no class of %s in common", name)
		}
		services = append(services, part)
	}
	return services, nil
}
