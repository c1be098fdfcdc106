package engine

import (
	"slices"
	"time"
)

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderFence       OrderKind = "fence"
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
)

// Order asks the engine to raise its epoch, load weights or change its role.
type Order struct {
	Epoch int64     `json:"epoch"`
	Kind  OrderKind `json:"kind"`
	Name  string    `json:"name"`
}

func (k OrderKind) isKnown() bool {
	return slices.Contains([]OrderKind{OrderFence, OrderLoadModel, OrderLoadAdapter, OrderLoadVersion, OrderChangeRole}, k)
}

// Setup is what the engine has loaded, and its role.
type Setup struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	Adapters []string `json:"adapters"`
	// Pending is the number of orders that have not taken effect yet.
	Pending int `json:"pending_orders"`
}

// orders is a queue whose orders take effect one after the other, each after the duration.
type orders struct {
	duration time.Duration
	setup    Setup
	pending  []pendingOrder
}

type pendingOrder struct {
	Order
	due time.Time
}

func (o *orders) add(now time.Time, order Order) {
	start := now
	if n := len(o.pending); n > 0 && o.pending[n-1].due.After(now) {
		start = o.pending[n-1].due
	}
	o.pending = append(o.pending, pendingOrder{
		Order: order,
		due:   start.Add(o.duration),
	})
}

// current applies the orders that are due and returns the setup.
func (o *orders) current(now time.Time) Setup {
	for len(o.pending) > 0 && !o.pending[0].due.After(now) {
		o.apply(o.pending[0].Order)
		o.pending = o.pending[1:]
	}
	setup := o.setup
	setup.Adapters = slices.Clone(setup.Adapters)
	setup.Pending = len(o.pending)
	return setup
}

func (o *orders) apply(order Order) {
	switch order.Kind {
	case OrderLoadModel:
		o.setup.Model = order.Name
	case OrderLoadVersion:
		o.setup.Version = order.Name
	case OrderChangeRole:
		o.setup.Role = order.Name
	case OrderLoadAdapter:
		if !slices.Contains(o.setup.Adapters, order.Name) {
			o.setup.Adapters = append(o.setup.Adapters, order.Name)
		}
	}
}
