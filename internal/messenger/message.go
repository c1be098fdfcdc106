package messenger

import (
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// The JSON-RPC methods between instances.
const (
	MethodHeartbeat      = "heartbeat"
	MethodReserve        = "reserve"
	MethodRelease        = "release"
	MethodFetchBundle    = "fetch_bundle"
	MethodFetchDeparture = "fetch_departure"
	MethodConfirm        = "confirm"
)

// Heartbeat is exchanged once per heartbeat interval (1 s by default) by each pair of instances of a cell: one sends it in a
// call, the other in the answer.
type Heartbeat struct {
	Sender namer.Holder `json:"sender"`
	// State is empty while the sender serves.
	State tracker.State `json:"state,omitempty"`
	// DataCentre and the addresses never change within an incarnation, so only some messages carry them.
	DataCentre       namer.DataCentre `json:"data_centre,omitempty"`
	CallerAddress    string           `json:"caller_address,omitempty"`
	PeerAddress      string           `json:"peer_address,omitempty"`
	BundleSequence   int64            `json:"bundle_sequence,omitempty"`
	DepartureVersion int64            `json:"departure_version,omitempty"`
	TableVersion     int64            `json:"table_version,omitempty"`
	// StoreAgeMS is the time since the store last answered the sender; negative means never.
	StoreAgeMS int64 `json:"store_age_ms,omitempty"`
	// Number increases with each heartbeat of the sender.
	Number int64 `json:"number"`
	// Heard is the last number heard from each process; the receiver's own number in it is an echo.
	Heard   map[namer.Holder]int64 `json:"heard,omitempty"`
	Targets []TargetSummary        `json:"targets,omitempty"`
	Quotas  []Quota                `json:"quotas,omitempty"`
	Demand  []Demand               `json:"demand,omitempty"`
	// Adopted is the number of the receiver's last message whose quotas the sender applied. If it is set, Demand is
	// complete: targets missing from it are not in use.
	Adopted int64 `json:"adopted,omitempty"`
	// Echo is set for quotas in a call: their validity starts when the receiver sent the message with this number. The
	// validity of quotas in an answer starts when the call was sent.
	Echo int64 `json:"echo,omitempty"`
	// Receiver is the incarnation of the process that sent the number in Echo.
	Receiver namer.Incarnation `json:"receiver,omitempty"`
}

// TargetSummary is the load of one target as known to its owner.
type TargetSummary struct {
	Target       namer.Target `json:"target"`
	Epoch        namer.Epoch  `json:"epoch"`
	FreeTokens   int          `json:"free_tokens"`
	QueueTokens  int          `json:"queue_tokens,omitempty"`
	WarmPercent  int          `json:"warm_percent"`
	LongPrefills int          `json:"long_prefills,omitempty"`
	Boot         string       `json:"boot,omitempty"`
}

// Quota is the share of a target's memory and prefill work that its owner allocates to the receiver.
type Quota struct {
	Target        namer.Target `json:"target"`
	Epoch         namer.Epoch  `json:"epoch"`
	Boot          string       `json:"boot,omitempty"`
	MemoryTokens  int          `json:"memory_tokens"`
	PrefillTokens int          `json:"prefill_tokens"`
	// ValidMS is omitted if the quota has the default validity.
	ValidMS int64 `json:"valid_ms,omitempty"`
}

// Demand is the memory of a target that the sender uses, and the memory that it would use in addition.
type Demand struct {
	Target       namer.Target `json:"target"`
	UsedTokens   int          `json:"used_tokens,omitempty"`
	WantedTokens int          `json:"wanted_tokens,omitempty"`
}

// ReserveRequest asks an owner for a one-off reservation.
type ReserveRequest struct {
	Sender        namer.Holder  `json:"sender"`
	Target        namer.Target  `json:"target"`
	Epoch         namer.Epoch   `json:"epoch"`
	Request       namer.Request `json:"request_id"`
	Tokens        int           `json:"tokens"`
	PrefillTokens int           `json:"prefill_tokens"`
	WaitMS        int64         `json:"wait_ms"`
}

// ReserveAnswer grants a reservation or gives the reason for its denial.
type ReserveAnswer struct {
	Granted bool           `json:"granted"`
	Epoch   namer.Epoch    `json:"epoch"`
	Boot    string         `json:"boot,omitempty"`
	ValidMS int64          `json:"valid_ms,omitempty"`
	Reason  refuser.Reason `json:"reason,omitempty"`
}

// ReleaseRequest releases a reservation.
type ReleaseRequest struct {
	Sender  namer.Holder  `json:"sender"`
	Target  namer.Target  `json:"target"`
	Request namer.Request `json:"request_id"`
}

// FetchBundleRequest asks a peer for its bundle in force.
type FetchBundleRequest struct {
	Sequence int64 `json:"sequence"`
}

// FetchDepartureRequest asks a peer for its departures.
type FetchDepartureRequest struct {
	Version int64 `json:"version"`
}

// FetchDepartureAnswer returns the departures and their version in the store.
type FetchDepartureAnswer struct {
	Version   int64             `json:"version"`
	Departure tracker.Departure `json:"departure"`
}

// ConfirmRequest asks a holder which of these requests it knows.
type ConfirmRequest struct {
	Sender   namer.Holder    `json:"sender"`
	Holder   namer.Holder    `json:"holder"`
	Target   namer.Target    `json:"target"`
	Requests []namer.Request `json:"requests"`
}

// ConfirmAnswer lists the requests that the holder does not know.
type ConfirmAnswer struct {
	Unknown []namer.Request `json:"unknown"`
}
