package receiver

import (
	"context"
	"net"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bergamothollow.example/bergamothollow/internal/coordinator"
)

// DeskOptions are what a desk is built from.
type DeskOptions struct {
	Readiness   net.Listener
	ReadyPath   string
	Directory   net.Listener
	ResolvePath string
	Metrics     net.Listener
	Registry    *prometheus.Registry
	Control     *coordinator.Coordinator
	// Answer turns addresses into the body of an address answer.
	Answer func(addresses []string) any
}

// Desk answers liveness checks, questions for addresses, and metrics.
type Desk struct {
	options DeskOptions
	servers []*server.Hertz
}

// NewDesk returns a desk on the options' listeners.
func NewDesk(o DeskOptions) *Desk {
	d := &Desk{
		options: o,
	}
	readiness := NewHertz(o.Readiness)
	readiness.GET(o.ReadyPath, d.ready)
	directory := NewHertz(o.Directory)
	directory.GET(o.ResolvePath, d.resolve)
	metrics := NewHertz(o.Metrics)
	metrics.GET("/metrics", adaptor.HertzHandler(promhttp.HandlerFor(o.Registry, promhttp.HandlerOpts{})))
	d.servers = []*server.Hertz{readiness, directory, metrics}
	return d
}

// Run answers until a server fails.
func (d *Desk) Run() error {
	failed := make(chan error, len(d.servers))
	for _, h := range d.servers {
		go func() { failed <- h.Run() }()
	}
	return <-failed
}

func (d *Desk) ready(_ context.Context, c *app.RequestContext) {
	view := d.options.Control.View()
	if view.Rules == nil || view.Leaving {
		c.String(http.StatusServiceUnavailable, "not ready: no rules known yet, or leaving\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (d *Desk) resolve(_ context.Context, c *app.RequestContext) {
	view := d.options.Control.View()
	addresses := make([]string, 0, len(view.Members))
	for _, m := range view.Members {
		addresses = append(addresses, m.Callers)
	}
	if view.Rules == nil || len(addresses) == 0 {
		c.String(http.StatusServiceUnavailable, "no instance is known to be ready\n")
		return
	}
	c.JSON(http.StatusOK, d.options.Answer(addresses))
}
