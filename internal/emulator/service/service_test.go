package service

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"bergamothollow.example/bergamothollow/internal/emulator/runner"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

func send(t *testing.T, method, url, body string) (string, error) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k")
	// A reused connection would make net/http send a call with this header again when its answer is dropped.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against a run that is not counted because its answer was dropped.
func TestRunsAreCounted(t *testing.T) {
	server, err := runner.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	New(timer.System{}).Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, t.Output()) }()
	defer func() {
		cancel()
		<-done
	}()
	base := "http://" + server.Address()
	answer, err := send(t, http.MethodPost, base+"/v1/call/pay", "x")
	if want := `{"call":"pay","key":"k","run":1,"digest":"` + Digest([]byte("x")) + `"}`; err != nil || answer != want {
		t.Fatalf("got %q, %v, want %q", answer, err, want)
	}
	send(t, http.MethodPost, base+"/admin/faults", `{"drop_answers":1}`)
	if _, err = send(t, http.MethodPost, base+"/v1/call/pay", "x"); err == nil {
		t.Fatal("the dropped answer arrived")
	}
	runs, err := send(t, http.MethodGet, base+"/admin/runs", "")
	if want := `{"runs":{"k":2},"calls":{"pay":2}}`; err != nil || runs != want {
		t.Fatalf("got %q, %v, want %q", runs, err, want)
	}
}
