// Pagedsearch plays two paged searches of one LDAP client. Between their first pages the directory that has the first
// search drains, and another one joins.
package main

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/review/testdata/kit"
)

const config = `
admin = "%s"

[[source]]
name = "directories"
list = "%s"

[site]
zones = ["kathmandu"]
kinds = ["old-2core"]

[rules]
balancers = 1
max_attempts = 3
connect_timeout = "250ms"
idle_close = "5s"
drain_grace = "2s"

[[class]]
name = "search"
repeats = "safe"
aim = "600ms"
deadline = "3s"

[[class]]
name = "modify"
aim = "600ms"
deadline = "2500ms"

[[instance]]
name = "ward-directory"
protocol = "ldap"
listen = "%s"
source = "directories"
`

func main() { kit.Run("pagedsearch", play) }

func play(c *kit.Case) error {
	one, err := newDirectory(c, "dir-one")
	if err != nil {
		return err
	}
	two, err := newDirectory(c, "dir-two")
	if err != nil {
		return err
	}
	list, err := c.NewList(one.member("ready"))
	if err != nil {
		return err
	}
	ports, err := kit.Ports(2)
	if err != nil {
		return err
	}
	admin := fmt.Sprintf("127.0.0.1:%d", ports[0])
	listen := fmt.Sprintf("127.0.0.1:%d", ports[1])
	path, err := c.Write("fleet.toml", fmt.Sprintf(config, admin, list.Addr, listen))
	if err != nil {
		return err
	}
	if _, err := c.Start("agent", "serve --config "+path); err != nil {
		return err
	}
	if !kit.Until(15*time.Second, func() bool { return kit.Healthy(admin) }) {
		return errors.New("the agent is not ready")
	}
	time.Sleep(time.Second)
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	cl := &client{c: c, conn: conn, in: ldapmsg.NewReader(conn, 1<<20)}
	first, err := cl.page("ward-1", "")
	if err != nil {
		return err
	}
	if c.Trouble {
		list.Set(one.member("draining"), two.member("ready"))
		time.Sleep(time.Second)
	}
	second, err := cl.page("ward-2", "")
	if err != nil {
		return err
	}
	if first == "" || second == "" {
		return errors.New("a search has no second page")
	}
	for _, search := range []struct{ base, cookie string }{{"ward-1", first}, {"ward-2", second}} {
		if _, err := cl.page(search.base, search.cookie); err != nil {
			return err
		}
	}
	return nil
}

type client struct {
	c    *kit.Case
	conn net.Conn
	in   *ldapmsg.Reader
	id   int32
}

// page asks for a page of the search below base, and returns the cookie of the next one.
func (cl *client) page(base, cookie string) (next string, err error) {
	cl.id++
	op := element(ldapmsg.SearchRequest, text(base), element(0x0a, []byte{2}), element(0x0a, []byte{0}),
		element(0x02, []byte{0}), element(0x02, []byte{0}), element(0x01, []byte{0}), element(0x87, []byte("objectClass")), element(0x30))
	op = append(op, paged(cookie)...)
	_ = cl.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := cl.conn.Write(ldapmsg.WithID(cl.id, op)); err != nil {
		return "", err
	}
	var names []string
	for {
		raw, err := cl.in.Next()
		if err != nil {
			return "", err
		}
		m, err := ldapmsg.Parse(raw)
		if err != nil {
			return "", err
		}
		if m.Op == ldapmsg.SearchEntry {
			name := string(m.Content[2 : 2+m.Content[1]])
			names = append(names, name)
			if !strings.HasSuffix(name, base) {
				cl.c.Break("a search below %s got the entry %s", base, name)
			}
			continue
		}
		code, _ := m.Code()
		got, _ := ldapmsg.PagedCookie(m.Controls)
		cl.c.Log("client: search below %s with the cookie %q: code %d, entries %v, cookie %q", base, cookie, code, names, got)
		return string(got), nil
	}
}

func element(tag byte, parts ...[]byte) []byte {
	var content []byte
	for _, p := range parts {
		content = append(content, p...)
	}
	return append([]byte{tag, byte(len(content))}, content...)
}

func text(s string) []byte { return element(0x04, []byte(s)) }

func paged(cookie string) []byte {
	value := element(0x30, element(0x02, []byte{2}), text(cookie))
	return element(0xa0, element(0x30, text(ldapmsg.OIDPagedResults), element(0x04, value)))
}

// directory is an LDAP directory with 4 entries below each base, in pages of 2. Its cookies are numbers of its own.
type directory struct {
	id string
	ln net.Listener
	c  *kit.Case
	n  chan int
}

func newDirectory(c *kit.Case, id string) (*directory, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &directory{id, ln, c, make(chan int, 1)}
	d.n <- 0
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d, nil
}

func (d *directory) member(state string) kit.Server {
	return kit.Server{ID: d.id, Addr: d.ln.Addr().String(), Zone: "kathmandu", Kind: "old-2core", State: state, Weight: 1}
}

func (d *directory) serve(conn net.Conn) {
	defer conn.Close()
	in := ldapmsg.NewReader(conn, 1<<20)
	left := map[string]string{} // the bases of searches that have a second page, by cookie
	for {
		raw, err := in.Next()
		if err != nil {
			return
		}
		m, err := ldapmsg.Parse(raw)
		if err != nil || m.Op != ldapmsg.SearchRequest {
			return
		}
		base := string(m.Content[2 : 2+m.Content[1]])
		cookie, _ := ldapmsg.PagedCookie(m.Controls)
		from, next := 0, ""
		if len(cookie) > 0 {
			began, known := left[string(cookie)]
			if !known {
				_, _ = conn.Write(ldapmsg.Response(m.ID, ldapmsg.SearchDone, ldapmsg.UnwillingToPerform, "unknown cookie"))
				continue
			}
			base, from = began, 2 // goes on with the search that the cookie stands for
			delete(left, string(cookie))
		} else {
			n := <-d.n + 1
			d.n <- n
			next = strconv.Itoa(n)
			left[next] = base
		}
		d.c.Log("%s: search below %s, cookie %q, next %q", d.id, base, cookie, next)
		var out []byte
		for i := range 2 {
			out = append(out, ldapmsg.WithID(m.ID, element(ldapmsg.SearchEntry, text(fmt.Sprintf("cn=%d,%s", from+i, base)), element(0x30)))...)
		}
		done, _ := ldapmsg.Parse(ldapmsg.Response(m.ID, ldapmsg.SearchDone, ldapmsg.Success, ""))
		out = append(out, ldapmsg.WithID(m.ID, append(append([]byte(nil), done.Rest...), paged(next)...))...)
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}
