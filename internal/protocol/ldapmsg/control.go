package ldapmsg

// Control returns the value of the control with a name (RFC 4511, 4.1.11), nil if it has none.
func Control(list []byte, name string) (value []byte, found bool) {
	for len(list) > 0 {
		tag, c, rest, err := element(list)
		if err != nil || tag != sequence {
			return nil, false
		}
		list = rest
		tag, oid, c, err := element(c)
		if err != nil || tag != octetString || string(oid) != name {
			continue
		}
		for len(c) > 0 {
			var v []byte
			if tag, v, c, err = element(c); err != nil {
				return nil, false
			}
			if tag == octetString {
				return v, true
			}
		}
		return nil, true
	}
	return nil, false
}

// PagedCookie returns the cookie of a paged results control (RFC 2696), which is empty at the first page and after the last.
// found is false without such a control.
func PagedCookie(list []byte) (cookie []byte, found bool) {
	value, found := Control(list, OIDPagedResults)
	if !found {
		return nil, false
	}
	tag, body, _, err := element(value)
	if err != nil || tag != sequence {
		return nil, false
	}
	if tag, _, body, err = element(body); err != nil || tag != integer {
		return nil, false
	}
	if tag, cookie, _, err = element(body); err != nil || tag != octetString {
		return nil, false
	}
	return cookie, true
}
