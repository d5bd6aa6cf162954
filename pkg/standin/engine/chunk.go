package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"strconv"
	"strings"
)

// doneMarker ends every complete stream.
const doneMarker = "[DONE]"

// renderer renders the events of one stream. Their text depends only on the stream
// id and the prompt. "created" is always 0, so that every byte of an event depends
// only on the stream id and the request.
type renderer struct {
	seed   uint64 // derived from the stream id and the prompt digest
	digest string // prompt digest
	prefix []byte // start of every chunk, up to the value of delta
}

// newRenderer returns the renderer of a stream.
func newRenderer(stream string, p Prompt) renderer {
	sum := sha256.Sum256([]byte(stream + "\x00" + p.Digest))
	id, _ := json.Marshal(stream) // a string always encodes
	model, _ := json.Marshal(p.Model)
	prefix := `{"id":` + string(id) + `,"object":"chat.completion.chunk","created":0,"model":` + string(model) + `,"choices":[{"index":0,"delta":`
	return renderer{seed: binary.BigEndian.Uint64(sum[:]), digest: p.Digest, prefix: []byte(prefix)}
}

// token returns the text of token i. Token 0 is the prompt digest.
func (c renderer) token(i int) string {
	if i == 0 {
		return c.digest
	}
	const tokenBits = 24
	return " " + strconv.FormatUint(mix(c.seed+uint64(i))>>(64-tokenBits), 16)
}

// appendToken appends the event of token i to buf.
func (c renderer) appendToken(buf []byte, i int) []byte {
	buf = c.begin(buf, i)
	if i == 0 {
		buf = append(buf, `{"role":"assistant","content":"`...)
	} else {
		buf = append(buf, `{"content":"`...)
	}
	buf = append(buf, c.token(i)...)
	return append(buf, "\"},\"finish_reason\":null}]}\n\n"...)
}

// appendUsage appends the last chunk, with the finish reason and the usage, as
// event i.
func (c renderer) appendUsage(buf []byte, i int, reason string, u Usage) []byte {
	buf = c.begin(buf, i)
	buf = append(buf, `{},"finish_reason":"`+reason+`"}],"usage":`...)
	usage, _ := json.Marshal(u) // integers always encode
	buf = append(buf, usage...)
	return append(buf, "}\n\n"...)
}

// appendDone appends the done marker as event i.
func appendDone(buf []byte, i int) []byte {
	buf = appendID(buf, i)
	return append(buf, "data: "+doneMarker+"\n\n"...)
}

// begin appends the start of event i up to the delta.
func (c renderer) begin(buf []byte, i int) []byte {
	buf = appendID(buf, i)
	buf = append(buf, "data: "...)
	return append(buf, c.prefix...)
}

// appendID appends the id line of event i.
func appendID(buf []byte, i int) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, int64(i), 10)
	return append(buf, '\n')
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// CompletionText returns the complete text generated for a request body with the
// given stream id, so that tests can check that a response belongs to their request.
func CompletionText(stream string, data []byte) (string, error) {
	p, err := ParsePrompt(data)
	if err != nil {
		return "", err
	}
	c := newRenderer(stream, p)
	var text strings.Builder
	for i := range p.CompletionTokens {
		text.WriteString(c.token(i))
	}
	return text.String(), nil
}
