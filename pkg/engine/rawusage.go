package engine

import "errors"

// errInvalidUsage means that the token counts cannot be billed. Reading a missing
// count as zero would make the request free.
var errInvalidUsage = errors.New("usage lacks a count or has a negative one")

// rawUsage holds the token counts as received; nil means absent.
type rawUsage struct {
	PromptTokens     *int64 `json:"prompt_tokens"`
	CompletionTokens *int64 `json:"completion_tokens"`
}

// usage validates the counts. It computes the total, since engines may omit it.
func (r rawUsage) usage() (Usage, error) {
	if r.PromptTokens == nil || r.CompletionTokens == nil {
		return Usage{}, errInvalidUsage
	}
	u := Usage{PromptTokens: *r.PromptTokens, CompletionTokens: *r.CompletionTokens}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	if u.PromptTokens < 0 || u.CompletionTokens < 0 || u.TotalTokens < 0 {
		return Usage{}, errInvalidUsage
	}
	return u, nil
}
