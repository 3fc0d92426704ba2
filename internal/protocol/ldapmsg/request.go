package ldapmsg

// Bind is a BindRequest (RFC 4511, 4.2).
type Bind struct {
	Version   int
	Name      []byte
	Simple    bool
	Password  []byte // of simple authentication
	Mechanism string // of SASL; UnknownMechanism for another choice
}

// UnknownMechanism stands for an authentication choice that is neither simple nor SASL.
const UnknownMechanism = "?"

// ParseBind reads a BindRequest's content.
func ParseBind(content []byte) (b Bind, err error) {
	tag, v, rest, err := element(content)
	if err != nil {
		return b, err
	}
	n, ok := number(v)
	if tag != integer || !ok {
		return b, malformed("a bind without a version")
	}
	b.Version = int(n)
	if tag, b.Name, rest, err = element(rest); err != nil || tag != octetString {
		return b, malformed("a bind without a name")
	}
	tag, auth, _, err := element(rest)
	switch {
	case err != nil:
		return b, err
	case tag == simpleAuth:
		b.Simple = true
		b.Password = auth
	case tag == saslAuth:
		t, mech, _, err := element(auth)
		if err != nil || t != octetString {
			return b, malformed("a SASL bind without a mechanism")
		}
		b.Mechanism = string(mech)
	default:
		b.Mechanism = UnknownMechanism // the CHOICE may be extended (RFC 4511, 4.2)
	}
	return b, nil
}

// ExtendedName returns the name of an extended request, and its value, nil if it has none (RFC 4511, 4.12).
func ExtendedName(content []byte) (name string, value []byte, err error) {
	tag, v, rest, err := element(content)
	if err != nil || tag != requestName {
		return "", nil, malformed("an extended request without a name")
	}
	if len(rest) > 0 {
		if tag, value, _, err = element(rest); err != nil || tag != requestValue {
			return "", nil, malformed("an extended request's value")
		}
	}
	return string(v), value, nil
}

// ParseAbandon returns the message ID that an AbandonRequest names (RFC 4511, 4.11).
func ParseAbandon(content []byte) (int32, error) {
	n, ok := number(content)
	if !ok || n < 0 || n > MaxID {
		return 0, malformed("an abandon without an id")
	}
	return int32(n), nil
}

// ParseCancel returns the message ID that the value of a Cancel names (RFC 3909, 2.1).
func ParseCancel(value []byte) (int32, error) {
	tag, body, _, err := element(value)
	if err != nil || tag != sequence {
		return 0, malformed("a cancel without an id")
	}
	tag, id, _, err := element(body)
	n, ok := number(id)
	if err != nil || tag != integer || !ok || n < 0 || n > MaxID {
		return 0, malformed("a cancel without an id")
	}
	return int32(n), nil
}

// Search has the fields of a SearchRequest that a proxy needs (RFC 4511, 4.5.1).
type Search struct {
	Base      bool // its scope is the base object alone
	TimeLimit int  // seconds; 0: none
}

// ParseSearch reads a SearchRequest's fields up to its filter, and checks that one follows.
func ParseSearch(content []byte) (s Search, err error) {
	tag, _, rest, err := element(content)
	if err != nil || tag != octetString {
		return s, malformed("a search without a base")
	}
	var fields [4]int64
	for i, want := range []byte{enumerated, enumerated, integer, integer} {
		var v []byte
		if tag, v, rest, err = element(rest); err != nil || tag != want {
			return s, malformed("a search's field %d", i+2)
		}
		var ok bool
		if fields[i], ok = number(v); !ok || fields[i] < 0 || fields[i] > MaxID {
			return s, malformed("a search's field %d", i+2)
		}
	}
	if tag, _, rest, err = element(rest); err != nil || tag != boolean || len(rest) == 0 {
		return s, malformed("a search without typesOnly and a filter")
	}
	return Search{Base: fields[0] == 0, TimeLimit: int(fields[3])}, nil
}
