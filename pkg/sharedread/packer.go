package sharedread

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"sync"
)

// packer compresses the rows of answers, one answer at a time: a compressor takes 1.2 MB, and a
// reader with little memory answers up to followersPerReader hosts at once.
type packer struct {
	mu     sync.Mutex
	writer *flate.Writer // nil: not needed yet
}

// compressor is shared by all tables.
var compressor packer

func (p *packer) pack(rows []wireRow) ([]byte, error) {
	data, err := json.Marshal(rows)
	if err != nil {
		return nil, fmt.Errorf("encode rows: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var packed bytes.Buffer
	if p.writer == nil {
		if p.writer, err = flate.NewWriter(&packed, flate.BestSpeed); err != nil {
			return nil, fmt.Errorf("compress rows: %w", err)
		}
	}
	p.writer.Reset(&packed) // also after an error
	if _, err := p.writer.Write(data); err != nil {
		return nil, fmt.Errorf("compress rows: %w", err)
	}
	if err := p.writer.Close(); err != nil {
		return nil, fmt.Errorf("compress rows: %w", err)
	}
	return packed.Bytes(), nil
}
