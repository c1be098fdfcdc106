package elector_test

import (
	"testing"
	"time"
)

// Guards against a capacity that is exceeded in a schedule that a search has found.
func TestFoundSchedules(t *testing.T) {
	w := newWorld(0x23312, []fault{{Kind: faultCutPeers, At: 10750 * time.Millisecond, Length: 250 * time.Millisecond, Who: 5}}, without{}, 4)
	if err := w.run(); err != nil {
		t.Fatal(err)
	}
}
