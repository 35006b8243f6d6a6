// Package wire carries msgpack messages between the processes of one fleet, in
// length-prefixed frames over TLS 1.3.
package wire

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"math/big"
	"time"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

const (
	// minSecret is the shortest fleet secret in bytes: 128 bits.
	minSecret = 16
	purpose   = "tanagerbridge peer identity 1"
	domain    = ".tanagerbridge"
)

// Secrets are the fleet secrets that a process accepts. Previous may be empty.
type Secrets struct {
	Current, Previous []byte
}

// Identity derives the key pair of the fleet from its secret and returns it with a
// self-signed certificate. Every process with the same secret has the same key.
func Identity(secret []byte) (tls.Certificate, error) {
	if len(secret) < minSecret {
		return tls.Certificate{}, fault.Newf("identity", Secret, "%d bytes, at least %d needed", len(secret), minSecret)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, purpose, ed25519.SeedSize)
	if err != nil {
		return tls.Certificate{}, fault.Wrap("identity", Secret, err)
	}
	private := ed25519.NewKeyFromSeed(seed)
	public, _ := private.Public().(ed25519.PublicKey)
	// Only the key is compared, so the certificate never expires.
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name(public)},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(nil, template, template, public, private)
	if err != nil {
		return tls.Certificate{}, fault.Wrap("identity", Secret, err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return tls.Certificate{}, fault.Wrap("identity", Secret, err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private, Leaf: leaf}, nil
}

// name makes a server name from a public key. It tells the other side which of its
// keys to present during a rotation.
func name(public ed25519.PublicKey) string {
	sum := sha256.Sum256(public)
	return hex.EncodeToString(sum[:8]) + domain
}

type keys struct {
	certificates []tls.Certificate // current first
}

func newKeys(s Secrets) (*keys, error) {
	current, err := Identity(s.Current)
	if err != nil {
		return nil, err
	}
	k := &keys{certificates: []tls.Certificate{current}}
	if len(s.Previous) == 0 {
		return k, nil
	}
	previous, err := Identity(s.Previous)
	if err != nil {
		return nil, err
	}
	k.certificates = append(k.certificates, previous)
	return k, nil
}

// verify accepts the other side only with a key of this fleet. The handshake has
// already shown that it holds the private key.
func (k *keys) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return fault.New("verify", Unauthenticated)
	}
	public, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return fault.New("verify", Unauthenticated)
	}
	for _, c := range k.certificates {
		if public.Equal(c.Leaf.PublicKey) {
			return nil
		}
	}
	return fault.New("verify", Unauthenticated)
}

// server presents the key that the client names, so that processes with the old and
// the new secret reach each other while a rotation is under way.
func (k *keys) server() *tls.Config {
	pool := x509.NewCertPool()
	for _, c := range k.certificates {
		pool.AddCert(c.Leaf)
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		ClientCAs:              pool, // sent as a hint; verify decides
		VerifyConnection:       k.verify,
		SessionTicketsDisabled: true,
		GetCertificate: func(h *tls.ClientHelloInfo) (*tls.Certificate, error) {
			for i := range k.certificates {
				if k.certificates[i].Leaf.Subject.CommonName == h.ServerName {
					return &k.certificates[i], nil
				}
			}
			return &k.certificates[0], nil
		},
	}
}

func (k *keys) client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ServerName:         k.certificates[0].Leaf.Subject.CommonName,
		InsecureSkipVerify: true, // verify compares the public key instead
		VerifyConnection:   k.verify,
		GetClientCertificate: func(r *tls.CertificateRequestInfo) (*tls.Certificate, error) {
			for i := range k.certificates {
				if r.SupportsCertificate(&k.certificates[i]) == nil {
					return &k.certificates[i], nil
				}
			}
			return &k.certificates[0], nil
		},
	}
}
