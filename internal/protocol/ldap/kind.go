package ldap

import (
	"time"

	"vetchhaven/internal/protocol/ldapmsg"
)

// kind is the kind of an operation. It belongs to the class of its name, where the settings have one, else to the class of
// its fallback kind.
type kind int

const (
	kindSearch kind = iota
	kindModify
	kindBind
	kindLookup // a search whose scope is the base object
	kindCompare
	kindAdd
	kindDelete
	kindModDN
	kindPassword
	kindExtended
	kinds // how many there are
)

// kindNames are the names of kinds, and of their classes in the settings.
var kindNames = [kinds]string{
	kindSearch:   "search",
	kindModify:   "modify",
	kindBind:     "bind",
	kindLookup:   "lookup",
	kindCompare:  "compare",
	kindAdd:      "add",
	kindDelete:   "delete",
	kindModDN:    "moddn",
	kindPassword: "password",
	kindExtended: "extended",
}

// kindFallbacks are the kinds whose classes are taken for kinds without a class of their own.
var kindFallbacks = [kinds]kind{
	kindSearch:   kindSearch,
	kindModify:   kindModify,
	kindBind:     kindSearch,
	kindLookup:   kindSearch,
	kindCompare:  kindSearch,
	kindAdd:      kindModify,
	kindDelete:   kindModify,
	kindModDN:    kindModify,
	kindPassword: kindModify,
	kindExtended: kindModify,
}

// RequiredClasses are the classes that every instance must have.
var RequiredClasses = []string{kindNames[kindSearch], kindNames[kindModify]}

// IsClass reports whether a name is that of a class of operations.
func IsClass(name string) bool {
	for _, n := range kindNames {
		if n == name {
			return true
		}
	}
	return false
}

// classesOf returns the index of each kind's class.
func classesOf(names []string) (all [kinds]int) {
	find := func(k kind) int {
		for i, n := range names {
			if n == kindNames[k] {
				return i
			}
		}
		return -1
	}
	for k := range kinds {
		if all[k] = find(k); all[k] < 0 {
			all[k] = max(0, find(kindFallbacks[k]))
		}
	}
	return all
}

// kindOf returns an operation's kind, and its own time limit; 0: none. The error's text goes to the client.
func kindOf(m *ldapmsg.Message) (k kind, limit time.Duration, err error) {
	switch m.Op {
	case ldapmsg.SearchRequest:
		s, err := ldapmsg.ParseSearch(m.Content)
		if err != nil {
			return 0, 0, err
		}
		if s.Base {
			return kindLookup, time.Duration(s.TimeLimit) * time.Second, nil
		}
		return kindSearch, time.Duration(s.TimeLimit) * time.Second, nil
	case ldapmsg.CompareRequest:
		return kindCompare, 0, nil
	case ldapmsg.AddRequest:
		return kindAdd, 0, nil
	case ldapmsg.DelRequest:
		return kindDelete, 0, nil
	case ldapmsg.ModDNRequest:
		return kindModDN, 0, nil
	case ldapmsg.ExtRequest:
		name, _, err := ldapmsg.ExtendedName(m.Content)
		switch {
		case err != nil:
			return 0, 0, err
		case name == ldapmsg.OIDWhoAmI:
			return kindLookup, 0, nil
		case name == ldapmsg.OIDPasswordModify:
			return kindPassword, 0, nil
		}
		return kindExtended, 0, nil
	}
	return kindModify, 0, nil
}
