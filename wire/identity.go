// Package wire exchanges msgpack messages between the processes of one fleet, in
// length-prefixed frames over mutually authenticated TLS 1.3.
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
	// minSecretBytes is the minimum size of a fleet secret: 128 bits.
	minSecretBytes = 16
	keyPurpose     = "tanagerbridge peer identity 1"
	nameSuffix     = ".tanagerbridge"
)

// Secrets are the fleet secrets that a process accepts. Previous is set only during a
// rotation.
type Secrets struct {
	Current, Previous []byte
}

// Identity derives the fleet's key pair from its secret and returns it with a
// self-signed certificate. All processes with the same secret have the same key. The
// error has kind KindInvalidSecret if the secret is shorter than 16 bytes.
func Identity(secret []byte) (tls.Certificate, error) {
	if len(secret) < minSecretBytes {
		return tls.Certificate{}, fault.Newf("identity", KindInvalidSecret, "secret has %d bytes, minimum is %d", len(secret), minSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, keyPurpose, ed25519.SeedSize)
	if err != nil {
		return tls.Certificate{}, fault.Wrap("identity", KindInvalidSecret, err)
	}
	private := ed25519.NewKeyFromSeed(seed)
	public, _ := private.Public().(ed25519.PublicKey)
	// Only the public key is verified, so the certificate need not expire.
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: serverName(public)},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(nil, template, template, public, private)
	if err != nil {
		return tls.Certificate{}, fault.Wrap("identity", KindInvalidSecret, err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return tls.Certificate{}, fault.Wrap("identity", KindInvalidSecret, err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private, Leaf: leaf}, nil
}

// serverName derives a TLS server name from a public key. During a rotation it tells
// the server which of its certificates to present.
func serverName(public ed25519.PublicKey) string {
	sum := sha256.Sum256(public)
	return hex.EncodeToString(sum[:8]) + nameSuffix
}

type keySet struct {
	certificates []tls.Certificate // current first
}

func newKeySet(secrets Secrets) (*keySet, error) {
	current, err := Identity(secrets.Current)
	if err != nil {
		return nil, err
	}
	keys := &keySet{certificates: []tls.Certificate{current}}
	if len(secrets.Previous) == 0 {
		return keys, nil
	}
	previous, err := Identity(secrets.Previous)
	if err != nil {
		return nil, err
	}
	keys.certificates = append(keys.certificates, previous)
	return keys, nil
}

// verify accepts only peers with a key of this fleet. The handshake has already
// proven that the peer holds the private key.
func (k *keySet) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New("verify", KindUnauthenticated)
	}
	public, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return fault.New("verify", KindUnauthenticated)
	}
	for _, c := range k.certificates {
		if public.Equal(c.Leaf.PublicKey) {
			return nil
		}
	}
	return fault.New("verify", KindUnauthenticated)
}

// server returns the TLS configuration of a server. It presents the certificate that the
// client names, so that processes with the old and the new secret can connect during a
// rotation.
func (k *keySet) server() *tls.Config {
	pool := x509.NewCertPool()
	for _, c := range k.certificates {
		pool.AddCert(c.Leaf)
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		ClientCAs:              pool, // only a hint to clients; verify decides
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

func (k *keySet) client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ServerName:         k.certificates[0].Leaf.Subject.CommonName,
		InsecureSkipVerify: true, // verify checks the public key instead
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
