package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
)

// FuzzRequest sends arbitrary raw HTTP requests to the handler. Each must get a status, and the caller's key
// must never reach an endpoint.
func FuzzRequest(f *testing.F) {
	f.Add("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 60\r\n\r\n{\"model\":\"help\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]} ")
	f.Add("GET /tags/1?k=" + testKey + " HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + testKey + "\r\nConnection: x-api-key\r\n\r\n")
	f.Add("POST /issues HTTP/1.1\r\nHost: x\r\nAuthorization: bearer " + testKey + "\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n1\r\nx\r\n0\r\nX-T: " + testKey + "\r\n\r\n")
	s := newTestbed(f, threeEvents)
	f.Fuzz(func(t *testing.T, raw string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil || r.Body == nil {
			t.Skip()
		}
		seen := len(s.endpoint.Calls())
		w := httptest.NewRecorder()
		s.handler.ServeHTTP(w, r)
		if w.Code < http.StatusOK {
			t.Fatalf("status %d", w.Code)
		}
		for _, call := range s.endpoint.Calls()[seen:] {
			forwarded, _ := json.Marshal(call.Call)
			if bytes.Contains(forwarded, []byte(testKey)) || bytes.Contains(call.Call.Body, []byte(testKey)) {
				t.Fatalf("the key is forwarded: %s", forwarded)
			}
		}
	})
}

// FuzzCompletion checks that every accepted body is forwarded as valid JSON with the adapter version as the
// model, the upper bound of output tokens and all other fields.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"help","messages":[1],"max_tokens":5,"n":2,"stream":true}`))
	f.Add([]byte(`{"model":"help","messages":[1],"max_completion_tokens":5,"x":{"y":[null]}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, e := parseCompletion(body, "messages")
		if e != nil {
			return
		}
		fields := len(c.fields)
		out, e := c.engineBody(endpoint.AdapterVersion{Adapter: "a", Version: "1"}, 7)
		if e != nil {
			t.Fatal(e)
		}
		var got map[string]json.RawMessage
		if err := json.Unmarshal(out, &got); err != nil {
			t.Fatal(err)
		}
		if string(got["model"]) != `"a:1"` || len(got) < fields-1 || len(got) > fields+1 {
			t.Fatalf("forwarded %s", out)
		}
	})
}

// FuzzQuery checks with net/url's parser that no key is left in a query after the removal of keys.
func FuzzQuery(f *testing.F) {
	f.Add("a=1&k=" + testKey + "&b=%6bey&&c")
	f.Add("%zz=1&a;b=2&" + testKey + "=1")
	c := credentials{secrets: []string{testKey}, isKey: func(string) bool { return false }}
	f.Fuzz(func(t *testing.T, raw string) {
		kept := c.redactQuery(raw)
		values, err := url.ParseQuery(kept)
		if err != nil && !strings.Contains(kept, ";") {
			t.Fatal(err)
		}
		for name, list := range values {
			if strings.Contains(name+"\x00"+strings.Join(list, "\x00"), testKey) {
				t.Fatalf("key in %q", kept)
			}
		}
	})
}

// FuzzEvent checks that data is read from an event stream as it was written, except for its line breaks, and
// that data can neither end its event nor begin another.
func FuzzEvent(f *testing.F) {
	f.Add("error", []byte("a\nb\r\nc\rd"))
	f.Add("", []byte("\n\ndata: forged\n\n"))
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		if strings.ContainsAny(name, "\r\n") {
			t.Skip()
		}
		var b bytes.Buffer
		appendEvent(&b, name, data)
		text, ok := strings.CutSuffix(b.String(), "\n\n")
		if !ok || strings.Contains(text, "\n\n") || strings.Contains(text, "\r") && !strings.Contains(name, "\r") {
			t.Fatalf("not one event: %q", b.String())
		}
		var lines []string
		for line := range strings.SplitSeq(text, "\n") {
			if value, ok := strings.CutPrefix(line, "data: "); ok {
				lines = append(lines, value)
			}
		}
		want := strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(string(data))
		if got := strings.Join(lines, "\n"); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}
