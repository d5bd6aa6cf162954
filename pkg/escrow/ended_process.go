package escrow

import "time"

// EndedProcess is a process that may no longer spend, with its last usage
// report.
type EndedProcess struct {
	Report UsageReport `json:"report"`
	// EndedBy is a time on the store's clock at or before which the process
	// had ended or its lease had expired.
	EndedBy time.Duration `json:"by_ns"`
}

// maxSpent returns the upper bound of the tokens that the process has spent
// from a share.
func (e EndedProcess) maxSpent(customer string, s Share) int64 {
	return e.Report.MaxSpent(customer, s.Epoch, s.Amount, e.Report.age(e.EndedBy))
}

// writeOff is what the closing of an ended process's share counts as spent beyond
// the tokens used by the last report, in tokens, by what allowed the process to
// spend them.
type writeOff struct {
	reported int64 // tokens used by the last report, open reservations included
	headroom int64 // up to the ceiling
	risen    int64 // above the ceiling, by the rise of the limit after ceilingTerm
	unlisted int64 // the whole share, if the last report does not list it
}

// total returns all tokens that are written off.
func (w writeOff) total() int64 { return w.headroom + w.risen + w.unlisted }

// add adds the tokens of another share.
func (w writeOff) add(o writeOff) writeOff {
	return writeOff{w.reported + o.reported, w.headroom + o.headroom, w.risen + o.risen, w.unlisted + o.unlisted}
}

// writeOff returns the parts of maxSpent.
func (e EndedProcess) writeOff(customer string, s Share) writeOff {
	counted := e.maxSpent(customer, s)
	u, listed := e.Report.Customers[customer]
	if !listed || u.Epoch != s.Epoch {
		return writeOff{unlisted: counted}
	}
	belowCeiling := min(counted, u.Ceiling)
	reported := min(belowCeiling, u.Used)
	return writeOff{reported: reported, headroom: belowCeiling - reported, risen: counted - belowCeiling}
}
