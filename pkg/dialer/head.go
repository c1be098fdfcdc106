package dialer

import (
	"bufio"
	"bytes"
	"net/http"

	"bergamothollow.example/bergamothollow/pkg/headreader"
)

// head is the head of an answer; the library reads one informational head before the final one at most.
type head struct {
	// status is 0 until the whole head has arrived and is valid.
	status int
	// delimited is set if the body after it ends with its connection.
	delimited bool
	// consumed is set once the library has read the final head.
	consumed bool
	// continued is set after an informational head.
	continued bool
}

// parse parses the head if all of it has arrived; it fails if the head is invalid.
func (h *head) parse(arrived []byte) error {
	if !bytes.Contains(arrived, []byte("\n\r\n")) && !bytes.Contains(arrived, []byte("\n\n")) {
		return nil
	}
	response, err := headreader.Read(bufio.NewReader(bytes.NewReader(arrived)), http.MethodGet) //nolint:bodyclose // only the head is read
	if err != nil {
		return err
	}
	if final := response.StatusCode >= http.StatusOK; !final && (h.continued || response.StatusCode != http.StatusContinue) {
		// The library would take it for the final answer.
		return &headreader.StatusError{
			Status: response.StatusCode,
		}
	}
	h.status = response.StatusCode
	h.delimited = headreader.Delimited(response)
	return nil
}

// consume records that the library has read the head.
func (h *head) consume() {
	if h.consumed || h.status == 0 {
		return
	}
	if h.status == http.StatusContinue {
		*h = head{
			continued: true,
		}
		return
	}
	h.consumed = true
}
