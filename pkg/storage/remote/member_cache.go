package remote

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// membersPath is the path of the membership list.
const membersPath = "/members"

// memberCache holds the last membership list and its entity tag, so that an
// unchanged list is not sent again. A platform without entity tags sends the
// whole list each time.
type memberCache struct {
	mu      sync.Mutex
	tag     string
	members []storage.Member
}

// Members implements storage.Members.
func (c *Client) Members(ctx context.Context) ([]storage.Member, error) {
	known, held := c.members.get()
	header := http.Header{}
	if known != "" {
		header.Set("If-None-Match", known)
	}
	reply, err := c.exchange(ctx, http.MethodGet, membersPath, header, nil)
	var status *StatusError
	if known != "" && errors.As(err, &status) && status.Code == http.StatusNotModified {
		return held, nil
	}
	if err != nil {
		return nil, err
	}
	var members []storage.Member
	if err := json.Unmarshal(reply.body, &members); err != nil {
		return nil, unavailable(http.MethodGet, membersPath, err)
	}
	c.members.put(reply.header.Get("ETag"), members)
	return members, nil
}

// get returns the tag, empty if none is known, and a copy of its list.
func (m *memberCache) get() (string, []storage.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tag, slices.Clone(m.members)
}

// put keeps a copy of a list, since the caller may change its own.
func (m *memberCache) put(tag string, members []storage.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tag, m.members = tag, slices.Clone(members)
}
