package settings

import (
	"crypto/ed25519"
	"encoding/hex"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/pkg/inifile"
)

// noDefault is the default text of an optional key without a default value.
const noDefault = "none"

// The functions below return the fields for the kinds of values. The target function returns the setting
// that the value is stored in.

// textField returns a field for a required key with any text as its value.
func textField(section, key, doc string, target func(*Settings) *string) field {
	read := func(r *reader, f field, s *Settings) {
		*target(s) = r.section(f.section).Required(f.key)
	}
	return field{section, key, "text", "required", doc, read}
}

// addressField returns a field for an IP address and port in the section listen.
func addressField(key, fallback, doc string, target func(*Settings) *string) field {
	read := func(r *reader, f field, s *Settings) {
		section := r.section(f.section)
		v := section.String(f.key, fallback)
		if _, err := netip.ParseAddrPort(v); err != nil {
			section.Fail(f.key, "%q is not an IP address and port, such as 127.0.0.1:8080", v)
		}
		*target(s) = v
	}
	return field{"listen", key, "IP:port", fallback, doc, read}
}

// fileField returns a field for an optional file name in the section tls. The file must exist; relative
// names are relative to the directory of the settings file.
func fileField(key, doc string, target func(*Settings) *string) field {
	read := func(r *reader, f field, s *Settings) {
		section := r.section(f.section)
		v := section.String(f.key, "")
		if v == "" {
			return
		}
		if !filepath.IsAbs(v) {
			v = filepath.Join(filepath.Dir(r.path), v)
		}
		if info, err := os.Stat(v); err != nil || info.IsDir() {
			section.Fail(f.key, "file %s is missing or not readable", v)
		}
		*target(s) = v
	}
	return field{"tls", key, "file", noDefault, doc, read}
}

// urlField returns a field for a required URL in the section platform. A trailing slash is removed,
// because paths are appended to the URL.
func urlField(key, doc string, target func(*Settings) *string) field {
	read := func(r *reader, f field, s *Settings) {
		*target(s) = strings.TrimSuffix(r.section(f.section).URL(f.key), "/")
	}
	return field{"platform", key, "URL by IP", "required", doc, read}
}

// durationField returns a field for a duration from 1 ms to maxDuration.
func durationField(section, key string, fallback time.Duration, doc string, target func(*Settings) *time.Duration) field {
	read := func(r *reader, f field, s *Settings) {
		*target(s) = r.section(f.section).Duration(f.key, fallback, time.Millisecond, maxDuration)
	}
	return field{section, key, "duration", formatDuration(fallback), doc, read}
}

// formatDuration formats a duration without trailing zero units, so that 10m0s becomes 10m.
func formatDuration(d time.Duration) string {
	v := d.String()
	if strings.HasSuffix(v, "m0s") {
		v = strings.TrimSuffix(v, "0s")
	}
	if strings.HasSuffix(v, "h0m") {
		v = strings.TrimSuffix(v, "0m")
	}
	return v
}

// sizeField returns a field for a number of bytes, from 1 to maxBytes, in the section limits.
func sizeField(key string, fallback int64, doc string, target func(*Settings) *int64) field {
	read := func(r *reader, f field, s *Settings) {
		*target(s) = r.section(f.section).Bytes(f.key, fallback, 1, maxBytes)
	}
	return field{"limits", key, "size", inifile.FormatBytes(fallback), doc, read}
}

// countField returns a field for an integer from 1 to maxCount.
func countField(section, key string, fallback int64, doc string, target func(*Settings) *int) field {
	read := func(r *reader, f field, s *Settings) {
		*target(s) = int(r.section(f.section).Int(f.key, fallback, 1, maxCount))
	}
	return field{section, key, "count", strconv.FormatInt(fallback, 10), doc, read}
}

// enumField returns a field in the section log whose value must be one of the options.
func enumField(key, fallback string, options []string, doc string, target func(*Settings) *string) field {
	read := func(r *reader, f field, s *Settings) {
		*target(s) = r.section(f.section).Enum(f.key, fallback, options...)
	}
	return field{"log", key, strings.Join(options, ", "), fallback, doc, read}
}

// signersField returns the field for the list of Ed25519 public keys of the bundle's signers.
func signersField() field {
	read := func(r *reader, f field, s *Settings) {
		section := r.section(f.section)
		section.Required(f.key)
		items := section.List(f.key)
		if len(items) > maxSigners {
			section.Fail(f.key, "%d signers are more than %d", len(items), maxSigners)
		}
		for _, item := range items {
			key, err := hex.DecodeString(item)
			if err != nil || len(key) != ed25519.PublicKeySize {
				section.Fail(f.key, "%q is not an ed25519 public key in hexadecimal", item)
				continue
			}
			s.Bundle.Signers = append(s.Bundle.Signers, key)
		}
	}
	return field{"bundle", "signers", "list of public keys", "required", "Ed25519 public keys, in hexadecimal, whose signatures count.", read}
}
