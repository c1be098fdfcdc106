package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// IncompleteError means that the connection broke while the request was written, so that the end of an answer without a length doesn't
// show that the answer is complete. It matches io.ErrUnexpectedEOF.
type IncompleteError struct {
	Cause error
}

// Error returns the message with the cause.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("the connection broke while the request was written: %v", e.Cause)
}

// Unwrap returns io.ErrUnexpectedEOF and the cause.
func (e *IncompleteError) Unwrap() []error {
	return []error{io.ErrUnexpectedEOF, e.Cause}
}

// delimitedBody reads a body that ends with its connection. The kernel reports a reset once, to whichever of the two goroutines calls it
// first: if that is the one that writes the request, reading ends like that of a complete answer.
type delimitedBody struct {
	body io.Reader
	conn net.Conn
	// success is set if the answer says that the request succeeded.
	success bool
	// written receives the outcome of writing the request.
	written <-chan error
	// end is the error of the last read, nil before it.
	end error
}

// Read reads from the body; it fails with an IncompleteError instead of io.EOF if the connection broke.
func (d *delimitedBody) Read(p []byte) (int, error) {
	if d.end != nil {
		return 0, d.end
	}
	n, err := d.body.Read(p)
	if errors.Is(err, io.EOF) {
		err = d.checkWritten()
	}
	d.end = err
	return n, err
}

// checkWritten returns io.EOF if the end of the connection is that of the answer. A target may fail a request without reading it whole
// (RFC 9112, section 9.5), but one that reports a success and then takes no more of the request has been cut off.
func (d *delimitedBody) checkWritten() error {
	if !d.success {
		// The rest of the request changes nothing; an error that the goroutine has met isn't replaced by the deadline.
		_ = d.conn.SetWriteDeadline(time.Unix(1, 0))
	}
	err := <-d.written
	// After an orderly end of the answer, writing fails with EPIPE.
	orderly := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE)
	if err == nil || !d.success && orderly {
		return io.EOF
	}
	return &IncompleteError{
		Cause: err,
	}
}
