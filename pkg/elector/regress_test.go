package elector_test

import (
	"testing"
	"time"
)

// Guards against capacity that is exceeded when one instance is cut off from its peers for a moment: a search found it in an
// earlier version, with 102,369 of 100,000 tokens.
func TestShortPartition(t *testing.T) {
	w := newWorld(0x23312, []fault{
		{
			Kind:   faultCutPeers,
			At:     10750 * time.Millisecond,
			Length: 250 * time.Millisecond,
			Who:    5,
		},
	}, without{}, 4)
	if err := w.run(); err != nil {
		t.Fatal(err)
	}
}
