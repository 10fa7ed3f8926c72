package bundle

import "encoding/hex"

// MaxNameBytes bounds the length of names and versions.
const MaxNameBytes = 128

// hashHexBytes is the length of a SHA-256 in hexadecimal.
const hashHexBytes = 64

// validName reports whether name may name a part of a bundle: letters, digits, dot, underscore and
// hyphen, beginning with a letter or digit.
func validName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for i := range len(name) {
		if !nameByte(name[i], i == 0) {
			return false
		}
	}
	return true
}

func nameByte(c byte, first bool) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	case c == '.', c == '_', c == '-':
		return !first
	}
	return false
}

// validHash reports whether h is a SHA-256 in lower-case hexadecimal.
func validHash(h string) bool {
	if len(h) != hashHexBytes {
		return false
	}
	raw, err := hex.DecodeString(h)
	return err == nil && hex.EncodeToString(raw) == h
}
