package headreader

import (
	"bufio"
	"fmt"
	"net/http"
)

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// StatusError means that the status of an answer is outside the range of HTTP, or switches to a protocol that no request asks for.
type StatusError struct {
	Status int
}

// Error returns the message with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %03d is none of an answer", e.Status)
}

// Read reads the head of an answer to a request of the given method, informational or final; an empty method means GET. It fails with a
// StatusError, with the reader's error, and with an error of net/http if the head is malformed.
func Read(reader *bufio.Reader, method string) (*http.Response, error) {
	request := &http.Request{
		Method: method,
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if s := response.StatusCode; s < http.StatusContinue || s > maxStatus || s == http.StatusSwitchingProtocols {
		return nil, &StatusError{
			Status: s,
		}
	}
	return response, nil
}
