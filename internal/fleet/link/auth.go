package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 3 * time.Second
)

// AuthError reports a peer that does not hold the fleet's key.
type AuthError struct{ Peer string }

// Error names the remedy.
func (e *AuthError) Error() string {
	return fmt.Sprintf("peer %s does not hold the fleet's key; check fleet_key_file on both sides", e.Peer)
}

// Auth proves membership of the fleet on each new connection.
type Auth struct {
	// Key is the fleet's shared key.
	Key []byte
	// TLS is the mutual TLS, nil for none.
	TLS *Certificates
}

// Certificates holds the TLS files and can read them again.
type Certificates struct {
	certFile, keyFile, caFile string
	current                   atomic.Pointer[tls.Config]
}

// LoadCertificates reads the files of mutual TLS.
func LoadCertificates(certFile, keyFile, caFile string) (*Certificates, error) {
	c := &Certificates{certFile: certFile, keyFile: keyFile, caFile: caFile}
	return c, c.Reload()
}

// Reload reads the files again. New connections use them; an error leaves the
// former ones in use.
func (c *Certificates) Reload() error {
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("load TLS certificate: %w; check tls.cert_file and tls.key_file", err)
	}
	pem, err := os.ReadFile(c.caFile)
	if err != nil {
		return fmt.Errorf("read TLS authority: %w; check tls.ca_file", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("no certificate in %s; check tls.ca_file", c.caFile)
	}
	c.current.Store(&tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		ServerName:   "hawthornhub",
	})
	return nil
}

// server secures an accepted connection.
func (a Auth) server(conn net.Conn) (net.Conn, error) {
	if a.TLS != nil {
		conn = tls.Server(conn, a.TLS.current.Load())
	}
	if err := a.prove(conn, "server", "client"); err != nil {
		return nil, err
	}
	return conn, nil
}

// client secures a dialled connection.
func (a Auth) client(conn net.Conn) (net.Conn, error) {
	if a.TLS != nil {
		conn = tls.Client(conn, a.TLS.current.Load())
	}
	if err := a.prove(conn, "client", "server"); err != nil {
		return nil, err
	}
	return conn, nil
}

// prove exchanges nonces and keyed hashes of them with the peer.
func (a Auth) prove(conn net.Conn, own, other string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("set handshake deadline: %w", err)
	}
	mine := make([]byte, nonceBytes)
	if _, err := rand.Read(mine); err != nil {
		return fmt.Errorf("read random nonce: %w", err)
	}
	if _, err := conn.Write(mine); err != nil {
		return fmt.Errorf("send nonce: %w", err)
	}
	theirs := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return fmt.Errorf("receive nonce: %w", err)
	}
	if _, err := conn.Write(a.sum(own, mine, theirs)); err != nil {
		return fmt.Errorf("send proof: %w", err)
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return errors.Join(&AuthError{Peer: conn.RemoteAddr().String()}, err)
	}
	if !hmac.Equal(proof, a.sum(other, theirs, mine)) {
		return &AuthError{Peer: conn.RemoteAddr().String()}
	}
	return conn.SetDeadline(time.Time{})
}

func (a Auth) sum(side string, first, second []byte) []byte {
	h := hmac.New(sha256.New, a.Key)
	h.Write([]byte(side))
	h.Write(first)
	h.Write(second)
	return h.Sum(nil)
}
