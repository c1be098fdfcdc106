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
	"bergamothollow.example/bergamothollow/internal/limiter"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// StatusOptions configure a status server.
type StatusOptions struct {
	Readiness   net.Listener
	ReadyPath   string
	Directory   net.Listener
	ResolvePath string
	// DataCentreParameter is the query parameter of ResolvePath with the caller's data centre. With KeepLocal, callers are told to use
	// the instances of theirs, if these are enough.
	DataCentreParameter string
	KeepLocal           bool
	Metrics             net.Listener
	Registry            *prometheus.Registry
	Control             *coordinator.Coordinator
	// Limiter bounds the connections.
	Limiter *limiter.Limiter
	// ResolveBody returns the response body of the resolve path for the addresses; it is encoded as JSON.
	ResolveBody func(addresses []string) any
}

// StatusServer serves readiness checks, the addresses of the instances, and metrics.
type StatusServer struct {
	options StatusOptions
	servers []*server.Hertz
}

// NewStatusServer returns a status server on the options' listeners.
func NewStatusServer(o StatusOptions) *StatusServer {
	s := &StatusServer{
		options: o,
	}
	readiness := s.serverOn(o.Readiness)
	readiness.GET(o.ReadyPath, s.ready)
	directory := s.serverOn(o.Directory)
	directory.GET(o.ResolvePath, s.resolve)
	metrics := s.serverOn(o.Metrics)
	metrics.GET("/metrics", adaptor.HertzHandler(promhttp.HandlerFor(o.Registry, promhttp.HandlerOpts{})))
	s.servers = []*server.Hertz{readiness, directory, metrics}
	return s
}

// serverOn returns a server for requests without a body.
func (s *StatusServer) serverOn(listener net.Listener) *server.Hertz {
	h := NewHertz(listener, s.options.Limiter)
	h.Use(s.options.Limiter.Filter)
	return h
}

// Run serves until one of the servers fails.
func (s *StatusServer) Run() error {
	failed := make(chan error, len(s.servers))
	for _, h := range s.servers {
		go func() { failed <- h.Run() }()
	}
	return <-failed
}

func (s *StatusServer) ready(_ context.Context, c *app.RequestContext) {
	view := s.options.Control.View()
	if view.Rules == nil || view.Leaving {
		c.String(http.StatusServiceUnavailable, "not ready: no rules known yet, or leaving\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (s *StatusServer) resolve(_ context.Context, c *app.RequestContext) {
	view := s.options.Control.View()
	members := view.Members
	if s.options.KeepLocal {
		members = coordinator.LocalMembers(view, namer.DataCentre(c.Query(s.options.DataCentreParameter)))
	}
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Callers)
	}
	if view.Rules == nil || len(addresses) == 0 {
		c.String(http.StatusServiceUnavailable, "no instance is known to be ready\n")
		return
	}
	c.JSON(http.StatusOK, s.options.ResolveBody(addresses))
}
