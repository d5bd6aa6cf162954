package home

import "encoding/json"

// encode returns the JSON form of a record. The record types hold only
// strings, numbers and maps of them, which always encode.
func encode(record any) json.RawMessage {
	data, err := json.Marshal(record)
	if err != nil {
		panic("home: encode record: " + err.Error())
	}
	return data
}
