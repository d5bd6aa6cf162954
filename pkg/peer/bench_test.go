package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/pkg/home"
)

// BenchmarkReserve measures one reservation at a home over loopback, with 4
// concurrent callers per processor.
func BenchmarkReserve(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go NewServer(ServerOptions{Authority: &fakeAuthority{}}).Serve(ctx, l)
	c := NewClient(l.Addr().String(), Options{Timeout: 10 * time.Second})
	defer c.Close()
	req := home.ReserveRequest{Customer: "customer-1", Budget: "budget-1", Request: "0123456789abcdef", Attempt: 1, Bound: 1000, Target: "t", Entry: "d1"}
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := c.Reserve(ctx, req); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
