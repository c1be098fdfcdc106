package configurer

import (
	"crypto/ed25519"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// quotaValidity is how long a quota holds; three heartbeats must fit so that one lost heartbeat ends no quota.
	quotaValidity = 6 * time.Second
	// memberLoss is when observers count a member as lost; two renewals must fit so that one failure loses no member.
	memberLoss = 11 * time.Second
)

// checker keeps the first fault it finds.
type checker struct {
	document *Document
	err      error
}

func (c *checker) check(s Settings, instance bool) error {
	c.platform(s.Platform)
	c.addresses(s)
	c.names(s)
	c.bounds(s.Bounds)
	c.times(s)
	if instance {
		c.instance(s)
	}
	return c.err
}

// checkGateway checks the settings of an instance on the users' platform.
func (c *checker) checkGateway(s Settings) error {
	c.platform(s.Platform)
	c.required("instance", string(s.Instance))
	c.name("instance", string(s.Instance))
	c.required("data_centre", string(s.DataCentre))
	g := s.Gateway
	for _, a := range []struct {
		field string
		value string
	}{
		{field: "listen.callers", value: s.Listen.Callers},
		{field: "listen.peers", value: s.Listen.Peers},
		{field: "gateway.readiness", value: g.Readiness},
		{field: "gateway.directory", value: g.Directory},
		{field: "gateway.metrics", value: g.Metrics},
	} {
		c.required(a.field, a.value)
		c.address(a.field, a.value)
	}
	c.duration("gateway.grace_period", g.GracePeriod, time.Second, time.Hour)
	c.duration("gateway.retry_window", g.RetryWindow, time.Second, time.Hour)
	c.duration("gateway.address_validity", g.AddressValidity, 100*time.Millisecond, time.Minute)
	c.duration("gateway.watch_wait", g.WatchWait, 100*time.Millisecond, 30*time.Second)
	c.integer("gateway.retry_extra", g.RetryExtra, 0, 1_000_000)
	if g.ProcessorShare <= 0 || g.ProcessorShare > 1024 {
		c.failed("gateway.processor_share", "%v is out of range: set it to the share of a core, like 0.4", g.ProcessorShare)
	}
	if g.RetryRatio < 0 || g.RetryRatio > 1 {
		c.failed("gateway.retry_ratio", "%v is out of range: set it to 0 up to 1", g.RetryRatio)
	}
	return c.err
}

func (c *checker) failed(field, problem string, arguments ...any) {
	if c.err != nil {
		return
	}
	c.err = c.document.Fault(field, fmt.Sprintf(problem, arguments...))
}

func (c *checker) required(field, value string) {
	if value == "" {
		c.failed(field, "required: set it")
	}
}

func (c *checker) integer(field string, value, low, high int) {
	if value < low || value > high {
		c.failed(field, "%d is out of range: set it to %d up to %d", value, low, high)
	}
}

func (c *checker) duration(field string, value, low, high time.Duration) {
	if value == invalidDuration {
		c.failed(field, "not a duration: write it with its unit, like 500ms or 2s")
	}
	if value < low || value > high {
		c.failed(field, "%v is out of range: set it to %v up to %v", value, low, high)
	}
}

// atMost checks a relation between two fields and gives its reason.
func (c *checker) atMost(field string, ok bool, other, reason string) {
	if !ok {
		c.failed(field, "too large beside %s (%s): lower %s or raise %s", other, reason, field, other)
	}
}

func (c *checker) platform(p Platform) {
	c.required("platform.address", p.Address)
	c.address("platform.address", p.Address)
	c.duration("platform.timeout", p.Timeout, 10*time.Millisecond, 10*time.Second)
	if p.CallsPerSecond < 1 || p.CallsPerSecond > 1000 {
		c.failed("platform.calls_per_second", "%v is out of range: set it to 1 up to 1000", p.CallsPerSecond)
	}
}

func (c *checker) addresses(s Settings) {
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.advertised("callers", s.Advertise.Callers)
	c.advertised("peers", s.Advertise.Peers)
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds.%d", i), seed)
	}
}

func (c *checker) address(field, value string) {
	if value == "" {
		return
	}
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		c.failed(field, "%q is not an IP address with a port: write it like 10.0.0.1:8080", value)
	}
}

func (c *checker) advertised(name, value string) {
	field := "advertise." + name
	c.address(field, value)
	parsed, err := netip.ParseAddrPort(value)
	if err == nil && parsed.Addr().IsUnspecified() {
		c.failed(field, "others cannot connect to %s (default: listen.%s): set it to an address of this machine", value, name)
	}
}

// names checks the names that become parts of object names.
func (c *checker) names(s Settings) {
	c.name("instance", string(s.Instance))
	c.name("data_centre", string(s.DataCentre))
	c.name("region", s.Region)
	c.required("cell", string(s.Cell))
	c.name("cell", string(s.Cell))
	for _, name := range slices.Sorted(maps.Keys(s.Approvers)) {
		if len(s.Approvers[name]) != ed25519.PublicKeySize {
			c.failed("approvers."+name, "not a base64 Ed25519 public key: create a pair with `bergamothollow key create`")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.DataCentreDistance)) {
		c.duration("datacentre_distance."+string(name), s.DataCentreDistance[name], 0, time.Second)
	}
}

func (c *checker) name(field, value string) {
	allowed := func(r rune) bool {
		return r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	}
	for _, r := range value {
		if !allowed(r) {
			c.failed(field, "%q holds %q: use letters, digits, - and _ only", value, r)
		}
	}
}

func (c *checker) bounds(b Bounds) {
	c.integer("bounds.held_bytes_per_request", b.HeldBytesPerRequest, 4*kibibyte, 64*mebibyte)
	c.integer("bounds.held_bytes_per_customer", b.HeldBytesPerCustomer, 4*kibibyte, 1024*mebibyte)
	c.integer("bounds.held_bytes_per_process", b.HeldBytesPerProcess, 4*kibibyte, 4096*mebibyte)
	c.integer("bounds.queue_per_model", b.QueuePerModel, 1, 100_000)
	c.integer("bounds.body_bytes", b.BodyBytes, kibibyte, 256*mebibyte)
	c.integer("bounds.header_bytes", b.HeaderBytes, kibibyte, mebibyte)
	c.integer("bounds.traffic_workers", b.TrafficWorkers, 16, 1_000_000)
	c.atMost("bounds.held_bytes_per_request", b.HeldBytesPerRequest <= b.HeldBytesPerCustomer,
		"bounds.held_bytes_per_customer", "a request belongs to one customer")
	c.atMost("bounds.held_bytes_per_customer", b.HeldBytesPerCustomer <= b.HeldBytesPerProcess,
		"bounds.held_bytes_per_process", "a customer must not fill the process")
	c.atMost("bounds.queue_per_model", b.QueuePerModel < b.TrafficWorkers,
		"bounds.traffic_workers", "queued requests must not occupy all workers")
}

func (c *checker) times(s Settings) {
	t := s.Times
	c.duration("times.heartbeat", t.Heartbeat, 50*time.Millisecond, quotaValidity/3)
	c.duration("times.member_renewal", t.MemberRenewal, 100*time.Millisecond, memberLoss/2)
	c.duration("times.isolation", t.Isolation, 200*time.Millisecond, time.Minute)
	c.duration("times.address_validity", t.AddressValidity, 100*time.Millisecond, 10*time.Minute)
	c.duration("times.leaving_margin", t.LeavingMargin, 100*time.Millisecond, time.Minute)
	c.duration("times.refusal_flush", t.RefusalFlush, 50*time.Millisecond, time.Minute)
	c.duration("times.reader_stall", t.ReaderStall, 100*time.Millisecond, 10*time.Minute)
	c.duration("times.reconcile", t.Reconcile, 100*time.Millisecond, time.Minute)
	c.atMost("times.heartbeat", 2*t.Heartbeat <= t.Isolation,
		"times.isolation", "one lost heartbeat must not isolate an instance")
	c.atMost("platform.timeout", s.Platform.Timeout <= t.MemberRenewal,
		"times.member_renewal", "a renewal must end before the next one")
}

func (c *checker) instance(s Settings) {
	c.required("instance", string(s.Instance))
	c.required("data_centre", string(s.DataCentre))
	c.required("region", s.Region)
	c.required("listen.callers", s.Listen.Callers)
	c.required("listen.peers", s.Listen.Peers)
	if s.Listen.Callers == s.Listen.Peers {
		c.failed("listen.peers", "same address as listen.callers: choose another port")
	}
}
