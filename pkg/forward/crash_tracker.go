package forward

import (
	"hash/fnv"
	"sync"
	"time"
)

const (
	// maxCrashedTargets is the number of targets that a request may crash before it
	// is refused. The requirements of the users allow three.
	maxCrashedTargets = 3
	// crashRecordTTL is how long a record is kept after the last crash. It is much
	// longer than the time that a crashed target takes to be available again.
	crashRecordTTL = time.Minute
	// maxCrashRecords bounds the memory for the records. Further requests are not
	// recorded.
	maxCrashRecords = 4096
	// retryAfterCrashes is the Retry-After of a request that is refused because it
	// crashes targets.
	retryAfterCrashes = 30 * time.Second
)

// CrashTracker records requests whose targets closed the connection before the response
// was complete, so that a request that crashes its targets does not crash all of
// them. A request is identified by its customer, method, URI and body, as it may be
// repeated under other ids and at other hosts. It is safe for concurrent use.
type CrashTracker struct {
	// Announce tells other hosts of each crash that this host records. It must not
	// block. If it is nil, other hosts are not told.
	Announce func(fingerprint uint64, target string)

	mu      sync.Mutex
	records map[uint64]*crashRecord // by fingerprint of the request
}

// crashRecord holds the targets that one request has crashed.
type crashRecord struct {
	targets   map[string]struct{} // by target id
	lastCrash time.Time
}

// NewCrashTracker returns a tracker without records.
func NewCrashTracker() *CrashTracker { return &CrashTracker{records: make(map[uint64]*crashRecord)} }

// Record notes that a request crashed a target, on this or another host.
func (t *CrashTracker) Record(fingerprint uint64, target string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.records[fingerprint]
	if record == nil {
		t.deleteExpired(now)
		if len(t.records) >= maxCrashRecords {
			return
		}
		record = &crashRecord{targets: make(map[string]struct{})}
		t.records[fingerprint] = record
	}
	record.targets[target] = struct{}{}
	record.lastCrash = now
}

// RecordAndAnnounce records that a request of this host crashed a target, and tells other hosts.
func (t *CrashTracker) RecordAndAnnounce(fingerprint uint64, target string, now time.Time) {
	t.Record(fingerprint, target, now)
	if t.Announce != nil {
		t.Announce(fingerprint, target)
	}
}

// Clear deletes the record of a request. It is called when a target has sent a
// complete response to the request: the connections that broke before do not show
// that the request crashes its targets.
func (t *CrashTracker) Clear(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, fingerprint)
}

// IsRefused reports whether a request has crashed so many targets that it must not be
// sent to another one.
func (t *CrashTracker) IsRefused(fingerprint uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.records[fingerprint]
	return record != nil && len(record.targets) >= maxCrashedTargets && now.Sub(record.lastCrash) < crashRecordTTL
}

// deleteExpired deletes the records that are older than crashRecordTTL. The caller
// holds the mutex.
func (t *CrashTracker) deleteExpired(now time.Time) {
	for fingerprint, record := range t.records {
		if now.Sub(record.lastCrash) >= crashRecordTTL {
			delete(t.records, fingerprint)
		}
	}
}

// requestFingerprint hashes the customer, method, URI and body of the request, but
// not its id.
func (c *call) requestFingerprint() uint64 {
	h := fnv.New64a()
	for _, part := range []string{c.customerName(), c.r.Method, c.r.RequestURI, string(c.body)} {
		_, _ = h.Write([]byte(part)) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
