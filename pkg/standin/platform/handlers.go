package platform

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// maxBodyBytes is the largest accepted request body.
const maxBodyBytes = 64 << 20

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	if refuseIfDown(w, faults.TableDown) {
		return
	}
	var txn storage.Txn
	if !decode(w, r, &txn) {
		return
	}
	if !s.writes.allow(faults.MaxWritesPerSecond, time.Now()) {
		s.table.countRateLimited()
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	outcome, err := s.table.commit(txn)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if rand.Float64() < faults.LostReplyProbability {
		s.table.countLostReply()
		panic(http.ErrAbortHandler) // net/http closes the connection without a reply
	}
	reply(w, outcome)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if refuseIfDown(w, s.Faults().TableDown) {
		return
	}
	var req GetRequest
	if decode(w, r, &req) {
		reply(w, s.table.get(req.Keys))
	}
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	if refuseIfDown(w, s.Faults().TableDown) {
		return
	}
	var req ScanRequest
	if !decode(w, r, &req) {
		return
	}
	rows, err := s.table.scan(req.Prefix, req.After, req.Limit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, rows)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	if refuseIfDown(w, s.Faults().ObjectsDown) {
		return
	}
	key, ok := objectKey(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.objects.put(key, data)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	if refuseIfDown(w, s.Faults().ObjectsDown) {
		return
	}
	key, ok := objectKey(w, r)
	if !ok {
		return
	}
	data, found := s.objects.get(key)
	if !found {
		http.Error(w, storage.ErrObjectNotFound.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(data)
}

func (s *Server) getMembers(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	if refuseIfDown(w, faults.MembersDown) {
		return
	}
	replyWithETag(w, r, s.members.list(faults.membershipLag()))
}

func (s *Server) putMember(w http.ResponseWriter, r *http.Request) {
	var m storage.Member
	if !decode(w, r, &m) {
		return
	}
	if id := r.PathValue("id"); m.ID != id {
		http.Error(w, "member id differs from the path", http.StatusBadRequest)
		return
	}
	s.members.put(m)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteMember(w http.ResponseWriter, r *http.Request) {
	s.members.remove(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decode(w, r, &faults) {
		return
	}
	if err := s.SetFaults(faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, s.Faults())
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	reply(w, s.Stats())
}

func refuseIfDown(w http.ResponseWriter, down bool) bool {
	if down {
		http.Error(w, "service down", http.StatusServiceUnavailable)
	}
	return down
}

func objectKey(w http.ResponseWriter, r *http.Request) (string, bool) {
	key, err := url.PathUnescape(r.PathValue("..."))
	if err != nil || key == "" {
		http.Error(w, "bad object key", http.StatusBadRequest)
		return "", false
	}
	return key, true
}

// decode reads a JSON body into v and rejects unknown fields, so that a misspelt
// fault name is an error.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
