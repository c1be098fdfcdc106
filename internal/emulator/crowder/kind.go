package crowder

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	fewCallers  = 100
	manyCallers = 400
	// endless is how many bytes a caller sends whose request has no end.
	endless = 8 << 20
	// shortBytes is by how much a body stops short of its end.
	shortBytes = 1 << 10
	// tinyBytes is the length of a body in chunks of one byte.
	tinyBytes = 160 << 10
	// dripPause is the time between two pieces of a caller that sends slowly.
	dripPause = time.Millisecond
)

// Limits are the largest header and body that the callers' server accepts, in bytes.
type Limits struct {
	Header int
	Body   int
}

// Kind is a kind of callers that send what they shouldn't, and then keep their connection open.
type Kind struct {
	Name string
	// Callers is how many there are in a small crowd.
	Callers int
	// deaf callers don't read what they get.
	deaf bool
	// send sends all that a caller of this kind sends; it stops with the first error. Head is the beginning of a sound request.
	send func(w io.Writer, head string, limits Limits) error
}

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{
		{
			Name:    "heads over the limit",
			Callers: fewCallers,
			send: func(w io.Writer, head string, limits Limits) error {
				return write(w, head+"Long: "+strings.Repeat("x", 4*limits.Header))
			},
		},
		{
			Name:    "heads without end",
			Callers: fewCallers,
			send: func(w io.Writer, head string, _ Limits) error {
				return repeat(w, head, "Name: "+strings.Repeat("x", 1000)+"\r\n", endless)
			},
		},
		{
			Name:    "heads in small pieces",
			Callers: fewCallers,
			send: func(w io.Writer, head string, limits Limits) error {
				return drip(w, head, strings.Repeat("x", 10)+": y\r\n", limits.Header)
			},
		},
		{
			Name:    "empty lines",
			Callers: fewCallers,
			send: func(w io.Writer, _ string, _ Limits) error {
				return repeat(w, "", strings.Repeat("\r\n", 512), endless)
			},
		},
		{
			Name:    "large chunks",
			Callers: fewCallers,
			send: func(w io.Writer, head string, limits Limits) error {
				return write(w, fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, limits.Body,
					strings.Repeat("x", limits.Body-shortBytes)))
			},
		},
		{
			Name:    "tiny chunks",
			Callers: fewCallers,
			send: func(w io.Writer, head string, _ Limits) error {
				return repeat(w, head+"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1024), tinyBytes*len("1\r\nx\r\n"))
			},
		},
		{
			Name:    "bodies announced too large",
			Callers: fewCallers,
			send: func(w io.Writer, head string, limits Limits) error {
				return repeat(w, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, 15*limits.Body), strings.Repeat("x", 64<<10), endless)
			},
		},
		{
			Name:    "bodies just sent too large",
			Callers: fewCallers,
			send: func(w io.Writer, head string, _ Limits) error {
				return repeat(w, head+"Transfer-Encoding: chunked\r\n\r\n", "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n", endless)
			},
		},
		{
			Name:    "slow bodies",
			Callers: fewCallers,
			send: func(w io.Writer, head string, limits Limits) error {
				most := limits.Body * 9 / 10
				return drip(w, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, limits.Body, strings.Repeat("x", most)), "x", shortBytes)
			},
		},
		{
			Name:    "idle connections",
			Callers: manyCallers,
			send: func(io.Writer, string, Limits) error {
				return nil
			},
		},
	}
}

// OtherKinds returns kinds that aren't in the crowds of every test run.
func OtherKinds() []Kind {
	chunks := func(part string) func(io.Writer, string, Limits) error {
		return func(w io.Writer, head string, _ Limits) error {
			return repeat(w, head+"Transfer-Encoding: chunked\r\n\r\n1", strings.Repeat(part, 1024), endless)
		}
	}
	return []Kind{
		{
			Name:    "pipelined requests without reading",
			Callers: fewCallers,
			deaf:    true,
			send: func(w io.Writer, head string, _ Limits) error {
				return repeat(w, "", strings.Repeat(head+"Content-Length: 3\r\n\r\nabc", 10), endless)
			},
		},
		{
			Name:    "chunk lines without end",
			Callers: fewCallers,
			send:    chunks(" "),
		},
		{
			Name:    "chunk extensions without end",
			Callers: fewCallers,
			send:    chunks(";a=b"),
		},
		{
			Name:    "trailers without end",
			Callers: fewCallers,
			send: func(w io.Writer, head string, _ Limits) error {
				return repeat(w, head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("Name: x\r\n", 1024), endless)
			},
		},
		{
			Name:    "trailers in small pieces",
			Callers: fewCallers,
			send: func(w io.Writer, head string, limits Limits) error {
				return drip(w, head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: x\r\n", limits.Header)
			},
		},
		{
			Name:    "bodies that are asked for and don't come",
			Callers: fewCallers,
			send: func(w io.Writer, head string, limits Limits) error {
				return write(w, fmt.Sprintf("%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", head, limits.Body))
			},
		},
		{
			Name:    "bytes after a request without a body",
			Callers: fewCallers,
			send: func(w io.Writer, head string, _ Limits) error {
				return repeat(w, head+"\r\n", strings.Repeat("x", 64<<10), endless)
			},
		},
	}
}

// PeerKinds returns the kinds of strangers at a listener for peers, which expects JSON-RPC messages with their length in front.
func PeerKinds() []Kind {
	return []Kind{
		{
			Name:    "messages without end",
			Callers: fewCallers,
			send: func(w io.Writer, _ string, limits Limits) error {
				beginning := string(binary.AppendUvarint(nil, uint64(15*limits.Body))) + `{"method":"join","params":"`
				return repeat(w, beginning, strings.Repeat("x", 64<<10), 2*limits.Body)
			},
		},
		{
			Name:    "many messages",
			Callers: fewCallers,
			send: func(w io.Writer, _ string, _ Limits) error {
				const message = `{"jsonrpc":"2.0","method":"ping","params":{"a":[1,2,3]}}`
				part := strings.Repeat(string(binary.AppendUvarint(nil, uint64(len(message))))+message, 100)
				return repeat(w, "", part, endless)
			},
		},
	}
}

func write(w io.Writer, text string) error {
	_, err := io.WriteString(w, text)
	return err
}

// repeat sends a beginning and then repeats a part until it has sent the given number of bytes of it.
func repeat(w io.Writer, beginning, part string, bytes int) error {
	err := write(w, beginning)
	for sent := 0; sent < bytes && err == nil; sent += len(part) {
		err = write(w, part)
	}
	return err
}

// drip does the same as repeat, with a pause before each part.
func drip(w io.Writer, beginning, part string, bytes int) error {
	err := write(w, beginning)
	for sent := 0; sent < bytes && err == nil; sent += len(part) {
		time.Sleep(dripPause)
		err = write(w, part)
	}
	return err
}
