package suspect

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFingerprintsDistinguishRequests(t *testing.T) {
	base := Fingerprint("acme", Hash("POST", "/a/b?c", []byte("body")))
	require.Equal(t, base, Fingerprint("acme", Hash("POST", "/a/b?c", []byte("body"))))
	seen := map[uint64]bool{base: true, 0: true}
	for _, other := range []uint64{
		Fingerprint("other", Hash("POST", "/a/b?c", []byte("body"))),
		Fingerprint("acme", Hash("GET", "/a/b?c", []byte("body"))),
		Fingerprint("acme", Hash("POST", "/a/b", []byte("?cbody"))),
		Fingerprint("acme", Hash("POST", "/a/b?c", []byte("body2"))),
		Fingerprint("acme", Hash("POST", "/a/b?cbody", nil)),
	} {
		require.False(t, seen[other])
		seen[other] = true
	}
}
