package sharedread

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Request asks a reader for the changes of the table.
type Request struct {
	Era    uint64   `json:"e,omitempty"`
	Number uint64   `json:"n,omitempty"` // with Era, the version that the asking host knows
	Copy   bool     `json:"c,omitempty"` // the whole table is asked for
	HoldMs int64    `json:"h,omitempty"` // how long the reader may wait for a change, in milliseconds
	Awaits []string `json:"a,omitempty"` // keys of which each write is a change, also one of the same content
}

func (r Request) since() storage.Version { return storage.Version{Era: r.Era, Number: r.Number} }

// Reply is the answer of a reader.
type Reply struct {
	Era    uint64 `json:"e,omitempty"`
	Number uint64 `json:"n"`           // with Era, the version that the rows bring the asking host to
	AgeUs  int64  `json:"a"`           // time since the store has confirmed that version, in microseconds
	HeldUs int64  `json:"h,omitempty"` // time for which the reader has held the call, in microseconds
	// Rows are the changed rows, or all rows of the table. Many rows are in Packed instead,
	// compressed with DEFLATE.
	Rows   []wireRow `json:"r,omitempty"`
	Packed []byte    `json:"p,omitempty"`
}

func (r Reply) version() storage.Version { return storage.Version{Era: r.Era, Number: r.Number} }

func (r Reply) age() time.Duration { return time.Duration(r.AgeUs) * time.Microsecond }

func (r Reply) held() time.Duration { return time.Duration(r.HeldUs) * time.Microsecond }

// packedBytes returns the size of a reply with packed rows as it is sent: as base64 in JSON, with
// the fields around it.
func (r Reply) packedBytes() int { return base64.StdEncoding.EncodedLen(len(r.Packed)) + 60 }

// wireRow is a row in an answer.
type wireRow struct {
	Key     string          `json:"k"`
	Number  uint64          `json:"n"`           // version of the content; its era is that of the answer
	Content json.RawMessage `json:"c,omitempty"` // absent if the row is deleted
}

// setRows sets the rows of a reply.
func (r *Reply) setRows(rows []wireRow) error {
	if len(rows) < compressedRows {
		r.Rows = rows
		return nil
	}
	packed, err := compressor.pack(rows)
	r.Packed = packed
	return err
}

// rows returns the rows of a reply.
func (r *Reply) rows() ([]wireRow, error) {
	if len(r.Packed) == 0 {
		return r.Rows, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Packed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress rows: %w", err)
	}
	if len(data) > maxDecompressedBytes {
		return nil, fmt.Errorf("decompressed rows exceed %d bytes", maxDecompressedBytes)
	}
	var rows []wireRow
	if err := json.Unmarshal(data, &rows); err != nil {
		return nil, fmt.Errorf("decode rows: %w", err)
	}
	return rows, nil
}
