package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/mallowlink/mallowlink/pkg/httpheader"
	"github.com/mallowlink/mallowlink/pkg/result"
)

const (
	headerAPIKey = "X-Api-Key"
	bearerScheme = "bearer"
	// minSubstringLength is the length in bytes from which a key is searched for inside other values. A
	// shorter one could occur there by chance; it is removed only where it is the whole value.
	minSubstringLength = 8
	// redacted replaces the caller's key in a body.
	redacted = "[removed]"
)

// credentials holds the keys that a caller sent, so that they can be removed from what endpoints receive.
// It must not be logged; it has no exported fields.
type credentials struct {
	// key is the key that authenticates the caller; empty if the caller sent none.
	key string
	// secrets lists all values that the caller sent as credentials. They are removed from what is forwarded.
	secrets []string
	// isKey reports whether a value is a valid key of any client account in the bundle.
	isKey func(string) bool
}

// readCredentials reads the caller's credentials from the request.
func readCredentials(r *http.Request, known func(string) bool) (credentials, *result.Error) {
	c := credentials{isKey: known}
	if len(r.Header.Values("Authorization")) > 1 || len(r.Header.Values(headerAPIKey)) > 1 {
		return c, result.New(result.BadHeader, "Authorization and X-Api-Key may be sent once")
	}
	for _, name := range []string{"Authorization", "Proxy-Authorization"} {
		token := authToken(r.Header.Get(name))
		c.add(token)
		if name == "Authorization" && isBearer(r.Header.Get(name)) {
			c.key = token
		}
	}
	apiKey := strings.TrimSpace(r.Header.Get(headerAPIKey))
	c.add(apiKey)
	if c.key == "" {
		c.key = apiKey
	}
	return c, nil
}

func (c *credentials) add(value string) {
	if value != "" && !slices.Contains(c.secrets, value) {
		c.secrets = append(c.secrets, value)
	}
}

func isBearer(value string) bool {
	scheme, _, ok := strings.Cut(strings.TrimSpace(value), " ")
	return ok && strings.EqualFold(scheme, bearerScheme)
}

// authToken returns the part of an Authorization value after the scheme.
func authToken(value string) string {
	value = strings.TrimSpace(value)
	if _, token, ok := strings.Cut(value, " "); ok {
		return strings.TrimSpace(token)
	}
	return value
}

func (c *credentials) hash() [sha256.Size]byte { return sha256.Sum256([]byte(c.key)) }

// foundIn reports whether the value contains a key that the caller sent, or is any key of the bundle.
func (c *credentials) foundIn(value string) bool {
	if value == "" {
		return false
	}
	for _, secret := range c.secrets {
		if value == secret || len(secret) >= minSubstringLength && strings.Contains(value, secret) {
			return true
		}
	}
	return c.isKey(value) || c.isKey(authToken(value))
}

// foundInName reports whether a header field's name contains a key. The comparison ignores case, because
// net/http has already changed the case that the caller sent.
func (c *credentials) foundInName(name string) bool {
	lower := strings.ToLower(name)
	for _, secret := range c.secrets {
		if len(secret) >= minSubstringLength && strings.Contains(lower, strings.ToLower(secret)) {
			return true
		}
	}
	return c.foundIn(name) || c.isKey(lower)
}

// redactQuery returns the raw query without the parameters that contain a key. Parameters that cannot be
// decoded are removed too.
func (c *credentials) redactQuery(raw string) string {
	if raw == "" {
		return ""
	}
	var kept []string
	for _, pair := range strings.Split(raw, "&") {
		name, value, _ := strings.Cut(pair, "=")
		plainName, err1 := url.QueryUnescape(name)
		plainValue, err2 := url.QueryUnescape(value)
		if err1 != nil || err2 != nil || c.foundIn(plainName) || c.foundIn(plainValue) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}

// notForwarded lists the request's header fields that are never forwarded to endpoints.
var notForwarded = []string{
	"Authorization", headerAPIKey, "Cookie", "Expect", "Content-Length", "Host", "Accept-Encoding",
}

// ownPrefix is the prefix of mallowlink's own header fields.
const ownPrefix = "X-Mallowlink-"

// redactHeader returns the header that is forwarded to a plain service.
func (c *credentials) redactHeader(in http.Header) http.Header {
	out := httpheader.StripHopByHop(in)
	for _, name := range notForwarded {
		out.Del(name)
	}
	for name, values := range out {
		if strings.HasPrefix(name, ownPrefix) || c.foundInName(name) || slices.ContainsFunc(values, c.foundIn) {
			delete(out, name)
		}
	}
	return out
}

// redactBody returns the body with the keys that occur in it literally replaced. A body that contains a key
// in an escaped form is refused.
func (c *credentials) redactBody(body []byte, contentType string) ([]byte, *result.Error) {
	for _, secret := range c.secrets {
		if len(secret) >= minSubstringLength {
			body = bytes.ReplaceAll(body, []byte(secret), []byte(redacted))
		}
	}
	hidden := c.foundInJSON(body)
	if strings.HasPrefix(contentType, "application/x-www-form-urlencoded") {
		hidden = c.redactQuery(string(body)) != string(body)
	}
	if hidden {
		return nil, result.New(result.MalformedBody, "the body holds the caller's key")
	}
	return body, nil
}

// foundInJSON reports whether a string in a JSON body contains a key. If the caller sent keys as credentials,
// only these are searched for, and only in bodies with escapes, since literal ones are already replaced.
// If it sent none, the strings are compared with all keys of the bundle. A body that is not JSON is
// scanned up to its first syntax error.
func (c *credentials) foundInJSON(body []byte) bool {
	isKey := c.sentIn
	if len(c.secrets) == 0 {
		isKey = c.isKey
	} else if !bytes.ContainsRune(body, '\\') {
		return false
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	for {
		token, err := d.Token()
		if err != nil {
			return false
		}
		text, ok := token.(string)
		if ok && isKey(text) {
			return true
		}
	}
}

// sentIn reports whether the text contains a key that the caller sent as a credential of this request.
func (c *credentials) sentIn(text string) bool {
	return slices.ContainsFunc(c.secrets, func(secret string) bool {
		return len(secret) >= minSubstringLength && strings.Contains(text, secret)
	})
}
