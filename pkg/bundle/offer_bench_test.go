package bundle

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// designBundle returns a bundle of the size that the fleet is designed for: 460
// customers with two keys each and 12 models.
func designBundle() Bundle {
	b := sample(0)
	b.Customers, b.Services = nil, nil
	for i := range 12 {
		b.Services = append(b.Services, Service{Name: fmt.Sprintf("llm-%d", i), Model: fmt.Sprintf("m-%d", i), Kind: "promtext"})
	}
	for i := range 460 {
		b.Customers = append(b.Customers, Customer{
			ID:        fmt.Sprintf("customer-%d", i),
			KeyHashes: []string{keyHash(2 * i), keyHash(2*i + 1)},
			Services:  []string{"llm-0", "llm-1", "llm-2"},
			Budget:    fmt.Sprintf("budget-%d", i),
		})
	}
	return b
}

// BenchmarkOffer measures the CPU time of one pushed version with the bundle of
// designBundle. It covers both an adopted and an ignored push, since a daemon may
// receive the same version from many peers.
func BenchmarkOffer(b *testing.B) {
	first := designBundle()
	a, err := accept(nil, Proposal{Author: "alice", Bundle: first, Signatures: signed(b, first, "alice", "bob")})
	assert.NilError(b, err)
	raw, err := a.Encode()
	assert.NilError(b, err)
	b.Run("adopted", func(b *testing.B) {
		for b.Loop() {
			w := NewWatcher(WatcherConfig{Bootstrap: operatorsOf("alice", "bob")})
			ok, err := w.Offer(raw)
			assert.Assert(b, ok && err == nil)
		}
		b.ReportMetric(float64(len(raw)), "bytes/bundle")
	})
	b.Run("ignored", func(b *testing.B) {
		w := NewWatcher(WatcherConfig{Bootstrap: operatorsOf("alice", "bob")})
		_, err := w.Offer(raw)
		assert.NilError(b, err)
		for b.Loop() {
			ok, err := w.Offer(raw)
			assert.Assert(b, !ok && err == nil)
		}
	})
}
