//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, as PROTOCOL.md spells it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type reply struct {
	Rows    []row    `json:"rows,omitempty"`
	Parts   []string `json:"parts,omitempty"`
	HasMore bool     `json:"hasMore"`
	Ver     uint64   `json:"ver"`
	NowMs   int64    `json:"nowMs"`
}

type txn struct {
	Precondition []row `json:"precondition"`
	Puts         []row `json:"puts"`
	Remove       []row `json:"remove"`
}

// copyOfStore is the state that a drill returns to.
type copyOfStore struct {
	rows map[rowKey]row
	ver  uint64
	at   time.Time
}

// store is a stand-in of the platform's store: linearizable, transactions of 5 ms, 20 s of
// history. It loses what it has acknowledged only in a drill (news pages): it is away, then comes
// back from a copy, with Store-Era one higher.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	times   []time.Time // of history
	oldest  uint64      // feeds from an earlier version get 410
	ver     uint64
	era     int
	away    bool
	changed chan struct{}
	started time.Time
	listen  net.Listener
}

const (
	storeHistory = 20 * time.Second
	storeTx      = 5 * time.Millisecond
	storeRead    = 4 * time.Millisecond
	maxRows      = 500
)

func newStore(ip string) *store {
	s := &store{rows: make(map[rowKey]row), changed: make(chan struct{}), started: time.Now(), era: 1}
	s.listen = mustListen(ip + ":0")
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("GET /api/rows-parts", s.parts)
	go http.Serve(s.listen, mux)
	return s
}

func (s *store) addr() string { return s.listen.Addr().String() }

// answer writes a reply unless the store is away: then it answers 503, which says that nothing was
// done. The caller holds the mutex.
func (s *store) answer(w http.ResponseWriter, status int, r reply) {
	r.Ver, r.NowMs = s.ver, time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(r)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		http.Error(w, "not a transaction", http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row(nil), t.Puts...), t.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			http.Error(w, "table of the platform", http.StatusForbidden)
			return
		}
	}
	time.Sleep(storeTx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		s.answer(w, 0, reply{})
		return
	}
	for _, p := range t.Precondition {
		if s.rows[p.id()].Ver != p.Ver {
			var current []row
			for _, q := range t.Precondition {
				if known, ok := s.rows[q.id()]; ok {
					current = append(current, known)
				}
			}
			s.answer(w, http.StatusPreconditionFailed, reply{Rows: current})
			return
		}
	}
	s.apply(t.Puts, t.Remove)
	s.answer(w, http.StatusOK, reply{})
}

// apply writes rows as one transaction. The caller holds the mutex.
func (s *store) apply(puts, remove []row) {
	s.ver++
	now := time.Now()
	record := func(r row) {
		r.Ver = s.ver
		if r.Deleted {
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.history, s.times = append(s.history, r), append(s.times, now)
	}
	for _, p := range puts {
		p.Deleted = false
		record(p)
	}
	for _, p := range remove {
		if _, ok := s.rows[p.id()]; ok {
			p.Deleted, p.Value = true, nil
			record(p)
		}
	}
	for len(s.times) > 0 && now.Sub(s.times[0]) > storeHistory {
		s.oldest = s.history[0].Ver
		s.history, s.times = s.history[1:], s.times[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put is a write of the operator or of a replica. It returns when the store has acknowledged it, and
// the version of the row.
func (s *store) put(table, key string, value any) uint64 {
	data, err := json.Marshal(value)
	check(err)
	for {
		s.mu.Lock()
		if !s.away {
			s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
			ver := s.ver
			s.mu.Unlock()
			return ver
		}
		s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *store) removeRow(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.apply(nil, []row{{Table: table, Key: key}})
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeRead)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for k, known := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			found = append(found, known)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	s.answer(w, http.StatusOK, reply{Rows: found, HasMore: more})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeRead)
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]bool)
	var parts []string
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") && !seen[k.part] {
			seen[k.part] = true
			parts = append(parts, k.part)
		}
	}
	sort.Strings(parts)
	s.answer(w, http.StatusOK, reply{Parts: parts})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeRead)
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("sinceRevision"), 10, 64)
	check(err)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if since > s.ver || since < s.oldest {
			s.answer(w, http.StatusGone, reply{})
			return
		}
		var found []row
		for _, known := range s.history {
			if known.Ver > since && known.Table == q.Get("table") {
				found = append(found, known)
			}
		}
		if len(found) > 0 || s.away {
			s.answer(w, http.StatusOK, reply{Rows: found})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
		if ended {
			s.answer(w, http.StatusOK, reply{})
			return
		}
	}
}

// copyNow copies the store for a drill.
func (s *store) copyNow() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyOfStore{rows: make(map[rowKey]row, len(s.rows)), ver: s.ver, at: time.Now()}
	for k, r := range s.rows {
		c.rows[k] = r
	}
	return c
}

func (s *store) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ver
}

// drill takes the store away for a time and brings it back from the copy.
func (s *store) drill(c copyOfStore, away time.Duration) {
	s.mu.Lock()
	s.away = true
	close(s.changed) // open feeds end
	s.changed = make(chan struct{})
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history, s.times, s.ver, s.oldest = c.rows, nil, nil, c.ver, c.ver
	s.era++
	s.away = false
}
