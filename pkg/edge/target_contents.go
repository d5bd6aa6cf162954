package edge

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// passedOnMark is the first byte of a value that another host has passed on. No JSON document
// of the store begins with it.
const passedOnMark = 0x01

// passedOnValue returns the value of a registration of which another host has passed on the
// content.
func passedOnValue(content []byte) []byte { return append([]byte{passedOnMark}, content...) }

// targetContents knows the content of each registration: what is passed on to other hosts.
// Targets rewrite their registrations every second with the same content, so the content is
// encoded only when it has changed. It is owned by the goroutine of the watcher.
type targetContents struct {
	decodeRow func(key string, value []byte) (balance.Target, error)
	byKey     map[string]*targetContent
}

// targetContent is the content of a registration.
type targetContent struct {
	value   *byte // first byte of the value that was decoded last
	target  balance.Target
	problem string // why the registration cannot be decoded; empty: it can
	encoded []byte // nil: not encoded yet
}

func newTargetContents(decodeRow func(string, []byte) (balance.Target, error)) *targetContents {
	return &targetContents{decodeRow: decodeRow, byKey: make(map[string]*targetContent)}
}

// decode decodes a registration of the store, or one that another host has passed on.
func (c *targetContents) decode(key string, value []byte) (balance.Target, error) {
	target, err := c.decodeAny(key, value)
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	known := c.byKey[key]
	if known == nil || known.target != target || known.problem != problem {
		known = &targetContent{target: target, problem: problem}
		c.byKey[key] = known
	}
	if known.value = nil; len(value) > 0 {
		known.value = &value[0]
	}
	return target, err
}

func (c *targetContents) decodeAny(key string, value []byte) (balance.Target, error) {
	if len(value) == 0 || value[0] != passedOnMark {
		return c.decodeRow(key, value)
	}
	return decodeTargetContent(key, value[1:])
}

// content returns the content of a registration.
func (c *targetContents) content(key string, value []byte) []byte {
	known := c.byKey[key]
	if known == nil || len(value) == 0 || known.value != &value[0] {
		_, _ = c.decode(key, value) // the error is part of the content
		known = c.byKey[key]
	}
	if known.encoded == nil {
		known.encoded = encodeTargetContent(known.target, known.problem)
	}
	return known.encoded
}

// forget forgets the registrations that were removed.
func (c *targetContents) forget(changed []storage.PartRow) {
	for _, row := range changed {
		if row.Deleted {
			delete(c.byKey, row.Key)
		}
	}
}

// undecodableTarget is the content of a registration that cannot be decoded.
type undecodableTarget struct {
	Problem  string `json:"problem"`
	Draining bool   `json:"draining,omitempty"`
}

// encodeTargetContent encodes a target as a JSON array, which has about a third of the bytes of
// its registration, and one that cannot be decoded as an object.
func encodeTargetContent(t balance.Target, problem string) []byte {
	var content any = []any{t.Service, t.Addr, t.FailureDomain, t.Slots, t.Draining, t.Born, t.WarmUp}
	if problem != "" {
		content = undecodableTarget{Problem: problem, Draining: t.Draining}
	}
	data, err := json.Marshal(content)
	if err != nil {
		panic("edge: encode content of a registration: " + err.Error()) // strings, numbers and booleans always encode
	}
	return data
}

func decodeTargetContent(id string, content []byte) (balance.Target, error) {
	if len(content) > 0 && content[0] == '{' {
		var u undecodableTarget
		if err := json.Unmarshal(content, &u); err != nil {
			return balance.Target{ID: id}, fmt.Errorf("content of target %s: %w", id, err)
		}
		return balance.Target{ID: id, Draining: u.Draining}, errors.New(u.Problem)
	}
	t := balance.Target{ID: id}
	fields := []any{&t.Service, &t.Addr, &t.FailureDomain, &t.Slots, &t.Draining, &t.Born, &t.WarmUp}
	count := len(fields)
	if err := json.Unmarshal(content, &fields); err != nil || len(fields) < count {
		return balance.Target{ID: id}, fmt.Errorf("content of target %s has %d fields: %w", id, len(fields), err)
	}
	return t, nil
}
