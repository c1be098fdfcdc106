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
	// quotaValidity is the validity of a quota. It must span three heartbeats, so that one lost heartbeat does not end it.
	quotaValidity = 6 * time.Second
	// memberLossTimeout is the time without a renewal after which observers count a member as lost. It must span two
	// renewals, so that one failed renewal does not lose the member.
	memberLossTimeout = 11 * time.Second
)

// checker checks settings and keeps the first error.
type checker struct {
	document *Document
	err      error
}

// check checks all settings; with instance set, the keys that only an instance needs are required.
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

// checkGateway checks the settings of a gateway, an instance on the users' platform.
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
	c.duration("gateway.crossing.wait", g.Crossing.Wait, 0, 10*time.Second)
	c.duration("gateway.crossing.wait_per_megabyte", g.Crossing.WaitPerMegabyte, 0, time.Minute)
	c.integer("gateway.process_megabytes", g.ProcessMegabytes, 32, 1<<20)
	c.integer("gateway.retry_extra", g.RetryExtra, 0, 1_000_000)
	c.integer("gateway.lost_data_centres", g.LostDataCentres, 0, 1000)
	if g.IdleEngines < 0 || g.IdleEngines > 1000 {
		c.fail("gateway.idle_engines", "%v is out of range: set it to 0 up to 1000", g.IdleEngines)
	}
	if g.ProcessorShare <= 0 || g.ProcessorShare > 1024 {
		c.fail("gateway.processor_share", "%v is out of range: set it to a number of cores above 0 and up to 1024, like 0.4", g.ProcessorShare)
	}
	if g.RetryRatio < 0 || g.RetryRatio > 1 {
		c.fail("gateway.retry_ratio", "%v is out of range: set it to 0 up to 1", g.RetryRatio)
	}
	c.duties(s.Duties)
	return c.err
}

func (c *checker) duties(d Duties) {
	if d.Address == "" {
		return
	}
	c.address("duties.address", d.Address)
	if d.CallsPerSecond <= 0 || d.CallsPerSecond > 100_000 {
		c.fail("duties.calls_per_second", "%v is out of range: set it above 0 and up to 100000", d.CallsPerSecond)
	}
	c.duration("duties.lease", d.Lease, time.Second, time.Minute)
	c.duration("duties.report_window", d.ReportWindow, time.Second, 24*time.Hour)
	c.duration("duties.report_delay", d.ReportDelay, time.Second, 24*time.Hour)
}

func (c *checker) fail(field, problem string, arguments ...any) {
	if c.err != nil {
		return
	}
	c.err = c.document.ErrorAt(field, fmt.Sprintf(problem, arguments...))
}

func (c *checker) required(field, value string) {
	if value == "" {
		c.fail(field, "required: set it")
	}
}

func (c *checker) integer(field string, value, low, high int) {
	if value < low || value > high {
		c.fail(field, "%d is out of range: set it to %d up to %d", value, low, high)
	}
}

func (c *checker) duration(field string, value, low, high time.Duration) {
	if value == invalidDuration {
		c.fail(field, "not a duration: write it with a unit, like 500ms or 2s")
	}
	if value < low || value > high {
		c.fail(field, "%v is out of range: set it to %v up to %v", value, low, high)
	}
}

// limitedBy fails if ok is false, which means that the value of field is too large in relation to that of other. The
// reason says why.
func (c *checker) limitedBy(field string, ok bool, other, reason string) {
	if !ok {
		c.fail(field, "too large in relation to %s (%s): lower %s or raise %s", other, reason, field, other)
	}
}

func (c *checker) platform(p Platform) {
	c.required("platform.address", p.Address)
	c.address("platform.address", p.Address)
	c.duration("platform.timeout", p.Timeout, 10*time.Millisecond, 10*time.Second)
	if p.CallsPerSecond < 1 || p.CallsPerSecond > 1000 {
		c.fail("platform.calls_per_second", "%v is out of range: set it to 1 up to 1000", p.CallsPerSecond)
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
		c.fail(field, "%q is not an IP address with a port: write it like 10.0.0.1:8080", value)
	}
}

func (c *checker) advertised(name, value string) {
	field := "advertise." + name
	c.address(field, value)
	parsed, err := netip.ParseAddrPort(value)
	if err == nil && parsed.Addr().IsUnspecified() {
		c.fail(field, "other machines cannot connect to %s (default: listen.%s): set it to an address of this machine", value, name)
	}
}

// names checks the names that become parts of object names, the approvers' public keys and the distances.
func (c *checker) names(s Settings) {
	c.name("instance", string(s.Instance))
	c.name("data_centre", string(s.DataCentre))
	c.name("region", s.Region)
	c.required("cell", string(s.Cell))
	c.name("cell", string(s.Cell))
	for _, name := range slices.Sorted(maps.Keys(s.Approvers)) {
		if len(s.Approvers[name]) != ed25519.PublicKeySize {
			c.fail("approvers."+name, "not a base64 Ed25519 public key: create a pair with `bergamothollow key create`")
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
			c.fail(field, "%q contains %q: use letters, digits, - and _ only", value, r)
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
	c.limitedBy("bounds.held_bytes_per_request", b.HeldBytesPerRequest <= b.HeldBytesPerCustomer,
		"bounds.held_bytes_per_customer", "a request belongs to one customer")
	c.limitedBy("bounds.held_bytes_per_customer", b.HeldBytesPerCustomer <= b.HeldBytesPerProcess,
		"bounds.held_bytes_per_process", "one customer must not use up the memory bound of the process")
	c.limitedBy("bounds.queue_per_model", b.QueuePerModel < b.TrafficWorkers,
		"bounds.traffic_workers", "queued requests must not occupy all workers")
}

func (c *checker) times(s Settings) {
	t := s.Times
	c.duration("times.heartbeat", t.Heartbeat, 50*time.Millisecond, quotaValidity/3)
	c.duration("times.member_renewal", t.MemberRenewal, 100*time.Millisecond, memberLossTimeout/2)
	c.duration("times.isolation", t.Isolation, 200*time.Millisecond, time.Minute)
	c.duration("times.address_validity", t.AddressValidity, 100*time.Millisecond, 10*time.Minute)
	c.duration("times.leaving_margin", t.LeavingMargin, 100*time.Millisecond, time.Minute)
	c.duration("times.refusal_flush", t.RefusalFlush, 50*time.Millisecond, time.Minute)
	c.duration("times.reader_stall", t.ReaderStall, 100*time.Millisecond, 10*time.Minute)
	c.duration("times.reconcile", t.Reconcile, 100*time.Millisecond, time.Minute)
	c.limitedBy("times.heartbeat", 2*t.Heartbeat <= t.Isolation,
		"times.isolation", "one lost heartbeat must not isolate an instance")
	c.limitedBy("platform.timeout", s.Platform.Timeout <= t.MemberRenewal,
		"times.member_renewal", "a renewal must end before the next one")
}

func (c *checker) instance(s Settings) {
	c.required("instance", string(s.Instance))
	c.required("data_centre", string(s.DataCentre))
	c.required("region", s.Region)
	c.required("listen.callers", s.Listen.Callers)
	c.required("listen.peers", s.Listen.Peers)
	if s.Listen.Callers == s.Listen.Peers {
		c.fail("listen.peers", "same address as listen.callers: choose another port")
	}
}
