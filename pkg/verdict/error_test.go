package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a plain error being reported as "not run".
func TestFromUnknownErrorMayHaveRun(t *testing.T) {
	e := From(errors.New("broken pipe"))
	assert.Equal(t, e.Verdict, MayHaveRun)
	assert.Equal(t, e.Reason, Internal)
}

// Guards against losing the verdict when an error is wrapped on its way to the caller.
func TestFromWrappedError(t *testing.T) {
	e := From(fmt.Errorf("dispatch: %w", New(NotRun, NoTarget, "none")))
	assert.Equal(t, e.Verdict, NotRun)
	assert.Equal(t, e.Reason, NoTarget)
}

// Guards against a reason without a status, which would reach callers as 500.
func TestReasonsHaveStatus(t *testing.T) {
	for _, r := range Reasons() {
		assert.Assert(t, r == Internal || r.HTTPStatus() != http.StatusInternalServerError, "%s", r)
	}
}
