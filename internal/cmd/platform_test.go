package registrar

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"bergamothollow.example/bergamothollow/internal/emulator/platform"
	"bergamothollow.example/bergamothollow/internal/emulator/runner"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

// startPlatform serves the platform emulator and writes its address to the settings of the operator ana.
func startPlatform(t *testing.T, fx *fixture) *platform.Platform {
	t.Helper()
	server, err := runner.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := platform.New(platform.Options{
		WritesPerSecond: 300,
		ReadsPerSecond:  2000,
		Clock:           timer.System{},
	})
	p.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, t.Output()) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	fx.write(t, "ana.yaml", "operator: ana\nplatform:\n  address: "+server.Address()+"\n")
	return p
}

// Guards against commands that work with the store in memory but not over the platform's HTTP API.
func TestOverHTTP(t *testing.T) {
	tests := []struct {
		name    string
		faults  platform.Faults
		code    int
		wantErr string
	}{
		{"platform up", platform.Faults{}, int(factory.ExitSuccess), "target engine-1 out: done"},
		{"response lost", platform.Faults{LoseAnswers: 1}, int(factory.ExitSuccess), "target engine-1 out: done"},
		{"platform down", platform.Faults{Down: true}, int(factory.ExitUnavailable), "the failed call changed nothing"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fx := newFixture(t)
			p := startPlatform(t, fx)
			shouldExit(fx.runHTTP("target add --file "+examplesDir+"targets.yaml"), 0, "written")
			p.SetFaults(test.faults)
			shouldExit(fx.runHTTP("target out engine-1"), test.code, test.wantErr)
			p.SetFaults(platform.Faults{})
			shouldExit(fx.runHTTP("target out engine-1"), 0, "target engine-1 out")
			shouldExit(fx.runHTTP("status"), 0, "targets [engine-1]")
		})
	}
}
