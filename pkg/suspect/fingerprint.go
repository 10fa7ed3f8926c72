package suspect

import (
	"crypto/sha256"
	"encoding/binary"
)

// Hash identifies equal requests by method, target (path and query) and body. Its cost grows with the size of the body.
func Hash(method, target string, body []byte) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{method, target} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// Fingerprint identifies equal requests of one client account, from their Hash. It is never 0.
func Fingerprint(account string, sum [sha256.Size]byte) uint64 {
	h := sha256.New()
	h.Write(sum[:])
	h.Write([]byte(account))
	return max(1, binary.BigEndian.Uint64(h.Sum(nil)))
}
