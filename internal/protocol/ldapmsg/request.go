package ldapmsg

// Bind is a BindRequest (RFC 4511, 4.2).
type Bind struct {
	Version   int
	Name      []byte
	Simple    bool
	Password  []byte // the password of simple authentication
	Mechanism string // the SASL mechanism; UnknownMechanism for an unknown authentication choice
}

// UnknownMechanism is the mechanism of an authentication choice that is neither simple nor SASL.
const UnknownMechanism = "?"

// ParseBind parses the content of a BindRequest.
func ParseBind(content []byte) (b Bind, err error) {
	tag, v, rest, err := parseElement(content)
	if err != nil {
		return b, err
	}
	n, ok := parseInt(v)
	if tag != integer || !ok {
		return b, malformed("a bind without a version")
	}
	b.Version = int(n)
	if tag, b.Name, rest, err = parseElement(rest); err != nil || tag != octetString {
		return b, malformed("a bind without a name")
	}
	tag, auth, _, err := parseElement(rest)
	switch {
	case err != nil:
		return b, err
	case tag == simpleAuth:
		b.Simple = true
		b.Password = auth
	case tag == saslAuth:
		t, mech, _, err := parseElement(auth)
		if err != nil || t != octetString {
			return b, malformed("a SASL bind without a mechanism")
		}
		b.Mechanism = string(mech)
	default:
		b.Mechanism = UnknownMechanism // the CHOICE may be extended (RFC 4511, 4.2)
	}
	return b, nil
}

// ExtendedName returns the name of an extended request, and its value, or nil if it has no value (RFC 4511, 4.12).
func ExtendedName(content []byte) (name string, value []byte, err error) {
	tag, v, rest, err := parseElement(content)
	if err != nil || tag != requestName {
		return "", nil, malformed("an extended request without a name")
	}
	if len(rest) > 0 {
		if tag, value, _, err = parseElement(rest); err != nil || tag != requestValue {
			return "", nil, malformed("an extended request with an invalid value")
		}
	}
	return string(v), value, nil
}

// ParseAbandon returns the message ID that an AbandonRequest names (RFC 4511, 4.11).
func ParseAbandon(content []byte) (int32, error) {
	n, ok := parseInt(content)
	if !ok || n < 0 || n > MaxID {
		return 0, malformed("an AbandonRequest without a message ID")
	}
	return int32(n), nil
}

// ParseCancel returns the message ID that the value of a Cancel names (RFC 3909, 2.1).
func ParseCancel(value []byte) (int32, error) {
	tag, body, _, err := parseElement(value)
	if err != nil || tag != sequence {
		return 0, malformed("a Cancel request without a message ID")
	}
	tag, id, _, err := parseElement(body)
	n, ok := parseInt(id)
	if err != nil || tag != integer || !ok || n < 0 || n > MaxID {
		return 0, malformed("a Cancel request without a message ID")
	}
	return int32(n), nil
}

// Search contains the fields of a SearchRequest that a proxy needs (RFC 4511, 4.5.1).
type Search struct {
	Base      bool // the scope is baseObject
	TimeLimit int  // in seconds; 0: none
}

// ParseSearch parses the fields of a SearchRequest up to the filter, and checks that more follows.
func ParseSearch(content []byte) (s Search, err error) {
	tag, _, rest, err := parseElement(content)
	if err != nil || tag != octetString {
		return s, malformed("a search without a base object")
	}
	var fields [4]int64
	for i, want := range []byte{enumerated, enumerated, integer, integer} {
		var v []byte
		if tag, v, rest, err = parseElement(rest); err != nil || tag != want {
			return s, malformed("a search with an invalid field %d", i+2)
		}
		var ok bool
		if fields[i], ok = parseInt(v); !ok || fields[i] < 0 || fields[i] > MaxID {
			return s, malformed("a search with an invalid field %d", i+2)
		}
	}
	if tag, _, rest, err = parseElement(rest); err != nil || tag != boolean || len(rest) == 0 {
		return s, malformed("a search without typesOnly and a filter")
	}
	return Search{Base: fields[0] == 0, TimeLimit: int(fields[3])}, nil
}
