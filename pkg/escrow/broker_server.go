package escrow

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ShareRequest asks the broker of an account to change the share of one
// process. If many hosts wrote the account row themselves, their writes would
// conflict; the broker writes for all of them.
type ShareRequest struct {
	Customer       string `json:"customer"`
	Share          Share  `json:"share"`             // share that the holder wants; its Seq rises with each request
	Held           bool   `json:"held"`              // the holder has a share in the account, as far as it knows
	LastAppliedSeq int64  `json:"known,omitempty"`   // Seq of the last change that the holder knows to be applied
	ForceWrite     bool   `json:"write,omitempty"`   // write the row even without a change, because an earlier request may still be applied
	Waiting        bool   `json:"waiting,omitempty"` // a reservation waits for the share to grow
	Close          bool   `json:"close,omitempty"`   // close the share and settle Used tokens
	Used           int64  `json:"used,omitempty"`    // tokens used from the share
	Usage          *Usage `json:"usage,omitempty"`   // what the next usage report would list for the share; nil: unknown
	// ExpiredShares are former shares of the holder whose lease has expired,
	// by Share.key, with the tokens used from each.
	ExpiredShares map[string]int64 `json:"lapsed,omitempty"`
	// EndedProcesses are earlier processes of the holder's host.
	EndedProcesses []EndedProcess `json:"ended,omitempty"`
}

// ShareReply is the broker's reply to a ShareRequest: the holder's share and a
// summary of the account.
type ShareReply struct {
	Held    bool        `json:"held"`          // the account has a share of the holder
	Share   Share       `json:"share"`         // share of the holder, if Held
	Settled int64       `json:"settled"`       // tokens spent from closed shares
	Others  otherShares `json:"others"`        // all other shares of the account
	Era     uint64      `json:"era,omitempty"` // era of the store in which the account was read or written; 0: the store names none
}

// errLeaving is the reply to queued share requests once this host returns its
// own shares.
var errLeaving = errors.New("host is leaving")

// queuedRequest is a share request that waits for the next change of the
// account.
type queuedRequest struct {
	request    ShareRequest
	receivedAt time.Duration
	done       chan error // buffered; receives nil once reply is set, or the reason of the rejection
	reply      ShareReply
}

// maxQueued is the maximum number of share requests that wait for one account.
const maxQueued = 1000

// ChangeShare changes the share of another host. It returns an error if the
// change was not accepted, its outcome is unknown or the table does not
// answer.
func (m *Manager) ChangeShare(ctx context.Context, request ShareRequest) (ShareReply, error) {
	if err := request.validate(); err != nil {
		m.options.Log.Warn().Err(err).Str("customer", request.Customer).Str("holder", request.Share.Host).Msg("Share request rejected.")
		return ShareReply{}, err
	}
	m.mu.Lock()
	p := m.pools[request.Customer]
	if p != nil && p.recovery.running {
		m.mu.Unlock()
		return ShareReply{}, errRecovering
	}
	if p == nil || m.leaving || len(p.queue) >= maxQueued {
		m.mu.Unlock()
		return ShareReply{}, fmt.Errorf("account of %q is not changed here", request.Customer)
	}
	// The process runs: what was concluded from its silence no longer holds. Shares that
	// it has lost are in its request.
	delete(m.endedProcesses, request.Share.Incarnation)
	q := &queuedRequest{request: request, receivedAt: p.now(), done: make(chan error, 1)}
	p.queue = append(p.queue, q)
	p.trigger()
	m.mu.Unlock()
	select {
	case err := <-q.done:
		return q.reply, err
	case <-ctx.Done():
		return ShareReply{}, ctx.Err()
	}
}

// needsNewerAccount reports whether the account must be read again before the
// request is applied, because the holder knows of changes that the loaded
// account may not contain yet.
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

// applyRequest applies a share request to the account and reports whether the
// account has changed. A share grows into the reserved tokens only if a reservation
// waits for it.
func (a *Account) applyRequest(request ShareRequest, prepaid, reserved int64) bool {
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
		return changed // superseded by a later change, or the share was closed by another host
	case request.Close && held:
		a.closeShare(key, request.Used)
		return true
	case request.Close:
		return changed
	}
	next := request.Share
	if next.Amount > current.Amount {
		if request.Waiting {
			reserved = 0
		}
		next.Amount = current.Amount + min(next.Amount-current.Amount, max(0, prepaid-reserved-a.Allotted()))
	}
	if next.Amount == current.Amount && (held || next.Amount == 0) && !request.ForceWrite {
		return changed
	}
	a.Shares[key] = next
	return true
}

// applyQueue applies all queued share requests to the account. It returns the
// requests to reply to once the change is written, and whether the account
// must be read first.
func (p *tokenPool) applyQueue(account *Account) (served []*queuedRequest, changed, mustRead bool) {
	if len(p.queue) == 0 {
		return nil, false, false
	}
	for _, q := range p.queue {
		if q.needsNewerAccount(p.account, p.loadedAt) {
			return nil, false, true
		}
	}
	reserved := p.view(p.account).reserved()
	for _, q := range p.queue {
		if account.applyRequest(q.request, p.prepaid, reserved) {
			changed = true
		}
	}
	served, p.queue = p.queue, nil
	return served, changed, false
}

// reply sends each requesting holder its share and a summary of the account.
func (p *tokenPool) reply(served []*queuedRequest) {
	p.recordHolderUsage(served)
	for _, q := range served {
		key := q.request.Share.key()
		share, held := p.account.Shares[key]
		q.reply = ShareReply{
			Held: held, Share: share, Settled: p.account.Settled,
			Others: p.account.summarizeOthers(key, p.usageOf), Era: p.accountVersion.Era,
		}
		q.reply.Others.Shortage = q.reply.Others.Shortage || p.peerShortage()
		q.done <- nil
	}
}

// rejectRequests sends the requesting holders an error. The error does not tell
// them whether their changes are applied.
func (p *tokenPool) rejectRequests(served []*queuedRequest, err error) {
	for _, q := range served {
		q.done <- err
	}
}
