package target

import "time"

// parsers holds the report parser of each kind of target.
var parsers = map[Kind]func([]byte, time.Time) (Snapshot, error){
	PromText:   parsePromText,
	JSONStatus: parseJSONStatus,
	Service:    parseService,
}
