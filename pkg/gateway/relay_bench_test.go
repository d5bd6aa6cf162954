package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/peppertrail/peppertrail/pkg/engine"
	"gotest.tools/v3/assert"
)

// longEngine responds to every completion with a given number of equal tokens.
type longEngine struct {
	*fakeEngine
	tokens int
}

func (e longEngine) Open(context.Context, engine.Call) (engine.Stream, error) {
	events := completionEvents("soup")
	return &longStream{token: events[0], last: events[1], remaining: e.tokens}, nil
}

// longStream returns its token event for the remaining count, then its last event.
type longStream struct {
	token, last      engine.Event
	index, remaining int
}

func (s *longStream) Next() (engine.Event, error) {
	ev := s.token
	if s.remaining == 0 {
		ev = s.last
	}
	s.remaining--
	ev.Index = s.index
	s.index++
	return ev, nil
}

func (s *longStream) Close() error { return nil }

// newLongFixture returns a fixture whose targets respond with the given number of
// tokens, and a request body that allows that many.
func newLongFixture(b *testing.B, tokens int) (*fixture, string) {
	f := newFixture(b)
	longBundle := testBundle()
	longBundle.Services[0].MaxOutput = int64(tokens)
	f.catalogs.catalog = NewCatalog(longBundle)
	f.server.opts.Engine = longEngine{f.engine, tokens}
	return f, strings.Replace(streamBody, `"max_tokens":8`, fmt.Sprintf(`"max_tokens":%d`, tokens), 1)
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header         { return w.header }
func (w discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w discardWriter) WriteHeader(int)             {}
func (w discardWriter) Flush()                      {}

// BenchmarkRelayToken measures the time that the gateway takes to relay one token, without
// a network. One operation is one token of a long stream.
func BenchmarkRelayToken(b *testing.B) {
	f, body := newLongFixture(b, b.N)
	req := newRequest(http.MethodPost, chatPath, body)
	b.ReportAllocs()
	b.ResetTimer()
	f.server.ServeHTTP(discardWriter{make(http.Header)}, req)
}

// BenchmarkRelayTokenTCP measures the relay of one token over loopback TCP with a flush
// per token. The result includes the client that reads the stream.
func BenchmarkRelayTokenTCP(b *testing.B) {
	f, body := newLongFixture(b, b.N)
	ts := httptest.NewUnstartedServer(nil)
	ts.Config = f.server.HTTPServer()
	ts.Start()
	defer ts.Close()
	req, err := http.NewRequest(http.MethodPost, ts.URL+chatPath, strings.NewReader(body))
	assert.NilError(b, err)
	req.Header.Set("Authorization", "Bearer "+testAPIKey)
	b.ReportAllocs()
	b.ResetTimer()
	response, err := ts.Client().Do(req)
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(b, err)
	assert.NilError(b, response.Body.Close())
}

// BenchmarkRequest measures a complete request with two response tokens, without a
// network.
func BenchmarkRequest(b *testing.B) {
	f := newFixture(b)
	b.ReportAllocs()
	for b.Loop() {
		f.server.ServeHTTP(discardWriter{make(http.Header)}, newRequest(http.MethodPost, chatPath, streamBody))
	}
}
