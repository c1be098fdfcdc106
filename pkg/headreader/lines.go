package headreader

import (
	"bufio"
	"errors"
)

// FoldedLineError means that a line of the head begins with a blank: the field name does, or the line continues the one before, which a
// gateway may reject with 502 (RFC 9112, section 5.2).
type FoldedLineError struct{}

// Error returns the message.
func (e *FoldedLineError) Error() string {
	return "a line of the head begins with a blank"
}

// lineReader reads a head line by line, and then the bytes after it unchanged. It fails with a FoldedLineError.
type lineReader struct {
	reader *bufio.Reader
	// rest is the unread part of the current line.
	rest []byte
	// within is set if the current line continues after rest.
	within bool
	// ended is set after the empty line that ends the head.
	ended bool
	// err is the error after rest. Every later read returns it, since net/http ignores an error while it looks for a continuation line.
	err error
}

// Read reads from one line of the head, or from the bytes after the head.
func (l *lineReader) Read(p []byte) (int, error) {
	if len(l.rest) == 0 {
		if l.ended {
			return l.reader.Read(p)
		}
		l.next()
	}
	if len(l.rest) == 0 {
		return 0, l.err
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

// next reads the next line, or as much of it as the reader's buffer holds.
func (l *lineReader) next() {
	if l.err != nil {
		return
	}
	line, err := l.reader.ReadSlice('\n')
	if !l.within && len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		l.err = &FoldedLineError{}
		return
	}
	l.ended = !l.within && (string(line) == "\n" || string(line) == "\r\n")
	l.within = err != nil
	l.rest = line
	if !errors.Is(err, bufio.ErrBufferFull) {
		l.err = err
	}
}
