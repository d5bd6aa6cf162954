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

// memberCache holds the last membership list and its entity tag, so that the
// platform does not send an unchanged list again. A platform without entity tags
// sends the whole list each time.
type memberCache struct {
	mu      sync.Mutex
	etag    string
	members []storage.Member
}

// Members implements storage.Members.
func (c *Client) Members(ctx context.Context) ([]storage.Member, error) {
	etag, cached := c.members.get()
	header := http.Header{}
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	reply, err := c.exchange(ctx, http.MethodGet, membersPath, header, nil)
	var status *StatusError
	if etag != "" && errors.As(err, &status) && status.Code == http.StatusNotModified {
		return cached, nil
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

// get returns the entity tag, empty if there is none, and a copy of the list.
func (m *memberCache) get() (string, []storage.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.etag, slices.Clone(m.members)
}

// put stores an entity tag and a copy of its list, since the caller may change the
// list.
func (m *memberCache) put(etag string, members []storage.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.etag, m.members = etag, slices.Clone(members)
}
