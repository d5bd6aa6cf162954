package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reporting "not run" for an error that carries no verdict.
func TestErrorWithoutVerdictMayHaveRun(t *testing.T) {
	e := FromError(errors.New("broken pipe"))
	assert.Equal(t, e.Verdict, MayHaveRun)
	assert.Equal(t, e.Reason, Internal)
}

// Guards against losing the verdict of an error that is wrapped.
func TestWrappedErrorKeepsVerdict(t *testing.T) {
	e := FromError(fmt.Errorf("dispatch: %w", New(NotRun, NoTarget, "none")))
	assert.Equal(t, e.Verdict, NotRun)
	assert.Equal(t, e.Reason, NoTarget)
}

// Guards against a reason without an HTTP status, which callers would receive as 500.
func TestReasonsHaveStatus(t *testing.T) {
	for _, r := range Reasons() {
		assert.Assert(t, r == Internal || r.HTTPStatus() != http.StatusInternalServerError, "%s", r)
	}
}
