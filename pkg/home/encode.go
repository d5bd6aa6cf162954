package home

import "encoding/json"

// encode returns the JSON encoding of a record. It panics on an error, which
// cannot occur for the record types of this package's rows.
func encode(record any) json.RawMessage {
	data, err := json.Marshal(record)
	if err != nil {
		panic("home: encode record: " + err.Error())
	}
	return data
}
