package forwarder

import (
	"net/textproto"
	"strings"
)

// HeaderNames are the platform's names for the HTTP headers that the product reads or sets.
type HeaderNames struct {
	RequestID string
	// RemainingMilliseconds holds how much longer the sender will wait.
	RemainingMilliseconds string
	// Key holds the caller's API key; Customer tells the target which customer owns it.
	Key      string
	Customer string
	// Tokens holds the number of prompt tokens and the limit of output tokens, separated by a comma.
	Tokens string
	// Parts lists the parts of the prompt in order, each as ID:TOKENS, separated by commas.
	Parts string
	// LengthHint holds the caller's estimate of the output tokens.
	LengthHint string
	// LastEventID holds the ID of the last event that was received; the stream resumes after it.
	LastEventID string
	// ExpectedTarget names the target that a request is meant for; any other target rejects it.
	ExpectedTarget string
	// Priority is reserved for the system; it is removed from callers' requests.
	Priority string
	// Helpers lists the targets that prefill parts of a prompt.
	Helpers string
	// Receipt holds the signature with which a target marks an answer as its own.
	Receipt string
	// NotRun is set by a target that rejected the request without running it.
	NotRun string
	// FaultyTarget names the target that made a request to several targets fail.
	FaultyTarget string
	RetryAfter   string
	// Leaving is set by a target that wants no new requests.
	Leaving string
}

// Field is a header field.
type Field struct {
	Name  string
	Value string
}

// connectionHeaders are the headers that are not forwarded: the hop-by-hop ones, and Content-Length and Expect, which also apply
// to a single connection.
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

// EndToEnd reports whether a header is forwarded; connection is the value of the message's Connection header, and the headers that
// it names are not forwarded either.
func EndToEnd(name, connection string) bool {
	canonical := textproto.CanonicalMIMEHeaderKey(name)
	if connectionHeaders[canonical] {
		return false
	}
	for _, n := range strings.Split(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(n), name) {
			return false
		}
	}
	return true
}
