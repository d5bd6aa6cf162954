package retrylimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fleet that exceeds its limit when retries begin at once after a quiet time and then use all that is allowed.
func TestSaturatedFleetStaysWithinRetryLimit(t *testing.T) {
	const (
		hosts             = 9
		ratio             = 0.2
		reserve           = 58.0
		window            = 10 * time.Second
		retriesPerRequest = 3
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(37, seed))
		upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
		start := time.Now()
		limits := make([]*Limit, hosts)
		for i := range limits {
			limits[i] = New(ratio, reserve/hosts, window, start)
		}
		requestGap := 2 * (2 + upTo(5*time.Millisecond)) // the mean is half of it
		saturatedFrom := start.Add(15*time.Second + upTo(5*time.Second))
		var sent, arrived []time.Time
		for now := start; now.Before(start.Add(45 * time.Second)); now = now.Add(upTo(requestGap)) {
			host := limits[random.IntN(hosts)]
			sent = append(sent, now.Add(-upTo(300*time.Millisecond))) // the host is slow to read it
			host.CountRequest(now)
			for range retriesPerRequest {
				if now.After(saturatedFrom) && host.AllowRetry(now) {
					arrived = append(arrived, now.Add(upTo(400*time.Millisecond))) // a connection is opened first
				}
			}
		}
		slices.SortFunc(arrived, time.Time.Compare)
		slices.SortFunc(sent, time.Time.Compare)
		for _, from := range arrived {
			requests := 0 // of this window, the one before, or the one half a window before, whichever has most
			for _, back := range []time.Duration{0, window / 2, window} {
				requests = max(requests, countSorted(sent, from.Add(-back), window))
			}
			got, allowed := countSorted(arrived, from, window), ratio*float64(requests)+reserve
			assert.Assert(t, float64(got) <= allowed, "seed %d: %d retries for %d requests in the %v from %v after the start, allowed: %v", seed, got, requests, window, from.Sub(start), allowed)
		}
	}
}

// countSorted counts the times in the period of a length from a time on.
func countSorted(times []time.Time, from time.Time, length time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	next, _ := slices.BinarySearchFunc(times, from.Add(length), time.Time.Compare)
	return next - first
}
