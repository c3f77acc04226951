// Package certs loads the certificates of the callers' and operators' sides and
// takes in their replacements while the node runs.
package certs

import (
	"crypto/tls"
	"sync"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// reloadInterval is the least time between two readings of the files.
const reloadInterval = time.Minute

// Loader reads a certificate and its key from PEM files. The exported fields
// are set before use.
type Loader struct {
	CertFile string
	KeyFile  string
	Clock    ports.Clock

	mutex   sync.Mutex
	present *tls.Certificate
	loaded  time.Time
}

// Check reports whether the files hold a certificate and its key.
func (l *Loader) Check() error {
	_, err := l.certificate()
	return err
}

// Config returns a configuration for servers, TLS 1.2 and later, that offers
// the present certificate to each new connection.
func (l *Loader) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.certificate()
		},
	}
}

// certificate reads the files again from time to time. A replacement that
// cannot be read leaves the present certificate in use.
func (l *Loader) certificate() (*tls.Certificate, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Clock.Now()
	if l.present != nil && now.Sub(l.loaded) < reloadInterval {
		return l.present, nil
	}
	l.loaded = now
	next, err := tls.LoadX509KeyPair(l.CertFile, l.KeyFile)
	switch {
	case err == nil:
		l.present = &next
	case l.present == nil:
		return nil, fault.InvalidField("tls-cert", "%s", err)
	}
	return l.present, nil
}
