package forwarder

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against answers that together take more memory than the process has, against memory that isn't given back, and against short
// answers that fail because of long ones.
func TestMemoryIsShared(t *testing.T) {
	const shared = 1 << 20
	memory := NewMemory(shared)
	long, second, short := memory.NewBuffer(), memory.NewBuffer(), memory.NewBuffer()
	if err := long.ReadAll(strings.NewReader(strings.Repeat("x", shared/2)), shared); err != nil {
		t.Fatal(err)
	}
	if err := second.ReadAll(endless{}, 8*shared); !errors.Is(err, ErrNoMemory) {
		t.Errorf("got %v, want ErrNoMemory", err)
	}
	if err := short.ReadAll(strings.NewReader(strings.Repeat("x", uncountedBytes/2)), shared); err != nil {
		t.Errorf("a short answer got %v", err)
	}
	for _, b := range []*Buffer{long, second, short} {
		b.Release()
	}
	if free := memory.Free(); free != shared {
		t.Errorf("%d bytes of %d are free after all have been released", free, shared)
	}
}

// Guards against an answer that is cut at the limit and looks complete.
func TestReadAllFails(t *testing.T) {
	for _, c := range []struct {
		name   string
		reader io.Reader
		want   error
	}{
		{name: "at the limit", reader: strings.NewReader("12345678")},
		{name: "beyond the limit", reader: strings.NewReader("123456789"), want: ErrAnswerTooLong},
		{name: "broken off", reader: io.MultiReader(strings.NewReader("1"), brokenOff{}), want: io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewMemory(0).NewBuffer()
			if err := b.ReadAll(c.reader, 8); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// endless is a reader without an end.
type endless struct{}

// Read fills the buffer.
func (endless) Read(p []byte) (int, error) {
	return len(p), nil
}

// brokenOff is the end of an incomplete answer.
type brokenOff struct{}

// Read fails with io.ErrUnexpectedEOF.
func (brokenOff) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}
