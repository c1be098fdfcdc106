package reviewer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"bergamothollow.example/bergamothollow/pkg/matcher"
	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Severity is how bad a finding is.
type Severity string

// Severities: an error makes requests fail, a contradiction makes a limit useless, an unused entry does nothing.
const (
	Error         Severity = "error"
	Contradiction Severity = "contradiction"
	Unused        Severity = "unused"
)

// Finding is one fault of the rules.
type Finding struct {
	Severity Severity `json:"severity"`
	// Subject is the entry, such as "route r1".
	Subject string `json:"subject"`
	Problem string `json:"problem"`
	// Next says what to do.
	Next string `json:"next"`
}

// Budget is the share of requests that may be sent again, and the number beside it; both 0 mean that none may.
type Budget struct {
	Ratio float64
	Extra int
}

// review collects the findings on one version of the rules.
type review struct {
	rules    matcher.Rules
	services map[namer.Service]*matcher.Service
	budget   Budget
	findings []Finding
}

// Review returns the findings on rules, errors first, in the order of their entries.
func Review(rules matcher.Rules, budget Budget) []Finding {
	r := &review{
		rules:    rules,
		services: map[namer.Service]*matcher.Service{},
		budget:   budget,
	}
	r.checkServices()
	r.checkRoutes()
	r.checkUse()
	r.checkCustomers()
	r.checkLimits()
	order := []Severity{Error, Contradiction, Unused}
	slices.SortStableFunc(r.findings, func(a, b Finding) int {
		return cmp.Compare(slices.Index(order, a.Severity), slices.Index(order, b.Severity))
	})
	return r.findings
}

func (r *review) add(s Severity, subject, next, problem string, arguments ...any) {
	r.findings = append(r.findings, Finding{
		Severity: s,
		Subject:  subject,
		Problem:  fmt.Sprintf(problem, arguments...),
		Next:     next,
	})
}

func (r *review) checkServices() {
	for i := range r.rules.Services {
		s := &r.rules.Services[i]
		subject := "service " + string(s.Name)
		switch {
		case s.Name == "":
			r.add(Error, fmt.Sprintf("service number %d", i+1), "name it", "has no name")
		case r.services[s.Name] != nil:
			r.add(Error, subject, "remove or rename one", "is there twice")
		}
		if s.ColdRate < 0 {
			r.add(Error, subject, "set it to 0 for no limit, or above", "takes %v requests a second while cold", s.ColdRate)
		}
		r.services[s.Name] = s
	}
}

func (r *review) checkRoutes() {
	names := map[string]bool{}
	matched := map[string]string{}
	for i := range r.rules.Routes {
		route := &r.rules.Routes[i]
		subject := "route " + route.Name
		if names[route.Name] {
			r.add(Error, subject, "rename one", "shares its name with another route")
		}
		names[route.Name] = true
		if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
			r.add(Error, subject, "begin and end the prefix with a slash", "has the prefix %q", route.Prefix)
		}
		place := strings.ToLower(route.Host) + route.Prefix
		if first, taken := matched[place]; taken {
			r.add(Unused, subject, "remove one of the two", "never matches: route %s has the same host and prefix and comes first", first)
		} else {
			matched[place] = route.Name
		}
		r.checkSplit(subject, route)
		r.checkTimes(subject, route)
	}
}

func (r *review) checkSplit(subject string, route *matcher.Route) {
	engines, plain, total := 0, 0, 0
	for _, share := range route.Split {
		total += max(0, share.Weight)
		service := r.services[share.Service]
		switch {
		case service == nil:
			r.add(Error, subject, "add the service or name another one", "goes to service %q, which isn't there", share.Service)
			continue
		case share.Weight < 0:
			r.add(Error, subject, "set a weight of 0 or above", "gives service %s the weight %d", share.Service, share.Weight)
		case share.Weight == 0:
			r.add(Unused, subject, "remove the share or give it a weight", "never uses its share for service %s: the weight is 0", share.Service)
		}
		if service.Engine == nil {
			plain++
		} else {
			engines++
		}
	}
	switch {
	case len(route.Split) == 0:
		r.add(Error, subject, "name one", "has no service")
	case total == 0:
		r.add(Error, subject, "give a service a weight above 0", "has no service with a weight")
	case engines > 0 && plain > 0:
		r.add(Contradiction, subject, "split it into two routes", "goes to model engines and to a plain service")
	case engines > 0 && route.Kind != matcher.Streaming:
		r.add(Contradiction, subject, "make it a streaming route", "goes to model engines, which answer with streams, but is %s", route.Kind)
	}
}

func (r *review) checkTimes(subject string, route *matcher.Route) {
	if route.Timeout <= 0 {
		r.add(Error, subject, "set one", "has no time limit, so that each request is too late")
	} else if route.TargetLatency > route.Timeout {
		r.add(Contradiction, subject, "raise the time limit or lower the target latency",
			"has a time limit of %v, below its target latency of %v", route.Timeout, route.TargetLatency)
	}
	if route.TargetLatency < 0 || route.MaxPause < 0 {
		r.add(Error, subject, "set them to 0 for none, or above", "has a negative target latency or pause")
	}
	if route.Timeout > 0 && route.MaxPause > route.Timeout {
		r.add(Contradiction, subject, "lower the pause or raise the time limit", "tolerates pauses of %v within a time limit of %v",
			route.MaxPause, route.Timeout)
	}
	if route.MaxPause > 0 && route.Kind != matcher.Streaming {
		r.add(Unused, subject, "remove the pause", "limits pauses of %v, but has no stream", route.MaxPause)
	}
	if route.Resumable && route.Kind != matcher.Streaming {
		r.add(Unused, subject, "remove the resumption", "may be resumed, but has no stream")
	}
	switch {
	case route.MaxAttempts <= 1:
	case !route.Repeatable():
		r.add(Unused, subject, "set one attempt", "allows %d attempts, but its requests may run once only", route.MaxAttempts)
	case r.budget.Ratio <= 0 && r.budget.Extra <= 0:
		r.add(Contradiction, subject, "raise the retry budget or set one attempt",
			"allows %d attempts, but the retry budget allows no further send", route.MaxAttempts)
	}
}

// checkUse finds services to which no route goes.
func (r *review) checkUse() {
	used := map[namer.Service]bool{}
	for i := range r.rules.Routes {
		for _, share := range r.rules.Routes[i].Split {
			used[share.Service] = used[share.Service] || share.Weight > 0
		}
	}
	for i := range r.rules.Services {
		if name := r.rules.Services[i].Name; !used[name] {
			r.add(Unused, "service "+string(name), "remove it or add a route", "gets no requests: no route goes there")
		}
	}
}

func (r *review) checkCustomers() {
	names := map[namer.Customer]bool{}
	owners := map[string]namer.Customer{}
	for i := range r.rules.Customers {
		c := &r.rules.Customers[i]
		subject := "customer " + string(c.Name)
		if names[c.Name] {
			r.add(Error, subject, "merge the two entries", "is there twice")
		}
		names[c.Name] = true
		if len(c.Keys) == 0 {
			r.add(Unused, subject, "add a key or remove the customer", "has no key, so that no request can be its own")
		}
		if c.Priority != nil && *c.Priority < 0 {
			r.add(Error, subject, "set 0 for the highest rank, or above", "has the rank %d", *c.Priority)
		}
		for _, key := range c.Keys {
			owner, taken := owners[key]
			switch {
			case key == "":
				r.add(Error, subject, "remove it", "has an empty key, which each request without a key would have")
			case taken && owner != c.Name:
				r.add(Error, subject, "give each customer keys of its own", "has a key that customer %s has, too", owner)
			case taken:
				r.add(Unused, subject, "remove one", "has a key twice")
			}
			owners[key] = c.Name
		}
	}
	if r.rules.KeyRequired && len(owners) == 0 && !r.allAnonymous() {
		r.add(Error, "customers", "add a key, or leave the list out if callers need none", "have no key, but routes require one")
	}
}

func (r *review) allAnonymous() bool {
	return !slices.ContainsFunc(r.rules.Routes, func(route matcher.Route) bool { return !route.Anonymous })
}

func (r *review) checkLimits() {
	l := r.rules.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		r.add(Error, "limits", "set them to 0 for none, or above", "are negative")
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		r.add(Contradiction, "limits", "lower the time for a header or raise the idle time",
			"allow %v for a header, but close idle connections after %v", l.HeaderTimeout, l.IdleTimeout)
	}
}
