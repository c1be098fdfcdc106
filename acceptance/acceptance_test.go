package acceptance

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bergamothollow.example/bergamothollow/internal/emulator/engine"
	"bergamothollow.example/bergamothollow/internal/emulator/platform"
	"bergamothollow.example/bergamothollow/internal/emulator/service"
	"bergamothollow.example/bergamothollow/internal/loader"
)

const (
	// waitTimeout is how long a program may take to start.
	waitTimeout = 10 * time.Second
	waitPause   = 20 * time.Millisecond
	httpTimeout = 30 * time.Second
)

// program runs with command line arguments and returns an exit code.
type program func(ctx context.Context, arguments []string, stdout, stderr io.Writer) int

func main(p program) func() {
	return func() {
		os.Exit(p(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
	}
}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"emulator-platform": main(platform.Run),
		"emulator-engine":   main(engine.Run),
		"emulator-service":  main(service.Run),
		"loader":            main(loader.Run),
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports":    ports,
			"waithttp": waitHTTP,
			"http":     sendHTTP,
		},
		RequireExplicitExec: true,
	})
}

// ports sets each variable to a free loopback address: ports VARIABLE...
func ports(ts *testscript.TestScript, neg bool, names []string) {
	if neg || len(names) == 0 {
		ts.Fatalf("usage: ports VARIABLE...")
	}
	for _, name := range names {
		// The listeners stay open until all are found, so that no port is given twice.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		defer func() { _ = l.Close() }()
		ts.Setenv(name, l.Addr().String())
	}
}

// waitHTTP waits until a URL answers with status 200, or with ! until nothing answers any more: waithttp URL
func waitHTTP(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: [!] waithttp URL")
	}
	client := http.Client{
		Timeout: time.Second,
	}
	defer client.CloseIdleConnections()
	last := "no attempt"
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(waitPause) {
		resp, err := client.Get(args[0])
		if err != nil {
			if neg {
				return
			}
			last = err.Error()
			continue
		}
		last = resp.Status
		_ = resp.Body.Close()
		if !neg && resp.StatusCode == http.StatusOK {
			return
		}
	}
	ts.Fatalf("waithttp %s: %s after %v", args[0], last, waitTimeout)
}

// sendHTTP sends a request and writes the response's status line and body to stdout; with ! no response may arrive:
// http METHOD URL ['Header: value'...] [body]
func sendHTTP(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: [!] http METHOD URL ['Header: value'...] [body]")
	}
	headers, body := args[2:], ""
	if n := len(headers); n > 0 && !isHeader(headers[n-1]) {
		headers, body = headers[:n-1], headers[n-1]
	}
	req, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		req.Header.Set(name, value)
	}
	// A reused connection would let net/http send some requests again when no response arrives.
	req.Close = true
	client := http.Client{
		Timeout: httpTimeout,
	}
	resp, err := client.Do(req)
	if neg {
		if err == nil {
			_ = resp.Body.Close()
			ts.Fatalf("http %s %s: got %s, want no response", args[0], args[1], resp.Status)
		}
		return
	}
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	_, err = fmt.Fprintf(ts.Stdout(), "status %d\n", resp.StatusCode)
	ts.Check(err)
	_, err = io.Copy(ts.Stdout(), resp.Body)
	ts.Check(err)
}

// isHeader reports whether an argument of http is a header and not the body.
func isHeader(argument string) bool {
	name, _, ok := strings.Cut(argument, ": ")
	return ok && !strings.ContainsAny(name, "{}[]\" ")
}
