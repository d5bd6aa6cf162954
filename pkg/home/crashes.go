package home

import (
	"context"
	"encoding/json"
	"time"

	"github.com/peppertrail/peppertrail/pkg/claim"
	"github.com/peppertrail/peppertrail/pkg/commit"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const (
	crashPrefix      = "crash/"
	crashScanLimit   = 500 // rows per scan
	crashLoadTimeout = time.Second
)

// loadCrashes reads the crash records that other homes wrote. If the table does
// not answer within crashLoadTimeout, counting starts at zero, and a request that
// crashes targets can crash CrashLimit more targets before it is refused.
func (l *Local) loadCrashes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, crashLoadTimeout)
	defer cancel()
	after := ""
	for {
		rows, err := l.opts.Table.Scan(ctx, crashPrefix, after, crashScanLimit)
		if err != nil || len(rows) == 0 {
			return
		}
		for _, row := range rows {
			l.mergeCrashRow(row)
		}
		after = rows[len(rows)-1].Key
	}
}

// mergeCrashRow adds the targets of a crash row to the registry.
func (l *Local) mergeCrashRow(row storage.Row) {
	var record claim.CrashRecord
	if json.Unmarshal(row.Value, &record) != nil {
		return
	}
	for _, target := range record.Targets {
		l.registry.RecordCrash(record.Fingerprint, target)
	}
	l.crashRows[record.Fingerprint] = row.Version
}

// recordCrash records that a target crashed while it ran a request.
func (l *Local) recordCrash(now time.Time, fingerprint, target string) {
	targets, added := l.registry.RecordCrash(fingerprint, target)
	if !added {
		return
	}
	if len(targets) == l.opts.CrashLimit {
		l.opts.Observer.RequestStopped(fingerprint, targets)
	}
	l.writeCrash(now, fingerprint, targets)
}

func (l *Local) writeCrash(now time.Time, fingerprint string, targets []string) {
	key := claim.CrashKey(fingerprint)
	record := claim.CrashRecord{Fingerprint: fingerprint, Targets: targets, LastSeen: now.UnixMilli()}
	holder := l.opts.Holder
	l.opts.Committer.Submit(commit.Op{
		Conditions: []storage.Condition{{Key: key, Version: l.crashRows[fingerprint]}},
		Puts:       []storage.Put{{Key: key, Value: encode(record)}},
		Done: func(r commit.Result) {
			l.post(&crashWritten{holder: holder, record: record, result: r})
		},
	})
}

// crashWritten carries the result of writeCrash to the control goroutine.
type crashWritten struct {
	holder string
	record claim.CrashRecord
	result commit.Result
}

func (m *crashWritten) handle(l *Local, now time.Time) {
	if m.holder != l.opts.Holder {
		return
	}
	if m.result.Err == nil {
		l.crashRows[m.record.Fingerprint] = m.result.Revision
		return
	}
	for _, row := range m.result.Conflicts {
		// Recording a target again only returns the targets recorded so far.
		before, _ := l.registry.RecordCrash(m.record.Fingerprint, m.record.Targets[0])
		known := len(before)
		l.mergeCrashRow(row)
		after, _ := l.registry.RecordCrash(m.record.Fingerprint, m.record.Targets[0])
		l.writeCrash(now, m.record.Fingerprint, after)
		if known < l.opts.CrashLimit && len(after) >= l.opts.CrashLimit {
			l.opts.Observer.RequestStopped(m.record.Fingerprint, after)
		}
	}
}
