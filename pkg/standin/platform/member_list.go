package platform

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// memberChange is a change of the membership list that is not visible yet.
type memberChange struct {
	at     time.Time
	id     string
	member *storage.Member // nil removes the member
}

// memberList is the membership list. A change becomes visible once its age
// reaches the membership lag.
type memberList struct {
	mu      sync.Mutex
	visible map[string]storage.Member
	pending []memberChange
}

func newMemberList() *memberList {
	return &memberList{visible: map[string]storage.Member{}}
}

func (l *memberList) put(m storage.Member) {
	l.change(memberChange{at: time.Now(), id: m.ID, member: &m})
}

func (l *memberList) remove(id string) {
	l.change(memberChange{at: time.Now(), id: id})
}

func (l *memberList) change(c memberChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, c)
}

// list returns the visible members sorted by id.
func (l *memberList) list(lag time.Duration) []storage.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(time.Now().Add(-lag))
	members := make([]storage.Member, 0, len(l.visible))
	for _, m := range l.visible {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b storage.Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

func (l *memberList) apply(until time.Time) {
	for len(l.pending) > 0 && !l.pending[0].at.After(until) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.member == nil {
			delete(l.visible, c.id)
			continue
		}
		l.visible[c.id] = *c.member
	}
}
