package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 20 * time.Second

func TestEncodedMessagesStayWithinTheirBound(t *testing.T) {
	text := rapid.StringMatching("[a-z]{0,20}")
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.Custom(func(t *rapid.T) membership.Record {
			return membership.Record{Name: text.Draw(t, "name"), Addr: "127.100.100.100:65535", Zone: text.Draw(t, "zone"), Program: text.Draw(t, "p"),
				Boot: rapid.Uint64().Draw(t, "boot"), RunID: rapid.Uint64().Draw(t, "life"), Incarnation: rapid.Uint32().Draw(t, "inc"), State: membership.Suspect,
				Reporter: text.Draw(t, "by"), Instances: rapid.Uint32().Draw(t, "i"), Balancers: rapid.Uint32().Draw(t, "b"), NameVerified: true,
				AgeSeconds: rapid.Uint32().Draw(t, "age"), Metadata: rapid.SliceOfN(rapid.Byte(), 0, membership.MaxMetadataBytes).Draw(t, "note"),
				Region: rapid.StringMatching("[a-z]{0,64}").Draw(t, "region"), UnreachableRegions: rapid.SliceOfN(rapid.Uint32(), 0, 20).Draw(t, "mute")}
		})
		m := &membership.Message{From: text.Draw(t, "from"), Boot: rapid.Uint64().Draw(t, "boot"), RunID: rapid.Uint64().Draw(t, "life"), Number: rapid.Uint64().Draw(t, "n"),
			Digest: rapid.Uint64().Draw(t, "d"), Kind: membership.IdentityResponse, Seq: rapid.Uint32().Draw(t, "seq"), Target: text.Draw(t, "target"), Addr: "127.0.0.1:1",
			Reply: "127.0.0.1:2", UptimeMS: rapid.Uint64().Draw(t, "up"), SubjectRunID: rapid.Uint64().Draw(t, "of"), Updates: rapid.SliceOfN(record, 0, 8).Draw(t, "updates")}
		fleet := "abcdefghijklmnopqrstuvwxyzabcdef"
		data, err := encode(fleet, m)
		if err != nil {
			t.Fatal(err)
		}
		if most := m.MaxEncodedSize(); len(data) > most {
			t.Fatalf("%d bytes, bound %d", len(data), most)
		}
		back := &membership.Message{}
		if err := decode(fleet, data, back); err != nil || back.Number != m.Number || len(back.Updates) != len(m.Updates) {
			t.Fatal(err, back)
		}
		i := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		data[i] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if err := decode(fleet, data, back); err == nil {
			t.Fatalf("a bit of byte %d was changed, and it was taken", i)
		}
	})
}

func TestWhatIsNotTaken(t *testing.T) {
	good, err := encode("f", &membership.Message{From: "a", Kind: membership.Gossip})
	if err != nil {
		t.Fatal(err)
	}
	later := bytes.Clone(good)
	later[2] = 2
	for name, c := range map[string]struct {
		data []byte
		want error
	}{"empty": {nil, ErrNotOurs}, "other": {[]byte("GET / HTTP/1.1\r\n"), ErrNotOurs}, "format": {later, ErrUnknownFormat}, "cut": {good[:9], ErrDamaged},
		"fleet": {func() []byte { d, _ := encode("g", &membership.Message{From: "a"}); return d }(), ErrOtherFleet}} {
		if err := decode("f", c.data, &membership.Message{}); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	// A later version's key is skipped.
	type next struct {
		membership.Message
		More string `cbor:"99,keyasint"`
	}
	data, err := encode("f", &next{Message: membership.Message{From: "a", Kind: membership.Gossip}, More: "x"})
	m := &membership.Message{}
	if err := errors.Join(err, decode("f", data, m)); err != nil || m.From != "a" {
		t.Error(err, m)
	}
}

func TestSavedViewIsWholeOrNotBelieved(t *testing.T) {
	s := &Saved{Boot: 7, Records: []membership.Record{{Name: "a", Addr: "127.0.0.1:1"}}}
	data, err := EncodeSaved(s)
	if err != nil {
		t.Fatal(err)
	}
	if back, err := DecodeSaved(data); err != nil || back.Boot != 7 || len(back.Records) != 1 {
		t.Fatal(back, err)
	}
	for n := range data {
		if _, err := DecodeSaved(data[:n]); err == nil {
			t.Fatalf("the first %d bytes of %d were believed", n, len(data))
		}
	}
}

// open opens the sockets of an address; udp and tcp have one port.
func open(addr string) (*net.UDPConn, *net.TCPListener, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, nil, err
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return nil, nil, err
	}
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	return u, l, nil
}

// member is one on real sockets.
type member struct {
	*Transport
	addr  string
	end   func() error
	count chan membership.Size
}

func start(t *testing.T, name, addr, dir string, seeds []string, change func(*Options)) *member {
	t.Helper()
	m := &member{count: make(chan membership.Size, 100)}
	udp, tcp, err := open(orAny(addr))
	if err != nil {
		t.Fatal(err)
	}
	m.addr = tcp.Addr().String()
	if addr == "" { // one port for both
		_ = udp.Close()
		_ = tcp.Close()
		if udp, tcp, err = open(m.addr); err != nil {
			t.Fatal(err)
		}
	}
	o := Options{Fleet: "f", Membership: membership.Settings{Name: name, Addr: m.addr, Seeds: seeds, Instances: 1, Balancers: 1, ProbeInterval: 50 * time.Millisecond}, UDP: udp, TCP: tcp,
		Dir: dir, Log: slog.New(slog.DiscardHandler), SizeChanged: func(c membership.Size) {
			select {
			case m.count <- c:
			default:
			}
		}}
	if change != nil {
		change(&o)
	}
	if m.Transport, err = New(o); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	var err1 error
	over := false
	m.end = func() error {
		if !over {
			over = true
			cancel()
			err1 = <-ended
		}
		return err1
	}
	t.Cleanup(func() { _ = m.end() })
	return m
}

func orAny(addr string) string {
	if addr == "" {
		return "127.0.0.1:0"
	}
	return addr
}

// await waits until a member sees another in a state.
func (m *member) await(t *testing.T, other, state string) MemberStatus {
	t.Helper()
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		if s, ok := m.MembershipStatus(); ok {
			for _, o := range s.Members {
				if o.Name == other && o.State == state {
					return o
				}
			}
		}
	}
	s, _ := m.MembershipStatus()
	t.Fatalf("%s never sees %s %s: %+v", m.addr, other, state, s.Members)
	return MemberStatus{}
}

func TestMembersMeetLeaveAndDie(t *testing.T) {
	a := start(t, "a", "", "", nil, nil)
	b := start(t, "b", "", "", []string{a.addr}, nil)
	c := start(t, "c", "", "", []string{a.addr}, nil)
	for _, m := range []*member{a, b, c} {
		for _, n := range []string{"a", "b", "c"} {
			m.await(t, n, "alive")
		}
	}
	b.Leave(patience)
	_ = b.end()
	a.await(t, "b", "left")
	c.await(t, "b", "left")
	_ = c.end() // without a word
	a.await(t, "c", "dead")
	for n := range a.count {
		if n.MaxBalancers == 2 && n.MinBalancers == 1 { // the one that left is not counted, the silent one is
			break
		}
	}
	if was, known := a.Forget("c"); !known || was != membership.Dead {
		t.Error(was, known)
	}
	for n := range a.count {
		if n.MaxBalancers == 1 {
			break
		}
	}
}

// Who reads the lines of both must find the cause before the effect: a goodbye's line is not later than that of anybody
// who has heard it. It comes with the goodbye, not with whoever asked for it.
func TestGoodbyeIsWrittenBeforeItIsSaid(t *testing.T) {
	var told, heard bytes.Buffer
	a := start(t, "a", "", "", nil, func(o *Options) { o.Events = &told })
	b := start(t, "b", "", "", []string{a.addr}, func(o *Options) { o.Events = &heard })
	a.await(t, "b", "alive")
	b.await(t, "a", "alive")
	if !a.post(input{event: membership.Leave{}}) {
		t.Fatal("the loop does not take it")
	}
	b.await(t, "a", "left")
	_, _ = a.end(), b.end() // all is written
	first := func(events *bytes.Buffer, is func(event) bool) *event {
		for d := json.NewDecoder(events); ; {
			var e event
			if err := d.Decode(&e); err != nil {
				return nil
			} else if is(e) {
				return &e
			}
		}
	}
	said := first(&told, func(e event) bool { return e.What == "leave" })
	knew := first(&heard, func(e event) bool { return e.What == "member" && e.Of == "a" && e.State == "left" })
	if said == nil || knew == nil || said.T > knew.T {
		t.Errorf("said %+v, heard %+v", said, knew)
	}
}

func TestBootGrowsOverRestartsAndLostDisks(t *testing.T) {
	dir := t.TempDir()
	a := start(t, "a", "", dir, nil, nil)
	b := start(t, "b", "", "", []string{a.addr}, nil)
	was := b.await(t, "a", "alive")
	addr := a.addr
	for _, lost := range []bool{false, true} {
		_ = a.end()
		if lost {
			if err := os.RemoveAll(dir); err != nil {
				t.Fatal(err)
			}
		}
		a = start(t, "a", addr, dir, []string{b.addr}, func(o *Options) { o.WallSkew = -time.Hour })
		for limit := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
			if now := b.await(t, "a", "alive"); now.RunID != was.RunID {
				if now.Boot <= was.Boot {
					t.Errorf("boot %d after %d (disk lost: %v)", now.Boot, was.Boot, lost)
				}
				was = now
				break
			}
			if time.Now().After(limit) {
				t.Fatal("the new process is not known")
			}
		}
	}
}

func TestTornViewIsNoReasonNotToStart(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName), []byte("vetchhaven-peers 1 00 5\nxx"), 0o600); err != nil {
		t.Fatal(err)
	}
	a := start(t, "a", "", dir, nil, nil)
	a.await(t, "a", "alive")
}

func TestDirectoryThatCantBeWrittenIsNoReasonNotToStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	a := start(t, "a", "", filepath.Join(file, "dir"), nil, nil)
	a.await(t, "a", "alive")
	for limit := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		if s, _ := a.MembershipStatus(); s.SaveFails {
			break
		}
		if time.Now().After(limit) {
			t.Fatal("it does not say that it can't save")
		}
	}
}

func TestPanicEndsTheMemberAlone(t *testing.T) {
	a := start(t, "a", "", "", nil, func(o *Options) { o.Inject = func() { panic("injected") } })
	<-a.done
	if err := a.end(); err == nil {
		t.Error("no error")
	}
	if _, ok := a.MembershipStatus(); ok {
		t.Error("it answers")
	}
}

func TestFrozenMemberGoesOnInAnotherAndIsTheSame(t *testing.T) {
	a := start(t, "a", "", "", nil, nil)
	b := start(t, "b", "", "", []string{a.addr}, nil)
	was := b.await(t, "a", "alive")
	saved := a.Freeze()
	if saved == nil {
		t.Fatal("nothing to go on from")
	}
	_ = a.end()
	next := start(t, "a", a.addr, "", nil, func(o *Options) { o.Saved = saved })
	next.await(t, "b", "alive")
	for {
		if now := b.await(t, "a", "alive"); now.Incarnation > was.Incarnation {
			if now.RunID != was.RunID || now.Boot != was.Boot {
				t.Errorf("another member: %+v after %+v", now, was)
			}
			return
		}
	}
}

func TestThawedMemberGoesOn(t *testing.T) {
	a := start(t, "a", "", "", nil, nil)
	b := start(t, "b", "", "", []string{a.addr}, nil)
	b.await(t, "a", "alive")
	a.Freeze()
	b.await(t, "a", "dead")
	a.Thaw()
	b.await(t, "a", "alive")
	a.await(t, "b", "alive")
}

// What a keeper has lent goes to its successor with the view: maps in arrays in maps, ten deep.
func TestSavedWithWhatIsLentIsReadBack(t *testing.T) {
	s := lease.Settings{Servers: []string{"k"}, Limits: []lease.Limit{{Limit: quota.Limit{Name: "l", Kind: quota.Attempts, Class: -1, Zone: -1, Cell: -1}, Total: 10, Hard: true}}}
	k, err := lease.NewServer(s, "k", 7)
	if err != nil {
		t.Fatal(err)
	}
	h, err := lease.NewClient(s, "x", 5)
	if err != nil {
		t.Fatal(err)
	}
	k.Tick(0)
	h.AddAgent(0, 1)
	for _, r := range h.Requests(0) {
		k.HandleRequest(time.Second, r.Request)
	}
	data, err := EncodeSaved(&Saved{Boot: 1, TakesOver: true, Leases: k.State(time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeSaved(data)
	if err != nil || got.Leases == nil || len(got.Leases.Limits) != 1 || len(got.Leases.Limits[0].Rows) != 1 || len(got.Leases.Limits[0].Rows[0].Holders[0].Leases) != 1 {
		t.Errorf("%+v: %v", got, err)
	}
}
