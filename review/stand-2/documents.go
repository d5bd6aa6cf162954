//go:build review

package main

import (
	_ "embed"
	"strconv"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/platform"
)

// Documents of the platform: configurations, and the entry of a replica.
var (
	//go:embed app.json
	appConfiguration string
	//go:embed model.json
	modelConfiguration string
	//go:embed server.json
	serverEntry string
)

// born is the start of the replicas.
var born = strconv.FormatInt(time.Now().UnixMilli(), 10)

// headers are the platform's names of headers.
var headers = platform.Dialect()

// answerHead is the head of a replica's answer, without the empty line, for a request id.
const answerHead = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: signature\r\n"

func put(rows *rowstore.Store, table, key, value string) {
	rows.Put(storage.RowKey{Table: table, Key: key}, []byte(value))
}

// configureApp writes the configuration of a plain service "app" at /o/, with the keys k0 to k9
// and own.
func (s *store) configureApp() { put(s.rows, "op", "config", appConfiguration) }

// configureModel writes the configuration of a model service "llm" at /m/, with the key k.
func (s *store) configureModel(prepaid int) {
	put(s.rows, "op", "config", strings.Replace(modelConfiguration, "PREPAID", strconv.Itoa(prepaid), 1))
}

// register writes the entry of a replica.
func (s *store) register(id, service, address string, slots, sequence int) {
	put(s.rows, "servers", id, strings.NewReplacer("SERVICE", service, "ADDRESS", address, "SLOTS", strconv.Itoa(slots), "SEQUENCE", strconv.Itoa(sequence), "BORN", born).Replace(serverEntry))
}
