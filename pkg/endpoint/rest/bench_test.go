package rest_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/endpoint/rest"
	"github.com/mallowlink/mallowlink/pkg/standin/service"
)

// BenchmarkService compares a GET, which uses a pooled connection, with a POST, which uses a new one.
func BenchmarkService(b *testing.B) {
	server := httptest.NewServer(service.New(service.Options{}))
	defer server.Close()
	client := rest.NewService(server.URL, rest.Options{})
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			req := endpoint.Request{ID: "r", Method: method, Path: service.EchoPath, Body: []byte("{}")}
			b.ReportAllocs()
			for b.Loop() {
				response, err := client.Do(b.Context(), req)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := readPieces(response); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
