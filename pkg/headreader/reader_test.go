package headreader

import (
	"bufio"
	"errors"
	"fmt"
	"strings"
	"testing"

	"bergamothollow.example/bergamothollow/internal/emulator/breaker"
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

// Guards against a field whose name is none: a recipient that reads it in another way takes another framing.
func TestFieldName(t *testing.T) {
	for what, line := range breaker.FieldLines() {
		t.Run(what, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nDate: today\r\n" + line + "\r\n\r\n"
			if _, err := Read(bufio.NewReader(strings.NewReader(head)), "POST"); err == nil { //nolint:bodyclose // there is none
				t.Error("the head was read")
			}
		})
	}
}
