package link

import (
	"context"
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
)

// testCA is a certificate authority that issues certificates for one fleet.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func certTemplate(serial int64, name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{"hawthornhub"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newTestCA(t *testing.T) testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	ca := certTemplate(1, "fleet")
	ca.IsCA, ca.BasicConstraintsValid = true, true
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return testCA{cert: cert, key: key}
}

// write issues a certificate and writes it with its key and the CA to dir.
func (a testCA) write(t *testing.T, dir string) (cert, key, ca string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, certTemplate(time.Now().UnixNano(), "process"), a.cert, &private.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	writePEM := func(name, kind string, b []byte) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	return writePEM("cert", "CERTIFICATE", der), writePEM("key", "PRIVATE KEY", keyDER), writePEM("ca", "CERTIFICATE", a.cert.Raw)
}

// load issues a certificate and loads it from dir.
func (a testCA) load(t *testing.T, dir string) *Certificates {
	t.Helper()
	c, err := LoadCertificates(a.write(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// With mutual TLS a process needs a certificate from the fleet's CA as well as
// the fleet key. Reloaded files apply to new connections.
func TestMutualTLS(t *testing.T) {
	fleet, other := newTestCA(t), newTestCA(t)
	s, err := Listen(ServerConfig{Address: "127.0.0.1:0", Local: Local{Name: "s"}, Auth: Auth{Key: testKey, TLS: fleet.load(t, t.TempDir())}, Handle: echo})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	roundTrip := func(c *Certificates) error {
		p := NewPool(PoolConfig{Local: Local{Name: "c"}, Auth: Auth{Key: testKey, TLS: c}})
		defer p.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := p.RoundTrip(ctx, s.Address(), callWith("x"))
		return err
	}
	if err := roundTrip(fleet.load(t, t.TempDir())); err != nil {
		t.Errorf("a process of the fleet was refused: %v", err)
	}
	dir := t.TempDir()
	reloaded := other.load(t, dir)
	if err := roundTrip(reloaded); err == nil {
		t.Error("a process with a certificate of another CA got a reply")
	}
	if err := roundTrip(nil); err == nil {
		t.Error("a process without TLS got a reply")
	}
	fleet.write(t, dir)
	if err := reloaded.Reload(); err != nil {
		t.Fatal(err)
	}
	if err := roundTrip(reloaded); err != nil {
		t.Errorf("refused after the files were reloaded: %v", err)
	}
}
