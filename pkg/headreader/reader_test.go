package headreader

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"bergamothollow.example/bergamothollow/internal/emulator/breaker"
)

// Guards against an invalid status that is read as an informational or a final one.
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

// Guards against invalid field names: recipients that read them in different ways frame the body differently.
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

// Guards against bytes after a head that are lost or changed, and against lines longer than the reader's buffer that are refused or split.
func TestReadKeepsWhatFollows(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	text := "HTTP/1.1 103 Early Hints\r\nLong: " + long + "\r\n\r\nHTTP/1.1 200 OK\nLong: " + long + " y\n\n \n\n body"
	for _, size := range []int{16, 4 << 10, 64 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			reader := bufio.NewReaderSize(strings.NewReader(text), size)
			early, err := Read(reader, "POST") //nolint:bodyclose // there is none
			if err != nil || early.Header.Get("Long") != long {
				t.Fatalf("the informational head: %v", err)
			}
			final, err := Read(reader, "POST")
			if err != nil || final.Header.Get("Long") != long+" y" {
				t.Fatalf("the final head: %v", err)
			}
			defer func() { _ = final.Body.Close() }()
			if body, err := io.ReadAll(final.Body); err != nil || string(body) != " \n\n body" {
				t.Errorf("got body %q, %v", body, err)
			}
		})
	}
}
