package target

import "net/http"

// Adapters returns one adapter per kind, all reading through client.
func Adapters(client *http.Client) map[Kind]Adapter {
	return map[Kind]Adapter{
		PromText:   NewPromTextAdapter(client),
		JSONStatus: NewJSONStatusAdapter(client),
		Service:    NewServiceAdapter(client),
	}
}
