package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/result"
)

// blockedDispatcher has no endpoint for any request.
type blockedDispatcher struct{ waiting chan struct{} }

func (d blockedDispatcher) Place(ctx context.Context, _ Request) (Placement, error) {
	d.waiting <- struct{}{}
	<-ctx.Done()
	return Placement{}, result.New(result.NoEndpoint, "no endpoint in time")
}

// Guards against requests that a stopping VM sends to an endpoint though it may not live until they end: those that wait for an
// endpoint, those whose body arrives late, and those that arrive later are refused at once, as not run.
func TestStopAdmittingRefusesUnsentRequests(t *testing.T) {
	b := newTestbed(t, respondWith("whole"))
	blocked := blockedDispatcher{waiting: make(chan struct{})}
	b.gateway.cfg.Dispatcher = blocked
	waiting := make(chan callerResponse)
	go func() { waiting <- b.do("/unsafe/", nil, "") }()
	<-blocked.waiting
	body, rest := io.Pipe()
	late := make(chan callerResponse)
	go func() { late <- b.send("/unsafe/", nil, body) }()
	_, err := io.WriteString(rest, "the first half")
	require.NoError(t, err)
	begun := time.Now()
	b.gateway.StopAdmitting()
	_, err = io.WriteString(rest, "and the second one")
	require.NoError(t, err)
	require.NoError(t, rest.Close())
	responses := []callerResponse{<-waiting, <-late}
	b.gateway.cfg.Dispatcher = b.dispatcher
	responses = append(responses, b.do("/unsafe/", nil, "body"), b.do("/stream/", nil, ""))
	for _, a := range responses {
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Equal(t, strconv.Itoa(int(result.Draining)), a.header.Get(headerCode))
		require.Equal(t, string(result.NotRun), a.header.Get(headerOutcome))
		require.NotEmpty(t, a.header.Get("Retry-After"))
	}
	require.Less(t, time.Since(begun), 4*time.Second, "the requests' own time limit is 5 s")
	require.Zero(t, b.arrivals())
	require.EqualValues(t, 1000, b.quota.balance)
}

// When a VM stops, a request at an endpoint is answered with an error, and one whose caller has a part of the response is cut so
// that the caller can tell.
func TestInterruptAnswersRequestsAtEndpoints(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream/" {
			_, _ = io.WriteString(w, "data: 1\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	})
	answer := make(chan callerResponse)
	go func() { answer <- b.do("/unsafe/", nil, "") }()
	require.Eventually(t, func() bool { return b.arrivals() == 1 }, time.Second, time.Millisecond)
	stream, err := b.open("/stream/", nil, nil)
	require.NoError(t, err)
	defer func() { _ = stream.Body.Close() }()
	b.gateway.Interrupt()
	a := <-answer
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Equal(t, string(result.MayHaveRun), a.header.Get(headerOutcome))
	part, err := io.ReadAll(stream.Body)
	require.Equal(t, "data: 1\n\n", string(part))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Eventually(t, func() bool { return b.gateway.Running() == 0 }, time.Second, time.Millisecond)
}
