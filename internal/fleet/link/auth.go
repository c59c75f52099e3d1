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

// AuthError reports a peer that failed to prove that it holds the fleet key.
type AuthError struct{ Peer string }

// Error returns the peer's address and the setting to check.
func (e *AuthError) Error() string {
	return fmt.Sprintf("peer %s does not hold the fleet's key; check fleet_key_file on both sides", e.Peer)
}

// Auth authenticates both sides of each new connection.
type Auth struct {
	// Key is the secret shared by all processes of the fleet.
	Key []byte
	// TLS holds the certificates for mutual TLS; nil disables TLS.
	TLS *Certificates
}

// Certificates is a TLS configuration that can be reloaded from its files.
type Certificates struct {
	certFile, keyFile, caFile string
	current                   atomic.Pointer[tls.Config]
}

// LoadCertificates reads the certificate, private key and CA files for mutual
// TLS.
func LoadCertificates(certFile, keyFile, caFile string) (*Certificates, error) {
	c := &Certificates{certFile: certFile, keyFile: keyFile, caFile: caFile}
	return c, c.Reload()
}

// Reload reads the files again. New connections use the new configuration; on
// error the previous one stays in use.
func (c *Certificates) Reload() error {
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("load TLS certificate: %w; check tls.cert_file and tls.key_file", err)
	}
	pem, err := os.ReadFile(c.caFile)
	if err != nil {
		return fmt.Errorf("read TLS CA certificates: %w; check tls.ca_file", err)
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

// server authenticates an accepted connection, over TLS if configured.
func (a Auth) server(conn net.Conn) (net.Conn, error) {
	if a.TLS != nil {
		conn = tls.Server(conn, a.TLS.current.Load())
	}
	if err := a.handshake(conn, "server", "client"); err != nil {
		return nil, err
	}
	return conn, nil
}

// client authenticates a dialled connection, over TLS if configured.
func (a Auth) client(conn net.Conn) (net.Conn, error) {
	if a.TLS != nil {
		conn = tls.Client(conn, a.TLS.current.Load())
	}
	if err := a.handshake(conn, "client", "server"); err != nil {
		return nil, err
	}
	return conn, nil
}

// handshake exchanges random nonces with the peer, then MACs over both nonces.
// The side names in the MACs keep a peer from echoing the MAC that it received.
func (a Auth) handshake(conn net.Conn, localSide, peerSide string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("set handshake deadline: %w", err)
	}
	localNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(localNonce); err != nil {
		return fmt.Errorf("read random nonce: %w", err)
	}
	if _, err := conn.Write(localNonce); err != nil {
		return fmt.Errorf("send nonce: %w", err)
	}
	peerNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, peerNonce); err != nil {
		return fmt.Errorf("receive nonce: %w", err)
	}
	if _, err := conn.Write(a.mac(localSide, localNonce, peerNonce)); err != nil {
		return fmt.Errorf("send proof: %w", err)
	}
	peerMAC := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, peerMAC); err != nil {
		return errors.Join(&AuthError{Peer: conn.RemoteAddr().String()}, err)
	}
	if !hmac.Equal(peerMAC, a.mac(peerSide, peerNonce, localNonce)) {
		return &AuthError{Peer: conn.RemoteAddr().String()}
	}
	return conn.SetDeadline(time.Time{})
}

// mac returns the proof of one side: the HMAC-SHA-256 of the side's name, its own
// nonce and the other side's nonce.
func (a Auth) mac(side string, ownNonce, otherNonce []byte) []byte {
	h := hmac.New(sha256.New, a.Key)
	h.Write([]byte(side))
	h.Write(ownNonce)
	h.Write(otherNonce)
	return h.Sum(nil)
}
