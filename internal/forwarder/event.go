package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream; the largest seen are some hundred bytes.
const maxEventBytes = 1 << 20

// ErrEventTooLong means that an event exceeds the bound.
var ErrEventTooLong = errors.New("an event of the stream is longer than 1 MiB")

// Event is one whole event of a stream.
type Event struct {
	// Raw holds the event's bytes with its blank line.
	Raw []byte
	// ID is empty if the event has none.
	ID string
}

// Events splits a stream into whole events.
type Events struct {
	reader *bufio.Reader
}

// NewEvents reads events from an answer's body.
func NewEvents(body io.Reader) *Events {
	return &Events{
		reader: bufio.NewReaderSize(body, readBuffer),
	}
}

// Next returns the next event, io.EOF after the last, or io.ErrUnexpectedEOF if the stream ends within an event.
func (e *Events) Next() (Event, error) {
	var event Event
	for {
		line, err := e.reader.ReadSlice('\n')
		event.Raw = append(event.Raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event.Raw) < maxEventBytes {
			continue
		}
		if errors.Is(err, io.EOF) && len(event.Raw) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 && len(event.Raw) > len(line) {
			return event, nil
		}
		if id, found := bytes.CutPrefix(trimmed, []byte("id:")); found {
			event.ID = string(bytes.TrimSpace(id))
		}
		if len(event.Raw) > maxEventBytes {
			return Event{}, ErrEventTooLong
		}
	}
}
