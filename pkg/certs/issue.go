// Package certs issues certificates for tests and development, and reloads TLS configurations when
// their files change.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// PeerName is the DNS name in the certificate of every VM. VMs verify this name instead of each other's
// addresses, because every holder of a certificate issued by the peers' CA is accepted as a VM.
const PeerName = "vm.mallowlink.internal"

const (
	// serialBits is the length of the random serial numbers.
	serialBits = 127
	// backdate is how far the start of validity lies in the past, so that verifiers whose clocks are
	// behind accept a new certificate.
	backdate = 5 * time.Minute

	pemTypeCert = "CERTIFICATE"
	pemTypeKey  = "PRIVATE KEY"
)

// Pair is a certificate with its private key, both as PEM.
type Pair struct {
	Cert []byte
	Key  []byte
}

// Authority is a certificate authority for tests and development.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// Pair is the authority's own certificate and key.
	Pair Pair
}

// NewAuthority returns an authority with a new key and a self-signed certificate that is valid from
// backdate before now until validity after now.
func NewAuthority(name string, now time.Time, validity time.Duration) (*Authority, error) {
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return LoadAuthority(pair)
}

// LoadAuthority returns the authority with the given certificate and key.
func LoadAuthority(pair Pair) (*Authority, error) {
	certBlock, _ := pem.Decode(pair.Cert)
	keyBlock, _ := pem.Decode(pair.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, errors.New("certs: certificate or key of the authority is not PEM")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate of the authority")
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse key of the authority")
	}
	signer, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.New("certs: key of the authority is not ECDSA")
	}
	return &Authority{cert: cert, key: signer, Pair: pair}, nil
}

// Issue returns a new key and a certificate for a VM or a listener at the given addresses. The
// certificate also carries PeerName and is usable by servers and clients.
func (a *Authority) Issue(name string, addresses []netip.Addr, now time.Time, validity time.Duration) (Pair, error) {
	key, err := newKey()
	if err != nil {
		return Pair{}, err
	}
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{PeerName}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, address.AsSlice())
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return sign(template, a.cert, key, a.key)
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	return key, nil
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return Pair{}, errors.Wrap(err, "create certificate")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "encode key")
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: pemTypeCert, Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: raw}),
	}, nil
}
