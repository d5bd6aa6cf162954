package gateway

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peppertrail/peppertrail/pkg/home"
	"gotest.tools/v3/assert"
)

// Guards against sending the final token before the bill line is durable.
func TestLastEventWaitsForSettlement(t *testing.T) {
	r := newFixture(t)
	w := httptest.NewRecorder()
	var before string
	r.home.settle = func(context.Context, home.SettleRequest) (home.SettleReply, error) {
		before = w.Body.String()
		return home.SettleReply{Durable: true}, nil
	}
	r.server.ServeHTTP(w, newRequest("POST", chatPath, streamBody))
	events := completionEvents("a", "b")
	assert.Equal(t, before, sse(events[:2]))
	assert.Equal(t, w.Body.String(), sse(events)+doneEvent)
	r.drain(t)
}

// Guards against holding back a response beyond the settle wait while the store is down,
// and against dropping its settlement.
func TestSlowSettlement(t *testing.T) {
	cases := []struct {
		desc   string
		settle func(context.Context, home.SettleRequest) (home.SettleReply, error)
	}{
		{"home waits for the store", func(ctx context.Context, _ home.SettleRequest) (home.SettleReply, error) {
			<-ctx.Done()
			return home.SettleReply{}, ctx.Err()
		}},
		{"home queues the line", func(ctx context.Context, _ home.SettleRequest) (home.SettleReply, error) {
			<-ctx.Done()
			return home.SettleReply{Durable: false}, nil
		}},
		{"home is unreachable", func(context.Context, home.SettleRequest) (home.SettleReply, error) {
			time.Sleep(DefaultSettleWait)
			return home.SettleReply{}, errors.New("no route")
		}},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFixture(t)
				outage := time.Now().Add(time.Minute)
				r.home.settle = func(ctx context.Context, s home.SettleRequest) (home.SettleReply, error) {
					if time.Now().Before(outage) {
						return tc.settle(ctx, s)
					}
					return home.SettleReply{Durable: true}, nil
				}
				began := time.Now()
				w := r.chat(streamBody, withKey)
				assert.Equal(t, time.Since(began), DefaultSettleWait)
				assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+doneEvent)
				assert.Equal(t, r.server.PendingSettlements(), 1)
				_, durable := r.home.billLine(testID)
				assert.Assert(t, !durable)
				time.Sleep(time.Until(outage) + maxBackoff + submissionTimeout)
				synctest.Wait()
				assert.Equal(t, r.server.PendingSettlements(), 0)
				billLine, durable := r.home.billLine(testID)
				assert.Assert(t, durable)
				assert.Equal(t, billLine.Tokens, int64(4))
				for _, s := range r.home.settled() {
					assert.Equal(t, s, billLine, "a resubmitted settlement differs from the first submission")
				}
				r.drain(t)
				r.server.Close()
			})
		})
	}
}

// Guards against sending the final token before the settle wait has passed although the
// bill line is not durable, after a submission to the home failed.
func TestFailedSettlementIsRepeatedWithinSettleWait(t *testing.T) {
	cases := []struct {
		desc    string
		outage  time.Duration
		waits   time.Duration
		pending int
	}{
		{"the next home makes the line durable", initialBackoff / 2, initialBackoff, 0},
		{"the home stays unreachable", time.Minute, DefaultSettleWait, 1},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFixture(t)
				began := time.Now()
				r.home.settle = func(context.Context, home.SettleRequest) (home.SettleReply, error) {
					if time.Since(began) < tc.outage {
						return home.SettleReply{}, errors.New("connection refused")
					}
					return home.SettleReply{Durable: true}, nil
				}
				w := r.chat(streamBody, withKey)
				assert.Equal(t, time.Since(began), tc.waits)
				assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+doneEvent)
				assert.Equal(t, r.server.PendingSettlements(), tc.pending)
				time.Sleep(time.Minute + maxBackoff)
				r.drain(t)
				r.server.Close()
			})
		})
	}
}

// Guards against a shutdown that loses settlements, or that waits a full backoff although
// the home has recovered.
func TestDrainWaitsForSettlements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t)
		outage := time.Now().Add(20 * time.Second)
		r.home.settle = func(context.Context, home.SettleRequest) (home.SettleReply, error) {
			return home.SettleReply{Durable: !time.Now().Before(outage)}, nil
		}
		r.chat(streamBody, withKey)
		time.Sleep(19 * time.Second)
		r.server.BeginShutdown()
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		assert.ErrorIs(t, r.server.Drain(short), context.DeadlineExceeded)
		assert.NilError(t, r.server.Drain(t.Context()))
		assert.Assert(t, time.Since(outage) <= drainMaxBackoff, "%v", time.Since(outage))
		assert.Equal(t, r.server.PendingSettlements(), 0)
		r.server.Close()
	})
}

// Guards against more concurrent submissions than a recovering home can handle, and
// against entries that are never submitted.
func TestOutboxBoundsSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t)
		active, most := 0, 0
		r.home.settle = func(context.Context, home.SettleRequest) (home.SettleReply, error) {
			r.home.mu.Lock()
			active++
			most = max(most, active)
			r.home.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			r.home.mu.Lock()
			active--
			r.home.mu.Unlock()
			return home.SettleReply{Durable: true}, nil
		}
		for i := range 100 {
			r.server.outbox.Add(home.SettleRequest{Stream: strings.Repeat("s", i+1)})
		}
		assert.NilError(t, r.server.outbox.Drain(t.Context()))
		assert.Equal(t, most, outboxWorkers)
		assert.Equal(t, len(r.home.settled()), 100)
		r.server.Close()
	})
}

// Guards against losing the bill line of a completed request when another reader of its
// stream failed.
func TestOutboxKeepsCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t)
		r.home.settle = func(context.Context, home.SettleRequest) (home.SettleReply, error) {
			time.Sleep(time.Second)
			return home.SettleReply{Durable: len(r.home.settled()) > 1}, nil
		}
		r.server.outbox.Add(home.SettleRequest{Stream: "g1.1", Outcome: home.Completed})
		synctest.Wait()
		r.server.outbox.Add(home.SettleRequest{Stream: "g1.1", Outcome: home.Failed})
		time.Sleep(time.Minute)
		for _, s := range r.home.settled() {
			assert.Equal(t, s.Outcome, home.Completed)
		}
		assert.Equal(t, r.server.PendingSettlements(), 0)
		r.server.Close()
	})
}

// Guards against removing a later settlement of a stream from the outbox when an earlier
// one becomes durable.
func TestOutboxKeepsLaterSettlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t)
		r.home.settle = func(_ context.Context, s home.SettleRequest) (home.SettleReply, error) {
			if !s.Final {
				time.Sleep(time.Second)
			}
			return home.SettleReply{Durable: true}, nil
		}
		r.server.outbox.Add(home.SettleRequest{Stream: "g1.1"})
		synctest.Wait()
		r.server.outbox.Add(home.SettleRequest{Stream: "g1.1", Final: true})
		assert.NilError(t, r.server.outbox.Drain(t.Context()))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		settles := r.home.settled()
		assert.Equal(t, len(settles), 2)
		assert.Equal(t, settles[1].Final, true)
		assert.Equal(t, r.server.PendingSettlements(), 0)
		r.server.Close()
	})
}
