package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream; the targets' events have up to a few hundred bytes.
const maxEventBytes = 1 << 20

// ErrEventTooLong means that an event exceeds 1 MiB.
var ErrEventTooLong = errors.New("an event of the stream is longer than 1 MiB")

// Event is a complete server-sent event.
type Event struct {
	// Raw holds the event's bytes, including the blank line at its end.
	Raw []byte
	// ID is empty if the event has none.
	ID string
}

// Events splits a stream of server-sent events.
type Events struct {
	reader *bufio.Reader
}

// NewEvents returns a reader of the events in an answer's body.
func NewEvents(body io.Reader) *Events {
	return &Events{
		reader: bufio.NewReaderSize(body, readBuffer),
	}
}

// Next returns the next event. It fails with io.EOF after the last, io.ErrUnexpectedEOF if the stream ends within an event, and
// ErrEventTooLong.
func (e *Events) Next() (Event, error) {
	var event Event
	for {
		line, err := e.reader.ReadSlice('\n')
		event.Raw = append(event.Raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(event.Raw) < maxEventBytes {
				continue
			}
			return Event{}, ErrEventTooLong
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
