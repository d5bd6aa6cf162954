// Package service is a stand-in for a plain service: it echoes every call after
// a delay and records which calls ran.
package service

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/peppertrail/peppertrail/pkg/standin/journal"
)

// CrashStatus is the exit status when a body contains the crash marker.
const CrashStatus = 3

// Reasons for refusing a call with status 503.
var (
	errDraining = errors.New("draining")
	errCapacity = errors.New("all capacity is in use")
)

// Service is a running stand-in.
type Service struct {
	options Options
	file    *journal.File
	log     log.Logger

	mu       sync.Mutex
	idle     *sync.Cond // signalled when a call ends
	inflight int
	draining bool
	history  []Record // records of all accepted calls; the index of a record is Record.Call-1
}

// New returns a service. Close closes its journal.
func New(o Options) (*Service, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	file, err := journal.Open(o.Journal)
	if err != nil {
		return nil, err
	}
	if o.Exit == nil {
		o.Exit = os.Exit
	}
	s := &Service{
		options: o,
		file:    file,
		log:     log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}},
	}
	s.idle = sync.NewCond(&s.mu)
	return s, nil
}

// Close closes the journal.
func (s *Service) Close() error { return s.file.Close() }

// Drain refuses new calls from now on.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Wait returns once no call is running.
func (s *Service) Wait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.inflight > 0 {
		s.idle.Wait()
	}
}

// Journal returns one record per accepted call, in order of arrival.
func (s *Service) Journal() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}

// status returns the current state.
func (s *Service) status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := OK
	if s.draining {
		state = Draining
	}
	return Status{Status: state, Inflight: s.inflight, Capacity: s.options.Capacity}
}

// run executes a call and returns its echo, or the reason why the call is refused.
// An accepted call runs to its end even if the client disconnects.
func (s *Service) run(r *http.Request, stream string, body []byte) (Echo, error) {
	sum := sha256.Sum256(body)
	record, err := s.begin(Record{
		Stream: stream, Method: r.Method, Path: r.URL.RequestURI(), Digest: hex.EncodeToString(sum[:]),
	})
	if err != nil {
		return Echo{}, err
	}
	// The process exits while the call is running, so that the journal has no record of
	// its end. Only an Exit function set by a test returns.
	if s.hasCrashMarker(body) {
		time.Sleep(s.options.Delay / 2)
		s.log.Error().Msg("service: the body of a call contains the crash marker; exiting with status 3")
		s.options.Exit(CrashStatus)
	}
	time.Sleep(s.options.Delay)
	s.end(record)
	return Echo{Method: record.Method, Path: record.Path, Digest: record.Digest, Stream: record.Stream}, nil
}

// hasCrashMarker reports whether the body contains the crash marker.
func (s *Service) hasCrashMarker(body []byte) bool {
	return s.options.CrashMarker != "" && bytes.Contains(body, []byte(s.options.CrashMarker))
}

// begin accepts a call, or returns errDraining or errCapacity.
func (s *Service) begin(r Record) (Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return Record{}, errDraining
	}
	if s.inflight >= s.options.Capacity {
		return Record{}, errCapacity
	}
	s.inflight++
	r.Call = len(s.history) + 1
	r.Started = time.Now()
	r.Outcome = Running
	s.history = append(s.history, r)
	s.append(r)
	return r, nil
}

// end records that a call has run.
func (s *Service) end(r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r.Ended = &now
	r.Outcome = Completed
	s.history[r.Call-1] = r
	s.inflight--
	s.append(r)
	s.idle.Broadcast()
}

// append adds a record to the journal file.
func (s *Service) append(r Record) {
	if err := s.file.Append(r); err != nil {
		s.log.Error().Err(err).Msg(fmt.Sprintf("service: cannot write to the journal; the record of call %d is lost", r.Call))
	}
}
