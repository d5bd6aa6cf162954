package target

import "net/http"

// Adapters returns one adapter per kind of target. All of them use client.
func Adapters(client *http.Client) map[Kind]Adapter {
	return map[Kind]Adapter{
		PromText:   NewPromTextAdapter(client),
		JSONStatus: NewJSONStatusAdapter(client),
		Service:    NewServiceAdapter(client),
	}
}
