package tracker

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// State is the state of a member.
type State string

// The states of a member.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateLeaving  State = "leaving"
	StateLeft     State = "left"
)

// Member is the record that an instance renews in the store.
type Member struct {
	Holder         namer.Holder     `json:"holder"`
	Cell           namer.Cell       `json:"cell"`
	DataCentre     namer.DataCentre `json:"data_centre"`
	CallerAddress  string           `json:"caller_address"`
	PeerAddress    string           `json:"peer_address"`
	State          State            `json:"state"`
	BundleSequence int64            `json:"bundle_sequence"`
	DepartureSeen  int64            `json:"departure_seen"`
	Number         int64            `json:"number"`
	// TableVersion is the version of the ownership table that the instance had read when it wrote Heard.
	TableVersion int64         `json:"table_version"`
	Heard        []HeardNumber `json:"heard"`
}

// HeardNumber is the highest heartbeat or record number that was received from a member.
type HeardNumber struct {
	Holder namer.Holder `json:"holder"`
	Number int64        `json:"number"`
}

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The kinds of targets.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// Target is the record of one back end, maintained by operators.
type Target struct {
	ID             namer.Target     `json:"id" yaml:"id"`
	Kind           TargetKind       `json:"kind" yaml:"kind"`
	Address        string           `json:"address" yaml:"address"`
	Cell           namer.Cell       `json:"cell" yaml:"cell"`
	DataCentre     namer.DataCentre `json:"data_centre" yaml:"data_centre"`
	Model          namer.Model      `json:"model,omitempty" yaml:"model,omitempty"`
	Service        namer.Service    `json:"service,omitempty" yaml:"service,omitempty"`
	CapacityTokens int              `json:"capacity_tokens,omitempty" yaml:"capacity_tokens,omitempty"`
	// PrefillRate is in tokens per second on an idle, warm engine.
	PrefillRate float64 `json:"prefill_rate,omitempty" yaml:"prefill_rate,omitempty"`
	// TokenInterval is the time between generated tokens on an idle, warm engine.
	TokenInterval time.Duration `json:"token_interval,omitempty" yaml:"token_interval,omitempty"`
	Fencing       bool          `json:"fencing,omitempty" yaml:"fencing,omitempty"`
	GroupContext  bool          `json:"group_context,omitempty" yaml:"group_context,omitempty"`
}

// Departure lists the data centres and targets that operators have taken out of service; it is stored as one object.
type Departure struct {
	DataCentres []namer.DataCentre `json:"data_centres"`
	Targets     []namer.Target     `json:"targets"`
	// ChangedBy and Change describe the last change, for an operator whose concurrent change was rejected.
	ChangedBy string `json:"changed_by"`
	Change    string `json:"change"`
}
