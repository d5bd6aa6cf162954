package forward

import (
	"fmt"
	"net/http"
)

// hopHeader marks a request of another host. Its value is a hopInfo. refusedHeader is in the
// refusals for other hosts, with the reason. Those of callers and targets are dropped.
const (
	hopHeader     = "Peppertrail-Hop"
	refusedHeader = "Peppertrail-Refused"
)

// hopInfo is what a host has done with a request that it forwards to another one.
type hopInfo struct {
	counted  bool // the request counts as one for the retry limit already
	reserved bool // the host holds the tokens of the request, and charges them
	runs     int  // targets that may have run it
	// version is that of the host's configuration. A host with an older one must not handle the
	// request, as the caller may have seen the effects of this one.
	version int64
}

const hopInfoFormat = "counted=%t reserved=%t runs=%d version=%d"

func (i hopInfo) String() string {
	return fmt.Sprintf(hopInfoFormat, i.counted, i.reserved, i.runs, i.version)
}

// readHopInfo returns what the header of a request of another host says. Without a valid value,
// nothing was done.
func readHopInfo(header http.Header) hopInfo {
	var i hopInfo
	if _, err := fmt.Sscanf(header.Get(hopHeader), hopInfoFormat, &i.counted, &i.reserved, &i.runs, &i.version); err != nil || i.runs < 0 {
		return hopInfo{}
	}
	return i
}
