// Package directory implements a small in-memory LDAP directory on loopback (RFC 4511), for tests and tools. It counts
// the operations that were executed, and a script can make it misbehave.
package directory

import (
	"crypto/tls"
	"fmt"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	ber "github.com/go-asn1-ber/asn1-ber"

	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/source/discovery"
)

// Fault is the misbehavior that a script requests for an operation.
type Fault struct {
	Stall       <-chan struct{} // the operation is held until this is closed
	Wait        time.Duration   // delay before the operation is executed
	KillBefore  bool            // the connection is reset before the operation is executed
	KillAfter   bool            // the operation is executed, then the connection is reset
	KillBetween int             // number of search entries after which the connection is reset
	Code        int             // result code of the answer; the operation is not executed
	WrongID     bool            // the answer has a message ID that no request had
	Double      bool            // the answer is sent twice
	WrongTag    bool            // the answer has the protocolOp tag of another operation
	Garbage     bool            // invalid bytes are sent instead of the answer
	Notice      bool            // a Notice of Disconnection is sent instead of the answer
	Drip        time.Duration   // delay before each byte of the answer
	Ahead       [][]byte        // protocolOps, each followed by its controls, that are sent before the answer
}

// Op is an operation that the directory received.
type Op struct {
	Kind string // bind, search, lookup, modify, add, delete, moddn, compare, extended
	DN   string
	Who  string // the identity to which the connection is bound
	ID   int64
	N    int // number of operations that this directory has received so far
}

// Directory is one LDAP server.
type Directory struct {
	ID string

	listener net.Listener
	tls      *tls.Config
	ldaps    bool

	mu        sync.Mutex
	entries   map[string]map[string][]string
	passwords map[string]string
	executed  map[string]int // how often each effect was executed, by kind, DN and value
	binds     int
	script    func(Op) Fault
	n         int
	conns     map[net.Conn]bool
	down      bool
	abandoned int
	open      int
	maxOpen   int
	served    map[string]int // number of operations answered, by kind
}

// Options configure a directory. The zero value is plain LDAP.
type Options struct {
	TLS   *tls.Config // for StartTLS, or LDAPS
	LDAPS bool
	Addr  string // empty: a free port of loopback
}

// New starts a directory.
func New(id string, o Options) (*Directory, error) {
	if o.Addr == "" {
		o.Addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return nil, err
	}
	d := &Directory{ID: id, listener: ln, tls: o.TLS, ldaps: o.LDAPS, entries: map[string]map[string][]string{}, passwords: map[string]string{},
		executed: map[string]int{}, conns: map[net.Conn]bool{}, served: map[string]int{}, script: func(Op) Fault { return Fault{} }}
	go d.accept()
	return d, nil
}

// Member returns the directory as an entry of an endpoint list.
func (d *Directory) Member(state string) discovery.Server {
	return discovery.Server{ID: d.ID, Addr: d.listener.Addr().String(), Zone: "a", Kind: "k", Cell: new(0), State: state, Weight: 1}
}

// Addr returns the address on which the directory listens.
func (d *Directory) Addr() string { return d.listener.Addr().String() }

// Close stops the directory and resets its connections.
func (d *Directory) Close() {
	d.mu.Lock()
	d.down = true
	d.mu.Unlock()
	_ = d.listener.Close()
	d.Kill()
}

// Kill resets all connections, as the end of a process does. The directory continues to accept connections.
func (d *Directory) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Script sets the function that chooses the fault for each operation.
func (d *Directory) Script(f func(Op) Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.script = f
}

// Add adds an entry.
func (d *Directory) Add(dn string, attributes map[string][]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[strings.ToLower(dn)] = attributes
}

// Password sets the password with which a DN can bind.
func (d *Directory) Password(dn, password string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.passwords[strings.ToLower(dn)] = password
}

// Ran returns a copy of the counts of how often each effect was executed.
func (d *Directory) Ran() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]int{}
	for k, n := range d.executed {
		all[k] = n
	}
	return all
}

// Served returns the number of answered operations of a kind.
func (d *Directory) Served(kind string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.served[kind]
}

// Binds returns the number of bind requests received.
func (d *Directory) Binds() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.binds
}

// Abandoned returns the number of operations that clients abandoned (RFC 4511, section 4.11).
func (d *Directory) Abandoned() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.abandoned
}

// Conns returns the number of open connections.
func (d *Directory) Conns() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

func (d *Directory) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		if d.ldaps {
			c = tls.Server(c, d.tls)
		}
		d.mu.Lock()
		if d.down {
			d.mu.Unlock()
			_ = c.Close()
			return
		}
		d.conns[c] = true
		d.mu.Unlock()
		l := &session{d: d, conn: c, top: c, live: map[int64]chan struct{}{}, paged: map[string][]string{}}
		go l.run()
	}
}

// session is one client connection.
type session struct {
	d    *Directory
	top  net.Conn // as accepted
	conn net.Conn

	mu       sync.Mutex // guards writing and the following fields
	identity string
	live     map[int64]chan struct{} // by message ID; closed when the operation is abandoned or cancelled
	paged    map[string][]string     // remaining entries of paged searches, by cookie
	pages    int
}

func (l *session) run() {
	defer func() {
		_ = l.conn.Close()
		l.d.mu.Lock()
		delete(l.d.conns, l.top)
		l.d.mu.Unlock()
	}()
	in := ldapmsg.NewReader(l.conn, 1<<20)
	for {
		raw, err := in.Next()
		if err != nil {
			return
		}
		raw = append([]byte(nil), raw...) // a copy, since operations run concurrently
		p, err := ber.DecodePacketErr(raw)
		if err != nil || len(p.Children) < 2 {
			return
		}
		m, err := ldapmsg.Parse(raw)
		if err != nil {
			return
		}
		id, op := int64(m.ID), p.Children[1]
		switch m.Op {
		case ldapmsg.UnbindRequest:
			return
		case ldapmsg.AbandonRequest:
			if what, err := ldapmsg.ParseAbandon(m.Content); err == nil {
				l.stop(int64(what))
			}
			continue
		case ldapmsg.BindRequest:
			l.handle(id, m, op) // not concurrently with later operations
			continue
		case ldapmsg.ExtRequest:
			if name, _, _ := ldapmsg.ExtendedName(m.Content); name == ldapmsg.OIDStartTLS {
				if l.d.tls == nil {
					l.write(ldapmsg.Response(m.ID, ldapmsg.ExtResponse, ldapmsg.ProtocolErrorCode, "no TLS support"), 0)
					continue
				}
				l.write(ldapmsg.Response(m.ID, ldapmsg.ExtResponse, ldapmsg.Success, ""), 0)
				c := tls.Server(l.conn, l.d.tls)
				if c.Handshake() != nil {
					return
				}
				l.mu.Lock()
				l.conn = c
				l.mu.Unlock()
				in = ldapmsg.NewReader(c, 1<<20)
				continue
			}
		}
		stopped := make(chan struct{})
		l.mu.Lock()
		l.live[id] = stopped
		l.mu.Unlock()
		go l.handle(id, m, op)
	}
}

func (l *session) stop(id int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	stopped := l.live[id]
	if stopped == nil {
		return false
	}
	delete(l.live, id)
	close(stopped)
	l.d.mu.Lock()
	l.d.abandoned++
	l.d.mu.Unlock()
	return true
}

func (l *session) write(text []byte, drip time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if drip == 0 {
		_, _ = l.conn.Write(text)
		return
	}
	for i := range text {
		time.Sleep(drip)
		if _, err := l.conn.Write(text[i : i+1]); err != nil {
			return
		}
	}
}

// text returns a packet's value as a string.
func text(p *ber.Packet) string {
	if p.Data == nil {
		return ""
	}
	return p.Data.String()
}

func kindName(m *ldapmsg.Message) string {
	switch m.Op {
	case ldapmsg.BindRequest:
		return "bind"
	case ldapmsg.SearchRequest:
		if s, err := ldapmsg.ParseSearch(m.Content); err == nil && s.Base {
			return "lookup"
		}
		return "search"
	case ldapmsg.ModifyRequest:
		return "modify"
	case ldapmsg.AddRequest:
		return "add"
	case ldapmsg.DelRequest:
		return "delete"
	case ldapmsg.ModDNRequest:
		return "moddn"
	case ldapmsg.CompareRequest:
		return "compare"
	}
	return "extended"
}

// handle processes one operation with the fault that the script chooses.
func (l *session) handle(id int64, m ldapmsg.Message, op *ber.Packet) {
	d := l.d
	kind, dn := kindName(&m), ""
	switch {
	case m.Op == ldapmsg.DelRequest:
		dn = string(m.Content)
	case m.Op == ldapmsg.BindRequest && len(op.Children) > 1:
		dn = text(op.Children[1])
	case len(op.Children) > 0:
		dn = text(op.Children[0])
	}
	l.mu.Lock()
	stopped, identity := l.live[id], l.identity
	l.mu.Unlock()
	d.mu.Lock()
	d.n++
	d.open++
	d.maxOpen = max(d.maxOpen, d.open)
	f := d.script(Op{Kind: kind, DN: dn, Who: identity, ID: id, N: d.n})
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.open--
		d.mu.Unlock()
		l.mu.Lock()
		delete(l.live, id)
		l.mu.Unlock()
	}()
	if f.Stall != nil {
		select {
		case <-f.Stall:
		case <-stopped:
			return
		}
	}
	if f.Wait > 0 {
		time.Sleep(f.Wait)
	}
	if f.KillBefore {
		reset(l.conn)
		return
	}
	answer := ldapmsg.ResponseTo(m.Op)
	for _, part := range f.Ahead {
		l.write(ldapmsg.WithID(m.ID, part), 0)
	}
	var out []byte
	if f.Code != 0 {
		out = ldapmsg.Response(m.ID, answer, f.Code, "by the script")
	} else {
		out = l.do(m, op, kind, dn, f, stopped)
	}
	if out == nil {
		return
	}
	if f.KillAfter {
		reset(l.conn)
		return
	}
	switch {
	case f.Garbage:
		out = []byte("\x30\x80 this is no message of LDAP")
	case f.Notice:
		out = ldapmsg.NoticeOfDisconnection(ldapmsg.Unavailable, "by the script")
	case f.WrongID:
		got, _ := ldapmsg.Parse(out)
		out = ldapmsg.WithID(m.ID+1000, got.Rest)
	case f.WrongTag:
		out = ldapmsg.Response(m.ID, ldapmsg.CompareResponse, 6, "")
	}
	select {
	case <-stopped: // an abandoned operation gets no answer
		return
	default:
	}
	d.mu.Lock()
	d.served[kind]++
	d.mu.Unlock()
	l.write(out, f.Drip)
	if f.Double {
		l.write(out, 0)
	}
	if f.Garbage || f.Notice {
		_ = l.conn.Close()
	}
}

// do executes an operation and returns its last message, or nil if the operation has no answer.
func (l *session) do(m ldapmsg.Message, op *ber.Packet, kind, dn string, f Fault, stopped chan struct{}) []byte {
	d := l.d
	result := func(code int, text string) []byte {
		return ldapmsg.Response(m.ID, ldapmsg.ResponseTo(m.Op), code, text)
	}
	key := strings.ToLower(dn)
	switch kind {
	case "bind":
		return l.bind(m, key, result)
	case "search", "lookup":
		return l.search(m, op, key, f, stopped)
	case "compare":
		return result(6, "") // compareTrue
	}
	if kind == "extended" {
		name, value, _ := ldapmsg.ExtendedName(m.Content)
		switch name {
		case ldapmsg.OIDCancel:
			what, _ := ldapmsg.ParseCancel(value)
			l.mu.Lock()
			open := l.live[int64(what)] != nil
			l.mu.Unlock()
			if !open {
				return result(ldapmsg.NoSuchOperation, "")
			}
			l.stop(int64(what))
			l.write(ldapmsg.Response(what, ldapmsg.SearchDone, ldapmsg.Canceled, ""), 0)
			return result(ldapmsg.Success, "")
		case ldapmsg.OIDWhoAmI:
			l.mu.Lock()
			identity := l.identity
			l.mu.Unlock()
			p := ber.Encode(ber.ClassApplication, ber.TypeConstructed, 24, nil, "")
			p.AppendChild(ber.NewInteger(ber.ClassUniversal, ber.TypePrimitive, ber.TagEnumerated, 0, ""))
			p.AppendChild(ber.NewString(ber.ClassUniversal, ber.TypePrimitive, ber.TagOctetString, "", ""))
			p.AppendChild(ber.NewString(ber.ClassUniversal, ber.TypePrimitive, ber.TagOctetString, "", ""))
			authz := ""
			if identity != "" {
				authz = "dn:" + identity
			}
			p.AppendChild(ber.NewString(ber.ClassContext, ber.TypePrimitive, 11, authz, ""))
			return ldapmsg.WithID(m.ID, p.Bytes())
		case ldapmsg.OIDPasswordModify:
			d.recordEffect("password")
			return result(ldapmsg.Success, "")
		}
		d.recordEffect("extended " + name)
		return result(ldapmsg.Success, "")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch kind {
	case "add":
		d.executed["add "+key]++
		if d.entries[key] != nil {
			return result(68, "") // entryAlreadyExists
		}
		d.entries[key] = attributes(op.Children[1])
	case "delete":
		d.executed["delete "+key]++
		if d.entries[key] == nil {
			return result(32, "") // noSuchObject
		}
		delete(d.entries, key)
	case "modify":
		for _, change := range op.Children[1].Children {
			d.executed["modify "+key+" "+strings.Join(values(change.Children[1]), ",")]++
		}
	case "moddn":
		d.executed["moddn "+key]++
	}
	return result(ldapmsg.Success, "")
}

func (d *Directory) recordEffect(what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executed[what]++
}

func attributes(list *ber.Packet) map[string][]string {
	all := map[string][]string{}
	for _, a := range list.Children {
		if len(a.Children) == 2 {
			all[text(a.Children[0])] = values(a)
		}
	}
	return all
}

func values(attribute *ber.Packet) (all []string) {
	if len(attribute.Children) < 2 {
		return nil
	}
	for _, v := range attribute.Children[1].Children {
		all = append(all, text(v))
	}
	return all
}

// bind accepts simple binds, and a two-step SASL exchange with the mechanism "TWO-STEP", whose second step binds as
// "sasl".
func (l *session) bind(m ldapmsg.Message, key string, result func(int, string) []byte) []byte {
	b, err := ldapmsg.ParseBind(m.Content)
	if err != nil {
		return result(ldapmsg.ProtocolErrorCode, "")
	}
	l.d.mu.Lock()
	l.d.binds++
	want, known := l.d.passwords[key]
	l.d.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !b.Simple {
		if b.Mechanism != "TWO-STEP" {
			return result(ldapmsg.AuthMethodNotSupported, "")
		}
		if l.identity != "half" {
			l.identity = "half"
			return result(ldapmsg.SASLBindInProgress, "")
		}
		l.identity = "sasl"
		return result(ldapmsg.Success, "")
	}
	l.identity = ""
	if len(b.Name) == 0 && len(b.Password) == 0 {
		return result(ldapmsg.Success, "")
	}
	if !known || want != string(b.Password) {
		return result(ldapmsg.InvalidCredentials, "")
	}
	l.identity = key
	return result(ldapmsg.Success, "")
}

// search answers with the entries at or below the base, depending on the scope. Filters are ignored.
func (l *session) search(m ldapmsg.Message, op *ber.Packet, key string, f Fault, stopped chan struct{}) []byte {
	scope, _ := op.Children[1].Value.(int64)
	cookie, paged := ldapmsg.PagedCookie(m.Controls)
	var names []string
	l.d.mu.Lock()
	for dn := range l.d.entries {
		if dn == key || scope > 0 && (key == "" || strings.HasSuffix(dn, ","+key)) {
			names = append(names, dn)
		}
	}
	l.d.mu.Unlock()
	sort.Strings(names)
	next := ""
	if paged {
		if len(cookie) > 0 {
			l.mu.Lock()
			left, known := l.paged[string(cookie)]
			delete(l.paged, string(cookie))
			l.mu.Unlock()
			if !known { // the cookie belongs to another connection
				return ldapmsg.Response(m.ID, ldapmsg.SearchDone, ldapmsg.UnwillingToPerform, "unknown cookie")
			}
			names = left
		}
		size := pageSize(m.Controls)
		if size > 0 && len(names) > size {
			l.mu.Lock()
			l.pages++
			next = l.d.ID + "/" + strconv.Itoa(l.pages) + fmt.Sprintf("/%p", l)
			l.paged[next] = names[size:]
			l.mu.Unlock()
			names = names[:size]
		}
	}
	for i, dn := range names {
		if f.KillBetween > 0 && i == f.KillBetween {
			reset(l.conn)
			return nil
		}
		select {
		case <-stopped:
			return nil
		default:
		}
		l.d.mu.Lock()
		attributes := l.d.entries[dn]
		l.d.mu.Unlock()
		l.write(ldapmsg.WithID(m.ID, entry(dn, attributes)), f.Drip)
	}
	done := ldapmsg.Response(m.ID, ldapmsg.SearchDone, ldapmsg.Success, "")
	if !paged {
		return done
	}
	got, _ := ldapmsg.Parse(done)
	return ldapmsg.WithID(m.ID, append(append([]byte(nil), got.Rest...), pagedControl(next)...))
}

func pageSize(controls []byte) int {
	value, found := ldapmsg.Control(controls, ldapmsg.OIDPagedResults)
	if !found {
		return 0
	}
	p, err := ber.DecodePacketErr(value)
	if err != nil || len(p.Children) < 1 {
		return 0
	}
	n, _ := p.Children[0].Value.(int64)
	return int(n)
}

func pagedControl(cookie string) []byte {
	value := ber.Encode(ber.ClassUniversal, ber.TypeConstructed, ber.TagSequence, nil, "")
	value.AppendChild(ber.NewInteger(ber.ClassUniversal, ber.TypePrimitive, ber.TagInteger, 0, ""))
	value.AppendChild(ber.NewString(ber.ClassUniversal, ber.TypePrimitive, ber.TagOctetString, cookie, ""))
	c := ber.Encode(ber.ClassUniversal, ber.TypeConstructed, ber.TagSequence, nil, "")
	c.AppendChild(ber.NewString(ber.ClassUniversal, ber.TypePrimitive, ber.TagOctetString, ldapmsg.OIDPagedResults, ""))
	c.AppendChild(ber.NewString(ber.ClassUniversal, ber.TypePrimitive, ber.TagOctetString, string(value.Bytes()), ""))
	all := ber.Encode(ber.ClassContext, ber.TypeConstructed, 0, nil, "")
	all.AppendChild(c)
	return all.Bytes()
}

func entry(dn string, attributes map[string][]string) []byte {
	p := ber.Encode(ber.ClassApplication, ber.TypeConstructed, 4, nil, "")
	p.AppendChild(ber.NewString(ber.ClassUniversal, ber.TypePrimitive, ber.TagOctetString, dn, ""))
	list := ber.Encode(ber.ClassUniversal, ber.TypeConstructed, ber.TagSequence, nil, "")
	for name, all := range attributes {
		a := ber.Encode(ber.ClassUniversal, ber.TypeConstructed, ber.TagSequence, nil, "")
		a.AppendChild(ber.NewString(ber.ClassUniversal, ber.TypePrimitive, ber.TagOctetString, name, ""))
		set := ber.Encode(ber.ClassUniversal, ber.TypeConstructed, ber.TagSet, nil, "")
		for _, v := range all {
			set.AppendChild(ber.NewString(ber.ClassUniversal, ber.TypePrimitive, ber.TagOctetString, v, ""))
		}
		a.AppendChild(set)
		list.AppendChild(a)
	}
	p.AppendChild(list)
	return p.Bytes()
}
