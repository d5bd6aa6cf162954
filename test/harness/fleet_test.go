package harness

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/standin/engine"
)

// Guards against a harness whose fleet does not answer, does not answer after a
// restart or does not stop gracefully. The tests of the guarantees could then pass
// without any traffic.
func TestFleetAnswersAndRestarts(t *testing.T) {
	f := Start(t, Options{Customers: []Customer{{ID: "regie", Budget: "regie-main", Tokens: 100_000}}, EngineArgs: []string{"--token-ms", "2"}})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	caller := f.NewCaller()
	for i, d := range f.Daemons {
		r := Request{Customer: "regie", Key: d.Name, Prompt: "rations for " + d.Name, MaxTokens: 16, NonStreaming: i == 1}
		a := caller.Send(ctx, d, r)
		assert.NilError(t, a.Err)
		assert.Assert(t, a.Complete, "%+v", a)
		assert.Equal(t, a.Text, r.Text(a.Stream))
		assert.Assert(t, a.Usage != nil)
	}
	records, err := f.EngineRecords()
	assert.NilError(t, err)
	assert.Equal(t, len(records), len(f.Daemons))
	for _, r := range records {
		assert.Equal(t, r.Outcome, engine.Completed)
	}
	f.Daemons[2].Kill()
	f.Daemons[2].Restart()
	f.AwaitReady()
	a := caller.Send(ctx, f.Daemons[2], Request{Customer: "regie", Key: "after", Prompt: "after the restart", MaxTokens: 16})
	assert.Assert(t, a.Complete, "%+v", a)
	f.Daemons[0].Terminate()
	assert.NilError(t, f.Daemons[0].WaitExit(20*time.Second))
}
