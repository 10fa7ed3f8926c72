// Package httpheader holds what RFC 9110 says of header fields.
package httpheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the fields that RFC 9110, section 7.6.1, and older practice confine to one
// connection. Expect is answered by each hop.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Authentication-Info",
	"Expect",
}

// StripHopByHop returns a copy of the header without hop-by-hop fields, also those that the
// Connection field names. Of an answer that also has the connection closed, net/http removes the
// Connection field before anyone sees it, so the fields that it named beside "close" are kept.
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

// Size returns the bytes of a request's target and of its header fields, without what separates them.
func Size(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
