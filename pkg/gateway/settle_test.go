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

// Guards against sending the last event before the bill line is durable.
func TestLastEventWaitsForSettlement(t *testing.T) {
	f := newFixture(t)
	w := httptest.NewRecorder()
	var sentBeforeSettlement string
	f.home.settleFunc = func(context.Context, home.SettleRequest) (home.SettleReply, error) {
		sentBeforeSettlement = w.Body.String()
		return home.SettleReply{Durable: true}, nil
	}
	f.server.ServeHTTP(w, newRequest("POST", chatPath, streamBody))
	events := completionEvents("a", "b")
	assert.Equal(t, sentBeforeSettlement, sse(events[:2]))
	assert.Equal(t, w.Body.String(), sse(events)+doneEvent)
	f.drain(t)
}

// Guards against delaying a response by more than the settle wait while the table is down,
// and against dropping its settlement.
func TestSlowSettlement(t *testing.T) {
	cases := []struct {
		desc       string
		settleFunc func(context.Context, home.SettleRequest) (home.SettleReply, error)
	}{
		{"home waits for the table", func(ctx context.Context, _ home.SettleRequest) (home.SettleReply, error) {
			<-ctx.Done()
			return home.SettleReply{}, ctx.Err()
		}},
		{"home queues the bill line", func(ctx context.Context, _ home.SettleRequest) (home.SettleReply, error) {
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
				f := newFixture(t)
				outageEnd := time.Now().Add(time.Minute)
				f.home.settleFunc = func(ctx context.Context, s home.SettleRequest) (home.SettleReply, error) {
					if time.Now().Before(outageEnd) {
						return tc.settleFunc(ctx, s)
					}
					return home.SettleReply{Durable: true}, nil
				}
				began := time.Now()
				w := f.chat(streamBody, withIdempotencyKey)
				assert.Equal(t, time.Since(began), DefaultSettleWait)
				assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+doneEvent)
				assert.Equal(t, f.server.PendingSettlements(), 1)
				_, durable := f.home.billLine(testIdempotencyKey)
				assert.Assert(t, !durable)
				time.Sleep(time.Until(outageEnd) + maxBackoff + submissionTimeout)
				synctest.Wait()
				assert.Equal(t, f.server.PendingSettlements(), 0)
				billLine, durable := f.home.billLine(testIdempotencyKey)
				assert.Assert(t, durable)
				assert.Equal(t, billLine.Tokens, int64(4))
				for _, s := range f.home.settled() {
					assert.Equal(t, s, billLine, "a resubmitted settlement differs from the first submission")
				}
				f.drain(t)
				f.server.Close()
			})
		})
	}
}

// Guards against sending the last event at once when the first submission of the settlement
// fails because the home has died or the call to it timed out. The event must wait until the
// bill line is durable or the settle wait has passed.
func TestFailedSettlementIsResubmittedWithinSettleWait(t *testing.T) {
	cases := []struct {
		desc     string
		outage   time.Duration
		wantWait time.Duration
		pending  int
	}{
		{"the next home makes the bill line durable", initialBackoff / 2, initialBackoff, 0},
		{"the home stays unreachable", time.Minute, DefaultSettleWait, 1},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				began := time.Now()
				f.home.settleFunc = func(context.Context, home.SettleRequest) (home.SettleReply, error) {
					if time.Since(began) < tc.outage {
						return home.SettleReply{}, errors.New("connection refused")
					}
					return home.SettleReply{Durable: true}, nil
				}
				w := f.chat(streamBody, withIdempotencyKey)
				assert.Equal(t, time.Since(began), tc.wantWait)
				assert.Equal(t, w.Body.String(), sse(completionEvents("a", "b"))+doneEvent)
				assert.Equal(t, f.server.PendingSettlements(), tc.pending)
				time.Sleep(time.Minute + maxBackoff)
				f.drain(t)
				f.server.Close()
			})
		})
	}
}

// Guards against a shutdown that loses settlements, or that waits a full backoff although
// the home has recovered.
func TestDrainWaitsForSettlements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		outageEnd := time.Now().Add(20 * time.Second)
		f.home.settleFunc = func(context.Context, home.SettleRequest) (home.SettleReply, error) {
			return home.SettleReply{Durable: !time.Now().Before(outageEnd)}, nil
		}
		f.chat(streamBody, withIdempotencyKey)
		time.Sleep(19 * time.Second)
		f.server.BeginShutdown()
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		assert.ErrorIs(t, f.server.Drain(short), context.DeadlineExceeded)
		assert.NilError(t, f.server.Drain(t.Context()))
		assert.Assert(t, time.Since(outageEnd) <= drainMaxBackoff, "%v", time.Since(outageEnd))
		assert.Equal(t, f.server.PendingSettlements(), 0)
		f.server.Close()
	})
}

// Guards against more concurrent submissions than a recovering home can handle, and
// against entries that are never submitted because other entries are always submitted first.
func TestOutboxLimitsConcurrentSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		active, maxActive := 0, 0
		f.home.settleFunc = func(context.Context, home.SettleRequest) (home.SettleReply, error) {
			f.home.mu.Lock()
			active++
			maxActive = max(maxActive, active)
			f.home.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			f.home.mu.Lock()
			active--
			f.home.mu.Unlock()
			return home.SettleReply{Durable: true}, nil
		}
		for i := range 100 {
			f.server.outbox.Add(home.SettleRequest{Stream: strings.Repeat("s", i+1)})
		}
		assert.NilError(t, f.server.outbox.Drain(t.Context()))
		assert.Equal(t, maxActive, outboxWorkers)
		assert.Equal(t, len(f.home.settled()), 100)
		f.server.Close()
	})
}

// Guards against losing the bill line of a completed request when another reader of its
// stream failed.
func TestOutboxKeepsCompletedSettlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.home.settleFunc = func(context.Context, home.SettleRequest) (home.SettleReply, error) {
			time.Sleep(time.Second)
			return home.SettleReply{Durable: len(f.home.settled()) > 1}, nil
		}
		f.server.outbox.Add(home.SettleRequest{Stream: "g1.1", Outcome: home.Completed})
		synctest.Wait()
		f.server.outbox.Add(home.SettleRequest{Stream: "g1.1", Outcome: home.Failed})
		time.Sleep(time.Minute)
		for _, s := range f.home.settled() {
			assert.Equal(t, s.Outcome, home.Completed)
		}
		assert.Equal(t, f.server.PendingSettlements(), 0)
		f.server.Close()
	})
}

// Guards against removing a later settlement of a stream from the outbox when an earlier
// one becomes durable.
func TestOutboxKeepsLaterSettlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.home.settleFunc = func(_ context.Context, s home.SettleRequest) (home.SettleReply, error) {
			if !s.Final {
				time.Sleep(time.Second)
			}
			return home.SettleReply{Durable: true}, nil
		}
		f.server.outbox.Add(home.SettleRequest{Stream: "g1.1"})
		synctest.Wait()
		f.server.outbox.Add(home.SettleRequest{Stream: "g1.1", Final: true})
		assert.NilError(t, f.server.outbox.Drain(t.Context()))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		settlements := f.home.settled()
		assert.Equal(t, len(settlements), 2)
		assert.Equal(t, settlements[1].Final, true)
		assert.Equal(t, f.server.PendingSettlements(), 0)
		f.server.Close()
	})
}
