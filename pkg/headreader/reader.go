package headreader

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
)

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// StatusError means that the status of an answer is outside the range of HTTP, or switches to a protocol that no request asks for.
type StatusError struct {
	Status int
}

// Error returns the message with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("invalid status %03d", e.Status)
}

// FieldNameError means that a field name contains a blank.
type FieldNameError struct {
	Name string
}

// Error returns the message with the name.
func (e *FieldNameError) Error() string {
	return fmt.Sprintf("the field name %q contains a blank", e.Name)
}

// Read reads the head of an answer to a request of the given method, informational or final; an empty method means GET. It fails with a
// StatusError, a FieldNameError, a FoldedLineError, the reader's error, and an error of net/http if the head is malformed. After an
// informational head, the next one can be read from the same reader.
func Read(reader *bufio.Reader, method string) (*http.Response, error) {
	request := &http.Request{
		Method: method,
	}
	lines := &lineReader{
		reader: reader,
	}
	response, err := http.ReadResponse(bufio.NewReader(lines), request)
	if err != nil {
		return nil, err
	}
	if s := response.StatusCode; s < http.StatusContinue || s > maxStatus || s == http.StatusSwitchingProtocols {
		return nil, &StatusError{
			Status: s,
		}
	}
	for name := range response.Header {
		// net/http rejects all other invalid bytes. A recipient that drops the blank may frame the body by this field.
		if strings.Contains(name, " ") {
			return nil, &FieldNameError{
				Name: name,
			}
		}
	}
	return response, nil
}

// Delimited reports whether the body after a head ends with its connection, since it has neither a length nor chunks.
func Delimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}
