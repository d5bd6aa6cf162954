package forward

import (
	"hash/fnv"
	"sync"
	"time"
)

const (
	// maxCrashedTargets is the number of targets that a request may break before it is
	// refused: the users allow three.
	maxCrashedTargets = 3
	// crashRecordTTL is how long a request is remembered after it last broke a target.
	// It outlasts the return of crashed targets by far.
	crashRecordTTL = time.Minute
	// maxCrashRecords bounds the memory for requests that broke a target.
	maxCrashRecords = 4096
	// retryAfterCrashes is the time after which such a request may come back.
	retryAfterCrashes = 30 * time.Second
)

// Suspects remembers requests whose targets broke off without an answer, so that
// one that crashes its targets does not crash all of them. A request is known by
// its customer, path and body, as it comes again under other ids and at other
// hosts. It is safe for concurrent use.
type Suspects struct {
	// Announce is called for each target that a request breaks on this host. It
	// must not block. Nil: other hosts are not told.
	Announce func(fingerprint uint64, target string)

	mu      sync.Mutex
	records map[uint64]*crashRecord
}

// crashRecord is a request that broke at least one target.
type crashRecord struct {
	targets   map[string]struct{}
	lastCrash time.Time
}

// NewSuspects returns an empty memory.
func NewSuspects() *Suspects { return &Suspects{records: make(map[uint64]*crashRecord)} }

// Heard notes that a request broke a target, here or on another host.
func (s *Suspects) Heard(fingerprint uint64, target string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[fingerprint]
	if record == nil {
		s.deleteExpired(now)
		if len(s.records) >= maxCrashRecords {
			return
		}
		record = &crashRecord{targets: make(map[string]struct{})}
		s.records[fingerprint] = record
	}
	record.targets[target] = struct{}{}
	record.lastCrash = now
}

// Broke notes that a request of this host broke a target, and tells other hosts.
func (s *Suspects) Broke(fingerprint uint64, target string, now time.Time) {
	s.Heard(fingerprint, target, now)
	if s.Announce != nil {
		s.Announce(fingerprint, target)
	}
}

// Answered notes that a target has answered a request to its end: it does not
// crash targets, however often its connections broke.
func (s *Suspects) Answered(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, fingerprint)
}

// Crashes reports whether a request has broken so many targets that it may not
// reach another one.
func (s *Suspects) Crashes(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[fingerprint]
	return record != nil && len(record.targets) >= maxCrashedTargets && now.Sub(record.lastCrash) < crashRecordTTL
}

func (s *Suspects) deleteExpired(now time.Time) {
	for fingerprint, record := range s.records {
		if now.Sub(record.lastCrash) >= crashRecordTTL {
			delete(s.records, fingerprint)
		}
	}
}

// requestFingerprint is the same for the same request under another id.
func (c *call) requestFingerprint() uint64 {
	h := fnv.New64a()
	for _, part := range []string{c.customerName(), c.r.Method, c.r.RequestURI, string(c.body)} {
		_, _ = h.Write([]byte(part)) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
