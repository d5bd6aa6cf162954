package target

import "time"

// parsers are the report parsers by kind.
var parsers = map[Kind]func([]byte, time.Time) (Snapshot, error){
	PromText:   parsePromText,
	JSONStatus: parseJSONStatus,
	Service:    parseService,
}
