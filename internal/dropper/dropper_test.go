package dropper

import (
	"bytes"
	"errors"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/timer"
)

type stalled struct{}

func (stalled) Write([]byte) (int, error) {
	select {}
}

type failing struct{}

func (failing) Write([]byte) (int, error) {
	return 0, errors.New("output closed")
}

// Guards against requests that block because the log output is stalled.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	d := New(stalled{}, timer.System{})
	go d.Run()
	began := time.Now()
	for range 3 * queueLines {
		_, _ = d.Write([]byte("line\n"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("Write blocked for %s", took)
	}
	if d.Dropped() == 0 {
		t.Error("no line was counted as dropped")
	}
	began = time.Now()
	d.Close(50 * time.Millisecond)
	if took := time.Since(began); took > time.Second {
		t.Errorf("Close blocked for %s", took)
	}
}

// Guards against an unlimited log rate under load, and against dropping lines without a warning in the log.
func TestVolumeIsBounded(t *testing.T) {
	clock := timer.NewManual(time.Unix(1_000, 0))
	var output bytes.Buffer
	d := New(&output, clock)
	go d.Run()
	for range maxLinesPerSecond + 500 {
		_, _ = d.Write([]byte("line\n"))
	}
	clock.Advance(time.Second)
	_, _ = d.Write([]byte("later\n"))
	d.Close(time.Hour)
	if d.Dropped() != 500 {
		t.Errorf("%d lines dropped", d.Dropped())
	}
	if reported := reportedDrops(t, output.String()); reported != 500 {
		t.Errorf("the log reports %d dropped lines", reported)
	}
	if !strings.HasSuffix(output.String(), "later\n") {
		t.Error("the last line is missing")
	}
}

// reportedDrops sums the dropped lines over all warnings: there may be several if lines are dropped while others are written.
func reportedDrops(t *testing.T, text string) int {
	t.Helper()
	sum := 0
	for _, match := range regexp.MustCompile(`"dropped":(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(match[1])
		if err != nil {
			t.Fatal(err)
		}
		sum += n
	}
	return sum
}

// Guards against write errors of the output that are not counted.
func TestFailingOutputIsCounted(t *testing.T) {
	d := New(failing{}, timer.System{})
	go d.Run()
	_, _ = d.Write([]byte("line\n"))
	d.Close(time.Second)
	if d.Dropped() != 1 {
		t.Errorf("%d lines counted", d.Dropped())
	}
}
