package headreader

import (
	"bufio"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// Guards against an answer whose status is none that is read as an informational or a final one.
func TestStatus(t *testing.T) {
	for status, want := range map[string]bool{
		"100": true, "103": true, "200": true, "299": true, "304": true, "404": true, "599": true,
		"000": false, "-00": false, "+20": false, "099": false, "101": false, "600": false, "999": false,
	} {
		t.Run(status, func(t *testing.T) {
			head := fmt.Sprintf("HTTP/1.1 %s Text\r\nContent-Length: 0\r\n\r\n", status)
			_, err := Read(bufio.NewReader(strings.NewReader(head)), "POST") //nolint:bodyclose // there is none
			var invalid *StatusError
			if want != (err == nil) || err != nil && !errors.As(err, &invalid) {
				t.Errorf("got %v, want an answer: %t", err, want)
			}
		})
	}
}
