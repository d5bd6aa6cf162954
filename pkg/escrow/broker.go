package escrow

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ShareAsk asks the broker of an account to change one process's share. Many
// hosts that each write the row would collide; the broker writes for them all.
type ShareAsk struct {
	Customer       string `json:"customer"`
	Share          Share  `json:"share"`           // as the holder wants it; Seq rises with each ask
	Held           bool   `json:"held"`            // the holder knows of a share in the account
	LastAppliedSeq int64  `json:"known,omitempty"` // Seq of the last change that the holder knows to be applied
	ForceWrite     bool   `json:"write,omitempty"` // write the row in any case: an earlier change may still come
	Close          bool   `json:"close,omitempty"` // end the share with Used
	Used           int64  `json:"used,omitempty"`
	// ExpiredShares are former shares of the holder with what was used of them, by key.
	ExpiredShares map[string]int64 `json:"lapsed,omitempty"`
	// EndedProcesses are earlier processes of the holder's host.
	EndedProcesses []EndedProcess `json:"ended,omitempty"`
}

// ShareAnswer is the account as the holder of a share needs it.
type ShareAnswer struct {
	Held    bool        `json:"held"` // the account has the share
	Share   Share       `json:"share"`
	Settled int64       `json:"settled"`
	Others  otherShares `json:"others"`
}

// errLeaving refuses asks at a host that gives its own shares back.
var errLeaving = errors.New("host is leaving")

// queuedRequest is an ask that waits for the next change of the account.
type queuedRequest struct {
	request    ShareAsk
	receivedAt time.Duration
	done       chan error // buffered; nil: answer is set
	reply      ShareAnswer
}

// maxQueued bounds the asks that wait for one account.
const maxQueued = 1000

// ChangeShare changes a share of another host. It returns an error if the
// outcome is unknown or the table does not answer.
func (k *Keeper) ChangeShare(ctx context.Context, request ShareAsk) (ShareAnswer, error) {
	k.mu.Lock()
	p := k.pools[request.Customer]
	if p == nil || k.leaving || len(p.queue) >= maxQueued {
		k.mu.Unlock()
		return ShareAnswer{}, fmt.Errorf("account of %q is not changed here", request.Customer)
	}
	q := &queuedRequest{request: request, receivedAt: p.now(), done: make(chan error, 1)}
	p.queue = append(p.queue, q)
	p.trigger()
	k.mu.Unlock()
	select {
	case err := <-q.done:
		return q.reply, err
	case <-ctx.Done():
		return ShareAnswer{}, ctx.Err()
	}
}

// needsNewerAccount reports whether the account as last seen is older than what the holder knows.
func (q *queuedRequest) needsNewerAccount(a Account, loadedAt time.Duration) bool {
	if loadedAt > q.receivedAt {
		return false
	}
	if len(q.request.EndedProcesses)+len(q.request.ExpiredShares) > 0 {
		return true
	}
	s, held := a.Shares[q.request.Share.key()]
	return q.request.Held != held || (held && s.Seq < q.request.LastAppliedSeq)
}

// applyRequest carries out an ask and reports whether the account has changed.
func (a *Account) applyRequest(request ShareAsk, prepaid int64) bool {
	ended := make(map[string]EndedProcess, len(request.EndedProcesses))
	for _, e := range request.EndedProcesses {
		if e.Report.Host == request.Share.Host {
			ended[e.Report.Incarnation] = e
		}
	}
	changed := a.closeEnded(request.Customer, ended, request.ExpiredShares)
	key := request.Share.key()
	current, held := a.Shares[key]
	switch {
	case held && request.Share.Seq <= current.Seq, !held && request.Held:
		return changed // overtaken by a later change, or closed by another host
	case request.Close && held:
		a.closeShare(key, request.Used)
		return true
	case request.Close:
		return changed
	}
	next := request.Share
	if next.Amount > current.Amount {
		next.Amount = current.Amount + min(next.Amount-current.Amount, max(0, prepaid-a.Allotted()))
	}
	if next.Amount == current.Amount && (held || next.Amount == 0) && !request.ForceWrite {
		return changed
	}
	a.Shares[key] = next
	return true
}

// applyQueue carries out the asks that wait. It returns those whose answer
// depends on the change being applied, and whether the account must be read first.
func (p *tokenPool) applyQueue(account *Account) (served []*queuedRequest, changed, mustRead bool) {
	for _, q := range p.queue {
		if q.needsNewerAccount(p.account, p.loadedAt) {
			return nil, false, true
		}
	}
	for _, q := range p.queue {
		if account.applyRequest(q.request, p.prepaid) {
			changed = true
		}
	}
	served, p.queue = p.queue, nil
	return served, changed, false
}

// reply tells the holders what the account has for them.
func (p *tokenPool) reply(served []*queuedRequest) {
	for _, q := range served {
		key := q.request.Share.key()
		share, held := p.account.Shares[key]
		q.reply = ShareAnswer{
			Held: held, Share: share, Settled: p.account.Settled,
			Others: p.account.summarizeOthers(q.request.Customer, key, p.keeper.peerReports),
		}
		q.reply.Others.Shortage = q.reply.Others.Shortage || p.peerShortage()
		q.done <- nil
	}
}

// rejectRequests tells the holders that nothing is known of their asks.
func (p *tokenPool) rejectRequests(served []*queuedRequest, err error) {
	for _, q := range served {
		q.done <- err
	}
}
