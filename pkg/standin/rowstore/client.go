package rowstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Faults are the failures injected into the calls of one client.
type Faults struct {
	Cut         bool          // calls block until their context is done, then fail
	Refuse      bool          // calls fail with storage.ErrNotApplied and have no effect
	Throttle    bool          // calls fail with storage.ErrThrottled and have no effect
	CutTable    string        // reads of this table block until their context is done, then fail
	RefusedPart string        // calls to this part fail with storage.ErrNotApplied and have no effect
	LoseReplies bool          // transactions are applied, but their calls fail with storage.ErrUnavailable
	ApplyLate   time.Duration // with LoseReplies: delay until a transaction is applied, after its call has failed
	Delay       time.Duration // delay before the store handles a call
}

// cuts reports whether a read of a table blocks.
func (f Faults) cuts(table string) bool { return f.Cut || (f.CutTable != "" && f.CutTable == table) }

// Client is the connection of one host to a store. It is safe for concurrent use.
type Client struct {
	store  *Store
	mu     sync.Mutex
	faults Faults
	view   func(storage.PartRow) storage.PartRow // what this host reads in place of a row; nil: the row
}

// SetView sets a function that returns what this host reads in place of a row.
func (c *Client) SetView(view func(storage.PartRow) storage.PartRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = view
}

// seen returns a page as this host reads it.
func (c *Client) seen(page storage.RowPage) storage.RowPage {
	c.mu.Lock()
	view := c.view
	c.mu.Unlock()
	if view == nil {
		return page
	}
	rows := make([]storage.PartRow, 0, len(page.Rows))
	for _, row := range page.Rows {
		rows = append(rows, view(row))
	}
	page.Rows = rows
	return page
}

var _ storage.Rows = (*Client)(nil)

// Client returns a client of the store without faults.
func (s *Store) Client() *Client { return &Client{store: s} }

// SetFaults replaces the faults.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// injectFaults applies the faults that take effect before a call reaches the store.
// It returns the faults set at the start of the call.
func (c *Client) injectFaults(ctx context.Context, table, part string) (Faults, error) {
	c.mu.Lock()
	f := c.faults
	c.mu.Unlock()
	if f.Throttle {
		return f, storage.ErrThrottled
	}
	if f.Refuse || (f.RefusedPart != "" && f.RefusedPart == part) {
		return f, fmt.Errorf("refused: %w", storage.ErrNotApplied)
	}
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
		}
	}
	if f.cuts(table) {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return f, fmt.Errorf("%w: %w", storage.ErrUnavailable, ctx.Err())
	}
	return f, nil
}

// awaitReply blocks until ctx is done, then fails, if the connection was cut while the store
// handled a read.
func (c *Client) awaitReply(ctx context.Context, table string) error {
	c.mu.Lock()
	f := c.faults
	c.mu.Unlock()
	if !f.cuts(table) {
		return nil
	}
	<-ctx.Done()
	return fmt.Errorf("%w: %w", storage.ErrUnavailable, ctx.Err())
}

// Transact implements storage.Rows.
func (c *Client) Transact(ctx context.Context, txn storage.RowTxn) (storage.RowOutcome, error) {
	f, err := c.injectFaults(ctx, "", partOf(txn))
	if err != nil {
		return storage.RowOutcome{}, err
	}
	if err := c.store.limiter.admit(ctx, partOf(txn)); err != nil {
		return storage.RowOutcome{}, err
	}
	if !f.LoseReplies {
		return c.store.apply(txn), nil
	}
	if f.ApplyLate > 0 {
		time.AfterFunc(f.ApplyLate, func() { c.store.apply(txn) })
	} else {
		c.store.apply(txn)
	}
	return storage.RowOutcome{}, fmt.Errorf("%w: reply lost", storage.ErrUnavailable)
}

// partOf returns the part of a transaction that writes rows, which is the same for all
// its rows. It returns "" if the transaction writes none.
func partOf(txn storage.RowTxn) string {
	for _, p := range txn.Puts {
		return p.Part
	}
	for _, k := range txn.Removes {
		return k.Part
	}
	return ""
}

// Range implements storage.Rows.
func (c *Client) Range(ctx context.Context, table, part, from string) (storage.RowPage, error) {
	if _, err := c.injectFaults(ctx, table, part); err != nil {
		return storage.RowPage{}, err
	}
	return c.seen(c.store.scan(table, part, from)), nil
}

// Parts implements storage.Rows.
func (c *Client) Parts(ctx context.Context, table string) ([]string, error) {
	if _, err := c.injectFaults(ctx, table, ""); err != nil {
		return nil, err
	}
	return c.store.parts(table), nil
}

// Feed implements storage.Rows.
func (c *Client) Feed(ctx context.Context, table string, since storage.Version, wait time.Duration) (storage.RowPage, error) {
	if _, err := c.injectFaults(ctx, table, ""); err != nil {
		return storage.RowPage{}, err
	}
	page, err := c.store.feed(ctx, table, since, wait)
	if err != nil {
		return page, err
	}
	return c.seen(page), c.awaitReply(ctx, table)
}
