package ldap

import (
	"time"

	"vetchhaven/internal/protocol/ldapmsg"
)

// kind is the kind of an operation. Its operations belong to the class that has the kind's name, if the settings have
// such a class, and otherwise to the class of its fallback kind.
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
	kindCount // the number of kinds
)

// kindNames are the names of the kinds. If the settings have a class for a kind, it has the same name.
var kindNames = [kindCount]string{
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

// kindFallbacks gives, for each kind, the kind whose class is used if the settings have no class of its own.
var kindFallbacks = [kindCount]kind{
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

// RequiredClasses are the classes that every LDAP instance must have: the ones that other kinds fall back to.
var RequiredClasses = []string{kindNames[kindSearch], kindNames[kindModify]}

// IsClass reports whether name is the name of a class of operations.
func IsClass(name string) bool {
	for _, n := range kindNames {
		if n == name {
			return true
		}
	}
	return false
}

// classesOf returns, for each kind, the index of its class in names.
func classesOf(names []string) (all [kindCount]int) {
	find := func(k kind) int {
		for i, n := range names {
			if n == kindNames[k] {
				return i
			}
		}
		return -1
	}
	for k := range kindCount {
		if all[k] = find(k); all[k] < 0 {
			all[k] = max(0, find(kindFallbacks[k]))
		}
	}
	return all
}

// kindOf returns the kind of an operation, and the time limit that the client has set in the request (0: none). The
// text of the error is sent to the client.
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
