package engine

import "errors"

// errBadUsage is a usage that cannot be billed. A missing count read as zero
// would make the request free.
var errBadUsage = errors.New("usage lacks a count or has a negative one")

// rawUsage is a usage as received.
type rawUsage struct {
	PromptTokens     *int64 `json:"prompt_tokens"`
	CompletionTokens *int64 `json:"completion_tokens"`
}

// usage checks the counts. The total is computed, since engines may omit it.
func (r rawUsage) usage() (Usage, error) {
	if r.PromptTokens == nil || r.CompletionTokens == nil {
		return Usage{}, errBadUsage
	}
	u := Usage{PromptTokens: *r.PromptTokens, CompletionTokens: *r.CompletionTokens}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	if u.PromptTokens < 0 || u.CompletionTokens < 0 || u.TotalTokens < 0 {
		return Usage{}, errBadUsage
	}
	return u, nil
}
