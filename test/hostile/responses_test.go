package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/platform/standin"
)

// routeClasses are the classes of the routes to each raw server.
var routeClasses = []string{"safe", "non_idempotent", "streaming"}

// rawWorld is a gateway with raw servers, each of which is the only endpoint of a service, with a route of each class.
type rawWorld struct {
	t       *testing.T
	gateway *gateway
	servers map[string]*standin.RawServer
	// prefixes are the first parts of the paths of the routes to a server.
	prefixes map[string]string
}

func startRawWorld(t *testing.T, replies map[string]standin.RawReply) *rawWorld {
	t.Helper()
	w := &rawWorld{t: t, servers: map[string]*standin.RawServer{}, prefixes: map[string]string{}}
	store, config := standin.NewStore(), configuration()
	rows := map[string]map[string]any{}
	for name, reply := range replies {
		service := fmt.Sprintf("raw-%d", len(w.servers))
		w.servers[name], w.prefixes[name] = standin.StartRawServer(listen(t), reply), "/"+service+"/"
		t.Cleanup(w.servers[name].Close)
		rows[service] = map[string]any{
			"service": service, "address": w.servers[name].Address(), "zone": "north", "version": "v1", "slots": 8,
			"state": "ready", "cold_left_ms": 0, "born": time.Now().UnixMilli(),
		}
		config["services"] = append(config["services"].([]map[string]any), map[string]any{
			"name": service, "health_path": standin.HealthPath, "max_connections": 100,
		})
		for _, class := range routeClasses {
			config["routes"] = append(config["routes"].([]map[string]any), map[string]any{
				"name": service + class, "host": hostName, "prefix": "/" + service + "/" + class + "/", "route_class": class, "service": service,
				"timeout_ms": 4000, "target_latency_ms": 600, "target_gap_ms": 400, "max_attempts": 3, "priority": 0,
			})
		}
	}
	w.sendHeartbeats(store, rows)
	w.gateway = startGatewayWith(t, store, config)
	return w
}

// sendHeartbeats writes the servers' entries into the list of endpoints until the test ends.
func (w *rawWorld) sendHeartbeats(store *standin.Store, rows map[string]map[string]any) {
	write := func() {
		for service, row := range rows {
			row["seq"] = time.Now().UnixMilli()
			// A row of plain values can always be encoded.
			_ = store.Put("servers", service+"-1", row)
		}
	}
	write()
	ticker := time.NewTicker(400 * time.Millisecond)
	go func() {
		defer ticker.Stop()
		for w.t.Context().Err() == nil {
			select {
			case <-ticker.C:
				write()
			case <-w.t.Context().Done():
			}
		}
	}()
}

// send sends a request to a server by the route of a class, and returns the response with its body.
func (w *rawWorld) send(name, class, id string, body []byte) (*http.Response, string) {
	w.t.Helper()
	req := newRequest(w.gateway.callers, id, body)
	req.URL.Path = w.prefixes[name] + class + "/x"
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	require.NoError(w.t, err, "%s, %s", name, class)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(w.t, err, "%s, %s", name, class)
	return resp, string(data)
}

// requireFailure checks that a caller gets an error of the gateway in place of a raw server's reply, and that it does not say of a
// request that the server had received that it has not run. It reports whether the server had received it.
func (w *rawWorld) requireFailure(name, class, id string, body []byte) bool {
	w.t.Helper()
	resp, text := w.send(name, class, id, body)
	require.GreaterOrEqual(w.t, resp.StatusCode, http.StatusInternalServerError, "%s, %s: %s", name, class, text)
	require.NotContains(w.t, text, standin.RawBody, "%s, %s", name, class)
	require.Empty(w.t, resp.Header.Get("X-Response-Signature"), "%s, %s", name, class)
	require.Empty(w.t, resp.Header.Get("X-Instance-Id"), "%s, %s", name, class)
	received := w.servers[name].Received(id)
	if received {
		require.NotEqual(w.t, "not-run", resp.Header.Get("X-Mallowlink-Outcome"), "%s, %s", name, class)
	}
	return received
}

// Guards against broken responses of endpoints that reach callers: what is no response by RFC 9110 and RFC 9112, or was broken off,
// is a failure of the endpoint, on each class of routes.
func TestBrokenResponsesDoNotReachCallers(t *testing.T) {
	w := startRawWorld(t, standin.RawReplies())
	received, sent := 0, 0
	for name := range w.servers {
		for i, class := range routeClasses {
			sent++
			if w.requireFailure(name, class, fmt.Sprintf("%s%d", strings.Trim(w.prefixes[name], "/"), i), nil) {
				received++
			}
		}
	}
	t.Logf("%d of %d requests reached endpoints", received, sent)
	require.Greater(t, received, sent/2)
	require.NoError(t, w.gateway.ordinary("after"))
	require.True(t, w.gateway.alive())
}

// An endpoint may refuse a long upload before it has read it, and gets its refusal through whole. A response that breaks off
// meanwhile does not reach the caller.
func TestResponsesDuringLongUploads(t *testing.T) {
	head := standin.RawHead("413 Content Too Large")
	refusal := head + "Content-Length: 7\r\n\r\nrefused"
	part := standin.RawHead("200 OK") + "\r\n" + standin.RawBody
	w := startRawWorld(t, map[string]standin.RawReply{
		"refusal, close":      {Text: refusal, Early: true},
		"refusal, reset":      {Text: refusal, Early: true, Reset: true},
		"refusal, open":       {Text: refusal, Early: true, Open: true},
		"part, close":         {Text: part, Early: true},
		"part, reset":         {Text: part, Early: true, Reset: true},
		"refusal that is cut": {Text: head + "Content-Length: 20\r\n\r\n" + standin.RawBody, Early: true, Reset: true},
	})
	upload := bytes.Repeat([]byte("u"), bodyBytes)
	for i, class := range routeClasses {
		for name := range w.servers {
			id := fmt.Sprintf("%s%d", strings.Trim(w.prefixes[name], "/"), i)
			if !strings.HasPrefix(name, "refusal, ") {
				w.requireFailure(name, class, id, upload)
				continue
			}
			resp, text := w.send(name, class, id, upload)
			require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode, "%s, %s: %s", name, class, text)
			require.Equal(t, "refused", text, "%s, %s", name, class)
		}
	}
	require.NoError(t, w.gateway.ordinary("after"))
	require.True(t, w.gateway.alive())
}
