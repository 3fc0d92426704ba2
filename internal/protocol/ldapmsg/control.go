package ldapmsg

// Control returns the value of the control whose controlType is name (RFC 4511, 4.1.11), or nil if the control has no
// value.
func Control(list []byte, name string) (value []byte, found bool) {
	for len(list) > 0 {
		tag, c, rest, err := parseElement(list)
		if err != nil || tag != sequence {
			return nil, false
		}
		list = rest
		tag, oid, c, err := parseElement(c)
		if err != nil || tag != octetString || string(oid) != name {
			continue
		}
		for len(c) > 0 {
			var v []byte
			if tag, v, c, err = parseElement(c); err != nil {
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

// PagedCookie returns the cookie of a paged results control (RFC 2696). The cookie is empty in the request for the
// first page and in the response with the last page. found is false if there is no such control.
func PagedCookie(list []byte) (cookie []byte, found bool) {
	value, found := Control(list, OIDPagedResults)
	if !found {
		return nil, false
	}
	tag, body, _, err := parseElement(value)
	if err != nil || tag != sequence {
		return nil, false
	}
	if tag, _, body, err = parseElement(body); err != nil || tag != integer {
		return nil, false
	}
	if tag, cookie, _, err = parseElement(body); err != nil || tag != octetString {
		return nil, false
	}
	return cookie, true
}
