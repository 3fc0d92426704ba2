package ldap

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"
)

// Options are the settings of an instance that speaks LDAP, besides core.Config. They can be compared.
type Options struct {
	MaxMessage int           // bytes of one message, both ways; 0: 1 MiB
	MaxOpen    int           // operations at once on one client connection; 0: 64
	MaxShared  int           // operations at once on one server connection; 0: 16
	MaxIdle    time.Duration // how long a client connection may be idle; 0: 15 min

	// Towards clients: files with a certificate and its key in PEM. With these StartTLS (RFC 4511, 4.14) is served, and
	// passwords are accepted under TLS alone; with LDAPS every connection begins with TLS.
	Certificate, Key string
	LDAPS            bool
	// Towards servers: "" (plain), "starttls" or "ldaps", a file with the CA's certificate in PEM, and the name that a
	// server's certificate must have. There is no fallback to plain.
	ServerTLS, ServerCA, ServerName string

	FilesDigest string // a digest of the files' content, so that options differ if a file does
}

// Defaults of Options.
const (
	defaultMaxMessage = 1 << 20
	defaultMaxOpen    = 64
	defaultMaxShared  = 16
	defaultMaxIdle    = 15 * time.Minute
)

// tlsConfigs returns the configurations towards clients and towards servers, nil where TLS is not set.
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

// Check returns an error if options contradict one another, or a file can't be used.
func (o *Options) Check() error {
	_, _, err := o.tlsConfigs()
	return err
}
