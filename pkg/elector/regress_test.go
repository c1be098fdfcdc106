package elector_test

import (
	"testing"
	"time"
)

// Guards against allocation beyond capacity when one instance is cut off from its peers for a single step. An earlier
// version allocated 102,369 of 100,000 tokens under this schedule.
func TestShortPartition(t *testing.T) {
	s := newSimulation(0x23312, []fault{
		{
			Kind:   faultCutPeers,
			At:     10750 * time.Millisecond,
			Length: 250 * time.Millisecond,
			Who:    5,
		},
	}, disabled{}, 4)
	if err := s.run(); err != nil {
		t.Fatal(err)
	}
}
