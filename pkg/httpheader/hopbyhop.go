// Package httpheader removes hop-by-hop header fields as RFC 9110 requires, and measures request headers.
package httpheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the fields that apply to one connection only, by RFC 9110, section 7.6.1, or by older
// practice. Expect is among them because each hop answers it itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Authentication-Info",
	"Expect",
}

// StripHopByHop returns a copy of the header without hop-by-hop fields, including those that the
// Connection field names. If a response also closes the connection, net/http removes its Connection
// field before callers of net/http can read it, so fields that it named besides "close" are kept.
func StripHopByHop(header http.Header) http.Header {
	out := make(http.Header, len(header))
	for name, values := range header {
		name = textproto.CanonicalMIMEHeaderKey(name)
		out[name] = append(out[name], values...)
	}
	for _, line := range out["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// Size returns the size in bytes of a request's target and of its header names and values, without separators.
func Size(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
