package ldap

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"
)

// Options are what an instance that speaks LDAP is told besides core.Config. They can be compared.
type Options struct {
	MaxMessage int           // bytes of one message, both ways; 0: 1 MiB
	MaxOpen    int           // operations at once on one client connection; 0: 64
	MaxShared  int           // operations at once on one server connection; 0: 16
	MaxIdle    time.Duration // a client connection on which nothing is asked for so long ends; 0: 15 min

	// Towards clients: a certificate and its key in PEM. With one, StartTLS (RFC 4511, 4.14) is served, and
	// passwords are taken under TLS only; LDAPS has every connection begin with TLS.
	Certificate, Key string
	LDAPS            bool
	// Towards servers: "" (plain), "starttls" or "ldaps", with the CA's certificate in PEM and the name that a
	// server's certificate must be of. What can't be had so is not tried otherwise.
	ServerTLS, ServerCA, ServerName string

	FilesDigest string // a sum of the files, so that a changed one is a change
}

const (
	defaultMaxMessage = 1 << 20
	defaultMaxOpen    = 64
	defaultMaxShared  = 16
	defaultMaxIdle    = 15 * time.Minute
)

// tlsConfigs reads the files: for clients and for servers, nil where there is none.
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

// Check reports what makes no sense, the files included.
func (o *Options) Check() error {
	_, _, err := o.tlsConfigs()
	return err
}
