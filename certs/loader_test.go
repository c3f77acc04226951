package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/script"
)

// step is a change of the files, or a handshake, at a point in time.
type step struct {
	AtSeconds int    `json:"at_seconds"`
	Write     string `json:"write"` // Common name of a new certificate to write; "broken" writes an invalid file.
	Name      string `json:"name"`  // Expected common name of the certificate in use.
	Field     string `json:"field"` // Expected field of the error.
}

func TestRotation(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, steps []step) {
		dir := t.TempDir()
		clock := &fixedClock{}
		l := &Loader{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), Clock: clock}
		for i, s := range steps {
			clock.now = time.Unix(int64(s.AtSeconds), 0)
			if s.Write != "" {
				write(t, l, s.Write)
			}
			got := step{AtSeconds: s.AtSeconds, Write: s.Write}
			if c, err := l.Config().GetCertificate(nil); err != nil {
				got.Field = fault.From(err).Field
			} else {
				got.Name = c.Leaf.Subject.CommonName
			}
			if diff := cmp.Diff(s, got); diff != "" {
				t.Fatalf("step %d (-want +got):\n%s", i, diff)
			}
		}
	})
}

type fixedClock struct{ now time.Time }

func (f *fixedClock) Now() time.Time                       { return f.now }
func (f *fixedClock) After(time.Duration) <-chan time.Time { return nil }

// write writes a self-signed certificate with the given common name.
func write(t *testing.T, l *Loader, name string) {
	t.Helper()
	if name == "broken" {
		save(t, l.CertFile, []byte("invalid"))
		return
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	save(t, l.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	save(t, l.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
}

func save(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}
