// Package certs loads the TLS certificates of the client and admin listeners
// and reloads them when they are replaced.
package certs

import (
	"crypto/tls"
	"sync"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// reloadInterval is the minimum time between two reads of the files after a
// certificate has been loaded.
const reloadInterval = time.Minute

// Loader loads a certificate and its private key from PEM files. The exported
// fields are set before use.
type Loader struct {
	CertFile string
	KeyFile  string
	Clock    ports.Clock

	mutex       sync.Mutex
	current     *tls.Certificate
	attemptedAt time.Time // Time of the last read of the files.
}

// Check returns an error if no certificate and key have been loaded yet and the
// files do not hold a valid pair.
func (l *Loader) Check() error {
	_, err := l.certificate()
	return err
}

// Config returns a server configuration for TLS 1.2 and later that uses the
// current certificate for each new connection. A failed reload is not reported;
// a handshake fails only if no certificate has been loaded.
func (l *Loader) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.certificate()
		},
	}
}

// certificate returns the current certificate and reloads the files if the last
// attempt is older than reloadInterval. If the reload fails, the current
// certificate stays in use.
func (l *Loader) certificate() (*tls.Certificate, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Clock.Now()
	if l.current != nil && now.Sub(l.attemptedAt) < reloadInterval {
		return l.current, nil
	}
	l.attemptedAt = now
	next, err := tls.LoadX509KeyPair(l.CertFile, l.KeyFile)
	switch {
	case err == nil:
		l.current = &next
	case l.current == nil:
		return nil, fault.InvalidField("tls-cert", "%s", err)
	}
	return l.current, nil
}
