package ldapmsg

// version is the protocol version of LDAPv3.
const version = 3

// Response returns a message whose protocolOp has tag op and consists of an LDAPResult only (RFC 4511, 4.1.9).
func Response(id int32, op byte, code int, text string) []byte {
	return WithID(id, appendElement(nil, op, appendResult(nil, code, text)))
}

// appendResult appends the components of an LDAPResult: resultCode, an empty matchedDN, and diagnosticMessage.
func appendResult(b []byte, code int, text string) []byte {
	b = appendInt(b, enumerated, int64(code))
	b = appendElement(b, octetString, nil)
	return appendElement(b, octetString, []byte(text))
}

// NoticeOfDisconnection returns a Notice of NoticeOfDisconnection (RFC 4511, 4.4.1).
func NoticeOfDisconnection(code int, text string) []byte {
	result := appendResult(nil, code, text)
	result = appendElement(result, responseName, []byte(OIDDisconnection))
	return WithID(0, appendElement(nil, ExtResponse, result))
}

// Abandon returns an AbandonRequest for the operation with message ID abandoned (RFC 4511, 4.11).
func Abandon(id, abandoned int32) []byte {
	return WithID(id, appendInt(nil, AbandonRequest, int64(abandoned)))
}

// Unbind returns an UnbindRequest, which ends a connection (RFC 4511, 4.3).
func Unbind(id int32) []byte { return WithID(id, []byte{UnbindRequest, 0}) }

// Cancel returns a Cancel request for the operation with message ID cancelled (RFC 3909).
func Cancel(id, cancelled int32) []byte {
	value := appendElement(nil, sequence, appendInt(nil, integer, int64(cancelled)))
	return Extended(id, OIDCancel, value)
}

// Extended returns an ExtendedRequest (RFC 4511, 4.12). A nil value is left out.
func Extended(id int32, name string, value []byte) []byte {
	body := appendElement(nil, requestName, []byte(name))
	if value != nil {
		body = appendElement(body, requestValue, value)
	}
	return WithID(id, appendElement(nil, ExtRequest, body))
}

// SimpleBind returns a BindRequest with simple authentication by name and password.
func SimpleBind(id int32, name, password []byte) []byte {
	body := appendInt(nil, integer, version)
	body = appendElement(body, octetString, name)
	body = appendElement(body, simpleAuth, password)
	return WithID(id, appendElement(nil, BindRequest, body))
}
