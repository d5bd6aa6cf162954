package gateway

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against accepting a body that a target may parse differently, or whose tokens
// the bound does not cover.
func TestParseChatRefuses(t *testing.T) {
	body := func(members string) string {
		return `{"model":"chef","messages":[{"role":"user","content":"x"}]` + members + `}`
	}
	messages := func(list string) string { return `{"model":"chef","messages":` + list + `}` }
	cases := []struct{ desc, body, wantMessage string }{
		{"empty", "", "not a JSON object"},
		{"array", "[]", "not a JSON object"},
		{"truncated", `{"model":"chef"`, "not a JSON object"},
		{"data after the object", body("") + "{}", "data after"},
		{"not UTF-8", "{\"model\":\"\xff\"}", "UTF-8"},
		{"duplicate member", body(`,"model":"chef"`), `"model" occurs twice`},
		{"duplicate member, first null", `{"messages":null,"messages":[{"role":"user","content":"x"}],"model":"chef"}`, "twice"},
		{"member name with other letter case", body(`,"Max_Tokens":99`), `"Max_Tokens"`},
		{"tools", body(`,"tools":[]`), `"tools"`},
		{"no model", `{"messages":[{"role":"user","content":"x"}]}`, "model is missing"},
		{"model null", `{"model":null,"messages":[{"role":"user","content":"x"}]}`, "model is missing"},
		{"model number", `{"model":1,"messages":[{"role":"user","content":"x"}]}`, "model: 1"},
		{"no messages", `{"model":"chef"}`, "messages is missing"},
		{"empty messages", messages("[]"), "at least one"},
		{"messages object", messages("{}"), "an array"},
		{"message string", messages(`["x"]`), "messages[0]: not a JSON object"},
		{"message without content", messages(`[{"role":"user"}]`), "content is missing"},
		{"message without role", messages(`[{"content":"x"}]`), `role ""`},
		{"unknown role", messages(`[{"role":"tool","content":"x"}]`), `role "tool"`},
		{"duplicate content", messages(`[{"role":"user","content":"x","content":"yyyy"}]`), "twice"},
		{"tool calls", messages(`[{"role":"assistant","content":"x","tool_calls":[]}]`), "tool_calls"},
		{"content number", messages(`[{"role":"user","content":1}]`), "a string or an array"},
		{"image part", messages(`[{"role":"user","content":[{"type":"image_url","image_url":{"url":"x"}}]}]`), "part 0"},
		{"text part with an extra member", messages(`[{"role":"user","content":[{"type":"text","text":"x","y":1}]}]`), "part 0"},
		{"zero tokens", body(`,"max_tokens":0`), "max_tokens: 0"},
		{"negative tokens", body(`,"max_tokens":-1`), "max_tokens: -1"},
		{"fraction of tokens", body(`,"max_tokens":1.5`), "max_tokens: 1.5"},
		{"tokens exceed 64 bits", body(`,"max_tokens":99999999999999999999`), "max_tokens"},
		{"two different limits", body(`,"max_tokens":1,"max_completion_tokens":2`), "one of them"},
		{"two choices", body(`,"n":2`), "n: 2: allowed: 1"},
		{"stream string", body(`,"stream":"yes"`), "stream"},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			_, err := parseChat([]byte(tc.body))
			assert.ErrorContains(t, err, tc.wantMessage)
		})
	}
}

// Guards against refusing bodies that common clients send.
func TestParseChatAccepts(t *testing.T) {
	body := `{"model":"chef","messages":[{"role":"system","content":"a"},{"role":"user","name":"bo","content":[{"type":"text","text":"cd"}]}],` +
		`"max_completion_tokens":5,"max_tokens":5,"n":1,"stream":true,"stream_options":{"include_usage":true},"temperature":0.5,"stop":null,"user":"u"}`
	c, err := parseChat([]byte(body))
	assert.NilError(t, err)
	assert.Equal(t, c.model, "chef")
	assert.Equal(t, c.maxTokens, int64(5))
	assert.Equal(t, c.stream, true)
	assert.Equal(t, c.promptBound(), int64(promptOverheadTokens+2*messageOverheadTokens+len("a")+len("bo")+len("cd")))
	assert.Equal(t, len(c.sampling), 2)
}

// Guards against an affinity prefix whose size is not limited.
func TestPrefixIsBounded(t *testing.T) {
	c := chatRequest{messages: []message{{role: "user", text: strings.Repeat("x", 5000)}}}
	assert.Equal(t, len(c.prefix()), affinityPrefixBytes)
}

// Guards against equal fingerprints for requests whose fields concatenate to the same
// bytes.
func TestFingerprintSeparatesFields(t *testing.T) {
	base := fingerprint("ab", "POST", "/p", []byte("body"))
	assert.Equal(t, base, fingerprint("ab", "POST", "/p", []byte("body")))
	for _, other := range []string{
		fingerprint("a", "bPOST", "/p", []byte("body")),
		fingerprint("ab", "PUT", "/p", []byte("body")),
		fingerprint("ab", "POST", "/pb", []byte("ody")),
		fingerprint("ab", "POST", "/p", []byte("Body")),
	} {
		assert.Assert(t, base != other)
	}
}

// Guards against a panic on malformed bodies, and against sending the target another
// text than the one the bound was computed from.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(chatBody))
	f.Add([]byte(streamBody))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := parseChat(body)
		if err != nil {
			return
		}
		const maxOutput = 7
		forwarded, err := c.targetBody(maxOutput)
		assert.NilError(t, err)
		assert.Assert(t, json.Valid(forwarded), "%s", forwarded)
		assert.Assert(t, len(c.prefix()) <= affinityPrefixBytes)
		again, err := parseChat(forwarded)
		assert.NilError(t, err, "%s", forwarded)
		assert.Equal(t, again.promptBound(), c.promptBound())
		assert.Equal(t, again.maxTokens, int64(maxOutput))
		assert.Equal(t, again.stream, true)
		assert.Equal(t, again.model, c.model)
		assert.Equal(t, fmt.Sprint(again.messages), fmt.Sprint(c.messages))
	})
}
