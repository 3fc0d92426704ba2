package ldap

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	client "github.com/go-ldap/ldap/v3"

	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
)

// testCA is a certificate authority that a test creates.
type testCA struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	n    int64
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	a := &testCA{dir: t.TempDir(), key: key, n: 1}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *testCA) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (a *testCA) ca() string { return filepath.Join(a.dir, "ca.pem") }

// issue creates a certificate for a name, and writes its files.
func (a *testCA) issue(t *testing.T, name string) (cert, key string, loaded *tls.Config) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.n++
	c := &x509.Certificate{SerialNumber: big.NewInt(a.n), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	text, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	cert, key = a.write(t, name+".pem", "CERTIFICATE", der), a.write(t, name+".key", "EC PRIVATE KEY", text)
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key, &tls.Config{Certificates: []tls.Certificate{pair}}
}

func (a *testCA) trust() *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{RootCAs: pool, ServerName: "agent"}
}

// Client and server connections can use TLS, both with StartTLS and with LDAPS.
func TestTLSOnBothSides(t *testing.T) {
	ca := newTestCA(t)
	cert, key, _ := ca.issue(t, "agent")
	_, _, server := ca.issue(t, "directory")
	for name, row := range map[string]struct{ ldaps, serverLDAPS bool }{"StartTLS": {false, false}, "LDAPS": {true, true}} {
		t.Run(name, func(t *testing.T) {
			d := startDirectory(t, "one", directory.Options{TLS: server, LDAPS: row.serverLDAPS})
			o := Options{Certificate: cert, Key: key, LDAPS: row.ldaps, ServerTLS: "starttls", ServerCA: ca.ca(), ServerName: "directory"}
			if row.serverLDAPS {
				o.ServerTLS = "ldaps"
			}
			a := startAgent(t, testConfig(t, d), o)
			var c *client.Conn
			var err error
			if row.ldaps {
				c, err = client.DialURL("ldaps://"+a.Addr().String(), client.DialWithTLSConfig(ca.trust()))
			} else {
				c = a.dial(t)
				if err := c.Bind("cn=admin", "secret-1"); resultCode(err) != ldapmsg.ConfidentialityRequired {
					t.Errorf("bind with a password in plain text: %v", err)
				}
				if d.Binds() != 0 {
					t.Error("the bind in plain text was forwarded to the server")
				}
				err = c.StartTLS(ca.trust())
			}
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if err := c.Bind("cn=admin", "secret-1"); err != nil {
				t.Fatal(err)
			}
			if who, err := c.WhoAmI(nil); err != nil || who.AuthzID != "dn:cn=admin" {
				t.Errorf("%+v, %v", who, err)
			}
			if got, err := c.Search(subtreeSearch()); err != nil || len(got.Entries) != 6 {
				t.Errorf("%v, %v", got, err)
			}
		})
	}
}

// A server that does not support TLS, or whose certificate is not valid for it, gets no operation and no bind.
func TestTLSIsNeverDowngraded(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	_, _, fromOtherCA := otherCA.issue(t, "directory")
	_, _, otherName := ca.issue(t, "somebody-else")
	for name, server := range map[string]*tls.Config{"no TLS": nil, "another CA": fromOtherCA, "another name": otherName} {
		t.Run(name, func(t *testing.T) {
			d := startDirectory(t, "one", directory.Options{TLS: server})
			cfg := testConfig(t, d)
			cfg.Settings.MaxAttempts = 1
			a := startAgent(t, cfg, Options{ServerTLS: "starttls", ServerCA: ca.ca(), ServerName: "directory"})
			c := a.dial(t)
			if err := c.Modify(newModify("x")); resultCode(err) != ldapmsg.Busy {
				t.Errorf("%v", err)
			}
			if err := c.Bind("cn=admin", "secret-1"); err == nil {
				t.Error("a bind succeeded without valid TLS")
			}
			if len(d.Ran()) != 0 || d.Binds() != 0 {
				t.Errorf("%v, %d binds", d.Ran(), d.Binds())
			}
		})
	}
}

// Bytes in plain text after a StartTLS request are not handled as if they had come over TLS.
func TestPlainBytesAfterStartTLSAreRejected(t *testing.T) {
	ca := newTestCA(t)
	cert, key, _ := ca.issue(t, "agent")
	d := startDirectory(t, "one", directory.Options{})
	a := startAgent(t, testConfig(t, d), Options{Certificate: cert, Key: key})
	c := a.dialRaw(t)
	if _, err := c.Write(append(ldapmsg.Extended(1, ldapmsg.OIDStartTLS, nil), rawSearch(2, 0)...)); err != nil {
		t.Fatal(err)
	}
	raw, err := ldapmsg.NewReader(c, 1<<20).Next()
	if err != nil {
		t.Fatal(err)
	}
	if m, _ := ldapmsg.Parse(raw); m.ID != 0 {
		t.Errorf("no notice: %+v", m)
	}
	if d.Served("lookup") != 0 {
		t.Error("the search in plain text was forwarded")
	}
}

func TestOptionsAreChecked(t *testing.T) {
	ca := newTestCA(t)
	cert, key, _ := ca.issue(t, "agent")
	for names, o := range map[string]Options{
		"go together":  {Certificate: cert},
		"needs a cert": {LDAPS: true},
		"starttls":     {ServerTLS: "tls"},
		"no such file": {ServerTLS: "ldaps", ServerCA: ca.ca() + "x"},
		"PEM":          {ServerTLS: "ldaps", ServerCA: key + ""},
		"private key":  {Certificate: key, Key: cert},
	} {
		if err := o.Check(); err == nil || names != "private key" && !strings.Contains(err.Error(), names) {
			t.Errorf("%s: %v", names, err)
		}
	}
	if err := (&Options{Certificate: cert, Key: key, LDAPS: true, ServerTLS: "ldaps", ServerCA: ca.ca()}).Check(); err != nil {
		t.Error(err)
	}
}
