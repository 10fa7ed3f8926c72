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
	// minSubstring is the length from which a key is looked for inside of other values. A shorter
	// one would be found by chance; it is removed only where it is the whole value.
	minSubstring = 8
	// removed stands in a body for the caller's key.
	removed = "[removed]"
)

// credentials holds what a caller sent as its key, so that it can be kept from endpoints. It is
// never logged and has no exported form.
type credentials struct {
	// key is the one that authenticates the caller; empty if there is none.
	key string
	// all are the values to be removed from what is forwarded.
	all []string
	// known reports whether a value is a key of the bundle.
	known func(string) bool
}

// credentialsOf reads the caller's key from the request.
func credentialsOf(r *http.Request, known func(string) bool) (credentials, *result.Error) {
	c := credentials{known: known}
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
	if value != "" && !slices.Contains(c.all, value) {
		c.all = append(c.all, value)
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

// in reports whether the value holds a key.
func (c *credentials) in(value string) bool {
	if value == "" {
		return false
	}
	for _, secret := range c.all {
		if value == secret || len(secret) >= minSubstring && strings.Contains(value, secret) {
			return true
		}
	}
	return c.known(value) || c.known(authToken(value))
}

// inName reports whether a header field's name holds a key. Names have no case of their own: net/http
// has changed the one that the caller sent.
func (c *credentials) inName(name string) bool {
	lower := strings.ToLower(name)
	for _, secret := range c.all {
		if len(secret) >= minSubstring && strings.Contains(lower, strings.ToLower(secret)) {
			return true
		}
	}
	return c.in(name) || c.known(lower)
}

// query returns the raw query without the parameters that hold a key. A parameter that cannot be
// decoded is removed too.
func (c *credentials) query(raw string) string {
	if raw == "" {
		return ""
	}
	var kept []string
	for _, pair := range strings.Split(raw, "&") {
		name, value, _ := strings.Cut(pair, "=")
		plainName, err1 := url.QueryUnescape(name)
		plainValue, err2 := url.QueryUnescape(value)
		if err1 != nil || err2 != nil || c.in(plainName) || c.in(plainValue) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}

// never are the request fields that are not forwarded.
var never = []string{
	"Authorization", headerAPIKey, "Cookie", "Expect", "Content-Length", "Host", "Accept-Encoding",
}

// ownPrefix begins the names of mallowlink's own header fields.
const ownPrefix = "X-Mallowlink-"

// header returns the request header that a plain service gets.
func (c *credentials) header(in http.Header) http.Header {
	out := httpheader.StripHopByHop(in)
	for _, name := range never {
		out.Del(name)
	}
	for name, values := range out {
		if strings.HasPrefix(name, ownPrefix) || c.inName(name) || slices.ContainsFunc(values, c.in) {
			delete(out, name)
		}
	}
	return out
}

// body returns the body without the keys that stand in it as they are. A body that holds one in an
// escaped form is refused.
func (c *credentials) body(body []byte, contentType string) ([]byte, *result.Error) {
	for _, secret := range c.all {
		if len(secret) >= minSubstring {
			body = bytes.ReplaceAll(body, []byte(secret), []byte(removed))
		}
	}
	hidden := c.inJSON(body)
	if strings.HasPrefix(contentType, "application/x-www-form-urlencoded") {
		hidden = c.query(string(body)) != string(body)
	}
	if hidden {
		return nil, result.New(result.MalformedBody, "the body holds the caller's key")
	}
	return body, nil
}

// inJSON reports whether a JSON body holds a key in a string: one with escapes that the caller has also
// sent elsewhere, or, if the caller has sent none elsewhere, any key of the bundle. A body that is not
// JSON is scanned up to its first error.
func (c *credentials) inJSON(body []byte) bool {
	isKey := c.sent
	if len(c.all) == 0 {
		isKey = c.known
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

// sent reports whether the text holds a key that the caller sent with this request.
func (c *credentials) sent(text string) bool {
	return slices.ContainsFunc(c.all, func(secret string) bool {
		return len(secret) >= minSubstring && strings.Contains(text, secret)
	})
}
