package roller

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Bundle is one version of the configuration: customers, services, models, rules and orders.
type Bundle struct {
	Sequence  int64                         `json:"sequence" yaml:"sequence"`
	Author    string                        `json:"author" yaml:"author"`
	Note      string                        `json:"note" yaml:"note"`
	Customers map[namer.Customer]Customer   `json:"customers" yaml:"customers"`
	Models    map[namer.Model]Model         `json:"models" yaml:"models"`
	Services  map[namer.Service]ServiceRule `json:"services" yaml:"services"`
	Rules     Rules                         `json:"rules" yaml:"rules"`
	Orders    map[namer.Target][]Order      `json:"orders" yaml:"orders"`
}

// Customer holds the limits of one customer across all instances.
type Customer struct {
	Weight            float64 `json:"weight" yaml:"weight"`
	RequestsPerSecond float64 `json:"requests_per_second" yaml:"requests_per_second"`
	Concurrency       int     `json:"concurrency" yaml:"concurrency"`
}

// Model holds the limits of one model.
type Model struct {
	MaxPromptTokens int `json:"max_prompt_tokens" yaml:"max_prompt_tokens"`
	MaxOutputTokens int `json:"max_output_tokens" yaml:"max_output_tokens"`
}

// ServiceRule lists the calls of one plain service.
type ServiceRule struct {
	Calls map[string]Call `json:"calls" yaml:"calls"`
}

// Call describes one call of a service; Repeatable means that it may be retried.
type Call struct {
	Repeatable bool `json:"repeatable" yaml:"repeatable"`
}

// Rules are the limits on deadlines that apply to all customers.
type Rules struct {
	DefaultDeadline time.Duration `json:"default_deadline" yaml:"default_deadline"`
	MaxDeadline     time.Duration `json:"max_deadline" yaml:"max_deadline"`
}

// OrderKind is the operation that an order requests from a target.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
)

// UsesWeightStore reports whether the target loads from the rate-limited weight store to execute the order.
func (k OrderKind) UsesWeightStore() bool {
	return k != OrderChangeRole
}

// Exclusive reports whether a later order of the kind replaces the effect of an earlier one; a target then has one value
// of the kind at a time.
func (k OrderKind) Exclusive() bool {
	return k == OrderLoadVersion || k == OrderChangeRole
}

// Order is one part of the desired state of a target.
type Order struct {
	Kind OrderKind `json:"kind" yaml:"kind"`
	Name string    `json:"name" yaml:"name"`
}

// Signed is a bundle as stored and sent: its canonical bytes with the approver's signature.
type Signed struct {
	// Content is the canonical JSON of the bundle, compressed when stored or sent.
	Content   Compressed `json:"content"`
	Sequence  int64      `json:"sequence"`
	Digest    string     `json:"digest"`
	Author    string     `json:"author"`
	Approver  string     `json:"approver"`
	Signature []byte     `json:"signature"`
}

// Pointer identifies the bundle that all instances must have in force.
type Pointer struct {
	Sequence int64  `json:"sequence"`
	Digest   string `json:"digest"`
	RolledBy string `json:"rolled_by"`
}
