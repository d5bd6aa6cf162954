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
	Customer string `json:"customer"`
	Share    Share  `json:"share"`           // as the holder wants it; Seq rises with each ask
	Held     bool   `json:"held"`            // the holder knows of a share in the account
	Known    int64  `json:"known,omitempty"` // Seq of the last change that the holder knows to be applied
	Write    bool   `json:"write,omitempty"` // write the row in any case: an earlier change may still come
	Close    bool   `json:"close,omitempty"` // end the share with Used
	Used     int64  `json:"used,omitempty"`
	// Lapsed are former shares of the holder with what was used of them, by key.
	Lapsed map[string]int64 `json:"lapsed,omitempty"`
	// Ended are earlier processes of the holder's host.
	Ended []EndedProcess `json:"ended,omitempty"`
}

// ShareAnswer is the account as the holder of a share needs it.
type ShareAnswer struct {
	Held    bool   `json:"held"` // the account has the share
	Share   Share  `json:"share"`
	Settled int64  `json:"settled"`
	Others  otherShares `json:"others"`
}

// errLeaving refuses asks at a host that gives its own shares back.
var errLeaving = errors.New("host is leaving")

// brokered is an ask that waits for the next change of the account.
type brokered struct {
	ask     ShareAsk
	arrived time.Duration
	done    chan error // buffered; nil: answer is set
	answer  ShareAnswer
}

// maxQueued bounds the asks that wait for one account.
const maxQueued = 1000

// ChangeShare changes a share of another host. It returns an error if the
// outcome is unknown or the table does not answer.
func (k *Keeper) ChangeShare(ctx context.Context, ask ShareAsk) (ShareAnswer, error) {
	k.mu.Lock()
	p := k.pools[ask.Customer]
	if p == nil || k.leaving || len(p.queue) >= maxQueued {
		k.mu.Unlock()
		return ShareAnswer{}, fmt.Errorf("account of %q is not changed here", ask.Customer)
	}
	b := &brokered{ask: ask, arrived: p.now(), done: make(chan error, 1)}
	p.queue = append(p.queue, b)
	p.kick()
	k.mu.Unlock()
	select {
	case err := <-b.done:
		return b.answer, err
	case <-ctx.Done():
		return ShareAnswer{}, ctx.Err()
	}
}

// stale reports whether the account as last seen is older than what the holder knows.
func (b *brokered) stale(a Account, seenAt time.Duration) bool {
	if seenAt > b.arrived {
		return false
	}
	if len(b.ask.Ended)+len(b.ask.Lapsed) > 0 {
		return true
	}
	s, held := a.Shares[b.ask.Share.key()]
	return b.ask.Held != held || (held && s.Seq < b.ask.Known)
}

// apply carries out an ask and reports whether the account has changed.
func (a *Account) apply(ask ShareAsk, prepaid int64) bool {
	ended := make(map[string]EndedProcess, len(ask.Ended))
	for _, e := range ask.Ended {
		if e.Report.Host == ask.Share.Host {
			ended[e.Report.Incarnation] = e
		}
	}
	changed := a.closeEnded(ask.Customer, ended, ask.Lapsed)
	key := ask.Share.key()
	present, held := a.Shares[key]
	switch {
	case held && ask.Share.Seq <= present.Seq, !held && ask.Held:
		return changed // overtaken by a later change, or closed by another host
	case ask.Close && held:
		a.close(key, ask.Used)
		return true
	case ask.Close:
		return changed
	}
	next := ask.Share
	if next.Amount > present.Amount {
		next.Amount = present.Amount + min(next.Amount-present.Amount, max(0, prepaid-a.Allotted()))
	}
	if next.Amount == present.Amount && (held || next.Amount == 0) && !ask.Write {
		return changed
	}
	a.Shares[key] = next
	return true
}

// serveQueue carries out the asks that wait. It returns those whose answer
// depends on the change being applied, and whether the account must be read first.
func (p *tokenPool) serveQueue(account *Account) (served []*brokered, changed, read bool) {
	for _, b := range p.queue {
		if b.stale(p.account, p.seenAt) {
			return nil, false, true
		}
	}
	for _, b := range p.queue {
		if account.apply(b.ask, p.prepaid) {
			changed = true
		}
	}
	served, p.queue = p.queue, nil
	return served, changed, false
}

// answer tells the holders what the account has for them.
func (p *tokenPool) answer(served []*brokered) {
	for _, b := range served {
		key := b.ask.Share.key()
		share, held := p.account.Shares[key]
		b.answer = ShareAnswer{
			Held: held, Share: share, Settled: p.account.Settled,
			Others: p.account.summarizeOthers(b.ask.Customer, key, p.keeper.peers),
		}
		b.answer.Others.Shortage = b.answer.Others.Shortage || p.heardLack()
		b.done <- nil
	}
}

// refuse tells the holders that nothing is known of their asks.
func (p *tokenPool) refuse(served []*brokered, err error) {
	for _, b := range served {
		b.done <- err
	}
}
