package ldap

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"
)

// Options are the settings of an instance that serves LDAP, besides core.Config. Options can be compared with ==.
type Options struct {
	MaxMessage int           // maximum size of a message in bytes, in both directions; 0: 1 MiB
	MaxOpen    int           // maximum number of open operations on one client connection; 0: 64
	MaxShared  int           // maximum number of open operations on one server connection; 0: 16
	MaxIdle    time.Duration // how long a client connection may be idle; 0: 15 min

	// For client connections: the files of a certificate and its key in PEM. If they are set, StartTLS (RFC 4511,
	// 4.14) is offered, and passwords are accepted under TLS only. If LDAPS is set, every connection begins with TLS.
	Certificate, Key string
	LDAPS            bool
	// For server connections: "" (no TLS), "starttls" or "ldaps"; a file with the CA's certificate in PEM; and the
	// name that a server's certificate must have. The agent never falls back to a connection without TLS.
	ServerTLS, ServerCA, ServerName string

	FilesDigest string // a digest of the files' contents, so that Options compare unequal when a file has changed
}

// Defaults of Options.
const (
	defaultMaxMessage = 1 << 20
	defaultMaxOpen    = 64
	defaultMaxShared  = 16
	defaultMaxIdle    = 15 * time.Minute
)

// tlsConfigs returns the TLS configurations for client connections and for server connections, nil where TLS is not
// set.
func (o *Options) tlsConfigs() (clients, servers *tls.Config, err error) {
	if (o.Certificate == "") != (o.Key == "") {
		return nil, nil, errors.New("certificate and key go together")
	}
	if o.LDAPS && o.Certificate == "" {
		return nil, nil, errors.New("ldaps needs a certificate")
	}
	if o.Certificate != "" {
		c, err := tls.LoadX509KeyPair(o.Certificate, o.Key)
		if err != nil {
			return nil, nil, err
		}
		clients = &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS12}
	}
	switch o.ServerTLS {
	case "":
		return clients, nil, nil
	case "starttls", "ldaps":
	default:
		return nil, nil, fmt.Errorf("server_tls: %q is none of starttls, ldaps", o.ServerTLS)
	}
	servers = &tls.Config{ServerName: o.ServerName, MinVersion: tls.VersionTLS12}
	if o.ServerCA != "" {
		text, err := os.ReadFile(o.ServerCA)
		if err != nil {
			return nil, nil, err
		}
		servers.RootCAs = x509.NewCertPool()
		if !servers.RootCAs.AppendCertsFromPEM(text) {
			return nil, nil, fmt.Errorf("%s: no certificate in PEM", o.ServerCA)
		}
	}
	return clients, servers, nil
}

// Check returns an error if options contradict each other, or if a file can't be used.
func (o *Options) Check() error {
	_, _, err := o.tlsConfigs()
	return err
}
