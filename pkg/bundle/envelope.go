package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// An envelope is a line that names the format, one line for each signature, an empty line and the
// canonical text of a bundle:
//
//	mallowlink-bundle 1
//	signature PUBLIC-KEY SIGNATURE
//
//	[bundle]
//	...
//
// A signature covers signedPrefix and the SHA-256 of the text.
const (
	envelopeMagic   = "mallowlink-bundle 1"
	signatureWord   = "signature"
	signedPrefix    = "mallowlink bundle 1\n"
	endOfHead       = "\n\n"
	signatureFields = 3
	// envelopeSource stands for the file in faults of a signed text.
	envelopeSource = "bundle"
)

// MaxSignatures bounds the signatures of an envelope.
const MaxSignatures = 16

// maxHeadBytes bounds the lines before the text.
const maxHeadBytes = 8 << 10

// MaxEnvelopeBytes bounds an envelope.
const MaxEnvelopeBytes = MaxBytes + maxHeadBytes

// Errors of envelopes, possibly wrapped.
var (
	// ErrEnvelope says that the envelope is malformed or too large.
	ErrEnvelope = errors.New("bundle: malformed envelope")
	// ErrSignatures says that a signature is wrong or that too few signers have signed.
	ErrSignatures = errors.New("bundle: not signed as required")
	// ErrNotCanonical says that the signed text is not in canonical form.
	ErrNotCanonical = errors.New("bundle: text is not in canonical form")
	// ErrDraft says that the text has no version.
	ErrDraft = errors.New("bundle: text has no version")
)

// Signature is one signer's signature.
type Signature struct {
	Signer ed25519.PublicKey
	Sig    []byte
}

// Envelope is the canonical text of a bundle with its signatures.
type Envelope struct {
	Signatures []Signature
	Body       []byte
}

// Seal returns an envelope without signatures. It fails with ErrDraft.
func Seal(b *Bundle) (*Envelope, error) {
	if b.Version == 0 {
		return nil, ErrDraft
	}
	return &Envelope{Body: Canonical(b)}, nil
}

// Hash returns the hexadecimal SHA-256 of the text, which names the bundle.
func (e *Envelope) Hash() string { return Hash(e.Body) }

func (e *Envelope) message() []byte {
	sum := sha256.Sum256(e.Body)
	return append([]byte(signedPrefix), sum[:]...)
}

// Sign adds the signer's signature, or replaces it.
func (e *Envelope) Sign(key ed25519.PrivateKey) {
	signer := key.Public().(ed25519.PublicKey)
	e.Signatures = slices.DeleteFunc(e.Signatures, func(s Signature) bool { return signer.Equal(s.Signer) })
	e.Signatures = append(e.Signatures, Signature{Signer: signer, Sig: ed25519.Sign(key, e.message())})
}

// Verify checks that at least required of the signers have signed. Signatures of others do not
// count; a wrong one of a signer is an error.
func (e *Envelope) Verify(signers []ed25519.PublicKey, required int) error {
	message := e.message()
	valid := map[string]bool{}
	for _, s := range e.Signatures {
		if !slices.ContainsFunc(signers, func(k ed25519.PublicKey) bool { return k.Equal(s.Signer) }) {
			continue
		}
		if !ed25519.Verify(s.Signer, message, s.Sig) {
			return errors.Wrapf(ErrSignatures, "wrong signature of %x", []byte(s.Signer))
		}
		valid[string(s.Signer)] = true
	}
	if len(valid) < max(required, 1) {
		return errors.Wrapf(ErrSignatures, "%d of %d required signers", len(valid), max(required, 1))
	}
	return nil
}

// Marshal returns the envelope's bytes.
func (e *Envelope) Marshal() []byte {
	head := e.MarshalHead()
	return append(head, e.Body...)
}

// MarshalHead returns the bytes before the text.
func (e *Envelope) MarshalHead() []byte {
	var buf bytes.Buffer
	buf.WriteString(envelopeMagic + "\n")
	for _, s := range e.Signatures {
		buf.WriteString(signatureWord + " " + hex.EncodeToString(s.Signer) + " " + hex.EncodeToString(s.Sig) + "\n")
	}
	buf.WriteByte('\n')
	return buf.Bytes()
}

// ParseEnvelope parses the head of an envelope and leaves the text as it is. The text shares memory
// with data.
func ParseEnvelope(data []byte) (*Envelope, error) {
	if len(data) > MaxEnvelopeBytes {
		return nil, errors.Wrapf(ErrEnvelope, "larger than %d bytes", MaxEnvelopeBytes)
	}
	end := bytes.Index(data[:min(len(data), maxHeadBytes)], []byte(endOfHead))
	if end < 0 {
		return nil, errors.Wrap(ErrEnvelope, "no end of head")
	}
	lines := strings.Split(string(data[:end]), "\n")
	if lines[0] != envelopeMagic {
		return nil, errors.Wrap(ErrEnvelope, "unknown format")
	}
	if len(lines)-1 > MaxSignatures {
		return nil, errors.Wrapf(ErrEnvelope, "more than %d signatures", MaxSignatures)
	}
	e := &Envelope{Body: data[end+len(endOfHead):]}
	for _, line := range lines[1:] {
		s, err := parseSignature(line)
		if err != nil {
			return nil, err
		}
		e.Signatures = append(e.Signatures, s)
	}
	return e, nil
}

func parseSignature(line string) (Signature, error) {
	parts := strings.Split(line, " ")
	if len(parts) != signatureFields || parts[0] != signatureWord {
		return Signature{}, errors.Wrap(ErrEnvelope, "malformed line")
	}
	signer, err := hex.DecodeString(parts[1])
	if err != nil || len(signer) != ed25519.PublicKeySize {
		return Signature{}, errors.Wrap(ErrEnvelope, "malformed public key")
	}
	sig, err := hex.DecodeString(parts[2])
	if err != nil || len(sig) != ed25519.SignatureSize {
		return Signature{}, errors.Wrap(ErrEnvelope, "malformed signature")
	}
	return Signature{Signer: signer, Sig: sig}, nil
}

// Bundle parses the text, which must be in canonical form.
func (e *Envelope) Bundle() (*Bundle, error) {
	b, err := Parse(Source{Name: envelopeSource, Data: e.Body})
	if err != nil {
		return nil, err
	}
	if b.Version == 0 {
		return nil, ErrDraft
	}
	if !bytes.Equal(Canonical(b), e.Body) {
		return nil, ErrNotCanonical
	}
	return b, nil
}

// Trust says whose signatures make a bundle valid.
type Trust struct {
	Signers []ed25519.PublicKey
	// Required is the number of different signers that a bundle needs.
	Required int
}

// Open parses an envelope, verifies its signatures and only then parses its text.
func (t Trust) Open(data []byte) (*Bundle, *Envelope, error) {
	e, err := ParseEnvelope(data)
	if err != nil {
		return nil, nil, err
	}
	if err := e.Verify(t.Signers, t.Required); err != nil {
		return nil, nil, err
	}
	b, err := e.Bundle()
	if err != nil {
		return nil, nil, err
	}
	return b, e, nil
}

// IsEnvelope reports whether data begins like an envelope.
func IsEnvelope(data []byte) bool { return bytes.HasPrefix(data, []byte(envelopeMagic+"\n")) }
