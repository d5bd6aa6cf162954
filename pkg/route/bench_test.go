package route

import (
	"fmt"
	"testing"

	"github.com/peppertrail/peppertrail/pkg/target"
)

// BenchmarkPick measures one choice from 600 targets in 12 services, the size
// that the fleet is designed for.
func BenchmarkPick(b *testing.B) {
	const targets, serviceCount = 600, 12
	var view []target.Status
	for i := range targets {
		s := readyTarget(fmt.Sprintf("t%03d", i), i%8, 0)
		s.Target.Service = fmt.Sprintf("service-%d", i%serviceCount)
		view = append(view, s)
	}
	p := NewPicker(seededSettings())
	for _, prefix := range []string{"", "menu"} {
		b.Run("prefix="+prefix, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := p.Pick(Request{Service: "service-3", Prefix: prefix, Priority: 9}, view, now); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}
