package platform

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/platform"
)

// memberChange is a change of the list that may not be visible yet.
type memberChange struct {
	at     time.Time
	id     string
	member *platform.Member // nil removes the member
}

// memberList is the membership list. A change becomes visible when it is
// older than the lag.
type memberList struct {
	mu      sync.Mutex
	visible map[string]platform.Member
	pending []memberChange
}

func newMemberList() *memberList {
	return &memberList{visible: map[string]platform.Member{}}
}

func (l *memberList) put(m platform.Member) {
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

// list returns the members in order of their ids.
func (l *memberList) list(lag time.Duration) []platform.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(time.Now().Add(-lag))
	members := make([]platform.Member, 0, len(l.visible))
	for _, m := range l.visible {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b platform.Member) int { return strings.Compare(a.ID, b.ID) })
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
