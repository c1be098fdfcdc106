package forwarder

import (
	"net/textproto"
	"strings"
)

// HeaderNames are the names that callers and targets give the headers that the product reads or sets.
type HeaderNames struct {
	RequestID string
	// Remaining is how many milliseconds the sender will wait.
	Remaining string
	// Key is the caller's secret; Customer names its owner to the target.
	Key      string
	Customer string
	// Tokens holds the prompt's tokens and the most output tokens, separated by a comma.
	Tokens string
	// LengthHint is the caller's estimate of the output tokens.
	LengthHint       string
	LastEvent        string
	ExpectedInstance string
	Priority         string
	// Helpers lists the targets that read parts of a prompt.
	Helpers string
	// Receipt marks an answer as the target's own.
	Receipt string
	// NotRun marks an answer of a target that did not run the request.
	NotRun string
	// FaultyTarget names the target at which a request on several of them failed.
	FaultyTarget string
	RetryAfter   string
}

// Field is one line of a header.
type Field struct {
	Name  string
	Value string
}

// connectionHeaders concern one connection only.
var connectionHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
}

// EndToEnd reports whether a header is forwarded; named lists the names in the message's own Connection header.
func EndToEnd(name, named string) bool {
	canonical := textproto.CanonicalMIMEHeaderKey(name)
	if connectionHeaders[canonical] {
		return false
	}
	for _, n := range strings.Split(named, ",") {
		if strings.EqualFold(strings.TrimSpace(n), name) {
			return false
		}
	}
	return true
}
