package bundle

import (
	"bytes"
	"testing"
)

// Guards against a crash on arbitrary input, and against a bundle whose encoding
// changes when it is stored and read again. The seeds are in testdata/fuzz.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := Decode(raw)
		if err != nil {
			return
		}
		_ = Diff(Bundle{}, b)
		if Check(b) != nil {
			return
		}
		first, err := Encode(b)
		if err != nil {
			t.Fatalf("a checked bundle does not encode: %v", err)
		}
		again, err := Decode(first)
		if err != nil {
			t.Fatalf("the canonical encoding does not decode: %v", err)
		}
		if err := Check(again); err != nil {
			t.Fatalf("the canonical encoding fails the check: %v", err)
		}
		second, err := Encode(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("the canonical encoding is not stable: %v", err)
		}
		if changes := Diff(b, again); len(changes) > 0 {
			t.Fatalf("the bundle changed in its canonical encoding: %v", changes)
		}
	})
}

// Guards against a crash on arbitrary pushed input, and against the adoption of a
// bundle that the watcher's operators did not sign. No seed has their signatures.
func FuzzOffer(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw []byte) {
		w := NewWatcher(WatcherConfig{Bootstrap: operatorsOf("judy", "kim")})
		if adopted, _ := w.Offer(raw); adopted {
			t.Fatal("an unsigned bundle was adopted")
		}
		if w.Current() != nil {
			t.Fatal("a refused bundle is in force")
		}
	})
}
