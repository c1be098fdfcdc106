package forwarder

import (
	"errors"
	"strings"
	"testing"
)

// answerHead is the beginning of an answer's head.
const answerHead = "HTTP/1.1 200 OK\r\nReceipt: receipt\r\nContent-Type: text/plain\r\n"

// Guards against an answer from a head of which only a part arrived: its caller would get a success with an empty or short body, framed
// as whole.
func TestHeadCutOff(t *testing.T) {
	for name, head := range map[string]string{
		"with a length":          answerHead + "Content-Length: 12\r\n\r\n",
		"with chunks":            answerHead + "Transfer-Encoding: chunked\r\n\r\n",
		"without framing":        answerHead + "Connection: close\r\n\r\n",
		"after another head":     "HTTP/1.1 100 Continue\r\n\r\n" + answerHead + "Content-Length: 12\r\n\r\n",
		"lines without a return": strings.ReplaceAll(answerHead, "\r", "") + "Content-Length: 12\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(head) {
				_, err := send(t, target(t, head[:cut], false), "body")
				var failed *SendError
				if !errors.As(err, &failed) || !failed.Sent {
					t.Errorf("cut after %q: got %v, want a SendError that doesn't deny the run", head[:cut], err)
				}
			}
		})
	}
}
