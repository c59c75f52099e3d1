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

// authority signs certificates for one fleet.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func template(serial int64, name string) *x509.Certificate {
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

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	ca := template(1, "fleet")
	ca.IsCA, ca.BasicConstraintsValid = true, true
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert: cert, key: key}
}

// write puts a new certificate of the authority into dir.
func (a authority) write(t *testing.T, dir string) (cert, key, ca string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template(time.Now().UnixNano(), "process"), a.cert, &private.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	put := func(name, kind string, b []byte) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	return put("cert", "CERTIFICATE", der), put("key", "PRIVATE KEY", keyDER), put("ca", "CERTIFICATE", a.cert.Raw)
}

func (a authority) load(t *testing.T, dir string) *Certificates {
	t.Helper()
	c, err := LoadCertificates(a.write(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Under mutual TLS a process needs a certificate of the fleet's authority as
// well as the key; reloaded files count for new connections.
func TestMutualTLS(t *testing.T) {
	fleet, other := newAuthority(t), newAuthority(t)
	s, err := Listen(ServerConfig{Address: "127.0.0.1:0", Local: Local{Name: "s"}, Auth: Auth{Key: testKey, TLS: fleet.load(t, t.TempDir())}, Handle: echo})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	ask := func(c *Certificates) error {
		p := NewPool(PoolConfig{Local: Local{Name: "c"}, Auth: Auth{Key: testKey, TLS: c}})
		defer p.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := p.Ask(ctx, s.Address(), callWith("x"))
		return err
	}
	if err := ask(fleet.load(t, t.TempDir())); err != nil {
		t.Errorf("a process of the fleet was refused: %v", err)
	}
	dir := t.TempDir()
	changed := other.load(t, dir)
	if err := ask(changed); err == nil {
		t.Error("a process of another authority was answered")
	}
	if err := ask(nil); err == nil {
		t.Error("a process without TLS was answered")
	}
	fleet.write(t, dir)
	if err := changed.Reload(); err != nil {
		t.Fatal(err)
	}
	if err := ask(changed); err != nil {
		t.Errorf("refused after the files were reloaded: %v", err)
	}
}
