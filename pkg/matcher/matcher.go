package matcher

import (
	"fmt"
	"sort"
	"strings"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// UnknownRouteError means that no route matches the host and path of a request.
type UnknownRouteError struct {
	Host    string
	Path    string
	Version int64
}

// Error returns the message, with host, path and version of the rules.
func (e *UnknownRouteError) Error() string {
	return fmt.Sprintf("no route for %s%s in version %d: correct the address or ask the operators for a route", e.Host, e.Path, e.Version)
}

// UnknownKeyError means that a request's key is missing or belongs to no customer.
type UnknownKeyError struct {
	Version int64
}

// Error returns the message, with the version of the rules; the key is a secret and is left out.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("the key is missing or belongs to no customer in version %d: use a key of the customer", e.Version)
}

// Match is the route and customer of a request.
type Match struct {
	Route    *Route
	Customer namer.Customer
	// Priority is the customer's priority if set, otherwise the route's.
	Priority int
}

// Matcher is an immutable index of one version of the rules.
type Matcher struct {
	Rules    Rules
	hosts    map[string][]*Route
	keys     map[string]*Customer
	services map[namer.Service]*Service
}

// New builds the index of the rules.
func New(rules Rules) *Matcher {
	m := &Matcher{
		Rules:    rules,
		hosts:    map[string][]*Route{},
		keys:     map[string]*Customer{},
		services: map[namer.Service]*Service{},
	}
	for i := range m.Rules.Routes {
		r := &m.Rules.Routes[i]
		host := strings.ToLower(r.Host)
		m.hosts[host] = append(m.hosts[host], r)
	}
	for _, routes := range m.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	for i := range m.Rules.Customers {
		c := &m.Rules.Customers[i]
		for _, key := range c.Keys {
			m.keys[key] = c
		}
	}
	for i := range m.Rules.Services {
		m.services[m.Rules.Services[i].Name] = &m.Rules.Services[i]
	}
	return m
}

// Service returns the service with the given name, or nil if the rules don't contain it.
func (m *Matcher) Service(name namer.Service) *Service {
	return m.services[name]
}

// Match returns the route with the longest matching path prefix and the customer of the key; the error is an
// UnknownRouteError or an UnknownKeyError.
func (m *Matcher) Match(host, path, key string) (Match, error) {
	route := m.route(host, path)
	if route == nil {
		return Match{}, &UnknownRouteError{
			Host:    host,
			Path:    path,
			Version: m.Rules.Version,
		}
	}
	match := Match{
		Route:    route,
		Priority: route.Priority,
	}
	customer := m.keys[key]
	if customer == nil {
		if m.Rules.KeyRequired && !route.Anonymous {
			return Match{}, &UnknownKeyError{
				Version: m.Rules.Version,
			}
		}
		return match, nil
	}
	match.Customer = customer.Name
	if customer.Priority != nil {
		match.Priority = *customer.Priority
	}
	return match, nil
}

func (m *Matcher) route(host, path string) *Route {
	for _, r := range m.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Choose selects a service by weight, given a random number in [0,1); it returns "" if the split is empty.
func (r *Route) Choose(random float64) namer.Service {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := random * float64(total)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return ""
}
