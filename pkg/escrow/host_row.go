package escrow

import (
	"encoding/json"
	"fmt"
	"time"
)

// HostRow announces one running process to all hosts. The key of the row is the name
// of the host. It is small, since every host reads the rows of all others.
type HostRow struct {
	Incarnation string `json:"incarnation"`    // unique name of the process
	Addr        string `json:"addr,omitempty"` // address at which other hosts reach the host of the process; empty: none
	// RequestAddr is the address at which the host takes requests of other hosts; empty: none.
	RequestAddr string `json:"r,omitempty"`
	// FailureDomain and LinkMbps are those of the host; empty or 0: unknown. Hosts of earlier
	// releases do not write them.
	FailureDomain string  `json:"z,omitempty"`
	LinkMbps      float64 `json:"w,omitempty"`
	StoreTimeMs   int64   `json:"t"` // store clock when the row was written, or slightly before, in milliseconds
	// Notes is what the process tells all hosts, also those that start after its end; empty:
	// nothing. This package does not interpret it.
	Notes json.RawMessage `json:"k,omitempty"`
}

func (r HostRow) encode() []byte { return mustEncode(r) }

func decodeHostRow(value []byte) (HostRow, error) {
	var r HostRow
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("host row: %w", err)
	}
	return r, nil
}

// seen returns the process that has written the row, as the key of the row names the host.
func (r HostRow) seen(host string) HostSeen {
	return HostSeen{Host: host, Incarnation: r.Incarnation, At: time.Duration(r.StoreTimeMs) * time.Millisecond}
}

// age returns the age of the row on the store's clock.
func (r HostRow) age(storeTime time.Duration) time.Duration {
	return max(0, storeTime-time.Duration(r.StoreTimeMs)*time.Millisecond)
}
